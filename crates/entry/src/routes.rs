//! Routes from this node to each upstream, derived from the membership view and cached until the view changes.
//!
//! The cache is needed because rendezvous hashing ranks all VMs of a zone for each group, which is too expensive for
//! every sub-request.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use base::IndexState;
use base::NodeId;
use base::Upstream;
use base::UpstreamId;
use base::UpstreamState;
use member::GroupName;
use member::View;

use crate::node::Node;
use crate::node::lock;

/// An entry VM that connects to a group of upstreams on behalf of other VMs.
#[derive(Debug, Clone)]
pub struct Holder {
    /// Identifier of the VM.
    pub node: NodeId,
    /// Address of the VM for peers.
    pub addr: SocketAddr,
}

/// Route from this node to an upstream.
#[derive(Debug, Clone)]
pub enum Route {
    /// Over this node's own connections.
    Direct,
    /// Through the first reachable one of a group's holders.
    Through(GroupName, Arc<[Holder]>),
}

/// The routes to all upstreams.
#[derive(Debug, Default)]
pub struct Routes {
    by_upstream: HashMap<UpstreamId, (Upstream, Route)>,
    /// Upstreams of the groups of which this node is a holder.
    held: Vec<Upstream>,
}

impl Routes {
    /// Derives the routes of node `me` from a view; the route to an upstream without a group is direct.
    fn build<'a>(
        me: &NodeId,
        view: &View,
        indexes: impl Iterator<Item = &'a IndexState>,
    ) -> Routes {
        let mut routes = Routes::default();
        for upstream in indexes.flat_map(|index| &index.upstreams) {
            let entry = (upstream.clone(), Route::Direct);
            routes.by_upstream.insert(upstream.id.clone(), entry);
        }
        for (name, group) in view.groups() {
            let ranked = view.holders(name, &group.zone);
            let is_holder = ranked.contains(&me);
            let holders: Arc<[Holder]> = ranked
                .into_iter()
                .filter(|id| *id != me)
                .filter_map(|id| {
                    let addr = view.node(id)?.record.addr;
                    Some(Holder {
                        node: id.clone(),
                        addr,
                    })
                })
                .collect();
            for id in &group.upstreams {
                let Some((upstream, route)) = routes.by_upstream.get_mut(id) else {
                    continue;
                };
                if is_holder {
                    routes.held.push(upstream.clone());
                }
                if view.connection_share(id) == 0 {
                    *route = Route::Through(name.clone(), holders.clone());
                }
            }
        }
        routes
    }
}

impl Node {
    /// Recomputes connection shares, routes and rate limits after a change of the view or of an index.
    pub fn refresh_routes(&self) {
        let view = lock(&self.view);
        let indexes = self.indexes.read().unwrap_or_else(PoisonError::into_inner);
        let states = || indexes.values().map(|(_, index)| &**index);
        let routes = Routes::build(&self.settings.node, &view, states());
        let mut capacity = 0;
        let mut limits = lock(&self.limits);
        for upstream in states().flat_map(|index| &index.upstreams) {
            let share = view.connection_share(&upstream.id);
            limits.set_upstream(upstream, (share > 0).then_some(share));
            capacity += if share > 0 { share } else { upstream.slots };
        }
        drop(limits);
        let nodes = view.nodes().count() as u32;
        drop(indexes);
        drop(view);
        *self.routes.write().unwrap_or_else(PoisonError::into_inner) = routes;
        self.queues.set_capacity(capacity);
        self.home.limit_writes(nodes);
        self.limit_platform_calls(nodes);
    }

    /// Looks up an upstream.
    pub fn upstream(&self, id: &UpstreamId) -> Option<Upstream> {
        let routes = self.routes.read().unwrap_or_else(PoisonError::into_inner);
        routes
            .by_upstream
            .get(id)
            .map(|(upstream, _)| upstream.clone())
    }

    /// Returns the route to an upstream.
    pub fn route(&self, upstream: &UpstreamId) -> Route {
        let routes = self.routes.read().unwrap_or_else(PoisonError::into_inner);
        let entry = routes.by_upstream.get(upstream);
        entry.map_or(Route::Direct, |(_, route)| route.clone())
    }

    /// Applies the drains in the view to the limits, so that no new work goes to draining upstreams.
    pub fn apply_drains(&self) {
        let now = Instant::now();
        let view = lock(&self.view);
        let mut limits = lock(&self.limits);
        for id in view.draining_upstreams() {
            if let Some(key) = limits.key(id) {
                limits.record_state(key, UpstreamState::Draining, now, now);
            }
        }
    }

    /// Returns the upstreams to probe: this node is a holder of their group and had no reply from them within `delay`.
    pub fn silent_upstreams(&self, delay: Duration) -> Vec<Upstream> {
        let now = Instant::now();
        let last_replies = lock(&self.last_replies);
        let has_replied = |upstream: &&Upstream| {
            let at = last_replies.get(&upstream.id);
            at.is_some_and(|at| now.saturating_duration_since(*at) < delay)
        };
        let routes = self.routes.read().unwrap_or_else(PoisonError::into_inner);
        routes
            .held
            .iter()
            .filter(|upstream| !has_replied(upstream))
            .cloned()
            .collect()
    }
}
