//! The HTTP/1.1 runtime of the modelled upstream servers: several servers in one process, each on a loopback port.
//!
//! A control port of the process serves `POST /control/fault` with `{ "servers": [...], "fault": { "fault": "slow",
//! "factor": 10 } }` (no servers means all of them), `GET /control/counts` and `GET /control/runs`. It is separate from
//! the servers' ports, so that a stopped server can be started again and control connections do not count against a
//! server's limit.

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

/// One-way network delays that are added, since loopback has almost none.
#[derive(Debug, Clone)]
pub struct Delays {
    /// Delay between different availability zones.
    pub cross_zone: Duration,
}

impl Default for Delays {
    fn default() -> Delays {
        Delays {
            cross_zone: Duration::from_millis(1),
        }
    }
}

/// Options of the upstream servers.
#[derive(Debug, Clone)]
pub struct FleetOptions {
    /// Seed of the service times and random faults.
    pub seed: u64,
    /// Network delays.
    pub delays: Delays,
    /// Address of the control port.
    pub control: SocketAddr,
}

/// The running upstream servers; dropping the value stops them.
#[derive(Debug)]
pub struct UpstreamFleet {
    hosts: Arc<BTreeMap<UpstreamId, Arc<Host>>>,
    control: SocketAddr,
    tasks: Vec<JoinHandle<()>>,
}

impl UpstreamFleet {
    /// Binds every port, writes the bound addresses into the deployment, and starts the servers.
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
                tasks.push(tokio::spawn(run_timer(host.clone())));
                tasks.push(tokio::spawn(accept_connections(listener, host.clone())));
                hosts.insert(settings.id.clone(), host);
            }
        }
        let hosts = Arc::new(hosts);
        let listener = TcpListener::bind(options.control).await?;
        let control = listener.local_addr()?;
        tasks.push(tokio::spawn(control::serve_control(
            listener,
            hosts.clone(),
        )));
        log::info!(
            "lab: {} upstream servers are listening; control port on {control}",
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

    /// Injects a fault into one server; returns whether the server exists.
    pub fn inject(&self, id: &str, fault: Fault) -> bool {
        let host = self.hosts.get(id);
        host.inspect(|host| host.inject(fault)).is_some()
    }

    /// Returns the counters of each server.
    pub fn counts(&self) -> BTreeMap<UpstreamId, HostCounts> {
        collect_counts(&self.hosts)
    }

    /// Returns the number of runs per idempotency key, summed over the servers.
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
    /// Open connections.
    pub open: u32,
    /// Connections that were closed right after they were accepted, because the limit was reached.
    pub refused: u64,
}

/// One modelled server with its listening port.
#[derive(Debug)]
pub(crate) struct Host {
    inner: Mutex<Inner>,
    wake: Notify,
    // Closes all connections, as a process that exits does.
    close: Notify,
    open_connections: AtomicU32,
    refused_connections: AtomicU64,
    delays: Delays,
}

#[derive(Debug)]
struct Inner {
    server: Server,
    rng: Pcg64Mcg,
    pending: HashMap<RequestId, oneshot::Sender<Reply>>,
    last_id: RequestId,
    wake_at: Option<Instant>,
}

impl Host {
    fn new(server: Server, seed: u64, delays: Delays) -> Host {
        let inner = Inner {
            server,
            rng: Pcg64Mcg::seed_from_u64(seed),
            pending: HashMap::new(),
            last_id: 0,
            wake_at: None,
        };
        Host {
            inner: Mutex::new(inner),
            wake: Notify::new(),
            close: Notify::new(),
            open_connections: AtomicU32::new(0),
            refused_connections: AtomicU64::new(0),
            delays,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Calls a function with the locked model.
    pub(crate) fn read<T>(&self, read: impl FnOnce(&Server) -> T) -> T {
        read(&self.lock().server)
    }

    /// Passes an event to the model and delivers its replies.
    pub(crate) fn process_event(&self, event: Event) {
        let mut inner = self.lock();
        let inner = &mut *inner;
        let actions = inner.server.handle(event, Instant::now(), &mut inner.rng);
        inner.wake_at = None;
        for action in actions {
            match action {
                Action::Reply(id, reply) => {
                    if let Some(sender) = inner.pending.remove(&id) {
                        // Sending fails when the caller has disconnected, and then nobody needs the reply.
                        let _ = sender.send(reply);
                    }
                }
                Action::WakeAt(at) => inner.wake_at = Some(at),
            }
        }
        self.wake.notify_one();
    }

    /// Passes a request to the model, and returns a receiver of its reply.
    pub(crate) fn submit_request(
        &self,
        event: impl FnOnce(RequestId) -> Event,
    ) -> oneshot::Receiver<Reply> {
        let (sender, receiver) = oneshot::channel();
        let id = {
            let mut inner = self.lock();
            inner.last_id += 1;
            let id = inner.last_id;
            inner.pending.insert(id, sender);
            id
        };
        self.process_event(event(id));
        receiver
    }

    pub(crate) fn inject(&self, fault: Fault) {
        let closes_connections = matches!(fault, Fault::Stop | Fault::Restart);
        self.process_event(Event::Fault(fault));
        if closes_connections {
            self.close.notify_waiters();
        }
    }

    /// Returns the one-way delay from a caller's zone.
    pub(crate) fn delay_from(&self, zone: Option<&str>) -> Duration {
        let own_zone: ZoneName = self.read(|server| server.settings().zone.clone());
        match zone {
            Some(zone) if own_zone != zone => self.delays.cross_zone,
            _ => Duration::ZERO,
        }
    }
}

pub(crate) fn collect_counts(
    hosts: &BTreeMap<UpstreamId, Arc<Host>>,
) -> BTreeMap<UpstreamId, HostCounts> {
    let count = |(id, host): (&UpstreamId, &Arc<Host>)| {
        let counts = HostCounts {
            server: host.read(|server| server.counts().clone()),
            open: host.open_connections.load(Ordering::Relaxed),
            refused: host.refused_connections.load(Ordering::Relaxed),
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

/// Passes [`Event::Wake`] to the model at the time that it requested.
async fn run_timer(host: Arc<Host>) {
    loop {
        let wake_at = host.lock().wake_at;
        match wake_at {
            None => host.wake.notified().await,
            Some(at) => {
                tokio::select! {
                    () = host.wake.notified() => {}
                    () = tokio::time::sleep_until(at.into()) => host.process_event(Event::Wake),
                }
            }
        }
    }
}

async fn accept_connections(listener: TcpListener, host: Arc<Host>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Accepting fails when the process has too many open files; the pause gives others time to close.
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let (accepts, limit, connect_time) = host.read(|server| {
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
        if host.open_connections.load(Ordering::Relaxed) >= limit {
            host.refused_connections.fetch_add(1, Ordering::Relaxed);
            continue;
        }
        host.open_connections.fetch_add(1, Ordering::Relaxed);
        tokio::spawn(serve_connection(stream, host.clone(), connect_time));
    }
}

async fn serve_connection(stream: TcpStream, host: Arc<Host>, connect_time: Duration) {
    let closed = host.close.notified();
    // With Nagle's algorithm, a small reply would wait for the acknowledgement of an earlier one.
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request| {
        let host = host.clone();
        async move { Ok::<_, Infallible>(http_upstream::respond(&host, request).await) }
    });
    let serve = async {
        tokio::time::sleep(connect_time).await;
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        if let Err(error) = connection.await {
            log::debug!("lab: a connection to an upstream server failed: {error}");
        }
    };
    tokio::select! {
        () = serve => {}
        () = closed => {}
    }
    host.open_connections.fetch_sub(1, Ordering::Relaxed);
}
