//! An upgrade, during which a gateway of the newer build reaches no server and those of the older one do.
//!
//! Usage: upgrade RECORD. With TROUBLE=0 all links are whole. The rule DENIED is broken if more than 5 + one in 500 of all
//! requests end with a 4xx of the gateways' own (other than 408, 421 and 429), though they are proper.

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

/// The build that is in production when the day begins; review/build-2.sh makes it from the history.
const OLDER: &str = "target/review-2/older/release/limpetwick-gateway";

const SERVERS: usize = 6;
const WORK: Duration = Duration::from_millis(90);
const DEADLINE_MS: u64 = 4_000;

/// Requests a second at each gateway.
const RATE: f64 = 12.5;

/// Length of the cut, and of the calm before and after it.
const CUT_TIME: Duration = Duration::from_secs(8);
const CALM_TIME: Duration = Duration::from_secs(6);

const CONFIG: &str = r#"{"version": 1, "routes": [{"name": "letters", "host": "h.example", "path_prefix": "/letters/", "type": "unsafe",
"timeout_ms": 4000, "slo_ms": 400, "priority": 2, "max_attempts": 3, "backend": "letters"}],
"backends": [{"name": "letters", "health_path": "/health", "max_conns": 105}],
"limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}"#;

/// One request: the number of its gateway, its id, its status and whether a server has answered it.
type Outcome = (usize, String, u16, bool);

fn main() {
    let Some(path) = std::env::args().nth(1) else {
        rig::give_up("usage: upgrade RECORD");
    };
    let record = Record::create(&PathBuf::from(path));
    let folder = make_folder("upgrade");
    let servers: Vec<_> = (0..SERVERS)
        .map(|at| {
            Server::start(
                &format!("i-{at}"),
                "letters",
                3,
                &record,
                |server, request, stream| {
                    let id = server.run(request);
                    std::thread::sleep(WORK);
                    server.reply(&id, &[7; 1_500], stream)
                },
            )
        })
        .collect();
    let store = Store::new();
    store.put("config", "main", CONFIG);
    for server in &servers {
        store.put("servers", &server.id, &server.entry("za", 6, 1));
    }
    let figures = Figures {
        memory_mb: 182,
        contact_ms: 5_000,
        grace_s: 6,
    };
    let mut gateways: Vec<Gateway> = ["za", "zb", "zc"]
        .iter()
        .enumerate()
        .map(|(at, zone)| {
            let view = store.serve(view_of(&servers, at));
            Gateway::start_program(
                OLDER,
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
    std::thread::sleep(Duration::from_secs(3));
    // The upgrade replaces one machine after the other; this is the moment after the first.
    gateways[0].upgrade();
    gateways[0].wait_ready();
    record.say(&format!(
        "{:.1} s: {} runs the newer build",
        record.seconds(),
        gateways[0].name
    ));
    // Each gateway lists the others every 12 seconds.
    std::thread::sleep(Duration::from_secs(16));
    let stop = Arc::new(AtomicBool::new(false));
    let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    let mut threads = Vec::new();
    for (at, gateway) in gateways.iter().enumerate() {
        let (front, stop, outcomes) = (gateway.front, Arc::clone(&stop), Arc::clone(&outcomes));
        let record = Arc::clone(&record);
        threads.push(std::thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                let (outcomes, record) = (Arc::clone(&outcomes), Arc::clone(&record));
                std::thread::spawn(move || ask(at, front, &record, &outcomes));
                std::thread::sleep(Duration::from_secs_f64(1.0 / RATE));
            }
        }));
    }
    std::thread::sleep(CALM_TIME);
    if has_trouble() {
        record.say(&format!(
            "{:.1} s: {} reaches no server",
            record.seconds(),
            gateways[0].name
        ));
        servers.iter().for_each(|server| server.cut(0));
    }
    std::thread::sleep(CUT_TIME);
    if has_trouble() {
        servers.iter().for_each(|server| server.open(0));
        record.say(&format!(
            "{:.1} s: {} reaches the servers again",
            record.seconds(),
            gateways[0].name
        ));
    }
    std::thread::sleep(CALM_TIME);
    stop.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    std::thread::sleep(Duration::from_millis(1_000));
    drop(gateways);
    let _ = std::fs::remove_dir_all(folder);
    let outcomes = outcomes.lock().unwrap();
    let is_denied =
        |status: u16| (400..500).contains(&status) && ![408, 421, 429].contains(&status);
    let denied = outcomes
        .iter()
        .filter(|(_, _, status, by_server)| is_denied(*status) && !by_server)
        .count();
    let served = outcomes
        .iter()
        .filter(|(_, _, status, _)| *status == 200)
        .count();
    let mut statuses: Vec<u16> = outcomes.iter().map(|(_, _, status, _)| *status).collect();
    statuses.sort_unstable();
    statuses.dedup();
    for status in statuses {
        let at = |gateway: usize| {
            outcomes
                .iter()
                .filter(|(at, _, other, _)| *at == gateway && *other == status)
                .count()
        };
        record.say(&format!(
            "status {status}: {} at the newer gateway, {} at the others",
            at(0),
            at(1) + at(2)
        ));
    }
    record.say(&format!(
        "{served} of {} requests were served, {denied} denied",
        outcomes.len()
    ));
    if !has_trouble() && served * 100 < outcomes.len() * 95 {
        rig::give_up("too few requests were served without trouble");
    }
    let broken = denied * 500 > 5 * 500 + outcomes.len();
    record.say(if broken {
        "DENIED: broken"
    } else {
        "DENIED: held"
    });
    std::process::exit(i32::from(broken));
}

fn ask(gateway: usize, front: SocketAddr, record: &Record, outcomes: &Mutex<Vec<Outcome>>) {
    let id = next_id();
    record.line(&format!("sent {id} to gateway {gateway}"));
    let text = build_request(
        "POST",
        "h.example",
        &format!("/letters/{id}"),
        &id,
        DEADLINE_MS,
        "a letter",
    );
    let answer = try_once(front, &text, Duration::from_millis(DEADLINE_MS));
    let status = answer.as_ref().map_or(0, |answer| answer.status());
    let by_server = answer.is_some_and(|answer| answer.header("x-response-stamp").is_some());
    record.line(&format!("answered {id} with {status}"));
    outcomes
        .lock()
        .unwrap()
        .push((gateway, id, status, by_server));
}
