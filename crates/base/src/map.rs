//! Shard maps, snapshots, and the platform's records of VMs and upstreams.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::IndexName;
use crate::IndexVersion;
use crate::MapId;
use crate::RegionName;
use crate::ShardId;
use crate::UpstreamId;
use crate::ZoneName;

/// One shard of a shard map.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Shard {
    /// Number of the shard, unique in its map.
    pub id: ShardId,
    /// Number of members (documents, plans, workshops) that the shard holds; also the unit of coverage.
    pub members: u64,
    /// Tags by which declarations may select shards.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub tags: Vec<compact_str::CompactString>,
    /// Upstreams that hold a replica.
    pub replicas: Vec<UpstreamId>,
}

/// A partition of an index into shards, with the index versions that were built on it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ShardMap {
    /// Number of the map; a repartition creates a higher one.
    pub map: MapId,
    /// Index versions built on this map, ascending.
    pub versions: Vec<IndexVersion>,
    /// The shards, ascending by id.
    pub shards: Vec<Shard>,
}

impl ShardMap {
    /// Looks up a shard by its id.
    pub fn shard(&self, id: ShardId) -> Option<&Shard> {
        let position = self
            .shards
            .binary_search_by_key(&id, |shard| shard.id)
            .ok()?;
        self.shards.get(position)
    }
}

/// The platform's record of one index, which the data owners write and limpetwick only reads.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct IndexState {
    /// Name of the index.
    pub index: IndexName,
    /// The maps in use, ascending by id; two during a repartition.
    pub maps: Vec<ShardMap>,
    /// The servers that hold replicas of the shards.
    pub upstreams: Vec<Upstream>,
}

impl IndexState {
    /// Looks up a shard map by its id.
    pub fn map(&self, id: MapId) -> Option<&ShardMap> {
        self.maps.iter().find(|map| map.map == id)
    }
}

/// The index version and shard map that all parts of one answer are read from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Snapshot {
    /// Index version.
    pub version: IndexVersion,
    /// Shard map that the version was built on.
    pub map: MapId,
}

/// A server that holds replicas of shards.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Upstream {
    /// Identifier of the server.
    pub id: UpstreamId,
    /// Address of its HTTP port.
    pub addr: SocketAddr,
    /// Availability zone.
    pub zone: ZoneName,
    /// Region.
    pub region: RegionName,
    /// Requests that the server runs at the same time.
    pub slots: u32,
    /// Connections that the server accepts from all VMs together.
    pub connections: u32,
}

/// Role of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmRole {
    /// Runs limpetwick.
    Entry,
    /// Runs an upstream server.
    Upstream,
}

/// State of a VM in the platform's list, which may be out of date.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM is in service.
    Live,
    /// The VM will be stopped soon.
    Leaving,
}

/// An entry of the platform's list of VMs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Vm {
    /// Identifier of the VM; a `NodeId` or an `UpstreamId` according to the role.
    pub id: compact_str::CompactString,
    /// Whether the VM runs limpetwick or an upstream server.
    pub role: VmRole,
    /// Address that peers connect to.
    pub addr: SocketAddr,
    /// Availability zone.
    pub zone: ZoneName,
    /// Region.
    pub region: RegionName,
    /// State at the time when the platform produced the list.
    pub state: VmState,
}
