//! This node's membership view of the fleet: heartbeats, the platform's list of VMs, and roles derived from the view.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use base::Code;
use base::Vm;
use member::NodeState;
use member::Outgoing;
use member::View;
use rand::Rng;
use wire::BeatMessage;
use wire::BeatReply;

use crate::node::Node;
use crate::node::lock;

/// Interval at which [`Node::wait_synced`] checks the view.
const SYNC_POLL_INTERVAL: Duration = Duration::from_millis(5);

impl Node {
    /// Returns the address of a random live peer, or of a random seed if no live peer is known.
    pub fn random_peer(&self) -> Option<SocketAddr> {
        let number = lock(&self.ids).rng.next_u64() as usize;
        let view = lock(&self.view);
        let peers: Vec<SocketAddr> = view
            .nodes()
            .filter(|node| node.record.id != self.settings.node && node.state() == NodeState::Live)
            .map(|node| node.record.addr)
            .collect();
        let candidates = if peers.is_empty() {
            &self.settings.seeds
        } else {
            &peers
        };
        (!candidates.is_empty()).then(|| candidates[number % candidates.len()])
    }

    /// Merges the platform's list of VMs into the view.
    pub fn update_vm_list(&self, list: &[Vm]) {
        lock(&self.view).merge_vm_list(list, Instant::now());
        self.list_received.store(true, Ordering::SeqCst);
        self.refresh_routes();
    }

    /// Advances the view's timers and returns the heartbeats that are due; passes the newest confirmation on to the
    /// configuration, and refreshes the routes if roles may have changed.
    pub fn tick_view(&self) -> Vec<Outgoing> {
        let mut view = lock(&self.view);
        let outgoing = view.tick(Instant::now(), &mut lock(&self.ids).rng);
        let epoch = view.roles_epoch();
        let confirmation = view.confirmation();
        drop(view);
        if let Some((revision, at)) = confirmation {
            lock(&self.conf).confirm(revision, at);
        }
        if self.roles_epoch.swap(epoch, Ordering::SeqCst) != epoch {
            self.refresh_routes();
        }
        outgoing
    }

    /// Merges a heartbeat from a peer and returns the reply to it.
    pub fn merge_beat(&self, beat: &BeatMessage) -> BeatReply {
        let reply = lock(&self.view).receive(beat, Instant::now());
        if !beat.upstreams.is_empty() {
            self.apply_drains();
        }
        reply
    }

    /// Merges the reply to a heartbeat.
    pub fn merge_beat_reply(&self, reply: &BeatReply) {
        lock(&self.view).receive_reply(reply, Instant::now());
        if !reply.upstreams.is_empty() {
            self.apply_drains();
        }
    }

    /// Waits until this node knows the drains that its peers know; after a start or a pause it has to sync them first.
    pub async fn wait_synced(&self, deadline: Instant) -> Result<(), Code> {
        loop {
            let now = Instant::now();
            if lock(&self.view).is_synced(now) {
                return Ok(());
            }
            if now >= deadline {
                return Err(Code::NotReady);
            }
            tokio::time::sleep(SYNC_POLL_INTERVAL).await;
        }
    }

    /// Builds a heartbeat that contains only this node's own record.
    pub fn build_introduction(&self) -> BeatMessage {
        BeatMessage {
            sender: Some(lock(&self.view).me().to_message()),
            ..BeatMessage::default()
        }
    }

    /// Announces to peers that this node is shutting down.
    pub fn announce_leave(&self) {
        lock(&self.view).leave(Instant::now());
    }

    /// Calls a function on the locked view.
    pub fn with_view<T>(&self, read: impl FnOnce(&View) -> T) -> T {
        read(&lock(&self.view))
    }

    /// Returns whether this node watches the platform on behalf of its zone.
    pub fn is_relay(&self) -> bool {
        let view = lock(&self.view);
        view.relays(&self.settings.zone)
            .contains(&&self.settings.node)
    }

    /// Returns the address of a peer that has a higher revision than this node.
    pub fn newer_peer(&self) -> Option<SocketAddr> {
        let revision = self.revision();
        let view = lock(&self.view);
        let (newest, id) = view.newest_revision()?;
        (newest > revision).then(|| view.node(id).map(|node| node.record.addr))?
    }

    /// Returns the address of the home of a ledger, or `None` if this node is the home or none is known.
    pub fn home_addr(&self, ledger: u8) -> Option<SocketAddr> {
        let view = lock(&self.view);
        let id = view
            .home(ledger.into())
            .filter(|id| **id != self.settings.node)?;
        view.node(id).map(|node| node.record.addr)
    }
}
