//! HTTP/1.1 connections to upstreams, never more than this node's share of each server's limit.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Instant;

use base::HEADER_NOT_RUN;
use base::HEADER_STATE;
use base::Upstream;
use base::UpstreamId;
use base::UpstreamState;
use base::ZoneName;
use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Largest reply accepted from an upstream, in bytes; a larger one counts as lost.
const MAX_REPLY_BYTES: usize = 8 * 1024 * 1024;

/// Request header that names the caller's availability zone.
const HEADER_ZONE: &str = "x-zone";

type Connection = SendRequest<Full<Bytes>>;

/// A complete reply of an upstream.
#[derive(Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: StatusCode,
    /// Whether the upstream proved that it did not run the request.
    pub not_run: bool,
    /// State by the upstream's own account, when the reply names it.
    pub state: Option<UpstreamState>,
    /// The whole body.
    pub body: Bytes,
}

/// A connection that was taken for one request.
#[derive(Debug)]
pub struct PooledConnection {
    host: Arc<Host>,
    connection: Connection,
}

/// Why there is no reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallError {
    /// Every connection of this node's share stayed in use until the deadline; nothing was sent.
    ShareExhausted,
    /// The server closed a new connection at once, as one at its connection limit does; nothing was sent.
    Refused,
    /// The server cannot be reached; nothing was sent.
    Unreachable,
    /// The connection broke after the request was written, or the reply was not complete.
    Lost,
}

/// Connections of this node to every upstream that it talks to.
#[derive(Debug)]
pub struct Pool {
    zone: ZoneName,
    hosts: Mutex<HashMap<UpstreamId, Arc<Host>>>,
}

#[derive(Debug, Default)]
struct Host {
    inner: Mutex<HostInner>,
    freed: Notify,
}

#[derive(Debug, Default)]
struct HostInner {
    idle: Vec<Connection>,
    open: u32,
}

/// Counts one open connection of a host until it is dropped.
#[derive(Debug)]
struct ConnectionGuard {
    host: Arc<Host>,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.host.lock().open -= 1;
        self.host.freed.notify_one();
    }
}

impl Host {
    fn lock(&self) -> std::sync::MutexGuard<'_, HostInner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn pop_idle(&self) -> Option<Connection> {
        let mut inner = self.lock();
        while let Some(connection) = inner.idle.pop() {
            if connection.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    fn reserve(self: &Arc<Self>, share: u32) -> Option<ConnectionGuard> {
        let mut inner = self.lock();
        if inner.open >= share {
            return None;
        }
        inner.open += 1;
        Some(ConnectionGuard { host: self.clone() })
    }
}

impl Pool {
    /// Creates an empty pool for a node in `zone`.
    pub fn new(zone: ZoneName) -> Pool {
        Pool {
            zone,
            hosts: Mutex::default(),
        }
    }

    /// Returns the number of open connections to an upstream.
    pub fn open(&self, upstream: &str) -> u32 {
        let hosts = self.hosts.lock().unwrap_or_else(PoisonError::into_inner);
        hosts.get(upstream).map_or(0, |host| host.lock().open)
    }

    /// Closes every idle connection, so that servers see no open connection from a stopped node.
    pub fn close_idle(&self) {
        let hosts = self.hosts.lock().unwrap_or_else(PoisonError::into_inner);
        for host in hosts.values() {
            host.lock().idle.clear();
        }
    }

    /// Sends a request over an idle or a new connection and reads the whole reply.
    ///
    /// A request that comes back unsent, because the server closed the idle connection, is tried once more on a new one.
    pub async fn call(
        &self,
        upstream: &Upstream,
        share: u32,
        path: &str,
        body: Bytes,
        deadline: Instant,
    ) -> Result<Reply, CallError> {
        let ready = self.prepare(upstream, share, deadline).await?;
        match self.send(ready, upstream, path, body.clone()).await {
            Err(CallError::Refused) => {
                let host = self.host(&upstream.id);
                let slot = host.reserve(share).ok_or(CallError::ShareExhausted)?;
                let connection = connect(slot, upstream).await?;
                self.send(PooledConnection { host, connection }, upstream, path, body)
                    .await
            }
            result => result,
        }
    }

    /// Takes an idle connection or opens one.
    ///
    /// When every connection of the share is in use, it waits for one until the deadline: the reply of a cancelled
    /// request keeps its connection for a moment.
    pub async fn prepare(
        &self,
        upstream: &Upstream,
        share: u32,
        deadline: Instant,
    ) -> Result<PooledConnection, CallError> {
        let host = self.host(&upstream.id);
        let connection = tokio::time::timeout_at(deadline.into(), checkout(&host, upstream, share))
            .await
            .unwrap_or(Err(CallError::ShareExhausted))?;
        Ok(PooledConnection { host, connection })
    }

    /// Takes a connection that has just carried a health check, because a server that restarts closes idle connections
    /// too.
    pub async fn checkout_verified(
        &self,
        upstream: &Upstream,
        share: u32,
        deadline: Instant,
    ) -> Result<PooledConnection, CallError> {
        let mut ready = self.prepare(upstream, share, deadline).await?;
        tokio::time::timeout_at(deadline.into(), verify(&mut ready.connection))
            .await
            .unwrap_or(Err(CallError::Unreachable))?;
        Ok(ready)
    }

    /// Sends a request over a connection that was taken, and reads the whole reply.
    pub async fn send(
        &self,
        ready: PooledConnection,
        upstream: &Upstream,
        path: &str,
        body: Bytes,
    ) -> Result<Reply, CallError> {
        let PooledConnection {
            host,
            mut connection,
        } = ready;
        let request = self.request(upstream, path, body);
        let response = match connection.try_send_request(request).await {
            Ok(response) => response,
            Err(mut error) => {
                let unsent = error.take_message().is_some();
                return Err(if unsent {
                    CallError::Refused
                } else {
                    CallError::Lost
                });
            }
        };
        let reply = read_reply(response).await?;
        if connection.ready().await.is_ok() {
            host.lock().idle.push(connection);
            host.freed.notify_one();
        }
        Ok(reply)
    }

    fn host(&self, upstream: &UpstreamId) -> Arc<Host> {
        let mut hosts = self.hosts.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(host) = hosts.get(upstream) {
            return host.clone();
        }
        hosts.entry(upstream.clone()).or_default().clone()
    }

    fn request(&self, upstream: &Upstream, path: &str, body: Bytes) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(body));
        *request.method_mut() = Method::POST;
        *request.uri_mut() = path.parse().unwrap_or_default();
        let headers = request.headers_mut();
        if let Ok(value) = upstream.addr.to_string().parse() {
            headers.insert(http::header::HOST, value);
        }
        headers.insert(
            http::header::CONTENT_TYPE,
            http::HeaderValue::from_static("application/json"),
        );
        if let Ok(value) = self.zone.parse() {
            headers.insert(HEADER_ZONE, value);
        }
        request
    }
}

/// Takes an idle connection, opens one within the share, or waits until one is free.
async fn checkout(
    host: &Arc<Host>,
    upstream: &Upstream,
    share: u32,
) -> Result<Connection, CallError> {
    loop {
        if let Some(connection) = host.pop_idle() {
            return Ok(connection);
        }
        if let Some(slot) = host.reserve(share) {
            return connect(slot, upstream).await;
        }
        host.freed.notified().await;
    }
}

/// Opens a connection; a task drives it until it closes, and only then its slot is free again.
///
/// The connection first carries a health check. A server at its connection limit closes a new connection at once, and a
/// request written to it could not be told apart from one that was run.
async fn connect(slot: ConnectionGuard, upstream: &Upstream) -> Result<Connection, CallError> {
    let stream = TcpStream::connect(upstream.addr)
        .await
        .map_err(|_| CallError::Unreachable)?;
    let _ = stream.set_nodelay(true);
    let (mut sender, driver) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|_| CallError::Refused)?;
    tokio::spawn(async move {
        if let Err(error) = driver.await {
            log::debug!("upstream: connection closed: {error}");
        }
        drop(slot);
    });
    verify(&mut sender).await?;
    Ok(sender)
}

/// Sends a health check and reads its reply.
async fn verify(connection: &mut Connection) -> Result<(), CallError> {
    let mut probe = Request::new(Full::new(Bytes::new()));
    *probe.uri_mut() = http::Uri::from_static("/healthz");
    let response = connection
        .send_request(probe)
        .await
        .map_err(|_| CallError::Refused)?;
    read_reply(response).await.map_err(|_| CallError::Refused)?;
    connection.ready().await.map_err(|_| CallError::Refused)
}

async fn read_reply(response: Response<Incoming>) -> Result<Reply, CallError> {
    let status = response.status();
    let header = |name| {
        response
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok())
    };
    let not_run = header(HEADER_NOT_RUN) == Some("1");
    let state = header(HEADER_STATE).and_then(UpstreamState::parse);
    let body = Limited::new(response.into_body(), MAX_REPLY_BYTES)
        .collect()
        .await
        .map_err(|_| CallError::Lost)?;
    Ok(Reply {
        status,
        not_run,
        state,
        body: body.to_bytes(),
    })
}
