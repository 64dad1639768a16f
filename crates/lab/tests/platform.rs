//! Tests of the client of the object API against the stand-in for the platform, over loopback.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper_util::client::legacy::Client as HttpClient;
use hyper_util::rt::TokioExecutor;

use lab::platform::Fault;
use lab::platform::FaultMode;
use lab::platform::Platform;
use lab::platform::serve_platform;
use store::Client;
use store::ClientOptions;
use store::PutResult;
use store::StoreError;

/// Timeout of calls and watches; only a broken build exceeds it.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

async fn start_platform() -> (Platform, Client) {
    let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let platform = serve_platform(addr, Duration::ZERO).await.unwrap();
    let mut options = ClientOptions::new(platform.addr(), 7);
    options.timeout = WAIT_TIMEOUT;
    let client = Client::new(options);
    (platform, client)
}

/// Guards against a conditional update that overwrites a newer version, and against a conflict with a wrong version.
#[tokio::test]
async fn test_update_with_old_version_conflicts() {
    let (platform, client) = start_platform().await;
    assert_eq!(client.get::<u32>("config", "a").await, Ok(None));
    assert_eq!(
        client.put_if("config", "a", 0, &1).await,
        PutResult::Applied(1)
    );
    assert_eq!(
        client.put_if("config", "a", 0, &2).await,
        PutResult::Conflict(1)
    );
    assert_eq!(
        client.put_if("config", "b", 0, &3).await,
        PutResult::Applied(2)
    );
    assert_eq!(
        client.put_if("config", "a", 1, &4).await,
        PutResult::Applied(3)
    );
    assert_eq!(
        client.put_if("config", "a", 1, &5).await,
        PutResult::Conflict(3)
    );
    let stored = client.get::<u32>("config", "a").await.unwrap().unwrap();
    assert_eq!((stored.version, stored.value), (3, 4));
    platform.close().await.unwrap();
}

/// Guards against an update that is reported as refused although it took effect and only the reply was lost.
#[tokio::test]
async fn test_update_with_lost_reply_is_unknown_and_stored() {
    let (platform, client) = start_platform().await;
    platform.set_fault(Fault {
        mode: FaultMode::LoseReplies,
        times: Some(1),
        delay_ms: 0,
    });
    let put = client.put_if("ledger", "0", 0, &"claim").await;
    assert!(matches!(
        put,
        PutResult::Unknown(StoreError::ReplyLost { .. })
    ));
    let stored = client.get::<String>("ledger", "0").await.unwrap().unwrap();
    assert_eq!((stored.version, stored.value.as_str()), (1, "claim"));
    platform.close().await.unwrap();
}

/// Guards against a watch that misses a change made while it waits, or that returns objects of other kinds.
#[tokio::test]
async fn test_watch_returns_changes_of_its_kind() {
    let (platform, client) = start_platform().await;
    client.put_if("config", "a", 0, &1).await;
    let watch = client.watch::<u32>("config", 1, WAIT_TIMEOUT);
    let write = async {
        client.put_if("ledger", "0", 0, &2).await;
        client.put_if("config", "a", 1, &3).await;
    };
    let (changes, ()) = tokio::join!(watch, write);
    let changes = changes.unwrap();
    assert_eq!(changes.version, 3);
    let names: Vec<&str> = changes.objects.iter().map(|o| o.name.as_str()).collect();
    assert_eq!(names, ["a"]);
    platform.close().await.unwrap();
}

async fn send(platform: &Platform, method: &str, path: &str, body: &str) -> u16 {
    let http = HttpClient::builder(TokioExecutor::new()).build_http();
    let request = hyper::Request::builder()
        .method(method)
        .uri(format!("http://{}{path}", platform.addr()))
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body.to_owned())));
    let response = http.request(request.unwrap()).await.unwrap();
    response.status().as_u16()
}

/// Guards against a list of VMs that does not lag, and against control endpoints that do not work over HTTP.
#[tokio::test]
async fn test_control_endpoints_take_effect() {
    let (platform, client) = start_platform().await;
    let vm = r#"{"id":"a","role":"entry","addr":"127.0.0.1:1","zone":"z","region":"r","state":"leaving"}"#;
    assert_eq!(send(&platform, "PUT", "/vms/a", vm).await, 200);
    assert_eq!(send(&platform, "PUT", "/vms/b", vm).await, 400);
    let vms = client.list_vms().await.unwrap();
    assert_eq!((vms.len(), vms[0].state), (1, base::VmState::Leaving));
    let lag = r#"{"lag_ms":3600000}"#;
    assert_eq!(send(&platform, "POST", "/control/lag", lag).await, 200);
    assert_eq!(client.list_vms().await, Ok(Vec::new()));
    let down = r#"{"mode":"down","times":1}"#;
    assert_eq!(send(&platform, "POST", "/control/fault", down).await, 200);
    let put = client.put_if("config", "a", 0, &1).await;
    assert!(matches!(
        put,
        PutResult::Unknown(StoreError::Rejected { status: 503, .. })
    ));
    assert_eq!(
        client.put_if("config", "a", 0, &1).await,
        PutResult::Applied(1)
    );
    platform.close().await.unwrap();
}

/// Guards against a client that keeps calling a closed platform, or that reports refused updates as unknown.
#[tokio::test]
async fn test_updates_are_refused_when_the_platform_is_closed() {
    let (platform, client) = start_platform().await;
    platform.close().await.unwrap();
    for _ in 0..5 {
        let put = client.put_if("config", "a", 1, &2).await;
        assert!(matches!(put, PutResult::Refused(_)), "{put:?}");
    }
}

/// Guards against a version of the lost history that is taken to be newer than one after a restore: a watch that misses
/// what is written then, and an update on a base that no longer exists.
#[tokio::test]
async fn test_versions_of_different_eras_are_not_compared() {
    let (platform, client) = start_platform().await;
    let _ = client.put_if("index", "a", 0, &1).await;
    let copy = platform.copy();
    for name in ["b", "c", "d"] {
        let _ = client.put_if("index", name, 0, &2).await;
    }
    let watched = client.watch::<u32>("index", 0, Duration::ZERO).await;
    let before = watched.unwrap().version;
    platform.restore(copy);
    let PutResult::Applied(written) = client.put_if("index", "b", 0, &3).await else {
        panic!("not applied");
    };
    assert!(written > before, "{written} after {before}");
    let changes = client.watch::<u32>("index", before, WAIT_TIMEOUT).await;
    let changes = changes.unwrap();
    let names: Vec<&str> = changes
        .objects
        .iter()
        .map(|object| object.name.as_str())
        .collect();
    assert_eq!(names, ["a", "b"]);
    assert!(changes.version > before);
    // Version 2 has been given out again, for another object.
    let stale = client.put_if("index", "b", before - 2, &4).await;
    assert!(matches!(stale, PutResult::Conflict(_)), "{stale:?}");
    platform.close().await.unwrap();
}
