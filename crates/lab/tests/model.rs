//! The model checker finds no violation in the protocols, and finds every seeded fault.

use rstest::rstest;

use lab::model;
use lab::model::Fault;
use lab::model::Finding;

/// Guards against a change of the ledger or of the specifications that violates a property in some order of steps.
#[rstest]
fn all_properties_hold() {
    let report = model::run(None);
    assert!(report.holds(), "{report}");
    println!("{report}");
}

/// Guards against properties that no longer cover a rule of the protocol.
#[rstest]
#[case::send_before_claim(Fault::SendBeforeClaim, 0, "a key ran twice")]
#[case::no_revocation(Fault::NoRevocation, 0, "a key that was reported as not run was run")]
#[case::ignore_version(
    Fault::IgnoreVersion,
    0,
    "a call was refused as unavailable and left a claim"
)]
#[case::ignore_version_in_publishing(Fault::IgnoreVersion, 1, "an accepted publish is lost")]
#[case::expire_early(Fault::ExpireEarly, 0, "a key ran twice")]
#[case::lower_revision(Fault::LowerRevision, 1, "the revision in force on a node decreased")]
fn seeded_fault_is_found(
    #[case] fault: Fault,
    #[case] specification: usize,
    #[case] expected: &str,
) {
    let report = model::run(Some(fault));
    println!("{report}");
    let Finding::Violated { property, trace } = &report.explorations[specification].finding else {
        panic!("the seeded fault was not found: {report}");
    };
    assert_eq!(*property, expected);
    assert!(!trace.is_empty());
    assert_eq!(Fault::parse(fault.name()), Some(fault));
}
