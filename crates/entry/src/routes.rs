//! How this node reaches each upstream, derived from the view of the fleet and kept until the view changes.
//!
//! Rendezvous hashing ranks a whole zone of VMs for each group, which is too much work for every sub-request.

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

/// An entry VM that connects to a group of upstreams on behalf of others.
#[derive(Debug, Clone)]
pub struct Holder {
    /// The VM.
    pub node: NodeId,
    /// Its address for peers.
    pub addr: SocketAddr,
}

/// How this node reaches an upstream.
#[derive(Debug, Clone)]
pub enum Route {
    /// Over its own connections.
    Direct,
    /// Through one of the holders of a group, the first one that can be reached.
    Through(GroupName, Arc<[Holder]>),
}

/// The routes to all upstreams.
#[derive(Debug, Default)]
pub struct Routes {
    ways: HashMap<UpstreamId, (Upstream, Route)>,
    held: Vec<Upstream>,
}

impl Routes {
    /// Derives the routes of `me` from a view; upstreams without a group are reached directly.
    fn build<'a>(
        me: &NodeId,
        view: &View,
        indexes: impl Iterator<Item = &'a IndexState>,
    ) -> Routes {
        let mut routes = Routes::default();
        for upstream in indexes.flat_map(|index| &index.upstreams) {
            let way = (upstream.clone(), Route::Direct);
            routes.ways.insert(upstream.id.clone(), way);
        }
        for (name, group) in view.groups() {
            let ranked = view.holders(name, &group.zone);
            let holds = ranked.contains(&me);
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
                let Some((upstream, route)) = routes.ways.get_mut(id) else {
                    continue;
                };
                if holds {
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
    /// Derives shares and routes from the view, because it or an index has changed.
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
        self.homes.limit_writes(nodes);
        self.limit_platform_calls(nodes);
    }

    /// Looks up an upstream.
    pub fn upstream(&self, id: &UpstreamId) -> Option<Upstream> {
        let routes = self.routes.read().unwrap_or_else(PoisonError::into_inner);
        routes.ways.get(id).map(|(upstream, _)| upstream.clone())
    }

    /// Tells how to reach an upstream.
    pub fn route(&self, upstream: &UpstreamId) -> Route {
        let routes = self.routes.read().unwrap_or_else(PoisonError::into_inner);
        let way = routes.ways.get(upstream);
        way.map_or(Route::Direct, |(_, route)| route.clone())
    }

    /// Follows what peers say of upstreams that are leaving.
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

    /// Returns the upstreams that this node has to probe, because it holds their group and has not heard from them
    /// within `age`.
    pub fn silent_upstreams(&self, age: Duration) -> Vec<Upstream> {
        let now = Instant::now();
        let heard = lock(&self.heard);
        let recent = |upstream: &&Upstream| {
            let at = heard.get(&upstream.id);
            at.is_some_and(|at| now.saturating_duration_since(*at) < age)
        };
        let routes = self.routes.read().unwrap_or_else(PoisonError::into_inner);
        routes
            .held
            .iter()
            .filter(|upstream| !recent(upstream))
            .cloned()
            .collect()
    }
}
