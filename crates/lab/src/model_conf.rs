//! Specification of configuration acceptance: two publishers, three nodes, and the platform.
//!
//! Two nodes are relays and read the platform, whose reads may lag by any number of revisions. The third node receives
//! configurations from peers, whose messages may be delayed by any time, so it may get any revision that a node had.
//!
//! Failures may occur at any time and any number of times: a write whose reply is lost takes effect later or never, the
//! platform takes no step during an outage, and nodes restart without a configuration. At least one node keeps its own.

use std::collections::BTreeSet;
use std::fmt;

use crate::model::Exploration;
use crate::model::Fault;
use crate::model::explore;

const PUBLISHERS: usize = 2;
const NODES: usize = 3;

/// Nodes with a lower index than this watch the platform.
const RELAYS: usize = 2;

/// The parts of a catalogue that its acceptance depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
struct Catalogue {
    revision: u8,
    /// One bit for each publish that it contains.
    publishes: u8,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Publisher {
    /// Reads the catalogue next, also to see whether a write whose reply was lost took effect.
    Reading,
    /// Has read this catalogue and writes its successor next.
    Writing(Catalogue),
    /// Has reported to the operator that the publish is accepted.
    Accepted,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    /// All values of the platform so far; the last is the current one.
    values: Vec<Catalogue>,
    publishers: [Publisher; PUBLISHERS],
    /// Writes that may still take effect although their replies were lost, with the revisions they are conditional on.
    delayed: BTreeSet<(u8, Catalogue)>,
    /// The configuration in force on each node; `None` after a restart.
    nodes: [Option<Catalogue>; NODES],
    /// The highest revision that was in force on any node.
    highest_seen: u8,
    /// The highest revision that was in force on all nodes at the same time.
    highest_common: u8,
    revision_decreased: bool,
}

/// A step, printed in traces.
#[derive(Debug, Clone, Copy)]
enum Step {
    Read(usize, u8),
    Write(usize),
    LoseReply(usize),
    ApplyDelayed,
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
            Step::LoseReply(p) => write!(f, "publisher {p} writes and the reply is lost"),
            Step::ApplyDelayed => write!(f, "the platform applies a write whose reply was lost"),
            Step::Watch(n, revision) => {
                write!(f, "node {n} reads revision {revision} from the platform")
            }
            Step::Receive(n, revision) => {
                write!(f, "node {n} receives revision {revision} from a peer")
            }
            Step::Restart(n) => write!(f, "node {n} restarts without a configuration"),
            Step::Join(n, read, peer) => {
                write!(
                    f,
                    "node {n} asks the platform and its peers, and uses the highest revision; "
                )?;
                match read {
                    Some(revision) => write!(f, "the platform returns {revision}, ")?,
                    None => write!(f, "the platform does not reply, ")?,
                }
                write!(f, "node {peer} replies")
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
        highest_seen: 0,
        highest_common: 0,
        revision_decreased: false,
    };
    let rules = Rules { fault };
    explore(
        "configuration acceptance",
        start,
        |state| rules.list_steps(state),
        find_violation,
    )
}

/// Returns a description of the first property that a state violates.
fn find_violation(state: &State) -> Option<&'static str> {
    let current = find_current(state);
    for (index, publisher) in state.publishers.iter().enumerate() {
        if *publisher == Publisher::Accepted && current.publishes & (1 << index) == 0 {
            return Some("an accepted publish is lost");
        }
    }
    if state.revision_decreased {
        return Some("the revision in force on a node decreased");
    }
    let in_force: Vec<Catalogue> = state.nodes.iter().flatten().copied().collect();
    if in_force
        .iter()
        .any(|catalogue| catalogue.revision < state.highest_common)
    {
        return Some(
            "a restarted node has a lower revision than one that was in force on all nodes",
        );
    }
    let conflicts = |a: &Catalogue| in_force.iter().any(|b| a.revision == b.revision && a != b);
    in_force
        .iter()
        .any(conflicts)
        .then_some("two nodes have different catalogues of the same revision")
}

fn find_current(state: &State) -> Catalogue {
    state.values.last().copied().unwrap_or_default()
}

/// The steps of the protocol under a seeded fault.
struct Rules {
    fault: Option<Fault>,
}

impl Rules {
    fn list_steps(&self, state: &State) -> Vec<(Step, State)> {
        let mut successors = Vec::new();
        for publisher in 0..PUBLISHERS {
            self.add_publisher_steps(state, publisher, &mut successors);
        }
        for node in 0..NODES {
            self.add_node_steps(state, node, &mut successors);
            self.add_join_steps(state, node, &mut successors);
        }
        for write in &state.delayed {
            let mut next = state.clone();
            next.delayed.remove(write);
            self.write(&mut next, write.0, write.1);
            successors.push((Step::ApplyDelayed, next));
        }
        for (_, next) in &mut successors {
            let revisions = next
                .nodes
                .iter()
                .map(|node| node.map(|value| value.revision));
            let lowest = revisions.clone().min().flatten();
            next.highest_common = next.highest_common.max(lowest.unwrap_or(0));
            next.highest_seen = next
                .highest_seen
                .max(revisions.flatten().max().unwrap_or(0));
        }
        successors
    }

    fn add_publisher_steps(&self, state: &State, p: usize, successors: &mut Vec<(Step, State)>) {
        match state.publishers[p] {
            Publisher::Reading => {
                for value in &state.values {
                    let mut next = state.clone();
                    next.publishers[p] = match value.publishes & (1 << p) {
                        0 => Publisher::Writing(*value),
                        _ => Publisher::Accepted,
                    };
                    successors.push((Step::Read(p, value.revision), next));
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
                successors.push((Step::Write(p), next));
                // A lost reply to a write that can't take effect has the same result as a conflict.
                if self.applies(state, base.revision) {
                    let mut next = state.clone();
                    next.delayed.insert((base.revision, value));
                    next.publishers[p] = Publisher::Reading;
                    successors.push((Step::LoseReply(p), next));
                }
            }
            Publisher::Accepted => {}
        }
    }

    fn add_node_steps(&self, state: &State, n: usize, successors: &mut Vec<(Step, State)>) {
        if state.nodes[n].is_none() {
            return;
        }
        for value in &state.values {
            let revision = value.revision;
            let mut next = state.clone();
            self.deliver(&mut next, n, *value);
            if n < RELAYS {
                successors.push((Step::Watch(n, revision), next));
            } else if revision <= state.highest_seen {
                successors.push((Step::Receive(n, revision), next));
            }
        }
        if state.nodes.iter().flatten().count() > 1 {
            let mut next = state.clone();
            next.nodes[n] = None;
            successors.push((Step::Restart(n), next));
        }
    }

    /// A node without a configuration asks both the platform and its peers before it accepts one, since each may lag.
    /// One reply from a peer that has a configuration is enough.
    fn add_join_steps(&self, state: &State, n: usize, successors: &mut Vec<(Step, State)>) {
        if state.nodes[n].is_some() {
            return;
        }
        let reads = state.values.iter().copied().map(Some).chain([None]);
        for read in reads {
            for peer in (0..NODES).filter(|peer| state.nodes[*peer].is_some()) {
                let mut next = state.clone();
                next.nodes[n] = read.max(state.nodes[peer]);
                let revision = read.map(|value| value.revision);
                successors.push((Step::Join(n, revision, peer), next));
            }
        }
    }

    fn applies(&self, state: &State, base: u8) -> bool {
        base == find_current(state).revision || self.fault == Some(Fault::IgnoreVersion)
    }

    /// Applies an update if the platform still has the base revision, and returns whether it did.
    ///
    /// [`Fault::IgnoreVersion`] disables this check.
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

    /// Delivers a catalogue to a node, which accepts only a higher revision.
    fn deliver(&self, state: &mut State, n: usize, value: Catalogue) {
        let in_force = state.nodes[n].map_or(0, |value| value.revision);
        if value.revision > in_force || self.fault == Some(Fault::LowerRevision) {
            state.revision_decreased |= value.revision < in_force;
            state.nodes[n] = Some(value);
        }
    }
}
