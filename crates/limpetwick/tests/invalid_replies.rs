//! Invalid replies of an upstream.

use std::sync::Mutex;

use bytes::Bytes;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use log::Log;
use log::Metadata;
use log::Record;
use serde_json::Value;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;

use lab::deploy::build_brunner_vaucher;
use lab::rig::Rig;
use lab::rig::write_object;

/// Replies in order: malformed JSON, JSON with the wrong schema, deep nesting, not HTTP, and a closed connection.
const REPLIES: [&[u8]; 5] = [
    b"HTTP/1.1 200 OK\r\ncontent-length: 8\r\n\r\nnot json",
    b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}",
    b"HTTP/1.1 200 OK\r\ncontent-length: 12\r\n\r\n[[[[[[[[[[[[",
    b"\x00\xff\r\n\r\n",
    b"",
];

/// Reply to a health check.
const HEALTHY: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// Logger that records the warnings of this process.
struct WarningRecorder(Mutex<Vec<String>>);

static WARNINGS: WarningRecorder = WarningRecorder(Mutex::new(Vec::new()));

impl Log for WarningRecorder {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.level() <= log::Level::Warn
    }

    fn log(&self, record: &Record<'_>) {
        if self.enabled(record.metadata()) {
            self.0.lock().unwrap().push(record.args().to_string());
        }
    }

    fn flush(&self) {}
}

async fn serve_invalid_replies(listener: tokio::net::TcpListener) {
    for reply in REPLIES.into_iter().cycle() {
        let Ok((mut stream, _)) = listener.accept().await else {
            return;
        };
        tokio::spawn(async move {
            let mut request = [0; 4096];
            let read = stream.read(&mut request).await.unwrap_or(0);
            // Entry VMs send a health check on each new connection and a request only after it succeeds.
            if request[..read].starts_with(b"GET /healthz") {
                let _ = stream.write_all(HEALTHY).await;
                let _ = stream.read(&mut request).await;
            }
            let _ = stream.write_all(reply).await;
        });
    }
}

async fn search(rig: &Rig) -> Value {
    let addr = rig.entries[0].addr();
    let uri = format!("http://{addr}/v1/services/advisers/requests/search");
    let request = Request::post(uri)
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from_static(b"{\"body\":1}")))
        .unwrap();
    let client = Client::builder(TokioExecutor::new()).build_http();
    let response = client.request(request).await.unwrap();
    let body = response.into_body().collect().await.unwrap().to_bytes();
    serde_json::from_slice(&body).unwrap()
}

/// Guards against a VM that stops serving or returns parts after invalid replies, and against a log line without the
/// upstream.
#[tokio::test(flavor = "multi_thread")]
async fn test_invalid_replies_give_no_answer_and_log_the_upstream() {
    log::set_logger(&WARNINGS).unwrap();
    log::set_max_level(log::LevelFilter::Warn);
    let mut rig = Rig::start(build_brunner_vaucher(7), 0, 7).await.unwrap();
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let server = tokio::spawn(serve_invalid_replies(listener));
    let mut index = rig
        .deployment
        .find_index("plan-desk")
        .unwrap()
        .state
        .clone();
    for upstream in &mut index.upstreams {
        upstream.addr = addr;
    }
    write_object(&rig.store, "index", "plan-desk", &index)
        .await
        .unwrap();
    rig.start_entry(0, 7).await.unwrap();
    rig.wait_until_ready().await.unwrap();
    for _ in 0..10 {
        let answer = search(&rig).await;
        assert_ne!(answer["outcome"], "answered", "{answer}");
        assert!(answer["parts"].as_array().is_none_or(Vec::is_empty));
    }
    let warnings = WARNINGS.0.lock().unwrap().clone();
    let has_upstream = |line: &&String| {
        line.starts_with("upstream: reply of plan-desk-") && line.ends_with("(code 507)")
    };
    assert!(
        warnings.iter().any(|line| has_upstream(&line)),
        "{warnings:?}"
    );
    server.abort();
    rig.stop().await.unwrap();
}
