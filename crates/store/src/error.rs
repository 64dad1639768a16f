//! Why a call to the platform gave no result.

use std::time::Duration;

use base::Code;
use snafu::Snafu;

use crate::Denied;

/// Why a call to the platform gave no result.
#[derive(Debug, Clone, PartialEq, Snafu)]
pub enum StoreError {
    /// The governor did not let the call through, so nothing was sent.
    #[snafu(display("the call was not sent: {denied}"))]
    Denied {
        /// Reason, with the time until another call may be tried.
        denied: Denied,
    },
    /// No connection could be opened, so nothing was sent.
    #[snafu(display("the platform cannot be reached: {reason}"))]
    Unreachable {
        /// Reason given by the network.
        reason: String,
        /// Time to wait before another try.
        retry_after: Duration,
    },
    /// The request may have been processed, but its reply was lost or came too late.
    #[snafu(display("the reply of the platform was lost: {reason}"))]
    ReplyLost {
        /// Reason given by the network or the timeout.
        reason: String,
        /// Time to wait before another try.
        retry_after: Duration,
    },
    /// The platform answered with an error status.
    #[snafu(display("the platform answered with status {status}"))]
    Rejected {
        /// HTTP status.
        status: u16,
        /// Time to wait before another try.
        retry_after: Duration,
    },
    /// The value cannot be written as JSON, so nothing was sent.
    #[snafu(display("the value cannot be written as JSON: {reason}"))]
    Unwritable {
        /// Reason given by the JSON serializer.
        reason: String,
    },
    /// The reply is not JSON of the expected form.
    #[snafu(display("the reply of the platform is not valid: {reason}"))]
    Invalid {
        /// Reason given by the JSON parser.
        reason: String,
    },
}

impl StoreError {
    /// Returns the result code that operators and callers see.
    pub fn code(&self) -> Code {
        match self {
            StoreError::Denied {
                denied: Denied::Budget { .. },
            } => Code::PlatformBudget,
            StoreError::Rejected { status: 429, .. } => Code::PlatformBudget,
            StoreError::Denied { .. }
            | StoreError::Unreachable { .. }
            | StoreError::ReplyLost { .. }
            | StoreError::Rejected { .. }
            | StoreError::Unwritable { .. }
            | StoreError::Invalid { .. } => Code::PlatformUnavailable,
        }
    }

    /// Returns the time to wait before another try; it is zero where waiting does not help.
    pub fn retry_after(&self) -> Duration {
        match self {
            StoreError::Denied { denied } => denied.retry_after(),
            StoreError::Unreachable { retry_after, .. }
            | StoreError::ReplyLost { retry_after, .. }
            | StoreError::Rejected { retry_after, .. } => *retry_after,
            StoreError::Unwritable { .. } | StoreError::Invalid { .. } => Duration::ZERO,
        }
    }

    /// Tells whether it is certain that the platform did not process the call.
    ///
    /// A 5xx status proves nothing, because a gateway may send it after the write took effect.
    pub fn not_processed(&self) -> bool {
        match self {
            StoreError::Denied { .. }
            | StoreError::Unreachable { .. }
            | StoreError::Unwritable { .. } => true,
            StoreError::Rejected { status, .. } => (400..500).contains(status) && *status != 408,
            StoreError::ReplyLost { .. } | StoreError::Invalid { .. } => false,
        }
    }
}
