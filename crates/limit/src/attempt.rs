//! Properties of an attempt: how far its upstream is, why it may not be sent, and how it ended.

use base::ZoneName;

/// Location of an upstream relative to this node, nearest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// In the node's own availability zone.
    SameZone,
    /// In another zone of the node's region.
    SameRegion,
    /// In another region.
    OtherRegion,
}

impl Distance {
    /// Returns the distance between two places, each given by its availability zone and its region.
    pub fn between<R: PartialEq>(one: (&ZoneName, R), other: (&ZoneName, R)) -> Distance {
        if one.0 == other.0 {
            Distance::SameZone
        } else if one.1 == other.1 {
            Distance::SameRegion
        } else {
            Distance::OtherRegion
        }
    }
}

/// Why no permit is available; ordered by how long that lasts, from milliseconds to permanently.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Blocked {
    /// The adaptive concurrency limit is reached.
    Limit,
    /// The connection share of this node is used up.
    Share,
    /// The part of this node in the limit that the upstream has named is used up.
    Quota,
    /// The upstream is paused after consecutive failures, or its single trial attempt is in flight.
    Paused,
    /// The upstream is draining.
    Draining,
    /// No such upstream is registered.
    Unknown,
}

/// How an attempt ended, for [`crate::Limits::release`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// A reply arrived; its reply time is recorded.
    Replied,
    /// The upstream shed the request and proved that it was not run.
    Shed,
    /// The upstream rejected the request for a reason other than load, such as a retired version.
    Rejected,
    /// The connection was refused, which points to the server's connection limit rather than a failure.
    Refused,
    /// The connection failed or the reply was lost.
    Failed,
    /// This node could not send the attempt, for a reason of its own; it says nothing about the upstream.
    Unsent,
    /// This node abandoned the attempt; the elapsed time is a lower bound of the reply time.
    Cancelled,
}
