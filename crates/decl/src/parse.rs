//! Parsing of declaration files.

use std::time::Duration;

use base::Code;
use compact_str::CompactString;
use serde::Deserialize;
use snafu::Snafu;

use crate::AtDeadline;
use crate::Class;
use crate::Declaration;
use crate::Prefer;
use crate::Request;
use crate::ShardSet;

/// An error in a declaration file.
#[derive(Debug, Clone, PartialEq, Snafu)]
#[snafu(display("{file}:{line}: {key}: {reason} (code {})", code.number()))]
pub struct Fault {
    /// File name.
    pub file: CompactString,
    /// Line number, starting at 1.
    pub line: usize,
    /// Key that the error is about.
    pub key: CompactString,
    /// Reason in plain words.
    pub reason: String,
    /// Result code.
    pub code: Code,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawDeclaration {
    service: CompactString,
    index: CompactString,
    shards: RawShards,
    deadline: String,
    #[serde(default = "default_class")]
    class: Class,
    at_deadline: Option<RawAtDeadline>,
    #[serde(default)]
    hedge: RawBudget,
    #[serde(default)]
    retry: RawBudget,
    #[serde(default)]
    request: Vec<RawRequest>,
}

#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum RawShards {
    Word(String),
    Set(ShardSet),
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawAtDeadline {
    prefer: Prefer,
    min_coverage: f64,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawBudget {
    budget: Option<f64>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawRequest {
    name: CompactString,
    #[serde(default)]
    repeatable: bool,
}

/// Hedges allowed where a declaration names no budget, as a fraction of primary sub-requests.
const DEFAULT_HEDGE: f64 = 0.02;

/// Retries allowed where a declaration names no budget, as a fraction of primary sub-requests.
const DEFAULT_RETRY: f64 = 0.02;

fn default_class() -> Class {
    Class::Interactive
}

/// Parses and validates one declaration file.
pub fn parse_declaration(file: &str, text: &str) -> Result<Declaration, Vec<Fault>> {
    let fault = |line: usize, key: &str, reason: String| {
        vec![Fault {
            file: file.into(),
            line,
            key: key.into(),
            reason,
            code: Code::InvalidDeclaration,
        }]
    };
    let raw: RawDeclaration = toml::from_str(text).map_err(|error| {
        let offset = error.span().map_or(0, |span| span.start);
        let line = text[..offset].matches('\n').count() + 1;
        fault(line, "file", error.message().to_owned())
    })?;
    let deadline = parse_duration(&raw.deadline).ok_or_else(|| {
        fault(
            1,
            "deadline",
            format!("{:?} is not a duration such as 250ms", raw.deadline),
        )
    })?;
    let shards = match raw.shards {
        RawShards::Set(set) => set,
        RawShards::Word(word) if word == "all" => ShardSet::All,
        RawShards::Word(word) => {
            return Err(fault(
                1,
                "shards",
                format!("{word:?} is not \"all\", a range, names or a tag"),
            ));
        }
    };
    let at_deadline = raw.at_deadline.map_or(
        AtDeadline {
            prefer: Prefer::Coverage,
            min_coverage: 0.0,
        },
        |rule| AtDeadline {
            prefer: rule.prefer,
            min_coverage: rule.min_coverage,
        },
    );
    Ok(Declaration {
        service: raw.service,
        index: raw.index,
        shards,
        deadline,
        class: raw.class,
        at_deadline,
        hedge_budget: raw.hedge.budget.unwrap_or(DEFAULT_HEDGE),
        retry_budget: raw.retry.budget.unwrap_or(DEFAULT_RETRY),
        requests: raw
            .request
            .into_iter()
            .map(|request| Request {
                name: request.name,
                repeatable: request.repeatable,
            })
            .collect(),
    })
}

/// Parses a duration in whole milliseconds or seconds, such as `250ms` or `2s`.
fn parse_duration(text: &str) -> Option<Duration> {
    if let Some(number) = text.strip_suffix("ms") {
        return number.parse().ok().map(Duration::from_millis);
    }
    text.strip_suffix('s')?
        .parse()
        .ok()
        .map(Duration::from_secs)
}
