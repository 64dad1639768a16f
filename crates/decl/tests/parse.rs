//! Validation of declaration files: every error is reported, with its line and key.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

use base::Code;
use decl::DeclarationError;
use decl::merge;
use decl::parse_declaration;
use decl::parse_file;

const VALID: &str = r#"service = "advisers"
index = "plan-desk"
shards = { range = [0, 29] }
deadline = "250ms"
class = "interactive"
[at_deadline]
prefer = "latency"
min_coverage = 0.9
[hedge]
budget = 0.03
[retry]
budget = 0
[[request]]
name = "search"
repeatable = true
[[request]]
name = "post-instalment"
"#;

fn list_places(errors: &[DeclarationError]) -> Vec<(usize, &str)> {
    let places = errors.iter().map(|error| (error.line, error.key.as_str()));
    places.collect()
}

/// Guards against a valid file that is rejected, and against an error that is accepted or has the wrong line or key.
#[rstest]
#[case::valid("", "", &[])]
#[case::unknown_key("class =", "clas =", &[(5, "clas")])]
#[case::unknown_nested_key("prefer =", "preferr =", &[(6, "at_deadline.prefer"), (7, "at_deadline.preferr")])]
#[case::unknown_word("\"interactive\"", "\"interactiv\"", &[(5, "class")])]
#[case::empty_service("\"advisers\"", "\"\"", &[(1, "service")])]
#[case::slash_in_index("plan-desk", "plan/desk", &[(2, "index")])]
#[case::range_reversed("[0, 29]", "[29, 0]", &[(3, "shards.range")])]
#[case::range_of_three("[0, 29]", "[0, 1, 29]", &[(3, "shards.range")])]
#[case::negative_shard("[0, 29]", "[-1, 29]", &[(3, "shards.range[0]")])]
#[case::no_shards("range = [0, 29]", "names = []", &[(3, "shards.names")])]
#[case::duplicate_shard("range = [0, 29]", "names = [3, 7, 3]", &[(3, "shards.names")])]
#[case::two_shard_sets("range = [0, 29]", "range = [0, 1], tag = 'a'", &[(3, "shards")])]
#[case::empty_tag("range = [0, 29]", "tag = ''", &[(3, "shards.tag")])]
#[case::zero_deadline("250ms", "0s", &[(4, "deadline")])]
#[case::long_deadline("250ms", "60001ms", &[(4, "deadline")])]
#[case::signed_deadline("250ms", "+250ms", &[(4, "deadline")])]
#[case::number_as_deadline("\"250ms\"", "250", &[(4, "deadline")])]
#[case::coverage_above_one("0.9", "1.1", &[(8, "at_deadline.min_coverage")])]
#[case::coverage_not_a_number("0.9", "nan", &[(8, "at_deadline.min_coverage")])]
#[case::budget_below_zero("0.03", "-0.03", &[(10, "hedge.budget")])]
#[case::large_integer_budget("budget = 0\n", "budget = 99999999999999999999\n", &[(12, "retry.budget")])]
#[case::duplicate_request("post-instalment", "search", &[(17, "request[1].name")])]
#[case::request_without_name("name = \"search\"\n", "", &[(13, "request[0].name")])]
#[case::missing_service("service = \"advisers\"\n", "", &[(1, "service")])]
#[case::unclosed_string("\"plan-desk\"", "\"plan-desk", &[(2, "syntax")])]
#[case::duplicate_key("class = \"interactive\"", "index = \"b\"", &[(5, "syntax")])]
fn test_errors_have_line_and_key(
    #[case] from: &str,
    #[case] to: &str,
    #[case] expected: &[(usize, &str)],
) {
    let text = VALID.replacen(from, to, 1);
    let errors = parse_declaration("a.toml", &text).err().unwrap_or_default();
    assert_eq!(list_places(&errors), expected, "{errors:#?}");
    assert!(errors.iter().all(|f| f.code == Code::InvalidDeclaration));
}

/// Guards against validation that stops at the first error, even if that is a syntax error.
#[test]
fn test_one_run_reports_all_errors() {
    let text = VALID
        .replace("[0, 29]", "[9, 0]")
        .replace("250ms", "90s")
        .replace("budget = 0.03", "budget 0.03")
        .replace("budget = 0\n", "budget = 7\nbugdet = 0\n");
    let errors = parse_declaration("a.toml", &text).unwrap_err();
    let keys: Vec<(usize, &str)> = list_places(&errors);
    assert_eq!(
        keys,
        [
            (3, "shards.range"),
            (4, "deadline"),
            (10, "syntax"),
            (12, "retry.budget"),
            (13, "retry.bugdet"),
        ]
    );
    let last = errors.last().unwrap().to_string();
    let expected =
        "a.toml:13: retry.bugdet: the key is not known; did you mean \"budget\"? (code 505)";
    assert_eq!(last, expected);
}

/// Guards against two files that declare the same service, where one would silently replace the other.
#[test]
fn test_merge_reports_a_service_declared_twice() {
    let first = parse_file("a.toml", VALID).unwrap();
    let second = parse_file("b.toml", &format!("\n\n{VALID}")).unwrap();
    let other = parse_file("c.toml", &VALID.replace("advisers", "clerks")).unwrap();
    let errors = merge(vec![first.clone(), second, other.clone()]).unwrap_err();
    let texts: Vec<String> = errors.iter().map(DeclarationError::to_string).collect();
    let expected =
        "b.toml:3: service: service \"advisers\" is already declared at a.toml:1 (code 505)";
    assert_eq!(texts, [expected]);
    assert_eq!(merge(vec![first, other]).unwrap().entries.len(), 2);
}

fn check_places(text: &str) -> Result<(), TestCaseError> {
    let lines = text.lines().count().max(1);
    let errors = match parse_declaration("a.toml", text) {
        Ok(_) => return Ok(()),
        Err(errors) => errors,
    };
    prop_assert!(!errors.is_empty());
    for error in errors {
        prop_assert!((1..=lines).contains(&error.line), "{error} of {lines}");
    }
    Ok(())
}

/// Sets a fixed seed, so that results are reproducible.
fn fixed_seed_config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        cases: 2000,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(fixed_seed_config())]

    /// Guards against a panic, or a line number outside the file, on random text.
    #[test]
    fn test_random_text_never_panics(text in "([a-z_]{0,9}|[\\[\\]{}=\"'#., \n\r]|\\PC|[0-9]){0,60}") {
        check_places(&text)?;
    }

    /// Guards against a panic, or a line number outside the file, on a declaration with random edits.
    #[test]
    fn test_edited_declaration_never_panics(
        edits in prop::collection::vec((0..VALID.len(), 0_usize..12, "[\\[\\]{}=\"'.,\na-z0-9é]{0,4}"), 1..4),
    ) {
        let mut text = VALID.to_owned();
        for (start, length, insert) in edits {
            let start = text.floor_char_boundary(start);
            let end = text.floor_char_boundary(start + length);
            text.replace_range(start..end.max(start), &insert);
        }
        check_places(&text)?;
    }
}
