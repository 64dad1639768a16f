//! Whole deployments over loopback in one process.

use std::time::Duration;

use base::Code;
use bytes::Bytes;
use decl::Catalogue;
use decl::Declaration;
use decl::Prefer;
use entry::Entry;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use rstest::rstest;
use serde_json::Value;

use lab::deploy::Deployment;
use lab::deploy::build_brunner_vaucher;
use lab::deploy::build_skiasis;
use lab::fault::Fault;
use lab::rig::Rig;
use lab::rig::write_object;

const SEED: u64 = 11;

/// Timeout for a state that must be reached; only a broken build exceeds it.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

type Http = Client<HttpConnector, Full<Bytes>>;

fn make_client() -> Http {
    Client::builder(TokioExecutor::new()).build_http()
}

async fn search(http: &Http, rig: &Rig, entry: usize, service: &str) -> Value {
    let uri = format!(
        "http://{}/v1/services/{service}/requests/search",
        rig.entries[entry].addr()
    );
    let request = Request::post(uri)
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from_static(
            br#"{"body":{"text":"oak"},"explain":true}"#,
        )))
        .unwrap();
    let response = http.request(request).await.unwrap();
    let body = response.into_body().collect().await.unwrap().to_bytes();
    serde_json::from_slice(&body).unwrap()
}

/// Reduces a deployment to one index, with the given connection limit per server.
fn keep_index(mut deployment: Deployment, index: &str, connections: u32) -> Deployment {
    deployment
        .indexes
        .retain(|candidate| candidate.state.index == index);
    deployment.limit_connections(connections);
    deployment
}

/// Makes a service wait for every shard, so that only a lost shard, and not a busy machine, makes an answer partial.
fn wait_for_all(declaration: &mut Declaration) {
    declaration.deadline = WAIT_TIMEOUT;
    declaration.at_deadline.prefer = Prefer::Coverage;
}

/// Guards against direct connections beyond a server's limit when nodes outnumber its connections, and against parts
/// that are lost or duplicated when a holder relays them.
#[rstest]
#[case::latency_first(build_brunner_vaucher(SEED), "plan-desk", "advisers", &[Code::Answered, Code::PartialDeadline])]
#[case::coverage_first(build_skiasis(SEED), "offcut-desk", "offcuts", &[Code::Answered])]
#[tokio::test(flavor = "multi_thread")]
async fn holders_relay_queries_beyond_the_connection_limit(
    #[case] deployment: Deployment,
    #[case] index: &str,
    #[case] service: &str,
    #[case] allowed: &[Code],
) {
    let rig = Rig::start(keep_index(deployment, index, 10), 9, SEED)
        .await
        .unwrap();
    let http = make_client();
    for entry in 0..rig.entries.len() {
        let answer = search(&http, &rig, entry, service).await;
        assert!(
            allowed.iter().any(|code| answer["code"] == code.number()),
            "{answer}"
        );
        let parts = answer["parts"].as_array().unwrap();
        let mut shards: Vec<u64> = parts
            .iter()
            .map(|part| part["shard"].as_u64().unwrap())
            .collect();
        shards.dedup();
        let missing = answer["coverage"]["missing"].as_array().unwrap().len();
        assert_eq!(shards.len(), parts.len(), "no shard twice");
        assert_eq!(
            parts.len() + missing,
            30,
            "every shard is in the answer or named as missing"
        );
    }
    for (id, counts) in rig.fleet.counts() {
        assert_eq!(counts.refused, 0, "{id} had to refuse a connection");
        assert!(counts.open <= 10, "{id} has {} connections", counts.open);
    }
    rig.stop().await.unwrap();
}

/// Guards against a drain that only the node that observed it knows of. The others must learn of it from their peers,
/// because the platform's list does not include it.
#[tokio::test(flavor = "multi_thread")]
async fn drain_reaches_every_node() {
    let rig = Rig::start_edited(
        keep_index(build_brunner_vaucher(SEED), "plan-desk", 90),
        6,
        SEED,
        wait_for_all,
    )
    .await
    .unwrap();
    assert!(rig.fleet.inject("plan-desk-04", Fault::Drain));
    let known = async {
        for entry in &rig.entries {
            while !entry
                .node()
                .status()
                .upstreams
                .iter()
                .any(|upstream| upstream.upstream == "plan-desk-04")
            {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, known)
        .await
        .expect("every node knows of the drain");
    let before = rig.fleet.counts()["plan-desk-04"].server.received;
    let http = make_client();
    for entry in 0..rig.entries.len() {
        let answer = search(&http, &rig, entry, "advisers").await;
        assert_eq!(
            answer["code"],
            u64::from(Code::Answered.number()),
            "{answer}"
        );
    }
    assert_eq!(
        rig.fleet.counts()["plan-desk-04"].server.received,
        before,
        "no new work"
    );
    rig.stop().await.unwrap();
}

/// Guards against a VM that serves without a configuration, or that gets none although its peers have one.
#[tokio::test(flavor = "multi_thread")]
async fn new_vm_gets_the_configuration_from_peers_during_an_outage() {
    let mut rig = Rig::start(keep_index(build_skiasis(SEED), "registry", 100), 3, SEED)
        .await
        .unwrap();
    let seeds = rig.entries.iter().map(|entry| entry.peer_addr()).collect();
    rig.platform.set_fault(lab::platform::Fault {
        mode: lab::platform::FaultMode::Down,
        ..lab::platform::Fault::NONE
    });
    rig.start_entry_with_seeds(3, SEED, seeds).await.unwrap();
    rig.wait_until_ready().await.unwrap();
    let http = make_client();
    let answer = search(&http, &rig, 3, "registry").await;
    assert_eq!(answer["revision"], 1, "{answer}");
    assert_eq!(
        answer["code"],
        u64::from(Code::Answered.number()),
        "{answer}"
    );
    rig.stop().await.unwrap();
}

/// Guards against shards that are abandoned although replicas in other zones serve them, because each refused
/// connection spends a retry token.
#[tokio::test(flavor = "multi_thread")]
async fn lost_zone_leaves_full_coverage() {
    let rig = Rig::start(keep_index(build_skiasis(SEED), "offcut-desk", 55), 3, SEED)
        .await
        .unwrap();
    let upstreams = &rig.deployment.indexes[0].state.upstreams;
    for upstream in upstreams
        .iter()
        .filter(|upstream| upstream.zone == "attiki")
    {
        assert!(rig.fleet.inject(&upstream.id, Fault::Stop));
    }
    let http = make_client();
    for entry in 0..rig.entries.len() {
        let answer = search(&http, &rig, entry, "offcuts").await;
        assert_eq!(
            answer["code"],
            u64::from(Code::Answered.number()),
            "{answer}"
        );
    }
    rig.stop().await.unwrap();
}

/// Waits until a state holds on every entry VM.
async fn wait_on_every_vm(rig: &Rig, holds: impl Fn(&Entry) -> bool) {
    let waiting = async {
        while !rig.entries.iter().all(&holds) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, waiting)
        .await
        .expect("the state was not reached in time");
}

/// Guards against an index that is written after a restore of the platform and ignored, because its version is lower than
/// one of the lost history.
#[tokio::test(flavor = "multi_thread")]
async fn index_written_after_a_restore_is_used() {
    let rig = Rig::start(keep_index(build_skiasis(SEED), "registry", 100), 3, SEED)
        .await
        .unwrap();
    let mut index = rig.deployment.indexes[0].state.clone();
    let copy = rig.platform.copy();
    for slots in 11..15 {
        index.upstreams[0].slots = slots;
        write_object(&rig.store, "index", "registry", &index)
            .await
            .unwrap();
    }
    let has_slots = |entry: &Entry, slots: u32| {
        let known = entry.node().index("registry");
        known.is_some_and(|known| known.upstreams[0].slots == slots)
    };
    wait_on_every_vm(&rig, |entry| has_slots(entry, 14)).await;
    rig.platform.restore(copy);
    index.upstreams[0].slots = 21;
    write_object(&rig.store, "index", "registry", &index)
        .await
        .unwrap();
    wait_on_every_vm(&rig, |entry| has_slots(entry, 21)).await;
    rig.stop().await.unwrap();
}

/// Guards against a catalogue that is published after a restore of the platform and never in force, because VMs know a
/// higher revision of the lost history.
#[tokio::test(flavor = "multi_thread")]
async fn catalogue_published_after_a_restore_is_in_force() {
    let rig = Rig::start(keep_index(build_skiasis(SEED), "registry", 100), 3, SEED)
        .await
        .unwrap();
    let mut catalogue = Catalogue::clone(&rig.entries[0].node().catalogue().unwrap());
    let copy = rig.platform.copy();
    for revision in 2..6 {
        catalogue.revision = revision;
        catalogue.publish = "lost".into();
        write_object(&rig.store, "config", "catalogue", &catalogue)
            .await
            .unwrap();
    }
    wait_on_every_vm(&rig, |entry| entry.node().revision() == 5).await;
    rig.platform.restore(copy);
    catalogue.revision = 2;
    catalogue.publish = "after".into();
    write_object(&rig.store, "config", "catalogue", &catalogue)
        .await
        .unwrap();
    let is_in_force = |entry: &Entry| {
        entry
            .node()
            .catalogue()
            .is_some_and(|known| known.publish == "after")
    };
    wait_on_every_vm(&rig, is_in_force).await;
    rig.stop().await.unwrap();
}
