//! The connections that are open at one address, and which of them is closed when there is no room for another one.

use std::time::Duration;
use std::time::Instant;

use slotmap::SlotMap;

slotmap::new_key_type! {
    /// Identifies an open connection.
    pub struct ConnectionKey;
}

/// Time within which a client that has nothing else to do sends a body or reads an answer. Younger ones are not closed for
/// room, because they may be as fast as they can.
const GRACE_TIME: Duration = Duration::from_secs(2);

/// Most time that passes between two calls of [`Connections::advance`], so that a process that was suspended doesn't take
/// its clients for slow ones.
const MAX_STEP: Duration = Duration::from_secs(1);

/// What a connection is doing.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Phase {
    /// Nothing of a request has come since it was opened or since the last answer was sent.
    Idle,
    /// A part of the head of a request has come.
    Head,
    /// The body of a request is read.
    Body,
    /// A request runs.
    Busy,
    /// An answer is sent.
    Answer,
}

/// A connection that is closed, and why it was chosen.
#[derive(Debug)]
pub struct Closed<T> {
    /// What was passed to [`Connections::open`].
    pub handle: T,
    /// What the connection was doing.
    pub phase: Phase,
    /// For how long.
    pub age: Duration,
    /// Bytes that it held.
    pub held: u64,
}

#[derive(Debug)]
struct Connection<T> {
    handle: T,
    phase: Phase,
    /// Time at which the phase began.
    since: Duration,
    /// Bytes of the body that have come, or of the answer that are not sent.
    held: u64,
    /// Parts of answers that are not sent completely.
    sending: u32,
    /// Whether a request was answered.
    answered: bool,
}

impl<T> Connection<T> {
    fn begin(&mut self, phase: Phase, now: Duration) {
        self.phase = phase;
        self.since = now;
        self.held = 0;
    }

    fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.since)
    }

    /// Returns how much the connection holds for how long, if it may be closed for that.
    fn weight(&self, now: Duration) -> Option<u128> {
        let holds = match self.phase {
            // Also one of whose body nothing has come takes the place of another.
            Phase::Body => true,
            Phase::Answer => self.held > 0,
            Phase::Idle | Phase::Head | Phase::Busy => false,
        };
        let age = self.age(now);
        (holds && age >= GRACE_TIME).then_some((u128::from(self.held) + 1) * age.as_millis())
    }

    /// Returns in which order connections are closed to make room for another one; the least goes first.
    fn rank(&self, now: Duration, idle_time: Duration) -> Option<(Reason, u128)> {
        let age = self.age(now);
        let youth = u128::MAX - age.as_millis();
        match self.phase {
            // Its client can tell that nothing of the request has run.
            Phase::Idle if !self.answered => Some((Reason::Unused, youth)),
            Phase::Head => Some((Reason::Unused, youth)),
            Phase::Body | Phase::Answer => {
                let weight = self.weight(now)?;
                Some((Reason::Slow, u128::MAX - weight))
            }
            // A client may be sending a request on a younger one.
            Phase::Idle if age >= idle_time => Some((Reason::Idle, youth)),
            Phase::Idle | Phase::Busy => None,
        }
    }
}

/// Why a connection may be closed, in the order of preference.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Reason {
    /// It has brought no complete request.
    Unused,
    /// It sends a body or reads an answer slowly.
    Slow,
    /// It is not in use, and its client expects it to be closed.
    Idle,
}

/// The open connections of one address.
///
/// A crowd that opens connections and doesn't use them, or doesn't read its answers, would shut out all other callers. So a
/// new one is taken at the expense of the connection that is the least loss. See docs/decisions/0012-clients.md.
#[derive(Debug)]
pub struct Connections<T> {
    open: SlotMap<ConnectionKey, Connection<T>>,
    /// Time that has passed while the process was running.
    now: Duration,
    advanced: Option<Instant>,
}

impl<T> Default for Connections<T> {
    fn default() -> Connections<T> {
        Connections {
            open: SlotMap::with_key(),
            now: Duration::ZERO,
            advanced: None,
        }
    }
}

impl<T> Connections<T> {
    /// Returns the number of open connections.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Returns whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Lets time pass.
    pub fn advance(&mut self, now: Instant) {
        if let Some(advanced) = self.advanced {
            let passed = now.saturating_duration_since(advanced);
            self.now += passed.min(MAX_STEP);
        }
        self.advanced = Some(now);
    }

    /// Adds a connection.
    pub fn open(&mut self, handle: T) -> ConnectionKey {
        self.open.insert(Connection {
            handle,
            phase: Phase::Idle,
            since: self.now,
            held: 0,
            sending: 0,
            answered: false,
        })
    }

    /// Removes a connection that has ended, and returns its handle unless it was closed before.
    pub fn remove(&mut self, key: ConnectionKey) -> Option<T> {
        self.open.remove(key).map(|connection| connection.handle)
    }

    /// Returns the handle of an open connection.
    pub fn handle_mut(&mut self, key: ConnectionKey) -> Option<&mut T> {
        let connection = self.open.get_mut(key)?;
        Some(&mut connection.handle)
    }

    /// Returns what a connection is doing, unless it was closed.
    pub fn phase(&self, key: ConnectionKey) -> Option<Phase> {
        self.open.get(key).map(|connection| connection.phase)
    }

    /// Records that bytes have come.
    pub fn record_read(&mut self, key: ConnectionKey, bytes: u64) {
        let Some(connection) = self.open.get_mut(key) else {
            return;
        };
        match connection.phase {
            Phase::Idle => connection.begin(Phase::Head, self.now),
            Phase::Body => connection.held += bytes,
            Phase::Head | Phase::Busy | Phase::Answer => {}
        }
    }

    /// Records that bytes were sent.
    pub fn record_written(&mut self, key: ConnectionKey, bytes: u64) {
        if let Some(connection) = self.open.get_mut(key)
            && connection.phase == Phase::Answer
        {
            connection.held = connection.held.saturating_sub(bytes);
        }
    }

    /// Begins the next phase of a request: [`Phase::Body`], [`Phase::Busy`] or [`Phase::Answer`].
    pub fn begin(&mut self, key: ConnectionKey, phase: Phase) {
        if let Some(connection) = self.open.get_mut(key) {
            connection.begin(phase, self.now);
        }
    }

    /// Records a part of the answer that is to be sent.
    pub fn begin_part(&mut self, key: ConnectionKey, bytes: u64) {
        if let Some(connection) = self.open.get_mut(key) {
            connection.sending += 1;
            connection.held += bytes;
        }
    }

    /// Records that a part of the answer was sent or dropped. The connection is idle after the last one.
    pub fn end_part(&mut self, key: ConnectionKey) {
        if let Some(connection) = self.open.get_mut(key) {
            connection.sending = connection.sending.saturating_sub(1);
            if connection.sending == 0 && connection.phase == Phase::Answer {
                connection.answered = true;
                connection.begin(Phase::Idle, self.now);
            }
        }
    }

    /// Returns whether a part of an answer is not sent completely.
    pub fn is_sending(&self, key: ConnectionKey) -> bool {
        let connection = self.open.get(key);
        connection.is_some_and(|connection| connection.sending > 0)
    }

    /// Closes the connections whose head is incomplete after `timeout`.
    pub fn close_slow_heads(&mut self, timeout: Duration) -> Vec<Closed<T>> {
        let is_slow = |connection: &Connection<T>| {
            connection.phase == Phase::Head && connection.age(self.now) > timeout
        };
        let open = self.open.iter();
        let slow = open.filter(|(_, connection)| is_slow(connection));
        let slow: Vec<ConnectionKey> = slow.map(|(key, _)| key).collect();
        slow.into_iter().filter_map(|key| self.close(key)).collect()
    }

    /// Closes one connection so that another one can be opened, or returns `None` if all are in use. Clients may reuse a
    /// connection that has been idle for less than `idle_time`.
    pub fn close_for_new(&mut self, idle_time: Duration) -> Option<Closed<T>> {
        let open = self.open.iter();
        let ranked = open.filter_map(|(key, connection)| {
            let rank = connection.rank(self.now, idle_time)?;
            Some((rank, key))
        });
        let (_, key) = ranked.min()?;
        self.close(key)
    }

    /// Returns the most that a connection holds, times the milliseconds for which it has held it.
    pub fn largest_weight(&self) -> Option<u128> {
        let open = self.open.values();
        open.filter_map(|connection| connection.weight(self.now))
            .max()
    }

    /// Closes the connection that holds most for longest, to make room in memory.
    pub fn close_largest(&mut self) -> Option<Closed<T>> {
        let open = self.open.iter();
        let weighed =
            open.filter_map(|(key, connection)| Some((connection.weight(self.now)?, key)));
        let (_, key) = weighed.max()?;
        self.close(key)
    }

    fn close(&mut self, key: ConnectionKey) -> Option<Closed<T>> {
        let connection = self.open.remove(key)?;
        Some(Closed {
            phase: connection.phase,
            age: connection.age(self.now),
            held: connection.held,
            handle: connection.handle,
        })
    }
}
