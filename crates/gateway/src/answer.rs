//! Answers to callers: forwarded replies, refusals and errors.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http_body_util::Full;

use crate::attempt::Reply;
use crate::attempt::remove_hop_headers;

/// Least value of `Retry-After` for a refused request.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Largest value of `Retry-After`, since servers may have room earlier than it seems.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Response to a caller.
pub(crate) type Answer = Response<Full<Bytes>>;

/// Forwards the reply of a server, without its hop-by-hop headers.
pub(crate) fn forward_reply(reply: Reply) -> Answer {
    let mut answer = Response::new(Full::new(reply.body));
    *answer.status_mut() = reply.status;
    *answer.headers_mut() = reply.headers;
    remove_hop_headers(answer.headers_mut());
    answer
}

/// Refuses a request that has not run and will not run, so that the caller may retry it.
pub(crate) fn refuse(reason: &'static str) -> Answer {
    refuse_for(MIN_RETRY_AFTER, reason)
}

/// Refuses a request like [`refuse`]; `time` is that after which servers are expected to take it.
pub(crate) fn refuse_for(time: Duration, reason: &'static str) -> Answer {
    let mut answer = reply_error(StatusCode::SERVICE_UNAVAILABLE, reason);
    let time = time.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
    // A number in decimal notation is a valid header value.
    if let Ok(after) = HeaderValue::from_str(&format!("{:.1}", time.as_secs_f64())) {
        answer
            .headers_mut()
            .insert(http::header::RETRY_AFTER, after);
    }
    answer
}

/// Answers with an error of the gateway itself.
pub(crate) fn reply_error(status: StatusCode, reason: &'static str) -> Answer {
    let mut answer = Response::new(Full::new(Bytes::from_static(reason.as_bytes())));
    *answer.status_mut() = status;
    answer
}
