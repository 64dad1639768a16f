//! Answers to callers: forwarded replies, refusals and errors.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Buf;
use bytes::Bytes;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

use crate::attempt::Reply;
use crate::attempt::remove_hop_headers;
use crate::memory::BodyMemory;

/// Least value of `Retry-After` for a refused request.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Largest value of `Retry-After`, since servers may have room earlier than it seems.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Response to a caller.
pub(crate) type Answer = Response<AnswerBody>;

/// Bytes on their way to a client, and the memory reserved for them, which is held until the last byte is written.
#[derive(Debug)]
pub(crate) struct AnswerBytes {
    bytes: Bytes,
    _memory: Option<BodyMemory>,
}

impl AnswerBytes {
    pub(crate) fn new(bytes: Bytes, memory: Option<BodyMemory>) -> AnswerBytes {
        AnswerBytes {
            bytes,
            _memory: memory,
        }
    }
}

impl Buf for AnswerBytes {
    fn remaining(&self) -> usize {
        self.bytes.remaining()
    }

    fn chunk(&self) -> &[u8] {
        self.bytes.chunk()
    }

    fn advance(&mut self, count: usize) {
        self.bytes.advance(count);
    }
}

/// Body of an answer, which is sent as a whole.
#[derive(Debug)]
pub(crate) struct AnswerBody {
    data: Option<AnswerBytes>,
}

impl AnswerBody {
    /// Creates a body whose memory is not counted, because all answers share the bytes or they are few.
    pub(crate) fn uncounted(bytes: Bytes) -> AnswerBody {
        AnswerBody::new(bytes, None)
    }

    pub(crate) fn new(bytes: Bytes, memory: Option<BodyMemory>) -> AnswerBody {
        AnswerBody {
            data: Some(AnswerBytes::new(bytes, memory)),
        }
    }

    fn length(&self) -> usize {
        self.data.as_ref().map_or(0, Buf::remaining)
    }
}

impl Body for AnswerBody {
    type Data = AnswerBytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<AnswerBytes>, Infallible>>> {
        Poll::Ready(self.data.take().map(|data| Ok(Frame::data(data))))
    }

    fn is_end_stream(&self) -> bool {
        self.length() == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.length() as u64)
    }
}

/// Forwards the reply of a server, without its hop-by-hop headers.
pub(crate) fn forward_reply(reply: Reply) -> Answer {
    let mut answer = Response::new(AnswerBody::new(reply.body, reply.memory));
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
    let bytes = Bytes::from_static(reason.as_bytes());
    let mut answer = Response::new(AnswerBody::uncounted(bytes));
    *answer.status_mut() = status;
    answer
}
