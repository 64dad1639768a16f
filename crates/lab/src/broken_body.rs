//! A response body that fails, so that the client sees a closed connection.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use dropshot::Body;
use http::Response;
use hyper::body::Frame;

/// Returns a response whose body fails, which makes the server close the connection.
pub(crate) fn break_connection() -> Response<Body> {
    Response::new(Body::wrap(BrokenBody))
}

struct BrokenBody;

impl hyper::body::Body for BrokenBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        Poll::Ready(Some(Err(io::ErrorKind::ConnectionReset.into())))
    }
}
