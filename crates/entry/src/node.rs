//! State of one entry VM, shared by its tasks.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::sync::atomic::AtomicBool;
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
use decl::Catalogue;
use limit::Limits;
use limit::Tuning;
use query::Action;
use query::Env;
use query::Event;
use query::Query;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use store::Client;
use store::ClientOptions;

use crate::metrics::Metrics;
use crate::pool::Pool;
use crate::run::send_cancel;
use crate::settings::Settings;

/// Bits of an attempt id that count attempts; the bits above tell nodes and incarnations apart.
const ATTEMPT_BITS: u32 = 40;

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
    catalogue: RwLock<Option<Arc<Catalogue>>>,
    indexes: RwLock<BTreeMap<IndexName, Arc<IndexState>>>,
    limits: Mutex<Limits>,
    ids: Mutex<Ids>,
    tracked: Mutex<HashMap<AttemptId, Upstream>>,
    stopping: AtomicBool,
    closed: AtomicBool,
    active: AtomicUsize,
}

/// Sources of identifiers and random numbers.
#[derive(Debug)]
struct Ids {
    attempt: AttemptId,
    rng: Pcg64,
}

/// Counts one request in progress until it is dropped.
#[derive(Debug)]
pub struct Active {
    node: Arc<Node>,
}

impl Drop for Active {
    fn drop(&mut self) {
        self.node.active.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Locks a mutex; a panic in another task does not make its data unusable.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Node {
    /// Creates the state of an entry VM; `seed` starts its random generators and identifies its incarnation.
    pub fn new(settings: Settings, seed: u64) -> Node {
        let prefix = hash_key(&format!("{}/{seed}", settings.node)) >> ATTEMPT_BITS;
        let ids = Ids {
            attempt: prefix << ATTEMPT_BITS,
            rng: Pcg64::seed_from_u64(seed),
        };
        Node {
            metrics: Metrics::new(settings.statsd),
            pool: Pool::new(settings.zone.clone()),
            store: Client::new(ClientOptions::new(settings.platform, seed)),
            catalogue: RwLock::default(),
            indexes: RwLock::default(),
            limits: Mutex::new(Limits::new(
                settings.zone.clone(),
                settings.region.clone(),
                Tuning::default(),
            )),
            ids: Mutex::new(ids),
            tracked: Mutex::default(),
            stopping: AtomicBool::new(false),
            closed: AtomicBool::new(false),
            active: AtomicUsize::new(0),
            settings,
        }
    }

    /// Returns the configuration in force.
    pub fn catalogue(&self) -> Option<Arc<Catalogue>> {
        self.catalogue
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Returns the age of the configuration when it exceeds the bound within which it should be confirmed.
    pub fn stale(&self, _now: Instant) -> Option<Duration> {
        None
    }

    /// Takes in a catalogue; only a higher revision than the one in force is accepted.
    pub fn offer_catalogue(&self, catalogue: Catalogue) {
        let mut current = self
            .catalogue
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        if current
            .as_ref()
            .is_none_or(|current| current.revision < catalogue.revision)
        {
            log::info!("conf: revision {} in force", catalogue.revision);
            *current = Some(Arc::new(catalogue));
        }
    }

    /// Takes in the state of an index as the platform holds it.
    pub fn set_index(&self, index: IndexState) {
        lock(&self.limits).set_index(&index, self.peers());
        let mut indexes = self.indexes.write().unwrap_or_else(PoisonError::into_inner);
        indexes.insert(index.index.clone(), Arc::new(index));
    }

    /// Returns the number of entry VMs that connect to upstreams.
    fn peers(&self) -> u32 {
        18
    }

    /// Returns the state of an index.
    pub fn index(&self, name: &str) -> Option<Arc<IndexState>> {
        self.indexes
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .get(name)
            .cloned()
    }

    /// Returns the number of indexes known.
    pub fn index_count(&self) -> usize {
        self.indexes
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .len()
    }

    /// Looks up an upstream of an index.
    pub fn upstream(&self, index: &str, id: &UpstreamId) -> Option<Upstream> {
        self.index(index)?
            .upstreams
            .iter()
            .find(|upstream| upstream.id == *id)
            .cloned()
    }

    /// Returns the connections that this node may use of an upstream's limit.
    pub fn share(&self, upstream: &UpstreamId) -> u32 {
        let limits = lock(&self.limits);
        let gate = limits.key(upstream).and_then(|key| limits.gate(key));
        gate.and_then(|gate| gate.share()).unwrap_or(0)
    }

    /// Takes in the state that an upstream named in a reply to a request sent at `sent`.
    pub fn note_state(&self, upstream: &UpstreamId, state: UpstreamState, sent: Instant) {
        let mut limits = lock(&self.limits);
        if let Some(key) = limits.key(upstream) {
            limits.note_state(key, state, sent, Instant::now());
        }
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
        query.handle(event, Instant::now(), &mut env)
    }

    /// Returns a fresh query id.
    pub fn next_query(&self) -> QueryId {
        let mut ids = lock(&self.ids);
        u128::from(ids.rng.next_u64()) << 64 | u128::from(ids.rng.next_u64())
    }

    /// Remembers where an attempt was sent, so that it can be cancelled.
    pub fn track(&self, attempt: AttemptId, upstream: &Upstream) {
        lock(&self.tracked).insert(attempt, upstream.clone());
    }

    /// Forgets an attempt that ended.
    pub fn untrack(&self, attempt: AttemptId) {
        lock(&self.tracked).remove(&attempt);
    }

    /// Cancels an attempt at its upstream, if it is still in progress.
    pub fn cancel(self: &Arc<Self>, attempt: AttemptId) {
        let upstream = lock(&self.tracked).get(&attempt).cloned();
        if let Some(upstream) = upstream {
            tokio::spawn(send_cancel(self.clone(), attempt, upstream));
        }
    }

    /// Counts a request in, or refuses it when the node is full or has stopped.
    pub fn enter(self: &Arc<Self>) -> Result<Active, Code> {
        let before = self.active.fetch_add(1, Ordering::SeqCst);
        let active = Active { node: self.clone() };
        if self.closed.load(Ordering::SeqCst) {
            return Err(Code::Stopping);
        }
        if before >= self.settings.query_limit {
            return Err(Code::Overloaded);
        }
        Ok(active)
    }

    /// Returns the number of requests in progress.
    pub fn active(&self) -> usize {
        self.active.load(Ordering::SeqCst)
    }

    /// Tells the balancer to send no more callers here.
    pub fn start_stopping(&self) {
        self.stopping.store(true, Ordering::SeqCst);
    }

    /// Refuses requests from now on.
    pub fn refuse_requests(&self) {
        self.closed.store(true, Ordering::SeqCst);
    }

    /// Tells whether the balancer may send callers here.
    pub fn readiness(&self) -> Result<(), Code> {
        if self.stopping.load(Ordering::SeqCst) {
            return Err(Code::Stopping);
        }
        match self.catalogue() {
            Some(_) => Ok(()),
            None => Err(Code::NotReady),
        }
    }
}

fn empty_index(name: &str) -> IndexState {
    IndexState {
        index: name.into(),
        maps: Vec::new(),
        upstreams: Vec::new(),
    }
}
