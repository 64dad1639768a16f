//! Watches whether this gateway reaches any server.
//!
//! See docs/decisions/0011-cut-off-vms.md.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use links::Detector;
use links::LinkChange;
use rand::RngExt;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::JoinSet;

use crate::metrics::Counter;
use crate::node::Node;

/// Time without a reply after which an attempt makes the links suspect, if no other server has replied either.
pub(crate) const SILENCE_TIMEOUT: Duration = Duration::from_millis(250);

/// Servers to which a probe opens a connection; some of them may be down for other reasons.
const PROBED_SERVERS: usize = 8;

/// Longest time for the connections of a probe, several round trips between regions.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// Interval of probes while no server can be reached.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Interval at which a gateway that reaches no server tells the others so.
const STATE_INTERVAL: Duration = Duration::from_secs(1);

/// Whether this gateway reaches any server.
pub(crate) struct Links {
    detector: RefCell<Detector>,
    suspected: Notify,
    /// Wakes requests in progress when the links are lost.
    pub(crate) lost: Notify,
}

impl Links {
    pub(crate) fn new() -> Links {
        Links {
            detector: RefCell::new(Detector::new()),
            suspected: Notify::new(),
            lost: Notify::new(),
        }
    }

    /// Records that a server has replied.
    pub(crate) fn record_reply(&self) {
        self.detector.borrow_mut().record_reply(Instant::now());
    }

    /// Records that an attempt sent at `sent` has failed or stays silent.
    pub(crate) fn suspect(&self, sent: Instant) {
        let mut detector = self.detector.borrow_mut();
        if detector.suspect(sent, Instant::now()) {
            self.suspected.notify_one();
        }
    }

    /// Records that a server has accepted a connection.
    pub(crate) fn record_opened(&self) {
        self.detector.borrow_mut().record_opened();
    }

    /// Records that a server has refused a connection.
    pub(crate) fn record_refused(&self, server: SocketAddr) {
        let mut detector = self.detector.borrow_mut();
        if detector.record_refused(server, Instant::now()) {
            self.suspected.notify_one();
        }
    }

    /// Returns whether any server has replied since shortly before a time.
    pub(crate) fn has_reply_since(&self, time: Instant) -> bool {
        let since = time.checked_sub(SILENCE_TIMEOUT).unwrap_or(time);
        self.detector.borrow().has_reply_since(since)
    }

    /// Returns the share of requests that are to be sent from here.
    pub(crate) fn own_share(&self) -> f64 {
        self.detector.borrow().own_share(Instant::now())
    }

    /// Returns whether no server can be reached.
    pub(crate) fn is_cut(&self) -> bool {
        self.detector.borrow().is_cut()
    }
}

/// Probes servers when attempts fail, and as long as none can be reached, until the process ends.
pub(crate) async fn watch_links(node: Rc<Node>) {
    let mut last_stated = Instant::now();
    loop {
        if node.links.is_cut() {
            tokio::time::sleep(PROBE_INTERVAL).await;
            if last_stated.elapsed() >= STATE_INTERVAL {
                last_stated = Instant::now();
                node.facts.state_links(true);
            }
        } else {
            node.links.suspected.notified().await;
        }
        let addrs = choose_servers(&node);
        if addrs.is_empty() {
            // Without servers there are no links to lose.
            node.links
                .detector
                .borrow_mut()
                .record_probe(true, Instant::now());
            continue;
        }
        let reached = probe(&addrs).await;
        let now = Instant::now();
        let change = node.links.detector.borrow_mut().record_probe(reached, now);
        apply_change(&node, change, addrs.len());
    }
}

fn apply_change(node: &Node, change: LinkChange, probed: usize) {
    match change {
        LinkChange::None => {}
        LinkChange::Lost => {
            node.state.borrow_mut().metrics.count(Counter::LinksLost);
            log::warn!(probed; "links: no server can be reached");
            node.links.lost.notify_waiters();
            node.facts.state_links(true);
        }
        LinkChange::Returned(time) => {
            let seconds = time.as_secs_f64();
            log::info!(seconds; "links: servers can be reached again");
            // What was seen of the servers meanwhile says nothing about them.
            node.state.borrow_mut().limits.forget_failures();
            node.facts.state_links(false);
        }
    }
}

fn choose_servers(node: &Node) -> Vec<SocketAddr> {
    let mut guard = node.state.borrow_mut();
    let state = &mut *guard;
    let mut addrs = state.directory.addrs();
    let mut chosen = Vec::new();
    while chosen.len() < PROBED_SERVERS && !addrs.is_empty() {
        let at = state.rng.random_range(0..addrs.len());
        chosen.push(addrs.swap_remove(at));
    }
    chosen
}

/// Returns whether a connection to any of the servers can be opened.
async fn probe(addrs: &[SocketAddr]) -> bool {
    let mut tasks = JoinSet::new();
    for addr in addrs {
        let connecting = tokio::time::timeout(PROBE_TIMEOUT, TcpStream::connect(*addr));
        tasks.spawn_local(async move { matches!(connecting.await, Ok(Ok(_))) });
    }
    while let Some(result) = tasks.join_next().await {
        if result.is_ok_and(|reached| reached) {
            return true;
        }
    }
    false
}
