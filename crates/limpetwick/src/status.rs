//! Prints the status of an entry VM and its view of the fleet.

use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

use entry::Status;

use crate::http;

/// Exit code if the VM does not return a valid status.
pub const EXIT_UNAVAILABLE: u8 = 1;

/// Time limit of the status request.
const STATUS_TIMEOUT: Duration = Duration::from_secs(3);

/// Prints the status of an entry VM, as a table or as the JSON of the API.
pub async fn show_status(entry: SocketAddr, json: bool, out: &mut impl Write) -> io::Result<u8> {
    let body = match http::get(entry, "/v1/status", STATUS_TIMEOUT).await {
        Ok(body) => body,
        Err(error) => {
            writeln!(out, "status: {error}")?;
            return Ok(EXIT_UNAVAILABLE);
        }
    };
    if json {
        out.write_all(&body)?;
        writeln!(out)?;
        return Ok(0);
    }
    match serde_json::from_slice::<Status>(&body) {
        Ok(status) => print_status(&status, out).map(|()| 0),
        Err(error) => {
            writeln!(out, "status: the response of {entry} is not valid: {error}")?;
            Ok(EXIT_UNAVAILABLE)
        }
    }
}

fn print_status(status: &Status, out: &mut impl Write) -> io::Result<()> {
    let revision = status
        .revision
        .map_or("none".to_owned(), |revision| revision.to_string());
    let stale = match status.stale_ms {
        Some(age) => format!("not confirmed for {age} ms"),
        None => "confirmed".to_owned(),
    };
    writeln!(
        out,
        "{} in zone {}: revision {revision}, {stale}",
        status.node, status.zone
    )?;
    writeln!(out, "requests in progress: {}", status.active)?;
    for zone in &status.zones {
        let suffix = if zone.reachable { "" } else { " (unreachable)" };
        let counts: Vec<String> = zone
            .revisions
            .iter()
            .map(|count| format!("revision {} on {}", count.revision, count.vms))
            .collect();
        writeln!(
            out,
            "zone {}{suffix}: {} VMs; {}",
            zone.zone,
            zone.vms,
            counts.join(", ")
        )?;
    }
    for upstream in &status.upstreams {
        writeln!(out, "upstream {}: {}", upstream.upstream, upstream.state)?;
    }
    for (code, count) in &status.codes {
        writeln!(out, "code {code}: {count} answers")?;
    }
    for row in &status.latencies {
        writeln!(
            out,
            "service {} ({}): {} answers, p50 {:.1} ms, p99 {:.1} ms, p99.9 {:.1} ms",
            row.service,
            row.class,
            row.count,
            row.p50_us as f64 / 1e3,
            row.p99_us as f64 / 1e3,
            row.p999_us as f64 / 1e3,
        )?;
    }
    Ok(())
}
