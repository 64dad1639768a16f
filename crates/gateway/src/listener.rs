//! The connections that others have opened to one address of the process: how many there may be, what each of them is
//! doing, and which one is closed when there is no room.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;
use std::time::Instant;

use bytes::Buf;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use limit::Closed;
use limit::ConnectionKey;
use limit::Connections;
use limit::MemoryUse;
use limit::Phase;
use tokio::sync::Notify;

use crate::memory::Memory;
use crate::memory::Reserved;

/// Memory of a connection with small heads, for its task, socket and buffers.
const CONNECTION_BYTES: u64 = 16 << 10;

/// Connections that may be open at an address even if the memory for connections is used up, so that the load balancer and
/// the operator are served, and a few callers get an answer.
const MIN_CONNECTIONS: usize = 16;

/// Part of a head for which [`CONNECTION_BYTES`] are enough.
const SMALL_HEAD_BYTES: u64 = 2 << 10;

/// Memory of a header besides its text.
const HEADER_BYTES: u64 = 128;

/// Part of the limit of connections from which on answers ask clients to close theirs, in percent.
const CROWDED_PERCENT: usize = 75;

/// A connection that was closed to make room, or for being slow, as it stands in the log.
pub(crate) type ClosedConnection = Closed<OpenConnection>;

/// What a listener knows of a connection.
#[derive(Debug)]
pub(crate) struct OpenConnection {
    pub(crate) addr: SocketAddr,
    /// Wakes the task that serves the connection, which then ends.
    closed: Rc<Notify>,
    memory: Reserved,
}

/// Why a connection can't be opened.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Exhausted {
    /// As many are open as the descriptors allow.
    Descriptors,
    /// The memory for connections is used up.
    Memory,
}

/// An address of the process and the connections to it.
#[derive(Debug)]
pub(crate) struct Listener {
    pub(crate) name: &'static str,
    connections: RefCell<Connections<OpenConnection>>,
    limit: Cell<usize>,
    /// Time for which a client may expect that an idle connection can be used.
    idle_time: Cell<Duration>,
    purpose: MemoryUse,
    memory: Rc<Memory>,
}

impl Listener {
    pub(crate) fn new(name: &'static str, purpose: MemoryUse, memory: &Rc<Memory>) -> Rc<Listener> {
        Rc::new(Listener {
            name,
            connections: RefCell::default(),
            limit: Cell::new(0),
            idle_time: Cell::default(),
            purpose,
            memory: Rc::clone(memory),
        })
    }

    /// Sets how many connections may be open.
    pub(crate) fn set_limit(&self, limit: usize) {
        self.limit.set(limit);
    }

    /// Sets the time for which a client may expect that an idle connection can be used.
    pub(crate) fn set_idle_time(&self, idle_time: Duration) {
        self.idle_time.set(idle_time);
    }

    /// Returns the number of open connections.
    pub(crate) fn len(&self) -> usize {
        self.connections.borrow().len()
    }

    /// Returns whether clients should be asked to close their connections, because there are nearly as many as the
    /// descriptors or the memory allow.
    fn is_crowded(&self) -> bool {
        let is_full = self.len() * 100 >= self.limit.get() * CROWDED_PERCENT;
        is_full || self.memory.is_crowded(self.purpose)
    }

    /// Lets time pass for the connections.
    pub(crate) fn advance(&self, now: Instant) {
        self.connections.borrow_mut().advance(now);
    }

    /// Adds a connection; passes those that are closed to make room for it to `report`.
    pub(crate) fn enter(
        self: &Rc<Listener>,
        addr: SocketAddr,
        mut report: impl FnMut(ClosedConnection),
    ) -> Result<Rc<Slot>, Exhausted> {
        let mut memory = Reserved::empty(&self.memory, self.purpose);
        loop {
            let open = self.len();
            let lack = match open < self.limit.get() {
                false => Exhausted::Descriptors,
                true if memory.grow(CONNECTION_BYTES) || open < MIN_CONNECTIONS => break,
                true => Exhausted::Memory,
            };
            let closed = self.close_for_new().ok_or(lack)?;
            report(closed);
        }
        let closed = Rc::new(Notify::new());
        let connection = OpenConnection {
            addr,
            closed: Rc::clone(&closed),
            memory,
        };
        let key = self.connections.borrow_mut().open(connection);
        Ok(Rc::new(Slot {
            listener: Rc::clone(self),
            key,
            closed,
            sent: Notify::new(),
            is_blocked: Cell::new(false),
            head: Cell::new(0),
        }))
    }

    fn close_for_new(&self) -> Option<ClosedConnection> {
        let mut connections = self.connections.borrow_mut();
        let closed = connections.close_for_new(self.idle_time.get());
        close(closed)
    }

    /// Closes the connections whose head is incomplete after `timeout`.
    pub(crate) fn close_slow_heads(&self, timeout: Duration) -> Vec<ClosedConnection> {
        let closed = self.connections.borrow_mut().close_slow_heads(timeout);
        closed
            .into_iter()
            .filter_map(|closed| close(Some(closed)))
            .collect()
    }

    /// Returns the most that a connection holds, times the milliseconds for which it has held it.
    pub(crate) fn largest_weight(&self) -> Option<u128> {
        self.connections.borrow().largest_weight()
    }

    /// Closes the connection that holds most for longest.
    pub(crate) fn close_largest(&self) -> Option<ClosedConnection> {
        close(self.connections.borrow_mut().close_largest())
    }
}

/// Tells the task of a connection to end.
fn close(closed: Option<ClosedConnection>) -> Option<ClosedConnection> {
    closed.inspect(|closed| closed.handle.closed.notify_one())
}

/// The place of an open connection at a [`Listener`]; dropping it gives it up.
#[derive(Debug)]
pub(crate) struct Slot {
    listener: Rc<Listener>,
    key: ConnectionKey,
    closed: Rc<Notify>,
    /// Wakes the next request of the connection when the answer before it is sent.
    sent: Notify,
    /// Whether the client takes no more bytes at the moment.
    is_blocked: Cell<bool>,
    /// Bytes of the current head that have come.
    head: Cell<u64>,
}

impl Slot {
    /// Waits until the connection has to be closed.
    pub(crate) async fn wait_closed(&self) {
        self.closed.notified().await;
    }

    /// Returns whether the client should be asked to close its connection.
    pub(crate) fn is_crowded(&self) -> bool {
        self.listener.is_crowded()
    }

    /// Returns whether the connection was not closed by its listener.
    pub(crate) fn is_open(&self) -> bool {
        let connections = self.listener.connections.borrow();
        connections.phase(self.key).is_some()
    }

    /// Waits until everything is sent, so that a client that sends many requests ahead holds one answer at most.
    pub(crate) async fn wait_sent(&self) {
        loop {
            let sent = self.sent.notified();
            let is_sending = self.listener.connections.borrow().is_sending(self.key);
            if !is_sending && !self.is_blocked.get() {
                return;
            }
            sent.await;
        }
    }

    /// Begins the next phase of a request.
    pub(crate) fn begin(&self, phase: Phase) {
        self.listener
            .connections
            .borrow_mut()
            .begin(self.key, phase);
    }

    /// Records that the head of a request with a number of headers is complete.
    pub(crate) fn end_head(&self, headers: usize) {
        let head = self.head.take();
        // Without memory for it, the listener is crowded, so that the connection is closed after the answer.
        let _ = self.charge(head + HEADER_BYTES * headers as u64);
    }

    /// Records bytes that have come.
    pub(crate) fn record_read(&self, bytes: u64) {
        let phase = {
            let mut connections = self.listener.connections.borrow_mut();
            connections.record_read(self.key, bytes);
            connections.phase(self.key)
        };
        if phase == Some(Phase::Head) {
            self.head.set(self.head.get() + bytes);
            let has_memory = self.charge(self.head.get());
            if !has_memory && self.listener.len() > MIN_CONNECTIONS {
                self.listener.connections.borrow_mut().remove(self.key);
                self.closed.notify_one();
            }
        }
    }

    /// Records bytes that were sent.
    pub(crate) fn record_written(&self, bytes: u64) {
        let mut connections = self.listener.connections.borrow_mut();
        connections.record_written(self.key, bytes);
        self.set_blocked(false);
    }

    /// Records whether the client takes no more bytes at the moment.
    pub(crate) fn set_blocked(&self, is_blocked: bool) {
        if self.is_blocked.replace(is_blocked) && !is_blocked {
            self.sent.notify_waiters();
        }
    }

    /// Charges the buffers that a head of so many bytes needs, which the connection keeps; returns whether there is memory
    /// for them.
    fn charge(&self, head: u64) -> bool {
        let mut connections = self.listener.connections.borrow_mut();
        let Some(connection) = connections.handle_mut(self.key) else {
            return true;
        };
        let needed = CONNECTION_BYTES + head.saturating_sub(SMALL_HEAD_BYTES);
        let more = needed.saturating_sub(connection.memory.bytes());
        more == 0 || connection.memory.grow(more)
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.listener.connections.borrow_mut().remove(self.key);
    }
}

/// A part of an answer that is not sent completely.
#[derive(Debug)]
struct Part {
    slot: Rc<Slot>,
}

impl Part {
    fn new(slot: &Rc<Slot>, bytes: usize) -> Part {
        let mut connections = slot.listener.connections.borrow_mut();
        connections.begin_part(slot.key, bytes as u64);
        Part {
            slot: Rc::clone(slot),
        }
    }
}

impl Drop for Part {
    fn drop(&mut self) {
        let mut connections = self.slot.listener.connections.borrow_mut();
        connections.end_part(self.slot.key);
        self.slot.sent.notify_waiters();
    }
}

/// Body of an answer that tells the listener how much of it is not sent.
#[derive(Debug)]
pub(crate) struct TrackedBody<B> {
    body: B,
    whole: Part,
}

impl<B> TrackedBody<B> {
    pub(crate) fn new(body: B, slot: &Rc<Slot>) -> TrackedBody<B> {
        TrackedBody {
            body,
            whole: Part::new(slot, 0),
        }
    }
}

impl<B: Body + Unpin> Body for TrackedBody<B> {
    type Data = TrackedBytes<B::Data>;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, B::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(context);
        polled.map_ok(|frame| {
            frame.map_data(|data| TrackedBytes {
                _part: Part::new(&self.whole.slot, data.remaining()),
                data,
            })
        })
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Bytes of an answer on their way to the client.
#[derive(Debug)]
pub(crate) struct TrackedBytes<D> {
    data: D,
    _part: Part,
}

impl<D: Buf> Buf for TrackedBytes<D> {
    fn remaining(&self) -> usize {
        self.data.remaining()
    }

    fn chunk(&self) -> &[u8] {
        self.data.chunk()
    }

    fn advance(&mut self, count: usize) {
        self.data.advance(count);
    }
}
