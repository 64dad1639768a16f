//! Estimate of the heap memory of a view.

use std::mem::size_of;

use base::UpstreamId;
use compact_str::CompactString;

use crate::Node;
use crate::NodeKey;
use crate::View;
use crate::upstream::Report;
use crate::upstream::UpstreamEntry;

/// Factor for the entries of ordered maps, whose tree nodes are two thirds full on average.
const TREE_NUMERATOR: usize = 3;
const TREE_DENOMINATOR: usize = 2;

impl View {
    /// Estimates the heap memory in bytes from the number and size of entries; allocator overhead is not included.
    pub fn estimate_heap_bytes(&self) -> usize {
        let tree = |entries: usize, key: usize, value: usize| {
            entries * (key + value) * TREE_NUMERATOR / TREE_DENOMINATOR
        };
        let text = size_of::<CompactString>();
        let nodes = self.nodes.capacity() * (size_of::<Node>() + size_of::<u32>());
        let index = tree(self.by_id.len(), text, size_of::<NodeKey>())
            + self.by_pulse.capacity() * (size_of::<(u32, NodeKey)>() + 1);
        let upstreams = tree(self.upstreams.len(), text, size_of::<UpstreamEntry>());
        let reports: usize = self
            .upstreams
            .values()
            .map(|entry| entry.reports.capacity() * size_of::<Report>())
            .sum();
        let groups: usize = self
            .groups
            .values()
            .map(|group| group.upstreams.capacity() * size_of::<UpstreamId>())
            .sum();
        // `CompactString` stores short names inline; only longer group names are on the heap.
        let names: usize = self
            .upstreams
            .values()
            .filter_map(|entry| entry.placement.as_ref())
            .filter(|place| place.group.is_heap_allocated())
            .map(|place| place.group.capacity())
            .sum();
        let zones: usize = self
            .zones
            .values()
            .map(|zone| zone.members.capacity() * size_of::<NodeKey>())
            .sum();
        let pending = tree(self.gossip.len(), 2 * text + 8, 16);
        let drain_records = tree(self.drain_records.len(), text, 0);
        nodes + index + upstreams + reports + groups + names + zones + pending + drain_records
    }
}
