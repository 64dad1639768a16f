//! Calls between gateways: a gateway long-polls its relay for changes in the store, and asks a seed for the list of
//! peers.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::ACCEPT_ENCODING;
use http::header::CONTENT_ENCODING;
use http::response::Parts;
use http_body_util::BodyExt;
use http_body_util::Either;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;
use store::parse_era;
use tokio::net::TcpListener;

use crate::ObjectKind;
use crate::Peer;
use crate::Peers;
use crate::PollResult;
use crate::Snapshot;
use crate::StoreEra;
use crate::StoreRevision;
use crate::StoreVersion;
use crate::accept::ConnectionLimits;
use crate::accept::serve_connections;
use crate::answer::Answer;
use crate::answer::AnswerBody;
use crate::delegation::HEADER;
use crate::era::ERA_HEADER;
use crate::facts::FACTS_PATH;
use crate::facts::answer_facts;
use crate::forward::FORWARDED_HEADER;
use crate::forward::answer_forwarded;
use crate::holder::answer_delegated;
use crate::node::Node;
use crate::packed::ENCODING;
use crate::packed::MAX_BYTES;
use crate::packed::unpack;
use crate::pool::Connection;
use crate::pool::connect;

/// Longest time for which a relay holds a long poll; a stopped relay is detected only after it.
pub(crate) const POLL_TIMEOUT: Duration = Duration::from_millis(900);

/// Time beyond [`POLL_TIMEOUT`] after which a relay counts as unresponsive.
const POLL_MARGIN: Duration = Duration::from_millis(250);

/// Limits of the connections of other gateways. A forwarded request has the caller's head and some more headers.
const PEER_LIMITS: ConnectionLimits = ConnectionLimits {
    idle_timeout: Duration::from_secs(15),
    max_head_bytes: 128 << 10,
};

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
        let known = since.map(|since| since.era);
        let (head, body) = fetch(&mut connection, &poll_path(kind, since), known).await?;
        self.connection = Some((addr, connection));
        // A relay of an older build doesn't know of eras.
        let era = parse_era(&head.headers, ERA_HEADER)
            .or(known)
            .unwrap_or_default();
        match head.status {
            StatusCode::OK => Some(PollResult::Changes(era, body)),
            StatusCode::NO_CONTENT => Some(PollResult::UpToDate),
            StatusCode::ACCEPTED => Some(PollResult::Snapshot(era, Snapshot::decode(body)?)),
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
    let (_, body) = fetch(&mut connection, PEERS_PATH, None).await?;
    Some(Peers::decode(std::str::from_utf8(&body).ok()?))
}

/// Sends one GET request; a failure has no detail, since callers treat all failures alike.
async fn fetch(
    connection: &mut Connection,
    path: &str,
    era: Option<StoreEra>,
) -> Option<(Parts, Bytes)> {
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = path.parse().ok()?;
    request
        .headers_mut()
        .insert(ACCEPT_ENCODING, HeaderValue::from_static(ENCODING));
    if let Some(era) = era {
        request.headers_mut().insert(ERA_HEADER, era.into());
    }
    let response = connection.sender.send_request(request).await.ok()?;
    let (head, body) = response.into_parts();
    let body = Limited::new(body, MAX_BYTES).collect().await.ok()?;
    let body = match head.headers.get(CONTENT_ENCODING) {
        Some(_) => unpack(&body.to_bytes())?,
        None => body.to_bytes(),
    };
    Some((head, body))
}

/// Serves requests of other gateways until the process ends.
pub(crate) async fn serve_peers(node: Rc<Node>, socket: TcpListener) {
    let listener = Rc::clone(&node.listeners.peers);
    let answering = Rc::clone(&node);
    serve_connections(node, listener, socket, PEER_LIMITS, move |request, slot| {
        let node = Rc::clone(&answering);
        async move {
            if request.headers().contains_key(HEADER) {
                return answer_delegated(&node, request, &slot).await;
            }
            if request.headers().contains_key(FORWARDED_HEADER) {
                return answer_forwarded(&node, request, &slot)
                    .await
                    .map(Either::Left);
            }
            if request.uri().path() == FACTS_PATH {
                return answer_facts(&node.facts, request).await.map(Either::Left);
            }
            answer_peer(&node, &request).await.map(Either::Left)
        }
    })
    .await;
}

/// Answers a long poll when there are changes or [`POLL_TIMEOUT`] has passed, or at once if the store is lost.
async fn answer_peer(node: &Node, request: &Request<Incoming>) -> Answer {
    let path = request.uri().path();
    if path == PEERS_PATH {
        let peers = node.state.borrow().peers.encode();
        return reply(StatusCode::OK, peers.into());
    }
    let parsed = parse_path(path).filter(|_| request.method() == Method::GET);
    let Some((kind, revision)) = parsed else {
        return reply(StatusCode::BAD_REQUEST, Bytes::new());
    };
    let known = parse_era(request.headers(), ERA_HEADER);
    let end = tokio::time::Instant::now() + POLL_TIMEOUT;
    loop {
        let changed = node.store_changed.notified();
        let result = read_changes(node, kind, revision, known);
        match result {
            PollResult::Changes(era, body) => {
                return reply_packed(node, request, (kind, era), StatusCode::OK, body);
            }
            PollResult::Snapshot(era, snapshot) => {
                let body = snapshot.encode();
                return reply_packed(node, request, (kind, era), StatusCode::ACCEPTED, body);
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

/// Returns the changes after a revision; a follower of an older build names no era, and means that of the relay.
fn read_changes(
    node: &Node,
    kind: ObjectKind,
    revision: Option<StoreRevision>,
    era: Option<StoreEra>,
) -> PollResult {
    let mut state = node.state.borrow_mut();
    let Some(log) = state.change_logs.get_mut(kind) else {
        return PollResult::Disconnected;
    };
    let era = era.or(log.era()).unwrap_or_default();
    log.read_since(revision.map(|revision| StoreVersion { era, revision }))
}

/// Replies with changes of an era of the store.
fn reply_packed(
    node: &Node,
    request: &Request<Incoming>,
    (kind, era): (ObjectKind, StoreEra),
    status: StatusCode,
    body: Bytes,
) -> Answer {
    let mut response = pack_reply(node, request, kind, status, body);
    response.headers_mut().insert(ERA_HEADER, era.into());
    response
}

/// Replies with a compressed body to a gateway that can read one.
fn pack_reply(
    node: &Node,
    request: &Request<Incoming>,
    kind: ObjectKind,
    status: StatusCode,
    body: Bytes,
) -> Answer {
    let accepts = request.headers().get(ACCEPT_ENCODING);
    if accepts.is_none_or(|value| value != ENCODING) {
        return reply(status, body);
    }
    let is_snapshot = status == StatusCode::ACCEPTED;
    let packed = node
        .state
        .borrow_mut()
        .packed_bodies
        .pack(kind, is_snapshot, &body);
    let Some(packed) = packed else {
        return reply(status, body);
    };
    let mut response = reply(status, packed);
    response
        .headers_mut()
        .insert(CONTENT_ENCODING, HeaderValue::from_static(ENCODING));
    response
}

fn reply(status: StatusCode, body: Bytes) -> Answer {
    let mut response = Response::new(AnswerBody::uncounted(body));
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
        Some(since) => format!("/{kind}/{}", since.revision),
        None => format!("/{kind}/all"),
    }
}

fn parse_path(path: &str) -> Option<(ObjectKind, Option<StoreRevision>)> {
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
