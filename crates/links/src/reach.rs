//! What nodes say of their own links.

use std::collections::HashMap;
use std::fmt::Display;
use std::fmt::Formatter;
use std::time::Duration;
use std::time::Instant;

use base::NodeId;
use base::escape_field;
use base::unescape_field;

/// Time for which what a node says of itself holds; a node without links says so again each second.
const FACT_TIME: Duration = Duration::from_secs(4);

/// Most nodes that are known to be without links.
const MAX_NODES: usize = 1_024;

/// Longest name of a node, in bytes.
const MAX_NODE_BYTES: usize = 128;

/// Word at the start of each line that encodes a [`ReachFact`].
const PREFIX: &str = "links";

/// What a node says of its links.
#[derive(Debug, Clone, PartialEq)]
pub struct ReachFact {
    /// The node.
    pub node: NodeId,
    /// Grows with each fact of the node; the highest holds.
    pub generation: u64,
    /// Whether it reaches no server.
    pub is_cut: bool,
    /// Time for which the fact holds.
    pub left: Duration,
}

impl ReachFact {
    /// Parses the output of [`ReachFact::fmt`], or returns `None` if it is another line.
    pub fn parse(line: &str) -> Option<ReachFact> {
        let mut fields = line.split(' ');
        if fields.next()? != PREFIX {
            return None;
        }
        let node = fields.next().filter(|name| name.len() <= MAX_NODE_BYTES)?;
        let generation = fields.next()?.parse().ok()?;
        let is_cut = match fields.next()? {
            "cut" => true,
            "whole" => false,
            _ => return None,
        };
        let left = Duration::from_millis(fields.next()?.parse().ok()?).min(FACT_TIME);
        let is_complete = fields.next().is_none();
        is_complete.then_some(ReachFact {
            node: unescape_field(node)?,
            generation,
            is_cut,
            left,
        })
    }
}

impl Display for ReachFact {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        let state = if self.is_cut { "cut" } else { "whole" };
        let (node, generation) = (escape_field(&self.node), self.generation);
        write!(
            f,
            "{PREFIX} {node} {generation} {state} {}",
            self.left.as_millis()
        )
    }
}

#[derive(Debug)]
struct Entry {
    generation: u64,
    is_cut: bool,
    until: Instant,
}

/// What the nodes say of their links.
#[derive(Debug)]
pub struct Reach {
    node: NodeId,
    /// Generation of this node's latest fact.
    generation: u64,
    entries: HashMap<NodeId, Entry>,
}

impl Reach {
    /// Creates the table of a node; all others are taken to have links.
    pub fn new(node: NodeId) -> Reach {
        Reach {
            node,
            generation: 0,
            entries: HashMap::new(),
        }
    }

    /// Returns whether nothing is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// States whether this node is without links; returns the fact for the others.
    pub fn state_own(&mut self, is_cut: bool, now: Instant) -> ReachFact {
        self.generation += 1;
        let fact = ReachFact {
            node: self.node.clone(),
            generation: self.generation,
            is_cut,
            left: FACT_TIME,
        };
        self.store(&fact, now);
        fact
    }

    /// Notes for a time that another node is without links, because it has just refused a request for that reason.
    pub fn note_cut(&mut self, node: &NodeId, now: Instant) {
        let known = self.entries.get(node).map_or(0, |entry| entry.generation);
        let fact = ReachFact {
            node: node.clone(),
            generation: known,
            is_cut: true,
            left: FACT_TIME / 4,
        };
        self.store(&fact, now);
    }

    /// Merges a fact; the order and the number of times don't matter.
    ///
    /// Returns this node's own fact if the merged one was about an earlier process of it, which others still believe.
    pub fn merge(&mut self, fact: &ReachFact, is_cut: bool, now: Instant) -> Option<ReachFact> {
        if fact.node == self.node {
            if fact.generation <= self.generation {
                return None;
            }
            self.generation = fact.generation;
            return (fact.is_cut != is_cut).then(|| self.state_own(is_cut, now));
        }
        let is_newer = self
            .entries
            .get(&fact.node)
            .is_none_or(|entry| entry.generation < fact.generation);
        let has_room = self.entries.len() < MAX_NODES || self.entries.contains_key(&fact.node);
        if is_newer && has_room {
            self.store(fact, now);
        }
        None
    }

    /// Returns whether a node is without links, as far as is known.
    pub fn is_cut(&self, node: &NodeId, now: Instant) -> bool {
        let entry = self.entries.get(node);
        entry.is_some_and(|entry| entry.is_cut && now < entry.until)
    }

    /// Returns the facts that hold.
    pub fn facts(&self, now: Instant) -> Vec<ReachFact> {
        let is_told = |(_, entry): &(&NodeId, &Entry)| now < entry.until && entry.generation > 0;
        self.entries
            .iter()
            .filter(is_told)
            .map(|(node, entry)| ReachFact {
                node: node.clone(),
                generation: entry.generation,
                is_cut: entry.is_cut,
                left: entry.until.saturating_duration_since(now),
            })
            .collect()
    }

    /// Drops what no longer holds.
    pub fn remove_expired(&mut self, now: Instant) {
        self.entries.retain(|_, entry| now < entry.until);
    }

    fn store(&mut self, fact: &ReachFact, now: Instant) {
        let entry = Entry {
            generation: fact.generation,
            is_cut: fact.is_cut,
            until: now + fact.left,
        };
        self.entries.insert(fact.node.clone(), entry);
    }
}
