//! Startup and graceful shutdown of an entry VM.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::Code;
use dropshot::ConfigDropshot;
use dropshot::HandlerTaskMode;
use dropshot::HttpServer;
use dropshot::ServerBuilder;
use snafu::Snafu;
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;
use tonic::transport::Server;
use tonic::transport::server::TcpIncoming;
use wire::peer_server::PeerServer;

use crate::api::describe_api;
use crate::control;
use crate::home;
use crate::node::Node;
use crate::peer_service::PeerService;
use crate::settings::Settings;

/// Interval at which a shutdown checks the number of active requests.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Lower limit of the time for which a shutdown waits for active requests.
const MIN_DRAIN_TIMEOUT: Duration = Duration::from_secs(1);

/// An error while starting or stopping an entry VM.
#[derive(Debug, Snafu)]
#[snafu(display("entry: {reason} (code {})", code.number()))]
pub struct ServeError {
    code: Code,
    reason: String,
}

/// A running entry VM.
pub struct Entry {
    node: Arc<Node>,
    server: HttpServer<Arc<Node>>,
    tasks: JoinSet<()>,
    peer_addr: SocketAddr,
    peer_stop: oneshot::Sender<()>,
    peer_server: JoinHandle<()>,
}

impl std::fmt::Debug for Entry {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Entry")
            .field("node", &self.node.settings.node)
            .finish_non_exhaustive()
    }
}

impl Entry {
    /// Returns the address for callers.
    pub fn addr(&self) -> SocketAddr {
        self.server.local_addr()
    }

    /// Returns the address for peers.
    pub fn peer_addr(&self) -> SocketAddr {
        self.peer_addr
    }

    /// Returns the state of the VM.
    pub fn node(&self) -> &Arc<Node> {
        &self.node
    }

    /// Shuts down gracefully: fails the readiness check, keeps serving until the load balancer has reacted, waits for
    /// active requests, then closes all connections.
    pub async fn stop(mut self) -> Result<(), ServeError> {
        log::info!("entry: stopping; the readiness check fails from now on");
        self.node.fail_readiness();
        self.node.announce_leave();
        tokio::time::sleep(self.node.settings.notice_time).await;
        self.node.refuse_requests();
        self.wait_for_requests().await;
        // Requests on peers may still depend on this node as their holder or home, for at most the longest deadline.
        let _ = self.peer_stop.send(());
        let longest = longest_deadline(&self.node);
        if tokio::time::timeout(longest, &mut self.peer_server)
            .await
            .is_err()
        {
            log::warn!(
                "peer: closing the peer server although calls outlasted the longest declared deadline"
            );
        }
        self.peer_server.abort();
        self.tasks.shutdown().await;
        self.node.pool.close_idle();
        let closed = self.server.close().await;
        log::info!("entry: stopped");
        closed.map_err(|reason| ServeError {
            code: Code::Stopping,
            reason,
        })
    }

    /// Waits until no request is active, but no longer than the longest declared deadline.
    async fn wait_for_requests(&self) {
        let timeout = tokio::time::sleep(longest_deadline(&self.node));
        tokio::pin!(timeout);
        while self.node.active_requests() > 0 {
            tokio::select! {
                () = tokio::time::sleep(DRAIN_POLL_INTERVAL) => {}
                () = &mut timeout => {
                    log::warn!(
                        "entry: stopping although {} requests outlasted the longest declared deadline",
                        self.node.active_requests()
                    );
                    return;
                }
            }
        }
    }
}

/// Returns the longest declared deadline, but at least [`MIN_DRAIN_TIMEOUT`].
fn longest_deadline(node: &Node) -> Duration {
    let catalogue = node.catalogue();
    let entries = catalogue
        .iter()
        .flat_map(|catalogue| catalogue.entries.values());
    let longest = entries.map(|entry| entry.declaration.deadline).max();
    longest.unwrap_or_default().max(MIN_DRAIN_TIMEOUT)
}

/// Starts an entry VM; `seed` seeds its random generators.
pub async fn start_entry(settings: Settings, seed: u64) -> Result<Entry, ServeError> {
    let listener = TcpListener::bind(settings.peer)
        .await
        .map_err(|error| bind_error(settings.peer, &error))?;
    let peer_addr = listener
        .local_addr()
        .map_err(|error| bind_error(settings.peer, &error))?;
    let node = Arc::new(Node::new(settings, peer_addr, seed));
    let server = start_api(&node)?;
    let (peer_stop, stopped) = oneshot::channel();
    let peer_server = tokio::spawn(serve_peers(node.clone(), listener, stopped));
    let mut tasks = JoinSet::new();
    tasks.spawn(control::run_heartbeats(node.clone()));
    tasks.spawn(control::watch_configuration(node.clone()));
    tasks.spawn(control::watch_indexes(node.clone()));
    tasks.spawn(control::poll_vm_list(node.clone()));
    tasks.spawn(control::probe_upstreams(node.clone()));
    tasks.spawn(home::run_home_timer(node.clone()));
    let (id, zone) = (&node.settings.node, &node.settings.zone);
    log::info!(
        "entry: started {id} in zone {zone}; listening for callers on {} and for peers on {peer_addr}",
        server.local_addr()
    );
    Ok(Entry {
        node,
        server,
        tasks,
        peer_addr,
        peer_stop,
        peer_server,
    })
}

fn bind_error(addr: SocketAddr, error: &dyn std::fmt::Display) -> ServeError {
    ServeError {
        code: Code::AddressInUse,
        reason: format!("cannot listen on {addr}: {error}"),
    }
}

fn start_api(node: &Arc<Node>) -> Result<HttpServer<Arc<Node>>, ServeError> {
    let config = ConfigDropshot {
        bind_address: node.settings.listen,
        default_request_body_max_bytes: node.settings.max_body_bytes,
        default_handler_task_mode: HandlerTaskMode::Detached,
        ..ConfigDropshot::default()
    };
    let api = describe_api().map_err(|error| ServeError {
        code: Code::InvalidSettings,
        reason: error.to_string(),
    })?;
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let server = ServerBuilder::new(api, node.clone(), log)
        .config(config)
        .start();
    server.map_err(|error| bind_error(node.settings.listen, &error))
}

async fn serve_peers(node: Arc<Node>, listener: TcpListener, stopped: oneshot::Receiver<()>) {
    let service = PeerServer::new(PeerService { node });
    let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
    let stop = async {
        let _ = stopped.await;
    };
    let served = Server::builder()
        .add_service(service)
        .serve_with_incoming_shutdown(incoming, stop)
        .await;
    if let Err(error) = served {
        log::error!("peer: the peer server failed: {error}");
    }
}
