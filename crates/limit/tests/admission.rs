//! Fairness, bounds and deadlines of the admission queues.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use limit::Admission;
use limit::Dequeued;
use limit::Priority;
use limit::Refusal;
use limit::Request;
use rstest::rstest;

fn create_request(
    service: &'static str,
    priority: Priority,
    cost: u32,
    deadline: Instant,
) -> Request<&'static str> {
    Request {
        service: service.into(),
        priority,
        cost,
        deadline,
        item: service,
    }
}

/// Guards against a service that takes the capacity share of another by many queries, or by queries over many shards.
#[rstest]
#[case::equal_cost(Priority::Interactive, 30, 30, 0.5)]
#[case::unequal_cost(Priority::Interactive, 120, 30, 0.5)]
#[case::batch(Priority::Batch, 30, 30, 1.0 / 9.0)]
fn capacity_is_shared_fairly(
    #[case] priority: Priority,
    #[case] flood_cost: u32,
    #[case] cost: u32,
    #[case] expected: f64,
) {
    let now = Instant::now();
    let deadline = now + Duration::from_secs(3600);
    let mut admission = Admission::new(120, 4_000);
    for _ in 0..4_000 {
        let flood = create_request("flood", priority, flood_cost, deadline);
        admission.enqueue(flood, now).unwrap();
    }
    for _ in 0..1_000 {
        let other = create_request("other", Priority::Interactive, cost, deadline);
        admission.enqueue(other, now).unwrap();
    }
    let mut served: BTreeMap<&str, f64> = BTreeMap::new();
    while served.values().sum::<f64>() < 20_000.0 {
        let Some(Dequeued::Run(service, cost)) = admission.dequeue(now) else {
            panic!(
                "dequeue returned no query although {} are waiting",
                admission.queued()
            );
        };
        *served.entry(service).or_default() += f64::from(cost);
        admission.finish(cost, Duration::ZERO);
    }
    let share = served["flood"] / served.values().sum::<f64>();
    assert!(
        (share - expected).abs() < 0.03,
        "the flooding service got a share of {share}"
    );
}

/// Guards against unbounded queues, and against admitting queries that cannot meet their deadline.
#[rstest]
#[case::admitted(100, 4, None)]
#[case::queue_full(100_000, 10, Some(Refusal::QueueFull))]
#[case::wait_too_long(100, 9, Some(Refusal::TooLate))]
#[case::shorter_than_mean_run(9, 0, Some(Refusal::TooLate))]
#[case::expired(0, 0, Some(Refusal::TooLate))]
fn full_queue_or_short_deadline_is_refused(
    #[case] left_ms: u64,
    #[case] queued: u32,
    #[case] expected: Option<Refusal>,
) {
    let now = Instant::now();
    let mut admission = Admission::new(30, 10);
    admission.finish(0, Duration::from_millis(12));
    for _ in 0..queued {
        let far = now + Duration::from_secs(60);
        let other = create_request("a", Priority::Interactive, 30, far);
        admission.enqueue(other, now).unwrap();
    }
    let deadline = now + Duration::from_millis(left_ms);
    let query = create_request("a", Priority::Interactive, 30, deadline);
    let refusal = admission
        .enqueue(query, now)
        .err()
        .map(|(refusal, _)| refusal);
    assert_eq!(refusal, expected);
}

/// Guards against refusing the queries of a service because another service has a long queue.
#[rstest]
fn long_queue_of_another_service_causes_no_refusal() {
    let now = Instant::now();
    let mut admission = Admission::new(30, 1_000);
    admission.finish(0, Duration::from_millis(10));
    for _ in 0..1_000 {
        let flood = create_request("a", Priority::Batch, 30, now + Duration::from_secs(60));
        admission.enqueue(flood, now).unwrap();
    }
    let deadline = now + Duration::from_millis(40);
    let query = create_request("b", Priority::Interactive, 30, deadline);
    assert!(admission.enqueue(query, now).is_ok());
}

/// Guards against running expired queries, against more attempts in flight than the capacity, and against a query
/// that never runs because its cost exceeds the capacity.
#[rstest]
#[case::at_dequeue(false)]
#[case::before_dequeue(true)]
fn expired_query_is_dropped(#[case] early: bool) {
    let now = Instant::now();
    let later = now + Duration::from_millis(10);
    let mut admission = Admission::new(30, 10);
    for (service, cost, wait) in [("a", 30, 10), ("b", 100, 900), ("c", 30, 900)] {
        let deadline = now + Duration::from_millis(wait);
        let query = create_request(service, Priority::Interactive, cost, deadline);
        admission.enqueue(query, now).unwrap();
    }
    if early {
        assert_eq!(admission.drop_expired(later), ["a"]);
    } else {
        assert_eq!(admission.dequeue(later), Some(Dequeued::Expired("a")));
    }
    assert_eq!(admission.dequeue(later), Some(Dequeued::Run("b", 100)));
    assert_eq!(admission.dequeue(later), None);
    assert_eq!((admission.queued(), admission.running_cost()), (1, 100));
    admission.finish(100, Duration::from_millis(5));
    assert_eq!(admission.dequeue(later), Some(Dequeued::Run("c", 30)));
}

/// Guards against work that is wasted because a query starts with too little time left, also when running times vary,
/// and against refusing all queries for ever once the estimate is too high and no running query can correct it.
#[rstest]
#[case::too_late(true, [10, 10], 8, false)]
#[case::in_time(true, [10, 10], 15, true)]
#[case::varied_too_late(true, [10, 50], 40, false)]
#[case::varied_in_time(true, [10, 50], 90, true)]
#[case::idle(false, [10, 10], 8, true)]
fn query_starts_only_with_enough_time_left(
    #[case] busy: bool,
    #[case] times: [u64; 2],
    #[case] left_ms: u64,
    #[case] starts: bool,
    #[values(true, false)] early: bool,
) {
    let now = Instant::now();
    let mut admission = Admission::new(60, 10);
    let deadline = now + Duration::from_secs(1);
    let running = create_request("a", Priority::Interactive, 30, deadline);
    admission.enqueue(running, now).unwrap();
    admission.dequeue(now);
    let waiting = create_request("b", Priority::Interactive, 30, deadline);
    admission.enqueue(waiting, now).unwrap();
    for index in 0..100 {
        admission.finish(0, Duration::from_millis(times[index % 2]));
    }
    if !busy {
        admission.finish(30, Duration::from_millis(times[0]));
    }
    let later = deadline - Duration::from_millis(left_ms);
    if early {
        assert_eq!(admission.drop_expired(later).is_empty(), starts);
    } else {
        let dequeued = admission.dequeue(later);
        assert_eq!(
            dequeued == Some(Dequeued::Run("b", 30)),
            starts,
            "{dequeued:?}"
        );
    }
}
