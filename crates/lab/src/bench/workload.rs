//! The workload of a case: an index with its servers, the services that query it, and the number of entry nodes.

use base::IndexState;
use base::Shard;
use base::ShardMap;
use base::UpstreamId;
use base::ZoneName;
use decl::Declaration;
use rand::Rng;
use rand::RngExt;
use snafu::OptionExt;
use snafu::Snafu;

use crate::bench::condition::Step;
use crate::deploy::build_example;
use crate::examples::parse_declarations;
use crate::fault::Fault;
use crate::server_settings::ServerSettings;

/// Fraction of non-repeatable requests to a service that declares any.
const NON_REPEATABLE_SHARE: f64 = 0.02;

/// Span in which one server after another adds the new snapshot, in fractions of the measured time.
const HOLD_SPAN: (f64, f64) = (0.2, 0.5);

/// Span in which one server after another retires the old snapshot, in fractions of the measured time.
///
/// The platform's index object changes only at its end, so that some queries are bound to a snapshot that a server
/// has already retired.
const RETIRE_SPAN: (f64, f64) = (0.6, 0.8);

/// An error in the inputs of the benchmark.
#[derive(Debug, Snafu)]
pub enum InputError {
    /// No example deployment has this name.
    #[snafu(display("no example deployment is named {name}"))]
    Deployment {
        /// Name of the deployment.
        name: String,
    },
    /// The deployment has no such index.
    #[snafu(display("deployment {name} has no index {index}"))]
    Index {
        /// The deployment.
        name: String,
        /// The index.
        index: String,
    },
    /// A declaration is not valid.
    #[snafu(display("a declaration of {name} is not valid: {reason}"))]
    Declaration {
        /// The deployment.
        name: String,
        /// First error of the declaration.
        reason: String,
    },
}

/// One index of an example deployment with the servers and services that use it.
#[derive(Debug, Clone)]
pub(crate) struct Workload {
    pub(crate) name: String,
    pub(crate) index: IndexState,
    pub(crate) servers: Vec<ServerSettings>,
    pub(crate) zones: Vec<ZoneName>,
    pub(crate) services: Vec<Declaration>,
    pub(crate) node_count: u32,
}

impl Workload {
    pub(crate) fn build(name: &str, index: &str, seed: u64) -> Result<Workload, InputError> {
        let deployment = build_example(name, seed).context(DeploymentSnafu { name })?;
        let found = deployment
            .find_index(index)
            .context(IndexSnafu { name, index })?
            .clone();
        let mut services = parse_declarations(name).map_err(|errors| {
            let reason = errors.first().map(ToString::to_string).unwrap_or_default();
            DeclarationSnafu { name, reason }.build()
        })?;
        services.retain(|declaration| declaration.index == index);
        Ok(Workload {
            name: format!("{name}/{index}"),
            index: found.state,
            servers: found.servers,
            zones: deployment.zones,
            services,
            node_count: deployment.nodes,
        })
    }

    /// Returns the capacity of the servers in sub-requests per second.
    pub(crate) fn capacity(&self) -> f64 {
        let rate =
            |server: &ServerSettings| f64::from(server.slots) / server.mean_time().as_secs_f64();
        self.servers.iter().map(rate).sum()
    }

    /// Returns the queries per second that load the servers to the given fraction of their capacity.
    pub(crate) fn query_rate(&self, load: f64) -> f64 {
        let shards = &self.index.maps[0].shards;
        let fanout = |service: &Declaration| {
            let selected = shards.iter().filter(|shard| service.shards.contains(shard));
            let non_repeatable = if service.requests.iter().any(|request| !request.repeatable) {
                NON_REPEATABLE_SHARE
            } else {
                0.0
            };
            selected.count() as f64 * (1.0 - non_repeatable) + non_repeatable
        };
        let total: f64 = self.services.iter().map(fanout).sum();
        load * self.capacity() / (total / self.services.len() as f64)
    }

    /// Draws the index of a service and of one of its requests.
    pub(crate) fn draw_request(&self, rng: &mut dyn Rng) -> (usize, usize) {
        let service = rng.random_range(0..self.services.len());
        let requests = &self.services[service].requests;
        let repeatable = !rng.random_bool(NON_REPEATABLE_SHARE);
        let matching = requests
            .iter()
            .position(|request| request.repeatable == repeatable);
        (service, matching.unwrap_or(0))
    }

    /// Lists the steps that replace version 1 by version 2 on the same map.
    pub(crate) fn plan_version_change(&self) -> Vec<(f64, Step)> {
        let mut map = self.index.maps[0].clone();
        map.versions = vec![1, 2];
        self.plan_replacement(&map, vec![map.clone()], {
            let mut last = map.clone();
            last.versions = vec![2];
            last
        })
    }

    /// Lists the steps that replace the map by one with a fifth more shards.
    pub(crate) fn plan_repartition(&self) -> Vec<(f64, Step)> {
        let old = self.index.maps[0].clone();
        let count = old.shards.len();
        let members: u64 = old.shards.iter().map(|shard| shard.members).sum();
        let more = count + count / 5;
        let shards = (0..more).map(|id| Shard {
            id: id as u32,
            members: members / more as u64,
            tags: old.shards[id % count].tags.clone(),
            replicas: self.shift_replicas(&old.shards[id % count].replicas, id),
        });
        let new = ShardMap {
            map: 2,
            versions: vec![2],
            shards: shards.collect(),
        };
        self.plan_replacement(&new, vec![old, new.clone()], new.clone())
    }

    /// Moves each replica to a later server if that is in the same zone, so that the new map places shards elsewhere.
    fn shift_replicas(&self, replicas: &[UpstreamId], id: usize) -> Vec<UpstreamId> {
        let shift = |replica: &UpstreamId| {
            let old = self.servers.iter().position(|server| server.id == *replica);
            let count = self.servers.len();
            let step = self.zones.len() * (1 + id % 3);
            let new = old.map(|old| (old + step) % count);
            new.map(|new| &self.servers[new])
                .filter(|server| old.is_some_and(|old| self.servers[old].zone == server.zone))
                .map_or_else(|| replica.clone(), |server| server.id.clone())
        };
        replicas.iter().map(shift).collect()
    }

    /// Lists the steps that add `new` on each server, retire version 1, and finally publish `last` alone.
    fn plan_replacement(
        &self,
        new: &ShardMap,
        both: Vec<ShardMap>,
        last: ShardMap,
    ) -> Vec<(f64, Step)> {
        let state = |maps| {
            let mut state = self.index.clone();
            state.maps = maps;
            Step::Index(state)
        };
        let count = self.servers.len();
        let interpolate = |(from, to): (f64, f64), server: usize| {
            from + (to - from) * server as f64 / count as f64
        };
        let mut steps = vec![(HOLD_SPAN.0, state(both))];
        for server in 0..count {
            let map = new.clone();
            steps.push((
                interpolate(HOLD_SPAN, server),
                Step::Fault(server, Fault::Hold { map }),
            ));
            let retire = Fault::Retire { version: 1 };
            steps.push((
                interpolate(RETIRE_SPAN, server),
                Step::Fault(server, retire),
            ));
        }
        steps.push((RETIRE_SPAN.1, state(vec![last])));
        steps
    }
}
