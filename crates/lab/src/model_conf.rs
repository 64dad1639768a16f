//! Specification of configuration acceptance: two publishers, three nodes, and the platform.
//!
//! Two nodes are relays and read the platform, whose reads may lag by any number of revisions. The other learns from
//! peers, whose messages may be late by any time, so that it may get any revision that a node has ever had.
//!
//! Failures may occur at any moment and any number of times: a write whose reply is lost takes effect later or never,
//! an outage is a platform that takes no step, and nodes restart empty, but for one that keeps what it has.

use std::collections::BTreeSet;
use std::fmt;

use crate::model::Exploration;
use crate::model::Fault;
use crate::model::explore;

const PUBLISHERS: usize = 2;
const NODES: usize = 3;

/// The nodes below this number watch the platform.
const RELAYS: usize = 2;

/// A catalogue, as far as its acceptance is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
struct Catalogue {
    revision: u8,
    /// One bit for each publish that it contains.
    publishes: u8,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Publisher {
    /// Reads the catalogue next, also to find out whether a write without a reply took effect.
    Reading,
    /// Has read this catalogue and writes its successor next.
    Writing(Catalogue),
    /// Has told the operator that the publish is accepted.
    Accepted,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    /// Every value that the platform had; the last is the current one.
    values: Vec<Catalogue>,
    publishers: [Publisher; PUBLISHERS],
    /// Writes without a reply that may still take effect, with the revision that they are conditional on.
    delayed: BTreeSet<(u8, Catalogue)>,
    /// The configuration in force, per node; absent after a restart.
    nodes: [Option<Catalogue>; NODES],
    /// The highest revision that any node has had.
    spread: u8,
    /// The highest revision that was in force on all nodes at the same time.
    everywhere: u8,
    went_back: bool,
}

/// A step, printed in traces.
#[derive(Debug, Clone, Copy)]
enum Step {
    Read(usize, u8),
    Write(usize),
    LoseReply(usize),
    Land,
    Watch(usize, u8),
    Receive(usize, u8),
    Restart(usize),
    Join(usize, Option<u8>, usize),
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match *self {
            Step::Read(p, revision) => write!(f, "publisher {p} reads revision {revision}"),
            Step::Write(p) => write!(f, "publisher {p} writes"),
            Step::LoseReply(p) => write!(f, "publisher {p} writes and gets no reply"),
            Step::Land => write!(f, "the platform carries out a write without a reply"),
            Step::Watch(n, revision) => {
                write!(f, "node {n} reads revision {revision} from the platform")
            }
            Step::Receive(n, revision) => {
                write!(f, "node {n} receives revision {revision} from a peer")
            }
            Step::Restart(n) => write!(f, "node {n} restarts empty"),
            Step::Join(n, read, peer) => {
                write!(
                    f,
                    "node {n} asks the platform and the peers, and takes the higher; "
                )?;
                match read {
                    Some(revision) => write!(f, "the platform answers {revision}, ")?,
                    None => write!(f, "the platform doesn't answer, ")?,
                }
                write!(f, "node {peer} answers")
            }
        }
    }
}

/// Searches configuration acceptance.
pub(crate) fn explore_configurations(fault: Option<Fault>) -> Exploration {
    let first = Catalogue::default();
    let start = State {
        values: vec![first],
        publishers: [Publisher::Reading; PUBLISHERS],
        delayed: BTreeSet::new(),
        nodes: [Some(first); NODES],
        spread: 0,
        everywhere: 0,
        went_back: false,
    };
    let rules = Rules { fault };
    explore(
        "configuration acceptance",
        start,
        |state| rules.steps(state),
        find_broken,
    )
}

/// Names the property that a state has lost.
fn find_broken(state: &State) -> Option<&'static str> {
    let current = current(state);
    for (at, publisher) in state.publishers.iter().enumerate() {
        if *publisher == Publisher::Accepted && current.publishes & (1 << at) == 0 {
            return Some("an accepted publish is lost");
        }
    }
    if state.went_back {
        return Some("the revision in force on a node went back");
    }
    let held: Vec<Catalogue> = state.nodes.iter().flatten().copied().collect();
    if held.iter().any(|held| held.revision < state.everywhere) {
        return Some("a restarted node is behind a revision that was in force everywhere");
    }
    let forked = |a: &Catalogue| held.iter().any(|b| a.revision == b.revision && a != b);
    held.iter()
        .any(forked)
        .then_some("two nodes hold different catalogues of one revision")
}

fn current(state: &State) -> Catalogue {
    state.values.last().copied().unwrap_or_default()
}

/// The steps of the protocol under a seeded fault.
struct Rules {
    fault: Option<Fault>,
}

impl Rules {
    fn steps(&self, state: &State) -> Vec<(Step, State)> {
        let mut found = Vec::new();
        for publisher in 0..PUBLISHERS {
            self.publisher_steps(state, publisher, &mut found);
        }
        for node in 0..NODES {
            self.node_steps(state, node, &mut found);
            self.join_steps(state, node, &mut found);
        }
        for write in &state.delayed {
            let mut next = state.clone();
            next.delayed.remove(write);
            self.write(&mut next, write.0, write.1);
            found.push((Step::Land, next));
        }
        for (_, next) in &mut found {
            let held = next.nodes.iter().map(|node| node.map(|held| held.revision));
            let lowest = held.clone().min().flatten();
            next.everywhere = next.everywhere.max(lowest.unwrap_or(0));
            next.spread = next.spread.max(held.flatten().max().unwrap_or(0));
        }
        found
    }

    fn publisher_steps(&self, state: &State, p: usize, found: &mut Vec<(Step, State)>) {
        match state.publishers[p] {
            Publisher::Reading => {
                for value in &state.values {
                    let mut next = state.clone();
                    next.publishers[p] = match value.publishes & (1 << p) {
                        0 => Publisher::Writing(*value),
                        _ => Publisher::Accepted,
                    };
                    found.push((Step::Read(p, value.revision), next));
                }
            }
            Publisher::Writing(base) => {
                let value = Catalogue {
                    revision: base.revision + 1,
                    publishes: base.publishes | (1 << p),
                };
                let mut next = state.clone();
                next.publishers[p] = match self.write(&mut next, base.revision, value) {
                    true => Publisher::Accepted,
                    false => Publisher::Reading,
                };
                found.push((Step::Write(p), next));
                // The lost reply of a write that can't take effect is no different from a conflict.
                if self.applies(state, base.revision) {
                    let mut next = state.clone();
                    next.delayed.insert((base.revision, value));
                    next.publishers[p] = Publisher::Reading;
                    found.push((Step::LoseReply(p), next));
                }
            }
            Publisher::Accepted => {}
        }
    }

    fn node_steps(&self, state: &State, n: usize, found: &mut Vec<(Step, State)>) {
        if state.nodes[n].is_none() {
            return;
        }
        for value in &state.values {
            let revision = value.revision;
            let mut next = state.clone();
            self.offer(&mut next, n, *value);
            if n < RELAYS {
                found.push((Step::Watch(n, revision), next));
            } else if revision <= state.spread {
                found.push((Step::Receive(n, revision), next));
            }
        }
        if state.nodes.iter().flatten().count() > 1 {
            let mut next = state.clone();
            next.nodes[n] = None;
            found.push((Step::Restart(n), next));
        }
    }

    /// A node that starts empty asks the platform and the peers before it takes a configuration from either, since
    /// each may lag. Any one peer that has a revision is enough.
    fn join_steps(&self, state: &State, n: usize, found: &mut Vec<(Step, State)>) {
        if state.nodes[n].is_some() {
            return;
        }
        let reads = state.values.iter().copied().map(Some).chain([None]);
        for read in reads {
            for peer in (0..NODES).filter(|peer| state.nodes[*peer].is_some()) {
                let mut next = state.clone();
                next.nodes[n] = read.max(state.nodes[peer]);
                let revision = read.map(|value| value.revision);
                found.push((Step::Join(n, revision, peer), next));
            }
        }
    }

    fn applies(&self, state: &State, base: u8) -> bool {
        base == current(state).revision || self.fault == Some(Fault::IgnoreVersion)
    }

    /// Carries out an update, on condition of the revision unless the fault says otherwise.
    fn write(&self, state: &mut State, base: u8, value: Catalogue) -> bool {
        let applies = self.applies(state, base);
        if applies {
            state.values.push(value);
            state.delayed = std::mem::take(&mut state.delayed)
                .into_iter()
                .filter(|write| self.applies(state, write.0))
                .collect();
        }
        applies
    }

    /// Offers a catalogue to a node, which accepts only a higher revision.
    fn offer(&self, state: &mut State, n: usize, value: Catalogue) {
        let held = state.nodes[n].map_or(0, |held| held.revision);
        if value.revision > held || self.fault == Some(Fault::LowerRevision) {
            state.went_back |= value.revision < held;
            state.nodes[n] = Some(value);
        }
    }
}
