//! Gathers what the logs of several gateways say about one request.

use std::io;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;

/// Exit code when a file cannot be read or no line names the request.
pub const EXIT_NOT_FOUND: u8 = 2;

/// Lines around a request that show what its gateway believed: what was lost, stopped, or came into force.
const CONTEXT: [&str; 6] = [
    "configuration: in force",
    "store: call failed",
    "relay: lost",
    "gateway: started",
    "gateway: stopping",
    "servers: removed",
];

/// Lines of context that are shown for each file.
const MAX_CONTEXT: usize = 5;

/// Prints the lines of a request, what each means, and what its gateway logged of its surroundings just before.
pub fn trace_request(id: &str, files: &[PathBuf], out: &mut impl Write) -> io::Result<u8> {
    let mut found = false;
    for path in files {
        match std::fs::read_to_string(path) {
            Ok(text) => found |= trace_file(id, path, &text, out)?,
            Err(error) => {
                writeln!(out, "trace: {} cannot be read: {error}", path.display())?;
                return Ok(EXIT_NOT_FOUND);
            }
        }
    }
    if found {
        return Ok(0);
    }
    writeln!(
        out,
        "trace: no line names request {id}: it was answered whole, its line was skipped, or it reached another VM"
    )?;
    Ok(EXIT_NOT_FOUND)
}

fn trace_file(id: &str, path: &Path, text: &str, out: &mut impl Write) -> io::Result<bool> {
    let mut context: Vec<&str> = Vec::new();
    let mut found = false;
    for line in text.lines() {
        if CONTEXT.iter().any(|part| line.contains(part)) {
            context.push(line);
        }
        if find_value(line, "id") != Some(id) {
            continue;
        }
        if !found {
            writeln!(out, "{}", path.display())?;
            for before in context.iter().rev().take(MAX_CONTEXT).rev() {
                writeln!(out, "  before   {before}")?;
            }
        }
        found = true;
        writeln!(out, "  request  {line}")?;
        writeln!(out, "           {}", explain_line(line))?;
    }
    Ok(found)
}

/// Returns the value of a key in a log line; values with spaces are not needed here.
fn find_value<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    line.split_whitespace().find_map(|word| {
        let (name, value) = word.split_once('=')?;
        (name == key).then_some(value)
    })
}

fn explain_line(line: &str) -> String {
    let get = |key| find_value(line, key).unwrap_or("?");
    let meaning = match line.split_once("request: ").map(|(_, kind)| kind) {
        Some(kind) if kind.starts_with("partial") => {
            "answered without the services in `open`, which gave no part in time"
        }
        Some(kind) if kind.starts_with("not run") && get("sent") == "0" => {
            "refused, nothing was sent: no server of its service may be sent to"
        }
        Some(kind) if kind.starts_with("not run") => {
            "refused: every server proved that it did not run it"
        }
        Some(kind) if kind.starts_with("failed") => {
            "failed after it was sent: a server may have run it"
        }
        Some(kind) if kind.starts_with("timed out") => {
            "no answer before its deadline: a server may have run it"
        }
        Some(kind) if kind.starts_with("no route") => {
            "no route of this revision matches its host and path"
        }
        Some(_) | None => "see docs/OPERATIONS.md",
    };
    format!(
        "{meaning}; {} ms, {} sub-requests, revision {}",
        get("ms"),
        get("sent"),
        get("revision")
    )
}
