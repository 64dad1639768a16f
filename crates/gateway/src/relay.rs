//! Calls between gateways: a gateway long-polls its relay for changes in the store, and asks a seed for the list of
//! peers.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use tokio::net::TcpListener;

use crate::ObjectKind;
use crate::Peer;
use crate::Peers;
use crate::PollResult;
use crate::Snapshot;
use crate::StoreVersion;
use crate::accept::serve_connections;
use crate::node::Node;
use crate::pool::Connection;
use crate::pool::connect;

/// Longest time for which a relay holds a long poll; a stopped relay is detected only after it.
pub(crate) const POLL_TIMEOUT: Duration = Duration::from_millis(900);

/// Time beyond [`POLL_TIMEOUT`] after which a relay counts as unresponsive.
const POLL_MARGIN: Duration = Duration::from_millis(250);

/// Path that returns the list of all gateways.
const PEERS_PATH: &str = "/peers";

/// Longest time to wait for the reply of one seed, which may be in another region or stopped.
const SEED_TIMEOUT: Duration = Duration::from_millis(200);

/// Longest time to wait for a connection to a relay, which is in the same zone.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// Client of a relay, which keeps its connection open between polls.
#[derive(Debug, Default)]
pub(crate) struct RelayClient {
    connection: Option<(SocketAddr, Connection)>,
}

impl RelayClient {
    /// Polls a relay for the changes after a version; any failure of the call counts as unresponsive.
    pub(crate) async fn poll(
        &mut self,
        addr: SocketAddr,
        kind: ObjectKind,
        since: Option<StoreVersion>,
    ) -> PollResult {
        let poll =
            tokio::time::timeout(POLL_TIMEOUT + POLL_MARGIN, self.exchange(addr, kind, since));
        match poll.await {
            Ok(Some(result)) => result,
            Ok(None) | Err(_) => {
                self.connection = None;
                PollResult::Unresponsive
            }
        }
    }

    async fn exchange(
        &mut self,
        addr: SocketAddr,
        kind: ObjectKind,
        since: Option<StoreVersion>,
    ) -> Option<PollResult> {
        let mut connection = match self.connection.take() {
            Some((known, connection)) if known == addr && !connection.sender.is_closed() => {
                connection
            }
            _ => {
                let opened = tokio::time::timeout(CONNECT_TIMEOUT, connect(addr, ()));
                opened.await.ok()?.ok()?
            }
        };
        let (status, body) = fetch(&mut connection, &poll_path(kind, since)).await?;
        self.connection = Some((addr, connection));
        match status {
            StatusCode::OK => Some(PollResult::Changes(body)),
            StatusCode::NO_CONTENT => Some(PollResult::UpToDate),
            StatusCode::ACCEPTED => Snapshot::decode(body).map(PollResult::Snapshot),
            _ => Some(PollResult::Disconnected),
        }
    }
}

/// Asks each seed for the list of gateways; returns the first list that isn't empty.
pub(crate) async fn fetch_from_seeds(seeds: &[SocketAddr]) -> Vec<Peer> {
    for seed in seeds {
        let fetched = tokio::time::timeout(SEED_TIMEOUT, fetch_from_seed(*seed));
        let peers = fetched.await.ok().flatten().unwrap_or_default();
        if !peers.is_empty() {
            return peers;
        }
    }
    Vec::new()
}

async fn fetch_from_seed(seed: SocketAddr) -> Option<Vec<Peer>> {
    let mut connection = connect(seed, ()).await.ok()?;
    let (_, body) = fetch(&mut connection, PEERS_PATH).await?;
    Some(Peers::decode(std::str::from_utf8(&body).ok()?))
}

/// Sends one GET request; a failure has no detail, since callers treat all failures alike.
async fn fetch(connection: &mut Connection, path: &str) -> Option<(StatusCode, Bytes)> {
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = path.parse().ok()?;
    let response = connection.sender.send_request(request).await.ok()?;
    let status = response.status();
    let body = response.into_body().collect().await.ok()?.to_bytes();
    Some((status, body))
}

/// Serves requests of other gateways until the process ends.
pub(crate) async fn serve_peers(node: Rc<Node>, listener: TcpListener) {
    serve_connections(listener, move |request| {
        let node = Rc::clone(&node);
        async move { answer_peer(&node, request.method(), request.uri().path()).await }
    })
    .await;
}

/// Answers a long poll when there are changes or [`POLL_TIMEOUT`] has passed, or at once if the store is lost.
async fn answer_peer(node: &Node, method: &Method, path: &str) -> Response<Full<Bytes>> {
    if path == PEERS_PATH {
        let peers = node.state.borrow().peers.encode();
        return reply(StatusCode::OK, peers.into());
    }
    let parsed = parse_path(path).filter(|_| method == Method::GET);
    let Some((kind, since)) = parsed else {
        return reply(StatusCode::BAD_REQUEST, Bytes::new());
    };
    let end = tokio::time::Instant::now() + POLL_TIMEOUT;
    loop {
        let changed = node.store_changed.notified();
        let result = node
            .state
            .borrow_mut()
            .change_logs
            .get_mut(kind)
            .map_or(PollResult::Disconnected, |log| log.read_since(since));
        match result {
            PollResult::Changes(body) => return reply(StatusCode::OK, body),
            PollResult::Snapshot(snapshot) => {
                return reply(StatusCode::ACCEPTED, snapshot.encode());
            }
            PollResult::Disconnected | PollResult::Unresponsive => {
                return reply(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
            }
            PollResult::UpToDate | PollResult::Starting => {}
        }
        if tokio::time::timeout_at(end, changed).await.is_err() {
            let status = match result {
                PollResult::UpToDate => StatusCode::NO_CONTENT,
                _ => StatusCode::SERVICE_UNAVAILABLE,
            };
            return reply(status, Bytes::new());
        }
    }
}

fn reply(status: StatusCode, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}

fn poll_path(kind: ObjectKind, since: Option<StoreVersion>) -> String {
    let kind = match kind {
        ObjectKind::Configuration => "configuration",
        ObjectKind::Servers => "servers",
        ObjectKind::Peers => "peers",
    };
    match since {
        Some(since) => format!("/{kind}/{since}"),
        None => format!("/{kind}/all"),
    }
}

fn parse_path(path: &str) -> Option<(ObjectKind, Option<StoreVersion>)> {
    let (kind, since) = path.strip_prefix('/')?.split_once('/')?;
    let kind = match kind {
        "configuration" => ObjectKind::Configuration,
        "servers" => ObjectKind::Servers,
        _ => return None,
    };
    match since {
        "all" => Some((kind, None)),
        since => Some((kind, Some(since.parse().ok()?))),
    }
}
