//! State of one gateway process, shared by its tasks.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use base::AttemptId;
use base::NodeId;
use base::RegionName;
use limit::LatencyHistogram;
use limit::Limits;
use limit::RepeatPool;
use limit::RepeatRule;
use limit::Tuning;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::sync::Notify;

use crate::Directory;
use crate::HeaderNames;
use crate::Holders;
use crate::LogLimiter;
use crate::ObjectKind;
use crate::Peer;
use crate::Peers;
use crate::Platform;
use crate::Route;
use crate::RouteName;
use crate::RouteTable;
use crate::Settings;
use crate::ShardSenders;
use crate::StoreEra;
use crate::facts::Facts;
use crate::helpers::Helpers;
use crate::helpers::Place;
use crate::holder_client::HolderPool;
use crate::links::Links;
use crate::listeners::Listeners;
use crate::listeners::connection_limit;
use crate::memory::Memory;
use crate::metrics::Counter;
use crate::metrics::Metrics;
use crate::packed::PackedBodies;
use crate::peers::ChangeLogs;
use crate::pool::Pool;

/// Divisor of a route's latency objective that gives the typical latency while the route has too few replies.
const INITIAL_LATENCY_DIVISOR: u32 = 6;

/// Multiple of the typical latency after which a hedge is sent.
const HEDGE_FACTOR: u32 = 2;

/// Shortest delay before a hedge, so that scheduling jitter of the VM itself causes none.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(8);

/// Fraction of the limit on repeats that the holders of a shard spend; the rest is for the gateways that send in the place
/// of a lost one.
const HOLDER_REPEATS: f64 = 0.6;

/// Holders of one shard in a zone that share the limit: the first one, and the one that replaces it.
const SENDERS_PER_ZONE: u32 = 2;

/// Replies over which their mean size is taken.
const REPLY_WINDOW: u64 = 8;

/// Divisor of the mean size of replies that gives the margin for larger ones.
const REPLY_MARGIN_DIVISOR: u64 = 4;

/// Percentage of the process's memory that callers and servers may make it hold; the rest is for code, tables, what the
/// store and other gateways send, and fragmentation.
const BUDGET_PERCENT: u64 = 60;

/// State of the process that its tasks read and change; it is never borrowed across an await.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) settings: Settings,
    pub(crate) table: Option<Rc<RouteTable>>,
    pub(crate) directory: Directory,
    pub(crate) limits: Limits,
    pub(crate) pool: Pool,
    pub(crate) rng: Pcg64Mcg,
    /// Last attempt id that was assigned.
    pub(crate) next_attempt: AttemptId,
    /// Latencies of servers in the same zone on each route.
    pub(crate) latencies: HashMap<RouteName, LatencyHistogram>,
    /// Mean bytes of the replies on each route beyond the beginning that every reply may have, where there are any.
    pub(crate) large_replies: HashMap<RouteName, u64>,
    /// Longest time left that callers have given on each route.
    pub(crate) max_timeouts: HashMap<RouteName, Duration>,
    pub(crate) has_servers: bool,
    /// Time from which a service without servers is taken to have none, once any server is known.
    pub(crate) settled_at: Option<Instant>,
    pub(crate) metrics: Metrics,
    pub(crate) log_limiter: LogLimiter,
    pub(crate) peers: Peers,
    /// Holders of this gateway's zone.
    pub(crate) holders: Holders,
    pub(crate) holder_pool: HolderPool,
    /// Gateways that can't be asked for help.
    pub(crate) helpers: Helpers,
    pub(crate) change_logs: ChangeLogs,
    /// Kind and time of the latest failed call to the store, until a call succeeds.
    pub(crate) store_failure: Option<(ObjectKind, Instant)>,
    /// Latest era of the store that a reply has shown.
    pub(crate) store_era: Option<StoreEra>,
    /// Time at which this gateway noticed the latest restore of the store.
    pub(crate) restored_at: Option<Instant>,
    /// Compressed replies to the gateways that follow this one.
    pub(crate) packed_bodies: PackedBodies,
}

/// One gateway process.
pub(crate) struct Node {
    pub(crate) state: RefCell<State>,
    pub(crate) headers: HeaderNames,
    pub(crate) platform: Box<dyn Platform>,
    /// What callers and servers make this process hold.
    pub(crate) memory: Rc<Memory>,
    /// The connections that others have opened.
    pub(crate) listeners: Listeners,
    pub(crate) stopping: Cell<bool>,
    /// Whether new requests are refused, because they might not end within the grace period.
    pub(crate) refusing: Cell<bool>,
    /// Wakes requests in progress when the process is about to end.
    pub(crate) ending: Notify,
    /// Facts that the gateways tell each other.
    pub(crate) facts: Rc<Facts>,
    /// Whether this gateway reaches any server.
    pub(crate) links: Links,
    /// Wakes long polls of peers when objects change or the store is lost.
    pub(crate) store_changed: Notify,
    /// Wakes requests that wait for the first configuration and servers.
    pub(crate) loaded: Notify,
    /// Wakes tasks that wait for the first list of other gateways.
    pub(crate) peers_listed: Notify,
    /// Wakes the task that registers this gateway, after a restore of the store.
    pub(crate) store_restored: Notify,
    /// Number of requests in progress for which this gateway is a holder.
    pub(crate) delegations: Cell<usize>,
    /// Number of open connections to servers.
    pub(crate) upstream_connections: Cell<usize>,
}

impl Node {
    pub(crate) fn new(settings: Settings, platform: Box<dyn Platform>, seed: u64) -> Node {
        let mut limits = Limits::new(
            settings.zone.clone(),
            settings.region.clone(),
            // A failing server is ranked low by its estimated latency, not excluded, so that it can still be used when
            // all others are worse.
            Tuning {
                backoff: false,
                silence: false,
                ..Tuning::default()
            },
        );
        limits.set_repeat_rule(RepeatPool::Shared, settings.repeats);
        let memory = Memory::new(budget_bytes(&settings));
        let listeners = Listeners::new(&memory, &settings);
        let facts = Facts::new(settings.node.clone(), seed);
        let state = State {
            directory: Directory::new(),
            settings,
            table: None,
            limits,
            pool: Pool::default(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            next_attempt: 0,
            latencies: HashMap::new(),
            large_replies: HashMap::new(),
            max_timeouts: HashMap::new(),
            has_servers: false,
            settled_at: None,
            metrics: Metrics::default(),
            log_limiter: LogLimiter::default(),
            peers: Peers::default(),
            holders: Holders::default(),
            holder_pool: HolderPool::default(),
            helpers: Helpers::default(),
            change_logs: ChangeLogs::default(),
            store_failure: None,
            store_era: None,
            restored_at: None,
            packed_bodies: PackedBodies::default(),
        };
        Node {
            state: RefCell::new(state),
            memory,
            listeners,
            headers: platform.headers(),
            platform,
            stopping: Cell::new(false),
            refusing: Cell::new(false),
            ending: Notify::new(),
            facts: Rc::new(facts),
            links: Links::new(),
            store_changed: Notify::new(),
            loaded: Notify::new(),
            peers_listed: Notify::new(),
            store_restored: Notify::new(),
            delegations: Cell::new(0),
            upstream_connections: Cell::new(0),
        }
    }

    /// Returns how many connections to servers may be open.
    pub(crate) fn connection_limit(&self) -> usize {
        connection_limit(&self.state.borrow().settings)
    }

    /// Puts changed settings into force.
    pub(crate) fn set_settings(&self, settings: Settings) {
        self.memory.set_limit(budget_bytes(&settings));
        self.listeners.set_limits(&settings);
        self.state.borrow_mut().set_settings(settings);
    }

    /// Returns the other gateways.
    pub(crate) fn other_peers(&self) -> Vec<Peer> {
        let state = self.state.borrow();
        let is_other = |peer: &&Peer| peer.node != state.settings.node;
        let known = state.peers.known().iter();
        known.filter(is_other).cloned().collect()
    }

    /// Chooses a gateway that reaches servers as far as is known, other than those in `asked`.
    pub(crate) fn choose_helper(&self, asked: &[NodeId]) -> Option<Peer> {
        let others = self.other_peers();
        let is_linked = |peer: &Peer| !self.facts.is_cut(&peer.node);
        let mut guard = self.state.borrow_mut();
        let State {
            settings,
            helpers,
            rng,
            ..
        } = &mut *guard;
        let place = Place {
            zone: &settings.zone,
            region: &settings.region,
            regions: &settings.regions,
        };
        let helper = helpers.choose(&others, place, is_linked, asked, Instant::now(), rng);
        helper.cloned()
    }

    /// Returns whether the load balancer should send new connections here.
    pub(crate) fn is_ready(&self) -> bool {
        !self.stopping.get() && self.state.borrow().is_loaded()
    }
}

/// Returns the bytes that callers and servers may make a process hold.
fn budget_bytes(settings: &Settings) -> u64 {
    settings.memory_bytes / 100 * BUDGET_PERCENT
}

/// Counts something for as long as it lasts, in one of the counters of a [`Node`].
pub(crate) struct CountGuard {
    node: Rc<Node>,
    counter: fn(&Node) -> &Cell<usize>,
}

impl CountGuard {
    pub(crate) fn new(node: &Rc<Node>, counter: fn(&Node) -> &Cell<usize>) -> CountGuard {
        let count = counter(node);
        count.set(count.get() + 1);
        CountGuard {
            node: Rc::clone(node),
            counter,
        }
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        let count = (self.counter)(&self.node);
        count.set(count.get() - 1);
    }
}

impl State {
    /// Returns whether both the configuration and servers are loaded.
    pub(crate) fn is_loaded(&self) -> bool {
        self.table.is_some() && self.has_servers
    }

    /// Returns the median latency of servers in the same zone on a route.
    pub(crate) fn typical_latency(&self, route: &Route) -> Duration {
        self.latencies
            .get(&route.name)
            .and_then(|latencies| latencies.quantile(0.5))
            .unwrap_or(route.objective / INITIAL_LATENCY_DIVISOR)
    }

    /// Returns the time without a reply after which a hedge is sent.
    pub(crate) fn hedge_delay(&self, route: &Route) -> Duration {
        let delay = self.typical_latency(route) * HEDGE_FACTOR;
        delay
            .max(MIN_HEDGE_DELAY)
            .min((route.objective / 2).max(MIN_HEDGE_DELAY))
    }

    /// Estimates the time that a caller spent before it sent this request, when the request is a retry of the caller.
    ///
    /// Callers give the time that they have left, so the longest one on a route is that of a request that is no retry.
    pub(crate) fn estimate_time_spent(&mut self, route: &Route, left: Duration) -> Duration {
        let longest = self.max_timeouts.entry(route.name.clone()).or_insert(left);
        *longest = (*longest).max(left);
        *longest - left
    }

    /// Puts a route table into force, and drops the statistics of routes and services that it no longer has.
    pub(crate) fn set_table(&mut self, table: RouteTable) {
        let names: Vec<RouteName> = table.route_names().cloned().collect();
        self.latencies.retain(|name, _| names.contains(name));
        self.max_timeouts.retain(|name, _| names.contains(name));
        self.large_replies.retain(|name, _| names.contains(name));
        self.metrics.retain_routes(|name| names.contains(name));
        self.limits
            .retain_services(|service| table.services.contains_key(service));
        self.table = Some(Rc::new(table));
        self.update_connection_shares();
        self.update_quota_shares();
    }

    /// Records how much of a reply is beyond the beginning that every reply may have.
    pub(crate) fn record_reply_size(&mut self, route: &Route, large_bytes: u64) {
        if large_bytes == 0 && !self.large_replies.contains_key(&route.name) {
            return;
        }
        let mean = self.large_replies.entry(route.name.clone()).or_default();
        *mean = (*mean * (REPLY_WINDOW - 1) + large_bytes) / REPLY_WINDOW;
        if *mean == 0 {
            self.large_replies.remove(&route.name);
        }
    }

    /// Returns the memory for large replies that a request is expected to need.
    pub(crate) fn expect_replies(&self, route: &Route) -> u64 {
        let mean = self.large_replies.get(&route.name).copied();
        mean.map_or(0, |mean| {
            (mean + mean / REPLY_MARGIN_DIVISOR) * route.target.fan_out()
        })
    }

    pub(crate) fn record_latency(&mut self, route: &Route, latency: Duration) {
        self.latencies
            .entry(route.name.clone())
            .or_default()
            .record(latency);
    }

    /// Returns how many lines of a kind were skipped since the last one, or `None` if this one is to be skipped too.
    pub(crate) fn allow_log_line(&mut self, kind: &'static str) -> Option<u64> {
        let allowed = self.log_limiter.allow(kind, Instant::now());
        if allowed.is_none() {
            self.metrics.count(Counter::LogSkipped);
        }
        allowed
    }

    /// Applies settings that changed while the process runs, except for addresses, which need a restart.
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
            log::warn!("settings: an address changed; it takes effect after a restart");
        }
        log::info!(grace:? = settings.grace, repeats:? = settings.repeats; "settings: in force");
        self.settings = settings;
        self.update_repeat_share();
    }

    /// Sets the gateways that share the servers and the limit on repeats with this one.
    pub(crate) fn set_peers(&mut self, peers: Vec<Peer>) {
        self.helpers.retain_listed(&peers);
        self.peers.set(peers);
        self.holders.set(self.peers.in_zone(&self.settings.zone));
        self.update_repeat_share();
        let regions = &self.settings.regions;
        let nodes = regions
            .iter()
            .map(|(zone, region)| {
                let sharing = self.peers.count(|other| regions.get(other) == Some(region));
                (zone.clone(), u32::try_from(sharing).unwrap_or(u32::MAX))
            })
            .collect();
        let senders = self.find_shard_senders();
        self.directory.set_nodes(nodes, senders);
        self.update_connection_shares();
        self.update_quota_shares();
    }

    /// Returns which gateways send to the servers of shards.
    fn find_shard_senders(&self) -> ShardSenders {
        let settings = &self.settings;
        if self.holders.is_empty() {
            return ShardSenders::All;
        }
        if !self.holders.contains(&settings.node) {
            return ShardSenders::Others;
        }
        let is_near = |region: &&RegionName| **region == settings.region;
        let near = settings.regions.values().filter(is_near).count();
        let far = settings.regions.len() - near;
        let count = |zones: usize| u32::try_from(zones).unwrap_or(u32::MAX);
        ShardSenders::Holders {
            region: count(near).saturating_mul(SENDERS_PER_ZONE),
            elsewhere: count(far).saturating_mul(SENDERS_PER_ZONE),
        }
    }

    fn update_connection_shares(&mut self) {
        let table = self.table.as_deref();
        self.directory
            .update_shares(&self.settings, table, &mut self.limits);
    }

    /// Divides the limit on repeats by the number of known gateways, or by the number in the settings if none is known.
    fn update_repeat_share(&mut self) {
        let mut rule = self.settings.repeats;
        if !self.peers.is_empty() {
            rule.nodes = u32::try_from(self.peers.count(|_| true)).unwrap_or(u32::MAX);
        }
        self.limits.set_repeat_rule(RepeatPool::Shared, rule);
        let zones = u32::try_from(self.settings.regions.len()).unwrap_or(u32::MAX);
        let senders = zones.saturating_mul(SENDERS_PER_ZONE);
        self.limits
            .set_repeat_rule(RepeatPool::Holder, rule.split(HOLDER_REPEATS, senders));
        let fallback: RepeatRule = rule.split(1.0 - HOLDER_REPEATS, rule.nodes);
        self.limits.set_repeat_rule(RepeatPool::Fallback, fallback);
    }

    /// Returns the budget for the repeats of shards to which this gateway sends itself.
    pub(crate) fn repeat_pool(&self) -> RepeatPool {
        if !self.peers.has_large_zone() {
            RepeatPool::Shared
        } else if self.holders.contains(&self.settings.node) {
            RepeatPool::Holder
        } else {
            RepeatPool::Fallback
        }
    }
}
