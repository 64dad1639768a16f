//! What is said about one attempt: where its upstream is, why it may not be sent, and how it ended.

/// Where an upstream is, seen from this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// In the node's own availability zone.
    SameZone,
    /// In another zone of the node's region.
    SameRegion,
    /// In another region.
    OtherRegion,
}

/// Why no permit is available; ordered from a matter of milliseconds to permanent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Blocked {
    /// The adaptive concurrency limit is reached.
    Limit,
    /// The connection share of this node is used up.
    Share,
    /// The upstream is paused after consecutive failures, or its single trial is under way.
    Paused,
    /// The upstream is draining.
    Draining,
    /// No such upstream is registered.
    Unknown,
}

/// How an attempt ended, for [`crate::Limits::release`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// A reply came; its time counts.
    Replied,
    /// The upstream shed the request and proved that it was not run.
    Shed,
    /// The upstream rejected the request for a reason other than load, such as a retired version.
    Rejected,
    /// The connection was refused: evidence of the connection limit, not of a failed server.
    Refused,
    /// The connection failed or the reply was lost.
    Failed,
    /// This node gave up on the reply; the time until then is a lower bound of the reply time.
    Cancelled,
}
