//! Sends delegated services of a request to a holder, and passes on the parts that it streams back.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::mpsc::UnboundedSender;

use crate::Peer;
use crate::attempt::OutgoingRequest;
use crate::attempt::Reply;
use crate::delegation::Delegation;
use crate::delegation::Frame;
use crate::delegation::FrameDecoder;
use crate::delegation::HEADER;
use crate::forward::CUT_HEADER;
use crate::memory::BodyMemory;
use crate::metrics::Counter;
use crate::node::Node;
use crate::pool::Connection;
use crate::pool::connect;
use crate::request::Progress;

/// Longest time to wait for a connection to a holder, which is in the same zone.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(60);

/// Longest time without any bytes from a holder; while it waits for servers, it sends a frame at
/// [`ALIVE_INTERVAL`].
///
/// [`ALIVE_INTERVAL`]: crate::holder::ALIVE_INTERVAL
const SILENCE_TIMEOUT: Duration = Duration::from_millis(120);

/// Time for which a connection to a holder may be idle, less than that after which the holder closes it.
const IDLE_TIMEOUT: Duration = Duration::from_secs(12);

/// Idle connections to holders.
#[derive(Debug, Default)]
pub(crate) struct HolderPool {
    idle: HashMap<SocketAddr, Vec<(Instant, Connection)>>,
}

impl HolderPool {
    pub(crate) fn take(&mut self, addr: SocketAddr, now: Instant) -> Option<Connection> {
        let idle = self.idle.get_mut(&addr)?;
        while let Some((since, connection)) = idle.pop() {
            if is_usable(since, &connection, now) {
                return Some(connection);
            }
        }
        None
    }

    pub(crate) fn put(&mut self, addr: SocketAddr, connection: Connection, now: Instant) {
        self.idle.entry(addr).or_default().push((now, connection));
    }

    /// Closes the connections that were idle for too long.
    pub(crate) fn remove_expired(&mut self, now: Instant) {
        self.idle.retain(|_, idle| {
            idle.retain(|(since, connection)| is_usable(*since, connection, now));
            !idle.is_empty()
        });
    }
}

fn is_usable(since: Instant, connection: &Connection, now: Instant) -> bool {
    now.saturating_duration_since(since) < IDLE_TIMEOUT && !connection.sender.is_closed()
}

/// Why a holder is not relied on for a request.
struct Lost {
    reason: &'static str,
    /// Whether it may have sent attempts.
    may_have_run: bool,
    /// Whether the holder is healthy and refuses just this request.
    refused: bool,
    /// Whether the holder says that it reaches no server.
    cut: bool,
}

const fn lost(reason: &'static str, may_have_run: bool) -> Lost {
    Lost {
        reason,
        may_have_run,
        refused: false,
        cut: false,
    }
}

const REFUSED: Lost = Lost {
    reason: "the holder refused the request",
    may_have_run: false,
    refused: true,
    cut: false,
};

const CUT: Lost = Lost {
    reason: "the holder reaches no server",
    may_have_run: false,
    refused: true,
    cut: true,
};

/// Asks a holder for parts, and reports each of them and, if the holder fails, the services that are still open.
pub(crate) async fn delegate(
    node: Rc<Node>,
    outgoing: Rc<OutgoingRequest>,
    holder: Peer,
    delegation: Delegation,
    results: UnboundedSender<Progress>,
) {
    let mut open = delegation.services.clone();
    let result = exchange(&node, &outgoing, &holder, &delegation, &mut open, &results).await;
    let mut state = node.state.borrow_mut();
    let Err(lost) = result else {
        state.holders.record_success(&holder.node);
        return;
    };
    // A holder with another configuration, which refuses, may serve the next request.
    if !lost.refused {
        state.holders.record_failure(&holder.node, Instant::now());
    }
    state.metrics.count(Counter::HolderLost);
    if let Some(skipped) = state.allow_log_line("holder lost") {
        let id = outgoing.id.to_str().unwrap_or("?");
        let (holder, reason, may_have_run) = (holder.node.as_str(), lost.reason, lost.may_have_run);
        log::info!(id, holder, reason, may_have_run, services = open.len(), skipped; "holder: lost; sending to its servers from here");
    }
    drop(state);
    if lost.cut {
        node.facts.note_cut(&holder.node);
        for service in open {
            // The receiver is gone if the request has ended meanwhile.
            let _ = results.send(Progress::Returned { service, runs: 0 });
        }
        return;
    }
    // The receiver is gone if the request has ended meanwhile.
    let _ = results.send(Progress::HolderLost {
        services: open,
        may_have_run: lost.may_have_run,
    });
}

async fn exchange(
    node: &Rc<Node>,
    outgoing: &OutgoingRequest,
    holder: &Peer,
    delegation: &Delegation,
    open: &mut Vec<usize>,
    results: &UnboundedSender<Progress>,
) -> Result<(), Lost> {
    let idle = node
        .state
        .borrow_mut()
        .holder_pool
        .take(holder.addr, Instant::now());
    let mut connection = match idle {
        Some(connection) => connection,
        None => {
            let opening = tokio::time::timeout(CONNECT_TIMEOUT, connect(holder.addr, ()));
            match opening.await {
                Ok(Ok(connection)) => connection,
                Ok(Err(_)) => return Err(lost("the connection was refused", false)),
                Err(_) => return Err(lost("the connection timed out", false)),
            }
        }
    };
    let mut request = outgoing
        .build(&node.headers)
        .ok_or_else(|| lost("the deadline has passed", false))?;
    // The encoded header is hexadecimal digits and spaces, which are a valid value.
    let value = HeaderValue::from_str(&delegation.encode())
        .map_err(|_| lost("the services can't be named", false))?;
    request.headers_mut().insert(HEADER, value);
    let sending = connection.sender.try_send_request(request);
    let response = match tokio::time::timeout(SILENCE_TIMEOUT, sending).await {
        Ok(Ok(response)) => response,
        Ok(Err(mut error)) => {
            let may_have_run = error.take_message().is_none();
            return Err(lost("the connection closed before the reply", may_have_run));
        }
        Err(_) => return Err(lost("no reply came in time", true)),
    };
    match response.status() {
        StatusCode::OK => {}
        StatusCode::SERVICE_UNAVAILABLE if response.headers().contains_key(CUT_HEADER) => {
            return Err(CUT);
        }
        StatusCode::SERVICE_UNAVAILABLE => return Err(REFUSED),
        _ => return Err(lost("the holder does not know delegated requests", false)),
    }
    receive_parts(node, response.into_body(), open, results).await?;
    let now = Instant::now();
    node.state
        .borrow_mut()
        .holder_pool
        .put(holder.addr, connection, now);
    Ok(())
}

/// Passes on frames until the reply ends or the holder is silent.
async fn receive_parts(
    node: &Rc<Node>,
    mut body: Incoming,
    open: &mut Vec<usize>,
    results: &UnboundedSender<Progress>,
) -> Result<(), Lost> {
    let mut decoder = FrameDecoder::default();
    let mut memory = BodyMemory::empty(&node.memory);
    loop {
        let received = tokio::time::timeout(SILENCE_TIMEOUT, body.frame()).await;
        let bytes = match received {
            Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            Ok(Some(Err(_))) => return Err(lost("the connection closed within the reply", true)),
            Ok(None) => break,
            Err(_) => return Err(lost("the holder fell silent", true)),
        };
        if !memory.grow(bytes.len() as u64) {
            return Err(lost("no memory left for the reply", true));
        }
        decoder.extend(&bytes);
        loop {
            match decoder.next_frame() {
                Ok(Some(frame)) => {
                    if let Some(progress) = translate_frame(node, frame, open)? {
                        // The receiver is gone if the request has ended meanwhile.
                        let _ = results.send(progress);
                    }
                }
                Ok(None) => break,
                Err(_) => return Err(lost("the reply is not valid", true)),
            }
        }
        memory.shrink_to(decoder.buffered() as u64);
    }
    if !open.is_empty() || decoder.is_partial() {
        return Err(lost("the reply ended early", true));
    }
    Ok(())
}

/// Translates a frame about a service that is still open; any other service makes the reply invalid.
fn translate_frame(
    node: &Rc<Node>,
    frame: Frame,
    open: &mut Vec<usize>,
) -> Result<Option<Progress>, Lost> {
    let service = match &frame {
        Frame::Alive => return Ok(None),
        Frame::Part { service, .. }
        | Frame::GivenUp { service, .. }
        | Frame::Returned { service, .. } => *service,
    };
    let Some(position) = open.iter().position(|other| *other == service) else {
        return Err(lost("the reply names a service that is not open", true));
    };
    open.swap_remove(position);
    let progress = match frame {
        Frame::Part {
            signature, body, ..
        } => match build_reply(node, &signature, body) {
            Some(reply) => Progress::Delivered { service, reply },
            None => Progress::GivenUp { service, runs: 1 },
        },
        Frame::GivenUp { runs, .. } => Progress::GivenUp { service, runs },
        Frame::Returned { runs, .. } => Progress::Returned { service, runs },
        Frame::Alive => return Ok(None),
    };
    Ok(Some(progress))
}

/// Builds the reply of a server from a part, or returns `None` if no memory is left or the signature is not valid.
fn build_reply(node: &Rc<Node>, signature: &[u8], body: Bytes) -> Option<Reply> {
    let mut memory = BodyMemory::empty(&node.memory);
    if !memory.grow(body.len() as u64) {
        return None;
    }
    let signature = HeaderValue::from_bytes(signature).ok()?;
    Some(Reply {
        status: StatusCode::OK,
        headers: HeaderMap::from_iter([(node.headers.signature.clone(), signature)]),
        // The part is a slice of the buffer of all parts, which is not kept for it.
        body: Bytes::copy_from_slice(&body),
        is_failure: false,
        memory: Some(memory),
    })
}
