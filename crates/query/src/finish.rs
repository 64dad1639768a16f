//! The answer at the end of a query: coverage, result code and explanation.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use base::Code;
use base::Outcome;
use compact_str::format_compact;

use crate::Answer;
use crate::Coverage;
use crate::Explanation;
use crate::MissingReason;
use crate::MissingShard;
use crate::Query;
use crate::shard::Progress;

/// Absorbs the rounding error of products such as 0.9 of 30 members.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// Returns whether the covered members reach the declared fraction.
pub(crate) fn meets_minimum(covered: u64, members: u64, min_coverage: f64) -> bool {
    covered as f64 + ROUNDING_TOLERANCE >= min_coverage * members as f64
}

impl Query {
    pub(crate) fn build_answer(&mut self, now: Instant) -> Answer {
        let mut coverage = Coverage::default();
        let mut parts = Vec::new();
        let mut missing_members: BTreeMap<MissingReason, u64> = BTreeMap::new();
        for (shard, state) in std::mem::take(&mut self.shards) {
            coverage.shards += 1;
            coverage.members += state.members;
            coverage.covered += state.covered();
            let reason = match state.progress {
                Progress::Answered(part) => {
                    coverage.answered += 1;
                    parts.push(part);
                    continue;
                }
                Progress::Missing(reason) => reason,
                Progress::Open => MissingReason::Deadline,
            };
            *missing_members.entry(reason).or_default() += state.members.max(1);
            coverage.missing.push(MissingShard {
                shard,
                reason,
                attempts: state.attempts,
            });
        }
        let main_reason = missing_members
            .into_iter()
            .max_by_key(|(_, members)| *members)
            .map(|(reason, _)| reason);
        let code = self.choose_code(&coverage, main_reason);
        if !matches!(code.outcome(), Some(Outcome::Answered | Outcome::Partial)) {
            parts.clear();
        }
        Answer {
            code,
            parts,
            explanation: self.build_explanation(code, coverage, now),
        }
    }

    /// Chooses the result code; it is a refusal only if nothing can have run.
    fn choose_code(&self, coverage: &Coverage, main_reason: Option<MissingReason>) -> Code {
        if self.too_late {
            return Code::DeadlineTooShort;
        }
        let Some(reason) = main_reason else {
            return if coverage.shards == 0 {
                Code::NoUpstream
            } else {
                Code::Answered
            };
        };
        if coverage.answered == 0 {
            return if !self.may_have_run() {
                choose_refusal(reason)
            } else if self.plan.repeatable {
                Code::NoReply
            } else {
                Code::ReplyLost
            };
        }
        let min_coverage = self.plan.policy.at_deadline.min_coverage;
        if !meets_minimum(coverage.covered, coverage.members, min_coverage) {
            return Code::BelowMinimum;
        }
        match reason {
            MissingReason::Deadline | MissingReason::Limited => Code::PartialDeadline,
            MissingReason::NoReplica | MissingReason::Draining | MissingReason::Lost => {
                Code::PartialNoReplica
            }
            MissingReason::Retired => Code::PartialRetired,
            MissingReason::Shed => Code::PartialShed,
        }
    }

    fn build_explanation(&self, code: Code, coverage: Coverage, now: Instant) -> Explanation {
        Explanation {
            query: format_compact!("{:032x}", self.plan.id),
            service: self.plan.service.clone(),
            request: self.plan.request.clone(),
            index: self.plan.index.clone(),
            code,
            revision: self.plan.revision,
            stale_ms: self.plan.stale.map(to_ms),
            snapshot: self.snapshot,
            coverage,
            attempts: self.counts.attempts,
            hedges: self.counts.hedges,
            retries: self.counts.retries,
            restarts: self.abandoned_snapshots.len() as u32,
            abandoned: self.abandoned_snapshots.clone(),
            cancelled: self.counts.cancelled,
            not_run: self.counts.not_run,
            lost: self.counts.lost,
            postponed: self.counts.postponed,
            dropped: self.counts.dropped,
            deadline_ms: to_ms(
                self.plan
                    .deadline
                    .saturating_duration_since(self.started_at),
            ),
            elapsed_ms: to_ms(now.saturating_duration_since(self.started_at)),
        }
    }
}

fn choose_refusal(reason: MissingReason) -> Code {
    match reason {
        MissingReason::Shed | MissingReason::Retired => Code::ShedEverywhere,
        MissingReason::Limited => Code::Overloaded,
        MissingReason::NoReplica | MissingReason::Draining => Code::NoUpstream,
        MissingReason::Deadline | MissingReason::Lost => Code::NoReply,
    }
}

fn to_ms(time: Duration) -> u64 {
    time.as_millis() as u64
}
