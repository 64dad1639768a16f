//! Machines that are partitioned from all servers pass requests that may run only once on to a machine that is then
//! stopped as planned.

mod common;

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use common::*;

/// Machines without links to servers; the first ones.
const CUT: u8 = 3;
/// Machines that reach the servers; the first of them is stopped.
const LINKED: u8 = 2;
const SERVERS: usize = 3;
const SLOTS: usize = 2;
const QUEUE: usize = 30;
const WORK_MS: u64 = 16;
/// Work of a request once the machine has stopped and the servers are no longer slow.
const LATER_WORK_MS: u64 = 4;
const ROUNDS: usize = 9;
/// Requests to each machine without links in a round.
const REQUESTS: usize = 1_040;
const SENT_FOR: Duration = Duration::from_millis(1_200);
const DEADLINE_MS: u64 = 10_000;
const GRACE: Duration = Duration::from_secs(6);

const CONFIGURATION: &str = r#"{"version":7,"routes":[{"name":"r-post","host":"hufi27.example","path_prefix":"/goka902/","type":"unsafe","timeout_ms":10000,"slo_ms":1000,"priority":2,"backend":"kafi81c","max_attempts":2}],"backends":[{"name":"kafi81c","health_path":"/health","max_conns":92,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

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
    let mut work = Vec::new();
    let mut links = Vec::new();
    let linked = store.access();
    let cut = store.access();
    for number in 0..SERVERS {
        let id = format!("i-{number:02}");
        let server = Server::start(&id, "kafi81c", "lsn-a", SLOTS, QUEUE, WORK_MS, &runs, &record);
        store.put("servers", &id, &server.entry("ready", 1));
        work.push(Arc::clone(&server.work_ms));
        let link = Link::start(server.addr, own_ip(200 + number as u8));
        cut.routes.lock().unwrap().insert(server.addr, link.addr);
        links.push(link);
    }
    let mut gateways: Vec<Gateway> = (1..=CUT + LINKED)
        .map(|number| {
            let (zone, access) = if number <= CUT { ("zrh-a", &cut) } else { ("lsn-a", &linked) };
            let zones = &[("zrh-a", "zurich"), ("lsn-a", "lausanne")];
            let place = Place { number, zone, zones, folder: &folder.0 };
            Gateway::start(&place, access.addr)
        })
        .collect();
    let troubled = is_troubled();
    let answers: Arc<Mutex<Vec<(String, String)>>> = Arc::default();
    for round in 1..=ROUNDS {
        if !gateways.iter().all(|gateway| gateway.wait_ready(Duration::from_secs(10))) {
            record.say("a gateway isn't ready");
            return COULD_NOT_RUN;
        }
        if troubled {
            record.line("the links of the first machines to all servers are cut");
            links.iter().for_each(|link| link.set_cut(true));
        }
        if !(0..CUT).all(|at| is_served(&gateways[usize::from(at)], round, &record)) {
            record.say("a machine without links serves nothing"); record.flush();
            return COULD_NOT_RUN;
        }
        for work in &work {
            work.store(WORK_MS, Ordering::Relaxed);
        }
        let mut clients = Vec::new();
        for (at, gateway) in gateways.iter().take(usize::from(CUT)).enumerate() {
            for number in 0..REQUESTS {
                let (front, record, answers) = (gateway.front, record.clone(), Arc::clone(&answers));
                let delay = SENT_FOR.mul_f64(number as f64 / REQUESTS as f64);
                let id = format!("{round:04x}{at:04x}{number:08x}");
                let client = thread::Builder::new().stack_size(128 << 10).spawn(move || {
                    thread::sleep(delay);
                    record.line(&format!("sent {id}"));
                    let status = post(front, &id);
                    record.line(&format!("answered {id} {status}"));
                    answers.lock().unwrap().push((id, status));
                });
                clients.push(client.expect("a client can start"));
            }
        }
        thread::sleep(SENT_FOR + Duration::from_millis(50));
        if troubled {
            let gateway = &mut gateways[usize::from(CUT)];
            let stopped = Instant::now();
            record.line(&format!("SIGTERM {}", gateway.name));
            gateway.signal("TERM");
            while !gateway.has_exited() {
                if stopped.elapsed() > GRACE {
                    record.line(&format!("SIGKILL {}", gateway.name));
                    gateway.signal("KILL");
                }
                thread::sleep(Duration::from_millis(10));
            }
            record.line(&format!("ended {}", gateway.name));
            for work in &work {
                work.store(LATER_WORK_MS, Ordering::Relaxed);
            }
            gateway.restart();
        }
        for client in clients {
            let _ = client.join();
        }
        record.line("the links are back");
        links.iter().for_each(|link| link.set_cut(false));
        // The machines send to the servers themselves again.
        thread::sleep(Duration::from_millis(2_000));
    }
    let (mut twice, mut refused) = (0, 0);
    for (id, status) in answers.lock().unwrap().iter() {
        let runs = runs.of(id);
        if runs.len() > 1 {
            twice += 1;
            let servers: Vec<&str> = runs.iter().map(|(server, _)| server.as_str()).collect();
            record.say(&format!("TWICE broken: {id} ran at {} and was answered {status}", servers.join(" and ")));
        }
        if ["408", "421", "429", "503"].contains(&status.as_str()) && !runs.is_empty() {
            refused += 1;
            record.say(&format!("REFUSED broken: {id} was answered {status} and ran at {}", runs[0].0));
        }
    }
    let sent = answers.lock().unwrap().len();
    record.say(&format!(
        "{sent} requests that may run once; {} runs; {twice} ran twice; {refused} were refused as not run and had run",
        runs.count()
    ));
    record.flush();
    i32::from(twice > 0) * BROKEN
}

/// Sends single requests until one is served through another machine.
fn is_served(gateway: &Gateway, round: usize, record: &Record) -> bool {
    let end = Instant::now() + Duration::from_secs(8);
    let mut number = 0;
    while Instant::now() < end {
        number += 1;
        let id = format!("{round:04x}ffff{number:04x}{:04x}", gateway.front.port());
        let status = post(gateway.front, &id);
        record.line(&format!("first tries {id} {status}"));
        if status == "200" {
            return true;
        }
        thread::sleep(Duration::from_millis(100));
    }
    false
}

fn post(front: SocketAddr, id: &str) -> String {
    let body = format!("instalment {id}");
    let request = format!(
        "POST /goka902/2f HTTP/1.1\r\nHost: hufi27.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {DEADLINE_MS}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    match call(front, request.as_bytes(), Duration::from_millis(DEADLINE_MS)) {
        Ok(answer) => answer.status().to_string(),
        Err(error) => error,
    }
}
