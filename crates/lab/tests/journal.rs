//! The page over the journal of runs.

use std::path::PathBuf;

use lab::journal::render_journal;

const RUN: &str = r#"{"at": ["2026-12-04T05:00:00Z", ""], "cmd": "score", "why": "a <first> round", "head": "0123456789ab",
    "dirty": true, "site": "north", "score": 0.5, "more": 1,
    "days": [{"name": "quiet", "G": 0.81, "rules": {}}, {"name": "storm", "G": null, "rules": {"LOST": 3}}]}"#;

fn create(name: &str, files: &[(&str, &str)]) -> PathBuf {
    let dir =
        std::env::temp_dir().join(format!("limpetwick-journal-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    for (file, text) in files {
        std::fs::write(dir.join(file), text).unwrap();
    }
    dir
}

/// Guards against runs, failed days or unreadable files that the page leaves out, and against text that breaks the page.
#[test]
fn page_shows_every_run() {
    let later = RUN.replace("05:00", "06:00").replace("0.81", "0.87");
    let dir = create(
        "all",
        &[
            ("2.json", &later),
            ("1.json", RUN),
            ("3.json", "{}"),
            ("notes.txt", "-"),
        ],
    );
    let page = render_journal(&dir).unwrap();
    std::fs::remove_dir_all(dir).unwrap();
    assert!(page.contains("2 runs"));
    assert!(page.contains("<svg") && page.contains("quiet 0.810") && page.contains("quiet 0.870"));
    assert!(page.find("05:00") < page.find("06:00"));
    assert!(page.contains("LOST (storm)") && page.contains("01234567+"));
    assert!(page.contains("a &lt;first&gt; round"));
    assert!(page.contains("3.json is no run"));
    assert!(!page.contains("notes.txt"));
}

/// Guards against a missing directory that isn't named.
#[test]
fn missing_directory_is_named() {
    let error = render_journal(&PathBuf::from("no-such-journal")).unwrap_err();
    assert!(error.to_string().contains("no-such-journal"));
}
