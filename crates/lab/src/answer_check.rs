//! Checks by a caller that an answer belongs to its own request and comes from one snapshot.

use std::collections::BTreeSet;

use serde_json::Value;

/// Contents of an answer and the result of its checks.
#[derive(Debug, Clone, PartialEq)]
pub struct AnswerCheck {
    /// Outcome of the request, such as `answered`.
    pub outcome: String,
    /// Result code.
    pub code: u64,
    /// Whether a part echoes another request than the caller's, or no request.
    pub foreign: bool,
    /// Whether the parts come from more than one snapshot.
    pub mixed: bool,
    /// Members requested and covered; zero unless the outcome is `answered` or `partial`.
    pub members: (u64, u64),
}

/// Checks an answer against the nonce in the caller's request body; returns `None` if it has no code or outcome.
///
/// The modelled upstreams return the request body under `echo` in their items.
pub fn check_answer(answer: &Value, nonce: u64) -> Option<AnswerCheck> {
    let code = answer.get("code")?.as_u64()?;
    let outcome = answer.get("outcome")?.as_str()?.to_owned();
    let parts = answer.get("parts").and_then(Value::as_array);
    let parts = parts.map(Vec::as_slice).unwrap_or_default();
    let is_own = |part: &Value| {
        let mut echoes = Vec::new();
        collect_echoes(part, &mut echoes);
        !echoes.is_empty()
            && echoes
                .iter()
                .all(|echo| echo["nonce"].as_u64() == Some(nonce))
    };
    let snapshots: BTreeSet<_> = parts
        .iter()
        .map(|part| (part["version"].as_u64(), part["map"].as_u64()))
        .collect();
    let has_coverage = matches!(outcome.as_str(), "answered" | "partial");
    let count = |key: &str| answer["coverage"][key].as_u64().unwrap_or(0);
    let members = if has_coverage {
        (count("members"), count("covered"))
    } else {
        (0, 0)
    };
    Some(AnswerCheck {
        outcome,
        code,
        foreign: !parts.iter().all(is_own),
        mixed: snapshots.len() > 1,
        members,
    })
}

fn collect_echoes<'a>(value: &'a Value, echoes: &mut Vec<&'a Value>) {
    match value {
        Value::Array(items) => items.iter().for_each(|item| collect_echoes(item, echoes)),
        Value::Object(fields) => {
            for (name, field) in fields {
                if name == "echo" {
                    echoes.push(field);
                } else {
                    collect_echoes(field, echoes);
                }
            }
        }
        _ => {}
    }
}
