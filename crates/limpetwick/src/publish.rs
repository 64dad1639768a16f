//! Publishes declarations and reports for each zone whether the new revision is in force.

use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use base::Code;
use base::Revision;
use compact_str::CompactString;
use conf::Action;
use conf::Event;
use conf::Publish;
use conf::PublishResult;
use decl::Catalogue;
use decl::Changes;
use decl::Declaration;
use decl::collect_changes;
use serde::Deserialize;
use store::Client;
use store::ClientOptions;
use store::PutResult;
use store::StoreError;
use tokio::time::Instant;

use crate::check::EXIT_INVALID;
use crate::check::load_directory;
use crate::check::report_errors;
use crate::http;

/// Exit code if the files are in force on every VM, or if a dry run would be accepted.
pub const EXIT_IN_FORCE: u8 = 0;

/// Exit code if the publish was accepted but is not known to be in force everywhere; it needs no further publish.
pub const EXIT_NOT_EVERYWHERE: u8 = 3;

/// Exit code if the publish was refused; it has no effect now or later.
pub const EXIT_REFUSED: u8 = 4;

/// Exit code if the publish may have taken effect; repeating it is safe.
pub const EXIT_UNKNOWN: u8 = 5;

/// Time limit for acceptance by the platform, which covers a short outage and a few conflicting publishes.
const ACCEPT_TIMEOUT: Duration = Duration::from_secs(30);

/// Minimum delay after a failed call or a stale read.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Time between two status requests to the entry VM.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Time limit of one status request.
const POLL_TIMEOUT: Duration = Duration::from_secs(1);

/// Arguments of the publish command.
#[derive(Debug, Clone)]
pub struct PublishArgs {
    /// Directory with one TOML file per service.
    pub dir: PathBuf,
    /// Files to remove from the catalogue, by their published names.
    pub remove: Vec<CompactString>,
    /// Address of the platform's object API.
    pub platform: SocketAddr,
    /// Entry VM whose status shows where the revision is in force; without it, [`EXIT_NOT_EVERYWHERE`] is returned at best.
    pub entry: Option<SocketAddr>,
    /// Revision on which the files are based; if absent, the current one in the platform.
    pub base: Option<Revision>,
    /// Prints the changes without publishing them.
    pub dry_run: bool,
    /// Time limit for the revision to be in force everywhere.
    pub wait: Duration,
    /// Random number for a unique publish ID and for the jitter of retries.
    pub seed: u64,
}

/// The part of the response to `GET /v1/status` that shows where revisions are in force.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct StatusBody {
    /// Zones with entry VMs, as known to the VM from heartbeats.
    #[serde(default)]
    pub zones: Vec<ZoneStatus>,
}

/// Revisions in force in one zone.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct ZoneStatus {
    /// Availability zone.
    pub zone: String,
    /// Whether heartbeats from the zone arrive; the state of an unreachable zone is unknown.
    #[serde(default = "reachable")]
    pub reachable: bool,
    /// Number of entry VMs that are in service.
    pub vms: u64,
    /// Number of VMs for each revision in force; VMs without a revision are not counted.
    #[serde(default)]
    pub revisions: Vec<RevisionStatus>,
}

/// Number of VMs on which a revision is in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub struct RevisionStatus {
    /// Revision in force.
    pub revision: Revision,
    /// Number of VMs.
    pub vms: u64,
}

fn reachable() -> bool {
    true
}

impl ZoneStatus {
    /// Counts the VMs that have the given revision or a later one in force.
    fn count_updated(&self, revision: Revision) -> u64 {
        let updated = self.revisions.iter();
        let updated = updated.filter(|count| count.revision >= revision);
        updated.map(|count| count.vms).sum()
    }
}

/// Publishes a directory, prints the progress, and returns the exit code.
pub async fn run_publish(args: PublishArgs, out: &mut impl Write) -> io::Result<u8> {
    let mut changes = match load_directory(&args.dir) {
        Ok(catalogue) => collect_changes(catalogue),
        Err(errors) => return report_errors(&errors, out),
    };
    if changes.is_empty() && args.remove.is_empty() {
        let dir = args.dir.display();
        writeln!(out, "publish: {dir} contains no declaration files")?;
        return Ok(EXIT_INVALID);
    }
    for file in &args.remove {
        changes.entry(file.clone()).or_insert(None);
    }
    let store = Client::new(ClientOptions::new(args.platform, args.seed));
    let publish_id = format!("{:016x}", args.seed);
    let machine = Publish::new(publish_id, changes.clone(), args.base);
    if args.dry_run {
        return print_dry_run(machine, &changes, &store, out).await;
    }
    let result = drive_publish(machine, &store, Instant::now() + ACCEPT_TIMEOUT, out).await?;
    match result {
        PublishResult::Accepted { revision } => {
            writeln!(out, "publish: revision {revision} accepted")?;
            wait_until_in_force(&args, revision, out).await
        }
        PublishResult::Unchanged { revision } => {
            writeln!(out, "publish: revision {revision} already has these files")?;
            wait_until_in_force(&args, revision, out).await
        }
        result => report_failure(&result, out),
    }
}

/// Runs the state machine against the platform until it ends; at the deadline, the state machine determines the result.
async fn drive_publish(
    mut machine: Publish,
    store: &Client,
    deadline: Instant,
    out: &mut impl Write,
) -> io::Result<PublishResult> {
    let mut action = machine.handle(Event::Start);
    let mut delay = MIN_RETRY_DELAY;
    let mut printed = String::new();
    loop {
        if let Action::Finish(result) = action {
            return Ok(result);
        }
        let call = perform_action(&action, store, delay);
        let (event, error) = match tokio::time::timeout_at(deadline, call).await {
            Ok(result) => result,
            Err(_) => (Event::TimedOut, None),
        };
        if let Some(error) = &error {
            // During an outage every attempt fails with the same error, which is printed once.
            let line = format!("publish: {error} (code {})", error.code().number());
            if line != printed {
                writeln!(out, "{line}")?;
                printed = line;
            }
        }
        delay = error.map_or(MIN_RETRY_DELAY, |error| {
            error.retry_after().max(MIN_RETRY_DELAY)
        });
        action = machine.handle(event);
    }
}

/// Performs an action and returns its result as an event, with the error if the action failed.
async fn perform_action(
    action: &Action,
    store: &Client,
    delay: Duration,
) -> (Event, Option<StoreError>) {
    match action {
        Action::Read { pause } => {
            if *pause {
                tokio::time::sleep(delay).await;
            }
            match read_catalogue(store).await {
                Ok((version, catalogue)) => {
                    let catalogue = Box::new(catalogue);
                    (Event::Found { version, catalogue }, None)
                }
                Err(error) => (Event::ReadFailed, Some(error)),
            }
        }
        Action::Update {
            if_version,
            catalogue,
        } => match store
            .put_if("config", "catalogue", *if_version, catalogue)
            .await
        {
            PutResult::Applied(_) => (Event::Applied, None),
            PutResult::Conflict(version) => (Event::Conflict { version }, None),
            PutResult::Refused(error) => (Event::NotSent, Some(error)),
            PutResult::Unknown(error) => (Event::ReplyLost, Some(error)),
        },
        Action::Finish(_) => (Event::TimedOut, None),
    }
}

async fn read_catalogue(store: &Client) -> Result<(u64, Catalogue), StoreError> {
    let stored = store.get::<Catalogue>("config", "catalogue").await?;
    Ok(stored.map_or_else(Default::default, |stored| (stored.version, stored.value)))
}

fn report_failure(result: &PublishResult, out: &mut impl Write) -> io::Result<u8> {
    match result {
        PublishResult::Refused(refusal) => {
            let code = refusal.code().number();
            writeln!(
                out,
                "publish: refused, nothing changed: {refusal} (code {code})"
            )?;
            Ok(EXIT_REFUSED)
        }
        PublishResult::Unknown { revision } => {
            let code = Code::PublishUnknown.number();
            writeln!(
                out,
                "publish: revision {revision} may have been accepted; repeat the publish to find out (code {code})"
            )?;
            Ok(EXIT_UNKNOWN)
        }
        PublishResult::Accepted { .. } | PublishResult::Unchanged { .. } => Ok(EXIT_IN_FORCE),
    }
}

/// Prints the changes that the publish would make, or why it would be refused.
async fn print_dry_run(
    mut machine: Publish,
    changes: &Changes,
    store: &Client,
    out: &mut impl Write,
) -> io::Result<u8> {
    let (version, current) = match read_catalogue(store).await {
        Ok(read) => read,
        Err(error) => {
            writeln!(out, "publish: {error} (code {})", error.code().number())?;
            return Ok(EXIT_REFUSED);
        }
    };
    machine.handle(Event::Start);
    let catalogue = Box::new(current.clone());
    match machine.handle(Event::Found { version, catalogue }) {
        Action::Update { catalogue, .. } => {
            let revision = catalogue.revision;
            writeln!(out, "publish: dry run, would create revision {revision}")?;
            for (file, content) in changes {
                if !current.has_file(file, content.as_ref()) {
                    let line = describe_change(file, content.as_ref(), &current);
                    writeln!(out, "  {line}")?;
                }
            }
            Ok(EXIT_IN_FORCE)
        }
        Action::Read { .. } => {
            let revision = current.revision;
            let code = Code::PublishStale.number();
            writeln!(
                out,
                "publish: the base revision is later than the current revision {revision} (code {code})"
            )?;
            Ok(EXIT_REFUSED)
        }
        Action::Finish(PublishResult::Unchanged { revision }) => {
            writeln!(
                out,
                "publish: dry run, revision {revision} already has these files"
            )?;
            Ok(EXIT_IN_FORCE)
        }
        Action::Finish(ended) => report_failure(&ended, out),
    }
}

fn describe_change(file: &str, content: Option<&Declaration>, current: &Catalogue) -> String {
    let before = current.entries.values().find(|entry| entry.file == file);
    match (before, content) {
        (None, Some(declaration)) => format!("add {file}: service {}", declaration.service),
        (Some(entry), None) => format!("remove {file}: service {}", entry.declaration.service),
        (Some(entry), Some(declaration)) => {
            let keys = differing_keys(&entry.declaration, declaration).join(", ");
            format!("change {file}: service {}: {keys}", declaration.service)
        }
        (None, None) => format!("keep {file} removed"),
    }
}

fn differing_keys(old: &Declaration, new: &Declaration) -> Vec<&'static str> {
    let keys = [
        ("service", old.service != new.service),
        ("index", old.index != new.index),
        ("shards", old.shards != new.shards),
        ("deadline", old.deadline != new.deadline),
        ("class", old.class != new.class),
        ("at_deadline", old.at_deadline != new.at_deadline),
        ("hedge", old.hedge_budget != new.hedge_budget),
        ("retry", old.retry_budget != new.retry_budget),
        ("request", old.requests != new.requests),
    ];
    let differing = keys.into_iter().filter(|(_, differs)| *differs);
    differing.map(|(key, _)| key).collect()
}

/// Polls the entry VM until every zone has the revision or time runs out, and prints each zone when its count changes.
async fn wait_until_in_force(
    args: &PublishArgs,
    revision: Revision,
    out: &mut impl Write,
) -> io::Result<u8> {
    let code = Code::NotEverywhere.number();
    let Some(entry) = args.entry else {
        writeln!(
            out,
            "publish: no entry VM was given, so it is unknown where the revision is in force (code {code})"
        )?;
        return Ok(EXIT_NOT_EVERYWHERE);
    };
    let end = Instant::now() + args.wait;
    let mut printed = Vec::new();
    loop {
        let status = fetch_status(entry).await;
        let zones = match &status {
            Ok(status) => status.zones.as_slice(),
            Err(_) => &[],
        };
        report_zones(zones, revision, &mut printed, out)?;
        let in_force = zones
            .iter()
            .all(|zone| zone.reachable && zone.count_updated(revision) >= zone.vms);
        if in_force && !zones.is_empty() {
            writeln!(out, "publish: revision {revision} is in force everywhere")?;
            return Ok(EXIT_IN_FORCE);
        }
        if Instant::now() + POLL_INTERVAL >= end {
            let reason = match status {
                Ok(_) if zones.is_empty() => "the entry VM reports no zones".to_owned(),
                Ok(_) => "some VMs do not have the revision yet".to_owned(),
                Err(reason) => reason.clone(),
            };
            writeln!(
                out,
                "publish: revision {revision} is accepted but not in force everywhere: {reason} (code {code})"
            )?;
            return Ok(EXIT_NOT_EVERYWHERE);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn report_zones(
    zones: &[ZoneStatus],
    revision: Revision,
    printed: &mut Vec<String>,
    out: &mut impl Write,
) -> io::Result<()> {
    for zone in zones {
        let (updated, vms) = (zone.count_updated(revision), zone.vms);
        let line = format!(
            "zone {}: revision {revision} on {updated} of {vms} VMs",
            zone.zone
        );
        if !printed.contains(&line) {
            writeln!(out, "publish: {line}")?;
            printed.push(line);
        }
    }
    Ok(())
}

/// Requests the status of an entry VM; the error is a message for the operator.
async fn fetch_status(entry: SocketAddr) -> Result<StatusBody, String> {
    let body = http::get(entry, "/v1/status", POLL_TIMEOUT).await;
    let body = body.map_err(|error| error.to_string())?;
    serde_json::from_slice(&body).map_err(|error| error.to_string())
}
