//! Runs every scenario file, and checks that mistakes in a file and unmet expectations are reported.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;
use std::path::PathBuf;

use lab::scenario::list_files;
use lab::scenario::run_directory;
use lab::scenario::run_file;
use lab::scenario::run_text;
use rstest::rstest;

fn scenarios() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios")
}

fn read(name: &str) -> String {
    fs::read_to_string(scenarios().join(name)).unwrap()
}

/// Guards against a failure that breaks a guarantee, and against a scenario that is meaningless because it also passes
/// without the mechanism that it disables. The list of files is read when this test is compiled.
#[rstest]
fn test_scenario_has_the_required_result(
    #[files("../../scenarios/*.toml")] path: PathBuf,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut out = Vec::new();
    let passed = run_file(&path, seed, false, &mut out).unwrap();
    assert!(passed, "{}", String::from_utf8_lossy(&out));
}

/// Guards against a scenario that fails for another reason than the mechanism that it disables.
#[rstest]
fn test_scenario_passes_with_its_mechanism(
    #[files("../../scenarios/g?-without-*.toml")] path: PathBuf,
    #[values(1, 2, 3)] seed: u64,
) {
    let text = fs::read_to_string(path).unwrap();
    let is_switch =
        |line: &&str| line.starts_with("without =") || line.starts_with("expect_failure");
    assert_eq!(text.lines().filter(is_switch).count(), 2);
    let kept: Vec<&str> = text.lines().filter(|line| !is_switch(line)).collect();
    let report = run_text(&kept.join("\n"), seed).unwrap();
    assert!(report.passed(), "{:?}", report.failures);
}

/// Guards against a misspelt key, name or number that silently removes a fault or an expectation.
#[rstest]
#[case::key_of_file("story =", "storry =", "storry")]
#[case::key_of_step("every_ms", "evry_ms", "step 1")]
#[case::step("retire =", "retiere =", "step 3")]
#[case::time("at_ms = 0", "at = 0", "step 1")]
#[case::expectation("answer =", "anser =", "expectation 1")]
#[case::server("{ version = 8 }", "{ version = 8, servers = [\"u9\"] }", "step 2")]
#[case::call("{ call = \"first\"", "{ call = \"fourth\"", "expectation 1")]
#[case::code("code = 100", "code = \"100\"", "expectation 1")]
fn test_mistakes_in_a_file_are_errors(#[case] from: &str, #[case] to: &str, #[case] names: &str) {
    let text = read("g1-version-retired.toml");
    assert!(text.contains(from));
    let error = run_text(&text.replacen(from, to, 1), 1).unwrap_err();
    assert!(error.contains(names), "{error}");
}

/// Guards against an expectation that is parsed but not checked.
#[rstest]
#[case::code("g1-version-retired", "code = 100", "code = 201")]
#[case::shards("g1-version-retired", "shards = 4", "shards = 3")]
#[case::members("g1-version-retired", "members = 400", "members = 300")]
#[case::map("g1-version-retired", "map = 1 }", "map = 2 }")]
#[case::runs("g5-lost-claim-reply", "least = 1", "least = 2")]
#[case::revision("g8-zone-without-platform", "revision = 2", "revision = 3")]
#[case::time("g8-zone-without-platform", "by_ms = 4500", "by_ms = 501")]
#[case::publish("g8-zone-without-platform", "\"accepted\"", "\"refused\"")]
fn test_wrong_expectation_fails(#[case] name: &str, #[case] from: &str, #[case] to: &str) {
    let text = read(&format!("{name}.toml"));
    assert!(text.contains(from));
    let report = run_text(&text.replace(from, to), 1).unwrap();
    let first = report.failures.first().expect("the expectation is wrong");
    assert!(
        first.contains("expected") && first.contains("got"),
        "{first}"
    );
}

/// Guards against a run that depends on anything but the seed, and so could not be reproduced.
#[test]
fn test_same_seed_gives_the_same_events() {
    let text = read("g1-version-retired.toml");
    let first = run_text(&text, 4).unwrap();
    assert_eq!(first, run_text(&text, 4).unwrap());
    assert_ne!(first.events, run_text(&text, 5).unwrap().events);
}

/// Guards against a wrong directory that passes because it has no scenario files.
#[test]
fn test_directory_without_scenarios_is_an_error() {
    let empty = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    assert!(run_directory(&empty, 1, false, &mut Vec::new()).is_err());
}

/// Guards against a table of proofs that names a removed scenario or omits one.
#[test]
fn test_proof_names_every_scenario() {
    let proof = scenarios().join("../docs/proof.md");
    let proof = fs::read_to_string(proof).unwrap();
    let words: BTreeSet<&str> = proof
        .split(|c: char| !c.is_ascii_alphanumeric() && c != '-')
        .filter(|word| word.starts_with('g') && word.as_bytes().get(2) == Some(&b'-'))
        .collect();
    let files = list_files(&scenarios()).unwrap();
    let stems = files
        .iter()
        .map(|path| path.file_stem().unwrap().to_str().unwrap());
    assert_eq!(words, stems.collect());
}
