//! A gateway that reaches no server, while the gateway that serves its requests stands still for seconds.
//!
//! Usage: frozen RECORD. With TROUBLE=0 neither happens. The rule RECOVER is broken if, from `contact_ms` after the cut
//! began, first tries at the gateway without links are served less than two thirds as often as those at the gateway that
//! is not disturbed, and more than 10 + 1 in 50 of them fail.

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

/// Shards of the query and servers of each, as in the site file.
const SHARDS: usize = 10;
const COPIES: usize = 3;

const WORK: Duration = Duration::from_millis(9);
const PART: [u8; 96] = [7; 96];
const DEADLINE_MS: u64 = 1_200;
const CONTACT_MS: u64 = 5_000;

/// Requests a second at each gateway.
const RATE: f64 = 12.5;

/// Length of the cut; of the calm before it; and of the freeze, which begins [`CONTACT_MS`] after the cut.
const CUT_TIME: Duration = Duration::from_secs(10);
const CALM_TIME: Duration = Duration::from_secs(8);
const FREEZE_TIME: Duration = Duration::from_secs(4);

/// The gateway without links, the one that stands still, and the one that is not disturbed.
const CUT: usize = 0;
const FROZEN: usize = 1;
const CALM: usize = 2;

/// One request: the number of its gateway, when it was sent, and whether it was served.
type Outcome = (usize, f64, bool);

fn main() {
    let Some(path) = std::env::args().nth(1) else {
        rig::give_up("usage: frozen RECORD");
    };
    let record = Record::create(&PathBuf::from(path));
    let folder = make_folder("frozen");
    let mut servers = Vec::new();
    for shard in 0..SHARDS {
        for copy in 0..COPIES {
            let (id, service) = (format!("i-{shard}-{copy}"), format!("desk-{shard}"));
            servers.push(Server::start(
                &id,
                &service,
                3,
                &record,
                |server, request, stream| {
                    let id = server.run(request);
                    std::thread::sleep(WORK);
                    server.reply(&id, &PART, stream)
                },
            ));
        }
    }
    let store = Store::new();
    store.put("config", "main", &configuration());
    for server in &servers {
        store.put("servers", &server.id, &server.entry("zc", 5, 1));
    }
    let figures = Figures {
        memory_mb: 182,
        contact_ms: CONTACT_MS,
        grace_s: 6,
    };
    let gateways: Vec<Gateway> = ["za", "zb", "zc"]
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
            gateways[CUT].name
        ));
        servers.iter().for_each(|server| server.cut(CUT));
    }
    std::thread::sleep(Duration::from_millis(CONTACT_MS));
    let since = record.seconds();
    if has_trouble() {
        record.say(&format!(
            "{:.1} s: {} stands still",
            record.seconds(),
            gateways[FROZEN].name
        ));
        gateways[FROZEN].signal("STOP");
    }
    std::thread::sleep(FREEZE_TIME);
    if has_trouble() {
        gateways[FROZEN].signal("CONT");
        record.say(&format!(
            "{:.1} s: {} goes on",
            record.seconds(),
            gateways[FROZEN].name
        ));
    }
    std::thread::sleep(CUT_TIME - FREEZE_TIME - Duration::from_millis(CONTACT_MS));
    let until = record.seconds();
    if has_trouble() {
        servers.iter().for_each(|server| server.open(CUT));
        record.say(&format!(
            "{:.1} s: {} reaches the servers again",
            until, gateways[CUT].name
        ));
    }
    std::thread::sleep(Duration::from_secs(3));
    stop.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    std::thread::sleep(Duration::from_millis(DEADLINE_MS + 200));
    drop(gateways);
    let _ = std::fs::remove_dir_all(folder);
    let outcomes = outcomes.lock().unwrap();
    let count = |gateway: usize, since: f64, until: f64| {
        let sent = outcomes
            .iter()
            .filter(|(at, sent, _)| *at == gateway && *sent >= since && *sent < until);
        let served: Vec<bool> = sent.map(|(.., served)| *served).collect();
        (
            served.iter().filter(|served| **served).count(),
            served.len(),
        )
    };
    let (cut, calm) = (count(CUT, since, until), count(CALM, since, until));
    let early = count(CUT, since - CONTACT_MS as f64 / 1_000.0 + 1.0, since);
    record.say(&format!(
        "without links, before the freeze: {} of {} served",
        early.0, early.1
    ));
    record.say(&format!(
        "without links, judged: {} of {} served",
        cut.0, cut.1
    ));
    record.say(&format!(
        "not disturbed, judged: {} of {} served",
        calm.0, calm.1
    ));
    if calm.0 * 100 < calm.1 * 95 {
        rig::give_up("the gateway that is not disturbed doesn't serve");
    }
    let is_rarer = cut.0 * calm.1 * 3 < calm.0 * cut.1 * 2;
    let failed = cut.1 - cut.0;
    let broken = is_rarer && failed * 50 > 10 * 50 + cut.1;
    record.say(if broken {
        "RECOVER: broken"
    } else {
        "RECOVER: held"
    });
    std::process::exit(i32::from(broken));
}

fn configuration() -> String {
    let names: Vec<String> = (0..SHARDS)
        .map(|shard| format!("\"desk-{shard}\""))
        .collect();
    let services: Vec<String> = names
        .iter()
        .map(|name| {
            format!("{{\"name\": {name}, \"health_path\": \"/health\", \"max_conns\": 92}}")
        })
        .collect();
    format!(
        r#"{{"version": 1, "routes": [{{"name": "cover", "host": "h.example", "path_prefix": "/cover/", "type": "safe",
"timeout_ms": {DEADLINE_MS}, "slo_ms": 120, "priority": 2, "max_attempts": 3, "gather": [{}], "top_k": 5,
"min_success_share": 0.75}}], "backends": [{}],
"limits": {{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}}}"#,
        names.join(", "),
        services.join(", ")
    )
}

fn ask(gateway: usize, front: SocketAddr, record: &Record, outcomes: &Mutex<Vec<Outcome>>) {
    let (id, sent) = (next_id(), record.seconds());
    record.line(&format!("sent {id} to gateway {gateway}"));
    let text = build_request(
        "GET",
        "h.example",
        &format!("/cover/{id}"),
        &id,
        DEADLINE_MS,
        "",
    );
    let answer = try_once(front, &text, Duration::from_millis(DEADLINE_MS));
    let status = answer.map_or(0, |answer| answer.status());
    record.line(&format!("answered {id} with {status}"));
    outcomes
        .lock()
        .unwrap()
        .push((gateway, sent, status == 200));
}
