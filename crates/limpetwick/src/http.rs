//! HTTP client of the command line.

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

/// Maximum size of a response body; a status has a few kilobytes at 590 VMs.
const MAX_BODY_BYTES: usize = 4 << 20;

/// Failure of an HTTP request.
#[derive(Debug, Snafu)]
#[snafu(display("request to {addr} failed: {reason}"))]
pub struct CallError {
    addr: SocketAddr,
    reason: String,
}

/// Formats an error with its causes; the client's message alone does not say why a connection failed.
fn format_causes(error: &dyn Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        text = format!("{text}: {error}");
        cause = error.source();
    }
    text
}

/// Sends a GET request and returns the response body if the status is a success.
pub async fn get(addr: SocketAddr, path: &str, timeout: Duration) -> Result<Bytes, CallError> {
    let fail = |reason: String| CallError { addr, reason };
    let uri = format!("http://{addr}{path}")
        .parse()
        .map_err(|error| fail(format!("{error}")))?;
    let client: Client<_, Empty<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
    let call = async {
        let response = client
            .get(uri)
            .await
            .map_err(|error| format_causes(&error))?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_BODY_BYTES)
            .collect()
            .await;
        let body = body.map_err(|error| error.to_string())?.to_bytes();
        if status.is_success() {
            Ok(body)
        } else {
            Err(format!("status {status}"))
        }
    };
    let result = tokio::time::timeout(timeout, call).await;
    result
        .unwrap_or_else(|_| Err("timed out".into()))
        .map_err(fail)
}
