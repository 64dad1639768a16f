//! Validation of settings files, and the commented example file.

use std::path::Path;

use entry::load_settings;
use entry::parse_settings;
use rstest::rstest;

const VALID: &str = r#"node = "zurich-1"
zone = "zurich"
region = "schweiz"
listen = "127.0.0.1:8080"
peer = "127.0.0.1:8081"
platform = "127.0.0.1:9000"
"#;

/// Guards against errors without a location, and against values that overflow or prevent a shutdown.
#[rstest]
#[case::missing_key(VALID.replace("region = \"schweiz\"\n", ""), 1, "region")]
#[case::unknown_key(format!("{VALID}limit = 3\n"), 7, "limit")]
#[case::unknown_key_in_table(format!("{VALID}[limits]\nquery = 3\n"), 8, "limits.query")]
#[case::wrong_type(VALID.replace("\"zurich\"", "3"), 2, "zone")]
#[case::negative(format!("{VALID}[shutdown]\nnotice_ms = -1\n"), 8, "shutdown.notice_ms")]
#[case::notice_too_long(format!("{VALID}[shutdown]\nnotice_ms = 86400000\n"), 8, "shutdown.notice_ms")]
#[case::body_overflow(format!("{VALID}[limits]\nbody_kib = 18014398509481984\n"), 8, "limits.body_kib")]
#[case::zero_body(format!("{VALID}[limits]\nbody_kib = 0\n"), 8, "limits.body_kib")]
#[case::zero_queries(format!("{VALID}[limits]\nqueries = 0\n"), 8, "limits.queries")]
#[case::host_name(VALID.replace("127.0.0.1:9000", "platform:9000"), 6, "platform")]
#[case::same_address(VALID.replace("8081", "8080"), 5, "peer")]
#[case::not_toml("[[".into(), 1, "file")]
fn test_error_names_line_and_key(#[case] text: String, #[case] line: usize, #[case] key: &str) {
    let errors = parse_settings("entry.toml", &text).unwrap_err();
    assert_eq!(errors.len(), 1, "{errors:?}");
    assert_eq!((errors[0].line, errors[0].key.as_str()), (line, key));
    let shown = errors[0].to_string();
    assert!(
        shown.starts_with(&format!("entry.toml:{line}: {key}: ")),
        "{shown}"
    );
    assert!(shown.ends_with("(code 504)"), "{shown}");
}

/// Guards against an example file that does not load, as shipped or with its commented keys enabled.
#[rstest]
#[case::as_shipped(false)]
#[case::every_key_enabled(true)]
fn test_example_loads(#[case] every_key: bool) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/entry.toml");
    let defaults = parse_settings("entry.toml", VALID).unwrap();
    let settings = if every_key {
        let text = std::fs::read_to_string(path).unwrap();
        parse_settings("entry.toml", &text.replace("#: ", "")).unwrap()
    } else {
        load_settings(&path).unwrap()
    };
    assert_eq!(settings.statsd.is_some(), every_key);
    assert_eq!(settings.seeds.is_empty(), !every_key);
    assert_eq!(settings.max_body_bytes, defaults.max_body_bytes);
    assert_eq!(settings.max_queries, defaults.max_queries);
    assert_eq!(settings.notice_time, defaults.notice_time);
}
