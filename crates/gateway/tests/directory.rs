//! Tests which servers may receive requests.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use gateway::ASSUMED_NODES;
use gateway::Directory;
use gateway::RequestLimits;
use gateway::Route;
use gateway::RouteTable;
use gateway::Server;
use gateway::ServerChange;
use gateway::Service;
use gateway::Settings;
use gateway::ShardSenders;
use gateway::Target;
use limit::Limits;
use limit::RepeatRule;
use limit::Tuning;
use rstest::rstest;

struct Rig {
    directory: Directory,
    limits: Limits,
    settings: Settings,
}

impl Rig {
    fn new() -> Rig {
        let addr = "127.0.0.1:1".parse().unwrap();
        let settings = Settings {
            node: "n".into(),
            zone: "z".into(),
            region: "r".into(),
            regions: HashMap::from([("z".into(), "r".into())]),
            front: addr,
            ready: addr,
            peer: addr,
            control: None,
            seeds: Vec::new(),
            metrics: None,
            store: addr,
            grace: Duration::from_secs(6),
            apply_time: Duration::from_secs(3),
            memory_bytes: 100_000_000,
            cores: 0.2,
            max_fds: 2_000,
            repeats: RepeatRule {
                ratio: 0.2,
                slack: 100.0,
                nodes: ASSUMED_NODES,
            },
        };
        Rig {
            directory: Directory::new(),
            limits: Limits::new("z".into(), "r".into(), Tuning::default()),
            settings,
        }
    }

    fn update(&mut self, server: Server) -> ServerChange {
        self.directory
            .update(server, &self.settings, None, &mut self.limits)
    }

    fn count_usable(&self, service: &str) -> usize {
        self.directory.replicas().get(service).map_or(0, Vec::len)
    }
}

fn server(sequence: u64) -> Server {
    Server {
        id: "i-1".into(),
        service: "one".into(),
        addr: "127.0.0.1:9001".parse().unwrap(),
        zone: "z".into(),
        slots: 2,
        draining: false,
        start_ms: Some(1_000),
        sequence,
        revision: 7,
    }
}

fn draining(sequence: u64) -> Server {
    Server {
        draining: true,
        ..server(sequence)
    }
}

/// Guards against requests to a server that drains, and against a delayed older report that seems to end the drain.
#[test]
fn drain_is_not_undone_by_an_older_report() {
    let mut rig = Rig::new();
    assert!(matches!(rig.update(server(3)), ServerChange::Added(_)));
    assert!(matches!(rig.update(draining(5)), ServerChange::Dropped(_)));
    assert_eq!(rig.update(server(4)), ServerChange::Stale);
    assert_eq!(rig.count_usable("one"), 0);
}

/// Guards against a report of an earlier run that hides a server restarted under the same id.
#[test]
fn restarted_server_replaces_its_earlier_run() {
    let mut rig = Rig::new();
    rig.update(draining(90));
    let restarted = Server {
        start_ms: Some(2_000),
        ..server(1)
    };
    assert!(matches!(rig.update(restarted), ServerChange::Added(_)));
    assert_eq!(rig.update(draining(91)), ServerChange::Stale);
    assert_eq!(rig.count_usable("one"), 1);
}

/// Guards against statistics of one run that count for the next one, such as connections, latencies and failures.
#[test]
fn restarted_server_gets_a_new_gate() {
    let mut rig = Rig::new();
    let ServerChange::Added(first) = rig.update(server(1)) else {
        panic!("not added");
    };
    let restarted = Server {
        start_ms: Some(2_000),
        ..server(1)
    };
    let ServerChange::Added(second) = rig.update(restarted) else {
        panic!("not added");
    };
    assert_ne!(first, second);
    assert_eq!(rig.directory.endpoint(first), None);
}

/// Guards against a server that belongs to two services after its entry has changed.
#[test]
fn server_belongs_to_one_service() {
    let mut rig = Rig::new();
    rig.update(server(1));
    let moved = Server {
        service: "two".into(),
        ..server(2)
    };
    rig.update(moved);
    assert_eq!((rig.count_usable("one"), rig.count_usable("two")), (0, 1));
}

/// Guards against requests that still reach the server which took over an address, where each counts as a repeat (first
/// seen in run 7cf293cc of trouble-3 with seed 872730943882).
#[test]
fn displaced_server_waits_for_a_later_report() {
    let mut rig = Rig::new();
    let ServerChange::Added(key) = rig.update(server(3)) else {
        panic!("not added");
    };
    rig.directory.mark_displaced(key, &mut rig.limits);
    assert_eq!(rig.count_usable("one"), 0);
    assert_eq!(rig.update(server(3)), ServerChange::Stale);
    assert_eq!(rig.count_usable("one"), 0);
    assert!(matches!(rig.update(server(4)), ServerChange::Added(_)));
}

/// Guards against losing every server whose entry expires during an outage of the store, and against keeping those that
/// have stopped.
#[test]
fn expired_server_has_time_to_register_again() {
    let mut rig = Rig::new();
    let now = Instant::now();
    rig.update(server(1));
    rig.directory.defer_removal(&"i-1".into(), now);
    let soon = now + Duration::from_millis(1_500);
    assert!(
        rig.directory
            .remove_expired(soon, &mut rig.limits)
            .is_empty()
    );
    assert_eq!(rig.count_usable("one"), 1);
    rig.update(server(2));
    let later = now + Duration::from_secs(9);
    assert!(
        rig.directory
            .remove_expired(later, &mut rig.limits)
            .is_empty()
    );

    rig.directory.defer_removal(&"i-1".into(), later);
    let end = later + Duration::from_millis(2_500);
    let expired = rig.directory.remove_expired(end, &mut rig.limits);
    // The returned change lets the gateway close the server's connections and count it.
    assert!(matches!(&expired[..], [(id, ServerChange::Dropped(_))] if id == "i-1"));
    assert_eq!(rig.count_usable("one"), 0);
}

/// Guards against requests to a removed server.
#[test]
fn removed_server_is_dropped() {
    let mut rig = Rig::new();
    rig.update(server(1));
    assert!(matches!(
        rig.directory
            .remove(&"i-1".into(), Instant::now(), &mut rig.limits),
        ServerChange::Dropped(_)
    ));
    assert!(rig.directory.is_empty());
}

/// Guards against requests to a server that has left, because a restore of the store shows an earlier report again; and
/// against a server that stays unused although it registers again.
#[rstest]
#[case::last_report(server(5), false)]
#[case::earlier_report(server(4), false)]
#[case::earlier_run(Server { start_ms: Some(900), ..server(9) }, false)]
#[case::without_start_time(Server { start_ms: None, ..server(9) }, false)]
#[case::registered_again(Server { revision: 8, ..server(5) }, true)]
#[case::later_report(server(6), true)]
#[case::later_run(Server { start_ms: Some(1_100), ..server(1) }, true)]
fn report_from_before_a_removal_is_ignored(#[case] report: Server, #[case] is_used: bool) {
    let mut rig = Rig::new();
    rig.update(server(5));
    let now = Instant::now();
    rig.directory.remove(&"i-1".into(), now, &mut rig.limits);
    rig.directory
        .remove_expired(now + Duration::from_secs(60), &mut rig.limits);
    let change = rig.update(report);
    assert_eq!(rig.count_usable("one"), usize::from(is_used), "{change:?}");
}

/// Returns a configuration with the services `shard`, a shard of a query, and `single`, each with servers that accept
/// 195 connections.
fn create_table() -> RouteTable {
    let route = Route {
        name: "q".into(),
        host: "h".into(),
        prefix: "/".into(),
        target: Target::Shards {
            services: ["shard".into()].into(),
            min_share: 1.0,
            top_k: 3,
        },
        repeatable: true,
        timeout: Duration::from_secs(1),
        objective: Duration::from_secs(1),
        max_runs: 2,
        rank: 0,
    };
    let service = Service { connections: 195 };
    let services = HashMap::from([("shard".into(), service), ("single".into(), service)]);
    let limits = RequestLimits {
        max_head_bytes: 16_384,
        max_body_bytes: 1_000,
        head_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    };
    RouteTable::new(1, vec![route], services, limits)
}

/// Guards against holders that have too few connections to the servers of shards, or all gateways together more than the
/// servers accept; and against shares that stay as they were before the gateways or the configuration were known.
#[test]
fn holders_divide_the_connections_of_shards() {
    const GATEWAYS: u32 = 98;
    const REGION: u32 = 4;
    const ELSEWHERE: u32 = 8;
    const HOLDERS: ShardSenders = ShardSenders::Holders {
        region: REGION,
        elsewhere: ELSEWHERE,
    };
    let table = create_table();
    let mut rig = Rig::new();
    let mut shares = |service: &str, zone: &str, senders| {
        let mut server = server(1);
        server.id = format!("{service}-{zone}").into();
        server.service = service.into();
        server.zone = zone.into();
        let id = server.id.clone();
        rig.update(server);
        rig.directory
            .set_nodes(HashMap::from([("z".into(), GATEWAYS)]), senders);
        rig.directory
            .update_shares(&rig.settings, Some(&table), &mut rig.limits);
        let key = rig.limits.key(&id).unwrap();
        let endpoint = rig.directory.endpoint(key).unwrap();
        let share = rig.limits.gate(key).unwrap().share().unwrap();
        (share, endpoint.keeps_idle)
    };
    assert_eq!(shares("shard", "z", ShardSenders::All), (2, true));
    let (near, _) = shares("shard", "z", HOLDERS);
    let (far, _) = shares("shard", "elsewhere", HOLDERS);
    assert_eq!((near, far), (34, 7));
    assert!(near * REGION + far * ELSEWHERE <= 195);
    assert_eq!(shares("single", "z", HOLDERS), (2, true));
    // Idle connections of all gateways, which seldom send to a shard, would fill its servers.
    assert_eq!(shares("shard", "z", ShardSenders::Others), (2, false));
    assert_eq!(shares("single", "z", ShardSenders::Others), (2, true));
}
