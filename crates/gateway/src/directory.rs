//! The servers that are registered, and which of them may be sent to.

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

/// Unix milliseconds at which a server started; a server that starts again under its id has a later one.
pub type StartMillis = u64;

/// Time after the return of the store within which servers whose entries lapsed meanwhile register again.
const RETURN_TIME: Duration = Duration::from_millis(2_200);

/// Nodes of the fleet while their number isn't known.
pub const ASSUMED_NODES: u32 = 18;

/// Fewest connections that a node may use of a server.
const MIN_SHARE: u32 = 2;

/// Part of a server's connections, in percent, that the nodes of its own region share out.
const REGION_PERCENT: u32 = 70;

/// What a server says of itself.
#[derive(Debug, Clone, PartialEq)]
pub struct Server {
    /// Identifier, which it keeps over some restarts.
    pub id: UpstreamId,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Address for requests.
    pub addr: SocketAddr,
    /// Availability zone.
    pub zone: ZoneName,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Whether it is about to leave.
    pub draining: bool,
    /// Start of this run of the server, if it says so.
    pub start_ms: Option<StartMillis>,
    /// Number of the report, which increases within one run.
    pub sequence: u64,
}

impl Server {
    /// Tells whether a report is older than this one, from an earlier run or sent earlier in this one.
    fn outdates(&self, report: &Server) -> bool {
        (report.start_ms, report.sequence) < (self.start_ms, self.sequence)
    }

    fn is_same_run(&self, other: &Server) -> bool {
        self.start_ms == other.start_ms && self.addr == other.addr && self.service == other.service
    }
}

/// Where a gate's requests go.
#[derive(Debug, Clone, PartialEq)]
pub struct Endpoint {
    /// Server that alone may run them.
    pub id: UpstreamId,
    /// Address for requests.
    pub addr: SocketAddr,
}

/// What changed, for the caller to log and to close connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerChange {
    /// The server may be sent to from now on.
    Added(GateKey),
    /// The server gets no new requests from now on; the gate is gone.
    Dropped(GateKey),
    /// Nothing that matters for sending.
    Unchanged,
    /// The report is older than what is known.
    Stale,
}

/// The servers known to one node.
#[derive(Debug, Default)]
pub struct Directory {
    servers: HashMap<UpstreamId, (Server, Option<GateKey>)>,
    displaced: HashSet<UpstreamId>,
    replicas: HashMap<ServiceName, Vec<GateKey>>,
    endpoints: SecondaryMap<GateKey, Endpoint>,
    lapsing: HashMap<UpstreamId, Instant>,
    /// Nodes that share the servers of each zone.
    nodes: HashMap<ZoneName, u32>,
}

impl Directory {
    /// Creates a directory without servers.
    pub fn new() -> Directory {
        Directory::default()
    }

    /// Sets how many nodes share the servers of each zone; servers that are known already keep their share.
    pub fn set_nodes(&mut self, nodes: HashMap<ZoneName, u32>) {
        self.nodes = nodes;
    }

    /// Returns the servers of each service that may be sent to.
    pub fn replicas(&self) -> &HashMap<ServiceName, Vec<GateKey>> {
        &self.replicas
    }

    /// Returns where the requests of a gate go.
    pub fn endpoint(&self, key: GateKey) -> Option<&Endpoint> {
        self.endpoints.get(key)
    }

    /// Returns the number of servers that may be sent to.
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Tells whether no server may be sent to.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    /// Returns the ids of all registered servers.
    pub fn ids(&self) -> Vec<UpstreamId> {
        self.servers.keys().cloned().collect()
    }

    /// Takes in what a server says of itself.
    pub fn update(
        &mut self,
        server: Server,
        settings: &Settings,
        table: Option<&RouteTable>,
        limits: &mut Limits,
    ) -> ServerChange {
        self.lapsing.remove(&server.id);
        let known = self.servers.get(&server.id);
        if known.is_some_and(|(known, _)| known.outdates(&server)) {
            return ServerChange::Stale;
        }
        if self.displaced.contains(&server.id) {
            if known.is_some_and(|(known, _)| !server.outdates(known)) {
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

    /// Takes in that another server answers at the address of a gate, so that its own server has ended.
    ///
    /// Every further request would reach the other server and count there as one too many. The entry in the store may
    /// stand for seconds more; it is used again once the server has written a later report.
    pub fn mark_displaced(&mut self, key: GateKey, limits: &mut Limits) -> Option<UpstreamId> {
        let id = self.endpoints.get(key)?.id.clone();
        self.drop_gate(&id, key, limits);
        if let Some((_, current)) = self.servers.get_mut(&id) {
            *current = None;
        }
        self.displaced.insert(id.clone());
        Some(id)
    }

    /// Takes in that a server is no longer registered.
    pub fn remove(&mut self, id: &UpstreamId, limits: &mut Limits) -> ServerChange {
        self.lapsing.remove(id);
        self.displaced.remove(id);
        match self.servers.remove(id) {
            Some((_, Some(key))) => {
                self.drop_gate(id, key, limits);
                ServerChange::Dropped(key)
            }
            Some((_, None)) | None => ServerChange::Unchanged,
        }
    }

    /// Keeps a server whose entry lapsed while the store was away until it had the time to register again.
    pub fn defer_removal(&mut self, id: &UpstreamId, now: Instant) {
        if self.servers.contains_key(id) {
            self.lapsing.entry(id.clone()).or_insert(now + RETURN_TIME);
        }
    }

    /// Removes the servers that did not register again in time.
    pub fn remove_expired(
        &mut self,
        now: Instant,
        limits: &mut Limits,
    ) -> Vec<(UpstreamId, ServerChange)> {
        let due: Vec<UpstreamId> = self
            .lapsing
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(id, _)| id.clone())
            .collect();
        due.into_iter()
            .map(|id| {
                let change = self.remove(&id, limits);
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
        let connections = table
            .and_then(|table| table.services.get(&server.service))
            .map_or(u32::MAX, |service| service.connections);
        let region = settings.regions.get(&server.zone).cloned();
        let upstream = Upstream {
            id: server.id.clone(),
            addr: server.addr,
            zone: server.zone.clone(),
            region: region.unwrap_or_default(),
            slots: server.slots,
            connections,
        };
        let share = self.share(connections, &server.zone);
        let key = limits.set_upstream(&upstream, Some(share));
        let endpoint = Endpoint {
            id: server.id.clone(),
            addr: server.addr,
        };
        self.endpoints.insert(key, endpoint);
        self.replicas
            .entry(server.service.clone())
            .or_default()
            .push(key);
        key
    }

    /// Returns the connections that this node may use of a server: near ones are used all the time, far ones seldom.
    fn share(&self, connections: u32, zone: &ZoneName) -> u32 {
        let nodes = self.nodes.get(zone).copied().unwrap_or(ASSUMED_NODES);
        let part = u64::from(connections) * u64::from(REGION_PERCENT) / 100;
        let share = part / u64::from(nodes.max(1));
        u32::try_from(share).unwrap_or(u32::MAX).max(MIN_SHARE)
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
