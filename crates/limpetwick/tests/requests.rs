//! Requests to a deployment in one process that the declarations do not allow.

use bytes::Bytes;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use serde_json::json;

use lab::deploy::build_brunner_vaucher;
use lab::rig::Rig;

async fn call(rig: &Rig, path: &str, shard: u32) -> Value {
    let uri = format!("http://{}/v1/services/{path}", rig.entries[0].addr());
    let body = json!({ "body": 1, "shard": shard }).to_string();
    let request = Request::post(uri)
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body)))
        .unwrap();
    let client = Client::builder(TokioExecutor::new()).build_http();
    let response = client.request(request).await.unwrap();
    let body = response.into_body().collect().await.unwrap().to_bytes();
    serde_json::from_slice(&body).unwrap()
}

/// Guards against access of a service to shards outside its declaration.
#[tokio::test(flavor = "multi_thread")]
async fn test_shard_outside_the_declaration_is_refused() {
    let rig = Rig::start(build_brunner_vaucher(7), 1, 7).await.unwrap();
    let index = rig.deployment.find_index("plan-desk").unwrap();
    let shards = &index.state.maps[0].shards;
    let tagged = |wanted: bool| {
        let mut shards = shards.iter();
        let shard = shards.find(|shard| shard.tags.iter().any(|tag| tag == "ticino") == wanted);
        shard.unwrap().id
    };
    let path = "agents-ticino/requests/search";
    let answer = call(&rig, path, tagged(true)).await;
    assert_eq!(answer["code"], 100, "{answer}");
    for shard in [tagged(false), 99] {
        let answer = call(&rig, path, shard).await;
        assert_eq!(answer["code"], 502, "{answer}");
        let detail = format!("shard {shard} is not one that the declaration covers");
        assert_eq!(answer["detail"], detail.as_str());
    }
    rig.stop().await.unwrap();
}
