//! Prints explanation records in readable form.

use std::io;
use std::io::Write;
use std::path::Path;

use query::Explanation;
use serde_json::Value;

/// Exit code if the file cannot be read or contains no record.
pub const EXIT_INVALID: u8 = 2;

/// Prints the explanation record in a file, or in standard input if no file is given.
///
/// The file contains an answer with its record, a record alone, or a log line of an entry VM with the field `record`.
pub fn explain_file(path: Option<&Path>, out: &mut impl Write) -> io::Result<u8> {
    let name = path.map_or("standard input".into(), |path| path.display().to_string());
    let text = match read_text(path) {
        Ok(text) => text,
        Err(error) => {
            writeln!(out, "explain: {name} cannot be read: {error}")?;
            return Ok(EXIT_INVALID);
        }
    };
    match parse_record(&text) {
        Some(record) => print_record(&record, out).map(|()| 0),
        None => {
            writeln!(out, "explain: {name} contains no explanation record")?;
            Ok(EXIT_INVALID)
        }
    }
}

fn read_text(path: Option<&Path>) -> io::Result<String> {
    match path {
        Some(path) => std::fs::read_to_string(path),
        None => io::read_to_string(io::stdin()),
    }
}

fn parse_record(text: &str) -> Option<Explanation> {
    let text = text.trim();
    let Ok(value) = serde_json::from_str::<Value>(text) else {
        return parse_log_line(text);
    };
    let answered = value.get("explanation").cloned();
    let logged = value
        .get("record")
        .and_then(Value::as_str)
        .and_then(|text| serde_json::from_str(text).ok());
    serde_json::from_value(answered.or(logged).unwrap_or(value)).ok()
}

/// Parses the record in a text log line and ignores any fields after it.
fn parse_log_line(line: &str) -> Option<Explanation> {
    let (_, record) = line.split_once(" record=")?;
    serde_json::Deserializer::from_str(record)
        .into_iter()
        .next()?
        .ok()
}

fn print_record(record: &Explanation, out: &mut impl Write) -> io::Result<()> {
    let coverage = &record.coverage;
    writeln!(
        out,
        "query {} of {} ({})",
        record.query, record.service, record.request
    )?;
    writeln!(
        out,
        "result: code {}, {}",
        record.code.number(),
        record.code.meaning()
    )?;
    writeln!(
        out,
        "configuration: revision {}{}",
        record.revision,
        describe_staleness(record.stale_ms)
    )?;
    match record.snapshot {
        Some(snapshot) => writeln!(
            out,
            "snapshot: version {} of {} on shard map {}",
            snapshot.version, record.index, snapshot.map
        )?,
        None => writeln!(out, "snapshot: no version of {} was bound", record.index)?,
    }
    writeln!(
        out,
        "coverage: {} of {} shards, {} of {} members",
        coverage.answered, coverage.shards, coverage.covered, coverage.members
    )?;
    for missing in &coverage.missing {
        writeln!(
            out,
            "  shard {} is missing: {:?}, after {} attempts",
            missing.shard, missing.reason, missing.attempts
        )?;
    }
    writeln!(
        out,
        "attempts: {} sent, of these {} hedges and {} retries; {} cancelled, {} not run, {} lost, {} postponed",
        record.attempts,
        record.hedges,
        record.retries,
        record.cancelled,
        record.not_run,
        record.lost,
        record.postponed
    )?;
    writeln!(
        out,
        "restarts: {}; parts dropped: {}",
        record.restarts, record.dropped
    )?;
    writeln!(
        out,
        "time: {} of {} ms",
        record.elapsed_ms, record.deadline_ms
    )
}

fn describe_staleness(stale_ms: Option<u64>) -> String {
    match stale_ms {
        Some(age) => format!(", not confirmed for {age} ms"),
        None => String::new(),
    }
}
