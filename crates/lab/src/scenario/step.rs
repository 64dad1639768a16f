//! Setup of a scenario and execution of its steps.

use std::collections::BTreeMap;
use std::time::Duration;

use base::IndexState;
use base::IndexVersion;
use base::MapId;
use base::Shard;
use base::ShardMap;
use base::Upstream;
use base::UpstreamId;
use base::ZoneName;
use decl::Catalogue;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::bench::audit::Evidence;
use crate::bench::network::Listener;
use crate::fault::Fault;
use crate::scenario::call::CallRecord;
use crate::scenario::file::Action;
use crate::scenario::file::Call;
use crate::scenario::file::Expectation;
use crate::scenario::file::ScenarioFile;
use crate::scenario::node::Node;
use crate::scenario::node::NodeEvent;
use crate::scenario::node::REGION;
use crate::scenario::operator::parse_changes;
use crate::scenario::platform::Platform;
use crate::scenario::world::Event;
use crate::scenario::world::Host;
use crate::scenario::world::World;
use crate::server;
use crate::server::Server;
use crate::server_settings::ServerSettings;

/// Sigma of the log-normal service times, as in the benchmark.
const SIGMA: f64 = 0.3;

/// Length of a server's queue per slot.
const QUEUE_PER_SLOT: u32 = 8;

/// Age of the values that a server's load endpoint reports.
const REPORT_LAG: Duration = Duration::from_secs(1);

/// Builds the world of a scenario with every VM and server in service; the steps begin after the warm-up.
pub(crate) fn build_world(file: &ScenarioFile, seed: u64) -> Result<World<'_>, String> {
    let changes = parse_changes(&file.declarations)?;
    let first = Catalogue::default().with_changes(&changes, "first");
    let first = first.map_err(|error| error.to_string())?;
    let index = build_index(file);
    let platform = Platform::new(first.unwrap_or_default(), index.clone());
    let mut world = World::empty(file, platform, seed);
    for map in &index.maps {
        world.maps.insert(map.map, map.clone());
    }
    add_hosts(&mut world, &index, seed);
    for (zone, ids) in &file.entries {
        for id in ids {
            let zone = world.find_zone(zone);
            let node = Node::new(&world, world.nodes.len(), id, zone, 0);
            world.nodes.push(node);
        }
    }
    for idx in 0..world.nodes.len() {
        world.start_node(idx);
    }
    for (number, step) in file.steps.iter().enumerate() {
        world.push(world.start + step.at, Event::Step(number));
    }
    for (number, expectation) in file.expectations.iter().enumerate() {
        if let Expectation::InForce { by_ms, .. } = expectation {
            let at = world.start + Duration::from_millis(*by_ms);
            world.push(at, Event::CheckInForce(number));
        }
    }
    Ok(world)
}

fn build_map(
    map: MapId,
    versions: &[IndexVersion],
    members: u64,
    shards: &[Vec<UpstreamId>],
) -> ShardMap {
    let shards = shards.iter().enumerate().map(|(id, replicas)| Shard {
        id: id as u32,
        members,
        tags: Vec::new(),
        replicas: replicas.clone(),
    });
    ShardMap {
        map,
        versions: versions.to_vec(),
        shards: shards.collect(),
    }
}

fn build_index(file: &ScenarioFile) -> IndexState {
    let index = &file.index;
    let servers = index.servers.iter();
    let servers = servers.flat_map(|(zone, ids)| ids.iter().map(move |id| (zone, id)));
    let upstreams = servers.enumerate().map(|(number, (zone, id))| Upstream {
        id: id.clone(),
        addr: ([10, 1, 0, number as u8], 9000).into(),
        zone: zone.clone(),
        region: REGION.into(),
        slots: index.slots,
        connections: index.connections,
    });
    IndexState {
        index: index.name.clone(),
        maps: vec![build_map(
            index.map,
            &index.versions,
            index.members,
            &index.shards,
        )],
        upstreams: upstreams.collect(),
    }
}

fn make_settings(file: &ScenarioFile, id: &UpstreamId, zone: &ZoneName) -> ServerSettings {
    let index = &file.index;
    ServerSettings {
        id: id.clone(),
        index: index.name.clone(),
        zone: zone.clone(),
        region: REGION.into(),
        slots: index.slots,
        queue: index.slots * QUEUE_PER_SLOT,
        connections: index.connections,
        connect: Duration::from_millis(index.connect_ms),
        median: Duration::from_millis(index.median_ms),
        sigma: SIGMA,
        cold_factor: index.cold_factor,
        cold_time: Duration::from_millis(index.cold_ms),
        drain_grace: Duration::from_millis(index.drain_grace_ms),
        report_lag: REPORT_LAG,
    }
}

fn add_hosts(world: &mut World<'_>, index: &IndexState, seed: u64) {
    let file = world.file;
    let versions: BTreeMap<IndexVersion, MapId> = index
        .maps
        .iter()
        .flat_map(|map| map.versions.iter().map(|&version| (version, map.map)))
        .collect();
    for upstream in &index.upstreams {
        let settings = make_settings(file, &upstream.id, &upstream.zone);
        world
            .server_indexes
            .insert(upstream.id.clone(), world.hosts.len());
        world.hosts.push(Host {
            model: Server::new(settings, &index.maps, world.now),
            listener: Listener::new(upstream.connections),
            zone: world.find_zone(&upstream.zone),
            rng: Pcg64Mcg::seed_from_u64(seed ^ base::hash_key(&upstream.id)),
            wake: None,
            versions: versions.clone(),
            arrivals: Vec::new(),
            repeats: false,
        });
    }
}

impl World<'_> {
    /// Executes a step.
    pub(crate) fn run_step(&mut self, number: usize) {
        let action = self.file.steps[number].action.clone();
        self.record_event(format_args!("step {}: {action:?}", number + 1));
        match action {
            Action::Call(call) => self.schedule_calls(number, &call),
            Action::Publish(publish) => self.publish(number, &publish),
            Action::Kill(id) => self.with_node(&id, World::kill_node),
            Action::Start(id) => self.with_node(&id, World::start_node),
            Action::Stop(id) => self.with_node(&id, |world, idx| {
                world.push(world.now, Event::Node(idx, None, NodeEvent::Stop));
            }),
            Action::Pause(id) => self.with_node(&id, |world, idx| world.nodes[idx].paused = true),
            Action::Resume(id) => self.with_node(&id, World::resume_node),
            Action::Cut(names) => self.set_cut(&names, true),
            Action::Heal(names) => self.set_cut(&names, false),
            Action::PlatformUp(up) => self.platform.up = up,
            Action::PlatformDelay { ms } => self.platform.delay = Duration::from_millis(ms),
            Action::LoseReplies(times) => self.platform.lost_replies = times,
            Action::LagReads(times) => self.platform.lagging_reads = times,
            Action::LagList { ms } => self.platform.list_lag = Duration::from_millis(ms),
            Action::Straggle {
                server,
                chance,
                factor,
            } => self.inject_fault(&server, Fault::Straggle { chance, factor }),
            Action::Slow { server, factor } => self.inject_fault(&server, Fault::Slow { factor }),
            Action::Shed { server, chance } => self.inject_fault(&server, Fault::Shed { chance }),
            Action::Drain(server) => self.inject_fault(&server, Fault::Drain),
            Action::Restart(server) => self.inject_fault(&server, Fault::Restart),
            Action::Lose(server) => self.inject_fault(&server, Fault::Stop),
            Action::Recover(server) => self.inject_fault(&server, Fault::Clear),
            Action::RepeatReplies(server) => {
                let server = self.server_indexes[&server];
                self.hosts[server].repeats = true;
            }
            Action::Retire { version, servers } => self.retire(version, &servers),
            Action::Version { version, servers } => self.add_version(version, &servers),
            Action::Repartition {
                map,
                versions,
                members,
                shards,
            } => self.repartition(build_map(map, &versions, members, &shards)),
        }
    }

    fn with_node(&mut self, id: &base::NodeId, apply: impl FnOnce(&mut Self, usize)) {
        if let Some(idx) = self.find_node(id) {
            apply(self, idx);
        }
    }

    fn schedule_calls(&mut self, step: usize, call: &Call) {
        for number in 0..call.count {
            let at = self.now + Duration::from_millis(call.every_ms) * number;
            self.calls.push(CallRecord {
                step,
                call: call.clone(),
                received: None,
                evidence: Evidence::default(),
                end: None,
            });
            self.push(at, Event::Call(self.calls.len() - 1));
        }
    }

    fn inject_fault(&mut self, server: &UpstreamId, fault: Fault) {
        let server = self.server_indexes[server];
        if matches!(fault, Fault::Stop | Fault::Restart) {
            let pools = self.nodes.iter_mut().map(|node| &mut node.pools[server]);
            self.hosts[server].listener.reset(pools);
        }
        self.handle_server(server, server::Event::Fault(fault));
    }

    /// Returns the indexes of the given servers, or of all when none are given.
    fn find_servers(&self, ids: &[UpstreamId]) -> Vec<usize> {
        let all = self.server_indexes.iter();
        all.filter(|(id, _)| ids.is_empty() || ids.contains(id))
            .map(|(_, &number)| number)
            .collect()
    }

    fn retire(&mut self, version: IndexVersion, ids: &[UpstreamId]) {
        for server in self.find_servers(ids) {
            self.hosts[server].versions.remove(&version);
            self.handle_server(server, server::Event::Fault(Fault::Retire { version }));
        }
        if ids.is_empty() {
            let mut index = self.platform.index().clone();
            for map in &mut index.maps {
                map.versions.retain(|held| *held != version);
            }
            index.maps.retain(|map| !map.versions.is_empty());
            self.platform.set_index(index);
        }
    }

    fn add_version(&mut self, version: IndexVersion, ids: &[UpstreamId]) {
        let mut index = self.platform.index().clone();
        let Some(map) = index.maps.last_mut() else {
            return;
        };
        if !map.versions.contains(&version) {
            map.versions.push(version);
        }
        let mut held = map.clone();
        held.versions = vec![version];
        self.platform.set_index(index);
        self.hold_map(&held, ids);
    }

    fn repartition(&mut self, map: ShardMap) {
        self.hold_map(&map, &[]);
        self.maps.insert(map.map, map.clone());
        let mut index = self.platform.index().clone();
        index.maps.push(map);
        self.platform.set_index(index);
    }

    /// Makes the given servers hold the versions of a map, or all servers when none are given.
    fn hold_map(&mut self, map: &ShardMap, ids: &[UpstreamId]) {
        for server in self.find_servers(ids) {
            let versions = map.versions.iter().map(|&version| (version, map.map));
            self.hosts[server].versions.extend(versions);
            let fault = Fault::Hold { map: map.clone() };
            self.handle_server(server, server::Event::Fault(fault));
        }
    }
}
