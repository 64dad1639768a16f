//! Rules of the table of suspected requests.

use std::time::Duration;
use std::time::Instant;

use base::UpstreamId;
use proptest::prelude::*;
use suspect::Change;
use suspect::Fact;
use suspect::MAX_ENTRIES;
use suspect::MAX_PER_CALLER;
use suspect::RequestKey;
use suspect::State;
use suspect::Suspects;
use suspect::Verdict;

const KEY: RequestKey = RequestKey {
    request: 7,
    caller: 1,
};

/// Longer than a first block, and shorter than the second.
const AFTER_FIRST_BLOCK: Duration = Duration::from_secs(61);

fn server(at: usize) -> UpstreamId {
    format!("s-{at}").into()
}

fn is_blocked(verdict: &Verdict) -> bool {
    matches!(verdict, Verdict::Blocked(_))
}

/// Creates a table in which the request is blocked.
fn block(node: &str, now: Instant) -> Suspects {
    let mut suspects = Suspects::new(node.into());
    for at in 0..3 {
        suspects.record_broken(KEY, &server(at), true, now);
    }
    suspects
}

fn copy(from: &Suspects, to: &mut Suspects, now: Instant) {
    for fact in from.facts(now) {
        to.merge(&fact, now);
    }
}

/// Guards against a request that is blocked for what a single server did.
#[test]
fn losses_at_one_server_count_once() {
    let now = Instant::now();
    let mut suspects = Suspects::new("n-1".into());
    for _ in 0..5 {
        suspects.record_broken(KEY, &server(1), true, now);
    }
    assert_eq!(suspects.check(KEY, now), Verdict::Careful);
}

/// Guards against a block of a request that a server has answered meanwhile.
#[test]
fn reply_clears_everywhere() {
    let now = Instant::now();
    let mut one = Suspects::new("n-1".into());
    one.record_broken(KEY, &server(1), true, now);
    one.record_broken(KEY, &server(2), true, now);
    let mut other = Suspects::new("n-2".into());
    copy(&one, &mut other, now);
    assert_eq!(other.check(KEY, now), Verdict::Careful);
    assert_eq!(other.record_reply(KEY, now), Change::News);
    copy(&other, &mut one, now);
    assert_eq!(one.check(KEY, now), Verdict::Clear);
    one.record_broken(KEY, &server(3), true, now);
    assert_eq!(one.check(KEY, now), Verdict::Careful);
}

/// Guards against a node that learns nothing from the losses of others: three nodes with a loss each are enough.
#[test]
fn losses_of_all_nodes_add_up() {
    let now = Instant::now();
    let mut first = Suspects::new("n-1".into());
    first.record_broken(KEY, &server(0), false, now);
    let mut second = Suspects::new("n-2".into());
    second.record_broken(KEY, &server(1), false, now);
    let mut third = Suspects::new("n-3".into());
    third.record_broken(KEY, &server(2), false, now);
    copy(&first, &mut third, now);
    copy(&second, &mut third, now);
    assert!(is_blocked(&third.check(KEY, now)));
}

/// Guards against every node that tries a request whose block has lapsed.
#[test]
fn one_node_tries_after_a_block() {
    let now = Instant::now();
    let mut one = block("n-1", now);
    let mut other = Suspects::new("n-2".into());
    copy(&one, &mut other, now);
    let later = now + AFTER_FIRST_BLOCK;
    assert_eq!(one.check(KEY, later), Verdict::Careful);
    copy(&one, &mut other, later);
    assert!(is_blocked(&other.check(KEY, later)));
    assert!(is_blocked(&one.check(KEY, later)));
    let change = one.record_broken(KEY, &server(4), true, later);
    assert_eq!(change, Change::Blocked);
    copy(&one, &mut other, later);
    // The second block is longer than the first.
    assert!(is_blocked(&other.check(KEY, later + AFTER_FIRST_BLOCK)));
}

/// Guards against a request that stays blocked after the servers were mended.
#[test]
fn successful_try_ends_a_block() {
    let now = Instant::now();
    let mut one = block("n-1", now);
    let mut other = Suspects::new("n-2".into());
    copy(&one, &mut other, now);
    let later = now + AFTER_FIRST_BLOCK;
    assert_eq!(one.check(KEY, later), Verdict::Careful);
    one.record_reply(KEY, later);
    copy(&one, &mut other, later);
    assert_eq!(other.check(KEY, later), Verdict::Clear);
    // An older fact doesn't bring the block back.
    copy(&block("n-3", now), &mut other, later);
    assert_eq!(other.check(KEY, later), Verdict::Clear);
}

/// Guards against a caller with many deadly requests that displaces what is known of others.
#[test]
fn caller_displaces_only_its_own_requests() {
    let now = Instant::now();
    let mut suspects = block("n-1", now);
    for request in 100..100 + 2 * MAX_ENTRIES as u128 {
        let key = RequestKey { request, caller: 9 };
        for at in 0..3 {
            suspects.record_broken(key, &server(at), true, now);
        }
    }
    assert!(is_blocked(&suspects.check(KEY, now)));
    assert_eq!(suspects.facts(now).len(), MAX_PER_CALLER + 1);
}

/// Guards against a table that grows without bound.
#[test]
fn table_is_bounded() {
    let now = Instant::now();
    let mut suspects = Suspects::new("n-1".into());
    for at in 0..4 * MAX_ENTRIES {
        let key = RequestKey {
            request: at as u128,
            caller: at as u32 / 4,
        };
        suspects.record_broken(key, &server(1), false, now);
    }
    assert_eq!(suspects.facts(now).len(), MAX_ENTRIES);
}

fn any_fact() -> impl Strategy<Value = Fact> {
    let states = [
        State::Cleared,
        State::Suspected,
        State::Trial,
        State::Blocked,
    ];
    let servers = proptest::collection::btree_set(0_u32..6, 0..3);
    let state = proptest::sample::select(states.to_vec());
    (1_u32..4, state, 0_u8..3, 1_u64..40_000, servers, 1..4).prop_map(
        |(generation, state, level, left, servers, node)| Fact {
            key: KEY,
            generation,
            state,
            level,
            left: Duration::from_millis(left),
            servers: servers.into_iter().collect(),
            origin: format!("n-{node}").into(),
        },
    )
}

proptest! {
    /// Guards against nodes that believe different things because they heard the same facts in another order.
    #[test]
    fn order_of_facts_does_not_matter(facts in proptest::collection::vec(any_fact(), 0..8), seed in 0_usize..1_000) {
        let now = Instant::now();
        let mut one = Suspects::new("n-1".into());
        let mut other = Suspects::new("n-2".into());
        for fact in &facts {
            one.merge(fact, now);
        }
        let mut shuffled: Vec<&Fact> = facts.iter().collect();
        for at in 0..shuffled.len() {
            let with = (seed * 31 + at * 17) % shuffled.len();
            shuffled.swap(at, with);
        }
        for fact in shuffled.into_iter().chain(&facts) {
            other.merge(fact, now);
        }
        let simplify = |suspects: &Suspects| -> Vec<_> {
            let facts = suspects.facts(now).into_iter();
            facts.map(|fact| (fact.generation, fact.state, fact.level, fact.servers)).collect()
        };
        prop_assert_eq!(simplify(&one), simplify(&other));
    }

    /// Guards against a fact that its receiver reads as another one, and against a line that ends the process.
    #[test]
    fn facts_survive_the_wire(mut fact in any_fact(), origin in "[a %\n\u{e9}]{1,8}", line in ".{0,80}") {
        fact.origin = origin.into();
        prop_assert_eq!(Fact::parse(&fact.to_string()), Some(fact));
        let _ = Fact::parse(&line);
    }
}
