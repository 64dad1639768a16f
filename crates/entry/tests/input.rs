//! Invalid requests to an entry VM that has no configuration yet; the tests need no platform.

use bytes::Bytes;
use entry::Entry;
use entry::parse_settings;
use entry::start_entry;
use http::HeaderValue;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use rstest::rstest;
use serde_json::Value;

const PATH: &str = "/v1/services/advisers/requests/search";

async fn start_unconfigured() -> Entry {
    let text = "node = \"a\"\nzone = \"z\"\nregion = \"r\"\nlisten = \"127.0.0.1:0\"\npeer = \"127.0.0.1:0\"\n\
                platform = \"127.0.0.1:1\"\n[limits]\nbody_kib = 1\n[shutdown]\nnotice_ms = 0\n";
    start_entry(parse_settings("entry.toml", text).unwrap(), 7)
        .await
        .unwrap()
}

async fn send(entry: &Entry, mut request: Request<Full<Bytes>>) -> (u16, Value) {
    let uri = format!("http://{}{}", entry.addr(), request.uri());
    *request.uri_mut() = uri.parse().unwrap();
    let client = Client::builder(TokioExecutor::new()).build_http();
    let response = client.request(request).await.unwrap();
    let status = response.status().as_u16();
    let body = response.into_body().collect().await.unwrap().to_bytes();
    (status, serde_json::from_slice(&body).unwrap())
}

fn post(body: String, keys: &[&[u8]]) -> Request<Full<Bytes>> {
    let mut request = Request::post(PATH).header("content-type", "application/json");
    for key in keys {
        let value = HeaderValue::from_bytes(key).unwrap();
        request = request.header("idempotency-key", value);
    }
    request.body(Full::new(body.into())).unwrap()
}

/// Guards against a wrong code for invalid input, and against an invalid key that is ignored, so that a retry could run
/// the request again.
#[rstest]
#[case::oversize(format!("{{\"body\":\"{}\"}}", "a".repeat(2000)), &[], 413, 503)]
#[case::malformed("{\"body\":".into(), &[], 400, 502)]
#[case::unknown_field("{\"body\":1,\"explan\":true}".into(), &[], 400, 502)]
#[case::key_not_ascii("{\"body\":1}".into(), &[b"k\xff".as_slice()], 400, 502)]
#[case::key_empty("{\"body\":1}".into(), &[b"".as_slice()], 400, 502)]
#[case::two_keys("{\"body\":1}".into(), &[b"a".as_slice(), b"b"], 400, 502)]
#[case::valid("{\"body\":1}".into(), &[b"a".as_slice()], 503, 300)]
#[tokio::test]
async fn test_invalid_input_returns_its_code(
    #[case] body: String,
    #[case] keys: &[&[u8]],
    #[case] status: u16,
    #[case] code: u16,
) {
    let entry = start_unconfigured().await;
    let (found, answer) = send(&entry, post(body, keys)).await;
    assert_eq!((found, &answer["code"]), (status, &code.into()), "{answer}");
    assert_eq!(answer["outcome"], "refused");
    let health = Request::get("/healthz").body(Full::default()).unwrap();
    assert_eq!(send(&entry, health).await.0, 200);
    entry.stop().await.unwrap();
}

/// Guards against a failed readiness check that does not list what is missing.
#[tokio::test]
async fn test_readiness_lists_what_is_missing() {
    let entry = start_unconfigured().await;
    let request = Request::get("/readyz").body(Full::default()).unwrap();
    let (status, answer) = send(&entry, request).await;
    assert_eq!((status, &answer["code"]), (503, &300.into()));
    let detail = answer["detail"].as_str().unwrap();
    for part in ["configuration", "index", "list of VMs"] {
        assert!(detail.contains(part), "{detail}");
    }
    entry.stop().await.unwrap();
}
