//! Estimate of the memory that a view takes.

use std::mem::size_of;

use base::UpstreamId;
use compact_str::CompactString;

use crate::Node;
use crate::NodeKey;
use crate::View;
use crate::upstream::Entry;
use crate::upstream::Report;

/// Entries of ordered maps take about half as much again, because their tree nodes are two thirds full.
const TREE_NUMERATOR: usize = 3;
const TREE_DENOMINATOR: usize = 2;

impl View {
    /// Estimates the bytes on the heap from the number and size of entries; allocator overhead is not included.
    pub fn estimate_heap_bytes(&self) -> usize {
        let tree = |entries: usize, key: usize, value: usize| {
            entries * (key + value) * TREE_NUMERATOR / TREE_DENOMINATOR
        };
        let text = size_of::<CompactString>();
        let nodes = self.nodes.capacity() * (size_of::<Node>() + size_of::<u32>());
        let index = tree(self.by_id.len(), text, size_of::<NodeKey>())
            + self.by_pulse.capacity() * (size_of::<(u32, NodeKey)>() + 1);
        let upstreams = tree(self.upstreams.len(), text, size_of::<Entry>());
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
        // Group names can be longer than what `CompactString` holds inline.
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
        let pending = tree(self.spread.len(), 2 * text + 8, 16);
        let exceptions = tree(self.exceptions.len(), text, 0);
        nodes + index + upstreams + reports + groups + names + zones + pending + exceptions
    }
}
