//! What the tasks of one process share.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use base::AttemptId;
use limit::LatencyHistogram;
use limit::Limits;
use limit::MemoryBudget;
use limit::Tuning;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::sync::Notify;

use crate::Directory;
use crate::HeaderNames;
use crate::LogLimiter;
use crate::Peer;
use crate::Peers;
use crate::Platform;
use crate::Route;
use crate::RouteName;
use crate::RouteTable;
use crate::Settings;
use crate::metrics::Counter;
use crate::metrics::Metrics;
use crate::peers::ChangeLogs;
use crate::pool::Pool;

/// Part of the objective that the usual reply time is taken for while few replies were seen.
const FIRST_USUAL: u32 = 6;

/// Multiple of the usual reply time after which a second server is asked.
const HEDGE_FACTOR: u32 = 2;

/// Shortest time after which a second server is asked, so that the jitter of the VM itself causes no hedge.
const MIN_HEDGE: Duration = Duration::from_millis(8);

/// Descriptors for the store, other gateways and the addresses listened on.
const OWN_FILES: u32 = 200;

/// Part of the process's memory for the requests in progress, as a divisor; the rest is for code, tables, connections and
/// answers that callers are slow to read.
const ROOM_PART: u64 = 2;

/// State of the process that its tasks read and change; it is never borrowed across an await.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) settings: Settings,
    pub(crate) table: Option<Rc<RouteTable>>,
    pub(crate) directory: Directory,
    pub(crate) limits: Limits,
    pub(crate) pool: Pool,
    /// Memory for the requests in progress.
    pub(crate) memory: MemoryBudget,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) next_attempt: AttemptId,
    pub(crate) reply_times: HashMap<RouteName, LatencyHistogram>,
    /// Longest deadline that callers gave on each route.
    pub(crate) deadlines: HashMap<RouteName, Duration>,
    pub(crate) has_servers: bool,
    pub(crate) metrics: Metrics,
    pub(crate) log_limiter: LogLimiter,
    pub(crate) peers: Peers,
    pub(crate) change_logs: ChangeLogs,
}

/// One gateway process.
pub(crate) struct Node {
    pub(crate) state: RefCell<State>,
    pub(crate) headers: HeaderNames,
    pub(crate) platform: Box<dyn Platform>,
    pub(crate) stopping: Cell<bool>,
    /// Wakes peers that wait for a change.
    pub(crate) store_changed: Notify,
    /// Wakes requests that wait for the first configuration and servers.
    pub(crate) loaded: Notify,
    /// Wakes those that wait for the first list of other gateways.
    pub(crate) peers_listed: Notify,
    /// Connections of callers that are open.
    pub(crate) caller_connections: Cell<usize>,
    /// Connections to servers that are open.
    pub(crate) upstream_connections: Cell<usize>,
}

impl Node {
    pub(crate) fn new(settings: Settings, platform: Box<dyn Platform>, seed: u64) -> Node {
        let mut limits = Limits::new(
            settings.zone.clone(),
            settings.region.clone(),
            // A server in trouble is avoided by its estimate, so that it is still there when all others are worse.
            Tuning {
                backoff: false,
                silence: false,
                ..Tuning::default()
            },
        );
        limits.set_repeat_rule(settings.repeats);
        let state = State {
            directory: Directory::new(),
            memory: MemoryBudget::new(settings.memory_bytes / ROOM_PART),
            settings,
            table: None,
            limits,
            pool: Pool::default(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            next_attempt: 0,
            reply_times: HashMap::new(),
            deadlines: HashMap::new(),
            has_servers: false,
            metrics: Metrics::default(),
            log_limiter: LogLimiter::default(),
            peers: Peers::default(),
            change_logs: ChangeLogs::default(),
        };
        Node {
            state: RefCell::new(state),
            headers: platform.headers(),
            platform,
            stopping: Cell::new(false),
            store_changed: Notify::new(),
            loaded: Notify::new(),
            peers_listed: Notify::new(),
            caller_connections: Cell::new(0),
            upstream_connections: Cell::new(0),
        }
    }

    /// Returns the connections of callers that may be open, and those to servers, each half of what sockets may use.
    pub(crate) fn connection_limit(&self) -> usize {
        let files = self.state.borrow().settings.max_fds;
        (files.saturating_sub(OWN_FILES) / 2) as usize
    }

    /// Tells whether the balancer should send new connections here.
    pub(crate) fn is_ready(&self) -> bool {
        !self.stopping.get() && self.state.borrow().is_loaded()
    }
}

impl State {
    /// Tells whether both the configuration and servers are known.
    pub(crate) fn is_loaded(&self) -> bool {
        self.table.is_some() && self.has_servers
    }

    /// Returns the usual reply time of a near server on a route.
    pub(crate) fn typical_latency(&self, route: &Route) -> Duration {
        self.reply_times
            .get(&route.name)
            .and_then(|times| times.quantile(0.5))
            .unwrap_or(route.objective / FIRST_USUAL)
    }

    /// Returns the time without a reply after which a second server is asked.
    pub(crate) fn hedge_delay(&self, route: &Route) -> Duration {
        let late = self.typical_latency(route) * HEDGE_FACTOR;
        late.max(MIN_HEDGE)
            .min((route.objective / 2).max(MIN_HEDGE))
    }

    /// Returns the time that a caller spent on earlier attempts of its request.
    ///
    /// Callers give the time that they have left; the longest that was seen on a route is that of a first attempt.
    pub(crate) fn time_spent(&mut self, route: &Route, left: Duration) -> Duration {
        let longest = self.deadlines.entry(route.name.clone()).or_insert(left);
        *longest = (*longest).max(left);
        *longest - left
    }

    /// Forgets what was learned of routes that no longer exist.
    pub(crate) fn set_table(&mut self, table: RouteTable) {
        let names: Vec<RouteName> = table.route_names().cloned().collect();
        self.reply_times.retain(|name, _| names.contains(name));
        self.deadlines.retain(|name, _| names.contains(name));
        self.metrics.retain_routes(|name| names.contains(name));
        self.limits
            .retain_services(|service| table.services.contains_key(service));
        self.table = Some(Rc::new(table));
    }

    pub(crate) fn record_reply_time(&mut self, route: &Route, time: Duration) {
        self.reply_times
            .entry(route.name.clone())
            .or_default()
            .record(time);
    }

    /// Tells whether a log line of a kind may be written now, and how many were skipped before it.
    pub(crate) fn allow_log_line(&mut self, kind: &'static str) -> Option<u64> {
        let allowed = self.log_limiter.allow(kind, Instant::now());
        if allowed.is_none() {
            self.metrics.count(Counter::LogSkipped);
        }
        allowed
    }

    /// Takes in settings that changed while the process runs; addresses need a new start.
    pub(crate) fn set_settings(&mut self, settings: Settings) {
        let old = &self.settings;
        let addresses = |settings: &Settings| {
            (
                settings.front,
                settings.ready,
                settings.peer,
                settings.store,
            )
        };
        if addresses(old) != addresses(&settings) {
            log::warn!("settings: an address changed, which takes effect at the next start");
        }
        log::info!(grace:? = settings.grace, repeats:? = settings.repeats; "settings: in force");
        self.memory.set_limit(settings.memory_bytes / ROOM_PART);
        self.settings = settings;
        self.update_repeat_share();
    }

    /// Takes in the gateways that share servers and the bound of repeats with this one.
    pub(crate) fn set_peers(&mut self, known: Vec<Peer>) {
        self.peers.set(known);
        self.update_repeat_share();
        let regions = &self.settings.regions;
        let nodes = regions
            .iter()
            .map(|(zone, region)| {
                let sharing = self.peers.count(|other| regions.get(other) == Some(region));
                (zone.clone(), u32::try_from(sharing).unwrap_or(u32::MAX))
            })
            .collect();
        self.directory.set_nodes(nodes);
    }

    /// Sets this gateway's part of the repeats by the number of known gateways, or as the settings assume.
    fn update_repeat_share(&mut self) {
        let mut rule = self.settings.repeats;
        if !self.peers.is_empty() {
            rule.nodes = u32::try_from(self.peers.count(|_| true)).unwrap_or(u32::MAX);
        }
        self.limits.set_repeat_rule(rule);
    }
}
