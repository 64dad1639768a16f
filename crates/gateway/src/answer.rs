//! Answers to callers: replies that are passed on, refusals and errors.

use bytes::Bytes;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http_body_util::Full;

use crate::attempt::Reply;
use crate::attempt::remove_hop_headers;

/// Time after which a caller is asked to come back when no server could take its request.
const RETRY_AFTER: &str = "0.2";

/// What a caller gets.
pub(crate) type Answer = Response<Full<Bytes>>;

/// Passes the reply of a server on unchanged.
pub(crate) fn pass_reply(reply: Reply) -> Answer {
    let mut answer = Response::new(Full::new(reply.body));
    *answer.status_mut() = reply.status;
    *answer.headers_mut() = reply.headers;
    remove_hop_headers(answer.headers_mut());
    answer
}

/// Refuses a request of which nothing has run or will run.
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
