//! Tests of the load generator; if it missed errors, a demo of a broken tier would pass.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use lab::answer_check::check_answer;
use lab::examples::parse_declarations;
use lab::load_generator::LoadError;
use lab::load_generator::Options;
use lab::load_generator::run_load;
use rstest::rstest;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpListener;

/// Minimum time in which the stub entry server answers.
const SERVICE_TIME: Duration = Duration::from_millis(2);

/// Answers every fifth request with the nonce of another request, and fails every seventh request.
async fn respond(
    request: Request<Incoming>,
    count: Arc<AtomicU64>,
) -> Result<Response<Full<Bytes>>, std::io::Error> {
    assert!(request.headers().contains_key("idempotency-key"));
    let body = request.into_body().collect().await.unwrap().to_bytes();
    let body: Value = serde_json::from_slice(&body).unwrap();
    let number = count.fetch_add(1, Ordering::Relaxed);
    tokio::time::sleep(SERVICE_TIME).await;
    if number % 7 == 6 {
        return Err(std::io::Error::other("broken on purpose"));
    }
    let nonce = body["body"]["nonce"].as_u64().unwrap() + u64::from(number % 5 == 4);
    let answer = json!({
        "outcome": "answered", "code": 100, "coverage": { "members": 4, "covered": 3 },
        "parts": [{ "shard": 0, "version": 1, "map": 1, "items": [{ "echo": { "nonce": nonce } }] }],
    });
    Ok(Response::new(Full::new(Bytes::from(answer.to_string()))))
}

async fn start_entry() -> (SocketAddr, Arc<AtomicU64>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let count = Arc::new(AtomicU64::new(0));
    let served = count.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let count = served.clone();
            let service = service_fn(move |request| respond(request, count.clone()));
            tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
        }
        Ok::<(), Infallible>(())
    });
    (addr, count)
}

fn build_options(target: SocketAddr) -> Options {
    Options {
        targets: vec![target],
        services: parse_declarations("skiasis").unwrap(),
        rate: 400.0,
        duration: Duration::from_millis(500),
        seed: 9,
    }
}

/// Guards against answers that are not counted, and against an answer to another request that is not detected.
#[rstest]
#[tokio::test]
async fn every_request_is_counted_once() {
    let (addr, count) = start_entry().await;
    let report = run_load(&build_options(addr)).await.unwrap();
    let services = || report.services.values();
    let answers: u64 = services().map(|load| load.latency.len()).sum();
    let errors: u64 = services().flat_map(|load| load.errors.values()).sum();
    assert_eq!(answers + errors + report.unsent, report.due);
    let served = count.load(Ordering::Relaxed);
    let wrong = (0..served)
        .filter(|number| number % 5 == 4 && number % 7 != 6)
        .count();
    assert_eq!(report.violations(), wrong as u64);
    assert_eq!(answers, served - served / 7);
}

/// Guards against a histogram without a bound, which records latencies far below their values.
#[rstest]
#[tokio::test]
async fn latencies_include_the_service_time() {
    let (addr, _) = start_entry().await;
    let report = run_load(&build_options(addr)).await.unwrap();
    let service_us = SERVICE_TIME.as_micros() as u64;
    // A histogram with three significant digits may round a value down by a thousandth.
    assert!(
        report
            .services
            .values()
            .all(|load| load.latency.min() >= service_us - service_us / 500)
    );
}

/// Guards against a request count or mix that depends on more than the seed.
#[rstest]
#[tokio::test]
async fn seed_determines_the_requests() {
    let (addr, _) = start_entry().await;
    let first = run_load(&build_options(addr)).await.unwrap();
    let second = run_load(&build_options(addr)).await.unwrap();
    assert_eq!(first.due, second.due);
    let names = |report: &lab::load_generator::RunReport| -> Vec<_> {
        report.services.keys().cloned().collect()
    };
    assert_eq!(names(&first), names(&second));
}

/// Guards against runs that would send nothing or not end.
#[rstest]
#[case::no_rate(0.0, 1)]
#[case::too_many_requests(1e6, 3600)]
#[tokio::test]
async fn invalid_options_are_rejected(#[case] rate: f64, #[case] secs: u64) {
    let mut options = build_options(SocketAddr::from(([127, 0, 0, 1], 1)));
    options.rate = rate;
    options.duration = Duration::from_secs(secs);
    let error = run_load(&options).await.unwrap_err();
    assert!(matches!(
        error,
        LoadError::InvalidRate { .. } | LoadError::TooManyRequests
    ));
}

/// Guards against undetected parts that do not echo the request, and undetected parts of two snapshots.
#[rstest]
#[case::own(json!([{ "version": 1, "map": 1, "items": [{ "echo": { "nonce": 3 } }] }]), (false, false))]
#[case::no_echo(json!([{ "version": 1, "map": 1, "items": [] }]), (true, false))]
#[case::mixed(json!([
    { "version": 1, "map": 1, "items": [{ "echo": { "nonce": 3 } }] },
    { "version": 2, "map": 1, "items": [{ "echo": { "nonce": 3 } }] },
]), (false, true))]
fn wrong_parts_are_detected(#[case] parts: Value, #[case] expected: (bool, bool)) {
    let answer = json!({ "outcome": "answered", "code": 100, "parts": parts });
    let check = check_answer(&answer, 3).unwrap();
    assert_eq!((check.foreign, check.mixed), expected);
}
