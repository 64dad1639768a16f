//! The HTTP endpoints of a modelled upstream server.

use base::CancelRequest;
use base::HEADER_NOT_RUN;
use base::HEADER_STATE;
use base::QueryRequest;
use base::RunRequest;
use base::UpstreamState;
use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::oneshot;

use crate::server::Event;
use crate::server::Rejection;
use crate::server::Reply;
use crate::upstreams::Host;

/// Largest request body that is read.
const MAX_BODY_BYTES: usize = 1 << 20;

/// Header with the availability zone of the caller.
pub const HEADER_ZONE: &str = "x-zone";

pub(crate) type HttpResponse = Response<Full<Bytes>>;

/// Responds to one request, and adds the network delay from the caller's zone before and after processing.
pub(crate) async fn respond(host: &Host, request: Request<Incoming>) -> HttpResponse {
    let zone = request.headers().get(HEADER_ZONE);
    let delay = host.delay_from(zone.and_then(|zone| zone.to_str().ok()));
    apply_delay(delay).await;
    let mut response = route(host, request).await;
    if !response.headers().contains_key(HEADER_STATE) {
        response = with_state(response, current_state(host));
    }
    apply_delay(delay).await;
    response
}

async fn apply_delay(delay: std::time::Duration) {
    if !delay.is_zero() {
        tokio::time::sleep(delay).await;
    }
}

async fn route(host: &Host, request: Request<Incoming>) -> HttpResponse {
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::GET, "/healthz" | "/load") => report_load(host),
        (&Method::POST, "/v1/query") => match read_json::<QueryRequest>(request).await {
            Ok(body) => await_reply(host, host.submit_request(|id| Event::Query(id, body))).await,
            Err(response) => response,
        },
        (&Method::POST, "/v1/run") => match read_json::<RunRequest>(request).await {
            Ok(body) => await_reply(host, host.submit_request(|id| Event::Run(id, body))).await,
            Err(response) => response,
        },
        (&Method::POST, "/v1/cancel") => match read_json::<CancelRequest>(request).await {
            Ok(body) => {
                host.process_event(Event::Cancel(body.attempt));
                with_state(build_json(StatusCode::OK, &()), current_state(host))
            }
            Err(response) => response,
        },
        _ => build_text(StatusCode::NOT_FOUND, "no such endpoint"),
    }
}

/// Responds to `/healthz` and `/load` with lagging load and state, also in the header, as real endpoints do.
fn report_load(host: &Host) -> HttpResponse {
    let load = host.read(|server| server.reported_load(std::time::Instant::now()));
    with_state(build_json(StatusCode::OK, &load), load.state)
}

fn current_state(host: &Host) -> UpstreamState {
    host.read(|server| server.state(std::time::Instant::now()))
}

async fn await_reply(host: &Host, receiver: oneshot::Receiver<Reply>) -> HttpResponse {
    match receiver.await {
        Ok(Reply::Query(reply)) => with_state(build_json(StatusCode::OK, &reply), reply.state),
        Ok(Reply::Run(reply)) => with_state(build_json(StatusCode::OK, &reply), reply.state),
        Ok(Reply::Rejected(rejection)) => build_rejection(&rejection),
        Err(_) => {
            let response = build_text(
                StatusCode::INTERNAL_SERVER_ERROR,
                "the server dropped the request without a reply",
            );
            with_state(response, current_state(host))
        }
    }
}

fn build_rejection(rejection: &Rejection) -> HttpResponse {
    let status = StatusCode::from_u16(rejection.status).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    let mut response = with_state(build_json(status, &rejection.body), rejection.body.state);
    if rejection.not_run {
        let one = http::HeaderValue::from_static("1");
        response.headers_mut().insert(HEADER_NOT_RUN, one);
    }
    response
}

/// Reads a JSON body; the response to an invalid body states that the request was not run.
pub(crate) async fn read_json<T: DeserializeOwned>(
    request: Request<Incoming>,
) -> Result<T, HttpResponse> {
    let invalid = |error: String| {
        let mut response = build_text(StatusCode::BAD_REQUEST, &error);
        let one = http::HeaderValue::from_static("1");
        response.headers_mut().insert(HEADER_NOT_RUN, one);
        response
    };
    let body = Limited::new(request.into_body(), MAX_BODY_BYTES)
        .collect()
        .await
        .map_err(|error| invalid(error.to_string()))?
        .to_bytes();
    serde_json::from_slice(&body).map_err(|error| invalid(error.to_string()))
}

fn with_state(mut response: HttpResponse, state: UpstreamState) -> HttpResponse {
    let value = http::HeaderValue::from_static(state.as_str());
    response.headers_mut().insert(HEADER_STATE, value);
    response
}

pub(crate) fn build_json(status: StatusCode, body: &impl Serialize) -> HttpResponse {
    match serde_json::to_vec(body) {
        Ok(bytes) => build_response(status, "application/json", bytes.into()),
        Err(error) => build_text(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}

pub(crate) fn build_text(status: StatusCode, message: &str) -> HttpResponse {
    build_response(
        status,
        "text/plain",
        Bytes::copy_from_slice(message.as_bytes()),
    )
}

fn build_response(status: StatusCode, content_type: &'static str, body: Bytes) -> HttpResponse {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    let content_type = http::HeaderValue::from_static(content_type);
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, content_type);
    response
}
