//! Small HTTP calls of the command line.

use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Empty;
use http_body_util::Limited;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use snafu::Snafu;

/// Largest body that is read; a status is a few kilobytes at 590 VMs.
const MAX_BODY: usize = 4 << 20;

/// A call failed.
#[derive(Debug, Snafu)]
#[snafu(display("no answer from {addr}: {reason}"))]
pub struct CallError {
    addr: SocketAddr,
    reason: String,
}

/// Joins an error with its causes; the client's own message leaves out why a connection failed.
fn list_causes(error: &dyn Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        text = format!("{text}: {error}");
        cause = error.source();
    }
    text
}

/// Reads a path of an HTTP server within a time.
pub async fn get(addr: SocketAddr, path: &str, timeout: Duration) -> Result<Bytes, CallError> {
    let fail = |reason: String| CallError { addr, reason };
    let uri = format!("http://{addr}{path}")
        .parse()
        .map_err(|error| fail(format!("{error}")))?;
    let client: Client<_, Empty<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
    let call = async {
        let response = client.get(uri).await.map_err(|error| list_causes(&error))?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_BODY).collect().await;
        let body = body.map_err(|error| error.to_string())?.to_bytes();
        if status.is_success() {
            Ok(body)
        } else {
            Err(format!("status {status}"))
        }
    };
    let result = tokio::time::timeout(timeout, call).await;
    result
        .unwrap_or_else(|_| Err("the time is up".into()))
        .map_err(fail)
}
