//! Tests of the modelled upstream servers over loopback sockets.

use std::net::SocketAddr;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use lab::deploy::Deployment;
use lab::deploy::build_skiasis;
use lab::fault::Fault;
use lab::upstreams::Delays;
use lab::upstreams::FleetOptions;
use lab::upstreams::UpstreamFleet;
use rstest::rstest;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpStream;

type Sender = SendRequest<Full<Bytes>>;

async fn start_fleet() -> (Deployment, UpstreamFleet) {
    let mut deployment = build_skiasis(1);
    deployment
        .indexes
        .retain(|index| index.state.index == "swatch-book");
    let options = FleetOptions {
        seed: 1,
        delays: Delays::default(),
        control: SocketAddr::from(([127, 0, 0, 1], 0)),
    };
    let fleet = UpstreamFleet::start(&mut deployment, options)
        .await
        .unwrap();
    (deployment, fleet)
}

async fn connect(addr: SocketAddr) -> Sender {
    let stream = TcpStream::connect(addr).await.unwrap();
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.unwrap();
    tokio::spawn(connection);
    sender
}

async fn send(
    sender: &mut Sender,
    path: &str,
    body: Option<Value>,
) -> hyper::Result<Response<Bytes>> {
    let method = if body.is_some() { "POST" } else { "GET" };
    let body = body
        .map(|body| Bytes::from(body.to_string()))
        .unwrap_or_default();
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", "upstream")
        .header("x-zone", "kriti")
        .body(Full::new(body))
        .unwrap();
    sender.ready().await?;
    let (head, body) = sender.send_request(request).await?.into_parts();
    Ok(Response::from_parts(head, body.collect().await?.to_bytes()))
}

fn build_query(version: u64) -> Option<Value> {
    Some(json!({
        "attempt": 9, "query": "q", "index": "swatch-book", "version": version, "map": 1,
        "shards": [0, 2], "deadline_ms": 5000, "request": "search", "body": { "nonce": 41 },
    }))
}

/// Guards against replies without the state header, wrong parts, and rejections that are not marked as not run.
#[rstest]
#[tokio::test]
async fn replies_carry_the_state_and_not_run_headers() {
    let (deployment, fleet) = start_fleet().await;
    let upstream = &deployment.indexes[0].state.upstreams[0];
    let mut sender = connect(upstream.addr).await;
    let reply = send(&mut sender, "/v1/query", build_query(1))
        .await
        .unwrap();
    assert_eq!(reply.status(), 200);
    assert_eq!(reply.headers()["x-state"], "live");
    let body: Value = serde_json::from_slice(reply.body()).unwrap();
    assert_eq!(body["attempt"], 9);
    assert_eq!(body["parts"][1]["shard"], 2);
    assert_eq!(body["parts"][1]["items"][0]["echo"]["nonce"], 41);

    let wrong_version = send(&mut sender, "/v1/query", build_query(2))
        .await
        .unwrap();
    assert_eq!(wrong_version.status(), 410);
    assert_eq!(wrong_version.headers()["x-not-run"], "1");

    let invalid = send(&mut sender, "/v1/query", Some(json!({})))
        .await
        .unwrap();
    assert_eq!(invalid.status(), 400);
    assert_eq!(invalid.headers()["x-state"], "live");
    assert_eq!(invalid.headers()["x-not-run"], "1");

    let mut control = connect(fleet.control()).await;
    let fault = json!({ "servers": [upstream.id], "fault": { "fault": "drain" } });
    let accepted = send(&mut control, "/control/fault", Some(fault))
        .await
        .unwrap();
    assert_eq!(accepted.status(), 200);
    let draining = send(&mut sender, "/v1/query", build_query(1))
        .await
        .unwrap();
    assert_eq!(draining.headers()["x-state"], "draining");
}

/// Guards against a connection limit that is not enforced, and against refused connections that are not counted.
#[rstest]
#[tokio::test]
async fn connections_over_the_limit_are_closed() {
    let (deployment, fleet) = start_fleet().await;
    let upstream = &deployment.indexes[0].state.upstreams[0];
    let mut senders = Vec::new();
    for _ in 0..upstream.connections {
        senders.push(connect(upstream.addr).await);
    }
    for sender in &mut senders {
        assert_eq!(send(sender, "/healthz", None).await.unwrap().status(), 200);
    }
    let mut extra = connect(upstream.addr).await;
    assert!(send(&mut extra, "/healthz", None).await.is_err());
    let counts = &fleet.counts()[&upstream.id];
    assert_eq!((counts.open, counts.refused), (upstream.connections, 1));
}

/// Guards against a stopped server that still responds, or that cannot be started again.
#[rstest]
#[tokio::test]
async fn stopped_server_can_be_started_again() {
    let (deployment, fleet) = start_fleet().await;
    let upstream = &deployment.indexes[0].state.upstreams[1];
    let mut before = connect(upstream.addr).await;
    assert!(send(&mut before, "/load", None).await.is_ok());
    assert!(fleet.inject(&upstream.id, Fault::Stop));
    assert!(send(&mut before, "/load", None).await.is_err());
    let mut during = connect(upstream.addr).await;
    assert!(send(&mut during, "/load", None).await.is_err());
    assert!(fleet.inject(&upstream.id, Fault::Clear));
    let mut after = connect(upstream.addr).await;
    assert!(send(&mut after, "/load", None).await.is_ok());
}
