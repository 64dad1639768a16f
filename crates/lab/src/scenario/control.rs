//! Background work of an entry VM: heartbeats, drains, probes and configuration updates.

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
use crate::scenario::platform::CallError;
use crate::scenario::platform::Reply;
use crate::scenario::platform::Request;
use crate::scenario::world::World;

/// Period of the reads that replace the watches of the configuration and the index in the simulation.
const WATCH_PERIOD: Duration = Duration::from_millis(500);

/// Timeout of a pull from a peer, as in the runtime.
const PULL_TIMEOUT: Duration = Duration::from_secs(1);

impl World<'_> {
    pub(crate) fn tick(&mut self, idx: usize) {
        let now = self.now;
        self.schedule_on_node(idx, TICK, NodeEvent::Tick);
        let spreads_drains = !self.is_disabled(Mechanism::DrainNews);
        let node = &mut self.nodes[idx];
        let outgoing = node.view.tick(now, &mut node.rng);
        if node.roles_epoch != node.view.roles_epoch() {
            node.roles_epoch = node.view.roles_epoch();
            node.refresh_shares();
        }
        if spreads_drains {
            node.apply_drains(now);
        }
        let silent = if spreads_drains {
            node.silent_upstreams(now)
        } else {
            Vec::new()
        };
        outgoing
            .into_iter()
            .for_each(|beat| self.send_beat(idx, beat));
        self.pull(idx);
        silent.iter().for_each(|upstream| self.probe(idx, upstream));
        if self.nodes[idx].is_closed(now) && !self.is_busy(idx) {
            self.nodes[idx].exited = Some(now);
            let text = format!("{}: the process has exited", self.nodes[idx].id);
            self.record_event(text);
            self.kill_node(idx);
        }
    }

    fn send_beat(&mut self, idx: usize, outgoing: Outgoing) {
        if let Some(to) = self.find_node(&outgoing.to) {
            self.send_peer(idx, to, NodeEvent::Beat(idx, Box::new(outgoing.beat)));
        }
    }

    pub(crate) fn receive_beat_reply(&mut self, idx: usize, reply: &BeatReply) {
        self.nodes[idx].view.receive_reply(reply, self.now);
        if !reply.upstreams.is_empty() && !self.is_disabled(Mechanism::DrainNews) {
            self.nodes[idx].apply_drains(self.now);
        }
    }

    pub(crate) fn find_node(&self, id: &NodeId) -> Option<usize> {
        self.nodes.iter().position(|node| node.id == *id)
    }

    pub(crate) fn receive_beat(&mut self, idx: usize, from: usize, beat: &BeatMessage) {
        let reply = self.nodes[idx].view.receive(beat, self.now);
        if !beat.upstreams.is_empty() && !self.is_disabled(Mechanism::DrainNews) {
            self.nodes[idx].apply_drains(self.now);
        }
        self.send_peer(idx, from, NodeEvent::BeatReply(Box::new(reply)));
    }

    /// Requests a newer revision from a peer that has it.
    fn pull(&mut self, idx: usize) {
        let now = self.now;
        let node = &mut self.nodes[idx];
        let revision = node.conf.revision();
        let newest = node
            .view
            .newest_revision()
            .filter(|newest| newest.0 > revision);
        let Some(peer) = newest.map(|(_, peer)| peer.clone()) else {
            return;
        };
        let in_progress = node
            .pulling_since
            .is_some_and(|since| now < since + PULL_TIMEOUT);
        if in_progress || self.is_disabled(Mechanism::PeerConfig) {
            return;
        }
        self.nodes[idx].pulling_since = Some(now);
        if let Some(peer) = self.find_node(&peer) {
            self.send_peer(idx, peer, NodeEvent::Pull(idx, revision));
        }
    }

    pub(crate) fn apply_update(&mut self, idx: usize, update: Update) {
        let node = &mut self.nodes[idx];
        node.pulling_since = None;
        let offered = node.conf.offer_update(update, self.now);
        self.announce_revision(idx, offered == OfferResult::Changed);
    }

    fn probe(&mut self, idx: usize, upstream: &UpstreamId) {
        let Some(&server) = self.server_indexes.get(upstream) else {
            return;
        };
        let host = &self.hosts[server];
        let Some(delay) = self.find_delay(self.nodes[idx].zone, host.zone) else {
            return;
        };
        if host.model.accepts_connections() {
            let state = host.model.state(self.now + delay);
            let event = NodeEvent::Probed(upstream.clone(), state, self.now);
            self.schedule_on_node(idx, 2 * delay, event);
        }
    }

    /// Reads the index, and the configuration if this node is a relay or has none.
    pub(crate) fn poll_platform(&mut self, idx: usize) {
        self.schedule_on_node(idx, WATCH_PERIOD, NodeEvent::Watch);
        self.call_from_node(idx, Request::Index);
        let node = &self.nodes[idx];
        let zone = &self.zones[node.zone];
        if node.conf.catalogue().is_none() || node.view.relays(zone).contains(&&node.id) {
            self.call_from_node(idx, Request::Config);
        }
    }

    pub(crate) fn receive_platform_reply(
        &mut self,
        idx: usize,
        sent: Instant,
        request: Request,
        result: Result<Reply, CallError>,
    ) {
        let now = self.now;
        match (request, result) {
            (Request::PutLedger(id, ..), result) => self.report_ledger_write(idx, id, result),
            (Request::Ledger(id), result) => self.report_ledger_read(idx, id, result),
            (_, Ok(Reply::Config(_, catalogue))) => self.apply_catalogue(idx, catalogue, sent),
            (_, Ok(Reply::Index(index))) => {
                let node = &mut self.nodes[idx];
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
                let node = &mut self.nodes[idx];
                node.view.merge_vm_list(&list, now);
                node.refresh_shares();
            }
            (Request::Config, Err(_)) if self.nodes[idx].conf.catalogue().is_none() => {
                self.contact_seeds(idx);
            }
            (_, Ok(_) | Err(_)) => {}
        }
    }

    fn apply_catalogue(&mut self, idx: usize, catalogue: Arc<Catalogue>, sent: Instant) {
        let revision = catalogue.revision;
        let ignores_order = self.is_disabled(Mechanism::RevisionOrder);
        let node = &mut self.nodes[idx];
        if ignores_order && revision < node.conf.revision() {
            node.conf = ConfigState::new(self.now);
        }
        let changed = node.conf.offer(catalogue, self.now);
        node.conf.confirm(revision, sent);
        self.announce_revision(idx, changed);
    }

    /// Sends a heartbeat from a node without a configuration to all others, and requests their newest revision.
    fn contact_seeds(&mut self, idx: usize) {
        let me = self.nodes[idx].view.me().to_message();
        for seed in (0..self.nodes.len()).filter(|&seed| seed != idx) {
            let beat = BeatMessage {
                sender: Some(me.clone()),
                ..BeatMessage::default()
            };
            self.send_peer(idx, seed, NodeEvent::Beat(idx, Box::new(beat)));
            if !self.is_disabled(Mechanism::PeerConfig) {
                self.send_peer(idx, seed, NodeEvent::Pull(idx, 0));
            }
        }
    }

    /// Announces a changed revision to peers, and fails the scenario if it is lower than an earlier one.
    fn announce_revision(&mut self, idx: usize, changed: bool) {
        if !changed {
            return;
        }
        let now = self.now;
        let node = &mut self.nodes[idx];
        let revision = node.conf.revision();
        node.view.set_revision(revision, now);
        let text = format!("{}: revision {revision} in force", node.id);
        let reverted = (revision < node.max_revision).then(|| {
            format!(
                "{}: revision {revision} in force after revision {}",
                node.id, node.max_revision
            )
        });
        node.max_revision = node.max_revision.max(revision);
        self.record_event(text);
        if let Some(text) = reverted {
            self.record_failure(text);
        }
    }
}
