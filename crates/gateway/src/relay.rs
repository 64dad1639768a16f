//! The calls between gateways: one asks another for the changes in the store.

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
use crate::accept::serve_each;
use crate::node::Node;
use crate::pool::Connection;
use crate::pool::connect;

/// Longest time for which a relay holds a question back; a relay that stopped is noticed after it.
pub(crate) const POLL_TIME: Duration = Duration::from_millis(900);

/// Time beyond [`POLL_TIME`] after which a relay counts as silent.
const POLL_MARGIN: Duration = Duration::from_millis(250);

/// Path of the list of all gateways.
const PEERS_PATH: &str = "/peers";

/// Longest time to wait for the answer of one seed, which may be in another region, or gone.
const SEED_TIME: Duration = Duration::from_millis(200);

/// Longest time to wait for a connection to a relay, which is in the same zone.
const CONNECT_TIME: Duration = Duration::from_millis(150);

/// A connection to a relay.
#[derive(Debug, Default)]
pub(crate) struct Link {
    open: Option<(SocketAddr, Connection)>,
}

impl Link {
    /// Asks a relay for the changes after a version; any failure counts as silence.
    pub(crate) async fn ask(
        &mut self,
        addr: SocketAddr,
        kind: ObjectKind,
        since: Option<StoreVersion>,
    ) -> PollResult {
        let asked = tokio::time::timeout(POLL_TIME + POLL_MARGIN, self.exchange(addr, kind, since));
        match asked.await {
            Ok(Some(passed)) => passed,
            Ok(None) | Err(_) => {
                self.open = None;
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
        let mut connection = match self.open.take() {
            Some((open, connection)) if open == addr && !connection.sender.is_closed() => {
                connection
            }
            _ => {
                let opened = tokio::time::timeout(CONNECT_TIME, connect(addr, ()));
                opened.await.ok()?.ok()?
            }
        };
        let (status, body) = fetch(&mut connection, &question_path(kind, since)).await?;
        self.open = Some((addr, connection));
        match status {
            StatusCode::OK => Some(PollResult::Changes(body)),
            StatusCode::NO_CONTENT => Some(PollResult::UpToDate),
            StatusCode::ACCEPTED => Snapshot::decode(body).map(PollResult::Snapshot),
            _ => Some(PollResult::Disconnected),
        }
    }
}

/// Asks the gateways of the settings for all others; returns the first answer that names any.
pub(crate) async fn ask_seeds(seeds: &[SocketAddr]) -> Vec<Peer> {
    for seed in seeds {
        let asked = tokio::time::timeout(SEED_TIME, ask_seed(*seed));
        let known = asked.await.ok().flatten().unwrap_or_default();
        if !known.is_empty() {
            return known;
        }
    }
    Vec::new()
}

async fn ask_seed(seed: SocketAddr) -> Option<Vec<Peer>> {
    let mut connection = connect(seed, ()).await.ok()?;
    let (_, body) = fetch(&mut connection, PEERS_PATH).await?;
    Some(Peers::decode(std::str::from_utf8(&body).ok()?))
}

/// Sends one question; no answer of a gateway is worth telling why it failed to come.
async fn fetch(connection: &mut Connection, path: &str) -> Option<(StatusCode, Bytes)> {
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = path.parse().ok()?;
    let response = connection.sender.send_request(request).await.ok()?;
    let status = response.status();
    let body = response.into_body().collect().await.ok()?.to_bytes();
    Some((status, body))
}

/// Answers other gateways until the process ends.
pub(crate) async fn serve_peers(node: Rc<Node>, listener: TcpListener) {
    serve_each(listener, move |request| {
        let node = Rc::clone(&node);
        async move { answer(&node, request.method(), request.uri().path()).await }
    })
    .await;
}

/// Waits until there are changes or the time is over, and gives up at once when the store is lost.
async fn answer(node: &Node, method: &Method, path: &str) -> Response<Full<Bytes>> {
    if path == PEERS_PATH {
        let known = node.state.borrow().peers.encode();
        return reply(StatusCode::OK, known.into());
    }
    let question = parse_path(path).filter(|_| method == Method::GET);
    let Some((kind, since)) = question else {
        return reply(StatusCode::BAD_REQUEST, Bytes::new());
    };
    let end = tokio::time::Instant::now() + POLL_TIME;
    loop {
        let news = node.news.notified();
        let passed = node
            .state
            .borrow_mut()
            .logs
            .get_mut(kind)
            .map_or(PollResult::Disconnected, |log| log.read_since(since));
        match passed {
            PollResult::Changes(body) => return reply(StatusCode::OK, body),
            PollResult::Snapshot(snapshot) => {
                return reply(StatusCode::ACCEPTED, snapshot.encode());
            }
            PollResult::Disconnected | PollResult::Unresponsive => {
                return reply(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
            }
            PollResult::UpToDate | PollResult::Starting => {}
        }
        if tokio::time::timeout_at(end, news).await.is_err() {
            let status = match passed {
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

fn question_path(kind: ObjectKind, since: Option<StoreVersion>) -> String {
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
