//! Control work of an entry VM: heartbeats, drains and probes, and the configuration in force.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use base::NodeId;
use base::UpstreamId;
use conf::ConfigState;
use conf::OfferResult;
use conf::Update;
use decl::Catalogue;
use member::Outgoing;
use member::TICK;
use wire::BeatMessage;
use wire::BeatReply;

use crate::scenario::file::Mechanism;
use crate::scenario::node::NodeEvent;
use crate::scenario::platform::Lost;
use crate::scenario::platform::Reply;
use crate::scenario::platform::Request;
use crate::scenario::world::World;

/// Period of the reads that stand for the watches of the configuration and the index.
const WATCH_PERIOD: Duration = Duration::from_millis(500);

/// Bound on one pull from a peer, as in the runtime.
const PULL_TIMEOUT: Duration = Duration::from_secs(1);

impl World<'_> {
    pub(crate) fn tick(&mut self, at: usize) {
        let now = self.now;
        self.again(at, TICK, NodeEvent::Tick);
        let news = !self.is_off(Mechanism::DrainNews);
        let node = &mut self.nodes[at];
        let outgoing = node.view.tick(now, &mut node.rng);
        if node.epoch != node.view.roles_epoch() {
            node.epoch = node.view.roles_epoch();
            node.refresh_shares();
        }
        if news {
            node.apply_drains(now);
        }
        let silent = if news {
            node.silent_upstreams(now)
        } else {
            Vec::new()
        };
        outgoing
            .into_iter()
            .for_each(|beat| self.send_beat(at, beat));
        self.pull(at);
        silent.iter().for_each(|upstream| self.probe(at, upstream));
        if self.nodes[at].is_closed(now) && !self.is_busy(at) {
            self.nodes[at].exited = Some(now);
            let text = format!("{}: the process has ended", self.nodes[at].id);
            self.note(text);
            self.kill_node(at);
        }
    }

    fn send_beat(&mut self, at: usize, outgoing: Outgoing) {
        if let Some(to) = self.find_node(&outgoing.to) {
            self.send_peer(at, to, NodeEvent::Beat(at, Box::new(outgoing.beat)));
        }
    }

    pub(crate) fn receive_beat_reply(&mut self, at: usize, reply: &BeatReply) {
        self.nodes[at].view.receive_reply(reply, self.now);
        if !reply.upstreams.is_empty() && !self.is_off(Mechanism::DrainNews) {
            self.nodes[at].apply_drains(self.now);
        }
    }

    pub(crate) fn find_node(&self, id: &NodeId) -> Option<usize> {
        self.nodes.iter().position(|node| node.id == *id)
    }

    pub(crate) fn receive_beat(&mut self, at: usize, from: usize, beat: &BeatMessage) {
        let reply = self.nodes[at].view.receive(beat, self.now);
        if !beat.upstreams.is_empty() && !self.is_off(Mechanism::DrainNews) {
            self.nodes[at].apply_drains(self.now);
        }
        self.send_peer(at, from, NodeEvent::BeatReply(Box::new(reply)));
    }

    /// Fetches a revision that a peer has and this node lacks.
    fn pull(&mut self, at: usize) {
        let now = self.now;
        let node = &mut self.nodes[at];
        let revision = node.conf.revision();
        let newest = node
            .view
            .newest_revision()
            .filter(|newest| newest.0 > revision);
        let Some(peer) = newest.map(|(_, peer)| peer.clone()) else {
            return;
        };
        let waits = node.pulling.is_some_and(|since| now < since + PULL_TIMEOUT);
        if waits || self.is_off(Mechanism::PeerConfig) {
            return;
        }
        self.nodes[at].pulling = Some(now);
        if let Some(peer) = self.find_node(&peer) {
            self.send_peer(at, peer, NodeEvent::Pull(at, revision));
        }
    }

    pub(crate) fn take_update(&mut self, at: usize, update: Update) {
        let node = &mut self.nodes[at];
        node.pulling = None;
        let offered = node.conf.offer_update(update, self.now);
        self.announce(at, offered == OfferResult::Changed);
    }

    fn probe(&mut self, at: usize, upstream: &UpstreamId) {
        let Some(&server) = self.numbers.get(upstream) else {
            return;
        };
        let host = &self.hosts[server];
        let Some(way) = self.way(self.nodes[at].zone, host.zone) else {
            return;
        };
        if host.model.accepts() {
            let state = host.model.state(self.now + way);
            let event = NodeEvent::Probed(upstream.clone(), state, self.now);
            self.again(at, 2 * way, event);
        }
    }

    /// Reads the index, and as a relay or without a configuration also the configuration.
    pub(crate) fn watch(&mut self, at: usize) {
        self.again(at, WATCH_PERIOD, NodeEvent::Watch);
        self.ask_platform(at, Request::Index);
        let node = &self.nodes[at];
        let zone = &self.zones[node.zone];
        if node.conf.catalogue().is_none() || node.view.relays(zone).contains(&&node.id) {
            self.ask_platform(at, Request::Config);
        }
    }

    pub(crate) fn stored(
        &mut self,
        at: usize,
        asked: Instant,
        request: Request,
        result: Result<Reply, Lost>,
    ) {
        let now = self.now;
        match (request, result) {
            (Request::PutLedger(id, ..), result) => self.ledger_written(at, id, result),
            (Request::Ledger(id), result) => self.ledger_read(at, id, result),
            (_, Ok(Reply::Config(_, catalogue))) => self.take_catalogue(at, catalogue, asked),
            (_, Ok(Reply::Index(index))) => {
                let node = &mut self.nodes[at];
                if node.index.as_ref() != Some(&index) {
                    node.view.set_upstreams(&index.index, &index.upstreams, now);
                    for upstream in &index.upstreams {
                        node.limits.clear_versions(&upstream.id);
                    }
                    node.index = Some(index);
                    node.refresh_shares();
                    node.apply_drains(now);
                }
            }
            (_, Ok(Reply::List(list))) => {
                let node = &mut self.nodes[at];
                node.view.merge_vm_list(&list, now);
                node.refresh_shares();
            }
            (Request::Config, Err(_)) if self.nodes[at].conf.catalogue().is_none() => {
                self.ask_seeds(at);
            }
            (_, Ok(_) | Err(_)) => {}
        }
    }

    fn take_catalogue(&mut self, at: usize, catalogue: Arc<Catalogue>, asked: Instant) {
        let revision = catalogue.revision;
        let unordered = self.is_off(Mechanism::RevisionOrder);
        let node = &mut self.nodes[at];
        if unordered && revision < node.conf.revision() {
            node.conf = ConfigState::new(self.now);
        }
        let changed = node.conf.offer(catalogue, self.now);
        node.conf.confirm(revision, asked);
        self.announce(at, changed);
    }

    /// Introduces a node without a configuration to all others, and asks for the highest revision that they have.
    fn ask_seeds(&mut self, at: usize) {
        let me = self.nodes[at].view.me().to_message();
        for seed in (0..self.nodes.len()).filter(|&seed| seed != at) {
            let beat = BeatMessage {
                sender: Some(me.clone()),
                ..BeatMessage::default()
            };
            self.send_peer(at, seed, NodeEvent::Beat(at, Box::new(beat)));
            if !self.is_off(Mechanism::PeerConfig) {
                self.send_peer(at, seed, NodeEvent::Pull(at, 0));
            }
        }
    }

    fn announce(&mut self, at: usize, changed: bool) {
        if !changed {
            return;
        }
        let now = self.now;
        let node = &mut self.nodes[at];
        let revision = node.conf.revision();
        node.view.set_revision(revision, now);
        let text = format!("{}: revision {revision} in force", node.id);
        let reverted = (revision < node.peak).then(|| {
            format!(
                "{}: revision {revision} in force after revision {}",
                node.id, node.peak
            )
        });
        node.peak = node.peak.max(revision);
        self.note(text);
        if let Some(text) = reverted {
            self.fail(text);
        }
    }
}
