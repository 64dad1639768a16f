//! Plans a request: which services it is sent to, by which gateways, and how many parts are enough.

use std::rc::Rc;
use std::time::Instant;

use base::NodeId;
use base::ServiceName;
use limit::RepeatPool;
use query::GatherPlan;
use rand::RngExt;

use crate::Route;
use crate::Target;
use crate::admit::AdmittedRequest;
use crate::holders::Assignment;
use crate::node::Node;

/// Divides the services of a query among the holders of the zone and this gateway; without holders, all are sent from
/// here.
pub(crate) fn assign_services(node: &Node, route: &Route) -> Vec<Assignment> {
    match &route.target {
        Target::Shards { services, .. } if route.repeatable => assign_among(node, services),
        Target::Shards { .. } | Target::Services(_) => Vec::new(),
    }
}

/// Divides services among the holders of the zone that reach the servers.
pub(crate) fn assign_among(node: &Node, services: &[ServiceName]) -> Vec<Assignment> {
    let state = node.state.borrow();
    if state.holders.is_empty() {
        return Vec::new();
    }
    let own = &state.settings.node;
    let is_cut = |holder: &NodeId| match holder == own {
        true => node.links.is_cut(),
        false => node.facts.is_cut(holder),
    };
    state.holders.assign(services, own, is_cut, Instant::now())
}

pub(crate) fn build_plan(
    node: &Node,
    admitted: &AdmittedRequest,
    assignments: &[Assignment],
    careful: bool,
) -> GatherPlan {
    let mut state = node.state.borrow_mut();
    let route = &admitted.route;
    let (services, required): (Rc<[ServiceName]>, usize) = match &route.target {
        Target::Services(services) => {
            let fraction = state.rng.random::<f64>();
            (Rc::from([choose_service(services, fraction)]), 1)
        }
        Target::Shards {
            services,
            min_share,
            ..
        } => (
            Rc::clone(services),
            count_required(services.len(), *min_share),
        ),
    };
    GatherPlan {
        services,
        required,
        repeatable: route.repeatable,
        careful,
        delegated: assignments
            .iter()
            .filter(|assignment| assignment.holder.is_some())
            .flat_map(|assignment| assignment.services.iter().copied())
            .collect(),
        used: admitted.used.clone(),
        pool: match &route.target {
            Target::Shards { .. } => state.repeat_pool(),
            Target::Services(_) => RepeatPool::Shared,
        },
        max_runs: route.max_runs,
        objective: admitted.objective,
        deadline: admitted.outgoing.deadline,
        typical_latency: state.typical_latency(route),
        hedge_delay: state.hedge_delay(route),
    }
}

/// Returns the fewest parts that reach a share of the services; the tolerance absorbs the rounding of the product.
fn count_required(services: usize, min_share: f64) -> usize {
    ((services as f64 * min_share - 1e-9).ceil() as usize).max(1)
}

/// Chooses a service in proportion to the weights; `fraction` is a random number between 0 and 1.
fn choose_service(services: &[(ServiceName, f64)], fraction: f64) -> ServiceName {
    let total: f64 = services.iter().map(|(_, weight)| weight).sum();
    let mut left = fraction * total;
    for (service, weight) in services {
        if left < *weight {
            return service.clone();
        }
        left -= weight;
    }
    services
        .last()
        .map(|(service, _)| service.clone())
        .unwrap_or_default()
}
