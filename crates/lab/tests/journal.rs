//! Rendering of the journal of runs as a page.

use std::path::PathBuf;

use lab::journal::render_journal;

const RUN: &str = r#"{"at": ["2026-12-04T05:00:00Z", ""], "cmd": "score", "why": "a <first> round", "head": "0123456789ab",
    "dirty": true, "site": "north", "score": 0.5, "more": 1,
    "days": [{"name": "quiet", "G": 0.81, "rules": {}}, {"name": "storm", "G": null, "rules": {"LOST": 3}}]}"#;

fn create_journal(name: &str, files: &[(&str, &str)]) -> PathBuf {
    let dir =
        std::env::temp_dir().join(format!("limpetwick-journal-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    for (file, text) in files {
        std::fs::write(dir.join(file), text).unwrap();
    }
    dir
}

/// Guards against a page that omits runs, failed days or invalid files, and against unescaped text.
#[test]
fn page_shows_every_run_and_invalid_file() {
    let later = RUN.replace("05:00", "06:00").replace("0.81", "0.87");
    let dir = create_journal(
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
    assert!(page.contains("3.json is not a run"));
    assert!(!page.contains("notes.txt"));
}

/// Guards against an error that does not name the missing directory.
#[test]
fn error_names_the_missing_directory() {
    let error = render_journal(&PathBuf::from("no-such-journal")).unwrap_err();
    assert!(error.to_string().contains("no-such-journal"));
}
