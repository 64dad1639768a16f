//! Model checker for the claim protocol and the acceptance of configurations.
//!
//! Each specification defines states and the steps that are possible in each state. The search visits every reachable
//! state breadth first, so that a violated property is reported with a shortest trace. A seeded fault disables one rule
//! of the protocol; the search must then find a violation, which shows that the properties cover this rule.
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

/// A rule of the protocol that a run of the model checker disables.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// A requester may send before its claim is granted.
    SendBeforeClaim,
    /// A requester that abandons its attempt reports "not run" without writing a revocation.
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

/// The conclusion of one search.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Finding {
    /// Every reachable state has every property.
    Holds,
    /// A reachable state violates a property.
    Violated {
        /// Describes the violation.
        property: &'static str,
        /// A shortest sequence of steps from the start to the violating state.
        trace: Vec<String>,
    },
}

/// The result of the search over one specification.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Exploration {
    /// Name of the specification.
    pub name: &'static str,
    /// Number of expanded states; these are all reachable states if the properties hold.
    pub states: usize,
    /// Largest number of steps from the start to one of these states.
    pub depth: u32,
    /// Whether the properties hold.
    pub finding: Finding,
}

/// The result of a run of the model checker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// The seeded fault.
    pub fault: Option<Fault>,
    /// The results, one for each specification.
    pub explorations: Vec<Exploration>,
}

impl Report {
    /// Returns whether all properties hold.
    pub fn holds(&self) -> bool {
        let mut findings = self
            .explorations
            .iter()
            .map(|exploration| &exploration.finding);
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
                    writeln!(f, "violated: {property}, after {} steps", trace.len())?;
                    for (index, step) in trace.iter().enumerate() {
                        writeln!(f, "  {:2}. {step}", index + 1)?;
                    }
                }
            }
        }
        Ok(())
    }
}

/// Searches both specifications, without the rule that a seeded fault disables.
pub fn run(seeded_fault: Option<Fault>) -> Report {
    Report {
        fault: seeded_fault,
        explorations: vec![
            model_claim::explore_claims(seeded_fault),
            model_conf::explore_configurations(seeded_fault),
        ],
    }
}

/// A state with the step and depth at which it was reached, which don't count for equality.
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

/// Visits every state that is reachable from `start`, until one violates a property.
pub(crate) fn explore<S, T>(
    name: &'static str,
    start: S,
    steps: impl Fn(&S) -> Vec<(T, S)>,
    find_violation: impl Fn(&S) -> Option<&'static str>,
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
        let next_states = steps(&node.state).into_iter();
        next_states.map(move |(step, state)| Node {
            state,
            step: Some(step),
            depth,
        })
    };
    let path = bfs(&start, successors, |node| {
        find_violation(&node.state).is_some()
    });
    let finding = path.map_or(Finding::Holds, |nodes| Finding::Violated {
        property: nodes
            .last()
            .and_then(|last| find_violation(&last.state))
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
