//! The file format of scenarios, in TOML.
//!
//! Times are milliseconds since the start of the scenario. Unknown keys are errors.

use std::collections::BTreeMap;
use std::time::Duration;

use base::IndexName;
use base::IndexVersion;
use base::MapId;
use base::NodeId;
use base::Outcome;
use base::RequestName;
use base::Revision;
use base::ServiceName;
use base::ShardId;
use base::UpstreamId;
use base::ZoneName;
use compact_str::CompactString;
use once::ClaimKey;
use query::MissingReason;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use toml::Table;
use toml::Value;

/// Name of the platform in `cut` and `heal`.
pub(crate) const PLATFORM: &str = "platform";

/// Time that a scenario continues after its last step, unless `end_ms` is set.
const COOLDOWN: Duration = Duration::from_secs(5);

/// A guarantee of `docs/design.md`, section 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
pub enum Guarantee {
    /// An answer comes from a single snapshot.
    G1,
    /// The reported coverage is true.
    G2,
    /// A caller gets the complete answer to its own request.
    G3,
    /// A refused request has not run and will not run.
    G4,
    /// A request with a key runs at most once.
    G5,
    /// A draining upstream gets no new work.
    G6,
    /// A planned stop interrupts no request.
    G7,
    /// A published configuration is in force within 4 s and never reverts.
    G8,
}

/// A mechanism that a scenario may disable.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Mechanism {
    /// `limit`: keep within the connection share.
    Share,
    /// `limit`: send nothing new to an upstream that is draining.
    Drain,
    /// `query`: hedge slow sub-requests.
    Hedge,
    /// `query`: retry failed sub-requests.
    Retry,
    /// `query`: restart on another snapshot.
    Restart,
    /// `query`: cancel sub-requests whose reply is not needed.
    Cancel,
    /// Runner: start a run only once its claim is granted.
    Claim,
    /// Runner: check the send window of a claim immediately before sending.
    SendWindow,
    /// Runner: report an attempt as not run only if that is proven.
    Proof,
    /// Runner: match a reply with its attempt by id.
    AttemptIds,
    /// Runner: request the snapshot that the query is bound to.
    Snapshot,
    /// Runner: distinguish an error status from an empty result.
    RejectStatus,
    /// Runner: let a planned stop wait for requests in progress.
    GracefulStop,
    /// Runner: ignore a lower revision.
    RevisionOrder,
    /// Runner: get configurations from peers.
    PeerConfig,
    /// Runner: spread drains by heartbeats, and probe idle upstreams.
    DrainNews,
}

/// One scenario.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ScenarioFile {
    /// Summary of the scenario in one sentence.
    pub(crate) story: String,
    /// Guarantees that the scenario tests.
    pub(crate) guarantees: Vec<Guarantee>,
    /// Mechanism that is disabled.
    pub(crate) without: Option<Mechanism>,
    /// Whether the scenario must fail, which shows that the mechanism is needed.
    #[serde(default)]
    pub(crate) expect_failure: bool,
    end_ms: Option<u64>,
    /// Entry VMs by zone.
    pub(crate) entries: BTreeMap<ZoneName, Vec<NodeId>>,
    /// The index and its servers.
    pub(crate) index: Index,
    /// Declaration files that are in force from the start, by name.
    pub(crate) declarations: BTreeMap<CompactString, String>,
    step: Vec<Table>,
    expect: Vec<Table>,
    /// Steps in the order of the file.
    #[serde(skip)]
    pub(crate) steps: Vec<Step>,
    /// Expectations in the order of the file.
    #[serde(skip)]
    pub(crate) expectations: Vec<Expectation>,
}

/// The index of a scenario with its servers, which all have the same settings.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct Index {
    pub(crate) name: IndexName,
    pub(crate) map: MapId,
    pub(crate) versions: Vec<IndexVersion>,
    /// Number of members of each shard.
    pub(crate) members: u64,
    /// Servers by zone.
    pub(crate) servers: BTreeMap<ZoneName, Vec<UpstreamId>>,
    /// Replicas of each shard; shards are numbered from 0.
    pub(crate) shards: Vec<Vec<UpstreamId>>,
    pub(crate) slots: u32,
    pub(crate) connections: u32,
    pub(crate) connect_ms: u64,
    pub(crate) median_ms: u64,
    pub(crate) cold_factor: f64,
    pub(crate) cold_ms: u64,
    pub(crate) drain_grace_ms: u64,
}

impl Default for Index {
    fn default() -> Index {
        Index {
            name: "plan-desk".into(),
            map: 1,
            versions: vec![7],
            members: 100,
            servers: BTreeMap::new(),
            shards: Vec::new(),
            slots: 4,
            connections: 90,
            connect_ms: 6,
            median_ms: 5,
            cold_factor: 10.0,
            cold_ms: 3_000,
            drain_grace_ms: 60_000,
        }
    }
}

/// An action at a given time.
#[derive(Debug, Clone)]
pub(crate) struct Step {
    pub(crate) at: Duration,
    pub(crate) action: Action,
}

/// An action of a step.
#[derive(Debug, Clone, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub(crate) enum Action {
    /// Callers send a request, `count` times.
    Call(Call),
    /// An operator publishes declaration files.
    Publish(Publish),
    /// The process of an entry VM ends abruptly.
    Kill(NodeId),
    /// An entry VM starts with empty state.
    Start(NodeId),
    /// An entry VM gets SIGTERM.
    Stop(NodeId),
    /// An entry VM is frozen.
    Pause(NodeId),
    /// A frozen entry VM continues with its state from before.
    Resume(NodeId),
    /// The first zone is partitioned from each of the others, which may include `platform`.
    Cut(Vec<ZoneName>),
    /// The partition between the first zone and the others ends.
    Heal(Vec<ZoneName>),
    /// The platform is up or down.
    PlatformUp(bool),
    /// The platform takes longer for each call.
    PlatformDelay { ms: u64 },
    /// The next writes take effect, but their replies are lost.
    LoseReplies(u32),
    /// The next reads of the configuration return the value before the newest.
    LagReads(u32),
    /// The list of VMs is outdated by this time.
    LagList { ms: u64 },
    /// Some replies of a server take longer.
    Straggle {
        server: UpstreamId,
        chance: f64,
        factor: f64,
    },
    /// Every reply of a server takes longer.
    Slow { server: UpstreamId, factor: f64 },
    /// A server sheds some requests.
    Shed { server: UpstreamId, chance: f64 },
    /// A server begins to drain.
    Drain(UpstreamId),
    /// A server starts again with cold caches.
    Restart(UpstreamId),
    /// A server stops abruptly.
    Lose(UpstreamId),
    /// Every fault of a server ends.
    Recover(UpstreamId),
    /// Each reply of a server is delivered a second time, also to the other queries of the same VM.
    RepeatReplies(UpstreamId),
    /// The given servers drop a version; without servers, all drop it and the index no longer lists it.
    Retire {
        version: IndexVersion,
        #[serde(default)]
        servers: Vec<UpstreamId>,
    },
    /// The newest map gets a version, which the given servers load, or all of them when none are given.
    Version {
        version: IndexVersion,
        #[serde(default)]
        servers: Vec<UpstreamId>,
    },
    /// The data is repartitioned; the old map remains in use until its versions are retired.
    Repartition {
        map: MapId,
        versions: Vec<IndexVersion>,
        members: u64,
        shards: Vec<Vec<UpstreamId>>,
    },
}

/// One or more requests of callers.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Call {
    pub(crate) id: CompactString,
    /// Entry VM; when absent, the load balancer chooses a ready one for each request.
    pub(crate) to: Option<NodeId>,
    pub(crate) service: ServiceName,
    pub(crate) request: RequestName,
    pub(crate) key: Option<CompactString>,
    pub(crate) timeout_ms: Option<u64>,
    #[serde(default = "one")]
    pub(crate) count: u32,
    /// Interval between the requests.
    #[serde(default)]
    pub(crate) every_ms: u64,
}

fn one() -> u32 {
    1
}

/// Declaration files that an operator publishes.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Publish {
    pub(crate) id: CompactString,
    pub(crate) base: Option<Revision>,
    /// Declaration files by name.
    pub(crate) files: BTreeMap<CompactString, String>,
}

/// A condition that the scenario must meet.
#[derive(Debug, Clone, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub(crate) enum Expectation {
    /// Every request of a call step got this answer.
    Answer(ExpectedAnswer),
    /// Every request of a call step ended with a broken connection.
    Broken { call: CompactString },
    /// The servers ran the request with this key between `least` and `most` times.
    Runs {
        key: CompactString,
        #[serde(default)]
        least: u32,
        most: u32,
    },
    /// The given nodes, or all in service when none are given, have this revision or a higher one in force.
    InForce {
        #[serde(default)]
        nodes: Vec<NodeId>,
        revision: Revision,
        by_ms: u64,
    },
    /// No new work reaches a server after the given time.
    Quiet { server: UpstreamId, after_ms: u64 },
    /// The servers cancelled at least this many requests, queued or running.
    Cancelled { least: u64 },
    /// A publish had this result.
    Published {
        publish: CompactString,
        result: PublishOutcome,
        code: Option<u16>,
    },
    /// The process of a stopped entry VM has exited.
    Exited { node: NodeId, by_ms: u64 },
}

/// The properties of an expected answer; an absent key allows any value.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ExpectedAnswer {
    pub(crate) call: CompactString,
    pub(crate) outcome: Option<Outcome>,
    pub(crate) code: Option<u16>,
    /// Allowed codes, for a scenario whose result depends on a race.
    #[serde(default)]
    pub(crate) codes: Vec<u16>,
    /// Number of shards in the answer.
    pub(crate) shards: Option<u32>,
    /// Number of members in the answer.
    pub(crate) members: Option<u64>,
    pub(crate) missing: Option<Vec<ShardId>>,
    pub(crate) reason: Option<MissingReason>,
    pub(crate) version: Option<IndexVersion>,
    pub(crate) map: Option<MapId>,
    pub(crate) revision: Option<Revision>,
    /// Longest allowed time from the arrival at the entry VM to the answer.
    pub(crate) within_ms: Option<u64>,
}

/// The result of a publish.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum PublishOutcome {
    Accepted,
    Unchanged,
    Refused,
    Unknown,
}

impl ScenarioFile {
    /// Returns the duration of the scenario, without the warm-up.
    pub(crate) fn end(&self) -> Duration {
        let last = self.steps.iter().map(|step| match &step.action {
            Action::Call(call) => step.at + Duration::from_millis(call.every_ms) * call.count,
            _ => step.at,
        });
        let end = last.max().unwrap_or_default() + COOLDOWN;
        self.end_ms.map_or(end, Duration::from_millis)
    }

    /// Lists the zones of entry VMs and servers.
    pub(crate) fn zones(&self) -> Vec<ZoneName> {
        let mut zones: Vec<ZoneName> = self.entries.keys().cloned().collect();
        zones.extend(self.index.servers.keys().cloned());
        zones.sort();
        zones.dedup();
        zones
    }
}

/// Parses a scenario; the error names the step or expectation.
pub(crate) fn parse_scenario(text: &str) -> Result<ScenarioFile, String> {
    let mut file: ScenarioFile = toml::from_str(text).map_err(|error| error.to_string())?;
    for (number, table) in std::mem::take(&mut file.step).into_iter().enumerate() {
        let step = parse_step(table).map_err(|error| format!("step {}: {error}", number + 1))?;
        file.steps.push(step);
    }
    for (number, table) in std::mem::take(&mut file.expect).into_iter().enumerate() {
        let expectation =
            parse_value(table).map_err(|error| format!("expectation {}: {error}", number + 1))?;
        file.expectations.push(expectation);
    }
    check_names(&file)?;
    Ok(file)
}

fn parse_step(mut table: Table) -> Result<Step, String> {
    let at = table.remove("at_ms").and_then(|at| at.as_integer());
    let at = at.and_then(|at| u64::try_from(at).ok());
    let at = at.ok_or("at_ms is missing or not a number of milliseconds")?;
    Ok(Step {
        at: Duration::from_millis(at),
        action: parse_value(table)?,
    })
}

/// Deserializes a table whose single key names the variant.
fn parse_value<T: DeserializeOwned>(table: Table) -> Result<T, String> {
    let value = Value::Table(table);
    value
        .try_into()
        .map_err(|error| error.to_string().trim().to_owned())
}

/// Rejects references to unknown names, which would silently disable a step or an expectation.
fn check_names(file: &ScenarioFile) -> Result<(), String> {
    let servers: Vec<&UpstreamId> = file.index.servers.values().flatten().collect();
    let nodes: Vec<&NodeId> = file.entries.values().flatten().collect();
    let zones = file.zones();
    for (number, step) in file.steps.iter().enumerate() {
        let known = match &step.action {
            Action::Kill(id)
            | Action::Start(id)
            | Action::Stop(id)
            | Action::Pause(id)
            | Action::Resume(id) => nodes.contains(&id),
            Action::Call(call) => {
                let key = call.key.as_ref();
                let key = key.map(|key| ClaimKey::new(&call.service, key));
                if let Some(Err(error)) = key {
                    return Err(format!("step {}: {error}", number + 1));
                }
                call.to.as_ref().is_none_or(|id| nodes.contains(&id))
            }
            Action::Straggle { server, .. }
            | Action::Slow { server, .. }
            | Action::Shed { server, .. }
            | Action::Drain(server)
            | Action::Restart(server)
            | Action::Lose(server)
            | Action::Recover(server)
            | Action::RepeatReplies(server) => servers.contains(&server),
            Action::Retire { servers: named, .. } | Action::Version { servers: named, .. } => {
                named.iter().all(|id| servers.contains(&id))
            }
            Action::Repartition { shards, .. } => {
                shards.iter().flatten().all(|id| servers.contains(&id))
            }
            Action::Cut(names) | Action::Heal(names) => names
                .iter()
                .all(|name| name == PLATFORM || zones.contains(name)),
            Action::Publish(_)
            | Action::PlatformUp(_)
            | Action::PlatformDelay { .. }
            | Action::LoseReplies(_)
            | Action::LagReads(_)
            | Action::LagList { .. } => true,
        };
        if !known {
            return Err(format!("step {}: unknown VM, server or zone", number + 1));
        }
    }
    let replicas = file.index.shards.iter().flatten();
    if let Some(id) = replicas.into_iter().find(|id| !servers.contains(id)) {
        return Err(format!("index: unknown server {id}"));
    }
    check_expectations(file, &servers, &nodes)
}

fn check_expectations(
    file: &ScenarioFile,
    servers: &[&UpstreamId],
    nodes: &[&NodeId],
) -> Result<(), String> {
    for (number, expectation) in file.expectations.iter().enumerate() {
        let has_call = |id: &CompactString| {
            let mut steps = file.steps.iter();
            steps.any(|step| matches!(&step.action, Action::Call(call) if call.id == id))
        };
        let has_publish = |id: &CompactString| {
            let mut steps = file.steps.iter();
            steps.any(|step| matches!(&step.action, Action::Publish(publish) if publish.id == id))
        };
        let known = match expectation {
            Expectation::Answer(answer) => has_call(&answer.call),
            Expectation::Broken { call } => has_call(call),
            Expectation::InForce { nodes: named, .. } => named.iter().all(|id| nodes.contains(&id)),
            Expectation::Exited { node, .. } => nodes.contains(&node),
            Expectation::Quiet { server, .. } => servers.contains(&server),
            Expectation::Published { publish, .. } => has_publish(publish),
            Expectation::Runs { .. } | Expectation::Cancelled { .. } => true,
        };
        if !known {
            return Err(format!(
                "expectation {}: unknown call, publish, VM or server",
                number + 1
            ));
        }
    }
    Ok(())
}
