//! The suspected requests that one node knows.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use base::NodeId;
use base::UpstreamId;
use base::hash_key;

use crate::BlockInfo;
use crate::CallerHash;
use crate::Fact;
use crate::RequestHash;
use crate::RequestKey;
use crate::State;
use crate::entry::CLEARED_TIME;
use crate::entry::Entry;
use crate::entry::SUSPECT_TIME;
use crate::entry::TRIAL_TIME;

/// Most requests that a node knows.
pub const MAX_ENTRIES: usize = 256;

/// Most requests of one caller that a node knows; one more displaces an older one of the same caller.
pub const MAX_PER_CALLER: usize = 16;

/// What may be done with a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Verdict {
    /// Nothing is known against it.
    Clear,
    /// It is sent to one server at a time until one has answered.
    Careful,
    /// It is not sent.
    Blocked(BlockInfo),
}

/// What a piece of evidence or a fact has changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Nothing that others need to know.
    None,
    /// Something that others need to know.
    News,
    /// The request is blocked from now on, which others need to know.
    Blocked,
}

/// The suspected requests that one node knows.
#[derive(Debug)]
pub struct Suspects {
    node: NodeId,
    entries: HashMap<RequestHash, Entry>,
}

impl Suspects {
    /// Creates the table of a node, without suspicions.
    pub fn new(node: NodeId) -> Suspects {
        Suspects {
            node,
            entries: HashMap::new(),
        }
    }

    /// Returns whether nothing is suspected.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns what may be done with a request that has arrived.
    ///
    /// When a block has lapsed, the request goes out carefully and stays blocked at all other nodes until that try has
    /// ended; [`Suspects::facts`] then holds what they need to know.
    pub fn check(&mut self, key: RequestKey, now: Instant) -> Verdict {
        let Some(entry) = self.entries.get_mut(&key.request) else {
            return Verdict::Clear;
        };
        if entry.is_expired(now) {
            self.entries.remove(&key.request);
            return Verdict::Clear;
        }
        let is_closed = entry.is_block() || entry.state == State::Trial;
        if is_closed && now < entry.until {
            return Verdict::Blocked(entry.info(now));
        }
        if is_closed {
            entry.set_state(State::Trial, TRIAL_TIME, &self.node, now);
        }
        match entry.state {
            State::Cleared => Verdict::Clear,
            State::Suspected | State::Trial | State::Blocked => Verdict::Careful,
        }
    }

    /// Returns whether a request that this node has accepted earlier is blocked by now; the node's own try of it is not.
    pub fn is_blocked(&self, key: RequestKey, now: Instant) -> bool {
        let entry = self.entries.get(&key.request);
        entry.is_some_and(|entry| {
            let is_others_trial = entry.state == State::Trial && entry.origin != self.node;
            now < entry.until && (entry.is_block() || is_others_trial)
        })
    }

    /// Records that the connection to a server ended while it ran the request.
    ///
    /// A single loss is no news if this node goes on with the request, that is if it is `repeatable`.
    pub fn record_broken(
        &mut self,
        key: RequestKey,
        server: &UpstreamId,
        repeatable: bool,
        now: Instant,
    ) -> Change {
        let node = self.node.clone();
        let entry = self.find_or_insert(key, now);
        if entry.is_expired(now) || entry.state == State::Cleared {
            let generation = entry.generation;
            *entry = Entry::new(key.caller, node.clone(), now);
            entry.generation = generation.saturating_add(1);
        }
        if entry.state == State::Trial {
            entry.set_state(State::Blocked, Duration::ZERO, &node, now);
            entry.level = entry.level.saturating_add(1);
            entry.start_block(now);
            return Change::Blocked;
        }
        if entry.is_block() {
            return Change::None;
        }
        let is_new = entry.add_server(hash_key(server) as u32);
        entry.until = now + SUSPECT_TIME;
        entry.origin = entry.origin.clone().min(node);
        entry.shared |= !repeatable || entry.servers.len() > 1;
        if entry.is_block() {
            entry.start_block(now);
            return Change::Blocked;
        }
        match is_new && entry.shared {
            true => Change::News,
            false => Change::None,
        }
    }

    /// Records that another connection of the request ended at the same time as one that was recorded.
    ///
    /// Such losses don't count, because a zone that loses power ends many connections of one request at once; but other
    /// nodes had better be careful with it.
    pub fn record_more_broken(&mut self, key: RequestKey) -> Change {
        match self.entries.get_mut(&key.request) {
            Some(entry) if entry.state == State::Suspected && !entry.shared => {
                entry.shared = true;
                Change::News
            }
            Some(_) | None => Change::None,
        }
    }

    /// Records that a server answered the request and lives, which clears it.
    pub fn record_reply(&mut self, key: RequestKey, now: Instant) -> Change {
        let node = self.node.clone();
        let Some(entry) = self.entries.get_mut(&key.request) else {
            return Change::None;
        };
        if entry.state == State::Cleared {
            return Change::None;
        }
        if !entry.shared {
            self.entries.remove(&key.request);
            return Change::None;
        }
        entry.set_state(State::Cleared, CLEARED_TIME, &node, now);
        entry.level = 0;
        entry.servers.clear();
        Change::News
    }

    /// Merges what another node knows; the order and the number of times don't matter.
    pub fn merge(&mut self, fact: &Fact, now: Instant) -> Change {
        let until = now + fact.left;
        let known = self.entries.get(&fact.key.request).map(|e| e.generation);
        if known.is_some_and(|known| known > fact.generation) {
            return Change::None;
        }
        let is_newer = known.is_none_or(|known| known < fact.generation);
        let entry = self.find_or_insert(fact.key, now);
        if is_newer {
            let was_block = entry.is_block();
            entry.generation = fact.generation;
            entry.state = fact.state;
            entry.level = fact.level;
            entry.servers.clone_from(&fact.servers);
            entry.until = until;
            entry.origin = fact.origin.clone();
            entry.shared = true;
            return match entry.is_block() && !was_block {
                true => Change::Blocked,
                false => Change::News,
            };
        }
        merge_evidence(entry, fact, now)
    }

    /// Returns what other nodes need to know.
    pub fn facts(&self, now: Instant) -> Vec<Fact> {
        let is_told = |(_, entry): &(&RequestHash, &Entry)| entry.shared && !entry.is_expired(now);
        self.entries
            .iter()
            .filter(is_told)
            .map(|(request, entry)| to_fact(*request, entry, now))
            .collect()
    }

    /// Returns what other nodes need to know of one request.
    pub fn fact(&self, key: RequestKey, now: Instant) -> Option<Fact> {
        let entry = self.entries.get(&key.request)?;
        Some(to_fact(key.request, entry, now))
    }

    /// Drops what is too old to matter.
    pub fn remove_expired(&mut self, now: Instant) {
        self.entries.retain(|_, entry| !entry.is_expired(now));
    }

    fn find_or_insert(&mut self, key: RequestKey, now: Instant) -> &mut Entry {
        if !self.entries.contains_key(&key.request) {
            self.make_room(key.caller);
        }
        let node = &self.node;
        self.entries
            .entry(key.request)
            .or_insert_with(|| Entry::new(key.caller, node.clone(), now))
    }

    /// Drops an entry of the caller if it has too many, or of the one that has the most if the table is full.
    fn make_room(&mut self, caller: CallerHash) {
        let mut counts: HashMap<CallerHash, usize> = HashMap::new();
        for entry in self.entries.values() {
            *counts.entry(entry.caller).or_default() += 1;
        }
        let own = counts.get(&caller).copied().unwrap_or_default();
        let victim = if own >= MAX_PER_CALLER {
            Some(caller)
        } else if self.entries.len() >= MAX_ENTRIES {
            counts
                .into_iter()
                .max_by_key(|(caller, count)| (*count, *caller))
                .map(|(caller, _)| caller)
        } else {
            None
        };
        let Some(victim) = victim else {
            return;
        };
        let oldest = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.caller == victim)
            // A block matters more than a suspicion.
            .min_by_key(|(request, entry)| (entry.is_block(), entry.until, **request))
            .map(|(request, _)| *request);
        if let Some(oldest) = oldest {
            self.entries.remove(&oldest);
        }
    }
}

/// Merges evidence of the same generation: the servers of both, the later state, and the earlier end of it.
fn merge_evidence(entry: &mut Entry, fact: &Fact, now: Instant) -> Change {
    let until = now + fact.left;
    let was_block = entry.is_block();
    let mut is_new = false;
    for server in &fact.servers {
        is_new |= entry.add_server(*server);
    }
    entry.shared = true;
    entry.level = entry.level.max(fact.level);
    if fact.origin < entry.origin {
        entry.origin.clone_from(&fact.origin);
    }
    let is_later = fact.state > entry.state;
    if is_later {
        entry.state = fact.state;
        entry.until = until;
    } else if fact.state == entry.state && was_block {
        entry.until = entry.until.min(until);
    }
    if entry.is_block() && !was_block {
        if !is_later {
            entry.start_block(now);
        }
        return Change::Blocked;
    }
    match is_new || is_later {
        true => Change::News,
        false => Change::None,
    }
}

fn to_fact(request: RequestHash, entry: &Entry, now: Instant) -> Fact {
    Fact {
        key: RequestKey {
            request,
            caller: entry.caller,
        },
        generation: entry.generation,
        state: entry.state,
        level: entry.level,
        left: entry.until.saturating_duration_since(now),
        servers: entry.servers.clone(),
        origin: entry.origin.clone(),
    }
}
