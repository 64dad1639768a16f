//! Exhaustive search over the claim protocol and the acceptance of configurations.
//!
//! Each specification is a set of states with the steps that are possible in each. The search visits every state that
//! can be reached, breadth first, so that a broken property comes with a shortest trace. A seeded fault disables one
//! rule of the protocol; the search has to find what goes wrong then, which shows that it looks at the right things.
//!
//! ```
//! use lab::model;
//! use lab::model::Fault;
//!
//! let report = model::run(Some(Fault::SendBeforeClaim));
//! assert!(!report.holds());
//! println!("{report}");
//! ```

use std::cell::Cell;
use std::fmt;
use std::hash::Hash;
use std::hash::Hasher;

use pathfinding::directed::bfs::bfs;

use crate::model_claim;
use crate::model_conf;

/// A rule of the protocol that a run of the model checker leaves out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// A requester may send before its claim is granted.
    SendBeforeClaim,
    /// A requester that gives up reports "not run" without writing a revocation.
    NoRevocation,
    /// The platform's updates are not conditional on the version.
    IgnoreVersion,
    /// Claims expire at the end of their send window.
    ExpireEarly,
    /// A node accepts a configuration with a lower revision than the one in force.
    LowerRevision,
}

impl Fault {
    /// Every fault, in the order of the documentation.
    pub const ALL: [Fault; 5] = [
        Fault::SendBeforeClaim,
        Fault::NoRevocation,
        Fault::IgnoreVersion,
        Fault::ExpireEarly,
        Fault::LowerRevision,
    ];

    /// Returns the name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Fault::SendBeforeClaim => "send-before-claim",
            Fault::NoRevocation => "no-revocation",
            Fault::IgnoreVersion => "ignore-version",
            Fault::ExpireEarly => "expire-early",
            Fault::LowerRevision => "lower-revision",
        }
    }

    /// Looks up a fault by its name on the command line.
    pub fn parse(name: &str) -> Option<Fault> {
        Fault::ALL.into_iter().find(|fault| fault.name() == name)
    }
}

/// The end of one search.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Finding {
    /// Every state that can be reached has every property.
    Holds,
    /// A state without a property can be reached.
    Violated {
        /// The property, stated as what went wrong.
        property: &'static str,
        /// A shortest sequence of steps that leads there.
        trace: Vec<String>,
    },
}

/// The result of the search over one specification.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Exploration {
    /// What was searched.
    pub name: &'static str,
    /// States whose steps were followed; all that can be reached when the properties hold.
    pub states: usize,
    /// Steps from the start to the farthest of these states.
    pub depth: u32,
    /// What was found.
    pub finding: Finding,
}

/// The result of a run of the model checker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// The seeded fault.
    pub fault: Option<Fault>,
    /// One search for each specification.
    pub explorations: Vec<Exploration>,
}

impl Report {
    /// Returns whether all properties hold.
    pub fn holds(&self) -> bool {
        let mut findings = self.explorations.iter().map(|found| &found.finding);
        findings.all(|finding| *finding == Finding::Holds)
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let fault = self.fault.map_or("none", Fault::name);
        writeln!(f, "model: seeded fault: {fault}")?;
        for Exploration {
            name,
            states,
            depth,
            finding,
        } in &self.explorations
        {
            write!(f, "model: {name}: {states} states, depth {depth}, ")?;
            match finding {
                Finding::Holds => writeln!(f, "all properties hold")?,
                Finding::Violated { property, trace } => {
                    writeln!(f, "broken: {property}, after {} steps", trace.len())?;
                    for (at, step) in trace.iter().enumerate() {
                        writeln!(f, "  {:2}. {step}", at + 1)?;
                    }
                }
            }
        }
        Ok(())
    }
}

/// Searches both specifications, with a rule left out when a fault is seeded.
pub fn run(seeded_fault: Option<Fault>) -> Report {
    Report {
        fault: seeded_fault,
        explorations: vec![
            model_claim::explore_claims(seeded_fault),
            model_conf::explore_configurations(seeded_fault),
        ],
    }
}

/// A state together with how it was reached, which doesn't make it another state.
#[derive(Debug, Clone)]
struct Node<S, T> {
    state: S,
    step: Option<T>,
    depth: u32,
}

impl<S: PartialEq, T> PartialEq for Node<S, T> {
    fn eq(&self, other: &Node<S, T>) -> bool {
        self.state == other.state
    }
}

impl<S: Eq, T> Eq for Node<S, T> {}

impl<S: Hash, T> Hash for Node<S, T> {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.state.hash(hasher);
    }
}

/// Visits every state that can be reached from `start`, until one has lost a property.
pub(crate) fn explore<S, T>(
    name: &'static str,
    start: S,
    steps: impl Fn(&S) -> Vec<(T, S)>,
    broken: impl Fn(&S) -> Option<&'static str>,
) -> Exploration
where
    S: Clone + Eq + Hash,
    T: Clone + fmt::Display,
{
    let states = Cell::new(0);
    let depth = Cell::new(0);
    let start = Node {
        state: start,
        step: None,
        depth: 0,
    };
    let successors = |node: &Node<S, T>| {
        states.set(states.get() + 1);
        depth.set(node.depth);
        let depth = node.depth + 1;
        let found = steps(&node.state).into_iter();
        found.map(move |(step, state)| Node {
            state,
            step: Some(step),
            depth,
        })
    };
    let path = bfs(&start, successors, |node| broken(&node.state).is_some());
    let finding = path.map_or(Finding::Holds, |nodes| Finding::Violated {
        property: nodes
            .last()
            .and_then(|last| broken(&last.state))
            .unwrap_or_default(),
        trace: nodes
            .iter()
            .filter_map(|node| node.step.as_ref().map(T::to_string))
            .collect(),
    });
    Exploration {
        name,
        states: states.get(),
        depth: depth.get(),
        finding,
    }
}
