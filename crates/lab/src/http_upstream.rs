//! The endpoints of a modelled server.

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

/// Largest request body in bytes.
const BODY_LIMIT: usize = 1 << 20;

/// Header with the availability zone of the caller.
pub const HEADER_ZONE: &str = "x-zone";

pub(crate) type Answer = Response<Full<Bytes>>;

/// Answers one request, with the network delay from the caller's zone both ways.
pub(crate) async fn respond(host: &Host, request: Request<Incoming>) -> Answer {
    let zone = request.headers().get(HEADER_ZONE);
    let delay = host.delay_from(zone.and_then(|zone| zone.to_str().ok()));
    pause(delay).await;
    let mut answer = route(host, request).await;
    if !answer.headers().contains_key(HEADER_STATE) {
        answer = with_state(answer, current_state(host));
    }
    pause(delay).await;
    answer
}

async fn pause(delay: std::time::Duration) {
    if !delay.is_zero() {
        tokio::time::sleep(delay).await;
    }
}

async fn route(host: &Host, request: Request<Incoming>) -> Answer {
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::GET, "/healthz" | "/load") => report(host),
        (&Method::POST, "/v1/query") => match read_json::<QueryRequest>(request).await {
            Ok(body) => wait(host, host.request(|id| Event::Query(id, body))).await,
            Err(answer) => answer,
        },
        (&Method::POST, "/v1/run") => match read_json::<RunRequest>(request).await {
            Ok(body) => wait(host, host.request(|id| Event::Run(id, body))).await,
            Err(answer) => answer,
        },
        (&Method::POST, "/v1/cancel") => match read_json::<CancelRequest>(request).await {
            Ok(body) => {
                host.drive(Event::Cancel(body.attempt));
                with_state(json(StatusCode::OK, &()), current_state(host))
            }
            Err(answer) => answer,
        },
        _ => text(StatusCode::NOT_FOUND, "no such endpoint"),
    }
}

/// Answers `/healthz` and `/load` with figures that lag, header included, as those endpoints mislead.
fn report(host: &Host) -> Answer {
    let load = host.read(|server| server.reported_load(std::time::Instant::now()));
    with_state(json(StatusCode::OK, &load), load.state)
}

fn current_state(host: &Host) -> UpstreamState {
    host.read(|server| server.state(std::time::Instant::now()))
}

async fn wait(host: &Host, receiver: oneshot::Receiver<Reply>) -> Answer {
    match receiver.await {
        Ok(Reply::Query(reply)) => with_state(json(StatusCode::OK, &reply), reply.state),
        Ok(Reply::Run(reply)) => with_state(json(StatusCode::OK, &reply), reply.state),
        Ok(Reply::Rejected(reject)) => reject_answer(&reject),
        Err(_) => {
            let answer = text(StatusCode::INTERNAL_SERVER_ERROR, "the request was lost");
            with_state(answer, current_state(host))
        }
    }
}

fn reject_answer(reject: &Rejection) -> Answer {
    let status = StatusCode::from_u16(reject.status).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    let mut answer = with_state(json(status, &reject.body), reject.body.state);
    if reject.not_run {
        let one = http::HeaderValue::from_static("1");
        answer.headers_mut().insert(HEADER_NOT_RUN, one);
    }
    answer
}

/// Reads a JSON body; a body that is not valid was not run, and the answer says so.
pub(crate) async fn read_json<T: DeserializeOwned>(
    request: Request<Incoming>,
) -> Result<T, Answer> {
    let invalid = |error: String| {
        let mut answer = text(StatusCode::BAD_REQUEST, &error);
        let one = http::HeaderValue::from_static("1");
        answer.headers_mut().insert(HEADER_NOT_RUN, one);
        answer
    };
    let body = Limited::new(request.into_body(), BODY_LIMIT)
        .collect()
        .await
        .map_err(|error| invalid(error.to_string()))?
        .to_bytes();
    serde_json::from_slice(&body).map_err(|error| invalid(error.to_string()))
}

fn with_state(mut answer: Answer, state: UpstreamState) -> Answer {
    let value = http::HeaderValue::from_static(state.as_str());
    answer.headers_mut().insert(HEADER_STATE, value);
    answer
}

pub(crate) fn json(status: StatusCode, body: &impl Serialize) -> Answer {
    match serde_json::to_vec(body) {
        Ok(bytes) => build(status, "application/json", bytes.into()),
        Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}

pub(crate) fn text(status: StatusCode, message: &str) -> Answer {
    build(
        status,
        "text/plain",
        Bytes::copy_from_slice(message.as_bytes()),
    )
}

fn build(status: StatusCode, kind: &'static str, body: Bytes) -> Answer {
    let mut answer = Response::new(Full::new(body));
    *answer.status_mut() = status;
    let kind = http::HeaderValue::from_static(kind);
    answer
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, kind);
    answer
}
