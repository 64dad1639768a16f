//! Errors of calls to the platform.

use std::time::Duration;

use base::Code;
use snafu::Snafu;

use crate::Denied;

/// Error of a call to the platform.
#[derive(Debug, Clone, PartialEq, Snafu)]
pub enum StoreError {
    /// The governor denied the call, so nothing was sent.
    #[snafu(display("the call was not sent: {denied}"))]
    Denied {
        /// Reason, with the time after which a retry may succeed.
        denied: Denied,
    },
    /// No connection could be opened, so nothing was sent.
    #[snafu(display("the platform cannot be reached: {reason}"))]
    Unreachable {
        /// Reason given by the network.
        reason: String,
        /// Time to wait before a retry.
        retry_after: Duration,
    },
    /// The reply was lost or too late, and the request may have been processed.
    #[snafu(display("the reply of the platform was lost: {reason}"))]
    ReplyLost {
        /// Reason given by the network or the timeout.
        reason: String,
        /// Time to wait before a retry.
        retry_after: Duration,
    },
    /// The platform answered with an error status.
    #[snafu(display("the platform answered with status {status}"))]
    Rejected {
        /// HTTP status.
        status: u16,
        /// Time to wait before a retry.
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
    /// Returns the result code for operators and callers.
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

    /// Returns the time to wait before a retry; it is zero where waiting does not help.
    pub fn retry_after(&self) -> Duration {
        match self {
            StoreError::Denied { denied } => denied.retry_after(),
            StoreError::Unreachable { retry_after, .. }
            | StoreError::ReplyLost { retry_after, .. }
            | StoreError::Rejected { retry_after, .. } => *retry_after,
            StoreError::Unwritable { .. } | StoreError::Invalid { .. } => Duration::ZERO,
        }
    }

    /// Returns whether it is certain that the platform did not process the call.
    ///
    /// A 5xx status does not prove this, because a gateway may send it after the write took effect.
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
