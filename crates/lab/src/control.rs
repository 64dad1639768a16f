//! The control port, which injects faults into the modelled upstream servers and returns their counters.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use base::UpstreamId;
use http::Method;
use http::Request;
use http::StatusCode;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use serde::Serialize;
use tokio::net::TcpListener;

use crate::fault::Fault;
use crate::http_upstream::HttpResponse;
use crate::http_upstream::build_json;
use crate::http_upstream::build_text;
use crate::http_upstream::read_json;
use crate::upstreams::Host;
use crate::upstreams::collect_counts;
use crate::upstreams::sum_runs;

type Hosts = Arc<BTreeMap<UpstreamId, Arc<Host>>>;

/// Body of `POST /control/fault`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct FaultRequest {
    /// Servers to inject the fault into; an empty list means all.
    #[serde(default)]
    pub servers: Vec<UpstreamId>,
    /// The fault to inject.
    pub fault: Fault,
}

pub(crate) async fn serve_control(listener: TcpListener, hosts: Hosts) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let hosts = hosts.clone();
        tokio::spawn(async move {
            let service = service_fn(|request| {
                let hosts = hosts.clone();
                async move { Ok::<_, Infallible>(respond(&hosts, request).await) }
            });
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                log::debug!("lab: a connection to the control port failed: {error}");
            }
        });
    }
}

async fn respond(hosts: &Hosts, request: Request<Incoming>) -> HttpResponse {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/control/counts") => build_json(StatusCode::OK, &collect_counts(hosts)),
        (&Method::GET, "/control/runs") => build_json(StatusCode::OK, &sum_runs(hosts)),
        (&Method::POST, "/control/fault") => match read_json(request).await {
            Ok(body) => inject(hosts, &body),
            Err(response) => response,
        },
        _ => build_text(StatusCode::NOT_FOUND, "no such endpoint"),
    }
}

/// Injects a fault into all named servers, or into none when a name is unknown.
fn inject(hosts: &Hosts, request: &FaultRequest) -> HttpResponse {
    let unknown = request.servers.iter().find(|id| !hosts.contains_key(*id));
    if let Some(id) = unknown {
        return build_text(StatusCode::NOT_FOUND, &format!("no server is named {id}"));
    }
    let is_selected = |id: &UpstreamId| request.servers.is_empty() || request.servers.contains(id);
    for (_, host) in hosts.iter().filter(|(id, _)| is_selected(id)) {
        host.inject(request.fault.clone());
    }
    build_json(StatusCode::OK, &())
}
