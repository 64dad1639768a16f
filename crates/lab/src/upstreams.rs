//! The HTTP/1.1 runtime around the modelled servers: several servers in one process, each on its own loopback port.
//!
//! A control port of the process serves `POST /control/fault` with `{ "servers": [...], "fault": { "fault": "slow",
//! "factor": 10 } }` (no servers means all of them), `GET /control/counts` and `GET /control/runs`. It is separate from
//! the servers' ports, so that a stopped server can be started again and no connection limit is used up.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use base::UpstreamId;
use base::ZoneName;
use compact_str::CompactString;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

use crate::control;
use crate::deploy::Deployment;
use crate::fault::Fault;
use crate::http_upstream;
use crate::server::Action;
use crate::server::Event;
use crate::server::Reply;
use crate::server::RequestId;
use crate::server::Server;
use crate::server_settings::ServerCounts;

/// One-way delays that the stand-in adds, since loopback has none.
#[derive(Debug, Clone)]
pub struct Delays {
    /// Delay between different zones.
    pub zones: Duration,
}

impl Default for Delays {
    fn default() -> Delays {
        Delays {
            zones: Duration::from_millis(1),
        }
    }
}

/// Options of the upstream servers.
#[derive(Debug, Clone)]
pub struct FleetOptions {
    /// Seed of the service times and random faults.
    pub seed: u64,
    /// Delays.
    pub delays: Delays,
    /// Address of the control port.
    pub control: SocketAddr,
}

/// The running servers; dropping it stops them.
#[derive(Debug)]
pub struct UpstreamFleet {
    hosts: Arc<BTreeMap<UpstreamId, Arc<Host>>>,
    control: SocketAddr,
    tasks: Vec<JoinHandle<()>>,
}

impl UpstreamFleet {
    /// Binds every port, writes the bound addresses into the deployment, and serves.
    pub async fn start(
        deployment: &mut Deployment,
        options: FleetOptions,
    ) -> std::io::Result<UpstreamFleet> {
        let now = Instant::now();
        let mut hosts = BTreeMap::new();
        let mut tasks = Vec::new();
        for index in &mut deployment.indexes {
            let upstreams = index.state.upstreams.iter_mut();
            for (upstream, settings) in upstreams.zip(&index.servers) {
                let listener = TcpListener::bind(upstream.addr).await?;
                upstream.addr = listener.local_addr()?;
                let server = Server::new(settings.clone(), &index.state.maps, now);
                let seed = options.seed ^ base::hash_key(&settings.id);
                let host = Arc::new(Host::new(server, seed, options.delays.clone()));
                tasks.push(tokio::spawn(keep_time(host.clone())));
                tasks.push(tokio::spawn(accept(listener, host.clone())));
                hosts.insert(settings.id.clone(), host);
            }
        }
        let hosts = Arc::new(hosts);
        let listener = TcpListener::bind(options.control).await?;
        let control = listener.local_addr()?;
        tasks.push(tokio::spawn(control::serve(listener, hosts.clone())));
        log::info!(
            "lab: {} servers are ready, control is on {control}",
            hosts.len()
        );
        Ok(UpstreamFleet {
            hosts,
            control,
            tasks,
        })
    }

    /// Returns the address of the control port.
    pub fn control(&self) -> SocketAddr {
        self.control
    }

    /// Switches a fault of one server on or off; returns whether the server exists.
    pub fn inject(&self, id: &str, fault: Fault) -> bool {
        let host = self.hosts.get(id);
        host.inspect(|host| host.inject(fault)).is_some()
    }

    /// Returns what each server has done.
    pub fn counts(&self) -> BTreeMap<UpstreamId, HostCounts> {
        count_hosts(&self.hosts)
    }

    /// Returns how often each idempotency key was run, summed over the servers.
    pub fn runs(&self) -> BTreeMap<CompactString, u32> {
        sum_runs(&self.hosts)
    }
}

impl Drop for UpstreamFleet {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

/// Counts of one server and of its port.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct HostCounts {
    /// Counts of the server.
    pub server: ServerCounts,
    /// Connections that are open.
    pub open: u32,
    /// Connections that were closed at once because the limit was reached.
    pub refused: u64,
}

/// One server with its port.
#[derive(Debug)]
pub(crate) struct Host {
    inner: Mutex<Inner>,
    wake: Notify,
    halt: Notify,
    open: AtomicU32,
    refused: AtomicU64,
    delays: Delays,
}

#[derive(Debug)]
struct Inner {
    server: Server,
    rng: Pcg64Mcg,
    waiting: HashMap<RequestId, oneshot::Sender<Reply>>,
    last_id: RequestId,
    wake_at: Option<Instant>,
}

impl Host {
    fn new(server: Server, seed: u64, delays: Delays) -> Host {
        let inner = Inner {
            server,
            rng: Pcg64Mcg::seed_from_u64(seed),
            waiting: HashMap::new(),
            last_id: 0,
            wake_at: None,
        };
        Host {
            inner: Mutex::new(inner),
            wake: Notify::new(),
            halt: Notify::new(),
            open: AtomicU32::new(0),
            refused: AtomicU64::new(0),
            delays,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads the model.
    pub(crate) fn read<T>(&self, read: impl FnOnce(&Server) -> T) -> T {
        read(&self.lock().server)
    }

    /// Gives an event to the model and delivers the replies.
    pub(crate) fn drive(&self, event: Event) {
        let mut inner = self.lock();
        let inner = &mut *inner;
        let actions = inner.server.handle(event, Instant::now(), &mut inner.rng);
        inner.wake_at = None;
        for action in actions {
            match action {
                Action::Reply(id, reply) => {
                    if let Some(waiter) = inner.waiting.remove(&id) {
                        // The caller may have gone away, which needs no handling.
                        let _ = waiter.send(reply);
                    }
                }
                Action::WakeAt(at) => inner.wake_at = Some(at),
            }
        }
        self.wake.notify_one();
    }

    /// Gives a request to the model; the reply comes through the receiver.
    pub(crate) fn request(
        &self,
        event: impl FnOnce(RequestId) -> Event,
    ) -> oneshot::Receiver<Reply> {
        let (sender, receiver) = oneshot::channel();
        let id = {
            let mut inner = self.lock();
            inner.last_id += 1;
            let id = inner.last_id;
            inner.waiting.insert(id, sender);
            id
        };
        self.drive(event(id));
        receiver
    }

    pub(crate) fn inject(&self, fault: Fault) {
        let stop = matches!(fault, Fault::Stop | Fault::Restart);
        self.drive(Event::Fault(fault));
        if stop {
            self.halt.notify_waiters();
        }
    }

    /// Returns the one-way delay from a caller's zone.
    pub(crate) fn delay_from(&self, zone: Option<&str>) -> Duration {
        let own: ZoneName = self.read(|server| server.settings().zone.clone());
        match zone {
            Some(zone) if own != zone => self.delays.zones,
            _ => Duration::ZERO,
        }
    }
}

pub(crate) fn count_hosts(
    hosts: &BTreeMap<UpstreamId, Arc<Host>>,
) -> BTreeMap<UpstreamId, HostCounts> {
    let count = |(id, host): (&UpstreamId, &Arc<Host>)| {
        let counts = HostCounts {
            server: host.read(|server| server.counts().clone()),
            open: host.open.load(Ordering::Relaxed),
            refused: host.refused.load(Ordering::Relaxed),
        };
        (id.clone(), counts)
    };
    hosts.iter().map(count).collect()
}

pub(crate) fn sum_runs(hosts: &BTreeMap<UpstreamId, Arc<Host>>) -> BTreeMap<CompactString, u32> {
    let mut runs = BTreeMap::new();
    for host in hosts.values() {
        for (key, count) in host.read(|server| server.runs().clone()) {
            *runs.entry(key).or_default() += count;
        }
    }
    runs
}

/// Wakes the model when it asked for it.
async fn keep_time(host: Arc<Host>) {
    loop {
        let wake_at = host.lock().wake_at;
        match wake_at {
            None => host.wake.notified().await,
            Some(at) => {
                tokio::select! {
                    () = host.wake.notified() => {}
                    () = tokio::time::sleep_until(at.into()) => host.drive(Event::Wake),
                }
            }
        }
    }
}

async fn accept(listener: TcpListener, host: Arc<Host>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Accepting fails when the process has too many open files; a pause lets some close.
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let (accepts, limit, connect) = host.read(|server| {
            let settings = server.settings();
            (
                server.accepts_connections(),
                settings.connections,
                settings.connect,
            )
        });
        if !accepts {
            continue;
        }
        if host.open.load(Ordering::Relaxed) >= limit {
            host.refused.fetch_add(1, Ordering::Relaxed);
            continue;
        }
        host.open.fetch_add(1, Ordering::Relaxed);
        tokio::spawn(serve_connection(stream, host.clone(), connect));
    }
}

async fn serve_connection(stream: TcpStream, host: Arc<Host>, connect: Duration) {
    let halt = host.halt.notified();
    // Small replies must not wait for the acknowledgement of earlier ones.
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request| {
        let host = host.clone();
        async move { Ok::<_, Infallible>(http_upstream::respond(&host, request).await) }
    });
    let serve = async {
        tokio::time::sleep(connect).await;
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        if let Err(error) = connection.await {
            log::debug!("lab: a connection ended early: {error}");
        }
    };
    tokio::select! {
        () = serve => {}
        () = halt => {}
    }
    host.open.fetch_sub(1, Ordering::Relaxed);
}
