//! State of one entry VM, shared by its tasks.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use base::AttemptId;
use base::Code;
use base::IndexName;
use base::IndexState;
use base::QueryId;
use base::Upstream;
use base::UpstreamId;
use base::UpstreamState;
use base::hash_key;
use conf::ConfigState;
use limit::AttemptOutcome;
use limit::Blocked;
use limit::Limits;
use limit::Permit;
use limit::Tuning;
use member::Evidence;
use member::Identity;
use member::View;
use query::Action;
use query::Env;
use query::Event;
use query::Query;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use store::Client;
use store::ClientOptions;
use store::Version;
use tokio::sync::Notify;
use tokio::sync::mpsc::UnboundedSender;

use crate::admission::Queues;
use crate::home::HomeDriver;
use crate::home::read_clocks;
use crate::metrics::Metrics;
use crate::peer_clients::PeerClients;
use crate::pool::CallError;
use crate::pool::Pool;
use crate::query_driver::send_cancel;
use crate::query_driver::send_holder_cancel;
use crate::routes::Holder;
use crate::routes::Routes;
use crate::settings::Settings;

/// Low bits of an attempt id, which number the attempts; the high bits identify the node and its incarnation.
const ATTEMPT_BITS: u32 = 40;

/// Budget of the fleet for calls to the platform, which supports several hundred writes and 2,000 reads a second.
///
/// Each node divides it by the fleet size in its view; docs/CAPACITY.md has the figures for 590 nodes.
const FLEET_CALLS_PER_SECOND: f64 = 600.0;

/// Lower limit of a node's call rate; the watches of a relay need up to three calls a second.
const MIN_CALLS_PER_SECOND: f64 = 4.0;

/// Upper limit of a node's call rate, which also applies while the fleet size is unknown.
const MAX_CALLS_PER_SECOND: f64 = 50.0;

/// Largest burst of a node's calls to the platform.
const MAX_CALL_BURST: u32 = 40;

/// State of one entry VM.
#[derive(Debug)]
pub struct Node {
    /// Validated settings.
    pub settings: Settings,
    /// Metrics.
    pub metrics: Metrics,
    /// Connections to upstreams.
    pub pool: Pool,
    /// Client of the platform's object API.
    pub store: Client,
    /// Connections to other entry VMs.
    pub peers: PeerClients,
    /// Driver of this node's role as the home of ledgers.
    pub home: HomeDriver,
    pub(crate) conf: Mutex<ConfigState>,
    pub(crate) view: Mutex<View>,
    pub(crate) roles_epoch: AtomicU64,
    pub(crate) indexes: RwLock<BTreeMap<IndexName, (Version, Arc<IndexState>)>>,
    pub(crate) limits: Mutex<Limits>,
    pub(crate) routes: RwLock<Routes>,
    permit_released: Notify,
    /// Admission queues.
    pub queues: Queues,
    running_queries: Mutex<HashMap<QueryId, UnboundedSender<Event>>>,
    pub(crate) last_replies: Mutex<HashMap<UpstreamId, Instant>>,
    pub(crate) ids: Mutex<Ids>,
    attempt_targets: Mutex<HashMap<AttemptId, Target>>,
    pub(crate) list_received: AtomicBool,
    stopping: AtomicBool,
    refusing: AtomicBool,
    active_requests: AtomicUsize,
}

/// Where an attempt was sent, and so where it can be cancelled.
#[derive(Debug, Clone)]
enum Target {
    Upstream(Upstream),
    Holder(Holder),
}

/// Generators of identifiers and random numbers.
#[derive(Debug)]
pub(crate) struct Ids {
    last_attempt: AttemptId,
    pub(crate) rng: Pcg64,
}

/// Guard that counts a request as active until it is dropped.
#[derive(Debug)]
pub struct ActiveRequest {
    node: Arc<Node>,
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.node.active_requests.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Locks a mutex, ignoring poisoning by a panic in another task.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Node {
    /// Creates the state of an entry VM; `seed` seeds its random generators and distinguishes its attempt ids.
    ///
    /// `peer` is the address that other entry VMs connect to.
    pub fn new(settings: Settings, peer: SocketAddr, seed: u64) -> Node {
        let now = Instant::now();
        let prefix = hash_key(&format!("{}/{seed}", settings.node)) >> ATTEMPT_BITS;
        let ids = Ids {
            last_attempt: prefix << ATTEMPT_BITS,
            rng: Pcg64::seed_from_u64(seed),
        };
        let identity = Identity {
            id: settings.node.clone(),
            zone: settings.zone.clone(),
            region: settings.region.clone(),
            addr: peer,
            incarnation: read_clocks().wall_ms,
        };
        let limits = Limits::new(
            settings.zone.clone(),
            settings.region.clone(),
            Tuning::default(),
        );
        Node {
            metrics: Metrics::new(settings.statsd),
            pool: Pool::new(settings.zone.clone()),
            store: Client::new(store_options(settings.platform, seed)),
            peers: PeerClients::default(),
            home: HomeDriver::default(),
            conf: Mutex::new(ConfigState::new(now)),
            view: Mutex::new(View::new(identity, now)),
            roles_epoch: AtomicU64::new(0),
            indexes: RwLock::default(),
            limits: Mutex::new(limits),
            routes: RwLock::default(),
            permit_released: Notify::new(),
            queues: Queues::default(),
            running_queries: Mutex::default(),
            last_replies: Mutex::default(),
            ids: Mutex::new(ids),
            attempt_targets: Mutex::default(),
            list_received: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
            refusing: AtomicBool::new(false),
            active_requests: AtomicUsize::new(0),
            settings,
        }
    }

    /// Stores the state of an index at a version of its platform object, unless the same or a newer version is known.
    pub fn update_index(&self, version: Version, index: IndexState) {
        let mut indexes = self.indexes.write().unwrap_or_else(PoisonError::into_inner);
        if indexes
            .get(&index.index)
            .is_some_and(|(known, _)| *known >= version)
        {
            return;
        }
        let index = Arc::new(index);
        indexes.insert(index.index.clone(), (version, index.clone()));
        drop(indexes);
        lock(&self.view).set_upstreams(&index.index, &index.upstreams, Instant::now());
        let mut limits = lock(&self.limits);
        for upstream in &index.upstreams {
            limits.clear_versions(&upstream.id);
        }
        drop(limits);
        self.refresh_routes();
        self.apply_drains();
    }

    /// Returns the highest version of the index objects on this node; zero without any.
    pub fn newest_index_version(&self) -> Version {
        let indexes = self.indexes.read().unwrap_or_else(PoisonError::into_inner);
        indexes
            .values()
            .map(|(version, _)| *version)
            .max()
            .unwrap_or(0)
    }

    /// Returns the indexes whose object version is higher than `after`.
    pub fn indexes_after(&self, after: Version) -> Vec<(Version, Arc<IndexState>)> {
        let indexes = self.indexes.read().unwrap_or_else(PoisonError::into_inner);
        indexes
            .values()
            .filter(|(version, _)| *version > after)
            .cloned()
            .collect()
    }

    /// Limits calls to the platform to this node's share of the fleet's budget.
    pub(crate) fn limit_platform_calls(&self, nodes: u32) {
        let rate = FLEET_CALLS_PER_SECOND / f64::from(nodes.max(1));
        let rate = rate.clamp(MIN_CALLS_PER_SECOND, MAX_CALLS_PER_SECOND);
        self.store.set_rate(rate);
    }

    /// Returns the state of an index.
    pub fn index(&self, name: &str) -> Option<Arc<IndexState>> {
        self.indexes
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .get(name)
            .map(|(_, index)| index.clone())
    }

    /// Returns the number of known indexes.
    pub fn index_count(&self) -> usize {
        self.indexes
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .len()
    }

    /// Returns the number of connections that this node may open to an upstream.
    pub fn connection_share(&self, upstream: &UpstreamId) -> u32 {
        let limits = lock(&self.limits);
        let gate = limits.key(upstream).and_then(|key| limits.gate(key));
        gate.and_then(|gate| gate.share()).unwrap_or(0)
    }

    /// Records the state that an upstream reported in its reply to a request sent at `sent`.
    pub fn record_state(&self, upstream: &UpstreamId, state: UpstreamState, sent: Instant) {
        let now = Instant::now();
        lock(&self.last_replies).insert(upstream.clone(), now);
        lock(&self.view).observe(upstream, Evidence::Replied(state), now);
        let mut limits = lock(&self.limits);
        if let Some(key) = limits.key(upstream) {
            limits.record_state(key, state, sent, now);
        }
    }

    /// Records a failure to connect as evidence about the upstream's health; other errors are ignored.
    pub fn record_error(&self, upstream: &UpstreamId, error: CallError) {
        let evidence = match error {
            CallError::Unreachable => Evidence::ConnectFailed,
            CallError::Refused => Evidence::ConnectRefused,
            CallError::Lost | CallError::ShareExhausted => return,
        };
        lock(&self.view).observe(upstream, evidence, Instant::now());
    }

    /// Waits for a permit of an upstream until the deadline; returns a reason if it gets none.
    pub async fn wait_permit(
        &self,
        upstream: &UpstreamId,
        deadline: Instant,
        poll_interval: Duration,
    ) -> Result<Permit, &'static str> {
        loop {
            let now = Instant::now();
            if now >= deadline {
                return Err("the deadline passed before the upstream had a place");
            }
            match self.acquire(upstream, now) {
                Ok(permit) => return Ok(permit),
                Err(Blocked::Draining) => return Err("the upstream is draining"),
                Err(Blocked::Paused) => {
                    return Err("the upstream is paused after failures");
                }
                Err(Blocked::Unknown) => return Err("the holder does not know the upstream"),
                Err(Blocked::Limit | Blocked::Share | Blocked::Quota) => {}
            }
            let _ = tokio::time::timeout(poll_interval, self.permit_released.notified()).await;
        }
    }

    fn acquire(&self, upstream: &UpstreamId, now: Instant) -> Result<Permit, Blocked> {
        let mut limits = lock(&self.limits);
        let key = limits.key(upstream).ok_or(Blocked::Unknown)?;
        limits.acquire(key, now)
    }

    /// Releases a permit, and wakes the next query that waits for the upstream.
    pub fn release(&self, permit: Permit, outcome: AttemptOutcome) {
        let now = Instant::now();
        let mut limits = lock(&self.limits);
        limits.release(permit, outcome, now);
        let waiter = limits.next_waiter(now);
        drop(limits);
        self.permit_released.notify_one();
        self.wake_query(waiter);
    }

    /// Processes one event of a query, holding the lock of the limits, and returns the actions that follow.
    pub fn process_event(&self, query: &mut Query, index: &str, event: Event) -> Vec<Action> {
        let index = self
            .index(index)
            .unwrap_or_else(|| Arc::new(empty_index(index)));
        let mut limits = lock(&self.limits);
        let mut ids = lock(&self.ids);
        let Ids { last_attempt, rng } = &mut *ids;
        let mut env = Env {
            index: &index,
            limits: &mut limits,
            next_attempt: last_attempt,
            rng,
        };
        let now = Instant::now();
        let actions = query.handle(event, now, &mut env);
        let waiter = limits.next_waiter(now);
        drop(limits);
        self.wake_query(waiter);
        actions
    }

    /// Registers a running query, so that it is woken when an upstream that it waits for has free capacity.
    pub fn register_query(&self, query: QueryId, events: UnboundedSender<Event>) {
        lock(&self.running_queries).insert(query, events);
    }

    /// Removes a query that ended.
    pub fn unregister_query(&self, query: QueryId) {
        lock(&self.running_queries).remove(&query);
    }

    fn wake_query(&self, waiter: Option<QueryId>) {
        if let Some(events) =
            waiter.and_then(|query| lock(&self.running_queries).get(&query).cloned())
        {
            // The query may have ended in the meantime.
            let _ = events.send(Event::Wake);
        }
    }

    /// Abandons a query and releases its permits.
    pub fn abandon(&self, query: &mut Query) {
        query.abandon(Instant::now(), &mut lock(&self.limits));
    }

    /// Returns a new attempt id.
    pub fn next_attempt_id(&self) -> AttemptId {
        let mut ids = lock(&self.ids);
        ids.last_attempt += 1;
        ids.last_attempt
    }

    /// Returns a new query id.
    pub fn next_query_id(&self) -> QueryId {
        let mut ids = lock(&self.ids);
        u128::from(ids.rng.next_u64()) << 64 | u128::from(ids.rng.next_u64())
    }

    /// Records the upstream that an attempt was sent to, so that it can be cancelled.
    pub fn track_attempt(&self, attempt: AttemptId, upstream: &Upstream) {
        lock(&self.attempt_targets).insert(attempt, Target::Upstream(upstream.clone()));
    }

    /// Records the holder that attempts were sent through, so that they can be cancelled.
    pub fn track_holder(&self, attempts: impl Iterator<Item = AttemptId>, holder: &Holder) {
        let mut targets = lock(&self.attempt_targets);
        targets.extend(attempts.map(|attempt| (attempt, Target::Holder(holder.clone()))));
    }

    /// Removes an attempt that ended.
    pub fn untrack_attempt(&self, attempt: AttemptId) {
        lock(&self.attempt_targets).remove(&attempt);
    }

    /// Cancels an attempt at its upstream or holder, if it is still in progress.
    pub fn cancel_attempt(self: &Arc<Self>, attempt: AttemptId) {
        let target = lock(&self.attempt_targets).get(&attempt).cloned();
        match target {
            Some(Target::Upstream(upstream)) => {
                tokio::spawn(send_cancel(self.clone(), attempt, upstream));
            }
            Some(Target::Holder(holder)) => {
                tokio::spawn(send_holder_cancel(self.clone(), attempt, holder));
            }
            None => {}
        }
    }

    /// Counts a new request as active, or refuses it if the node is at its request limit or is stopping.
    pub fn start_request(self: &Arc<Self>) -> Result<ActiveRequest, Code> {
        let before = self.active_requests.fetch_add(1, Ordering::SeqCst);
        let active = ActiveRequest { node: self.clone() };
        if self.refusing.load(Ordering::SeqCst) {
            return Err(Code::Stopping);
        }
        if before >= self.settings.max_queries {
            return Err(Code::Overloaded);
        }
        Ok(active)
    }

    /// Returns the number of requests in progress.
    pub fn active_requests(&self) -> usize {
        self.active_requests.load(Ordering::SeqCst)
    }

    /// Makes the readiness check fail, so that the load balancer sends no further callers to this VM.
    pub fn fail_readiness(&self) {
        self.stopping.store(true, Ordering::SeqCst);
    }

    /// Refuses requests from now on.
    pub fn refuse_requests(&self) {
        self.refusing.store(true, Ordering::SeqCst);
    }

    /// Checks whether the load balancer may send callers to this VM.
    pub fn check_readiness(&self) -> Result<(), Code> {
        if self.stopping.load(Ordering::SeqCst) {
            return Err(Code::Stopping);
        }
        let synced = lock(&self.view).is_synced(Instant::now());
        let ready =
            self.catalogue().is_some() && self.knows_fleet() && self.index_count() > 0 && synced;
        if ready { Ok(()) } else { Err(Code::NotReady) }
    }

    /// Returns whether the fleet size is known, which a safe share of a server's connections depends on.
    pub fn knows_fleet(&self) -> bool {
        self.list_received.load(Ordering::SeqCst) || lock(&self.view).nodes().count() > 1
    }
}

fn store_options(platform: SocketAddr, seed: u64) -> ClientOptions {
    let mut options = ClientOptions::new(platform, seed);
    options.governor.rate = MAX_CALLS_PER_SECOND;
    options.governor.burst = MAX_CALL_BURST;
    options
}

fn empty_index(name: &str) -> IndexState {
    IndexState {
        index: name.into(),
        maps: Vec::new(),
        upstreams: Vec::new(),
    }
}
