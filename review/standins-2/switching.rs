//! Servers whose answers are spoiled into the head of a switch of protocols, for which nobody asked.
//!
//! Usage: switching RECORD. With TROUBLE=0 no answer is spoiled. The rule MIXED is broken if a client gets bytes that
//! are no answer: a status 101 to a request without an `Upgrade` header.

#[allow(dead_code, reason = "other cases use the rest")]
mod rig;

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rig::Figures;
use rig::Gateway;
use rig::Message;
use rig::Record;
use rig::Server;
use rig::Store;
use rig::build_request;
use rig::has_trouble;
use rig::make_folder;
use rig::next_id;
use rig::own_ip;
use rig::read_message;
use rig::view_of;

/// Servers of the service, and those of them that spoil answers: a third.
const SERVERS: usize = 6;
const SPOILING: usize = 2;

/// Of the answers of such a server, one in this many is spoiled.
const SPOILED_OF: u64 = 50;

const WORK: Duration = Duration::from_millis(50);
const DEADLINE_MS: u64 = 10_000;
const CLIENTS: usize = 8;
const TIME: Duration = Duration::from_secs(20);

const CONFIG: &str = r#"{"version": 1, "routes": [{"name": "archive", "host": "h.example", "path_prefix": "/archive/", "type": "safe",
"timeout_ms": 10000, "slo_ms": 1000, "priority": 2, "max_attempts": 3, "backend": "archive"}],
"backends": [{"name": "archive", "health_path": "/health", "max_conns": 248}],
"limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}"#;

/// Statuses that clients got.
type Statuses = Arc<Mutex<Vec<u16>>>;

fn main() {
    let Some(path) = std::env::args().nth(1) else {
        rig::give_up("usage: switching RECORD");
    };
    let record = Record::create(&PathBuf::from(path));
    let folder = make_folder("switching");
    let answers = Arc::new(AtomicU64::new(0));
    let spoiled = Arc::new(AtomicU64::new(0));
    let servers: Vec<_> = (0..SERVERS)
        .map(|at| {
            let (answers, spoiled) = (Arc::clone(&answers), Arc::clone(&spoiled));
            Server::start(
                &format!("i-{at}"),
                "archive",
                1,
                &record,
                move |server, request, stream| {
                    let id = server.run(request);
                    std::thread::sleep(WORK);
                    let is_spoiling = at < SPOILING && has_trouble();
                    if is_spoiling && answers.fetch_add(1, Ordering::SeqCst) % SPOILED_OF == 0 {
                        spoiled.fetch_add(1, Ordering::SeqCst);
                        server
                            .record
                            .line(&format!("spoiled the answer to {id} at {}", server.id));
                        stream.write_all(b"HTTP/1.1 101 Switching Protocols\r\n\r\n")?;
                        // The server itself breaks nothing off: it waits for the gateway.
                        return Ok(true);
                    }
                    server.reply(&id, &[7; 1_500], stream)
                },
            )
        })
        .collect();
    let store = Store::new();
    store.put("config", "main", CONFIG);
    for server in &servers {
        store.put("servers", &server.id, &server.entry("za", 3, 1));
    }
    let figures = Figures {
        memory_mb: 182,
        contact_ms: 5_000,
        grace_s: 6,
    };
    let view = store.serve(view_of(&servers, 0));
    let gateway = Gateway::start("front-za-1", &own_ip(2), "za", view, &figures, &folder);
    gateway.wait_ready();
    std::thread::sleep(Duration::from_secs(1));
    let stop = Arc::new(AtomicBool::new(false));
    let statuses = Statuses::default();
    let threads: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let (front, record) = (gateway.front, Arc::clone(&record));
            let (stop, statuses) = (Arc::clone(&stop), Arc::clone(&statuses));
            std::thread::spawn(move || run_client(front, &record, &stop, &statuses))
        })
        .collect();
    std::thread::sleep(TIME);
    stop.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    drop(gateway);
    let _ = std::fs::remove_dir_all(folder);
    let statuses = statuses.lock().unwrap();
    let count = |status: u16| statuses.iter().filter(|other| **other == status).count();
    let (all, served, switched) = (statuses.len(), count(200), count(101));
    record.say(&format!(
        "{served} of {all} requests were served, {} answers of servers were spoiled",
        spoiled.load(Ordering::SeqCst)
    ));
    record.say(&format!(
        "{switched} clients got a status 101 for which they had not asked"
    ));
    if served * 10 < all * 9 {
        rig::give_up("too few requests were served");
    }
    let broken = switched > 0;
    record.say(if broken {
        "MIXED: broken"
    } else {
        "MIXED: held"
    });
    std::process::exit(i32::from(broken));
}

/// Sends one request after the other on a connection that is kept, until `stop` is set.
fn run_client(front: SocketAddr, record: &Record, stop: &AtomicBool, statuses: &Mutex<Vec<u16>>) {
    let mut kept: Option<TcpStream> = None;
    while !stop.load(Ordering::SeqCst) {
        let stream = kept.take().or_else(|| TcpStream::connect(front).ok());
        let Some(mut stream) = stream else {
            continue;
        };
        let id = next_id();
        record.line(&format!("sent {id}"));
        let answer = exchange(&mut stream, &id).ok().flatten();
        let status = answer.as_ref().map_or(0, Message::status);
        record.line(&format!("answered {id} with {status}"));
        statuses.lock().unwrap().push(status);
        if status == 200 {
            kept = Some(stream);
        }
    }
}

fn exchange(stream: &mut TcpStream, id: &str) -> std::io::Result<Option<Message>> {
    let text = build_request(
        "GET",
        "h.example",
        &format!("/archive/{id}"),
        id,
        DEADLINE_MS,
        "",
    );
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS)))?;
    stream.write_all(text.as_bytes())?;
    read_message(stream, &mut Vec::new(), true)
}
