//! Connections to servers, kept for further requests.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use limit::GateKey;
use slotmap::SecondaryMap;
use tokio::net::TcpStream;

use crate::node::Node;

/// Time for which an idle connection is used again when the server doesn't say how long it keeps one.
const IDLE_TIME: Duration = Duration::from_secs(4);

/// Time before the end that a server announced from which a connection isn't used any more, because its close may be on
/// the way.
const IDLE_MARGIN: Duration = Duration::from_millis(600);

/// Buffer for a reply head; hyper takes no less.
const BUFFER_BYTES: usize = 8_192;

/// A connection to a server.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    pub(crate) keep: Duration,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: Instant,
}

/// Idle connections by server.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    idle: SecondaryMap<GateKey, Vec<Idle>>,
}

impl Pool {
    /// Takes the connection that was used last and is still good.
    pub(crate) fn take(&mut self, key: GateKey, now: Instant) -> Option<Connection> {
        let idle = self.idle.get_mut(key)?;
        while let Some(last) = idle.pop() {
            if last.is_usable(now) {
                return Some(last.connection);
            }
        }
        None
    }

    /// Keeps a connection whose last reply is complete.
    pub(crate) fn put(&mut self, key: GateKey, connection: Connection, now: Instant) {
        if let Some(idle) = self.idle.entry(key) {
            idle.or_default().push(Idle {
                connection,
                since: now,
            });
        }
    }

    /// Closes the idle connections of a server that gets no requests any more.
    pub(crate) fn remove(&mut self, key: GateKey) {
        self.idle.remove(key);
    }

    /// Closes the connection that is idle for the longest time; returns whether there was one.
    pub(crate) fn close_oldest(&mut self) -> bool {
        let oldest = self
            .idle
            .iter()
            .filter_map(|(key, idle)| Some((idle.first()?.since, key)))
            .min();
        let Some((_, key)) = oldest else {
            return false;
        };
        if let Some(idle) = self.idle.get_mut(key) {
            idle.remove(0);
        }
        true
    }

    /// Closes the connections that can't be used any more.
    pub(crate) fn sweep(&mut self, now: Instant) {
        for idle in self.idle.values_mut() {
            idle.retain(|idle| idle.is_usable(now));
        }
    }
}

impl Idle {
    fn is_usable(&self, now: Instant) -> bool {
        let age = now.saturating_duration_since(self.since);
        age < self.connection.keep && !self.connection.sender.is_closed()
    }
}

/// Counts a connection to a server for as long as it is open.
pub(crate) struct Open {
    node: Rc<Node>,
}

impl Open {
    pub(crate) fn new(node: &Rc<Node>) -> Open {
        node.upstreams.set(node.upstreams.get() + 1);
        Open {
            node: Rc::clone(node),
        }
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.node.upstreams.set(self.node.upstreams.get() - 1);
    }
}

/// Opens a connection; `open` is dropped when it has ended.
pub(crate) async fn connect<T: 'static>(
    addr: SocketAddr,
    open: T,
) -> Result<Connection, std::io::Error> {
    let stream = TcpStream::connect(addr).await?;
    stream.set_nodelay(true)?;
    let (sender, driver) = hyper::client::conn::http1::Builder::new()
        .max_buf_size(BUFFER_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(std::io::Error::other)?;
    tokio::task::spawn_local(async move {
        if let Err(error) = driver.await {
            log::debug!("upstream: connection to {addr} ended: {error}");
        }
        drop(open);
    });
    Ok(Connection {
        sender,
        keep: IDLE_TIME - IDLE_MARGIN,
    })
}

/// Returns how long a connection may be idle, from the value of a `Keep-Alive` header.
pub(crate) fn parse_keep_alive(value: &str) -> Option<Duration> {
    let timeout = value
        .split(',')
        .find_map(|parameter| parameter.trim().strip_prefix("timeout="))?;
    let seconds: u64 = timeout.trim().parse().ok()?;
    Some(Duration::from_secs(seconds).saturating_sub(IDLE_MARGIN))
}
