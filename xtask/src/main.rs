//! Development tasks; `cargo run -p xtask -- wire` regenerates the committed `tonic` code.

use std::error::Error;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let result = match args.next().as_deref() {
        Some("wire") => {
            let out = args.next().map(PathBuf::from);
            generate_wire(&root, &out.unwrap_or_else(|| root.join("crates/wire/src")))
        }
        _ => Err("usage: cargo run -p xtask -- wire [DIRECTORY]".into()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("xtask: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Generates `peer.rs`, which is committed so that no crate needs a build script.
fn generate_wire(root: &Path, out: &Path) -> Result<(), Box<dyn Error>> {
    let files = protox::compile(["peer.proto"], [root.join("proto")])?;
    tonic_prost_build::configure()
        .bytes(".")
        .emit_rerun_if_changed(false)
        .out_dir(out)
        .compile_fds(files)?;
    std::fs::rename(out.join("limpetwick.peer.rs"), out.join("peer.rs"))?;
    Ok(())
}
