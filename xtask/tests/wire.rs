//! Checks that the committed generated code is up to date.

use std::path::Path;
use std::process::Command;

/// Guards against a change of the proto file without regenerated code.
#[test]
fn committed_code_equals_the_generated_code() {
    let out = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let status = Command::new(env!("CARGO_BIN_EXE_xtask"))
        .arg("wire")
        .arg(out)
        .status()
        .unwrap();
    assert!(status.success());
    let committed = Path::new(env!("CARGO_MANIFEST_DIR")).join("../crates/wire/src/peer.rs");
    let committed = std::fs::read_to_string(committed).unwrap();
    let generated = std::fs::read_to_string(out.join("peer.rs")).unwrap();
    assert!(committed == generated, "run `cargo run -p xtask -- wire`");
}
