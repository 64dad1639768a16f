//! The cost of claims in platform writes, in virtual time.

use rstest::rstest;

use lab::model_cost;
use once::Retention;

/// Guards against homes that write once for each claim, or more often than the platform allows.
#[rstest]
fn claims_share_the_write_budget() {
    let cost = model_cost::measure_claims(1_000, 2);
    assert!(cost.writes <= 101.0, "{cost}");
    assert!(cost.granted >= 950.0, "{cost}");
}

/// Prints the figures; run it with `cargo test -p lab --test model_cost -- --ignored --nocapture`.
#[rstest]
#[ignore = "prints figures and checks nothing"]
fn print_cost_of_claims() {
    for offered in [10, 50, 100, 300, 1_000, 3_000, 10_000] {
        println!("{}", model_cost::measure_claims(offered, 10));
    }
    let room = model_cost::count_max_claims();
    let rate = room * 1_000 / Retention::default().settled_ms;
    println!(
        "claims: the ledgers hold {room} claims, which is {rate}/s while settled claims are kept"
    );
}
