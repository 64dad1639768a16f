//! Machines are stopped as planned while requests that may run only once wait in them for busy servers.

mod common;

use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use common::*;

const GATEWAYS: u8 = 1;
const SERVERS: usize = 3;
const SLOTS: usize = 5;
const QUEUE: usize = 30;
const WORK_MS: u64 = 90;
const ROUNDS: usize = 12;
/// Requests to each gateway in a round.
const REQUESTS: usize = 1_180;
/// Requests are sent from this time before the SIGTERM ..
const SENT_BEFORE: Duration = Duration::from_millis(400);
/// .. for this time; the platform's balancer sends connections until its second check after the SIGTERM.
const SENT_FOR: Duration = Duration::from_millis(2_200);
const DEADLINE_MS: u64 = 10_000;
const GRACE: Duration = Duration::from_secs(6);

const CONFIGURATION: &str = r#"{"version":7,"routes":[{"name":"r-post","host":"hufi27.example","path_prefix":"/goka902/","type":"unsafe","timeout_ms":10000,"slo_ms":1000,"priority":2,"backend":"kafi81c","max_attempts":2}],"backends":[{"name":"kafi81c","health_path":"/health","max_conns":248,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

fn main() {
    let case = std::env::args().nth(1).expect("the folder of the case");
    std::process::exit(play(Path::new(&case)));
}

fn play(case: &Path) -> i32 {
    let record = Record::create(case);
    let folder = Folder::create();
    let store = Store::default();
    store.put("config", "main", CONFIGURATION);
    let runs = Runs::default();
    for number in 0..SERVERS {
        let id = format!("i-{number:02}");
        let server = Server::start(&id, "kafi81c", "zrh-a", SLOTS, QUEUE, WORK_MS, &runs, &record);
        store.put("servers", &id, &server.entry("ready", 1));
    }
    let access = store.access();
    let mut gateways: Vec<Gateway> = (1..=GATEWAYS)
        .map(|number| {
            let place = Place { number, zone: "zrh-a", zones: &[("zrh-a", "zurich")], folder: &folder.0 };
            Gateway::start(&place, access.addr)
        })
        .collect();
    let troubled = is_troubled();
    let (mut sent, mut refused, mut broken) = (0, 0, 0);
    for round in 1..=ROUNDS {
        if !gateways.iter().all(|gateway| gateway.wait_ready(Duration::from_secs(10))) {
            record.say("a gateway isn't ready");
            record.flush();
            return COULD_NOT_RUN;
        }
        thread::sleep(Duration::from_millis(300));
        let answers: Arc<Mutex<Vec<(String, String)>>> = Arc::default();
        let clients = start_clients(&gateways, round, &record, &answers);
        thread::sleep(SENT_BEFORE);
        if troubled {
            let stopped = Instant::now();
            for gateway in &gateways {
                record.line(&format!("SIGTERM {}", gateway.name));
                gateway.signal("TERM");
            }
            for gateway in &mut gateways {
                while !gateway.has_exited() {
                    if stopped.elapsed() > GRACE {
                        record.line(&format!("SIGKILL {}", gateway.name));
                        gateway.signal("KILL");
                    }
                    thread::sleep(Duration::from_millis(10));
                }
                record.line(&format!("ended {}", gateway.name));
            }
        }
        for client in clients {
            let _ = client.join();
        }
        // What the servers have accepted has begun to run by now, or never will.
        thread::sleep(Duration::from_millis(800));
        for (id, status) in answers.lock().unwrap().iter() {
            sent += 1;
            if !["408", "421", "429", "503"].contains(&status.as_str()) {
                continue;
            }
            refused += 1;
            for (server, _) in runs.of(id) {
                broken += 1;
                record.say(&format!("REFUSED broken: {id} was answered {status} and ran at {server}"));
            }
        }
        for gateway in &mut gateways {
            if troubled {
                gateway.restart();
            }
        }
    }
    let doubled = runs_twice(&runs);
    record.say(&format!(
        "{sent} requests that may run once; {} runs; {refused} answered 503, 429, 408 or 421; {broken} of these had run; {doubled} ran twice",
        runs.count()
    ));
    record.flush();
    i32::from(broken + doubled > 0) * BROKEN
}

fn runs_twice(runs: &Runs) -> usize {
    let mut twice = 0;
    for round in 1..=ROUNDS {
        for gateway in 0..usize::from(GATEWAYS) {
            for number in 0..REQUESTS {
                twice += usize::from(runs.of(&request_id(round, gateway, number)).len() > 1);
            }
        }
    }
    twice
}

fn request_id(round: usize, gateway: usize, number: usize) -> String {
    format!("{round:04x}{gateway:04x}{number:08x}")
}

fn start_clients(
    gateways: &[Gateway],
    round: usize,
    record: &Record,
    answers: &Arc<Mutex<Vec<(String, String)>>>,
) -> Vec<thread::JoinHandle<()>> {
    let mut clients = Vec::new();
    for (at, gateway) in gateways.iter().enumerate() {
        for number in 0..REQUESTS {
            let (front, record, answers) = (gateway.front, record.clone(), Arc::clone(answers));
            let delay = SENT_FOR.mul_f64(number as f64 / REQUESTS as f64);
            let id = request_id(round, at, number);
            let client = thread::Builder::new().stack_size(128 << 10).spawn(move || {
                thread::sleep(delay);
                let body = format!("instalment {id}");
                let request = format!(
                    "POST /goka902/2f HTTP/1.1\r\nHost: hufi27.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {DEADLINE_MS}\r\nContent-Length: {}\r\n\r\n{body}",
                    body.len()
                );
                record.line(&format!("sent {id}"));
                let answer = call(front, request.as_bytes(), Duration::from_millis(DEADLINE_MS));
                let status = match answer {
                    Ok(answer) => answer.status().to_string(),
                    Err(error) => error,
                };
                record.line(&format!("answered {id} {status}"));
                answers.lock().unwrap().push((id, status));
            });
            clients.push(client.expect("a client can start"));
        }
    }
    clients
}
