//! Limits that servers name for all nodes together, on one node.

use std::time::Duration;
use std::time::Instant;

use base::Upstream;
use base::UpstreamId;
use limit::AttemptOutcome;
use limit::Blocked;
use limit::GateKey;
use limit::LimitNotice;
use limit::Limits;
use limit::QuotaShare;
use limit::Tuning;
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

const SENDER: QuotaShare = QuotaShare::Sender { senders: 2 };

const OBSERVER: QuotaShare = QuotaShare::Observer { observers: 10 };

fn create_upstream() -> Upstream {
    Upstream {
        id: "i-1".into(),
        addr: "127.0.0.1:9001".parse().unwrap(),
        zone: "z".into(),
        region: "r".into(),
        slots: 4,
        connections: 90,
    }
}

/// Returns a node that knows of a server's limit of 2 requests a second.
fn create_limits(share: QuotaShare, now: Instant) -> (Limits, GateKey) {
    let mut limits = Limits::new("z".into(), "r".into(), Tuning::default());
    let key = limits.set_upstream(&create_upstream(), Some(20));
    name_limit(&mut limits, 2.0, share, now);
    (limits, key)
}

fn name_limit(limits: &mut Limits, rate: f64, share: QuotaShare, now: Instant) {
    let id: UpstreamId = "i-1".into();
    let mut rng = Pcg64Mcg::new(7);
    let notice = LimitNotice::Named(rate);
    limits.record_limit(&id, notice, share, (now, now), &mut rng);
}

/// Sends as many requests as are allowed at one time.
fn send_all(limits: &mut Limits, key: GateKey, now: Instant) -> usize {
    let mut sent = 0;
    while let Ok(permit) = limits.acquire(key, now) {
        limits.release(permit, AttemptOutcome::Replied, now);
        sent += 1;
    }
    sent
}

/// Guards against a burst on a limited server whose entry lapses and comes back.
#[test]
fn limit_outlasts_the_entry_of_its_server() {
    let now = Instant::now();
    let (mut limits, _) = create_limits(SENDER, now);
    limits.remove_upstream(&"i-1".into());
    limits.remove_old_limits(now + Duration::from_secs(10));
    let key = limits.set_upstream(&create_upstream(), Some(20));
    assert_eq!(limits.check(key, now), Err(Blocked::Quota));
}

/// Guards against keeping the limits of servers that are gone for good.
#[test]
fn limit_of_a_server_that_is_gone_is_dropped() {
    let now = Instant::now();
    let (mut limits, _) = create_limits(SENDER, now);
    limits.remove_upstream(&"i-1".into());
    limits.remove_old_limits(now + Duration::from_secs(1_000));
    assert_eq!(limits.named_rate(&"i-1".into()), None);
}

/// Guards against requests that are saved up while there is no load, and against a first burst.
#[rstest]
#[case::sender(SENDER)]
#[case::observer(OBSERVER)]
fn idle_node_saves_up_one_request(#[case] share: QuotaShare) {
    let start = Instant::now();
    let (mut limits, key) = create_limits(share, start);
    let at_first = send_all(&mut limits, key, start);
    assert!(at_first <= usize::from(share == OBSERVER));
    for second in 100..130 {
        let sent = send_all(&mut limits, key, start + Duration::from_secs(second));
        assert!(sent <= 1, "{sent} at once");
    }
}

/// Guards against a new budget each time that the limit or the number of nodes changes.
#[test]
fn changed_limit_gives_no_tokens() {
    let start = Instant::now();
    let (mut limits, key) = create_limits(SENDER, start);
    let mut sent = 0;
    for turn in 0..100_u32 {
        let now = start + Duration::from_millis(10) * turn;
        let rate = if turn.is_multiple_of(2) { 2.0 } else { 2.1 };
        name_limit(&mut limits, rate, SENDER, now);
        let senders = QuotaShare::Sender {
            senders: 2 + turn % 2,
        };
        let mut rng = Pcg64Mcg::new(u128::from(turn));
        limits.set_quota_share(&"i-1".into(), senders, now, &mut rng);
        sent += send_all(&mut limits, key, now);
    }
    // Half of the limit in one second, and one request that was saved up.
    assert!(sent <= 2, "{sent} in one second");
}
