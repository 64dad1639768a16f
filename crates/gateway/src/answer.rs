//! Answers to callers: forwarded replies, refusals and errors.

use bytes::Bytes;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http_body_util::Full;

use crate::attempt::Reply;
use crate::attempt::remove_hop_headers;

/// Value of `Retry-After` in seconds for a refused request.
const RETRY_AFTER: &str = "0.2";

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
    let mut answer = reply_error(StatusCode::SERVICE_UNAVAILABLE, reason);
    let after = HeaderValue::from_static(RETRY_AFTER);
    answer
        .headers_mut()
        .insert(http::header::RETRY_AFTER, after);
    answer
}

/// Answers with an error of the gateway itself.
pub(crate) fn reply_error(status: StatusCode, reason: &'static str) -> Answer {
    let mut answer = Response::new(Full::new(Bytes::from_static(reason.as_bytes())));
    *answer.status_mut() = status;
    answer
}
