//! Groups of upstreams; the holders of a group connect to its members on behalf of other nodes.

use std::collections::BTreeMap;

use base::IndexName;
use base::UpstreamId;
use base::ZoneName;
use base::hash_key;
use compact_str::CompactString;
use compact_str::format_compact;

/// Name of a group: index, zone, and the hash prefix that its members share, as bits.
pub type GroupName = CompactString;

/// A group of upstreams.
#[derive(Debug, Clone)]
pub struct Group {
    /// Index that its members serve.
    pub index: IndexName,
    /// Availability zone of its members.
    pub zone: ZoneName,
    /// Members, ascending by hash.
    pub upstreams: Vec<UpstreamId>,
}

/// Most upstreams in a group, unless their hashes are equal.
pub const MAX_GROUP_SIZE: usize = 32;

/// Divides the upstreams of one index in one zone into groups of at most [`MAX_GROUP_SIZE`].
///
/// A group that is too large is split by the next bit of its members' hashes. Adding or removing an upstream thus
/// changes only its own group, and the result depends only on the set of upstreams.
pub fn divide_upstreams(
    index: &str,
    zone: &str,
    upstreams: &[UpstreamId],
) -> BTreeMap<GroupName, Vec<UpstreamId>> {
    let mut hashed: Vec<(u64, &UpstreamId)> =
        upstreams.iter().map(|id| (hash_key(id), id)).collect();
    hashed.sort_unstable();
    let mut groups = BTreeMap::new();
    let prefix = format_compact!("{index}/{zone}/");
    split_group(&prefix, &hashed, 0, &mut groups);
    groups
}

fn split_group(
    name: &CompactString,
    members: &[(u64, &UpstreamId)],
    depth: u32,
    groups: &mut BTreeMap<GroupName, Vec<UpstreamId>>,
) {
    if members.is_empty() {
        return;
    }
    if members.len() <= MAX_GROUP_SIZE || depth == u64::BITS {
        let members = members.iter().map(|(_, id)| (*id).clone()).collect();
        groups.insert(name.clone(), members);
        return;
    }
    let bit = 1u64 << (u64::BITS - 1 - depth);
    let middle = members.partition_point(|(hash, _)| hash & bit == 0);
    let (low, high) = members.split_at(middle);
    split_group(&format_compact!("{name}0"), low, depth + 1, groups);
    split_group(&format_compact!("{name}1"), high, depth + 1, groups);
}
