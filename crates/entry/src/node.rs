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
use crate::query_driver::send_cancel_through;
use crate::routes::Holder;
use crate::routes::Routes;
use crate::settings::Settings;

/// Bits of an attempt id that count attempts; the bits above tell nodes and incarnations apart.
const ATTEMPT_BITS: u32 = 40;

/// Calls of the platform a second by all nodes together, of its several hundred writes and 2,000 reads.
///
/// The nodes divide it by the size of the fleet that they see; docs/CAPACITY.md has the figures for 590 nodes.
const FLEET_CALLS_PER_SECOND: f64 = 600.0;

/// Calls a second that a node may always make: a relay's watches take up to three.
const MIN_CALLS_PER_SECOND: f64 = 4.0;

/// Calls a second that a node of a small fleet may make, and one that does not know the fleet yet.
const MAX_CALLS_PER_SECOND: f64 = 50.0;

/// Calls of the platform that a node may make at once after a quiet time.
const CALL_BURST: u32 = 40;

/// State of one entry VM.
#[derive(Debug)]
pub struct Node {
    /// Checked settings.
    pub settings: Settings,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Connections to upstreams.
    pub pool: Pool,
    /// Client of the platform's object API.
    pub store: Client,
    /// Connections to other entry VMs.
    pub peers: PeerClients,
    /// The home of ledger objects on this node.
    pub homes: HomeDriver,
    pub(crate) conf: Mutex<ConfigState>,
    pub(crate) view: Mutex<View>,
    pub(crate) epoch: AtomicU64,
    pub(crate) indexes: RwLock<BTreeMap<IndexName, (Version, Arc<IndexState>)>>,
    pub(crate) limits: Mutex<Limits>,
    pub(crate) routes: RwLock<Routes>,
    released: Notify,
    /// Queries that wait for admission.
    pub queues: Queues,
    running: Mutex<HashMap<QueryId, UnboundedSender<Event>>>,
    pub(crate) heard: Mutex<HashMap<UpstreamId, Instant>>,
    pub(crate) ids: Mutex<Ids>,
    tracked: Mutex<HashMap<AttemptId, Target>>,
    pub(crate) listed: AtomicBool,
    stopping: AtomicBool,
    closed: AtomicBool,
    active: AtomicUsize,
}

/// Where an attempt was sent.
#[derive(Debug, Clone)]
enum Target {
    Upstream(Upstream),
    Holder(Holder),
}

/// Sources of identifiers and random numbers.
#[derive(Debug)]
pub(crate) struct Ids {
    attempt: AttemptId,
    pub(crate) rng: Pcg64,
}

/// Counts one request in progress until it is dropped.
#[derive(Debug)]
pub struct ActiveRequest {
    node: Arc<Node>,
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.node.active.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Locks a mutex; a panic in another task does not make its data unusable.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Node {
    /// Creates the state of an entry VM; `seed` starts its random generators and identifies its incarnation.
    ///
    /// `peer` is the address that other entry VMs connect to.
    pub fn new(settings: Settings, peer: SocketAddr, seed: u64) -> Node {
        let now = Instant::now();
        let prefix = hash_key(&format!("{}/{seed}", settings.node)) >> ATTEMPT_BITS;
        let ids = Ids {
            attempt: prefix << ATTEMPT_BITS,
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
            homes: HomeDriver::default(),
            conf: Mutex::new(ConfigState::new(now)),
            view: Mutex::new(View::new(identity, now)),
            epoch: AtomicU64::new(0),
            indexes: RwLock::default(),
            limits: Mutex::new(limits),
            routes: RwLock::default(),
            released: Notify::new(),
            queues: Queues::default(),
            running: Mutex::default(),
            heard: Mutex::default(),
            ids: Mutex::new(ids),
            tracked: Mutex::default(),
            listed: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
            closed: AtomicBool::new(false),
            active: AtomicUsize::new(0),
            settings,
        }
    }

    /// Takes in the state of an index at a version of its object in the platform; an older one is ignored.
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

    /// Returns the highest version of an index object that this node has.
    pub fn newest_index_version(&self) -> Version {
        let indexes = self.indexes.read().unwrap_or_else(PoisonError::into_inner);
        indexes
            .values()
            .map(|(version, _)| *version)
            .max()
            .unwrap_or(0)
    }

    /// Returns the indexes whose objects are newer than a version.
    pub fn indexes_after(&self, after: Version) -> Vec<(Version, Arc<IndexState>)> {
        let indexes = self.indexes.read().unwrap_or_else(PoisonError::into_inner);
        indexes
            .values()
            .filter(|(version, _)| *version > after)
            .cloned()
            .collect()
    }

    /// Limits the calls of the platform to this node's part of the budget.
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

    /// Returns the number of indexes known.
    pub fn index_count(&self) -> usize {
        self.indexes
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .len()
    }

    /// Returns the connections that this node may use of an upstream's limit.
    pub fn share(&self, upstream: &UpstreamId) -> u32 {
        let limits = lock(&self.limits);
        let gate = limits.key(upstream).and_then(|key| limits.gate(key));
        gate.and_then(|gate| gate.share()).unwrap_or(0)
    }

    /// Takes in the state that an upstream named in a reply to a request sent at `sent`.
    pub fn record_state(&self, upstream: &UpstreamId, state: UpstreamState, sent: Instant) {
        let now = Instant::now();
        lock(&self.heard).insert(upstream.clone(), now);
        lock(&self.view).observe(upstream, Evidence::Replied(state), now);
        let mut limits = lock(&self.limits);
        if let Some(key) = limits.key(upstream) {
            limits.record_state(key, state, sent, now);
        }
    }

    /// Takes in what a failed call says of an upstream.
    pub fn record_error(&self, upstream: &UpstreamId, error: CallError) {
        let evidence = match error {
            CallError::Unreachable => Evidence::ConnectFailed,
            CallError::Refused => Evidence::ConnectRefused,
            CallError::Lost | CallError::ShareExhausted => return,
        };
        lock(&self.view).observe(upstream, evidence, Instant::now());
    }

    /// Waits for a permit of an upstream until the deadline; on failure tells why there was none.
    pub async fn wait_permit(
        &self,
        upstream: &UpstreamId,
        deadline: Instant,
        poll: Duration,
    ) -> Result<Permit, &'static str> {
        loop {
            let now = Instant::now();
            if now >= deadline {
                return Err("the deadline passed before the upstream had a place");
            }
            match self.acquire(upstream, now) {
                Ok(permit) => return Ok(permit),
                Err(Blocked::Draining) => return Err("the upstream is draining"),
                Err(Blocked::Paused) => return Err("the upstream is paused after failures"),
                Err(Blocked::Unknown) => return Err("the holder does not know the upstream"),
                Err(Blocked::Limit | Blocked::Share) => {}
            }
            let _ = tokio::time::timeout(poll, self.released.notified()).await;
        }
    }

    fn acquire(&self, upstream: &UpstreamId, now: Instant) -> Result<Permit, Blocked> {
        let mut limits = lock(&self.limits);
        let key = limits.key(upstream).ok_or(Blocked::Unknown)?;
        limits.acquire(key, now)
    }

    /// Gives a permit back.
    pub fn release(&self, permit: Permit, ending: AttemptOutcome) {
        let now = Instant::now();
        let mut limits = lock(&self.limits);
        limits.release(permit, ending, now);
        let woken = limits.next_waiter(now);
        drop(limits);
        self.released.notify_one();
        self.wake(woken);
    }

    /// Advances a query by one event under the lock of the limits.
    pub fn advance(&self, query: &mut Query, index: &str, event: Event) -> Vec<Action> {
        let index = self
            .index(index)
            .unwrap_or_else(|| Arc::new(empty_index(index)));
        let mut limits = lock(&self.limits);
        let mut ids = lock(&self.ids);
        let Ids { attempt, rng } = &mut *ids;
        let mut env = Env {
            index: &index,
            limits: &mut limits,
            next_attempt: attempt,
            rng,
        };
        let now = Instant::now();
        let actions = query.handle(event, now, &mut env);
        let woken = limits.next_waiter(now);
        drop(limits);
        self.wake(woken);
        actions
    }

    /// Registers a running query, so that it is woken when an upstream that it waits for has a place free.
    pub fn register(&self, query: QueryId, events: UnboundedSender<Event>) {
        lock(&self.running).insert(query, events);
    }

    /// Forgets a query that ended.
    pub fn unregister(&self, query: QueryId) {
        lock(&self.running).remove(&query);
    }

    fn wake(&self, woken: Option<QueryId>) {
        if let Some(events) = woken.and_then(|query| lock(&self.running).get(&query).cloned()) {
            // The query may have ended in the meantime.
            let _ = events.send(Event::Wake);
        }
    }

    /// Gives up a query and what it holds.
    pub fn abandon(&self, query: &mut Query) {
        query.abandon(Instant::now(), &mut lock(&self.limits));
    }

    /// Returns a fresh attempt id.
    pub fn next_attempt_id(&self) -> AttemptId {
        let mut ids = lock(&self.ids);
        ids.attempt += 1;
        ids.attempt
    }

    /// Returns a fresh query id.
    pub fn next_query_id(&self) -> QueryId {
        let mut ids = lock(&self.ids);
        u128::from(ids.rng.next_u64()) << 64 | u128::from(ids.rng.next_u64())
    }

    /// Remembers where an attempt was sent, so that it can be cancelled.
    pub fn track(&self, attempt: AttemptId, upstream: &Upstream) {
        lock(&self.tracked).insert(attempt, Target::Upstream(upstream.clone()));
    }

    /// Remembers the holder that attempts were sent through.
    pub fn track_holder(&self, attempts: impl Iterator<Item = AttemptId>, holder: &Holder) {
        let mut tracked = lock(&self.tracked);
        tracked.extend(attempts.map(|attempt| (attempt, Target::Holder(holder.clone()))));
    }

    /// Forgets an attempt that ended.
    pub fn untrack(&self, attempt: AttemptId) {
        lock(&self.tracked).remove(&attempt);
    }

    /// Cancels an attempt where it was sent, if it is still in progress.
    pub fn cancel(self: &Arc<Self>, attempt: AttemptId) {
        let target = lock(&self.tracked).get(&attempt).cloned();
        match target {
            Some(Target::Upstream(upstream)) => {
                tokio::spawn(send_cancel(self.clone(), attempt, upstream));
            }
            Some(Target::Holder(holder)) => {
                tokio::spawn(send_cancel_through(self.clone(), attempt, holder));
            }
            None => {}
        }
    }

    /// Counts a request in, or refuses it when the node is full or has stopped.
    pub fn enter(self: &Arc<Self>) -> Result<ActiveRequest, Code> {
        let before = self.active.fetch_add(1, Ordering::SeqCst);
        let active = ActiveRequest { node: self.clone() };
        if self.closed.load(Ordering::SeqCst) {
            return Err(Code::Stopping);
        }
        if before >= self.settings.max_queries {
            return Err(Code::Overloaded);
        }
        Ok(active)
    }

    /// Returns the number of requests in progress.
    pub fn active(&self) -> usize {
        self.active.load(Ordering::SeqCst)
    }

    /// Tells the balancer to send no more callers here.
    pub fn fail_readiness(&self) {
        self.stopping.store(true, Ordering::SeqCst);
    }

    /// Refuses requests from now on.
    pub fn refuse_requests(&self) {
        self.closed.store(true, Ordering::SeqCst);
    }

    /// Tells whether the balancer may send callers here.
    pub fn check_readiness(&self) -> Result<(), Code> {
        if self.stopping.load(Ordering::SeqCst) {
            return Err(Code::Stopping);
        }
        let synced = lock(&self.view).is_synced(Instant::now());
        let ready =
            self.catalogue().is_some() && self.knows_fleet() && self.index_count() > 0 && synced;
        if ready { Ok(()) } else { Err(Code::NotReady) }
    }

    /// Tells whether the size of the fleet is known, without which no share of a server's connections is safe.
    pub fn knows_fleet(&self) -> bool {
        self.listed.load(Ordering::SeqCst) || lock(&self.view).nodes().count() > 1
    }
}

fn store_options(platform: SocketAddr, seed: u64) -> ClientOptions {
    let mut options = ClientOptions::new(platform, seed);
    options.governor.rate = MAX_CALLS_PER_SECOND;
    options.governor.burst = CALL_BURST;
    options
}

fn empty_index(name: &str) -> IndexState {
    IndexState {
        index: name.into(),
        maps: Vec::new(),
        upstreams: Vec::new(),
    }
}
