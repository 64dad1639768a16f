//! A deployment of separate processes on loopback.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::unistd::Pid;
use serde_json::Value;
use serde_json::json;

/// Time limit for a state that every working build reaches.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

const BINARY: &str = env!("CARGO_BIN_EXE_limpetwick");
const EXAMPLES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples");
const ZONES: [&str; 3] = ["zurich", "lausanne", "lugano"];

/// A process that is killed when the value is dropped.
#[derive(Debug)]
pub struct Process(Child);

impl Process {
    fn start(args: &[&str]) -> Process {
        let child = Command::new(BINARY)
            .args(args)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn();
        Process(child.expect("the binary starts"))
    }

    pub fn signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.0.id() as i32), signal).expect("the process exists");
    }

    pub fn wait(&mut self) -> Option<i32> {
        self.0.wait().expect("the process is a child").code()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// An entry VM process and its address for callers.
#[derive(Debug)]
pub struct EntryVm {
    pub process: Process,
    pub listen: SocketAddr,
}

/// Platform, upstreams of the brunner-vaucher deployment, and entry VMs.
#[derive(Debug)]
pub struct Fleet {
    pub platform: Process,
    _upstreams: Process,
    pub entries: Vec<EntryVm>,
    pub platform_addr: SocketAddr,
    pub control: SocketAddr,
    dir: PathBuf,
    declarations: PathBuf,
    ports: Ports,
    http: Client<HttpConnector, Full<Bytes>>,
}

impl Fleet {
    /// Starts a fleet of three entry VMs, publishes the examples, and waits until every VM is ready.
    pub async fn start(test: &str) -> Fleet {
        Fleet::start_with(test, ZONES.len(), &[]).await
    }

    /// Starts a fleet of three entry VMs in which the callers of one service wait for `deadline`, so that a busy machine
    /// doesn't make its answers late.
    pub async fn start_with_deadline(test: &str, service: &str, deadline: &str) -> Fleet {
        let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{test}-declarations"));
        copy_declarations(&dir, service, deadline).expect("the directory is writable");
        Fleet::start_from(test, ZONES.len(), &[], dir).await
    }

    /// Starts a fleet with the given number of entry VMs and additional flags for the stand-ins of the upstreams.
    pub async fn start_with(test: &str, entries: usize, flags: &[&str]) -> Fleet {
        let declarations = PathBuf::from(EXAMPLES).join("brunner-vaucher");
        Fleet::start_from(test, entries, flags, declarations).await
    }

    async fn start_from(
        test: &str,
        entries: usize,
        flags: &[&str],
        declarations: PathBuf,
    ) -> Fleet {
        let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(test);
        std::fs::create_dir_all(&dir).expect("the directory is writable");
        let mut ports = Ports::new();
        let (platform_addr, control) = (ports.allocate(), ports.allocate());
        let platform = Process::start(&["lab", "platform", "--listen", &platform_addr.to_string()]);
        let http = Client::builder(TokioExecutor::new()).build_http();
        wait_for("the platform", async || {
            get(&http, platform_addr, "/vms").await.is_some()
        })
        .await;
        let (platform_text, control_text) = (platform_addr.to_string(), control.to_string());
        let mut args = vec![
            "lab",
            "upstreams",
            "brunner-vaucher",
            "--platform",
            &platform_text,
        ];
        args.extend(["--control", &control_text]);
        args.extend(flags);
        let upstreams = Process::start(&args);
        wait_for("the upstreams", async || {
            get(&http, platform_addr, "/objects/index/collections")
                .await
                .is_some()
        })
        .await;
        let mut fleet = Fleet {
            platform,
            _upstreams: upstreams,
            entries: Vec::new(),
            platform_addr,
            control,
            dir,
            declarations,
            ports,
            http,
        };
        for number in 0..entries {
            fleet.add_entry(number, &[]).await;
        }
        assert_eq!(
            fleet.publish(),
            Some(0),
            "the examples are in force everywhere"
        );
        for number in 0..entries {
            fleet.wait_until_ready(number).await;
        }
        fleet
    }

    /// Registers an entry VM in the platform's list and starts it.
    pub async fn add_entry(&mut self, number: usize, seeds: &[SocketAddr]) {
        let (listen, peer) = (self.ports.allocate(), self.ports.allocate());
        let zone = ZONES[number % ZONES.len()];
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let text = format!(
            "node = \"{zone}-{number}\"\nzone = \"{zone}\"\nregion = \"schweiz\"\nlisten = \"{listen}\"\n\
             peer = \"{peer}\"\nplatform = \"{}\"\nseeds = [{}]\n[shutdown]\nnotice_ms = 500\n",
            self.platform_addr,
            seeds.join(", "),
        );
        let path = self.dir.join(format!("{zone}-{number}.toml"));
        std::fs::write(&path, text).expect("the directory is writable");
        let path = path.to_str().expect("the path is text");
        Process::start(&["lab", "vm", "--settings", path]).wait();
        let process = Process::start(&["serve", "--settings", path]);
        self.entries.push(EntryVm { process, listen });
    }

    /// Publishes the examples and returns the exit code.
    pub fn publish(&self) -> Option<i32> {
        Process::start(&[
            "publish",
            self.declarations.to_str().expect("the path is text"),
            "--platform",
            &self.platform_addr.to_string(),
            "--entry",
            &self.entries[0].listen.to_string(),
            "--wait",
            "60",
        ])
        .wait()
    }

    pub async fn wait_until_ready(&self, number: usize) {
        let listen = self.entries[number].listen;
        wait_for("readiness", async || {
            get(&self.http, listen, "/readyz").await.is_some()
        })
        .await;
    }

    /// Sends a request to an entry VM; returns `None` if the connection is lost before the answer.
    pub async fn call(
        &self,
        entry: usize,
        service: &str,
        request: &str,
        key: Option<&str>,
    ) -> Option<Value> {
        let listen = self.entries[entry].listen;
        let uri = format!("http://{listen}/v1/services/{service}/requests/{request}");
        let mut builder = Request::post(uri).header("content-type", "application/json");
        if let Some(key) = key {
            builder = builder.header("idempotency-key", key);
        }
        let body = Full::new(Bytes::from_static(
            br#"{"body":{"text":"oak"},"explain":true}"#,
        ));
        let response = self.http.request(builder.body(body).ok()?).await.ok()?;
        let body = response.into_body().collect().await.ok()?.to_bytes();
        serde_json::from_slice(&body).ok()
    }

    /// Injects a fault into the given upstreams, or into all if the list is empty.
    pub async fn inject(&self, servers: &[&str], fault: Value) {
        let body = json!({ "servers": servers, "fault": fault }).to_string();
        let request = Request::post(format!("http://{}/control/fault", self.control))
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(body)))
            .expect("the request is valid");
        let response = self
            .http
            .request(request)
            .await
            .expect("the control port answers");
        assert!(response.status().is_success(), "the fault is known");
    }

    /// Returns the number of times that the upstreams ran the request with a key.
    pub async fn count_runs(&self, key: &str) -> u64 {
        let body = get(&self.http, self.control, "/control/runs")
            .await
            .expect("the control port answers");
        let runs: Value = serde_json::from_slice(&body).expect("the counts are JSON");
        runs[key].as_u64().unwrap_or(0)
    }
}

/// Copies the examples, with another deadline for one service.
fn copy_declarations(dir: &Path, service: &str, deadline: &str) -> std::io::Result<()> {
    std::fs::create_dir_all(dir)?;
    for entry in std::fs::read_dir(Path::new(EXAMPLES).join("brunner-vaucher"))? {
        let entry = entry?;
        let mut text = std::fs::read_to_string(entry.path())?;
        if entry.file_name() == format!("{service}.toml").as_str() {
            let replace = |line: &str| match line.starts_with("deadline = ") {
                true => format!("deadline = \"{deadline}\"\n"),
                false => format!("{line}\n"),
            };
            text = text.lines().map(replace).collect();
        }
        std::fs::write(dir.join(entry.file_name()), text)?;
    }
    Ok(())
}

async fn get(
    http: &Client<HttpConnector, Full<Bytes>>,
    addr: SocketAddr,
    path: &str,
) -> Option<Bytes> {
    let uri = format!("http://{addr}{path}").parse().ok()?;
    let response = http.get(uri).await.ok()?;
    let success = response.status().is_success();
    let body = response.into_body().collect().await.ok()?.to_bytes();
    success.then_some(body)
}

async fn wait_for(state: &str, mut reached: impl AsyncFnMut() -> bool) {
    let waiting = async {
        while !reached().await {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, waiting)
        .await
        .unwrap_or_else(|_| panic!("timed out waiting for {state}"));
}

/// Allocates the addresses of one test.
///
/// Each test in each test process has its own loopback address. Otherwise another test could bind a free port before the
/// process for which it was allocated.
#[derive(Debug)]
struct Ports {
    ip: Ipv4Addr,
    next: u16,
}

impl Ports {
    fn new() -> Ports {
        static TESTS: AtomicU8 = AtomicU8::new(1);
        let process = std::process::id();
        let test = TESTS.fetch_add(1, Ordering::Relaxed);
        let ip = Ipv4Addr::new(127, (process >> 8 & 0x7f) as u8 + 1, process as u8, test);
        Ports { ip, next: 20_000 }
    }

    fn allocate(&mut self) -> SocketAddr {
        self.next += 1;
        SocketAddr::from((self.ip, self.next))
    }
}
