//! Scenarios: small TOML files, each of which describes a sequence of failures and the expected results.
//!
//! A scenario drives the state machines of the entry VMs in virtual time, against simulated servers and a fake of the
//! platform's object API. It needs no network and is deterministic for a given seed. [`run_directory`] runs the files
//! of a directory, and `docs/proof.md` lists what they cover.
//!
//! ```
//! let text = r#"
//! story = "A query is answered from every shard."
//! guarantees = ["G2"]
//! entries = { zurich = ["e1", "e2"] }
//! index = { servers = { zurich = ["u1"] }, shards = [["u1"], ["u1"]] }
//!
//! [declarations]
//! "advisers.toml" = """
//! service = "advisers"
//! index = "plan-desk"
//! shards = "all"
//! deadline = "250ms"
//! [[request]]
//! name = "search"
//! repeatable = true
//! """
//!
//! [[step]]
//! at_ms = 100
//! call = { id = "q1", service = "advisers", request = "search" }
//!
//! [[expect]]
//! answer = { call = "q1", code = 100, shards = 2 }
//! "#;
//! let report = lab::scenario::run_text(text, 1).unwrap();
//! assert!(report.passed(), "{:?}", report.failures);
//! ```

use std::fs;
use std::io;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;

mod call;
mod check;
mod claim;
mod control;
mod exchange;
mod file;
mod node;
mod operator;
mod platform;
mod step;
mod world;

pub use crate::scenario::file::Guarantee;

/// The result of one scenario.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// Summary of the scenario in one sentence.
    pub story: String,
    /// Guarantees that the scenario tests.
    pub guarantees: Vec<Guarantee>,
    /// Whether the scenario must fail, because it disables a mechanism.
    pub expect_failure: bool,
    /// Unmet expectations and violated invariants; each line names the step, the expected and the actual result.
    pub failures: Vec<String>,
    /// Trace of the run, with virtual times.
    pub events: Vec<String>,
}

impl Report {
    /// Returns whether the scenario passed, or failed as its file requires.
    pub fn passed(&self) -> bool {
        self.expect_failure != self.failures.is_empty()
    }
}

/// Runs one scenario with a seed.
///
/// # Errors
///
/// Returns the first error in the text, such as an unknown key, with the number of its step.
pub fn run_text(text: &str, seed: u64) -> Result<Report, String> {
    let file = file::parse_scenario(text)?;
    let mut world = step::build_world(&file, seed)?;
    let end = world.start + file.end();
    world.run_until(end);
    world.now = end;
    world.check();
    Ok(Report {
        failures: std::mem::take(&mut world.failures),
        events: std::mem::take(&mut world.events),
        story: file.story.clone(),
        guarantees: file.guarantees.clone(),
        expect_failure: file.expect_failure,
    })
}

/// Lists the scenario files of a directory, sorted by name.
pub fn list_files(dir: &Path) -> io::Result<Vec<PathBuf>> {
    let mut files = Vec::new();
    for entry in fs::read_dir(dir)? {
        let path = entry?.path();
        if path
            .extension()
            .is_some_and(|extension| extension == "toml")
        {
            files.push(path);
        }
    }
    files.sort();
    Ok(files)
}

/// Runs every scenario of a directory, writes a line for each, and returns whether all had the required result.
///
/// With `trace`, the events of every scenario are written too. A directory without scenario files is an error, because
/// it is probably the wrong one.
pub fn run_directory(dir: &Path, seed: u64, trace: bool, out: &mut dyn Write) -> io::Result<bool> {
    let files = list_files(dir)?;
    if files.is_empty() {
        let text = format!("{}: no scenario files", dir.display());
        return Err(io::Error::new(io::ErrorKind::NotFound, text));
    }
    let mut failed = 0;
    for path in &files {
        let passed = run_file(path, seed, trace, out)?;
        failed += usize::from(!passed);
    }
    writeln!(
        out,
        "{} scenarios with seed {seed}, {failed} failed",
        files.len()
    )?;
    Ok(failed == 0)
}

/// Runs one scenario file, writes its result like [`run_directory`] and returns whether it had the required result.
pub fn run_file(path: &Path, seed: u64, trace: bool, out: &mut dyn Write) -> io::Result<bool> {
    let name = path.display();
    let report = match run_text(&fs::read_to_string(path)?, seed) {
        Ok(report) => report,
        Err(error) => {
            writeln!(out, "failed  {name}: {error}")?;
            return Ok(false);
        }
    };
    let passed = report.passed();
    let word = if passed { "ok    " } else { "failed" };
    writeln!(out, "{word}  {name}: {}", report.story)?;
    if report.expect_failure && !passed {
        writeln!(
            out,
            "        {name}: expected a failure without the mechanism, got none"
        )?;
    }
    if !passed || report.expect_failure {
        for failure in &report.failures {
            writeln!(out, "        {name}: {failure}")?;
        }
    }
    if trace {
        for event in &report.events {
            writeln!(out, "    {event}")?;
        }
    }
    Ok(passed)
}
