//! Checks of the expectations of a file, and of invariants that hold in every scenario.

use std::collections::BTreeMap;
use std::time::Duration;

use base::Outcome;
use compact_str::CompactString;

use crate::scenario::call::CallEnd;
use crate::scenario::call::CallRecord;
use crate::scenario::call::name_call;
use crate::scenario::file::Expectation;
use crate::scenario::file::ExpectedAnswer;
use crate::scenario::file::PublishOutcome;
use crate::scenario::world::World;

impl World<'_> {
    /// Runs all checks that are possible only at the end.
    pub(crate) fn check(&mut self) {
        let mut found = self.check_invariants();
        for expectation in &self.file.expectations {
            match expectation {
                Expectation::Answer(expected) => found.extend(self.check_answers(expected)),
                Expectation::Broken { call } => found.extend(self.check_broken(call)),
                Expectation::Runs { key, least, most } => {
                    let runs = self.count_runs().get(key).copied().unwrap_or(0);
                    if !(*least..=*most).contains(&runs) {
                        found.push(format!(
                            "key {key}: expected {least} to {most} runs, got {runs}"
                        ));
                    }
                }
                // Checked at its own time, by `check_in_force`.
                Expectation::InForce { .. } => {}
                Expectation::Quiet { server, after_ms } => {
                    found.extend(self.check_quiet(server, *after_ms));
                }
                Expectation::Cancelled { least } => {
                    let counts = self.hosts.iter().map(|host| host.model.counts());
                    let cancelled: u64 = counts.map(|count| count.cut + count.unqueued).sum();
                    if cancelled < *least {
                        found.push(format!(
                            "servers: expected at least {least} cancelled requests, got {cancelled}"
                        ));
                    }
                }
                Expectation::Published {
                    publish,
                    result,
                    code,
                } => found.extend(self.check_published(publish, *result, *code)),
                Expectation::Exited { node, by_ms } => {
                    found.extend(self.check_exited(node, *by_ms));
                }
            }
        }
        for text in found {
            self.record_failure(text);
        }
    }

    /// Lists violations of G4, G5 and the connection limit, and calls that never end.
    fn check_invariants(&self) -> Vec<String> {
        let mut found = Vec::new();
        for record in &self.calls {
            let name = name_call(record);
            match &record.end {
                None => found.push(format!(
                    "{name}: expected an answer or a broken connection, got neither"
                )),
                Some(CallEnd::Answered { code, .. })
                    if code.outcome() == Some(Outcome::Refused)
                        && !record.evidence.executed.is_empty() =>
                {
                    found.push(format!(
                        "{name}: refused with code {}, but it ran",
                        code.number()
                    ));
                }
                Some(_) => {}
            }
        }
        for (key, runs) in self.count_runs() {
            if runs > 1 {
                found.push(format!("key {key}: expected at most 1 run, got {runs}"));
            }
        }
        for host in &self.hosts {
            let refused = host.listener.refused;
            if refused > 0 {
                let id = &host.model.settings().id;
                found.push(format!(
                    "server {id}: expected no connection over its limit, got {refused}"
                ));
            }
        }
        found
    }

    fn count_runs(&self) -> BTreeMap<CompactString, u32> {
        let mut runs = BTreeMap::new();
        for (key, count) in self.hosts.iter().flat_map(|host| host.model.runs()) {
            *runs.entry(key.clone()).or_default() += count;
        }
        runs
    }

    fn find_calls(&self, id: &str) -> impl Iterator<Item = &CallRecord> {
        self.calls.iter().filter(move |record| record.call.id == id)
    }

    /// Describes the first answer that differs from the expectation, and counts the others.
    fn check_answers(&self, expected: &ExpectedAnswer) -> Option<String> {
        let wrong = self.find_calls(&expected.call).filter_map(|record| {
            let differences = match record.end.as_ref()? {
                CallEnd::Broken => vec!["expected an answer, got a broken connection".to_owned()],
                end @ CallEnd::Answered { .. } => compare(expected, end),
            };
            let text = differences.join("; ");
            (!text.is_empty()).then(|| format!("{}: {text}", name_call(record)))
        });
        let wrong: Vec<String> = wrong.collect();
        let first = wrong.first()?;
        let others = wrong.len() - 1;
        Some(if others == 0 {
            first.clone()
        } else {
            format!("{first} (and {others} other requests)")
        })
    }

    fn check_broken(&self, call: &str) -> Option<String> {
        let mut calls = self.find_calls(call);
        let answered = calls.find(|record| matches!(record.end, Some(CallEnd::Answered { .. })))?;
        let name = name_call(answered);
        Some(format!(
            "{name}: expected a broken connection, got an answer"
        ))
    }

    fn check_quiet(&self, server: &CompactString, after_ms: u64) -> Option<String> {
        let host = &self.hosts[self.server_indexes[server]];
        let after = self.start + Duration::from_millis(after_ms);
        let late: Vec<_> = host.arrivals.iter().filter(|at| **at > after).collect();
        let last = late.last()?.saturating_duration_since(self.start);
        Some(format!(
            "server {server}: expected no new work after {after_ms} ms, got {} requests, the last at {} ms",
            late.len(),
            last.as_millis()
        ))
    }

    fn check_published(
        &self,
        publish: &CompactString,
        expected: PublishOutcome,
        code: Option<u16>,
    ) -> Option<String> {
        let operator = self
            .operators
            .iter()
            .find(|operator| operator.id == publish)?;
        let name = format!("step {} (publish {publish})", operator.step + 1);
        let Some(result) = &operator.result else {
            return Some(format!("{name}: expected {expected:?}, got no result"));
        };
        let (got, number) = match result {
            conf::PublishResult::Accepted { .. } => (PublishOutcome::Accepted, None),
            conf::PublishResult::Unchanged { .. } => (PublishOutcome::Unchanged, None),
            conf::PublishResult::Refused(refusal) => {
                (PublishOutcome::Refused, Some(refusal.code().number()))
            }
            conf::PublishResult::Unknown { .. } => (PublishOutcome::Unknown, None),
        };
        let wrong = got != expected || code.is_some() && code != number;
        wrong.then(|| format!("{name}: expected {expected:?} {code:?}, got {result:?}"))
    }

    fn check_exited(&self, id: &CompactString, by_ms: u64) -> Option<String> {
        let node = self.nodes.iter().find(|node| node.id == id)?;
        let by = self.start + Duration::from_millis(by_ms);
        match node.exited {
            Some(at) if at <= by => None,
            Some(at) => Some(format!(
                "{id}: expected the process to exit by {by_ms} ms, got {} ms",
                at.saturating_duration_since(self.start).as_millis()
            )),
            None => Some(format!(
                "{id}: expected the process to exit by {by_ms} ms, got no exit"
            )),
        }
    }

    /// Compares the revisions that are in force now with an expectation.
    pub(crate) fn check_in_force(&mut self, number: usize) {
        let Expectation::InForce {
            nodes,
            revision,
            by_ms,
        } = &self.file.expectations[number]
        else {
            return;
        };
        let behind = self.nodes.iter().filter(|node| {
            let included = nodes.is_empty() && node.up && !node.paused || nodes.contains(&node.id);
            included && node.conf.revision() < *revision
        });
        let texts: Vec<String> = behind
            .map(|node| {
                format!(
                    "{}: expected revision {revision} in force by {by_ms} ms, got {}",
                    node.id,
                    node.conf.revision()
                )
            })
            .collect();
        texts.into_iter().for_each(|text| self.record_failure(text));
    }
}

/// Lists the differences between an answer and its expectation.
fn compare(expected: &ExpectedAnswer, end: &CallEnd) -> Vec<String> {
    let CallEnd::Answered {
        code,
        answer,
        after,
    } = end
    else {
        return Vec::new();
    };
    let mut found = Vec::new();
    let mut differ = |what: &str, wrong: bool, expected: String, got: String| {
        if wrong {
            found.push(format!("expected {what} {expected}, got {got}"));
        }
    };
    macro_rules! same {
        ($what:literal, $expected:expr, $got:expr) => {
            if let Some(expected) = &$expected {
                let got = $got;
                differ(
                    $what,
                    got.as_ref() != Some(expected),
                    format!("{expected:?}"),
                    got.map_or("none".to_owned(), |got| format!("{got:?}")),
                );
            }
        };
    }
    same!("outcome", expected.outcome, code.outcome());
    same!("code", expected.code, Some(code.number()));
    let codes = &expected.codes;
    let unexpected = !codes.is_empty() && !codes.contains(&code.number());
    differ(
        "one of the codes",
        unexpected,
        format!("{codes:?}"),
        code.number().to_string(),
    );
    let explanation = answer.as_ref().map(|answer| &answer.explanation);
    let coverage = explanation.map(|explanation| &explanation.coverage);
    let snapshot = explanation.and_then(|explanation| explanation.snapshot);
    same!(
        "shards",
        expected.shards,
        coverage.map(|coverage| coverage.answered)
    );
    same!(
        "members",
        expected.members,
        coverage.map(|coverage| coverage.covered)
    );
    let missing = coverage.map(|coverage| &coverage.missing);
    same!(
        "missing shards",
        expected.missing,
        missing.map(|missing| missing.iter().map(|entry| entry.shard).collect::<Vec<_>>())
    );
    same!(
        "reason",
        expected.reason,
        missing
            .and_then(|missing| missing.first())
            .map(|entry| entry.reason)
    );
    same!(
        "version",
        expected.version,
        snapshot.map(|snapshot| snapshot.version)
    );
    same!("map", expected.map, snapshot.map(|snapshot| snapshot.map));
    same!(
        "revision",
        expected.revision,
        explanation.map(|explanation| explanation.revision)
    );
    let within = expected.within_ms.map(Duration::from_millis);
    let slow = within.is_some_and(|within| *after > within);
    differ(
        "an answer within",
        slow,
        format!("{within:?}"),
        format!("{after:?}"),
    );
    found
}
