//! Type aliases that show in signatures which identifier is expected.

use compact_str::CompactString;

/// Identifies an entry VM; unique in the platform's list of VMs.
pub type NodeId = CompactString;

/// Identifies an upstream server; unique in the platform's list of VMs.
pub type UpstreamId = CompactString;

/// Names a service, whose requests the query tier serves.
pub type ServiceName = CompactString;

/// Names a kind of request that a service declares.
pub type RequestName = CompactString;

/// Names an index, the unit that is partitioned into shards.
pub type IndexName = CompactString;

/// Names an availability zone.
pub type ZoneName = CompactString;

/// Names a region, which contains availability zones.
pub type RegionName = CompactString;

/// Numbers a shard within one shard map.
pub type ShardId = u32;

/// Numbers a version of an index; versions of one index only increase.
pub type IndexVersion = u64;

/// Numbers a shard map of an index; a repartition creates a new one.
pub type MapId = u64;

/// Numbers a configuration; each accepted publish increments it.
pub type Revision = u64;

/// Identifies one request that was sent to one upstream; never reused by a node.
pub type AttemptId = u64;

/// Identifies one query of one caller across all VMs; printed as hexadecimal.
pub type QueryId = u128;
