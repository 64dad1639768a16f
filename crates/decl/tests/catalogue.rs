//! Changes of the catalogue, and deltas between its revisions.

use std::collections::BTreeMap;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

use base::ServiceName;
use decl::Catalogue;
use decl::CatalogueEntry;
use decl::Changes;
use decl::Declaration;
use decl::parse_declaration;

fn declare(service: u8, shard: u8) -> Declaration {
    let text = format!(
        "service = \"s{service}\"\nindex = \"plan-desk\"\nshards = {{ names = [{shard}] }}\ndeadline = \"1s\"\n"
    );
    parse_declaration("a.toml", &text).unwrap()
}

/// Returns the revisions that a sequence of publishes creates; publishes without effect or with a conflict are skipped.
fn build_revisions(steps: &[(u8, Option<(u8, u8)>)]) -> Vec<Catalogue> {
    let mut revisions = vec![Catalogue::default()];
    for (step, (file, content)) in steps.iter().enumerate() {
        let content = content.map(|(service, shard)| declare(service, shard));
        let changes = Changes::from([(format!("{file}.toml").into(), content)]);
        let last = revisions.last().unwrap();
        if let Ok(Some(next)) = last.with_changes(&changes, &format!("p{step}")) {
            revisions.push(next);
        }
    }
    revisions
}

/// Returns the content that must be equal on all nodes; only the platform's log contains every publish.
fn content(catalogue: &Catalogue) -> (u64, &str, &BTreeMap<ServiceName, CatalogueEntry>) {
    let publish = catalogue.publish.as_str();
    (catalogue.revision, publish, &catalogue.entries)
}

/// Guards against a second file that replaces the declaration of a service, and against a conflict with the wrong file.
#[test]
fn test_service_of_another_file_is_a_conflict() {
    let revisions = build_revisions(&[(1, Some((1, 0))), (2, Some((2, 0)))]);
    let last = revisions.last().unwrap();
    let changes = Changes::from([("3.toml".into(), Some(declare(1, 0)))]);
    let conflict = last.with_changes(&changes, "p").unwrap_err();
    assert_eq!(
        (conflict.other.as_str(), conflict.revision),
        ("1.toml", 1),
        "{conflict}"
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a node whose catalogue differs from the platform's after a delta, such as by a removed service. The
    /// delta may come from a relay that was itself updated by a delta.
    #[test]
    fn test_delta_leads_to_the_same_catalogue(
        steps in prop::collection::vec((0_u8..4, prop::option::of((0_u8..4, 0_u8..3))), 0..24),
    ) {
        let revisions = build_revisions(&steps);
        let last = revisions.last().unwrap();
        let relays = revisions.iter().map(|older| {
            let delta = last.delta_since(older.revision).unwrap();
            older.with_delta(delta).unwrap_or_else(|| last.clone())
        });
        for (since, relay) in relays.flat_map(|relay| revisions.iter().map(move |since| (since, relay.clone()))) {
            let Some(delta) = relay.delta_since(since.revision) else { continue };
            for base in &revisions {
                let expected = (since.revision..last.revision).contains(&base.revision);
                let updated = base.with_delta(delta.clone());
                prop_assert_eq!(updated.as_ref().map(content), expected.then_some(content(last)));
            }
        }
    }
}

/// Guards against a log that grows without bound, and against a delta from a revision before the first log record.
#[rstest]
#[case::full(0)]
#[case::one_dropped(1)]
#[case::many_dropped(19)]
fn test_log_is_bounded_and_reports_its_range(#[case] dropped: u64) {
    let steps: Vec<(u8, Option<(u8, u8)>)> = (0..256 + dropped)
        .map(|step| (1, Some((1, (step % 2) as u8))))
        .collect();
    let revisions = build_revisions(&steps);
    let last = revisions.last().unwrap();
    assert_eq!(last.log.len(), 256);
    let covered: Vec<u64> = (0..=last.revision + 1)
        .filter(|r| last.has_log_since(*r))
        .collect();
    assert_eq!(covered, (dropped..=last.revision).collect::<Vec<u64>>());
    let oldest = revisions.iter().find(|r| r.revision == dropped).unwrap();
    let delta = last.delta_since(dropped).unwrap();
    assert_eq!(
        oldest.with_delta(delta).as_ref().map(content),
        Some(content(last))
    );
}
