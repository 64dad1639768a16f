//! A fleet of gateways in virtual time that send to servers which name a rate limit for all of them together.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use base::RegionName;
use base::Upstream;
use base::ZoneName;
use gateway::LimitedServer;
use gateway::Peer;
use gateway::Peers;
use gateway::find_quota_share;
use limit::AttemptOutcome;
use limit::GateKey;
use limit::LimitChange;
use limit::LimitNotice;
use limit::Limits;
use limit::QuotaShare;
use limit::Tuning;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

/// Span over which the requests of a limited server are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Time after which a gateway that has seen a limit has to keep it.
const LEARN_TIME: Duration = Duration::from_millis(500);

/// Step of the virtual time.
const STEP: Duration = Duration::from_millis(5);

const REPLY_TIME: Duration = Duration::from_millis(28);

const TYPICAL: Duration = Duration::from_millis(28);

/// What a fleet looks like and which load it gets.
struct Load {
    zones: usize,
    gateways: usize,
    limits: [f64; 2],
    is_shard: bool,
    seed: u64,
}

struct Node {
    name: String,
    peers: Peers,
    limits: Limits,
    keys: Vec<GateKey>,
    /// Time at which it saw the limit of each server.
    learned: [Option<Instant>; 2],
}

struct Fleet {
    regions: HashMap<ZoneName, RegionName>,
    servers: Vec<LimitedServer>,
    nodes: Vec<Node>,
    load: Load,
    rng: Pcg64Mcg,
    start: Instant,
    now: Instant,
    /// Times of the requests to the limited servers from gateways that knew the limit.
    counted: [Vec<Instant>; 2],
    /// Requests to each server.
    sent: [usize; 3],
    is_limited: bool,
}

fn zone_name(at: usize) -> ZoneName {
    format!("zone-{at}").into()
}

fn create_server(at: usize, load: &Load) -> LimitedServer {
    LimitedServer {
        id: format!("i-{at}").into(),
        service: "shard".into(),
        zone: zone_name(at),
        replicas: (0..3).map(zone_name).collect(),
        is_shard: load.is_shard,
        rate: load.limits.get(at).copied().unwrap_or(f64::MAX),
    }
}

impl Fleet {
    fn new(load: Load) -> Fleet {
        let regions: HashMap<ZoneName, RegionName> = (0..load.zones)
            .map(|at| (zone_name(at), format!("region-{}", at % 3).into()))
            .collect();
        let known: Vec<Peer> = (0..load.gateways)
            .map(|at| create_peer(at, load.zones))
            .collect();
        let servers: Vec<LimitedServer> = (0..3).map(|at| create_server(at, &load)).collect();
        let start = Instant::now();
        let mut fleet = Fleet {
            regions,
            servers,
            nodes: Vec::new(),
            rng: Pcg64Mcg::seed_from_u64(load.seed),
            load,
            start,
            now: start,
            counted: [Vec::new(), Vec::new()],
            sent: [0; 3],
            is_limited: true,
        };
        for peer in &known {
            let node = fleet.create_node(peer, known.clone());
            fleet.nodes.push(node);
        }
        fleet
    }

    fn create_node(&self, peer: &Peer, known: Vec<Peer>) -> Node {
        let region = self.regions[&peer.zone].clone();
        let tuning = Tuning {
            backoff: false,
            silence: false,
            ..Tuning::default()
        };
        let mut limits = Limits::new(peer.zone.clone(), region, tuning);
        let keys = self.servers.iter().map(|server| {
            let upstream = Upstream {
                id: server.id.clone(),
                addr: "10.0.0.1:80".parse().unwrap(),
                zone: server.zone.clone(),
                region: self.regions[&server.zone].clone(),
                slots: 5,
                connections: 90,
            };
            limits.set_upstream(&upstream, Some(20))
        });
        let keys = keys.collect();
        let mut peers = Peers::default();
        peers.set(known);
        Node {
            name: peer.node.to_string(),
            peers,
            limits,
            keys,
            learned: [None; 2],
        }
    }

    fn share(&self, node: &Node, server: usize) -> QuotaShare {
        find_quota_share(
            &node.peers,
            &self.regions,
            &node.name,
            &self.servers[server],
        )
    }

    /// Sends one request from a gateway to its best server; a reply tells the limit.
    fn send(&mut self, at: usize) {
        let now = self.now;
        let node = &mut self.nodes[at];
        let picked =
            node.limits
                .pick_fastest(node.keys.iter().copied(), TYPICAL, now, &mut self.rng);
        let Ok(key) = picked else {
            return;
        };
        let server = node.keys.iter().position(|other| *other == key).unwrap();
        let permit = node.limits.acquire(key, now).unwrap();
        node.limits
            .release(permit, AttemptOutcome::Replied, now + REPLY_TIME);
        self.sent[server] += 1;
        if server == 2 {
            return;
        }
        let has_learned = |learned: Instant| now >= learned + LEARN_TIME;
        if self.nodes[at].learned[server].is_some_and(has_learned) {
            self.counted[server].push(now);
        }
        let share = self.share(&self.nodes[at], server);
        let notice = match self.is_limited {
            true => LimitNotice::Named(self.load.limits[server]),
            false => LimitNotice::Unnamed,
        };
        let node = &mut self.nodes[at];
        let id = self.servers[server].id.clone();
        node.limits
            .record_limit(&id, notice, share, (now, now + REPLY_TIME), &mut self.rng);
        if self.is_limited {
            node.learned[server].get_or_insert(now + REPLY_TIME);
        }
    }

    /// Plays requests at `rate` for a time, distributed over the gateways at random; shards get them from holders only.
    fn run(&mut self, time: Duration, rate: f64) {
        let end = self.now + time;
        let senders: Vec<usize> = (0..self.nodes.len())
            .filter(|at| !self.load.is_shard || self.is_holder(*at))
            .collect();
        while self.now < end {
            let mut expected = rate * STEP.as_secs_f64();
            while self.rng.random::<f64>() < expected {
                let at = senders[self.rng.random_range(0..senders.len())];
                self.send(at);
                expected -= 1.0;
            }
            self.now += STEP;
        }
    }

    /// Returns whether a gateway sends to the shard on behalf of its zone; a limit that is never reached is divided by
    /// all that do.
    fn is_holder(&self, at: usize) -> bool {
        let node = &self.nodes[at];
        let server = LimitedServer {
            id: "i-0".into(),
            service: "shard".into(),
            zone: zone_name(0),
            replicas: vec![zone_name(0)],
            is_shard: true,
            rate: f64::MAX,
        };
        let share = find_quota_share(&node.peers, &self.regions, &node.name, &server);
        matches!(share, QuotaShare::Sender { .. })
    }

    /// Checks every window against one and a half times the limit and 5 requests more.
    fn check(&self) {
        for (times, limit) in self.counted.iter().zip(self.load.limits) {
            let most = limit * 1.5 * WINDOW.as_secs_f64() + 5.0;
            for (at, end) in times.iter().enumerate() {
                let in_window = times[..=at]
                    .iter()
                    .rev()
                    .take_while(|time| **time + WINDOW > *end);
                let count = in_window.count();
                let second = end.duration_since(self.start).as_secs_f64();
                assert!(
                    count as f64 <= most,
                    "{count} requests, at most {most}, at {second:.1} s"
                );
            }
        }
    }

    /// Returns which fraction of the limits was used.
    fn utilization(&self, time: Duration) -> f64 {
        let allowed: f64 = self.load.limits.iter().sum::<f64>() * time.as_secs_f64();
        (self.counted[0].len() + self.counted[1].len()) as f64 / allowed
    }
}

fn create_peer(at: usize, zones: usize) -> Peer {
    Peer {
        node: format!("n-{at:03}").into(),
        zone: zone_name(at % zones),
        addr: "10.0.0.2:7740".parse().unwrap(),
        cores: if at.is_multiple_of(5) { 0.5 } else { 0.1 },
    }
}

macro_rules! limited_servers_get_what_they_named {
    ($($name:ident: $zones:literal, $gateways:literal, $limits:expr, $rate:literal, $is_shard:literal, $used:literal;)+) => {
        /// Guards against more requests than a server has named from all gateways together, and against gateways that
        /// use too little of it although each of them has requests.
        #[rstest]
        $(#[case::$name($zones, $gateways, $limits, $rate, $is_shard, $used)])+
        fn limited_servers_get_what_they_named(
            #[case] zones: usize,
            #[case] gateways: usize,
            #[case] limits: [f64; 2],
            #[case] rate: f64,
            #[case] is_shard: bool,
            #[case] least_used: f64,
            #[values(1, 2, 3)] seed: u64,
        ) {
            let mut fleet = Fleet::new(Load { zones, gateways, limits, is_shard, seed });
            fleet.run(Duration::from_secs(20), rate);
            // A long lull must not save up requests for the load after it.
            fleet.run(Duration::from_secs(120), 0.0);
            fleet.run(Duration::from_secs(10), rate * 3.0);
            fleet.check();
            let used = fleet.utilization(Duration::from_secs(30));
            assert!(used >= least_used, "only {used:.2} of the limits were used");
        }
    };
}

limited_servers_get_what_they_named! {
    small_fleet: 3, 18, [10.0, 40.0], 180.0, false, 0.5;
    small_limits: 3, 18, [5.0, 2.0], 180.0, false, 0.5;
    limits_near_zero: 3, 18, [0.5, 0.0], 180.0, false, 0.5;
    holders: 6, 112, [10.0, 40.0], 180.0, true, 0.5;
    holders_with_small_limits: 6, 295, [5.0, 3.0], 110.0, true, 0.5;
    // Few gateways send, and each of them gets few requests.
    large_fleet_without_holders: 6, 295, [10.0, 40.0], 180.0, false, 0.0;
    large_fleet_with_small_limits: 6, 295, [5.0, 2.0], 180.0, false, 0.0;
}

/// Guards against more requests than named while half of the gateways don't know of some others, and while gateways are
/// restarted one after the other.
#[rstest]
fn limit_holds_while_gateways_disagree_and_restart(
    #[values((3, 18), (6, 115))] (zones, gateways): (usize, usize),
    #[values(1, 2, 3)] seed: u64,
) {
    let limits = [8.0, 30.0];
    let mut fleet = Fleet::new(Load {
        zones,
        gateways,
        limits,
        is_shard: false,
        seed,
    });
    for at in 0..gateways / 2 {
        let known: Vec<Peer> = (0..gateways)
            .filter(|other| *other < gateways - 3 || *other == at)
            .map(|other| create_peer(other, zones))
            .collect();
        fleet.nodes[at].peers.set(known);
    }
    for at in 0..gateways {
        fleet.run(Duration::from_secs(1), 200.0);
        let peer = create_peer(at, zones);
        let known = (0..gateways)
            .map(|other| create_peer(other, zones))
            .collect();
        fleet.nodes[at] = fleet.create_node(&peer, known);
    }
    fleet.check();
}

/// Guards against gateways that go on holding back after a server has stopped to name its limit, and against one whose
/// reply to an old request ends a limit.
#[test]
fn server_gets_its_full_share_once_it_names_no_limit() {
    let (zones, gateways, limits) = (3, 18, [5.0, 5.0]);
    let mut fleet = Fleet::new(Load {
        zones,
        gateways,
        limits,
        is_shard: false,
        seed: 1,
    });
    fleet.run(Duration::from_secs(10), 180.0);
    let at = (0..gateways)
        .find(|at| fleet.nodes[*at].learned[0].is_some())
        .unwrap();
    let (now, id) = (fleet.now, fleet.servers[0].id.clone());
    let share = fleet.share(&fleet.nodes[at], 0);
    let limits = &mut fleet.nodes[at].limits;
    let old = (fleet.start, now);
    let change = limits.record_limit(&id, LimitNotice::Unnamed, share, old, &mut fleet.rng);
    assert_eq!(change, LimitChange::Unchanged);
    fleet.is_limited = false;
    fleet.run(Duration::from_secs(30), 180.0);
    let before = fleet.sent;
    fleet.run(Duration::from_secs(10), 180.0);
    let gained = fleet.sent[0] - before[0];
    // The server is the nearest one for a third of the gateways.
    assert!(gained > 180 * 10 / 4, "{gained} requests in 10 s");
}
