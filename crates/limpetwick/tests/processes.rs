//! Processes that are killed, paused and stopped: no answer is wrong, lost or duplicated.

mod fleet;

use std::sync::Arc;
use std::time::Duration;

use nix::sys::signal::Signal;
use serde_json::Value;
use serde_json::json;
use tokio::task::JoinSet;

use crate::fleet::Fleet;

fn get_code(answer: &Value) -> u64 {
    answer["code"].as_u64().unwrap_or(0)
}

/// Starts a query over 45 shards at every entry VM but the first.
fn start_exports(fleet: &Arc<Fleet>) -> JoinSet<Option<Value>> {
    let mut calls = JoinSet::new();
    for entry in 1..fleet.entries.len() {
        let fleet = fleet.clone();
        calls.spawn(async move { fleet.call(entry, "portal-export", "export", None).await });
    }
    calls
}

/// Guards against a planned stop that aborts requests in progress.
#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_answers_every_request() {
    let mut fleet = Fleet::start("planned_stop").await;
    fleet
        .inject(&[], json!({ "fault": "slow", "factor": 10.0 }))
        .await;
    let mut calls = JoinSet::new();
    let shared = Arc::new(fleet);
    for _ in 0..20 {
        let fleet = shared.clone();
        calls.spawn(async move { fleet.call(0, "advisers", "search", None).await });
    }
    tokio::time::sleep(Duration::from_millis(60)).await;
    shared.entries[0].process.signal(Signal::SIGTERM);
    let answers = calls.join_all().await;
    assert!(
        answers.iter().all(Option::is_some),
        "every caller has an answer"
    );
    fleet = Arc::into_inner(shared).expect("the calls have ended");
    assert_eq!(fleet.entries[0].process.wait(), Some(0));
}

/// Guards against a planned stop of a holder that aborts sub-requests of other VMs. With ten connections per server, six
/// VMs cannot all connect to it. The replies take longer than a second, so that a stop that waits for less than the
/// longest declared deadline fails the test.
#[tokio::test(flavor = "multi_thread")]
async fn stopping_holder_finishes_sub_requests_of_its_peers() {
    let fleet = Fleet::start_with("stopping_holder", 6, &["--connections", "10"]).await;
    fleet
        .inject(&[], json!({ "fault": "slow", "factor": 250.0 }))
        .await;
    let fleet = Arc::new(fleet);
    let calls = start_exports(&fleet);
    tokio::time::sleep(Duration::from_millis(100)).await;
    fleet.entries[0].process.signal(Signal::SIGTERM);
    for answer in calls.join_all().await {
        let answer = answer.expect("every caller has an answer");
        assert_eq!(answer["explanation"]["lost"], 0, "{answer}");
    }
    let mut fleet = Arc::into_inner(fleet).expect("the calls have ended");
    assert_eq!(fleet.entries[0].process.wait(), Some(0));
}

/// Guards against wrong coverage after a holder dies during a query: a missing shard not reported, or one counted twice.
#[tokio::test(flavor = "multi_thread")]
async fn coverage_is_correct_after_holder_is_killed() {
    let fleet = Fleet::start_with("killed_holder", 6, &["--connections", "10"]).await;
    fleet
        .inject(&[], json!({ "fault": "slow", "factor": 10.0 }))
        .await;
    let fleet = Arc::new(fleet);
    let calls = start_exports(&fleet);
    tokio::time::sleep(Duration::from_millis(40)).await;
    fleet.entries[0].process.signal(Signal::SIGKILL);
    for answer in calls.join_all().await {
        let answer = answer.expect("every caller has an answer");
        let coverage = &answer["coverage"];
        let missing = coverage["missing"]
            .as_array()
            .expect("the missing shards are listed")
            .len();
        let answered = coverage["answered"]
            .as_u64()
            .expect("the answered shards are counted");
        assert_eq!(
            answered + missing as u64,
            coverage["shards"].as_u64().unwrap(),
            "{answer}"
        );
        if let Some(parts) = answer["parts"].as_array() {
            let mut shards: Vec<u64> = parts
                .iter()
                .filter_map(|part| part["shard"].as_u64())
                .collect();
            shards.dedup();
            assert_eq!(shards.len() as u64, answered, "no shard twice: {answer}");
        }
    }
}

/// Guards against a second run when a VM dies during a request and the caller retries through another VM.
#[tokio::test(flavor = "multi_thread")]
async fn request_runs_at_most_once_after_vm_is_killed() {
    let fleet = Fleet::start("killed_vm").await;
    fleet
        .inject(&[], json!({ "fault": "slow", "factor": 10.0 }))
        .await;
    let first = fleet.call(0, "instalments", "post-instalment", Some("k-kill"));
    let kill = async {
        tokio::time::sleep(Duration::from_millis(40)).await;
        fleet.entries[0].process.signal(Signal::SIGKILL);
    };
    let (first, ()) = tokio::join!(first, kill);
    fleet.inject(&[], json!({ "fault": "clear" })).await;
    let second = fleet
        .call(1, "instalments", "post-instalment", Some("k-kill"))
        .await;
    let second = second.expect("the other VM answers");
    let runs = fleet.count_runs("k-kill").await;
    assert!(runs <= 1, "it ran {runs} times");
    if first.as_ref().is_some_and(|first| get_code(first) == 100) {
        assert_eq!(get_code(&second), 100, "a retry gets the first outcome");
    }
    if get_code(&second) == 100 {
        assert_eq!(runs, 1, "an answered request ran");
    }
}

/// Guards against a request that is sent without a claim while the platform is paused, and against reads that depend
/// on the platform. A read that waits for the platform fails at its deadline, however long that is.
#[tokio::test(flavor = "multi_thread")]
async fn paused_platform_refuses_claims_but_not_reads() {
    let fleet = Fleet::start_with_deadline("paused_platform", "advisers", "30s").await;
    fleet.platform.signal(Signal::SIGSTOP);
    let read = fleet
        .call(0, "advisers", "search", None)
        .await
        .expect("a read is answered");
    assert!([100, 200, 201].contains(&get_code(&read)), "{read}");
    let post = fleet
        .call(1, "instalments", "post-instalment", Some("k-freeze"))
        .await;
    let post = post.expect("the caller has an answer");
    assert!([305, 306, 404].contains(&get_code(&post)), "{post}");
    assert_eq!(fleet.count_runs("k-freeze").await, 0, "nothing was sent");
    fleet.platform.signal(Signal::SIGCONT);
    if post["outcome"] == "refused" {
        let again = fleet
            .call(2, "instalments", "post-instalment", Some("k-freeze-2"))
            .await;
        assert!(again.is_some());
        assert_eq!(
            fleet.count_runs("k-freeze").await,
            0,
            "a refused request does not run later"
        );
    }
}

/// Guards against a second run when a paused VM resumes a request that another VM has run in the meantime.
#[tokio::test(flavor = "multi_thread")]
async fn paused_vm_does_not_run_a_request_twice() {
    let fleet = Fleet::start("paused_vm").await;
    let pause = async {
        fleet.entries[0].process.signal(Signal::SIGSTOP);
        let other = fleet
            .call(1, "instalments", "post-instalment", Some("k-pause"))
            .await;
        fleet.entries[0].process.signal(Signal::SIGCONT);
        other
    };
    let (first, second) = tokio::join!(
        fleet.call(0, "instalments", "post-instalment", Some("k-pause")),
        pause
    );
    let answered = [&first, &second]
        .into_iter()
        .flatten()
        .filter(|answer| get_code(answer) == 100)
        .count();
    let runs = fleet.count_runs("k-pause").await;
    assert!(runs <= 1, "it ran {runs} times");
    assert!(answered == 0 || runs == 1, "{first:?} {second:?}");
}
