//! Starts and stops a gateway process.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use base::Code;
use snafu::ResultExt;
use snafu::Snafu;
use store::Client;
use store::ClientOptions;
use store::GovernorOptions;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::sync::watch;
use tokio::task::LocalSet;

use crate::ObjectKind;
use crate::Platform;
use crate::Settings;
use crate::apply::sweep;
use crate::discovery::discover_peers;
use crate::facts::ask_for_facts;
use crate::facts::spread_facts;
use crate::ingress::serve_callers;
use crate::ingress::serve_metrics;
use crate::ingress::serve_ready;
use crate::ingress::watch_connections;
use crate::links::watch_links;
use crate::node::Node;
use crate::relay::serve_peers;
use crate::sync::sync_objects;

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 512;

/// Time from SIGTERM until idle connections are closed. The load balancer stops sending connections after two failed
/// readiness checks, which are a second apart.
const NOTICE_TIME: Duration = Duration::from_millis(2_500);

/// Time before the end of the grace period at which the process ends even with requests in progress.
const END_MARGIN: Duration = Duration::from_millis(400);

/// Time for the answers to requests that are ended at the end of the grace period.
const ANSWER_TIME: Duration = Duration::from_millis(150);

/// Interval at which a stopping process checks whether every connection is closed.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Timeout of a call to the store.
const STORE_TIMEOUT: Duration = Duration::from_millis(800);

/// Longest delay between calls to a failing store; a new configuration must be in force soon after the store recovers.
const MAX_STORE_DELAY: Duration = Duration::from_millis(400);

/// Most calls per second to the store; each change of the servers or of the configuration needs one.
const STORE_CALLS_PER_SECOND: f64 = 8.0;

/// Most calls to the store in a burst, since a list has many pages.
const STORE_BURST_CALLS: u32 = 40;

/// Why a gateway can't start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// The gateway can't listen on an address.
    #[snafu(display("can't listen on {addr}: {source} (code {})", Code::AddressInUse.number()))]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// The error of the system.
        source: std::io::Error,
    },
}

/// Runs a gateway until `stop` completes, and ends the requests in progress within the grace period.
///
/// Settings that change meanwhile take effect, except for those that need a restart.
///
/// # Errors
///
/// Returns an error if the gateway can't listen on one of its addresses.
pub async fn run_gateway(
    settings: watch::Receiver<Settings>,
    platform: Box<dyn Platform>,
    seed: u64,
    stop: impl Future<Output = ()>,
) -> Result<(), StartError> {
    let local = LocalSet::new();
    local.run_until(serve(settings, platform, seed, stop)).await
}

async fn serve(
    mut changes: watch::Receiver<Settings>,
    platform: Box<dyn Platform>,
    seed: u64,
    stop: impl Future<Output = ()>,
) -> Result<(), StartError> {
    let settings = changes.borrow_and_update().clone();
    let front = listen(settings.front).context(ListenSnafu {
        addr: settings.front,
    })?;
    let ready = listen(settings.ready).context(ListenSnafu {
        addr: settings.ready,
    })?;
    let peer = listen(settings.peer).context(ListenSnafu {
        addr: settings.peer,
    })?;
    let (metrics, control) = (settings.metrics, settings.control);
    let client = Client::new(ClientOptions {
        platform: settings.store,
        timeout: STORE_TIMEOUT,
        governor: GovernorOptions {
            rate: STORE_CALLS_PER_SECOND,
            burst: STORE_BURST_CALLS,
            max_delay: MAX_STORE_DELAY,
            ..GovernorOptions::default()
        },
        seed,
    });
    log::info!(node = settings.node.as_str(), zone = settings.zone.as_str(), front:% = settings.front; "gateway: started");
    let node = Rc::new(Node::new(settings, platform, seed));
    let (close, closing) = watch::channel(false);
    tokio::task::spawn_local(serve_callers(Rc::clone(&node), front, closing));
    tokio::task::spawn_local(serve_ready(Rc::clone(&node), ready));
    tokio::task::spawn_local(serve_peers(Rc::clone(&node), peer));
    tokio::task::spawn_local(discover_peers(Rc::clone(&node), client.clone()));
    tokio::task::spawn_local(sweep(Rc::clone(&node)));
    tokio::task::spawn_local(watch_connections(Rc::clone(&node)));
    let others = Rc::clone(&node);
    let spreading = spread_facts(Rc::clone(&node.facts), move || others.other_peers());
    tokio::task::spawn_local(spreading);
    tokio::task::spawn_local(ask_at_start(Rc::clone(&node)));
    tokio::task::spawn_local(watch_links(Rc::clone(&node)));
    for kind in [ObjectKind::Configuration, ObjectKind::Servers] {
        tokio::task::spawn_local(sync_objects(Rc::clone(&node), client.clone(), kind));
    }
    if let Some(addr) = control {
        match listen(addr) {
            Ok(listener) => {
                tokio::task::spawn_local(serve_peers(Rc::clone(&node), listener));
            }
            // The control address only helps other gateways to start, so this one starts without it.
            Err(error) => {
                log::warn!(addr:% = addr, reason:% = error; "control: failed to listen; not served")
            }
        }
    }
    tokio::task::spawn_local(watch_settings(Rc::clone(&node), changes));
    if let Some(addr) = metrics {
        match listen(addr) {
            Ok(listener) => {
                tokio::task::spawn_local(serve_metrics(Rc::clone(&node), listener));
            }
            // Serving requests matters more than metrics, so the gateway starts without them.
            Err(error) => {
                log::warn!(addr:% = addr, reason:% = error; "metrics: failed to listen; not served")
            }
        }
    }
    stop.await;
    let grace = node.state.borrow().settings.grace;
    drain(&node, &close, grace).await;
    Ok(())
}

/// Asks for facts once the other gateways are known.
async fn ask_at_start(node: Rc<Node>) {
    let listed = node.peers_listed.notified();
    if node.state.borrow().peers.is_empty() {
        listed.await;
    }
    ask_for_facts(&node.facts, &node.other_peers());
}

async fn watch_settings(node: Rc<Node>, mut changes: watch::Receiver<Settings>) {
    while changes.changed().await.is_ok() {
        let settings = changes.borrow_and_update().clone();
        node.set_settings(settings);
    }
}

/// Waits for the load balancer to notice the stop, then closes idle connections and waits for the requests in progress.
async fn drain(node: &Node, close: &watch::Sender<bool>, grace: Duration) {
    let began = Instant::now();
    node.stopping.set(true);
    log::info!(callers = node.listeners.callers.len(); "gateway: stopping");
    tokio::time::sleep(NOTICE_TIME.min(grace / 2)).await;
    node.refusing.set(true);
    // Sending fails only if every receiver is gone, and with them the connections to close.
    let _ = close.send(true);
    let end = began + grace.saturating_sub(END_MARGIN);
    let is_busy = || node.listeners.callers.len() > 0 || node.delegations.get() > 0;
    while is_busy() && Instant::now() < end {
        tokio::time::sleep(STOP_POLL_INTERVAL).await;
    }
    if is_busy() {
        node.ending.notify_waiters();
        tokio::time::sleep(ANSWER_TIME).await;
    }
    let (callers, delegations) = (node.listeners.callers.len(), node.delegations.get());
    log::info!(callers, delegations; "gateway: stopped");
}

fn listen(addr: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    socket.listen(BACKLOG)
}
