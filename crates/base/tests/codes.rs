//! Guards against a result code that is missing from the operators' page, or described differently there.

use base::Code;

const PAGE: &str = include_str!("../../../docs/codes.md");

#[test]
fn docs_page_matches_enum() {
    let rows: Vec<Vec<&str>> = PAGE
        .lines()
        .filter(|line| line.starts_with("| ") && line.as_bytes()[2].is_ascii_digit())
        .map(|line| line.split('|').map(str::trim).collect())
        .collect();
    let listed: Vec<(u16, String, String, String)> = rows
        .iter()
        .map(|row| {
            (
                row[1].parse().unwrap(),
                row[2].into(),
                row[3].into(),
                row[4].into(),
            )
        })
        .collect();
    let expected: Vec<(u16, String, String, String)> = Code::ALL
        .iter()
        .map(|code| {
            let outcome = code.outcome().map_or(String::new(), |outcome| {
                format!("{outcome:?}").to_lowercase()
            });
            (
                code.number(),
                format!("{code:?}"),
                outcome,
                code.meaning().into(),
            )
        })
        .collect();
    assert_eq!(listed, expected);
}
