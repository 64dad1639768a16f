//! Pool of idle connections to servers.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use limit::GateKey;
use slotmap::SecondaryMap;
use tokio::net::TcpStream;

/// Idle timeout of connections to a server that announces none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Margin before a server's idle timeout, from which on a connection is no longer used because the server may be
/// closing it.
const IDLE_MARGIN: Duration = Duration::from_millis(600);

/// Size of the buffer for the head of a reply, the minimum that hyper accepts.
const BUFFER_BYTES: usize = 8_192;

/// A connection to a server.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    pub(crate) idle_timeout: Duration,
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    since: Instant,
}

/// Idle connections by server.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    idle: SecondaryMap<GateKey, Vec<IdleConnection>>,
}

impl Pool {
    /// Takes the most recently used connection that is still usable.
    pub(crate) fn take(&mut self, key: GateKey, now: Instant) -> Option<Connection> {
        let idle = self.idle.get_mut(key)?;
        while let Some(last) = idle.pop() {
            if last.is_usable(now) {
                return Some(last.connection);
            }
        }
        None
    }

    /// Adds a connection whose last reply is complete.
    pub(crate) fn put(&mut self, key: GateKey, connection: Connection, now: Instant) {
        if let Some(idle) = self.idle.entry(key) {
            idle.or_default().push(IdleConnection {
                connection,
                since: now,
            });
        }
    }

    /// Closes the idle connections to a server.
    pub(crate) fn remove(&mut self, key: GateKey) {
        self.idle.remove(key);
    }

    /// Closes the connection that has been idle for the longest time; returns whether there was one.
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

    /// Closes the connections that timed out or were closed by their server.
    pub(crate) fn remove_expired(&mut self, now: Instant) {
        for idle in self.idle.values_mut() {
            idle.retain(|idle| idle.is_usable(now));
        }
    }
}

impl IdleConnection {
    fn is_usable(&self, now: Instant) -> bool {
        let age = now.saturating_duration_since(self.since);
        age < self.connection.idle_timeout && !self.connection.sender.is_closed()
    }
}

/// Opens a connection; `guard` is dropped when the connection has ended.
pub(crate) async fn connect<T: 'static>(
    addr: SocketAddr,
    guard: T,
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
        drop(guard);
    });
    Ok(Connection {
        sender,
        idle_timeout: DEFAULT_IDLE_TIMEOUT - IDLE_MARGIN,
    })
}

/// Parses the idle timeout from the value of a `Keep-Alive` header, and subtracts [`IDLE_MARGIN`].
pub(crate) fn parse_keep_alive(value: &str) -> Option<Duration> {
    let timeout = value
        .split(',')
        .find_map(|parameter| parameter.trim().strip_prefix("timeout="))?;
    let seconds: u64 = timeout.trim().parse().ok()?;
    Some(Duration::from_secs(seconds).saturating_sub(IDLE_MARGIN))
}
