//! Rules of the detector of lost links, and of what nodes tell each other of theirs.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use links::Detector;
use links::LinkChange;
use links::Reach;
use links::ReachFact;
use proptest::prelude::*;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Guards against a node that takes the failure of single servers for the loss of its links.
#[test]
fn reply_of_any_server_shows_links() {
    let start = Instant::now();
    let mut detector = Detector::new();
    detector.record_reply(start + ms(100));
    assert!(!detector.suspect(start, start + ms(300)));
    // A refused connection fails at once; replies shortly before it count too.
    assert!(!detector.suspect(start + ms(301), start + ms(302)));
    assert!(detector.suspect(start + ms(400), start + ms(700)));
}

/// Guards against a node that gives its links up without a probe, and against probes without end.
#[test]
fn probe_decides() {
    let start = Instant::now();
    let mut detector = Detector::new();
    assert!(detector.suspect(start, start + ms(300)));
    assert!(!detector.suspect(start, start + ms(301)));
    assert!(!detector.is_cut());
    assert_eq!(
        detector.record_probe(true, start + ms(320)),
        LinkChange::None
    );
    assert!(!detector.suspect(start, start + ms(330)));
    assert!(detector.suspect(start, start + ms(600)));
    assert_eq!(
        detector.record_probe(false, start + ms(620)),
        LinkChange::Lost
    );
    assert!(detector.is_cut());
    assert_eq!(
        detector.record_probe(false, start + ms(640)),
        LinkChange::None
    );
}

fn server(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 80))
}

/// Guards against a node that sends its requests itself, because replies come on connections that were open before it lost
/// its links.
#[test]
fn refused_connections_count_in_spite_of_replies() {
    let start = Instant::now();
    let mut detector = Detector::new();
    for (number, expected) in [(1, false), (2, false), (3, true)] {
        detector.record_reply(start);
        assert_eq!(detector.record_refused(server(number), start), expected);
    }
    assert_eq!(detector.record_probe(false, start), LinkChange::Lost);
}

/// Guards against a node that takes two servers which are down for the loss of its links, however often they are tried.
#[test]
fn refusals_of_few_servers_cause_no_probe() {
    let start = Instant::now();
    let mut detector = Detector::new();
    for at in 0..10_000 {
        assert!(!detector.record_refused(server((at % 2) as u8), start + ms(at)));
    }
}

/// Guards against a node that probes because servers are down, though others accept its connections.
#[test]
fn accepted_connection_shows_links() {
    let start = Instant::now();
    let mut detector = Detector::new();
    for at in 0..10_000 {
        assert!(!detector.record_refused(server((at % 9) as u8), start + ms(at)));
        if at % 2 == 0 {
            detector.record_opened();
        }
    }
}

/// Guards against probes without end while many servers are down.
#[test]
fn refusals_of_many_servers_cause_few_probes() {
    let start = Instant::now();
    let mut detector = Detector::new();
    let mut probes = 0;
    for at in 0..10_000 {
        let now = start + ms(at);
        if detector.record_refused(server((at % 9) as u8), now) {
            probes += 1;
            detector.record_probe(true, now);
        }
    }
    assert_eq!(probes, 10);
    assert!(!detector.is_cut());
}

/// Guards against a burst of requests at the moment at which the links are back.
#[test]
fn own_share_grows_after_the_return() {
    let start = Instant::now();
    let mut detector = Detector::new();
    detector.suspect(start, start + ms(300));
    detector.record_probe(false, start + ms(500));
    assert_eq!(detector.own_share(start + ms(600)), 0.0);
    let change = detector.record_probe(true, start + ms(1_500));
    assert_eq!(change, LinkChange::Returned(ms(1_000)));
    let shares = [1_500, 1_750, 2_000, 2_600].map(|at| detector.own_share(start + ms(at)));
    assert_eq!(shares, [0.0, 0.25, 0.5, 1.0]);
}

/// Guards against a node that others take for cut off because of what its earlier process said.
#[test]
fn restarted_node_corrects_older_facts() {
    let now = Instant::now();
    let mut before = Reach::new("n-1".into());
    before.state_own(true, now);
    let old = before.state_own(true, now);
    let mut other = Reach::new("n-2".into());
    other.merge(&old, false, now);
    assert!(other.is_cut(&"n-1".into(), now));
    let mut after = Reach::new("n-1".into());
    let corrected = after.merge(&old, false, now).unwrap();
    other.merge(&corrected, false, now);
    assert!(!other.is_cut(&"n-1".into(), now));
    // An older fact that arrives late changes nothing.
    other.merge(&old, false, now);
    assert!(!other.is_cut(&"n-1".into(), now));
}

/// Guards against a node that counts as cut off for ever because it was replaced.
#[test]
fn fact_lapses_without_renewal() {
    let now = Instant::now();
    let mut reach = Reach::new("n-2".into());
    let mut cut = Reach::new("n-1".into());
    reach.merge(&cut.state_own(true, now), false, now);
    reach.note_cut(&"n-3".into(), now);
    let later = now + ms(5_000);
    assert!(!reach.is_cut(&"n-1".into(), later));
    assert!(!reach.is_cut(&"n-3".into(), later));
    reach.remove_expired(later);
    assert!(reach.is_empty());
}

fn any_fact() -> impl Strategy<Value = ReachFact> {
    (1_u8..4, 1_u64..5, any::<bool>(), 1_u64..4_000).prop_map(|(node, generation, is_cut, left)| {
        ReachFact {
            node: format!("n-{node}").into(),
            // A node says one thing in each generation.
            generation: 2 * generation + u64::from(is_cut),
            is_cut,
            left: ms(left),
        }
    })
}

proptest! {
    /// Guards against nodes that believe different things because they heard the same facts in another order.
    #[test]
    fn order_of_facts_does_not_matter(facts in proptest::collection::vec(any_fact(), 0..10)) {
        let now = Instant::now();
        let mut one = Reach::new("x".into());
        let mut other = Reach::new("y".into());
        for fact in &facts {
            one.merge(fact, false, now);
        }
        for fact in facts.iter().rev().chain(&facts) {
            other.merge(fact, false, now);
        }
        for node in ["n-1", "n-2", "n-3"] {
            prop_assert_eq!(one.is_cut(&node.into(), now), other.is_cut(&node.into(), now));
        }
    }

    /// Guards against a fact that its receiver reads as another one, and against a line that ends the process.
    #[test]
    fn facts_survive_the_wire(mut fact in any_fact(), node in "[a %\n\u{e9}]{1,8}", line in ".{0,60}") {
        fact.node = node.into();
        prop_assert_eq!(ReachFact::parse(&fact.to_string()), Some(fact));
        let _ = ReachFact::parse(&line);
        let _ = ReachFact::parse(&format!("links {line}"));
    }
}
