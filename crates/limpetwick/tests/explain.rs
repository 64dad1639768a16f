//! Explanation records in every supported input format.

use std::path::PathBuf;

use rstest::rstest;

use limpetwick::explain::EXIT_INVALID;
use limpetwick::explain::explain_file;

const RECORD: &str = r#"{"query":"25c4","service":"advisers","request":"search","index":"plan-desk","code":201,
"revision":6,"stale_ms":null,"snapshot":{"version":1,"map":1},"coverage":{"shards":2,"answered":1,"members":9,
"covered":4,"missing":[{"shard":3,"reason":"lost","attempts":1}]},"attempts":2,"hedges":0,"retries":0,"restarts":0,
"abandoned":[],"cancelled":0,"not_run":0,"lost":1,"postponed":0,"dropped":0,"deadline_ms":249,"elapsed_ms":27}"#;

fn explain(name: &str, text: &str) -> (u8, String) {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).unwrap();
    let mut out = Vec::new();
    let code = explain_file(Some(&path), &mut out).unwrap();
    (code, String::from_utf8(out).unwrap())
}

/// Guards against a supported input, especially the log line of an entry VM, in which the record is not found.
#[rstest]
#[case::record("record", "", "")]
#[case::answer("answer", "{\"code\":201,\"explanation\":", "}")]
#[case::log_line(
    "line",
    "[2026-01-01T00:00:00Z INFO  answer] entry: request ended code=201 record=",
    ""
)]
#[case::log_line_with_more_fields("keys", "entry: request ended record=", " zone=zurich\n")]
fn test_record_is_found(#[case] name: &str, #[case] before: &str, #[case] after: &str) {
    let record = RECORD.replace('\n', "");
    let (code, text) = explain(name, &format!("{before}{record}{after}"));
    assert_eq!(code, 0, "{text}");
    assert!(
        text.starts_with("query 25c4 of advisers (search)"),
        "{text}"
    );
}

/// Guards against an error message without the file name.
#[rstest]
#[case::no_record("empty", Some("{}"))]
#[case::no_file("absent", None)]
fn test_error_for_missing_record_has_the_file_name(#[case] name: &str, #[case] text: Option<&str>) {
    let (code, printed) = match text {
        Some(text) => explain(name, text),
        None => {
            let mut out = Vec::new();
            let code = explain_file(Some(name.as_ref()), &mut out).unwrap();
            (code, String::from_utf8(out).unwrap())
        }
    };
    assert_eq!(code, EXIT_INVALID);
    assert!(printed.contains(name), "{printed}");
}
