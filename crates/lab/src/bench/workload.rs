//! What a case runs on: an index with its servers, the services that query it, and the entry nodes.

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
use crate::settings::Settings;

/// Fraction of the requests of a service that are not repeatable, if it declares any.
const ONCE_SHARE: f64 = 0.02;

/// When the servers start to hold the new snapshot, as a fraction of the measured time.
const HOLD: (f64, f64) = (0.2, 0.5);

/// When the servers retire the old snapshot; the platform's object is only changed at the end, so that queries meet
/// servers that no longer hold what they are bound to.
const RETIRE: (f64, f64) = (0.6, 0.8);

/// An error in the inputs of the benchmark.
#[derive(Debug, Snafu)]
pub enum InputError {
    /// No example deployment has this name.
    #[snafu(display("no example deployment is named {name}"))]
    Deployment {
        /// The name.
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
    #[snafu(display("a declaration of {name} is not valid: {fault}"))]
    Declaration {
        /// The deployment.
        name: String,
        /// The first fault.
        fault: String,
    },
}

/// One index of an example deployment with everything that queries it.
#[derive(Debug, Clone)]
pub(crate) struct Workload {
    pub(crate) name: String,
    pub(crate) index: IndexState,
    pub(crate) servers: Vec<Settings>,
    pub(crate) zones: Vec<ZoneName>,
    pub(crate) services: Vec<Declaration>,
    pub(crate) nodes: u32,
}

impl Workload {
    pub(crate) fn build(name: &str, index: &str, seed: u64) -> Result<Workload, InputError> {
        let deployment = build_example(name, seed).context(DeploymentSnafu { name })?;
        let found = deployment
            .index(index)
            .context(IndexSnafu { name, index })?
            .clone();
        let mut services = parse_declarations(name).map_err(|faults| {
            let fault = faults.first().map(ToString::to_string).unwrap_or_default();
            DeclarationSnafu { name, fault }.build()
        })?;
        services.retain(|declaration| declaration.index == index);
        Ok(Workload {
            name: format!("{name}/{index}"),
            index: found.state,
            servers: found.servers,
            zones: deployment.zones,
            services,
            nodes: deployment.nodes,
        })
    }

    /// Returns the sub-requests that the servers can do per second.
    pub(crate) fn capacity(&self) -> f64 {
        let rate = |server: &Settings| f64::from(server.slots) / server.mean().as_secs_f64();
        self.servers.iter().map(rate).sum()
    }

    /// Returns the queries per second that put a load on the servers, as a fraction of their capacity.
    pub(crate) fn rate(&self, load: f64) -> f64 {
        let shards = &self.index.maps[0].shards;
        let fanout = |service: &Declaration| {
            let selected = shards.iter().filter(|shard| service.shards.contains(shard));
            let once = if service.requests.iter().any(|request| !request.repeatable) {
                ONCE_SHARE
            } else {
                0.0
            };
            selected.count() as f64 * (1.0 - once) + once
        };
        let total: f64 = self.services.iter().map(fanout).sum();
        load * self.capacity() / (total / self.services.len() as f64)
    }

    /// Draws a service and the number of one of its requests.
    pub(crate) fn draw_request(&self, rng: &mut dyn Rng) -> (usize, usize) {
        let at = rng.random_range(0..self.services.len());
        let requests = &self.services[at].requests;
        let wanted = !rng.random_bool(ONCE_SHARE);
        let matching = requests
            .iter()
            .position(|request| request.repeatable == wanted);
        (at, matching.unwrap_or(0))
    }

    /// Lists the steps by which version 2 replaces version 1 on the same map.
    pub(crate) fn change_version(&self) -> Vec<(f64, Step)> {
        let mut map = self.index.maps[0].clone();
        map.versions = vec![1, 2];
        self.replace(&map, vec![map.clone()], {
            let mut last = map.clone();
            last.versions = vec![2];
            last
        })
    }

    /// Lists the steps by which a map with a fifth more shards replaces the map.
    pub(crate) fn change_map(&self) -> Vec<(f64, Step)> {
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
        self.replace(&new, vec![old, new.clone()], new.clone())
    }

    /// Moves replicas to the next server of the same zone, so that the new map places its shards elsewhere.
    fn shift_replicas(&self, replicas: &[UpstreamId], id: usize) -> Vec<UpstreamId> {
        let shift = |replica: &UpstreamId| {
            let old = self.servers.iter().position(|server| server.id == *replica);
            let count = self.servers.len();
            let step = self.zones.len() * (1 + id % 3);
            let at = old.map(|old| (old + step) % count);
            at.map(|at| &self.servers[at])
                .filter(|server| old.is_some_and(|old| self.servers[old].zone == server.zone))
                .map_or_else(|| replica.clone(), |server| server.id.clone())
        };
        replicas.iter().map(shift).collect()
    }

    fn replace(&self, new: &ShardMap, both: Vec<ShardMap>, last: ShardMap) -> Vec<(f64, Step)> {
        let state = |maps| {
            let mut state = self.index.clone();
            state.maps = maps;
            Step::Index(state)
        };
        let count = self.servers.len();
        let spread =
            |(from, to): (f64, f64), at: usize| from + (to - from) * at as f64 / count as f64;
        let mut steps = vec![(HOLD.0, state(both))];
        for at in 0..count {
            let map = new.clone();
            steps.push((spread(HOLD, at), Step::Fault(at, Fault::Hold { map })));
            let retire = Fault::Retire { version: 1 };
            steps.push((spread(RETIRE, at), Step::Fault(at, retire)));
        }
        steps.push((RETIRE.1, state(vec![last])));
        steps
    }
}
