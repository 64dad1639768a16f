//! One request of a caller: lookup, admission, the query or the claimed run, and the record of its end.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use base::Code;
use base::Outcome;
use base::QueryId;
use base::RequestName;
use base::ServiceName;
use base::ShardId;
use compact_str::CompactString;
use decl::Catalogue;
use decl::Declaration;
use decl::ShardSet;
use query::Answer;
use query::Plan;
use query::Policy;
use query::Tuning;
use serde_json::value::RawValue;

use crate::api::AnswerBody;
use crate::api::FailureBody;
use crate::metrics::class_word;
use crate::node::Node;
use crate::run::run_query;

/// What a caller asks for.
#[derive(Debug)]
pub struct Call {
    /// Name of the service.
    pub service: ServiceName,
    /// Name of the kind of request.
    pub request: RequestName,
    /// Idempotency key.
    pub key: Option<CompactString>,
    /// Passed on to the upstreams unchanged.
    pub body: Box<RawValue>,
    /// Whether the answer carries its explanation record.
    pub explain: bool,
    /// Time that the caller waits.
    pub timeout: Option<Duration>,
    /// Shard that a request that is not repeatable goes to.
    pub shard: Option<ShardId>,
}

/// Serves one request; the caller's connection may break without cutting the request short.
pub async fn serve_call(node: &Arc<Node>, call: Call) -> Result<AnswerBody, FailureBody> {
    let started = Instant::now();
    let _active = node.enter().map_err(|code| FailureBody::new(code, None))?;
    let catalogue = node
        .catalogue()
        .ok_or_else(|| FailureBody::new(Code::NotReady, None))?;
    let declaration = find_declaration(&catalogue, &call)?;
    let repeatable = declaration
        .request(&call.request)
        .is_some_and(|request| request.repeatable);
    if !repeatable {
        return Err(FailureBody::new(Code::ClaimUnavailable, None));
    }
    let explain = call.explain;
    let answer = run_read(node, &catalogue, declaration, call, started).await;
    record_end(node, declaration, &answer, started);
    match answer.code.outcome() {
        Some(Outcome::Answered | Outcome::Partial) => Ok(AnswerBody::from_answer(answer, explain)),
        Some(Outcome::Refused | Outcome::Unknown) | None => {
            Err(FailureBody::from_answer(answer, explain))
        }
    }
}

fn find_declaration<'a>(
    catalogue: &'a Catalogue,
    call: &Call,
) -> Result<&'a Declaration, FailureBody> {
    let Some(declaration) = catalogue.declaration(&call.service) else {
        let detail = format!(
            "service {:?} is not in revision {}",
            call.service, catalogue.revision
        );
        return Err(FailureBody::new(Code::UnknownService, Some(detail)));
    };
    if declaration.request(&call.request).is_none() {
        let names: Vec<&str> = declaration
            .requests
            .iter()
            .map(|request| request.name.as_str())
            .collect();
        let detail = format!("{:?} is not one of: {}", call.request, names.join(", "));
        return Err(FailureBody::new(Code::UnknownRequest, Some(detail)));
    }
    Ok(declaration)
}

async fn run_read(
    node: &Arc<Node>,
    catalogue: &Catalogue,
    declaration: &Declaration,
    call: Call,
    started: Instant,
) -> Answer {
    let plan = make_plan(node, catalogue, declaration, &call, started);
    run_query(node, plan, call.body).await
}

fn make_plan(
    node: &Node,
    catalogue: &Catalogue,
    declaration: &Declaration,
    call: &Call,
    started: Instant,
) -> Plan {
    let allowed = call.timeout.map_or(declaration.deadline, |timeout| {
        timeout.min(declaration.deadline)
    });
    Plan {
        id: node.next_query(),
        service: declaration.service.clone(),
        request: call.request.clone(),
        index: declaration.index.clone(),
        shards: call.shard.map_or_else(
            || declaration.shards.clone(),
            |shard| ShardSet::Names(vec![shard]),
        ),
        repeatable: true,
        key: call.key.clone().unwrap_or_default(),
        deadline: started + allowed,
        policy: Policy {
            at_deadline: declaration.at_deadline,
            hedge_budget: declaration.hedge_budget,
            retry_budget: declaration.retry_budget,
        },
        revision: catalogue.revision,
        stale: node.stale(started),
        tuning: Tuning::default(),
    }
}

/// Counts the end of a request and writes its explanation as one log line.
fn record_end(node: &Node, declaration: &Declaration, answer: &Answer, started: Instant) {
    node.metrics.record_answer(
        &declaration.service,
        declaration.class,
        answer.code,
        started.elapsed(),
    );
    let explanation = &answer.explanation;
    let record = serde_json::to_string(explanation).unwrap_or_default();
    log::info!(
        target: "answer",
        query = explanation.query.as_str(),
        service = explanation.service.as_str(),
        class = class_word(declaration.class),
        code = answer.code.number(),
        record = record.as_str();
        "entry: request ended"
    );
}

/// Formats a query id as in answers and logs.
pub fn format_query(id: QueryId) -> CompactString {
    compact_str::format_compact!("{id:032x}")
}
