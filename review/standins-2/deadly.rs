//! A request that crashes the servers that run it, at a service of two servers that start again under their ids.
//!
//! Usage: deadly RECORD. With TROUBLE=0 the request crashes nothing. The rule BUDGET is broken if the request reaches
//! servers in more than three tries that were sent later than `contact_ms` after it has crashed the third.

#[allow(dead_code, reason = "other cases use the rest")]
mod rig;

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

/// Servers of the service.
const SERVERS: usize = 2;

/// Time for which a server that has crashed is down.
const DOWN_TIME: Duration = Duration::from_secs(2);

const WORK: Duration = Duration::from_millis(90);
const DEADLINE_MS: u64 = 4_000;
const CONTACT_MS: u64 = 5_000;
const CRASHING: &str = "/book/crashing";

/// Pause between the tries of the crashing request, and their number.
const PAUSE: Duration = Duration::from_millis(2_500);
const TRIES: usize = 16;

/// Tries that may reach servers.
const MAX_TRIES: usize = 3;

const CONFIG: &str = r#"{"version": 1, "routes": [{"name": "book", "host": "h.example", "path_prefix": "/book/", "type": "safe",
"timeout_ms": 4000, "slo_ms": 400, "priority": 2, "max_attempts": 2, "backend": "book"}],
"backends": [{"name": "book", "health_path": "/health", "max_conns": 105}],
"limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}"#;

/// Seconds at which servers crashed.
type Crashes = Arc<Mutex<Vec<f64>>>;

fn main() {
    let Some(path) = std::env::args().nth(1) else {
        rig::give_up("usage: deadly RECORD");
    };
    let record = Record::create(&PathBuf::from(path));
    let folder = make_folder("deadly");
    let crashes = Crashes::default();
    let restart: Arc<Mutex<Vec<String>>> = Arc::default();
    let mut servers = Vec::new();
    for at in 0..SERVERS {
        let (crashes, restart) = (Arc::clone(&crashes), Arc::clone(&restart));
        servers.push(Server::start(
            &format!("i-{at}"),
            "book",
            2,
            &record,
            move |server, request, stream| {
                let id = server.run(request);
                if request.path() == CRASHING && has_trouble() {
                    let seconds = server.record.seconds();
                    server
                        .record
                        .say(&format!("{seconds:.1} s: {} crashes under {id}", server.id));
                    crashes.lock().unwrap().push(seconds);
                    for view in 0..server.links.len() {
                        server.cut(view);
                    }
                    restart.lock().unwrap().push(server.id.clone());
                    return Ok(false);
                }
                std::thread::sleep(WORK);
                server.reply(&id, &[7; 1_500], stream)
            },
        ));
    }
    let store = Store::new();
    store.put("config", "main", CONFIG);
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
    std::thread::sleep(Duration::from_secs(6));
    let stop = Arc::new(AtomicBool::new(false));
    let mut threads = Vec::new();
    {
        let (servers, stop, store) = (servers.clone(), Arc::clone(&stop), Arc::clone(&store));
        let restart = Arc::clone(&restart);
        threads.push(std::thread::spawn(move || {
            restart_servers(&servers, &store, &restart, &stop)
        }));
    }
    let others: Arc<Mutex<(u64, u64)>> = Arc::default();
    for gateway in &gateways {
        let (front, stop, others) = (gateway.front, Arc::clone(&stop), Arc::clone(&others));
        threads.push(std::thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                let id = next_id();
                let text = build_request(
                    "GET",
                    "h.example",
                    &format!("/book/{id}"),
                    &id,
                    DEADLINE_MS,
                    "",
                );
                let answer = try_once(front, &text, Duration::from_millis(DEADLINE_MS));
                let is_served = answer.is_some_and(|answer| answer.status() == 200);
                let mut others = others.lock().unwrap();
                others.0 += 1;
                others.1 += u64::from(is_served);
                drop(others);
                std::thread::sleep(Duration::from_millis(100));
            }
        }));
    }
    // Each try of the crashing request: its id, and when it was sent.
    let mut tries = Vec::new();
    for number in 0..TRIES {
        let (id, sent) = (next_id(), record.seconds());
        let front = gateways[number % gateways.len()].front;
        record.line(&format!("sent {id}, which crashes servers, to {front}"));
        let text = build_request("GET", "h.example", CRASHING, &id, DEADLINE_MS, "");
        let answer = try_once(front, &text, Duration::from_millis(DEADLINE_MS));
        let status = answer.map_or_else(|| "none".to_owned(), |answer| answer.status().to_string());
        record.say(&format!(
            "{sent:.1} s: try {id} of the crashing request, answered {status}"
        ));
        tries.push((id, sent));
        std::thread::sleep(PAUSE);
    }
    stop.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    drop(gateways);
    let _ = std::fs::remove_dir_all(folder);
    let runs: Vec<String> = servers
        .iter()
        .flat_map(|server| server.runs.lock().unwrap().clone())
        .collect();
    let others = *others.lock().unwrap();
    record.say(&format!(
        "other requests: {} of {} served",
        others.1, others.0
    ));
    if others.1 * 100 < others.0 * 95 && !has_trouble() {
        rig::give_up("too few requests were served without trouble");
    }
    let crashes = crashes.lock().unwrap();
    let since = crashes
        .get(2)
        .map_or(f64::INFINITY, |third| third + CONTACT_MS as f64 / 1_000.0);
    let reached = tries
        .iter()
        .filter(|(id, sent)| *sent > since && runs.contains(id))
        .count();
    record.say(&format!(
        "{} crashes; {reached} tries reached servers later than contact_ms after the third",
        crashes.len()
    ));
    let broken = reached > MAX_TRIES;
    record.say(if broken {
        "BUDGET: broken"
    } else {
        "BUDGET: held"
    });
    std::process::exit(i32::from(broken));
}

/// Starts servers again that have crashed, under the ids that they had.
fn restart_servers(
    servers: &[Arc<Server>],
    store: &Store,
    restart: &Mutex<Vec<String>>,
    stop: &AtomicBool,
) {
    let mut born = 1_750_000_000_000_u64;
    while !stop.load(Ordering::SeqCst) {
        std::thread::sleep(Duration::from_millis(20));
        let ids = std::mem::take(&mut *restart.lock().unwrap());
        for id in ids {
            std::thread::sleep(DOWN_TIME);
            let server = servers.iter().find(|server| server.id == id).unwrap();
            for view in 0..server.links.len() {
                server.open(view);
            }
            born += 10_000;
            let entry = server
                .entry("za", 6, 1)
                .replace("1750000000000", &born.to_string());
            store.put("servers", &server.id, &entry);
        }
    }
}
