//! Finds the lines of one request in the logs of several gateways.

use std::io;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;

/// Exit code if a file cannot be read or no line has the ID of the request.
pub const EXIT_NOT_FOUND: u8 = 2;

/// Messages that show the state of a gateway before a request, such as its configuration and lost connections.
const CONTEXT_MESSAGES: [&str; 6] = [
    "configuration: in force",
    "store: call failed",
    "relay: lost",
    "gateway: started",
    "gateway: stopping",
    "servers: removed",
];

/// Maximum number of context lines printed for each file.
const MAX_CONTEXT_LINES: usize = 5;

/// Prints the lines of a request with an explanation of each, and the context lines that its gateway logged before.
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
        "trace: no line names request {id}: it was answered completely, its line was skipped, or it reached another VM"
    )?;
    Ok(EXIT_NOT_FOUND)
}

fn trace_file(id: &str, path: &Path, text: &str, out: &mut impl Write) -> io::Result<bool> {
    let mut context: Vec<&str> = Vec::new();
    let mut found = false;
    for line in text.lines() {
        if CONTEXT_MESSAGES
            .iter()
            .any(|message| line.contains(message))
        {
            context.push(line);
        }
        if find_value(line, "id") != Some(id) {
            continue;
        }
        if !found {
            writeln!(out, "{}", path.display())?;
            for before in context.iter().rev().take(MAX_CONTEXT_LINES).rev() {
                writeln!(out, "  before   {before}")?;
            }
        }
        found = true;
        writeln!(out, "  request  {line}")?;
        writeln!(out, "           {}", explain_line(line))?;
    }
    Ok(found)
}

/// Returns the value of a key in a log line, up to the first space.
fn find_value<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    line.split_whitespace().find_map(|word| {
        let (name, value) = word.split_once('=')?;
        (name == key).then_some(value)
    })
}

fn explain_line(line: &str) -> String {
    let get = |key| find_value(line, key).unwrap_or("?");
    let meaning = match line.split_once("request: ").map(|(_, result)| result) {
        Some(result) if result.starts_with("partial") => {
            "answered without the services in `open`, which returned no part in time"
        }
        Some(result) if result.starts_with("not run") && get("sent") == "0" => {
            "refused, nothing was sent: no server of its service was available"
        }
        Some(result) if result.starts_with("not run") => {
            "refused: every server confirmed that it did not run it"
        }
        Some(result) if result.starts_with("failed") => {
            "failed after it was sent: a server may have run it"
        }
        Some(result) if result.starts_with("timed out") => {
            "no answer before its deadline: a server may have run it"
        }
        Some(result) if result.starts_with("no route") => {
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
