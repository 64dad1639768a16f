//! Start and graceful shutdown of an entry VM.

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

/// Time between two looks at the number of requests in progress during a shutdown.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Bound on the wait for requests in progress, where no declaration is longer.
const MIN_DRAIN_TIMEOUT: Duration = Duration::from_secs(1);

/// An entry VM cannot be started or stopped.
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
    peer: SocketAddr,
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
        self.peer
    }

    /// Returns the state shared by the tasks.
    pub fn node(&self) -> &Arc<Node> {
        &self.node
    }

    /// Stops without cutting off a request: fails the readiness check, serves on while the balancer notices, waits
    /// for requests in progress, then closes.
    pub async fn stop(mut self) -> Result<(), ServeError> {
        log::info!("entry: stopping; readiness is off");
        self.node.fail_readiness();
        self.node.leave();
        tokio::time::sleep(self.node.settings.notice_time).await;
        self.node.refuse_requests();
        self.wait_for_requests().await;
        // Peers may still wait for this node as their holder or home, for as long as a request of theirs may take.
        let _ = self.peer_stop.send(());
        let longest = longest_deadline(&self.node);
        if tokio::time::timeout(longest, &mut self.peer_server)
            .await
            .is_err()
        {
            log::warn!("peer: calls of peers outlasted the longest deadline");
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

    /// Waits until no request is in progress, at most for the longest declared deadline.
    async fn wait_for_requests(&self) {
        let bound = tokio::time::sleep(longest_deadline(&self.node));
        tokio::pin!(bound);
        while self.node.active() > 0 {
            tokio::select! {
                () = tokio::time::sleep(DRAIN_POLL_INTERVAL) => {}
                () = &mut bound => {
                    log::warn!("entry: {} requests outlasted the longest deadline", self.node.active());
                    return;
                }
            }
        }
    }
}

/// Returns the longest declared deadline, which bounds every wait for work in progress.
fn longest_deadline(node: &Node) -> Duration {
    let catalogue = node.catalogue();
    let entries = catalogue
        .iter()
        .flat_map(|catalogue| catalogue.entries.values());
    let longest = entries.map(|entry| entry.declaration.deadline).max();
    longest.unwrap_or_default().max(MIN_DRAIN_TIMEOUT)
}

/// Starts an entry VM; `seed` starts its random generators.
pub async fn start_entry(settings: Settings, seed: u64) -> Result<Entry, ServeError> {
    let listener = TcpListener::bind(settings.peer)
        .await
        .map_err(|error| bind_error(settings.peer, &error))?;
    let peer = listener
        .local_addr()
        .map_err(|error| bind_error(settings.peer, &error))?;
    let node = Arc::new(Node::new(settings, peer, seed));
    let server = start_api(&node)?;
    let (peer_stop, stopped) = oneshot::channel();
    let peer_server = tokio::spawn(serve_peers(node.clone(), listener, stopped));
    let mut tasks = JoinSet::new();
    tasks.spawn(control::beat(node.clone()));
    tasks.spawn(control::watch_configuration(node.clone()));
    tasks.spawn(control::watch_indexes(node.clone()));
    tasks.spawn(control::poll_vm_list(node.clone()));
    tasks.spawn(control::probe(node.clone()));
    tasks.spawn(home::run_home_timer(node.clone()));
    let (id, zone) = (&node.settings.node, &node.settings.zone);
    log::info!(
        "entry: {id} in zone {zone} serves callers on {} and peers on {peer}",
        server.local_addr()
    );
    Ok(Entry {
        node,
        server,
        tasks,
        peer,
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
        log::error!("peer: the server for peers failed: {error}");
    }
}
