//! Platform writes per claim, measured in virtual time.

use rstest::rstest;

use lab::model_cost;
use once::Retention;

/// Guards against homes that write once per claim, or exceed the platform's rate limit.
#[rstest]
fn claims_share_the_write_budget() {
    let cost = model_cost::measure_claims(1_000, 2);
    assert!(cost.writes <= 101.0, "{cost}");
    assert!(cost.granted >= 950.0, "{cost}");
}

/// Prints the measurements; run it with `cargo test -p lab --test model_cost -- --ignored --nocapture`.
#[rstest]
#[ignore = "prints measurements and checks nothing"]
fn print_cost_of_claims() {
    for offered in [10, 50, 100, 300, 1_000, 3_000, 10_000] {
        println!("{}", model_cost::measure_claims(offered, 10));
    }
    let capacity = model_cost::count_max_claims();
    let rate = capacity * 1_000 / Retention::default().settled_ms;
    println!(
        "claims: the ledgers hold {capacity} claims, which allows {rate} claims/s at the retention of settled claims"
    );
}
