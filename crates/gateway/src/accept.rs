//! Accepts connections, and serves HTTP on them.

use std::convert::Infallible;
use std::error::Error;
use std::io::IoSlice;
use std::net::SocketAddr;
use std::pin::Pin;
use std::pin::pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use http::HeaderValue;
use http::Request;
use http::Response;
use http::header::CONNECTION;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use limit::Phase;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::listener::ClosedConnection;
use crate::listener::Exhausted;
use crate::listener::Listener;
use crate::listener::Slot;
use crate::listener::TrackedBody;
use crate::metrics::Counter;
use crate::node::Node;

/// Delay after a failed `accept`, for instance for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Smallest buffer size that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8_192;

/// What is expected of a client.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ConnectionLimits {
    /// Time for which a connection may be idle.
    pub(crate) idle_timeout: Duration,
    /// Largest head of a request.
    pub(crate) max_head_bytes: usize,
}

/// Accepts connections until the process ends, as far as the limits allow, and passes each to `serve`.
pub(crate) async fn accept_connections(
    node: &Node,
    listener: &Rc<Listener>,
    socket: TcpListener,
    serve: impl Fn(Rc<Slot>, TcpStream),
) {
    loop {
        match socket.accept().await {
            Ok((stream, addr)) => {
                let entered = listener.enter(addr, |closed| report_closed(node, listener, &closed));
                match entered {
                    Ok(slot) => serve(slot, stream),
                    Err(lack) => report_refused(node, listener, addr, lack),
                }
            }
            Err(error) => {
                log::warn!(error:% = error; "accept: failed to accept a connection; retrying after a delay");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Counts and logs a connection that is closed before anything is read, which proves to the client that its request did
/// not run.
fn report_refused(node: &Node, listener: &Listener, addr: SocketAddr, lack: Exhausted) {
    let mut state = node.state.borrow_mut();
    state.metrics.count(Counter::ConnectionRefused);
    if let Some(skipped) = state.allow_log_line("refused connection") {
        let (listener, open) = (listener.name, listener.len());
        log::warn!(listener, addr:% = addr, open, lack:? = lack, skipped; "accept: refused a connection; too many are open");
    }
}

/// Counts and logs a connection that was closed because the head of its request took too long.
pub(crate) fn report_slow_head(node: &Node, listener: &Listener, closed: &ClosedConnection) {
    let mut state = node.state.borrow_mut();
    state.metrics.count(Counter::HeadTimedOut);
    if let Some(skipped) = state.allow_log_line("slow head") {
        let (listener, addr) = (listener.name, closed.handle.addr);
        let ms = closed.age.as_millis() as u64;
        log::info!(listener, addr:% = addr, ms, skipped; "accept: closed a connection; the head of its request is incomplete");
    }
}

/// Counts and logs a connection that was closed to make room.
pub(crate) fn report_closed(node: &Node, listener: &Listener, closed: &ClosedConnection) {
    let mut state = node.state.borrow_mut();
    state.metrics.count(Counter::ConnectionClosed);
    if let Some(skipped) = state.allow_log_line("closed connection") {
        let (listener, addr, phase) = (listener.name, closed.handle.addr, closed.phase);
        let (held, ms) = (closed.held, closed.age.as_millis() as u64);
        log::warn!(listener, addr:% = addr, phase:? = phase, held, ms, skipped; "accept: closed a connection to make room");
    }
}

/// Serves a connection until its client or the listener closes it; once `closing` is true, it is closed after the request in
/// progress.
pub(crate) async fn serve_connection<F, B>(
    slot: Rc<Slot>,
    stream: TcpStream,
    limits: ConnectionLimits,
    mut closing: Option<watch::Receiver<bool>>,
    answer: impl Fn(Request<Incoming>, Rc<Slot>) -> F,
) where
    F: Future<Output = Response<B>>,
    B: Body + Unpin + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(error:% = error; "accept: failed to set TCP_NODELAY");
    }
    let service = service_fn(|request: Request<Incoming>| {
        let slot = Rc::clone(&slot);
        slot.end_head(request.headers().len());
        let answering = answer(request, Rc::clone(&slot));
        async move {
            slot.wait_sent().await;
            if !slot.is_open() {
                // The client takes a connection that closes before its head was read for proof that nothing has run.
                std::future::pending::<()>().await;
            }
            slot.begin(Phase::Busy);
            let mut response = answering.await;
            if slot.is_crowded() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            slot.begin(Phase::Answer);
            Ok::<_, Infallible>(response.map(|body| TrackedBody::new(body, &slot)))
        }
    });
    let stream = TrackedStream {
        stream,
        slot: Rc::clone(&slot),
    };
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.max_head_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let result = loop {
        tokio::select! {
            result = connection.as_mut() => break result,
            () = slot.wait_closed() => return,
            () = wait_closing(&mut closing) => {
                closing = None;
                connection.as_mut().graceful_shutdown();
            }
        }
    };
    if let Err(error) = result {
        log::debug!(error:% = error; "accept: connection failed");
    }
}

/// Waits until connections are to be closed.
async fn wait_closing(closing: &mut Option<watch::Receiver<bool>>) {
    if let Some(receiver) = closing
        && receiver.wait_for(|is_closing| *is_closing).await.is_ok()
    {
        return;
    }
    std::future::pending().await
}

/// Accepts connections until the process ends, and answers their requests with `answer`.
pub(crate) async fn serve_connections<F, B>(
    node: Rc<Node>,
    listener: Rc<Listener>,
    socket: TcpListener,
    limits: ConnectionLimits,
    answer: impl Fn(Request<Incoming>, Rc<Slot>) -> F + Clone + 'static,
) where
    F: Future<Output = Response<B>> + 'static,
    B: Body + Unpin + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    accept_connections(&node, &listener, socket, |slot, stream| {
        let serving = serve_connection(slot, stream, limits, None, answer.clone());
        tokio::task::spawn_local(serving);
    })
    .await;
}

/// A connection that tells its listener what comes and what is sent.
struct TrackedStream {
    stream: TcpStream,
    slot: Rc<Slot>,
}

impl TrackedStream {
    fn record_write(&self, result: &Poll<std::io::Result<usize>>) {
        match result {
            Poll::Ready(Ok(bytes)) => self.slot.record_written(*bytes as u64),
            Poll::Ready(Err(_)) => {}
            Poll::Pending => self.slot.set_blocked(true),
        }
    }
}

impl AsyncRead for TrackedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        let read = buffer.filled().len() - before;
        if read > 0 {
            self.slot.record_read(read as u64);
        }
        result
    }
}

impl AsyncWrite for TrackedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record_write(&result);
        result
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(context, buffers);
        self.record_write(&result);
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
