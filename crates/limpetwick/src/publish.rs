//! Publishes declarations and reports, zone by zone, where the new revision is in force.

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

/// Exit code when the files are in force on every VM, or a dry run found nothing to refuse.
pub const EXIT_IN_FORCE: u8 = 0;

/// Exit code when the publish is accepted but not known to be in force everywhere; it will be, without another publish.
pub const EXIT_NOT_EVERYWHERE: u8 = 3;

/// Exit code when the publish was refused; nothing changed and nothing will.
pub const EXIT_REFUSED: u8 = 4;

/// Exit code when the publish may have taken effect; repeating it is safe.
pub const EXIT_UNKNOWN: u8 = 5;

/// Time for the platform to accept the publish, which covers a short outage and a few lost races.
const ACCEPT_LIMIT: Duration = Duration::from_secs(30);

/// Shortest wait after a failed call or a lagging read.
const MIN_PAUSE: Duration = Duration::from_millis(50);

/// Time between two questions to the entry VM.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Time after which a question to the entry VM is given up.
const POLL_TIMEOUT: Duration = Duration::from_secs(1);

/// What to publish, and how.
#[derive(Debug, Clone)]
pub struct PublishArgs {
    /// Directory with one TOML file per service.
    pub dir: PathBuf,
    /// Files to remove from the catalogue, by the name under which they were published.
    pub remove: Vec<CompactString>,
    /// Address of the platform's object API.
    pub platform: SocketAddr,
    /// Entry VM that is asked where the revision is in force; without it the result is never "everywhere".
    pub entry: Option<SocketAddr>,
    /// Revision that the files were based on; without it, the one in the platform at the start.
    pub base: Option<Revision>,
    /// Shows what would change, and publishes nothing.
    pub dry_run: bool,
    /// Time to wait until the revision is in force everywhere.
    pub wait: Duration,
    /// Random number that makes the publish id unique and spreads retries.
    pub seed: u64,
}

/// The part of an entry VM's `GET /v1/status` that tells where revisions are in force.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct ZonesStatus {
    /// Every zone with entry VMs, as the VM that is asked knows it from heartbeats.
    #[serde(default)]
    pub zones: Vec<ZoneStatus>,
}

/// Revisions in force in one zone.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct ZoneStatus {
    /// Availability zone.
    pub zone: String,
    /// Whether heartbeats from the zone arrive; nothing is known of a zone that is cut off.
    #[serde(default = "reachable")]
    pub reachable: bool,
    /// Number of entry VMs that are in service.
    pub vms: u64,
    /// How many of them have which revision in force; VMs without any are left out.
    #[serde(default)]
    pub revisions: Vec<RevisionStatus>,
}

/// Number of VMs with a revision.
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
    /// Counts the VMs that have a revision or a later one, which includes it.
    fn reached(&self, revision: Revision) -> u64 {
        let reached = self.revisions.iter();
        let reached = reached.filter(|count| count.revision >= revision);
        reached.map(|count| count.vms).sum()
    }
}

/// Publishes a directory, prints what happens, and returns the exit code.
pub async fn run_publish(args: PublishArgs, out: &mut impl Write) -> io::Result<u8> {
    let mut changes = match load_directory(&args.dir) {
        Ok(catalogue) => collect_changes(catalogue),
        Err(errors) => return report_errors(&errors, out),
    };
    if changes.is_empty() && args.remove.is_empty() {
        let dir = args.dir.display();
        writeln!(out, "publish: {dir} holds no declaration files")?;
        return Ok(EXIT_INVALID);
    }
    for file in &args.remove {
        changes.entry(file.clone()).or_insert(None);
    }
    let store = Client::new(ClientOptions::new(args.platform, args.seed));
    let id = format!("{:016x}", args.seed);
    let machine = Publish::new(id, changes.clone(), args.base);
    if args.dry_run {
        return show_changes(machine, &changes, &store, out).await;
    }
    let published = drive_publish(machine, &store, Instant::now() + ACCEPT_LIMIT, out).await?;
    match published {
        PublishResult::Accepted { revision } => {
            writeln!(out, "publish: revision {revision} accepted")?;
            wait_everywhere(&args, revision, out).await
        }
        PublishResult::Unchanged { revision } => {
            writeln!(out, "publish: revision {revision} already has these files")?;
            wait_everywhere(&args, revision, out).await
        }
        ended => report_failure(&ended, out),
    }
}

/// Runs the machine against the platform until it ends; at the time limit the machine says what is known.
async fn drive_publish(
    mut machine: Publish,
    store: &Client,
    limit: Instant,
    out: &mut impl Write,
) -> io::Result<PublishResult> {
    let mut action = machine.handle(Event::Start);
    let mut pause = MIN_PAUSE;
    let mut shown = String::new();
    loop {
        if let Action::Finish(published) = action {
            return Ok(published);
        }
        let performed = perform(&action, store, pause);
        let (event, error) = match tokio::time::timeout_at(limit, performed).await {
            Ok(performed) => performed,
            Err(_) => (Event::TimedOut, None),
        };
        if let Some(error) = &error {
            // An outage gives the same error at every attempt; one line is enough for the operator.
            let line = format!("publish: {error} (code {})", error.code().number());
            if line != shown {
                writeln!(out, "{line}")?;
                shown = line;
            }
        }
        pause = error.map_or(MIN_PAUSE, |error| error.retry_after().max(MIN_PAUSE));
        action = machine.handle(event);
    }
}

/// Carries out an action and returns its result, with the error that is behind it if there is one.
async fn perform(action: &Action, store: &Client, pause: Duration) -> (Event, Option<StoreError>) {
    match action {
        Action::Read { pause: wait } => {
            if *wait {
                tokio::time::sleep(pause).await;
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

fn report_failure(published: &PublishResult, out: &mut impl Write) -> io::Result<u8> {
    match published {
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
                "publish: revision {revision} may have been accepted; repeat the publish to settle it (code {code})"
            )?;
            Ok(EXIT_UNKNOWN)
        }
        PublishResult::Accepted { .. } | PublishResult::Unchanged { .. } => Ok(EXIT_IN_FORCE),
    }
}

/// Prints what the publish would change or why it would be refused.
async fn show_changes(
    mut machine: Publish,
    changes: &Changes,
    store: &Client,
    out: &mut impl Write,
) -> io::Result<u8> {
    let (version, held) = match read_catalogue(store).await {
        Ok(read) => read,
        Err(error) => {
            writeln!(out, "publish: {error} (code {})", error.code().number())?;
            return Ok(EXIT_REFUSED);
        }
    };
    machine.handle(Event::Start);
    let catalogue = Box::new(held.clone());
    match machine.handle(Event::Found { version, catalogue }) {
        Action::Update { catalogue, .. } => {
            let revision = catalogue.revision;
            writeln!(out, "publish: dry run, would make revision {revision}")?;
            for (file, content) in changes {
                if !held.has_file(file, content.as_ref()) {
                    let line = describe_change(file, content.as_ref(), &held);
                    writeln!(out, "  {line}")?;
                }
            }
            Ok(EXIT_IN_FORCE)
        }
        Action::Read { .. } => {
            let revision = held.revision;
            let code = Code::PublishStale.number();
            writeln!(
                out,
                "publish: the base revision is above revision {revision} (code {code})"
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

fn describe_change(file: &str, content: Option<&Declaration>, held: &Catalogue) -> String {
    let before = held.entries.values().find(|entry| entry.file == file);
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

/// Asks the entry VM until every zone has the revision or the wait ends, and prints each zone when its count changes.
async fn wait_everywhere(
    args: &PublishArgs,
    revision: Revision,
    out: &mut impl Write,
) -> io::Result<u8> {
    let code = Code::NotEverywhere.number();
    let Some(entry) = args.entry else {
        writeln!(
            out,
            "publish: no entry VM is given, so it is not checked where the revision is in force (code {code})"
        )?;
        return Ok(EXIT_NOT_EVERYWHERE);
    };
    let end = Instant::now() + args.wait;
    let mut shown = Vec::new();
    loop {
        let status = ask_zones(entry).await;
        let zones = match &status {
            Ok(status) => status.zones.as_slice(),
            Err(_) => &[],
        };
        report_zones(zones, revision, &mut shown, out)?;
        let reached = zones
            .iter()
            .all(|zone| zone.reachable && zone.reached(revision) >= zone.vms);
        if reached && !zones.is_empty() {
            writeln!(out, "publish: revision {revision} is in force everywhere")?;
            return Ok(EXIT_IN_FORCE);
        }
        if Instant::now() + POLL_INTERVAL >= end {
            let reason = match status {
                Ok(_) if zones.is_empty() => "the entry VM reports no zone".to_owned(),
                Ok(_) => "some VMs have not taken it over".to_owned(),
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
    shown: &mut Vec<String>,
    out: &mut impl Write,
) -> io::Result<()> {
    for zone in zones {
        let (reached, vms) = (zone.reached(revision), zone.vms);
        let line = format!(
            "zone {}: revision {revision} on {reached} of {vms} VMs",
            zone.zone
        );
        if !shown.contains(&line) {
            writeln!(out, "publish: {line}")?;
            shown.push(line);
        }
    }
    Ok(())
}

/// Reads the zones of an entry VM's status; the error is a reason in plain words.
async fn ask_zones(entry: SocketAddr) -> Result<ZonesStatus, String> {
    let body = http::get(entry, "/v1/status", POLL_TIMEOUT).await;
    let body = body.map_err(|error| error.to_string())?;
    serde_json::from_slice(&body).map_err(|error| error.to_string())
}
