//! Equal requests that are in progress while all servers of a service crash at once.
//!
//! Usage: blocked RECORD. With TROUBLE=0 no server crashes. The rule CONFIG is broken if, in steady state, requests on a
//! route that was added later are served less than a quarter as often as those on the first route.

#[allow(dead_code, reason = "other cases use the rest")]
mod rig;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rig::Figures;
use rig::Gateway;
use rig::Record;
use rig::Server;
use rig::Store;
use rig::build_request;
use rig::has_trouble;
use rig::make_folder;
use rig::next_id;
use rig::own_ip;
use rig::try_once;
use rig::view_of;

/// Servers of the service, and the time for which they are down.
const SERVERS: usize = 3;
const DOWN_TIME: Duration = Duration::from_millis(4_500);

const WORK: Duration = Duration::from_millis(90);
const DEADLINE_MS: u64 = 4_000;
const CONTACT_MS: u64 = 5_000;

/// Clients on the first route at each gateway, and on the later one at one of them; their pause after an answer.
const CLIENTS: [usize; 2] = [6, 20];
const THINK: Duration = Duration::from_millis(100);

/// Times of steady state before and after the crash, over which the routes are compared. The second one begins
/// `contact_ms` after the servers are back.
const TIME_BEFORE: Duration = Duration::from_secs(5);
const TIME_AFTER: Duration = Duration::from_secs(18);

/// Least number of requests on the route that was added later.
const LEAST: usize = 20;

/// One request: the number of its route, when it was sent, and whether it was served.
type Outcome = (usize, f64, bool);

fn configuration(version: u64, routes: &[&str]) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|name| {
            format!(
                r#"{{"name": "{name}", "host": "h.example", "path_prefix": "/{name}/", "type": "safe", "timeout_ms": 4000,
"slo_ms": 400, "priority": 2, "max_attempts": 3, "backend": "registry"}}"#
            )
        })
        .collect();
    format!(
        r#"{{"version": {version}, "routes": [{}],
"backends": [{{"name": "registry", "health_path": "/health", "max_conns": 105}}],
"limits": {{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}}}"#,
        routes.join(", ")
    )
}

fn main() {
    let Some(path) = std::env::args().nth(1) else {
        rig::give_up("usage: blocked RECORD");
    };
    let record = Record::create(&PathBuf::from(path));
    let folder = make_folder("blocked");
    let servers: Vec<_> = (0..SERVERS)
        .map(|at| {
            Server::start(
                &format!("i-{at}"),
                "registry",
                2,
                &record,
                |server, request, stream| {
                    let id = server.run(request);
                    std::thread::sleep(WORK);
                    server.reply(&id, &[7; 400], stream)
                },
            )
        })
        .collect();
    let store = Store::new();
    store.put("config", "main", &configuration(1, &["card"]));
    for server in &servers {
        store.put("servers", &server.id, &server.entry("za", 6, 1));
    }
    let figures = Figures {
        memory_mb: 182,
        contact_ms: CONTACT_MS,
        grace_s: 6,
    };
    let gateways: Vec<Gateway> = ["za", "zb"]
        .iter()
        .enumerate()
        .map(|(at, zone)| {
            let view = store.serve(view_of(&servers, at));
            Gateway::start(
                &format!("front-{zone}-1"),
                &own_ip(at + 2),
                zone,
                view,
                &figures,
                &folder,
            )
        })
        .collect();
    for gateway in &gateways {
        gateway.wait_ready();
    }
    std::thread::sleep(Duration::from_secs(2));
    record.say("version 2 adds a route");
    store.put("config", "main", &configuration(2, &["card", "today"]));
    std::thread::sleep(Duration::from_millis(3_000 + 1_000));
    let stop = Arc::new(AtomicBool::new(false));
    let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    let mut threads = Vec::new();
    // The equal requests come at one gateway; the other one serves the first route only.
    for (at, route) in [(0, 0), (1, 0), (1, 1)] {
        for _ in 0..CLIENTS[route] {
            let (front, stop, outcomes) =
                (gateways[at].front, Arc::clone(&stop), Arc::clone(&outcomes));
            let record = Arc::clone(&record);
            threads.push(std::thread::spawn(move || {
                run_client(front, route, &record, &stop, &outcomes)
            }));
        }
    }
    std::thread::sleep(TIME_BEFORE);
    let crashed = record.seconds();
    if has_trouble() {
        record.say(&format!("{crashed:.1} s: all servers of the service crash"));
        Server::crash_all(&servers);
        std::thread::sleep(DOWN_TIME);
        for server in &servers {
            for view in 0..server.links.len() {
                server.open(view);
            }
        }
        record.say(&format!("{:.1} s: the servers are back", record.seconds()));
    }
    std::thread::sleep(Duration::from_millis(CONTACT_MS));
    let steady = record.seconds();
    std::thread::sleep(TIME_AFTER);
    stop.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    for gateway in &gateways {
        for line in gateway.log_lines("crash").iter().take(2) {
            record.line(&format!("{}: {line}", gateway.name));
        }
    }
    drop(gateways);
    let _ = std::fs::remove_dir_all(folder);
    let outcomes = outcomes.lock().unwrap();
    let is_steady = |sent: f64| sent < crashed - 1.0 || sent >= steady;
    let count = |route: usize| {
        let of_route = outcomes
            .iter()
            .filter(|(of, sent, _)| *of == route && is_steady(*sent));
        let served: Vec<bool> = of_route.map(|(.., served)| *served).collect();
        (
            served.iter().filter(|served| **served).count(),
            served.len(),
        )
    };
    let (first, later) = (count(0), count(1));
    record.say(&format!(
        "steady state: first route: {} of {} served",
        first.0, first.1
    ));
    record.say(&format!(
        "steady state: route added later: {} of {} served",
        later.0, later.1
    ));
    if first.0 * 100 < first.1 * 95 {
        rig::give_up("the first route is not served");
    }
    let broken = later.1 >= LEAST && (later.0 * first.1 * 4) < (first.0 * later.1);
    record.say(if broken {
        "CONFIG: broken"
    } else {
        "CONFIG: held"
    });
    std::process::exit(i32::from(broken));
}

/// Sends one request after the other until `stop` is set. Those on the first route have paths of their own, those on the
/// later one are equal, as when many callers ask for the same list.
fn run_client(
    front: SocketAddr,
    route: usize,
    record: &Record,
    stop: &AtomicBool,
    outcomes: &Mutex<Vec<Outcome>>,
) {
    while !stop.load(Ordering::SeqCst) {
        let (id, sent) = (next_id(), record.seconds());
        let path = match route {
            0 => format!("/card/{id}"),
            _ => "/today/list".to_owned(),
        };
        record.line(&format!("sent {id} to {front} path {path}"));
        let text = build_request("GET", "h.example", &path, &id, DEADLINE_MS, "");
        let answer = try_once(front, &text, Duration::from_millis(DEADLINE_MS));
        let status = answer.map_or(0, |answer| answer.status());
        record.line(&format!("answered {id} with {status}"));
        outcomes.lock().unwrap().push((route, sent, status == 200));
        std::thread::sleep(THINK);
    }
}
