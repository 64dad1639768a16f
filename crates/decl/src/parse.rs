//! Parsing and validation of declaration files.

use std::borrow::Cow;
use std::collections::BTreeSet;
use std::time::Duration;

use base::RequestName;
use base::ShardId;
use compact_str::CompactString;
use toml::de::DeTable;

use crate::AtDeadline;
use crate::Class;
use crate::Declaration;
use crate::DeclarationError;
use crate::Prefer;
use crate::Request;
use crate::ShardSet;
use crate::error::ErrorCollector;
use crate::read::Item;
use crate::read::Section;

/// Hedges allowed if a declaration sets no budget, as a fraction of primary sub-requests.
const DEFAULT_HEDGE_BUDGET: f64 = 0.02;

/// Retries allowed if a declaration sets no budget, as a fraction of primary sub-requests.
const DEFAULT_RETRY_BUDGET: f64 = 0.02;

/// Longest deadline; a planned stop waits for the longest declared one.
const MAX_DEADLINE: Duration = Duration::from_secs(60);

/// Maximum number of shards that a declaration may list by ID.
const MAX_LISTED_SHARDS: usize = 4096;

/// Maximum number of parses of a file with syntax errors; each pass reports at least one more line.
const MAX_PARSE_PASSES: usize = 64;

const ROOT_KEYS: &[&str] = &[
    "service",
    "index",
    "shards",
    "deadline",
    "class",
    "at_deadline",
    "hedge",
    "retry",
    "request",
];

/// A valid declaration with its file and line, which conflicts between files report.
#[derive(Debug, Clone, PartialEq)]
pub struct ParsedFile {
    /// File name, relative to the published directory.
    pub file: CompactString,
    /// Line of the key `service`, starting at 1.
    pub line: usize,
    /// Validated content of the file.
    pub declaration: Declaration,
}

/// Parses and validates one declaration file, and reports all its errors.
pub fn parse_declaration(file: &str, text: &str) -> Result<Declaration, Vec<DeclarationError>> {
    parse_file(file, text).map(|parsed| parsed.declaration)
}

/// Parses and validates one declaration file like [`parse_declaration`], and returns its file and line for `merge`.
pub fn parse_file(file: &str, text: &str) -> Result<ParsedFile, Vec<DeclarationError>> {
    let mut errors = ErrorCollector::new(file, text);
    let valid_text = report_syntax_errors(text, &mut errors);
    let syntax_errors = errors.take_errors();
    let complete = syntax_errors.is_empty();
    let (root, _) = DeTable::parse_recoverable(&valid_text);
    let section = Section::root(root.get_ref(), complete, ROOT_KEYS, &mut errors);
    let line = section
        .find("service")
        .map_or(1, |item| errors.find_line(item.span.start));
    let declaration = read_declaration(&section, complete, &mut errors);
    errors.add_syntax_errors(syntax_errors);
    let errors = errors.into_sorted();
    match declaration {
        Some(declaration) if errors.is_empty() => Ok(ParsedFile {
            file: file.into(),
            line,
            declaration,
        }),
        _ => Err(errors),
    }
}

/// Reports the syntax errors and returns the text with the lines of these errors blanked.
///
/// The parser stops at some errors, so the text is parsed again after the invalid lines are blanked. Table headers stay,
/// because without its header the keys of a table would be attributed to the previous table.
fn report_syntax_errors<'a>(text: &'a str, errors: &mut ErrorCollector<'_>) -> Cow<'a, str> {
    let mut valid_text = Cow::Borrowed(text);
    let mut lines = BTreeSet::new();
    for _ in 0..MAX_PARSE_PASSES {
        let (_, syntax_errors) = DeTable::parse_recoverable(&valid_text);
        let mut new_lines = Vec::new();
        for error in &syntax_errors {
            let span = error.span().unwrap_or(0..0);
            let line = errors.find_line(span.start);
            if lines.insert(line) {
                errors.report(span, "syntax", error.message());
                new_lines.push(line);
            }
        }
        if new_lines.is_empty() {
            break;
        }
        valid_text = Cow::Owned(blank_lines(&valid_text, &new_lines));
    }
    valid_text
}

/// Overwrites lines other than table headers with spaces, which keeps the byte offsets of the rest.
fn blank_lines(text: &str, lines: &[usize]) -> String {
    let blanked = std::iter::zip(1.., text.split_inclusive('\n')).map(|(number, line)| {
        let body = line.trim_end_matches(['\r', '\n']);
        if !lines.contains(&number) || line.trim_start().starts_with('[') {
            return Cow::Borrowed(line);
        }
        let blank = " ".repeat(body.len());
        Cow::Owned(blank + &line[body.len()..])
    });
    blanked.collect()
}

/// Reads all keys before it returns, so that one run reports all errors.
fn read_declaration(
    root: &Section<'_, '_>,
    complete: bool,
    errors: &mut ErrorCollector<'_>,
) -> Option<Declaration> {
    let service = root
        .require("service", errors)
        .and_then(|item| item.read_name(errors));
    let index = root
        .require("index", errors)
        .and_then(|item| item.read_name(errors));
    let shards = root
        .require("shards", errors)
        .and_then(|item| read_shards(&item, complete, errors));
    let deadline = root
        .require("deadline", errors)
        .and_then(|item| read_deadline(&item, errors));
    let class = read_class(root, errors);
    let at_deadline = read_at_deadline(root, complete, errors);
    let hedge_budget = read_budget(root, "hedge", DEFAULT_HEDGE_BUDGET, complete, errors);
    let retry_budget = read_budget(root, "retry", DEFAULT_RETRY_BUDGET, complete, errors);
    let requests = read_requests(root, complete, errors);
    Some(Declaration {
        service: service?.into(),
        index: index?.into(),
        shards: shards?,
        deadline: deadline?,
        class: class?,
        at_deadline: at_deadline?,
        hedge_budget: hedge_budget?,
        retry_budget: retry_budget?,
        requests: requests?,
    })
}

fn read_class(root: &Section<'_, '_>, errors: &mut ErrorCollector<'_>) -> Option<Class> {
    let words = [("interactive", Class::Interactive), ("batch", Class::Batch)];
    match root.find("class") {
        Some(item) => item.read_keyword(&words, errors),
        None => Some(Class::Interactive),
    }
}

fn read_at_deadline(
    root: &Section<'_, '_>,
    complete: bool,
    errors: &mut ErrorCollector<'_>,
) -> Option<AtDeadline> {
    let Some(item) = root.find("at_deadline") else {
        return Some(AtDeadline {
            prefer: Prefer::Coverage,
            min_coverage: 0.0,
        });
    };
    let section = item.read_section(complete, &["prefer", "min_coverage"], errors)?;
    let words = [("latency", Prefer::Latency), ("coverage", Prefer::Coverage)];
    let prefer = section
        .require("prefer", errors)
        .and_then(|item| item.read_keyword(&words, errors));
    let min_coverage = section
        .require("min_coverage", errors)
        .and_then(|item| item.read_fraction(errors));
    Some(AtDeadline {
        prefer: prefer?,
        min_coverage: min_coverage?,
    })
}

fn read_budget(
    root: &Section<'_, '_>,
    key: &str,
    default: f64,
    complete: bool,
    errors: &mut ErrorCollector<'_>,
) -> Option<f64> {
    let Some(item) = root.find(key) else {
        return Some(default);
    };
    let section = item.read_section(complete, &["budget"], errors)?;
    match section.find("budget") {
        Some(item) => item.read_fraction(errors),
        None => Some(default),
    }
}

fn read_requests(
    root: &Section<'_, '_>,
    complete: bool,
    errors: &mut ErrorCollector<'_>,
) -> Option<Vec<Request>> {
    let Some(item) = root.find("request") else {
        return Some(Vec::new());
    };
    let mut requests: Vec<Request> = Vec::new();
    let mut valid = true;
    for item in item.read_array(errors)? {
        let Some(request) = read_request(&item, complete, &requests, errors) else {
            valid = false;
            continue;
        };
        requests.push(request);
    }
    valid.then_some(requests)
}

fn read_request(
    item: &Item<'_, '_>,
    complete: bool,
    earlier: &[Request],
    errors: &mut ErrorCollector<'_>,
) -> Option<Request> {
    let section = item.read_section(complete, &["name", "repeatable"], errors)?;
    let repeatable = match section.find("repeatable") {
        Some(item) => item.read_bool(errors),
        None => Some(false),
    };
    let item = section.require("name", errors)?;
    let name = RequestName::from(item.read_name(errors)?);
    if earlier.iter().any(|request| request.name == name) {
        item.report(format!("request {name:?} is declared twice"), errors);
        return None;
    }
    Some(Request {
        name,
        repeatable: repeatable?,
    })
}

fn read_shards(
    item: &Item<'_, '_>,
    complete: bool,
    errors: &mut ErrorCollector<'_>,
) -> Option<ShardSet> {
    if let Some(word) = item.as_string() {
        if word == "all" {
            return Some(ShardSet::All);
        }
        item.report(
            format!("{word:?} is not \"all\", a range, names or a tag"),
            errors,
        );
        return None;
    }
    let section = item.read_section(complete, &["range", "names", "tag"], errors)?;
    let (range, names, tag) = (
        section.find("range"),
        section.find("names"),
        section.find("tag"),
    );
    match (range, names, tag) {
        (Some(range), None, None) => read_range(&range, errors),
        (None, Some(names), None) => read_names(&names, errors),
        (None, None, Some(tag)) => tag.read_name(errors).map(|tag| ShardSet::Tag(tag.into())),
        _ => {
            item.report("exactly one of range, names and tag must be given", errors);
            None
        }
    }
}

fn read_range(item: &Item<'_, '_>, errors: &mut ErrorCollector<'_>) -> Option<ShardSet> {
    let bounds = read_ids(item, errors)?;
    let [first, last] = bounds[..] else {
        item.report("a range must consist of a first and a last shard", errors);
        return None;
    };
    if first > last {
        item.report(
            format!("the first shard {first} is after the last shard {last}"),
            errors,
        );
        return None;
    }
    Some(ShardSet::Range([first, last]))
}

fn read_names(item: &Item<'_, '_>, errors: &mut ErrorCollector<'_>) -> Option<ShardSet> {
    let ids = read_ids(item, errors)?;
    let mut sorted = ids.clone();
    sorted.sort_unstable();
    let duplicate = sorted.windows(2).find(|pair| pair[0] == pair[1]);
    if ids.is_empty() {
        item.report("the list of shards is empty", errors);
    } else if ids.len() > MAX_LISTED_SHARDS {
        item.report(
            format!("more than {MAX_LISTED_SHARDS} shards are listed"),
            errors,
        );
    } else if let Some(pair) = duplicate {
        item.report(format!("shard {} is listed twice", pair[0]), errors);
    } else {
        return Some(ShardSet::Names(ids));
    }
    None
}

fn read_ids(item: &Item<'_, '_>, errors: &mut ErrorCollector<'_>) -> Option<Vec<ShardId>> {
    let items = item.read_array(errors)?;
    let ids: Vec<Option<ShardId>> = items.iter().map(|item| item.read_shard(errors)).collect();
    ids.into_iter().collect()
}

fn read_deadline(item: &Item<'_, '_>, errors: &mut ErrorCollector<'_>) -> Option<Duration> {
    let text = item.read_string(errors)?;
    let Some(deadline) = parse_duration(text) else {
        item.report(
            format!("{text:?} is not a duration such as 250ms or 2s"),
            errors,
        );
        return None;
    };
    if deadline.is_zero() || deadline > MAX_DEADLINE {
        item.report("the deadline must be above 0 and at most 60s", errors);
        return None;
    }
    Some(deadline)
}

/// Parses a duration in whole milliseconds or seconds, such as `250ms` or `2s`.
fn parse_duration(text: &str) -> Option<Duration> {
    let is_number = |text: &str| text.bytes().all(|byte| byte.is_ascii_digit());
    let number = |text: &str| text.parse().ok().filter(|_| is_number(text));
    if let Some(text) = text.strip_suffix("ms") {
        return number(text).map(Duration::from_millis);
    }
    number(text.strip_suffix('s')?).map(Duration::from_secs)
}
