//! Accepting connections, and serving those that need no state of their own.

use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// Pause after an error of `accept`, such as a lack of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Time for which a connection may be idle.
const IDLE_TIME: Duration = Duration::from_secs(15);

/// Hands each new connection over, until the process ends.
pub(crate) async fn accept_each(listener: TcpListener, serve: impl Fn(TcpStream)) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => serve(stream),
            Err(error) => {
                log::warn!(error:% = error; "accept: failed");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Answers the requests of each new connection with `answer`, until the process ends.
pub(crate) async fn serve_each<F>(
    listener: TcpListener,
    answer: impl Fn(Request<Incoming>) -> F + Clone + 'static,
) where
    F: Future<Output = Response<Full<Bytes>>>,
{
    accept_each(listener, |stream| {
        let answer = answer.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(|request| {
                let answered = answer(request);
                async move { Ok::<_, Infallible>(answered.await) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(IDLE_TIME)
                .serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                log::debug!(error:% = error; "accept: connection ended");
            }
        });
    })
    .await;
}
