//! The two example deployments of `docs/design.md`, section 2, built from its table.
//!
//! Each index has as many shards as servers, and each shard has one replica in every zone. Member counts and tags are
//! drawn from a seed, so that runs are reproducible.

use std::net::SocketAddr;
use std::time::Duration;

use base::IndexState;
use base::RegionName;
use base::Shard;
use base::ShardMap;
use base::Upstream;
use base::ZoneName;
use compact_str::CompactString;
use compact_str::format_compact;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::server_settings::ServerSettings;

/// Age of the load and health metrics; docs/design.md says that they lag, but not how much.
const REPORT_LAG: Duration = Duration::from_secs(2);

/// Time for which a draining server still accepts requests, from guarantee G6.
const DRAIN_GRACE: Duration = Duration::from_secs(3);

/// Standard deviation of the logarithm of the service time; p99 is then 3.2 times the median.
const SIGMA: f64 = 0.5;

/// Queued requests per slot that a server accepts.
const QUEUE_PER_SLOT: u32 = 8;

/// An example deployment.
#[derive(Debug, Clone)]
pub struct Deployment {
    /// Name; also the name of the directory under `examples/`.
    pub name: CompactString,
    /// Region of every zone.
    pub region: RegionName,
    /// Availability zones.
    pub zones: Vec<ZoneName>,
    /// Number of entry VMs.
    pub nodes: u32,
    /// Indexes with their servers.
    pub indexes: Vec<Index>,
}

/// One index of a deployment.
#[derive(Debug, Clone)]
pub struct Index {
    /// Maps and servers, as the data owners write them to the platform.
    pub state: IndexState,
    /// Settings of the servers, in the order of the upstreams in `state`.
    pub servers: Vec<ServerSettings>,
}

/// An index in the table of `docs/design.md`.
struct Row {
    index: &'static str,
    servers: u32,
    slots: u32,
    connections: u32,
    connect_ms: u64,
    /// Median service time; the table has none, so it follows from the kind of index.
    median_ms: u64,
}

const fn row(
    index: &'static str,
    servers: u32,
    slots: u32,
    connections: u32,
    connect_ms: u64,
    median_ms: u64,
) -> Row {
    Row {
        index,
        servers,
        slots,
        connections,
        connect_ms,
        median_ms,
    }
}

const BRUNNER_VAUCHER: [Row; 4] = [
    row("plan-desk", 30, 5, 90, 6, 6),
    row("family-portal", 45, 5, 90, 6, 6),
    row("archive-desk", 25, 3, 250, 1, 12),
    row("collections", 15, 3, 250, 1, 8),
];

const SKIASIS: [Row; 4] = [
    row("offcut-desk", 30, 2, 55, 6, 5),
    row("order-board", 45, 2, 55, 6, 5),
    row("registry", 5, 6, 100, 1, 4),
    row("swatch-book", 3, 6, 100, 1, 8),
];

/// Builds the deployment of Brunner-Vaucher Vorsorge AG.
pub fn build_brunner_vaucher(seed: u64) -> Deployment {
    let zones = ["zurich", "lausanne", "lugano"];
    let tags = ["deutsch", "romand", "ticino"];
    build(
        "brunner-vaucher",
        "schweiz",
        zones,
        tags,
        &BRUNNER_VAUCHER,
        seed,
    )
}

/// Builds the deployment of Skiasis.
pub fn build_skiasis(seed: u64) -> Deployment {
    let zones = ["attiki", "makedonia", "kriti"];
    let tags = ["wood", "metal", "textile"];
    build("skiasis", "ellada", zones, tags, &SKIASIS, seed)
}

/// Builds an example deployment by its name.
pub fn build_example(name: &str, seed: u64) -> Option<Deployment> {
    match name {
        "brunner-vaucher" => Some(build_brunner_vaucher(seed)),
        "skiasis" => Some(build_skiasis(seed)),
        _ => None,
    }
}

impl Deployment {
    /// Looks up an index by its name.
    pub fn find_index(&self, name: &str) -> Option<&Index> {
        self.indexes.iter().find(|index| index.state.index == name)
    }

    /// Limits the connections that each server accepts from all VMs together.
    pub fn limit_connections(&mut self, connections: u32) {
        for index in &mut self.indexes {
            index
                .state
                .upstreams
                .iter_mut()
                .for_each(|upstream| upstream.connections = connections);
            index
                .servers
                .iter_mut()
                .for_each(|server| server.connections = connections);
        }
    }
}

fn build(
    name: &str,
    region: &str,
    zones: [&str; 3],
    tags: [&str; 3],
    rows: &[Row],
    seed: u64,
) -> Deployment {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let zones: Vec<ZoneName> = zones.into_iter().map(ZoneName::from).collect();
    let indexes = rows
        .iter()
        .map(|row| build_index(row, region, &zones, tags, &mut rng));
    Deployment {
        name: name.into(),
        region: region.into(),
        indexes: indexes.collect(),
        zones,
        nodes: 17,
    }
}

fn build_index(
    row: &Row,
    region: &str,
    zones: &[ZoneName],
    tags: [&str; 3],
    rng: &mut Pcg64Mcg,
) -> Index {
    let servers: Vec<ServerSettings> = (0..row.servers)
        .map(|number| build_settings(row, number, region, zones))
        .collect();
    let shards = (0..row.servers).map(|id| Shard {
        id,
        members: rng.random_range(400..=1600),
        tags: vec![tags[rng.random_range(0..tags.len())].into()],
        replicas: place_replicas(id, &servers, zones),
    });
    let map = ShardMap {
        map: 1,
        versions: vec![1],
        shards: shards.collect(),
    };
    let upstreams = servers.iter().map(build_upstream).collect();
    let state = IndexState {
        index: row.index.into(),
        maps: vec![map],
        upstreams,
    };
    Index { state, servers }
}

fn build_settings(row: &Row, number: u32, region: &str, zones: &[ZoneName]) -> ServerSettings {
    ServerSettings {
        id: format_compact!("{}-{number:02}", row.index),
        index: row.index.into(),
        zone: zones[number as usize % zones.len()].clone(),
        region: region.into(),
        slots: row.slots,
        queue: row.slots * QUEUE_PER_SLOT,
        connections: row.connections,
        connect: Duration::from_millis(row.connect_ms),
        median: Duration::from_millis(row.median_ms),
        sigma: SIGMA,
        cold_factor: 5.0,
        cold_time: Duration::from_secs(10),
        drain_grace: DRAIN_GRACE,
        report_lag: REPORT_LAG,
    }
}

fn build_upstream(settings: &ServerSettings) -> Upstream {
    Upstream {
        id: settings.id.clone(),
        addr: SocketAddr::from(([127, 0, 0, 1], 0)),
        zone: settings.zone.clone(),
        region: settings.region.clone(),
        slots: settings.slots,
        connections: settings.connections,
    }
}

/// Places one replica in each zone.
///
/// The stride differs by zone, so that the shards of one server have their other replicas on different servers. When a
/// server is lost, its load is therefore spread over several others.
fn place_replicas(id: u32, servers: &[ServerSettings], zones: &[ZoneName]) -> Vec<CompactString> {
    let place = |(stride, zone): (usize, &ZoneName)| {
        let local: Vec<&ServerSettings> = servers
            .iter()
            .filter(|server| server.zone == *zone)
            .collect();
        let id = id as usize;
        let round = id / local.len();
        local[(id + stride * round) % local.len()].id.clone()
    };
    zones.iter().enumerate().map(place).collect()
}
