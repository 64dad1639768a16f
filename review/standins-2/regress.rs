//! A gateway whose requests another one serves by a newer configuration, and that goes back to its older one.
//!
//! Usage: regress RECORD. With TROUBLE=0 neither of the disruptions happens. The rule CONFIG is broken if a request that
//! was sent to a gateway later than `rollback_slack_ms` after a server saw the effect of version 2 through that gateway
//! is run as only version 1 allows, in one incarnation of the gateway's process.

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

/// Servers of each of the two services.
const COPIES: usize = 3;

const WORK: Duration = Duration::from_millis(90);
const DEADLINE_MS: u64 = 4_000;

/// `rollback_slack_ms`, in seconds.
const SLACK: f64 = 0.25;

/// Requests a second at the gateway that is judged.
const RATE: f64 = 12.5;

/// When things happen, in seconds from the start of traffic: the store turns the gateway away, the operator writes
/// version 2, the gateway reaches no server, and both ends.
const REFUSED_AT: f64 = 3.0;
const VERSION_AT: f64 = 4.0;
const CUT_AT: f64 = 5.0;
const LINKED_AT: f64 = 9.0;
const SERVED_AT: f64 = 12.0;
const END: f64 = 17.0;

/// One request: when it was sent, its id and the status of its answer.
type Outcome = (f64, String, u16);

fn main() {
    let Some(path) = std::env::args().nth(1) else {
        rig::give_up("usage: regress RECORD");
    };
    let record = Record::create(&PathBuf::from(path));
    let folder = make_folder("regress");
    let runs: Arc<Mutex<Vec<(f64, String, String)>>> = Arc::default();
    let mut servers = Vec::new();
    for service in ["old", "new"] {
        for copy in 0..COPIES {
            let runs = Arc::clone(&runs);
            servers.push(Server::start(
                &format!("i-{service}-{copy}"),
                service,
                2,
                &record,
                move |server, request, stream| {
                    let id = server.run(request);
                    runs.lock().unwrap().push((
                        server.record.seconds(),
                        id.clone(),
                        server.service.clone(),
                    ));
                    std::thread::sleep(WORK);
                    server.reply(&id, &[7; 400], stream)
                },
            ));
        }
    }
    let store = Store::new();
    store.put("config", "main", &configuration(1, "old"));
    for server in &servers {
        store.put("servers", &server.id, &server.entry("za", 6, 1));
    }
    let figures = Figures {
        memory_mb: 182,
        contact_ms: 5_000,
        grace_s: 6,
    };
    let refusing = Arc::new(AtomicBool::new(false));
    let views = [
        store.serve_unless(Arc::clone(&refusing), view_of(&servers, 0)),
        store.serve(view_of(&servers, 1)),
    ];
    let gateways: Vec<Gateway> = ["za", "zb"]
        .iter()
        .enumerate()
        .map(|(at, zone)| {
            Gateway::start(
                &format!("front-{zone}-1"),
                &own_ip(at + 2),
                zone,
                views[at],
                &figures,
                &folder,
            )
        })
        .collect();
    for gateway in &gateways {
        gateway.wait_ready();
    }
    // Each gateway lists the others every 12 seconds.
    std::thread::sleep(Duration::from_secs(16));
    let stop = Arc::new(AtomicBool::new(false));
    let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    let began = record.seconds();
    let client = {
        let (front, stop, outcomes) = (gateways[0].front, Arc::clone(&stop), Arc::clone(&outcomes));
        let record = Arc::clone(&record);
        std::thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                let (outcomes, record) = (Arc::clone(&outcomes), Arc::clone(&record));
                std::thread::spawn(move || ask(front, &record, &outcomes));
                std::thread::sleep(Duration::from_secs_f64(1.0 / RATE));
            }
        })
    };
    let wait_until = |at: f64| {
        let left = began + at - record.seconds();
        std::thread::sleep(Duration::from_secs_f64(left.max(0.0)));
    };
    let name = &gateways[0].name;
    wait_until(REFUSED_AT);
    if has_trouble() {
        record.say(&format!(
            "{:.1} s: the store turns {name} away",
            record.seconds()
        ));
        refusing.store(true, Ordering::SeqCst);
    }
    wait_until(VERSION_AT);
    record.say(&format!(
        "{:.1} s: the operator writes version 2",
        record.seconds()
    ));
    store.put("config", "main", &configuration(2, "new"));
    wait_until(CUT_AT);
    if has_trouble() {
        record.say(&format!(
            "{:.1} s: {name} reaches no server",
            record.seconds()
        ));
        servers.iter().for_each(|server| server.cut(0));
    }
    wait_until(LINKED_AT);
    if has_trouble() {
        servers.iter().for_each(|server| server.open(0));
        record.say(&format!(
            "{:.1} s: {name} reaches the servers again",
            record.seconds()
        ));
    }
    wait_until(SERVED_AT);
    if has_trouble() {
        refusing.store(false, Ordering::SeqCst);
        record.say(&format!(
            "{:.1} s: the store serves {name} again",
            record.seconds()
        ));
    }
    wait_until(END);
    stop.store(true, Ordering::SeqCst);
    let _ = client.join();
    std::thread::sleep(Duration::from_millis(1_000));
    drop(gateways);
    let _ = std::fs::remove_dir_all(folder);
    let (outcomes, runs) = (outcomes.lock().unwrap(), runs.lock().unwrap());
    let sent_here = |id: &str| outcomes.iter().find(|(_, other, _)| other == id);
    let of_service =
        |name: &'static str| runs.iter().filter(move |(_, _, service)| service == name);
    let first = of_service("new")
        .filter(|(_, id, _)| sent_here(id).is_some())
        .map(|(at, ..)| *at);
    let first = first.fold(f64::INFINITY, f64::min);
    let late = of_service("old")
        .filter(|(_, id, _)| sent_here(id).is_some_and(|(sent, ..)| *sent > first + SLACK));
    let late = late.count();
    let served = outcomes
        .iter()
        .filter(|(_, _, status)| *status == 200)
        .count();
    record.say(&format!(
        "{served} of {} requests were served",
        outcomes.len()
    ));
    record.say(&format!(
        "a server first saw the effect of version 2 at {first:.1} s"
    ));
    record.say(&format!(
        "{late} requests that were sent over 0.25 s later were run as only version 1 allows"
    ));
    if served * 100 < outcomes.len() * 90 {
        rig::give_up("too few requests were served");
    }
    let broken = late > 0;
    record.say(if broken {
        "CONFIG: broken"
    } else {
        "CONFIG: held"
    });
    std::process::exit(i32::from(broken));
}

fn configuration(version: u64, service: &str) -> String {
    format!(
        r#"{{"version": {version}, "routes": [{{"name": "card", "host": "h.example", "path_prefix": "/card/", "type": "safe",
"timeout_ms": 4000, "slo_ms": 400, "priority": 2, "max_attempts": 3, "backend": "{service}"}}],
"backends": [{{"name": "old", "health_path": "/health", "max_conns": 105}},
{{"name": "new", "health_path": "/health", "max_conns": 105}}],
"limits": {{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}}}"#
    )
}

fn ask(front: SocketAddr, record: &Record, outcomes: &Mutex<Vec<Outcome>>) {
    let (id, sent) = (next_id(), record.seconds());
    record.line(&format!("sent {id}"));
    let text = build_request(
        "GET",
        "h.example",
        &format!("/card/{id}"),
        &id,
        DEADLINE_MS,
        "",
    );
    let answer = try_once(front, &text, Duration::from_millis(DEADLINE_MS));
    let status = answer.map_or(0, |answer| answer.status());
    record.line(&format!("answered {id} with {status}"));
    outcomes.lock().unwrap().push((sent, id, status));
}
