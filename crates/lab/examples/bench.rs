//! Runs the benchmark and prints its report: `cargo run --release -p lab --example bench -- SEED [quick]`.
//!
//! The report is also written to `target/bench.json` and `target/bench.html`.

use lab::bench::Options;

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let options = Options {
        seed: args.first().and_then(|seed| seed.parse().ok()).unwrap_or(1),
        quick: args.iter().any(|arg| arg == "quick"),
        json: Some("target/bench.json".into()),
        html: Some("target/bench.html".into()),
    };
    match lab::bench::run(&options) {
        Ok(report) => println!("{report}"),
        Err(error) => eprintln!("{error}"),
    }
}
