//! Checks each answer against what the servers really did for its query.

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

/// Violations found in a case; every count should be zero with the full policy.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Violations {
    /// Answers with parts of more than one snapshot.
    pub mixed: u64,
    /// Answers whose coverage is not what the servers did.
    pub misreported: u64,
    /// Answers with a part that belongs to another request.
    pub foreign: u64,
    /// Connections that a server refused because its limit was reached.
    pub connections: u64,
    /// Answers after the deadline.
    pub late: u64,
    /// Idempotency keys that were run more than once.
    pub reruns: u64,
    /// Refusals of queries of which a sub-request had run.
    pub refused: u64,
}

/// What the servers did for one query, as seen at the servers.
#[derive(Debug, Clone, Default)]
pub struct Evidence {
    /// Text that the items of every part must repeat.
    pub echo: String,
    /// Parts that servers sent, with the members that they searched.
    pub sent: Vec<(Snapshot, ShardId, u64)>,
    /// Sub-requests that were started in a slot.
    pub executed: Vec<(MapId, ShardId)>,
}

impl Evidence {
    /// Counts the sub-requests beyond one per shard.
    pub fn count_extra(&self) -> u64 {
        let distinct: BTreeSet<_> = self.executed.iter().collect();
        (self.executed.len() - distinct.len()) as u64
    }
}

/// Adds what is wrong with an answer to the violations.
pub fn check_answer(
    answer: &Answer,
    evidence: &Evidence,
    asked: &ShardSet,
    repeatable: bool,
    maps: &BTreeMap<MapId, ShardMap>,
    found: &mut Violations,
) {
    let parts = answer.parts.iter();
    let snapshots: BTreeSet<_> = parts.map(|part| (part.version, part.map)).collect();
    found.mixed += u64::from(snapshots.len() > 1);
    let echoes = |part: &Part| part.items.get().contains(&evidence.echo);
    found.foreign += u64::from(!answer.parts.iter().all(echoes));
    let outcome = answer.code.outcome();
    found.refused += u64::from(outcome == Some(Outcome::Refused) && !evidence.executed.is_empty());
    if matches!(outcome, Some(Outcome::Answered | Outcome::Partial)) {
        let true_coverage = is_true(answer, evidence, asked, repeatable, maps);
        found.misreported += u64::from(!true_coverage);
    }
}

fn snapshot(part: &Part) -> Snapshot {
    Snapshot {
        version: part.version,
        map: part.map,
    }
}

fn is_true(
    answer: &Answer,
    evidence: &Evidence,
    asked: &ShardSet,
    repeatable: bool,
    maps: &BTreeMap<MapId, ShardMap>,
) -> bool {
    let explanation = &answer.explanation;
    let coverage = &explanation.coverage;
    let Some(bound) = explanation.snapshot else {
        return false;
    };
    let Some(map) = maps.get(&bound.map) else {
        return false;
    };
    let selected: BTreeMap<ShardId, u64> = map
        .shards
        .iter()
        .filter(|shard| asked.contains(shard))
        .map(|shard| (shard.id, shard.members))
        .collect();
    let real = answer.parts.iter().all(|part| {
        let sent = (snapshot(part), part.shard, part.members);
        snapshot(part) == bound && evidence.sent.contains(&sent)
    });
    let given: BTreeSet<ShardId> = answer.parts.iter().map(|part| part.shard).collect();
    let missing: BTreeSet<ShardId> = coverage.missing.iter().map(|entry| entry.shard).collect();
    let covered: u64 = given.iter().filter_map(|shard| selected.get(shard)).sum();
    let all = if repeatable {
        selected.len()
    } else {
        1.min(selected.len())
    };
    let total: u64 = given
        .union(&missing)
        .filter_map(|shard| selected.get(shard))
        .sum();
    real && given.len() == answer.parts.len()
        && given.is_disjoint(&missing)
        && given
            .union(&missing)
            .all(|shard| selected.contains_key(shard))
        && given.len() + missing.len() == all
        && coverage.shards as usize == all
        && coverage.answered as usize == given.len()
        && coverage.covered == covered
        && coverage.members == total
}
