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
use tokio::task::JoinSet;

use crate::api::describe_api;
use crate::control::follow_catalogue;
use crate::control::follow_indexes;
use crate::node::Node;
use crate::settings::Settings;

/// Time between two looks at the number of requests in progress during a shutdown.
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// Bound on the wait for requests in progress, where no declaration is longer.
const MIN_DRAIN: Duration = Duration::from_secs(1);

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

    /// Returns the state shared by the tasks.
    pub fn node(&self) -> &Arc<Node> {
        &self.node
    }

    /// Stops without cutting off a request: fails the readiness check, serves on while the balancer notices, waits
    /// for requests in progress, then closes.
    pub async fn stop(mut self) -> Result<(), ServeError> {
        log::info!("entry: stopping; readiness is off");
        self.node.start_stopping();
        tokio::time::sleep(self.node.settings.notice).await;
        self.node.refuse_requests();
        self.wait_for_requests().await;
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
        let longest = self.node.catalogue().and_then(|catalogue| {
            catalogue
                .entries
                .values()
                .map(|entry| entry.declaration.deadline)
                .max()
        });
        let bound = tokio::time::sleep(longest.unwrap_or_default().max(MIN_DRAIN));
        tokio::pin!(bound);
        while self.node.active() > 0 {
            tokio::select! {
                () = tokio::time::sleep(DRAIN_POLL) => {}
                () = &mut bound => {
                    log::warn!("entry: {} requests outlasted the longest deadline", self.node.active());
                    return;
                }
            }
        }
    }
}

/// Starts an entry VM; `seed` starts its random generators.
pub async fn start_entry(settings: Settings, seed: u64) -> Result<Entry, ServeError> {
    let node = Arc::new(Node::new(settings, seed));
    let config = ConfigDropshot {
        bind_address: node.settings.listen,
        default_request_body_max_bytes: node.settings.body_limit,
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
        .start()
        .map_err(|error| {
            let reason = format!("cannot serve callers on {}: {error}", node.settings.listen);
            ServeError {
                code: Code::AddressInUse,
                reason,
            }
        })?;
    let mut tasks = JoinSet::new();
    tasks.spawn(follow_catalogue(node.clone()));
    tasks.spawn(follow_indexes(node.clone()));
    log::info!(
        "entry: {} in zone {} serves on {}",
        node.settings.node,
        node.settings.zone,
        server.local_addr()
    );
    Ok(Entry {
        node,
        server,
        tasks,
    })
}
