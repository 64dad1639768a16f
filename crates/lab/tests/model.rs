//! The model checker finds nothing in the protocol as it is, and every fault that is seeded.

use rstest::rstest;

use lab::model;
use lab::model::Fault;
use lab::model::Finding;

/// Guards against a change of the ledger or of the specifications that breaks a guarantee in some order of steps.
#[rstest]
fn the_protocols_hold() {
    let report = model::run(None);
    assert!(report.holds(), "{report}");
    println!("{report}");
}

/// Guards against a search that no longer looks at what a rule protects.
#[rstest]
#[case::send_before_claim(Fault::SendBeforeClaim, 0, "a key has run twice")]
#[case::no_revocation(Fault::NoRevocation, 0, "a key that was reported as not run has run")]
#[case::ignore_version(
    Fault::IgnoreVersion,
    0,
    "a call was refused as not written and has left a claim"
)]
#[case::ignore_version_in_publishing(Fault::IgnoreVersion, 1, "an accepted publish is lost")]
#[case::expire_early(Fault::ExpireEarly, 0, "a key has run twice")]
#[case::lower_revision(Fault::LowerRevision, 1, "the revision in force on a node went back")]
fn a_seeded_fault_is_found(#[case] fault: Fault, #[case] at: usize, #[case] expected: &str) {
    let report = model::run(Some(fault));
    println!("{report}");
    let Finding::Violated { property, trace } = &report.explorations[at].finding else {
        panic!("the fault was not found: {report}");
    };
    assert_eq!(*property, expected);
    assert!(!trace.is_empty());
    assert_eq!(Fault::parse(fault.name()), Some(fault));
}
