//! Tests of the configuration in force on a node: its revision never decreases, and its freshness is correct.

use std::sync::LazyLock;
use std::time::Duration;
use std::time::Instant;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

use conf::ConfigState;
use conf::Freshness;
use conf::MAX_FRESH_AGE;
use conf::OfferResult;
use conf::Update;
use decl::Catalogue;
use decl::Changes;
use decl::parse_declaration;

const MS: Duration = Duration::from_millis(1);

/// Returns the catalogues of revisions zero to `count`; every third one removes the service.
fn revisions(count: u64) -> Vec<Catalogue> {
    let mut all = vec![Catalogue::default()];
    for step in 1..=count {
        let text = format!(
            "service = \"s\"\nindex = \"i\"\nshards = \"all\"\ndeadline = \"{}ms\"\n",
            step + 1
        );
        let content = (step % 3 != 0).then(|| parse_declaration("a.toml", &text).unwrap());
        let changes = Changes::from([("a.toml".into(), content)]);
        let next = all[all.len() - 1].with_changes(&changes, &format!("p{step}"));
        all.push(next.unwrap().unwrap());
    }
    all
}

/// Guards against a freshness bound other than 4 s, and against a fresh state without a confirmation.
#[rstest]
#[case::at_the_bound(Some(1), 4000, true)]
#[case::past_the_bound(Some(1), 4001, false)]
#[case::never_confirmed(None, 0, false)]
#[case::newer_revision_known(Some(2), 0, false)]
fn test_freshness_bound(#[case] confirmed: Option<u64>, #[case] age: u32, #[case] fresh: bool) {
    let now = Instant::now();
    let mut state = ConfigState::new(now);
    state.offer(revisions(1).remove(1), now);
    if let Some(revision) = confirmed {
        state.confirm(revision, now);
    }
    let age = age * MS;
    let expected = if fresh {
        Freshness::Fresh
    } else {
        Freshness::Unconfirmed { age }
    };
    assert_eq!(state.freshness(now + age), expected);
}

/// Guards against an outdated report of a lagging source that makes a later revision look confirmed.
#[test]
fn test_lagging_source_confirms_nothing() {
    let now = Instant::now();
    let mut state = ConfigState::new(now);
    state.offer(revisions(2).remove(2), now);
    state.confirm(1, now);
    state.offer(revisions(3).remove(3), now);
    let age = Duration::ZERO;
    assert_eq!(state.freshness(now), Freshness::Unconfirmed { age });
}

/// Guards against applying a delta that starts after the own revision, and against sending a peer an incomplete update.
#[test]
fn test_delta_with_a_gap_is_not_applied() {
    let now = Instant::now();
    let all = revisions(8);
    let mut sender = ConfigState::new(now);
    sender.offer(all[8].clone(), now);
    let mut receiver = ConfigState::new(now);
    receiver.offer(all[2].clone(), now);
    let gap = sender.update_since(3).unwrap();
    assert_eq!(receiver.offer_update(gap, now), OfferResult::Gap);
    assert_eq!(receiver.revision(), 2);
    let update = sender.update_since(2).unwrap();
    assert!(matches!(update, Update::Delta(_)));
    assert_eq!(
        receiver.offer_update(update.clone(), now),
        OfferResult::Changed
    );
    let entries = |node: &ConfigState| node.catalogue().map(|catalogue| catalogue.entries.clone());
    assert_eq!(receiver.revision(), 8);
    assert_eq!(entries(&receiver), entries(&sender));
    assert_eq!(receiver.offer_update(update, now), OfferResult::Unchanged);
    assert_eq!(sender.update_since(8), None);
}

#[derive(Debug, Clone)]
enum Step {
    Publish,
    Advance(u32),
    /// Offers a revision that is this many behind the platform's.
    Offer(u64),
    /// Confirms the revision that the platform had this many milliseconds ago.
    Confirm(u32),
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        Just(Step::Publish),
        (0_u32..3000).prop_map(Step::Advance),
        (0_u64..4).prop_map(Step::Offer),
        (0_u32..6000).prop_map(Step::Confirm),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        cases: 1000,
        ..ProptestConfig::default()
    })]

    /// Guards against a node that reverts to a lower revision, and against one that reports itself fresh although the
    /// platform has had a higher revision for more than 4 s.
    #[test]
    fn test_revision_never_decreases_and_fresh_is_correct(steps in prop::collection::vec(any_step(), 0..60)) {
        static ALL: LazyLock<Vec<Catalogue>> = LazyLock::new(|| revisions(60));
        let all = &*ALL;
        let start = Instant::now();
        let mut now = start + 6000 * MS;
        let mut accepted = vec![start];
        let mut state = ConfigState::new(now);
        let platform = |accepted: &[Instant], at: Instant| accepted.iter().filter(|t| **t <= at).count() as u64 - 1;
        for step in steps {
            let before = state.revision();
            match step {
                Step::Publish => accepted.push(now),
                Step::Advance(ms) => now += ms * MS,
                Step::Offer(behind) => {
                    let revision = platform(&accepted, now).saturating_sub(behind);
                    let changed = state.offer(all[revision as usize].clone(), now);
                    prop_assert_eq!(changed, revision > before);
                }
                Step::Confirm(ago) => {
                    let at = now - ago * MS;
                    state.confirm(platform(&accepted, at), at);
                }
            }
            prop_assert!(state.revision() >= before);
            if state.freshness(now) == Freshness::Fresh {
                prop_assert!(state.revision() >= platform(&accepted, now - MAX_FRESH_AGE));
            }
        }
    }
}
