//! The route table: routes and services of one configuration.

use std::collections::HashMap;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use base::Revision;
use base::ServiceName;
use compact_str::CompactString;

/// Name of a route within a configuration.
pub type RouteName = CompactString;

/// Where the requests of a route are sent.
#[derive(Debug, Clone, PartialEq)]
pub enum Target {
    /// To one server of one of these services, which is chosen in proportion to the weights.
    Services(Vec<(ServiceName, f64)>),
    /// To one server of each of these services.
    Shards {
        /// The services, each of which holds one shard.
        services: Rc<[ServiceName]>,
        /// Smallest share of the shards, from 0 to 1, for which an answer counts as a success.
        min_share: f64,
        /// Most records in an answer.
        top_k: usize,
    },
}

impl Target {
    /// Returns the number of services to which one request is sent in parallel.
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
    /// Where its requests are sent.
    pub target: Target,
    /// Whether a request may run more than once.
    pub repeatable: bool,
    /// Longest time until a caller gets an answer.
    pub timeout: Duration,
    /// Latency objective; a later answer is worth less to the caller.
    pub objective: Duration,
    /// Most servers of one service on which a request may run.
    pub max_runs: u32,
    /// Priority rank of its requests when not all can be served; 0 is the most urgent.
    pub rank: u32,
}

/// What the configuration says about a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Service {
    /// Most connections that one of its servers accepts from all VMs together.
    pub connections: u32,
}

/// Limits on the requests of callers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RequestLimits {
    /// Largest head of a request.
    pub max_head_bytes: usize,
    /// Largest body of a request.
    pub max_body_bytes: usize,
    /// Time within which a head must arrive.
    pub head_timeout: Duration,
    /// Time for which a connection may be idle.
    pub idle_timeout: Duration,
}

/// The routes of one version of the configuration, indexed by host.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteTable {
    /// Version of the configuration.
    pub revision: Revision,
    /// Services by name.
    pub services: HashMap<ServiceName, Service>,
    /// Limits on the requests of callers.
    pub request_limits: RequestLimits,
    hosts: HashMap<CompactString, Vec<Rc<Route>>>,
    /// Services that are shards of some route.
    shards: HashSet<ServiceName>,
}

impl RouteTable {
    /// Builds the route table of a configuration.
    pub fn new(
        revision: Revision,
        routes: Vec<Route>,
        services: HashMap<ServiceName, Service>,
        request_limits: RequestLimits,
    ) -> RouteTable {
        let mut hosts: HashMap<CompactString, Vec<Rc<Route>>> = HashMap::new();
        let mut shards = HashSet::new();
        for route in routes {
            if let Target::Shards { services, .. } = &route.target {
                shards.extend(services.iter().cloned());
            }
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
            shards,
        }
    }

    /// Returns whether a service is a shard of some route.
    pub fn is_shard(&self, service: &ServiceName) -> bool {
        self.shards.contains(service)
    }

    /// Finds the route of a host with the longest prefix that matches a path.
    ///
    /// The port of the host is ignored, and its case doesn't matter.
    pub fn find_route(&self, host: &str, path: &str) -> Option<Rc<Route>> {
        let name = host.split_once(':').map_or(host, |(name, _)| name);
        let routes = self.hosts.get(name.to_ascii_lowercase().as_str())?;
        let route = routes
            .iter()
            .find(|route| path.starts_with(route.prefix.as_str()))?;
        Some(Rc::clone(route))
    }

    /// Validates the routes; returns one line for each error, which names the route.
    ///
    /// Invalid routes are still served as far as possible, so that a mistake in one route doesn't block the others.
    pub fn find_errors(&self) -> Vec<String> {
        let mut errors: Vec<String> = self
            .hosts
            .values()
            .flatten()
            .flat_map(|route| {
                let name = &route.name;
                self.find_route_errors(route)
                    .into_iter()
                    .map(move |error| format!("route {name}: {error}"))
            })
            .collect();
        errors.sort();
        errors
    }

    fn find_route_errors(&self, route: &Route) -> Vec<String> {
        let mut errors = Vec::new();
        if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
            errors.push(format!(
                "prefix {} must begin and end with a slash",
                route.prefix
            ));
        }
        if route.timeout.is_zero() {
            errors.push("the timeout is zero".to_owned());
        }
        let named: Vec<&ServiceName> = match &route.target {
            Target::Services(services) => {
                let is_weight = |weight: &f64| weight.is_finite() && *weight >= 0.0;
                let weights = services.iter().map(|(_, weight)| weight);
                if !weights.clone().all(is_weight) || weights.sum::<f64>() <= 0.0 {
                    errors.push(
                        "weights must be finite and not negative, with a positive sum".to_owned(),
                    );
                }
                services.iter().map(|(service, _)| service).collect()
            }
            Target::Shards {
                services,
                min_share,
                ..
            } => {
                if !(0.0..=1.0).contains(min_share) {
                    errors.push(format!(
                        "the required share of the shards is {min_share}, not between 0 and 1"
                    ));
                }
                if services.is_empty() {
                    errors.push("the list of shards is empty".to_owned());
                }
                services.iter().collect()
            }
        };
        let unknown = named
            .into_iter()
            .filter(|service| !self.services.contains_key(*service));
        errors.extend(unknown.map(|service| format!("service {service} is not declared")));
        errors
    }

    /// Returns the names of all routes.
    pub fn route_names(&self) -> impl Iterator<Item = &RouteName> {
        self.hosts.values().flatten().map(|route| &route.name)
    }

    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }

    /// Returns whether there is no route.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }
}
