//! Checks of the committed generated code.

use std::path::Path;
use std::process::Command;

/// Guards against a proto file that was changed without regenerating the code that is built.
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
