//! The routes and services of one configuration.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use base::Revision;
use base::ServiceName;
use compact_str::CompactString;

/// Names a route within a configuration.
pub type RouteName = CompactString;

/// Where the requests of a route go.
#[derive(Debug, Clone, PartialEq)]
pub enum Target {
    /// To one server of one of these services, in proportion to the weights.
    Services(Vec<(ServiceName, f64)>),
    /// To one server of each of these services.
    Shards {
        /// The services, each of which holds one shard.
        services: Rc<[ServiceName]>,
        /// Share of the shards without which there is no success.
        min_share: f64,
        /// Records in an answer.
        top_k: usize,
    },
}

impl Target {
    /// Returns the services that are asked at the same time.
    pub(crate) fn fan_out(&self) -> u64 {
        match self {
            Target::Services(_) => 1,
            Target::Shards { services, .. } => services.len() as u64,
        }
    }
}

/// How the requests of one host and path prefix are handled.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name of the route, for log lines.
    pub name: RouteName,
    /// Host, in lower case.
    pub host: CompactString,
    /// Prefix of the path; it begins and ends with a slash.
    pub prefix: CompactString,
    /// Where its requests go.
    pub target: Target,
    /// Whether a request may run more than once.
    pub repeatable: bool,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer is worth the most.
    pub objective: Duration,
    /// Servers of one service on which a request may run.
    pub max_runs: u32,
    /// Rank of its requests when not all can be served; 0 is the most urgent.
    pub rank: u32,
}

/// What is known of a service from the configuration.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Service {
    /// Connections that one of its servers accepts from all VMs together.
    pub connections: u32,
}

/// Limits on the requests of callers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RequestLimits {
    /// Bytes in the head of a request.
    pub max_head_bytes: usize,
    /// Bytes in the body of a request.
    pub max_body_bytes: usize,
    /// Time in which a head must arrive.
    pub head_timeout: Duration,
    /// Time for which a connection may be idle.
    pub idle_timeout: Duration,
}

/// One version of the configuration, ready for lookups.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteTable {
    /// Version of the configuration.
    pub revision: Revision,
    /// Services by name.
    pub services: HashMap<ServiceName, Service>,
    /// Limits on the requests of callers.
    pub request_limits: RequestLimits,
    hosts: HashMap<CompactString, Vec<Rc<Route>>>,
}

impl RouteTable {
    /// Builds the lookup table of a configuration.
    pub fn new(
        revision: Revision,
        routes: Vec<Route>,
        services: HashMap<ServiceName, Service>,
        request_limits: RequestLimits,
    ) -> RouteTable {
        let mut hosts: HashMap<CompactString, Vec<Rc<Route>>> = HashMap::new();
        for route in routes {
            hosts
                .entry(route.host.clone())
                .or_default()
                .push(Rc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        RouteTable {
            revision,
            services,
            request_limits,
            hosts,
        }
    }

    /// Finds the route of a host with the longest prefix of a path.
    ///
    /// A port after the host doesn't count, and neither does the case of the host.
    pub fn find_route(&self, host: &str, path: &str) -> Option<Rc<Route>> {
        let name = host.split_once(':').map_or(host, |(name, _)| name);
        let routes = self.hosts.get(name.to_ascii_lowercase().as_str())?;
        let route = routes
            .iter()
            .find(|route| path.starts_with(route.prefix.as_str()))?;
        Some(Rc::clone(route))
    }

    /// Returns what can't be meant in this configuration, each as one line that names the route.
    ///
    /// Such routes are served as far as they can be: an operator's mistake in one route must not hold up the others.
    pub fn find_errors(&self) -> Vec<String> {
        let mut faults: Vec<String> = self
            .hosts
            .values()
            .flatten()
            .flat_map(|route| {
                let name = &route.name;
                self.find_route_errors(route)
                    .into_iter()
                    .map(move |fault| format!("route {name}: {fault}"))
            })
            .collect();
        faults.sort();
        faults
    }

    fn find_route_errors(&self, route: &Route) -> Vec<String> {
        let mut faults = Vec::new();
        if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
            faults.push(format!("prefix {} lacks a slash", route.prefix));
        }
        if route.timeout.is_zero() {
            faults.push("no time is allowed".to_owned());
        }
        let named: Vec<&ServiceName> = match &route.target {
            Target::Services(services) => {
                let is_weight = |weight: &f64| weight.is_finite() && *weight >= 0.0;
                let weights = services.iter().map(|(_, weight)| weight);
                if !weights.clone().all(is_weight) || weights.sum::<f64>() <= 0.0 {
                    faults.push("its weights give no shares".to_owned());
                }
                services.iter().map(|(service, _)| service).collect()
            }
            Target::Shards {
                services,
                min_share,
                ..
            } => {
                if !(0.0..=1.0).contains(min_share) {
                    faults.push(format!("{min_share} is no share of the shards"));
                }
                if services.is_empty() {
                    faults.push("it has no shards".to_owned());
                }
                services.iter().collect()
            }
        };
        let unknown = named
            .into_iter()
            .filter(|service| !self.services.contains_key(*service));
        faults.extend(unknown.map(|service| format!("service {service} is not declared")));
        faults
    }

    /// Returns the names of all routes.
    pub fn route_names(&self) -> impl Iterator<Item = &RouteName> {
        self.hosts.values().flatten().map(|route| &route.name)
    }

    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }

    /// Tells whether there is no route.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }
}
