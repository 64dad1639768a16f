//! Directory of the registered servers, and of the gates of those that may receive requests.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use base::ServiceName;
use base::Upstream;
use base::UpstreamId;
use base::ZoneName;
use limit::GateKey;
use limit::Limits;
use slotmap::SecondaryMap;

use crate::RouteTable;
use crate::Settings;
use crate::StoreRevision;

/// Start time of a server in Unix milliseconds; a server that restarts under the same id has a later one.
pub type StartMillis = u64;

/// Time that a server whose entry expired during an outage of the store has to register again.
const REMOVAL_DELAY: Duration = Duration::from_millis(2_200);

/// Time for which the last report of a removed server is remembered; longer than a copy is old to which the store is
/// restored.
const REMOVED_TIME: Duration = Duration::from_secs(300);

/// Number of gateways that is assumed until the real number is known.
pub const ASSUMED_NODES: u32 = 18;

/// Fewest connections to a server that each gateway may use.
const MIN_CONNECTIONS: u32 = 2;

/// Percentage of a server's connections that is divided among the gateways of its own region.
const REGION_PERCENT: u32 = 70;

/// Which gateways send to the servers of shards.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ShardSenders {
    /// All gateways, this one included.
    #[default]
    All,
    /// Holders; this gateway is one of them.
    Holders {
        /// Holders of a shard in the region of this gateway.
        region: u32,
        /// Holders of a shard in all other regions together.
        elsewhere: u32,
    },
    /// Holders; this gateway only replaces a lost one.
    Others,
}

/// A server, as described by a report that it wrote to the store.
#[derive(Debug, Clone, PartialEq)]
pub struct Server {
    /// Identifier, which may stay the same after a restart.
    pub id: UpstreamId,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Address for requests.
    pub addr: SocketAddr,
    /// Availability zone.
    pub zone: ZoneName,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is shutting down and takes no new requests.
    pub draining: bool,
    /// Start time of this run of the server, if it gives one.
    pub start_ms: Option<StartMillis>,
    /// Sequence number of this report, which increases within one run.
    pub sequence: u64,
    /// Revision of the store at which this report was written.
    pub revision: StoreRevision,
}

impl Server {
    /// Returns whether this report is newer than another one, from a later run or later in the same run.
    fn is_newer(&self, other: &Server) -> bool {
        (other.start_ms, other.sequence) < (self.start_ms, self.sequence)
    }

    /// Returns whether this report is one that was written before `last`, the last one before the server's entry was
    /// removed, or `last` itself: after a restore, the store shows it again.
    ///
    /// A server that registers again may repeat what it reported, but at another revision.
    fn is_copy_of(&self, last: &Server) -> bool {
        let (own, known) = (
            (self.start_ms, self.sequence),
            (last.start_ms, last.sequence),
        );
        own < known || (own == known && self.revision == last.revision)
    }

    fn is_same_run(&self, other: &Server) -> bool {
        self.start_ms == other.start_ms && self.addr == other.addr && self.service == other.service
    }
}

/// Server to which the requests of a gate are sent.
#[derive(Debug, Clone, PartialEq)]
pub struct Endpoint {
    /// Id of the only server that may run them.
    pub id: UpstreamId,
    /// Address for requests.
    pub addr: SocketAddr,
    /// Whether idle connections to it are kept. It has too few of them for gateways that seldom send to it.
    pub keeps_idle: bool,
}

/// Effect of an update on the servers that may receive requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerChange {
    /// The server may receive requests from now on.
    Added(GateKey),
    /// The server receives no new requests from now on, and its gate is removed.
    Dropped(GateKey),
    /// The update has no effect on whether the server may receive requests.
    Unchanged,
    /// The report is older than the latest one.
    Stale,
}

/// The servers known to one gateway.
#[derive(Debug, Default)]
pub struct Directory {
    /// Latest report of each server, with its gate if it may receive requests.
    servers: HashMap<UpstreamId, (Server, Option<GateKey>)>,
    /// Servers whose address another server has taken over.
    displaced: HashSet<UpstreamId>,
    /// Gates of each service's servers that may receive requests.
    replicas: HashMap<ServiceName, Vec<GateKey>>,
    endpoints: SecondaryMap<GateKey, Endpoint>,
    /// Last reports of the servers that were removed, with the time of the removal.
    removed: HashMap<UpstreamId, (Server, Instant)>,
    /// Servers whose removal is deferred, with the time at which they are removed.
    expiring: HashMap<UpstreamId, Instant>,
    /// Number of gateways that share the servers of each zone.
    nodes: HashMap<ZoneName, u32>,
    shard_senders: ShardSenders,
}

impl Directory {
    /// Creates a directory without servers.
    pub fn new() -> Directory {
        Directory::default()
    }

    /// Sets how many gateways share the servers of each zone, and which gateways send to those of shards.
    ///
    /// [`Directory::update_shares`] applies the numbers to the servers that are known already.
    pub fn set_nodes(&mut self, nodes: HashMap<ZoneName, u32>, shard_senders: ShardSenders) {
        self.nodes = nodes;
        self.shard_senders = shard_senders;
    }

    /// Divides the connections of all servers anew, after the gateways or the configuration changed.
    pub fn update_shares(
        &mut self,
        settings: &Settings,
        table: Option<&RouteTable>,
        limits: &mut Limits,
    ) {
        for (server, key) in self.servers.values() {
            if let Some(key) = key {
                let share = self.connection_share(server, settings, table);
                limits.set_share(*key, share);
                if let Some(endpoint) = self.endpoints.get_mut(*key) {
                    endpoint.keeps_idle = keeps_idle(self.shard_senders, server, table);
                }
            }
        }
    }

    /// Returns the gates of each service's servers that may receive requests.
    pub fn replicas(&self) -> &HashMap<ServiceName, Vec<GateKey>> {
        &self.replicas
    }

    /// Returns the server to which the requests of a gate are sent.
    pub fn endpoint(&self, key: GateKey) -> Option<&Endpoint> {
        self.endpoints.get(key)
    }

    /// Returns the latest report of a server.
    pub fn server(&self, id: &UpstreamId) -> Option<&Server> {
        self.servers.get(id).map(|(server, _)| server)
    }

    /// Returns the availability zones of a service's servers that may receive requests.
    pub fn zones(&self, service: &ServiceName) -> Vec<ZoneName> {
        let is_usable = |(server, key): &&(Server, Option<GateKey>)| {
            key.is_some() && server.service == *service
        };
        let usable = self.servers.values().filter(is_usable);
        usable.map(|(server, _)| server.zone.clone()).collect()
    }

    /// Returns the addresses of all servers.
    pub(crate) fn addrs(&self) -> Vec<SocketAddr> {
        let endpoints = self.endpoints.values();
        endpoints.map(|endpoint| endpoint.addr).collect()
    }

    /// Returns the number of servers that may receive requests.
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Returns whether no server may receive requests.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    /// Returns the ids of all registered servers.
    pub fn ids(&self) -> Vec<UpstreamId> {
        self.servers.keys().cloned().collect()
    }

    /// Applies a server's report.
    pub fn update(
        &mut self,
        server: Server,
        settings: &Settings,
        table: Option<&RouteTable>,
        limits: &mut Limits,
    ) -> ServerChange {
        if let Some((last, _)) = self.removed.get(&server.id) {
            if server.is_copy_of(last) {
                return ServerChange::Stale;
            }
            self.removed.remove(&server.id);
        }
        self.expiring.remove(&server.id);
        let known = self.servers.get(&server.id);
        if known.is_some_and(|(known, _)| known.is_newer(&server)) {
            return ServerChange::Stale;
        }
        if self.displaced.contains(&server.id) {
            if known.is_some_and(|(known, _)| !server.is_newer(known)) {
                return ServerChange::Stale;
            }
            self.displaced.remove(&server.id);
        }
        let current =
            known.and_then(|(known, key)| key.map(|key| (known.is_same_run(&server), key)));
        match current {
            Some((true, _)) if !server.draining => {
                let key = current.map(|(_, key)| key);
                self.servers.insert(server.id.clone(), (server, key));
                return ServerChange::Unchanged;
            }
            Some((_, key)) => self.drop_gate(&server.id, key, limits),
            None if server.draining => {
                self.servers.insert(server.id.clone(), (server, None));
                return ServerChange::Unchanged;
            }
            None => {}
        }
        if server.draining {
            let key = current.map(|(_, key)| key);
            self.servers.insert(server.id.clone(), (server, None));
            return key.map_or(ServerChange::Unchanged, ServerChange::Dropped);
        }
        let key = self.add_gate(&server, settings, table, limits);
        self.servers.insert(server.id.clone(), (server, Some(key)));
        ServerChange::Added(key)
    }

    /// Removes the gate of a server whose address another server has taken over, which means that it has stopped, and
    /// returns the server's id.
    ///
    /// Every further request would reach the other server and count there as a repeat. The server's entry may stay in
    /// the store for some seconds, so the server is used again only after a newer report.
    pub fn mark_displaced(&mut self, key: GateKey, limits: &mut Limits) -> Option<UpstreamId> {
        let id = self.endpoints.get(key)?.id.clone();
        self.drop_gate(&id, key, limits);
        if let Some((_, current)) = self.servers.get_mut(&id) {
            *current = None;
        }
        self.displaced.insert(id.clone());
        Some(id)
    }

    /// Removes a server that is no longer registered.
    pub fn remove(&mut self, id: &UpstreamId, now: Instant, limits: &mut Limits) -> ServerChange {
        self.expiring.remove(id);
        self.displaced.remove(id);
        let Some((last, key)) = self.servers.remove(id) else {
            return ServerChange::Unchanged;
        };
        self.removed.insert(id.clone(), (last, now));
        match key {
            Some(key) => {
                self.drop_gate(id, key, limits);
                ServerChange::Dropped(key)
            }
            None => ServerChange::Unchanged,
        }
    }

    /// Defers the removal of a server whose entry expired during an outage of the store, so that it can register again.
    pub fn defer_removal(&mut self, id: &UpstreamId, now: Instant) {
        if self.servers.contains_key(id) {
            self.expiring
                .entry(id.clone())
                .or_insert(now + REMOVAL_DELAY);
        }
    }

    /// Removes the servers with a deferred removal that did not register again in time.
    pub fn remove_expired(
        &mut self,
        now: Instant,
        limits: &mut Limits,
    ) -> Vec<(UpstreamId, ServerChange)> {
        self.removed
            .retain(|_, (_, removed)| now.saturating_duration_since(*removed) < REMOVED_TIME);
        let due: Vec<UpstreamId> = self
            .expiring
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(id, _)| id.clone())
            .collect();
        due.into_iter()
            .map(|id| {
                let change = self.remove(&id, now, limits);
                (id, change)
            })
            .collect()
    }

    fn add_gate(
        &mut self,
        server: &Server,
        settings: &Settings,
        table: Option<&RouteTable>,
        limits: &mut Limits,
    ) -> GateKey {
        let connections = find_connections(server, table);
        let region = settings.regions.get(&server.zone).cloned();
        let upstream = Upstream {
            id: server.id.clone(),
            addr: server.addr,
            zone: server.zone.clone(),
            region: region.unwrap_or_default(),
            slots: server.slots,
            connections,
        };
        let share = self.connection_share(server, settings, table);
        let key = limits.set_upstream(&upstream, Some(share));
        let endpoint = Endpoint {
            id: server.id.clone(),
            addr: server.addr,
            keeps_idle: keeps_idle(self.shard_senders, server, table),
        };
        self.endpoints.insert(key, endpoint);
        self.replicas
            .entry(server.service.clone())
            .or_default()
            .push(key);
        key
    }

    /// Returns how many connections to a server this gateway may use.
    ///
    /// The gateways of the server's region divide most of its connections, since they use it all the time; gateways of
    /// other regions use it rarely. Of a shard's servers, holders get the parts of the gateways that they send for.
    fn connection_share(
        &self,
        server: &Server,
        settings: &Settings,
        table: Option<&RouteTable>,
    ) -> u32 {
        let connections = find_connections(server, table);
        let senders = match is_shard(server, table) {
            true => self.shard_senders,
            false => ShardSenders::All,
        };
        let is_near = settings.regions.get(&server.zone) == Some(&settings.region);
        let (percent, nodes) = match senders {
            ShardSenders::Holders { region, .. } if is_near => (REGION_PERCENT, region),
            ShardSenders::Holders { elsewhere, .. } => (100 - REGION_PERCENT, elsewhere),
            ShardSenders::All | ShardSenders::Others => {
                let nodes = self.nodes.get(&server.zone).copied();
                (REGION_PERCENT, nodes.unwrap_or(ASSUMED_NODES))
            }
        };
        let divided = u64::from(connections) * u64::from(percent) / 100;
        let share = divided / u64::from(nodes.max(1));
        u32::try_from(share)
            .unwrap_or(u32::MAX)
            .max(MIN_CONNECTIONS)
    }

    fn drop_gate(&mut self, id: &UpstreamId, key: GateKey, limits: &mut Limits) {
        limits.remove_upstream(id);
        self.endpoints.remove(key);
        for keys in self.replicas.values_mut() {
            keys.retain(|other| *other != key);
        }
        self.replicas.retain(|_, keys| !keys.is_empty());
    }
}

pub(crate) fn is_shard(server: &Server, table: Option<&RouteTable>) -> bool {
    table.is_some_and(|table| table.is_shard(&server.service))
}

/// Returns whether idle connections to a server are kept.
fn keeps_idle(senders: ShardSenders, server: &Server, table: Option<&RouteTable>) -> bool {
    senders != ShardSenders::Others || !is_shard(server, table)
}

/// Returns how many connections a server accepts from all gateways together.
fn find_connections(server: &Server, table: Option<&RouteTable>) -> u32 {
    table
        .and_then(|table| table.services.get(&server.service))
        .map_or(u32::MAX, |service| service.connections)
}
