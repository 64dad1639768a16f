//! Pool of HTTP/1.1 connections to upstreams, limited to this node's share of each upstream's connections.

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

/// Largest reply body that is read; a larger one counts as [`CallError::Lost`].
const MAX_REPLY_BYTES: usize = 8 * 1024 * 1024;

/// Request header with the availability zone of this node.
const HEADER_ZONE: &str = "x-zone";

type Connection = SendRequest<Full<Bytes>>;

/// A complete reply of an upstream.
#[derive(Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: StatusCode,
    /// Whether the upstream declared, in a header, that it did not run the request.
    pub not_run: bool,
    /// State that the upstream reports in a header, if present.
    pub state: Option<UpstreamState>,
    /// Complete body.
    pub body: Bytes,
}

/// A connection that was checked out of the pool for one request.
#[derive(Debug)]
pub struct PooledConnection {
    host: Arc<Host>,
    connection: Connection,
}

/// Why a call returned no reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallError {
    /// All connections of this node's share were in use until the deadline; nothing was sent.
    ShareExhausted,
    /// The server closed the connection before the request was sent, as a server at its connection limit does.
    Refused,
    /// The server could not be reached; nothing was sent.
    Unreachable,
    /// The connection failed after the request was written, or the reply was incomplete.
    Lost,
}

/// Connections of this node to all upstreams.
#[derive(Debug)]
pub struct Pool {
    zone: ZoneName,
    hosts: Mutex<HashMap<UpstreamId, Arc<Host>>>,
}

/// Connections to one upstream.
#[derive(Debug, Default)]
struct Host {
    inner: Mutex<HostInner>,
    available: Notify,
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
        self.host.available.notify_one();
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

    fn try_reserve(self: &Arc<Self>, share: u32) -> Option<ConnectionGuard> {
        let mut inner = self.lock();
        if inner.open >= share {
            return None;
        }
        inner.open += 1;
        Some(ConnectionGuard { host: self.clone() })
    }
}

impl Pool {
    /// Creates an empty pool for a node in this availability zone.
    pub fn new(zone: ZoneName) -> Pool {
        Pool {
            zone,
            hosts: Mutex::default(),
        }
    }

    /// Returns the number of open connections to an upstream, idle ones included.
    pub fn count_open(&self, upstream: &str) -> u32 {
        let hosts = self.hosts.lock().unwrap_or_else(PoisonError::into_inner);
        hosts.get(upstream).map_or(0, |host| host.lock().open)
    }

    /// Closes all idle connections, so that a stopped node keeps no connection to a server open.
    pub fn close_idle(&self) {
        let hosts = self.hosts.lock().unwrap_or_else(PoisonError::into_inner);
        for host in hosts.values() {
            host.lock().idle.clear();
        }
    }

    /// Sends a request over an idle or a new connection and reads the whole reply.
    ///
    /// A request that could not be written because the server had closed the connection is retried once on a new
    /// connection.
    pub async fn call(
        &self,
        upstream: &Upstream,
        share: u32,
        path: &str,
        body: Bytes,
        deadline: Instant,
    ) -> Result<Reply, CallError> {
        let pooled = self.checkout(upstream, share, deadline).await?;
        match self.send(pooled, upstream, path, body.clone()).await {
            Err(CallError::Refused) => {
                let host = self.get_host(&upstream.id);
                let guard = host.try_reserve(share).ok_or(CallError::ShareExhausted)?;
                let connection = connect(guard, upstream).await?;
                self.send(PooledConnection { host, connection }, upstream, path, body)
                    .await
            }
            result => result,
        }
    }

    /// Checks out an idle connection or opens a new one.
    ///
    /// If all connections of the share are in use, waits for one until the deadline, since a cancelled request occupies
    /// its connection until its reply is read.
    pub async fn checkout(
        &self,
        upstream: &Upstream,
        share: u32,
        deadline: Instant,
    ) -> Result<PooledConnection, CallError> {
        let host = self.get_host(&upstream.id);
        let connection =
            tokio::time::timeout_at(deadline.into(), acquire_connection(&host, upstream, share))
                .await
                .unwrap_or(Err(CallError::ShareExhausted))?;
        Ok(PooledConnection { host, connection })
    }

    /// Checks out a connection and verifies it with a health check, because a server that restarts closes idle
    /// connections.
    pub async fn checkout_verified(
        &self,
        upstream: &Upstream,
        share: u32,
        deadline: Instant,
    ) -> Result<PooledConnection, CallError> {
        let mut pooled = self.checkout(upstream, share, deadline).await?;
        tokio::time::timeout_at(deadline.into(), check_health(&mut pooled.connection))
            .await
            .unwrap_or(Err(CallError::Unreachable))?;
        Ok(pooled)
    }

    /// Sends a request over a checked-out connection and reads the whole reply.
    pub async fn send(
        &self,
        pooled: PooledConnection,
        upstream: &Upstream,
        path: &str,
        body: Bytes,
    ) -> Result<Reply, CallError> {
        let PooledConnection {
            host,
            mut connection,
        } = pooled;
        let request = self.build_request(upstream, path, body);
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
            host.available.notify_one();
        }
        Ok(reply)
    }

    fn get_host(&self, upstream: &UpstreamId) -> Arc<Host> {
        let mut hosts = self.hosts.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(host) = hosts.get(upstream) {
            return host.clone();
        }
        hosts.entry(upstream.clone()).or_default().clone()
    }

    fn build_request(&self, upstream: &Upstream, path: &str, body: Bytes) -> Request<Full<Bytes>> {
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

/// Returns an idle connection, opens a new one within the share, or waits until either is possible.
async fn acquire_connection(
    host: &Arc<Host>,
    upstream: &Upstream,
    share: u32,
) -> Result<Connection, CallError> {
    loop {
        if let Some(connection) = host.pop_idle() {
            return Ok(connection);
        }
        if let Some(guard) = host.try_reserve(share) {
            return connect(guard, upstream).await;
        }
        host.available.notified().await;
    }
}

/// Opens a connection, and spawns a task that drives it and holds its `guard` until it closes.
///
/// A health check is sent first, because a server at its connection limit accepts a connection and closes it
/// immediately. A request lost that way could not be distinguished from one that was run.
async fn connect(guard: ConnectionGuard, upstream: &Upstream) -> Result<Connection, CallError> {
    let stream = TcpStream::connect(upstream.addr)
        .await
        .map_err(|_| CallError::Unreachable)?;
    let _ = stream.set_nodelay(true);
    let (mut sender, driver) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|_| CallError::Refused)?;
    tokio::spawn(async move {
        if let Err(error) = driver.await {
            log::debug!("upstream: connection closed with an error: {error}");
        }
        drop(guard);
    });
    check_health(&mut sender).await?;
    Ok(sender)
}

/// Sends a health check and waits for its reply.
async fn check_health(connection: &mut Connection) -> Result<(), CallError> {
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = http::Uri::from_static("/healthz");
    let response = connection
        .send_request(request)
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
