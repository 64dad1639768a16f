//! Follows the configuration and the servers in the platform's store.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use store::Client;
use store::StoreError;

use crate::DecodeError;
use crate::ObjectKind;
use crate::Peer;
use crate::PollResult;
use crate::StoreVersion;
use crate::apply::AWAY_TIME;
use crate::apply::Listing;
use crate::apply::apply_all;
use crate::apply::take_changes;
use crate::apply::take_snapshot;
use crate::metrics::Counter;
use crate::node::Node;
use crate::relay::Link;

/// Longest wait of one watch, as a part of the time in which a configuration is to be in force.
///
/// A connection that fell silent is noticed after it and the time-out of a call, and the peers of a relay have to ask the
/// store after that.
const WATCH_PART: f64 = 0.45;

/// Time after a change in which further ones are left to the next watch, because each call has its price, as a part of the
/// same time.
const BATCH_PART: f64 = 0.16;

/// Time from a first failed call to the next one; it doubles with each further failure, and a random part of the same
/// length comes on top.
const RETRY_TIME: Duration = Duration::from_millis(100);

/// Longest such time. The whole fleet calls a store that is down, and each call has its price, also a refused one.
const MAX_RETRY_TIME: Duration = Duration::from_millis(1_600);

/// Relays that may be unsure one after the other before the store is asked.
const MAX_UNSURE: u32 = 1;

/// Failed calls in a row after which a relay tells its peers that it has lost the store; a watch that was merely cut is
/// repeated at once.
const LOST_FAILURES: u32 = 2;

/// Longest time for which the first list of a starting gateway waits for the list of the others.
const PEERS_WAIT: Duration = Duration::from_millis(800);

/// Where the next changes are read.
enum Source {
    Store,
    Relay(Peer),
}

/// How a relay failed.
enum Lost {
    /// It said that it has no contact with the store; another one may have.
    Unsure,
    /// It did not answer in time, so that there is none left to try others.
    Silent,
}

/// Follows one kind of object until the process ends.
pub(crate) async fn follow(node: Rc<Node>, client: Client, kind: ObjectKind) {
    wait_for_peers(&node).await;
    let apply = node.state.borrow().settings.apply_time;
    let mut follower = Follower {
        node,
        client,
        kind,
        link: Link::default(),
        since: None,
        away: None,
        prompt: false,
        failures: 0,
        unsure: 0,
        watch_time: apply.mul_f64(WATCH_PART),
        batch_time: apply.mul_f64(BATCH_PART),
    };
    loop {
        match follower.choose_source() {
            Source::Relay(relay) => follower.follow_relay(&relay).await,
            Source::Store => follower.follow_store().await,
        }
    }
}

/// What one task knows of one kind of object.
struct Follower {
    node: Rc<Node>,
    client: Client,
    kind: ObjectKind,
    link: Link,
    /// Version up to which the objects are known; none before the first list.
    since: Option<StoreVersion>,
    /// Latest failure of the store, while it may have lost entries since.
    away: Option<Instant>,
    /// Whether the next call goes to the store and doesn't wait there.
    prompt: bool,
    failures: u32,
    unsure: u32,
    watch_time: Duration,
    batch_time: Duration,
}

impl Follower {
    fn choose_source(&self) -> Source {
        if self.prompt {
            return Source::Store;
        }
        let state = self.node.state.borrow();
        let settings = &state.settings;
        let relay = state
            .peers
            .find_relay(&settings.node, &settings.zone, Instant::now());
        relay.map_or(Source::Store, Source::Relay)
    }

    /// Asks a relay once; the next source depends on how it answers.
    async fn follow_relay(&mut self, relay: &Peer) {
        match self.ask_relay(relay).await {
            Ok(version) => {
                self.since = Some(version);
                self.unsure = 0;
                if let Some(log) = self.node.state.borrow_mut().logs.get_mut(self.kind) {
                    log.reset_relayed(version);
                }
            }
            Err(Lost::Unsure) => {
                self.unsure += 1;
                self.prompt = self.unsure > MAX_UNSURE;
            }
            Err(Lost::Silent) => self.prompt = true,
        }
    }

    /// Calls the store once, and pauses as its answer asks for.
    async fn follow_store(&mut self) {
        let began = Instant::now();
        let result = match self.since {
            None => self.list().await,
            Some(version) => {
                // A call that may wait would show only after its whole wait that a silent store still is silent.
                let wait = if self.prompt {
                    Duration::ZERO
                } else {
                    self.watch_time
                };
                self.watch(version, wait).await
            }
        };
        self.prompt = false;
        self.unsure = 0;
        match result {
            Ok((version, changed)) => {
                self.failures = 0;
                self.since = Some(version);
                if self.away.is_some_and(|away| away.elapsed() > AWAY_TIME) {
                    self.away = None;
                }
                if changed {
                    tokio::time::sleep(self.batch_time).await;
                }
            }
            Err(Trouble::HistoryGone) => {
                log::info!(kind:? = self.kind, since:? = self.since; "store: history is gone, listing again");
                self.failures = 0;
                self.since = None;
            }
            Err(Trouble::Failed(reason)) => {
                log::warn!(kind:? = self.kind, since:? = self.since, reason = reason.as_str(); "store: call failed");
                self.prompt = true;
                self.note_failure(began.elapsed());
                tokio::time::sleep(self.pause()).await;
            }
        }
    }

    /// Takes in a failed call, and tells the peers that follow this gateway once the store may have been lost for long.
    fn note_failure(&mut self, took: Duration) {
        self.failures += 1;
        self.away = Some(Instant::now());
        let mut state = self.node.state.borrow_mut();
        state.metrics.count(Counter::StoreFailed);
        if self.failures >= LOST_FAILURES || took > self.watch_time {
            if let Some(log) = state.logs.get_mut(self.kind) {
                log.mark_disconnected();
            }
            self.node.news.notify_waiters();
        }
    }

    fn pause(&self) -> Duration {
        let jitter = self.node.state.borrow_mut().rng.random::<f64>();
        let pause = RETRY_TIME * (1 << self.failures.min(5)) / 2;
        pause.min(MAX_RETRY_TIME).mul_f64(1.0 + jitter)
    }

    /// Asks a relay for changes; returns the version known then, or how the relay failed.
    async fn ask_relay(&mut self, relay: &Peer) -> Result<StoreVersion, Lost> {
        let (kind, since, away) = (self.kind, self.since, self.away);
        let node = &self.node;
        let answer = self.link.ask(relay.addr, kind, since).await;
        let taken = match &answer {
            PollResult::UpToDate => return since.ok_or(Lost::Unsure),
            PollResult::Changes(body) => take_changes(node, kind, body, away),
            PollResult::Snapshot(snapshot) => take_snapshot(node, kind, snapshot, away),
            PollResult::Starting | PollResult::Disconnected | PollResult::Unresponsive => {
                let reason = if answer == PollResult::Unresponsive {
                    "silent"
                } else {
                    "unsure"
                };
                log::info!(relay = relay.node.as_str(), kind:? = kind, since:? = since, reason; "relay: lost");
                let mut state = node.state.borrow_mut();
                state.metrics.count(Counter::RelayLost);
                state.peers.skip_relay(&relay.node, &answer, Instant::now());
                return Err(match answer {
                    PollResult::Unresponsive => Lost::Silent,
                    _ => Lost::Unsure,
                });
            }
        };
        match taken {
            Ok(version) => Ok(since.map_or(version, |since| since.max(version))),
            Err(error) => {
                log::warn!(relay = relay.node.as_str(), reason:% = error; "relay: answer can't be read");
                Err(Lost::Silent)
            }
        }
    }

    async fn list(&self) -> Result<(StoreVersion, bool), Trouble> {
        let (node, client, kind, away) = (&self.node, &self.client, self.kind, self.away);
        let mut listing = Listing::default();
        let mut pages = Vec::new();
        loop {
            let path = node.platform.list_path(kind, listing.after.as_deref());
            let body = client.read(&path, Duration::ZERO).await?;
            let more = listing.take(node, kind, &body, away)?;
            pages.push(body);
            if !more {
                break;
            }
        }
        let version = listing.finish(node, kind, away);
        if let Some(log) = node.state.borrow_mut().logs.get_mut(kind) {
            log.reset(version, pages);
        }
        node.news.notify_waiters();
        Ok((version, false))
    }

    async fn watch(
        &self,
        since: StoreVersion,
        wait: Duration,
    ) -> Result<(StoreVersion, bool), Trouble> {
        let (node, client, kind, away) = (&self.node, &self.client, self.kind, self.away);
        let path = node.platform.watch_path(kind, since, wait);
        let body = client.read(&path, wait).await?;
        let batch = node.platform.read_changes(kind, &body)?;
        let changed = !batch.objects.is_empty();
        let version = batch.version.max(since);
        apply_all(node, batch.objects, away);
        if let Some(log) = node.state.borrow_mut().logs.get_mut(kind) {
            log.append(version, changed.then_some(body));
        }
        if changed {
            node.news.notify_waiters();
        }
        Ok((version, changed))
    }
}

/// Waits until the other gateways are known, so that a gateway that starts can ask one of them.
async fn wait_for_peers(node: &Node) {
    let listed = node.listed.notified();
    if node.state.borrow().peers.is_empty() {
        // A store that doesn't answer must not keep the first list of servers waiting.
        let _ = tokio::time::timeout(PEERS_WAIT, listed).await;
    }
}

enum Trouble {
    /// The changes since the last call are no longer kept.
    HistoryGone,
    Failed(String),
}

impl From<DecodeError> for Trouble {
    fn from(error: DecodeError) -> Trouble {
        Trouble::Failed(error.to_string())
    }
}

impl From<StoreError> for Trouble {
    fn from(error: StoreError) -> Trouble {
        match error {
            StoreError::Rejected { status: 410, .. } => Trouble::HistoryGone,
            other => Trouble::Failed(other.to_string()),
        }
    }
}
