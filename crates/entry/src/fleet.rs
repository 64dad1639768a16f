//! The view of the fleet on this node: heartbeats, the platform's list, and the roles that follow from the view.

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

/// Pause between two looks at whether the node has caught up with its peers.
const SYNC_POLL: Duration = Duration::from_millis(5);

impl Node {
    /// Returns a live peer drawn at random, or a seed when no peer is known.
    pub fn random_peer(&self) -> Option<SocketAddr> {
        let draw = lock(&self.ids).rng.next_u64() as usize;
        let view = lock(&self.view);
        let peers: Vec<SocketAddr> = view
            .nodes()
            .filter(|node| node.record.id != self.settings.node && node.state() == NodeState::Live)
            .map(|node| node.record.addr)
            .collect();
        let known = if peers.is_empty() {
            &self.settings.seeds
        } else {
            &peers
        };
        (!known.is_empty()).then(|| known[draw % known.len()])
    }

    /// Takes in the platform's list of VMs.
    pub fn update_vm_list(&self, list: &[Vm]) {
        lock(&self.view).merge_vm_list(list, Instant::now());
        self.listed.store(true, Ordering::SeqCst);
        self.refresh_routes();
    }

    /// Returns the heartbeats that are due, and follows what changed in the view.
    pub fn tick_view(&self) -> Vec<Outgoing> {
        let mut view = lock(&self.view);
        let outgoing = view.tick(Instant::now(), &mut lock(&self.ids).rng);
        let epoch = view.roles_epoch();
        let confirmation = view.confirmation();
        drop(view);
        if let Some((revision, at)) = confirmation {
            lock(&self.conf).confirm(revision, at);
        }
        if self.epoch.swap(epoch, Ordering::SeqCst) != epoch {
            self.refresh_routes();
        }
        outgoing
    }

    /// Merges a heartbeat of a peer.
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

    /// Waits until this node knows what its peers know of drains, which it does not after its start or a pause.
    pub async fn wait_synced(&self, deadline: Instant) -> Result<(), Code> {
        loop {
            let now = Instant::now();
            if lock(&self.view).is_synced(now) {
                return Ok(());
            }
            if now >= deadline {
                return Err(Code::NotReady);
            }
            tokio::time::sleep(SYNC_POLL).await;
        }
    }

    /// Returns a heartbeat that only introduces this node.
    pub fn build_introduction(&self) -> BeatMessage {
        BeatMessage {
            sender: Some(lock(&self.view).me().to_message()),
            ..BeatMessage::default()
        }
    }

    /// Announces that this node is going to stop.
    pub fn leave(&self) {
        lock(&self.view).leave(Instant::now());
    }

    /// Looks at the view of the fleet.
    pub fn with_view<T>(&self, look: impl FnOnce(&View) -> T) -> T {
        look(&lock(&self.view))
    }

    /// Tells whether this node watches the platform on behalf of its zone.
    pub fn is_relay(&self) -> bool {
        let view = lock(&self.view);
        view.relays(&self.settings.zone)
            .contains(&&self.settings.node)
    }

    /// Returns a peer that has a higher revision than this node.
    pub fn newer_peer(&self) -> Option<SocketAddr> {
        let revision = self.revision();
        let view = lock(&self.view);
        let (newest, id) = view.newest_revision()?;
        (newest > revision).then(|| view.node(id).map(|node| node.record.addr))?
    }

    /// Returns the address of the home of a ledger object; `None` when it is this node.
    pub fn home(&self, ledger: u8) -> Option<SocketAddr> {
        let view = lock(&self.view);
        let id = view
            .home(ledger.into())
            .filter(|id| **id != self.settings.node)?;
        view.node(id).map(|node| node.record.addr)
    }
}
