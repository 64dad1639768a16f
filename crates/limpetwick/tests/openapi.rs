//! The committed OpenAPI description.

use std::path::Path;

use entry::describe_api;

/// Guards against a change of the API that is missing from `docs/openapi.json`.
#[test]
fn test_committed_description_equals_the_code() {
    let version = env!("CARGO_PKG_VERSION").parse().unwrap();
    let mut described = Vec::new();
    let api = describe_api().unwrap();
    api.openapi("limpetwick", version)
        .write(&mut described)
        .unwrap();
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/openapi.json");
    let committed = std::fs::read_to_string(path).unwrap();
    assert_eq!(
        String::from_utf8(described).unwrap().trim(),
        committed.trim(),
        "run `limpetwick openapi > docs/openapi.json`"
    );
}
