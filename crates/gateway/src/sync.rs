//! Keeps the configuration and the servers up to date, by list and watch calls to the store or by polling a relay.

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
use crate::apply::OUTAGE_WINDOW;
use crate::apply::PagedList;
use crate::apply::apply_changes;
use crate::apply::apply_objects;
use crate::apply::apply_snapshot;
use crate::apply::hides_change;
use crate::era::OutdatedReply;
use crate::era::check_era;
use crate::era::is_outdated;
use crate::era::record_era;
use crate::metrics::Counter;
use crate::node::Node;
use crate::pacing::Pacing;
use crate::pacing::StoreRole;
use crate::relay::RelayClient;

/// Longest wait of one watch call, as a fraction of [`Settings::apply_time`].
///
/// A dead connection is detected only after this wait plus the call's timeout, and the peers that follow this gateway
/// need time to query the store after that.
///
/// [`Settings::apply_time`]: crate::Settings::apply_time
const WATCH_FRACTION: f64 = 0.45;

/// Delay after a watch that returned changes, as a fraction of the same time. Each call to the store has a cost, so
/// changes that follow closely are batched into the next call.
const BATCH_FRACTION: f64 = 0.16;

/// Consecutive relays that may fail to supply the changes before this gateway calls the store itself.
const MAX_DISCONNECTS: u32 = 1;

/// Consecutive failed calls after which a relay reports to its peers that it has lost the store. A single failure may
/// be a watch whose connection was cut.
const LOST_AFTER_FAILURES: u32 = 2;

/// Longest time for which a starting gateway waits for the list of its peers before it fetches its first objects.
const PEERS_TIMEOUT: Duration = Duration::from_millis(800);

/// Time within which a failed poll of a relay leaves time to ask the next one before the store.
const QUICK_FAILURE: Duration = Duration::from_millis(300);

/// Interval at which a follower asks its relays whether the store is back.
const ASK_INTERVAL: Duration = Duration::from_millis(400);

/// Time for which a follower whose relays have lost the store reads from the store itself, before it asks them again.
const DIRECT_TIME: Duration = Duration::from_secs(1);

/// Where the next changes are read from.
enum Source {
    Store,
    Relay(Peer),
}

/// Why a poll of a relay failed.
enum RelayError {
    /// The relay has just started, has lost the store or lacks the changes; another relay may have them.
    Disconnected,
    /// The relay sent no usable reply; waiting for it leaves no time to try another one.
    Unresponsive,
}

/// Keeps the objects of one kind up to date until the process ends.
pub(crate) async fn sync_objects(node: Rc<Node>, client: Client, kind: ObjectKind) {
    wait_for_peers(&node).await;
    let apply_time = node.state.borrow().settings.apply_time;
    let mut task = SyncTask {
        node,
        client,
        kind,
        relay_client: RelayClient::default(),
        since: None,
        last_failure: None,
        poll_now: false,
        failures: 0,
        disconnects: 0,
        direct_until: None,
        watch_timeout: apply_time.mul_f64(WATCH_FRACTION),
        batch_delay: apply_time.mul_f64(BATCH_FRACTION),
        pacing: Pacing::new(apply_time),
    };
    loop {
        match task.choose_source() {
            Source::Relay(relay) => task.follow_relay(&relay).await,
            Source::Store => task.follow_store().await,
        }
    }
}

/// State of the task that keeps one kind of object up to date.
struct SyncTask {
    node: Rc<Node>,
    client: Client,
    kind: ObjectKind,
    relay_client: RelayClient,
    /// Store version up to which changes are applied, or `None` if a full list is needed.
    since: Option<StoreVersion>,
    /// Time of the latest failed call to the store, as long as entries may have expired because of the outage.
    last_failure: Option<Instant>,
    /// Whether the next call goes to the store, without a wait for changes.
    poll_now: bool,
    /// Consecutive failed calls to the store.
    failures: u32,
    /// Consecutive polls of relays that could not supply the changes.
    disconnects: u32,
    /// Time until which this gateway reads from the store although it has a relay.
    direct_until: Option<Instant>,
    watch_timeout: Duration,
    batch_delay: Duration,
    pacing: Pacing,
}

impl SyncTask {
    fn role(&self) -> StoreRole {
        let state = self.node.state.borrow();
        let settings = &state.settings;
        state.peers.store_role(&settings.node, &settings.zone)
    }

    fn draw_jitter(&self) -> f64 {
        self.node.state.borrow_mut().rng.random::<f64>()
    }

    fn choose_source(&self) -> Source {
        let is_direct = self
            .direct_until
            .is_some_and(|until| Instant::now() < until);
        if self.poll_now || is_direct {
            return Source::Store;
        }
        let state = self.node.state.borrow();
        let settings = &state.settings;
        let relay = state
            .peers
            .find_relay(&settings.node, &settings.zone, Instant::now());
        relay.map_or(Source::Store, Source::Relay)
    }

    /// Polls a relay once; its reply decides where the next changes are read from.
    async fn follow_relay(&mut self, relay: &Peer) {
        let began = Instant::now();
        match self.poll_relay(relay).await {
            Ok(version) => self.record_relayed(version),
            Err(RelayError::Unresponsive) if began.elapsed() > QUICK_FAILURE => {
                self.poll_now = true;
            }
            Err(RelayError::Disconnected | RelayError::Unresponsive) => {
                self.disconnects += 1;
                if self.disconnects > MAX_DISCONNECTS {
                    let jitter = self.draw_jitter();
                    let delay = self.pacing.first_delay(self.role(), jitter);
                    self.poll_now = !self.ask_relays(delay).await;
                }
            }
        }
    }

    fn record_relayed(&mut self, version: StoreVersion) {
        self.since = Some(version);
        self.disconnects = 0;
        if let Some(log) = self.node.state.borrow_mut().change_logs.get_mut(self.kind) {
            log.reset_relayed(version);
        }
    }

    /// Waits for a time, and meanwhile asks the relays whether the store is back; returns true as soon as one supplies
    /// the changes.
    async fn ask_relays(&mut self, time: Duration) -> bool {
        let end = Instant::now() + time;
        let mut turn = 0;
        loop {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return false;
            }
            tokio::time::sleep(left.min(ASK_INTERVAL)).await;
            let relay = {
                let state = self.node.state.borrow();
                let settings = &state.settings;
                state
                    .peers
                    .find_candidate(&settings.node, &settings.zone, turn)
            };
            turn += 1;
            if let Some(relay) = relay
                && let Ok(version) = self.poll_relay(&relay).await
            {
                self.record_relayed(version);
                return true;
            }
        }
    }

    /// Calls the store once, then delays the next call if changes arrived or the call failed.
    async fn follow_store(&mut self) {
        let role = self.role();
        let delay = self.shared_delay(role);
        if !delay.is_zero() && self.ask_relays(delay).await {
            self.poll_now = false;
            return;
        }
        let began = Instant::now();
        let is_connected = self.begin_call();
        let result = match self.since {
            None => self.list().await,
            Some(version) => {
                // With a wait, a store that is still unresponsive would be noticed only after the whole wait.
                let wait = if self.poll_now || !is_connected {
                    Duration::ZERO
                } else {
                    self.watch_timeout
                };
                self.watch(version, wait).await
            }
        };
        self.poll_now = false;
        let has_lost_relays = self.disconnects > MAX_DISCONNECTS;
        match result {
            Ok((version, changed)) => {
                self.disconnects = 0;
                self.direct_until = has_lost_relays.then(|| Instant::now() + DIRECT_TIME);
                self.node.state.borrow_mut().store_failure = None;
                if !is_connected {
                    // Followers wait for the result.
                    self.node.store_changed.notify_waiters();
                }
                self.failures = 0;
                self.since = Some(version);
                if self
                    .last_failure
                    .is_some_and(|failed| failed.elapsed() > OUTAGE_WINDOW)
                {
                    self.last_failure = None;
                }
                if changed {
                    tokio::time::sleep(self.batch_delay).await;
                }
            }
            Err(StoreFailure::HistoryExpired) => {
                log::info!(kind:? = self.kind, since:? = self.since; "store: change history expired; listing all objects again");
                self.failures = 0;
                self.since = None;
            }
            Err(StoreFailure::ChangeHidden) => {
                self.failures = 0;
                self.since = None;
                tokio::time::sleep(self.batch_delay).await;
            }
            Err(StoreFailure::Restored) => {
                log::info!(kind:? = self.kind, since:? = self.since; "store: restored since the last call; listing all objects again");
                self.failures = 0;
                self.since = None;
            }
            Err(StoreFailure::Failed(reason)) => {
                self.report_failure(&reason);
                self.record_failure(began.elapsed(), is_connected);
                let jitter = self.draw_jitter();
                let delay = self.pacing.retry_delay(role, self.failures, jitter);
                self.poll_now = match role {
                    StoreRole::Relay => {
                        tokio::time::sleep(delay).await;
                        true
                    }
                    StoreRole::Follower => !self.ask_relays(delay).await,
                };
            }
        }
    }

    fn report_failure(&self, reason: &str) {
        let mut state = self.node.state.borrow_mut();
        if let Some(skipped) = state.allow_log_line("store failed") {
            log::warn!(kind:? = self.kind, since:? = self.since, reason, skipped; "store: call failed");
        }
    }

    /// Records a failed call. Once the store counts as lost, also wakes the peers that poll this gateway, so that they
    /// call the store themselves.
    fn record_failure(&mut self, took: Duration, was_connected: bool) {
        let now = Instant::now();
        self.failures += 1;
        self.last_failure = Some(now);
        let mut state = self.node.state.borrow_mut();
        state.store_failure = Some((self.kind, now));
        state.metrics.count(Counter::StoreFailed);
        if !was_connected || self.failures >= LOST_AFTER_FAILURES || took > self.watch_timeout {
            if let Some(log) = state.change_logs.get_mut(self.kind) {
                log.mark_disconnected();
            }
            self.node.store_changed.notify_waiters();
        }
    }

    /// Returns how long to put off a call because one for another kind of object has just failed.
    fn shared_delay(&self, role: StoreRole) -> Duration {
        let failure = self.node.state.borrow().store_failure;
        match failure {
            Some((kind, failed)) if kind != self.kind => {
                self.pacing.shared_delay(role, failed.elapsed())
            }
            Some(_) | None => Duration::ZERO,
        }
    }

    /// Lets followers wait for the result of a call, if this gateway has not read from the store before it; returns
    /// whether it has.
    fn begin_call(&self) -> bool {
        let mut state = self.node.state.borrow_mut();
        let Some(log) = state.change_logs.get_mut(self.kind) else {
            return true;
        };
        let is_connected = log.is_connected();
        if !is_connected && self.failures == 0 {
            log.mark_waiting();
        }
        is_connected
    }

    /// Polls a relay and applies its reply; returns the store version reached.
    async fn poll_relay(&mut self, relay: &Peer) -> Result<StoreVersion, RelayError> {
        let (kind, since) = (self.kind, self.since);
        let result = self.relay_client.poll(relay.addr, kind, since).await;
        let result = self.check_relayed(result);
        let (node, last_failure) = (&self.node, self.last_doubt());
        let applied = match &result {
            PollResult::UpToDate => return since.ok_or(RelayError::Disconnected),
            PollResult::Changes(era, body) => apply_changes(node, kind, *era, body, last_failure),
            PollResult::Snapshot(era, snapshot) => {
                apply_snapshot(node, kind, *era, snapshot, last_failure)
            }
            PollResult::Starting | PollResult::Disconnected | PollResult::Unresponsive => {
                let reason = if result == PollResult::Unresponsive {
                    "silent"
                } else {
                    "unsure"
                };
                let mut state = node.state.borrow_mut();
                if let Some(skipped) = state.allow_log_line("relay lost") {
                    let relay = relay.node.as_str();
                    log::info!(relay, kind:? = kind, since:? = since, reason, skipped; "relay: lost");
                }
                state.metrics.count(Counter::RelayLost);
                state.peers.skip_relay(&relay.node, &result, Instant::now());
                return Err(match result {
                    PollResult::Unresponsive => RelayError::Unresponsive,
                    _ => RelayError::Disconnected,
                });
            }
        };
        match applied {
            Ok(version) => Ok(since.map_or(version, |since| since.max(version))),
            Err(error) => {
                log::warn!(relay = relay.node.as_str(), reason:% = error; "relay: failed to decode the reply");
                Err(RelayError::Unresponsive)
            }
        }
    }

    /// Records the era of a relay's reply; a relay that has not noticed a restore yet can't supply the changes.
    fn check_relayed(&self, result: PollResult) -> PollResult {
        match &result {
            PollResult::Changes(era, _) | PollResult::Snapshot(era, _) => {
                if is_outdated(&self.node, *era) {
                    return PollResult::Disconnected;
                }
                record_era(&self.node, self.kind, *era);
                result
            }
            _ => result,
        }
    }

    /// Returns the latest time at which entries may have been lost without their servers: that of a failed call, or of a
    /// restore.
    fn last_doubt(&self) -> Option<Instant> {
        self.last_failure.max(self.node.state.borrow().restored_at)
    }

    /// Lists all objects; returns the version from which to watch, and `false` so that the watch starts without delay.
    async fn list(&self) -> Result<(StoreVersion, bool), StoreFailure> {
        let (node, client, kind) = (&self.node, &self.client, self.kind);
        let mut list = PagedList::default();
        let mut pages = Vec::new();
        let mut first_era = None;
        loop {
            let path = node.platform.list_path(kind, list.next.as_ref());
            let reply = client.read(&path, Duration::ZERO).await?;
            let era = check_era(node, kind, &reply)?;
            if era != *first_era.get_or_insert(era) {
                return Err(StoreFailure::Restored);
            }
            let more = list.apply_page(node, kind, era, &reply.body, self.last_doubt())?;
            pages.push(reply.body);
            if !more {
                break;
            }
        }
        let version = list.finish(node, kind, self.last_doubt());
        if let Some(log) = node.state.borrow_mut().change_logs.get_mut(kind) {
            log.reset(version, pages);
        }
        node.store_changed.notify_waiters();
        Ok((version, false))
    }

    /// Waits for changes after a version; returns the version reached and whether there were any.
    async fn watch(
        &self,
        since: StoreVersion,
        wait: Duration,
    ) -> Result<(StoreVersion, bool), StoreFailure> {
        let (node, client, kind) = (&self.node, &self.client, self.kind);
        let path = node.platform.watch_path(kind, since.revision, wait);
        let reply = client.read(&path, wait).await?;
        let era = check_era(node, kind, &reply)?;
        if era != since.era {
            return Err(StoreFailure::Restored);
        }
        let body = reply.body;
        let batch = node.platform.read_changes(kind, era, &body)?;
        if hides_change(node, kind, &batch) {
            return Err(StoreFailure::ChangeHidden);
        }
        let changed = !batch.objects.is_empty();
        let version = batch.version.max(since);
        apply_objects(node, kind, batch.objects, self.last_doubt());
        if let Some(log) = node.state.borrow_mut().change_logs.get_mut(kind) {
            log.append(version, changed.then_some(body));
        }
        if changed {
            node.store_changed.notify_waiters();
        }
        Ok((version, changed))
    }
}

/// Waits until the peers are listed, so that a starting gateway can poll a relay instead of the store.
async fn wait_for_peers(node: &Node) {
    let listed = node.peers_listed.notified();
    if node.state.borrow().peers.is_empty() {
        // An unresponsive store must not delay the first list of servers.
        let _ = tokio::time::timeout(PEERS_TIMEOUT, listed).await;
    }
}

/// Why a call to the store failed.
enum StoreFailure {
    /// The store no longer keeps the changes since the last call.
    HistoryExpired,
    /// The name of an object that has changed can't be read. A list shows which one is not readable any more.
    ChangeHidden,
    /// The store was restored since the last call, so that the versions known no longer mean anything.
    Restored,
    Failed(String),
}

impl From<OutdatedReply> for StoreFailure {
    fn from(_: OutdatedReply) -> StoreFailure {
        StoreFailure::Failed("the reply is from before a restore of the store".to_owned())
    }
}

impl From<DecodeError> for StoreFailure {
    fn from(error: DecodeError) -> StoreFailure {
        StoreFailure::Failed(error.to_string())
    }
}

impl From<StoreError> for StoreFailure {
    fn from(error: StoreError) -> StoreFailure {
        match error {
            StoreError::Rejected { status: 410, .. } => StoreFailure::HistoryExpired,
            other => StoreFailure::Failed(other.to_string()),
        }
    }
}
