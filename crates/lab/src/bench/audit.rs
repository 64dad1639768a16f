//! Checks each answer against what the servers did for its query.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use base::MapId;
use base::Outcome;
use base::Part;
use base::ShardId;
use base::ShardMap;
use base::Snapshot;
use decl::ShardSet;
use query::Answer;
use serde::Deserialize;
use serde::Serialize;

/// Numbers of violated guarantees in a case; with the full policy each must be zero.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Violations {
    /// Answers with parts of more than one snapshot.
    pub mixed: u64,
    /// Answers whose reported coverage differs from what the servers did.
    pub misreported: u64,
    /// Answers with a part of another request.
    pub foreign: u64,
    /// Connections that a server refused at its connection limit.
    pub connections: u64,
    /// Answers that came after the deadline.
    pub late: u64,
    /// Idempotency keys that were executed more than once.
    pub reruns: u64,
    /// Queries that were refused although a sub-request had been executed.
    pub refused: u64,
}

/// What the servers did for one query, recorded at the servers.
#[derive(Debug, Clone, Default)]
pub struct Evidence {
    /// Text of the request that the items of every part must contain.
    pub echo: String,
    /// Parts that the servers sent: snapshot, shard and number of members searched.
    pub sent: Vec<(Snapshot, ShardId, u64)>,
    /// Shards of the sub-requests that may have been executed, one entry for each.
    pub executed: Vec<(MapId, ShardId)>,
}

impl Evidence {
    /// Counts the executed sub-requests beyond one per shard.
    pub fn count_extra(&self) -> u64 {
        let distinct: BTreeSet<_> = self.executed.iter().collect();
        (self.executed.len() - distinct.len()) as u64
    }
}

/// Compares an answer with the evidence and adds what is wrong to the violations.
pub fn check_answer(
    answer: &Answer,
    evidence: &Evidence,
    shards: &ShardSet,
    repeatable: bool,
    maps: &BTreeMap<MapId, ShardMap>,
    violations: &mut Violations,
) {
    let parts = answer.parts.iter();
    let snapshots: BTreeSet<_> = parts.map(|part| (part.version, part.map)).collect();
    violations.mixed += u64::from(snapshots.len() > 1);
    let is_own = |part: &Part| part.items.get().contains(&evidence.echo);
    violations.foreign += u64::from(!answer.parts.iter().all(is_own));
    let outcome = answer.code.outcome();
    violations.refused +=
        u64::from(outcome == Some(Outcome::Refused) && !evidence.executed.is_empty());
    if matches!(outcome, Some(Outcome::Answered | Outcome::Partial)) {
        let accurate = is_coverage_accurate(answer, evidence, shards, repeatable, maps);
        violations.misreported += u64::from(!accurate);
    }
}

fn snapshot_of(part: &Part) -> Snapshot {
    Snapshot {
        version: part.version,
        map: part.map,
    }
}

fn is_coverage_accurate(
    answer: &Answer,
    evidence: &Evidence,
    shards: &ShardSet,
    repeatable: bool,
    maps: &BTreeMap<MapId, ShardMap>,
) -> bool {
    let explanation = &answer.explanation;
    let coverage = &explanation.coverage;
    let Some(snapshot) = explanation.snapshot else {
        return false;
    };
    let Some(map) = maps.get(&snapshot.map) else {
        return false;
    };
    let selected: BTreeMap<ShardId, u64> = map
        .shards
        .iter()
        .filter(|shard| shards.contains(shard))
        .map(|shard| (shard.id, shard.members))
        .collect();
    let all_sent = answer.parts.iter().all(|part| {
        let sent = (snapshot_of(part), part.shard, part.members);
        snapshot_of(part) == snapshot && evidence.sent.contains(&sent)
    });
    let answered: BTreeSet<ShardId> = answer.parts.iter().map(|part| part.shard).collect();
    let missing: BTreeSet<ShardId> = coverage.missing.iter().map(|entry| entry.shard).collect();
    let covered: u64 = answered
        .iter()
        .filter_map(|shard| selected.get(shard))
        .sum();
    let expected = if repeatable {
        selected.len()
    } else {
        1.min(selected.len())
    };
    let members: u64 = answered
        .union(&missing)
        .filter_map(|shard| selected.get(shard))
        .sum();
    all_sent
        && answered.len() == answer.parts.len()
        && answered.is_disjoint(&missing)
        && answered
            .union(&missing)
            .all(|shard| selected.contains_key(shard))
        && answered.len() + missing.len() == expected
        && coverage.shards as usize == expected
        && coverage.answered as usize == answered.len()
        && coverage.covered == covered
        && coverage.members == members
}
