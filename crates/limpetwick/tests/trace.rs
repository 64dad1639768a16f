//! Tracing of a request in the logs by its ID.

use std::path::PathBuf;

use limpetwick::trace::EXIT_NOT_FOUND;
use limpetwick::trace::trace_request;
use rstest::rstest;

const LOG: &str = "\
[2026-01-24T17:30:22Z INFO  gateway::sync] configuration: in force revision=3 before=None routes=18
[2026-01-24T17:30:32Z INFO  gateway::request] request: partial id=a1 route=r revision=3 ms=105 sent=11 missing=1 open=s:2/2 reason=none skipped=0
[2026-01-24T17:30:41Z INFO  gateway::sync] configuration: in force revision=10 before=3 routes=18
[2026-01-24T17:30:53Z INFO  gateway::request] request: not run id=b2 route=r revision=10 ms=0 sent=0 missing=1 open=t:0/0 reason=none skipped=0
[2026-01-24T17:30:54Z INFO  gateway::request] request: failed id=c3 route=r revision=10 ms=9 sent=1 missing=1 open=t:1/0 reason=the reply broke off skipped=0
";

fn trace(name: &str, id: &str) -> (u8, String) {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, LOG).unwrap();
    let mut out = Vec::new();
    let code = trace_request(id, &[path], &mut out).unwrap();
    (code, String::from_utf8(out).unwrap())
}

macro_rules! request_is_explained {
    ($($name:ident: $id:literal => $expected:literal;)+) => {
        /// Guards against a trace from which an on-call engineer cannot determine the result of a request.
        #[rstest]
        $(#[case::$name(stringify!($name), $id, $expected)])+
        fn request_is_explained(#[case] name: &str, #[case] id: &str, #[case] expected: &str) {
            let (code, text) = trace(name, id);
            assert_eq!(code, 0, "{text}");
            assert!(text.contains(expected), "{text}");
        }
    };
}

request_is_explained! {
    partial: "a1" => "answered without the services in `open`";
    refused: "b2" => "nothing was sent";
    refused_with_context: "b2" => "before   [2026-01-24T17:30:41Z INFO  gateway::sync] configuration: in force revision=10";
    failed: "c3" => "a server may have run it; 9 ms, 1 sub-requests, revision 10";
}

/// Guards against an unknown ID that is reported like a successful request.
#[test]
fn unknown_request_is_reported() {
    let (code, text) = trace("unknown", "a");
    assert_eq!(code, EXIT_NOT_FOUND);
    assert!(text.contains("no line names request a"), "{text}");
}
