//! Accepts connections, and serves HTTP on those that need no handling of their own.

use std::convert::Infallible;
use std::error::Error;
use std::time::Duration;

use http::Request;
use http::Response;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// Delay after a failed `accept`, for instance for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Time for which a connection may be idle.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Accepts connections until the process ends, and passes each to `serve`.
pub(crate) async fn accept_connections(listener: TcpListener, serve: impl Fn(TcpStream)) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => serve(stream),
            Err(error) => {
                log::warn!(error:% = error; "accept: failed to accept a connection; retrying after a delay");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Accepts connections until the process ends, and answers their requests with `answer`.
pub(crate) async fn serve_connections<F, B>(
    listener: TcpListener,
    answer: impl Fn(Request<Incoming>) -> F + Clone + 'static,
) where
    F: Future<Output = Response<B>>,
    B: Body + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    accept_connections(listener, |stream| {
        let answer = answer.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(|request| {
                let answered = answer(request);
                async move { Ok::<_, Infallible>(answered.await) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(IDLE_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                log::debug!(error:% = error; "accept: connection failed");
            }
        });
    })
    .await;
}
