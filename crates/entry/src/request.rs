//! Processing of one caller's request: validation, admission, the query or claimed run, and the explanation record.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use base::Code;
use base::Outcome;
use base::QueryId;
use base::RequestName;
use base::Revision;
use base::ServiceName;
use base::ShardId;
use base::ShardMap;
use compact_str::CompactString;
use decl::Catalogue;
use decl::Declaration;
use decl::ShardSet;
use once::ClaimKey;
use once::ClaimSpec;
use once::digest_request;
use query::Answer;
use query::Plan;
use query::Policy;
use query::Tuning;
use serde_json::value::RawValue;

use crate::admission::admit;
use crate::admission::count_subrequests;
use crate::api::AnswerBody;
use crate::api::FailureBody;
use crate::claimed::ClaimedResult;
use crate::claimed::generate_key;
use crate::claimed::run_claimed;
use crate::metrics::class_name;
use crate::node::Node;
use crate::query_driver::run_query;

/// A request of a caller.
#[derive(Debug)]
pub struct CallerRequest {
    /// Name of the service.
    pub service: ServiceName,
    /// Request name, as the service declares it.
    pub request: RequestName,
    /// Idempotency key.
    pub key: Option<CompactString>,
    /// Body, which is passed to the upstreams unchanged.
    pub body: Box<RawValue>,
    /// Whether the answer includes the explanation record.
    pub explain: bool,
    /// Time for which the caller waits.
    pub timeout: Option<Duration>,
    /// Shard for a request that is not repeatable.
    pub shard: Option<ShardId>,
}

/// Serves one request; it runs to its end even if the caller disconnects.
pub async fn serve_request(
    node: &Arc<Node>,
    call: CallerRequest,
) -> Result<AnswerBody, FailureBody> {
    let started = Instant::now();
    let active = node
        .start_request()
        .map_err(|code| FailureBody::new(code, None))?;
    let catalogue = node
        .catalogue()
        .ok_or_else(|| FailureBody::new(Code::NotReady, None))?;
    let declaration = find_declaration(&catalogue, &call)?;
    check_shard(node, declaration, call.shard)?;
    let repeatable = declaration
        .request(&call.request)
        .is_some_and(|request| request.repeatable);
    let mut plan = make_plan(node, &catalogue, declaration, &call, started);
    node.wait_synced(plan.deadline)
        .await
        .map_err(|code| FailureBody::new(code, None))?;
    // Only repeatable requests pass admission. The others go to one shard and spend most of their time waiting for the
    // claim, which would distort the estimate of how long queries run.
    if repeatable {
        let cost = compute_cost(node, declaration);
        let permit = admit(node, declaration, cost, plan.deadline)
            .await
            .map_err(|code| {
                node.metrics.record_answer(
                    &declaration.service,
                    declaration.class,
                    code,
                    started.elapsed(),
                );
                FailureBody::new(code, None)
            })?;
        let answer = run_query(node, plan, call.body).await;
        drop(permit);
        record_answer(node, declaration, &answer, started);
        return match answer.code.outcome() {
            Some(Outcome::Answered | Outcome::Partial) => {
                Ok(AnswerBody::from_answer(answer, call.explain))
            }
            Some(Outcome::Refused | Outcome::Unknown) | None => {
                Err(FailureBody::from_answer(answer, call.explain))
            }
        };
    }
    plan.repeatable = false;
    if plan.key.is_empty() {
        plan.key = generate_key(node);
    }
    let key = ClaimKey::new(&plan.service, &plan.key)
        .map_err(|error| FailureBody::new(Code::InvalidBody, Some(error.to_string())))?;
    let spec = ClaimSpec {
        key,
        attempt: node.next_attempt_id(),
        digest: digest_request(&plan.request, call.body.get()),
        window_ms: 0,
    };
    let id = plan.id;
    let key = plan.key.clone();
    let claimed = run_claimed(node, active, plan, spec, call.body).await;
    if let Some(answer) = &claimed.answer {
        record_answer(node, declaration, answer, started);
    } else {
        let code = claimed.settlement.code;
        node.metrics.record_answer(
            &declaration.service,
            declaration.class,
            code,
            started.elapsed(),
        );
        // Without an answer of the query there is no explanation record; this line lets the monitor find the key.
        log::info!(
            target: "answer",
            query = format_query(id).as_str(),
            service = declaration.service.as_str(),
            class = class_name(declaration.class),
            code = code.number(),
            key = key.as_str();
            "entry: request ended without a record"
        );
    }
    make_claimed_body(claimed, id, key, catalogue.revision, call.explain)
}

/// Returns the cost of a query for admission: its number of sub-requests on the newest shard map.
fn compute_cost(node: &Node, declaration: &Declaration) -> u32 {
    let index = node.index(&declaration.index);
    let map = index.as_ref().and_then(|index| index.maps.last());
    map.map_or(0, |map| count_subrequests(map.shards.iter(), declaration))
}

/// Builds the response body of a claimed request, whether it ran for this call or for an earlier call with the key.
fn make_claimed_body(
    claimed: ClaimedResult,
    id: QueryId,
    key: CompactString,
    revision: Revision,
    explain: bool,
) -> Result<AnswerBody, FailureBody> {
    let code = claimed.settlement.code;
    let explanation = claimed.answer.map(|answer| answer.explanation);
    if code.outcome() != Some(Outcome::Answered) {
        return Err(FailureBody {
            query: Some(format_query(id).as_str().into()),
            key: Some(key.as_str().into()),
            coverage: explanation
                .as_ref()
                .map(|explanation| Box::new(explanation.coverage.clone())),
            explanation: explanation.filter(|_| explain).map(Box::new),
            ..FailureBody::new(code, None)
        });
    }
    let result = claimed
        .settlement
        .result
        .and_then(|text| RawValue::from_string(text.into()).ok());
    Ok(AnswerBody {
        outcome: "answered",
        code: code.number(),
        meaning: code.meaning(),
        query: format_query(id).to_string(),
        revision,
        key: Some(key.to_string()),
        replayed: explanation.is_none(),
        snapshot: explanation
            .as_ref()
            .and_then(|explanation| explanation.snapshot),
        coverage: explanation
            .as_ref()
            .map(|explanation| explanation.coverage.clone())
            .unwrap_or_default(),
        parts: Vec::new(),
        result,
        explanation: explanation.filter(|_| explain),
    })
}

fn find_declaration<'a>(
    catalogue: &'a Catalogue,
    call: &CallerRequest,
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

/// Refuses a shard that the declaration does not cover, so that a service cannot reach the shards of other services.
///
/// Without a shard map nothing can be checked; the query then reports that no shard can be reached.
fn check_shard(
    node: &Node,
    declaration: &Declaration,
    shard: Option<ShardId>,
) -> Result<(), FailureBody> {
    let (Some(shard), Some(index)) = (shard, node.index(&declaration.index)) else {
        return Ok(());
    };
    let covers = |map: &ShardMap| {
        map.shard(shard)
            .is_some_and(|shard| declaration.shards.contains(shard))
    };
    if index.maps.is_empty() || index.maps.iter().any(covers) {
        return Ok(());
    }
    let detail = format!("shard {shard} is not one that the declaration covers");
    Err(FailureBody::new(Code::InvalidBody, Some(detail)))
}

fn make_plan(
    node: &Node,
    catalogue: &Catalogue,
    declaration: &Declaration,
    call: &CallerRequest,
    started: Instant,
) -> Plan {
    let time_limit = call.timeout.map_or(declaration.deadline, |timeout| {
        timeout.min(declaration.deadline)
    });
    Plan {
        id: node.next_query_id(),
        service: declaration.service.clone(),
        request: call.request.clone(),
        index: declaration.index.clone(),
        shards: call.shard.map_or_else(
            || declaration.shards.clone(),
            |shard| ShardSet::Names(vec![shard]),
        ),
        repeatable: true,
        key: call.key.clone().unwrap_or_default(),
        deadline: started + time_limit,
        policy: Policy {
            at_deadline: declaration.at_deadline,
            hedge_budget: declaration.hedge_budget,
            retry_budget: declaration.retry_budget,
        },
        revision: catalogue.revision,
        stale: node.stale_age(started),
        tuning: Tuning::default(),
    }
}

/// Records the metrics of a request, and logs its explanation record as one line.
fn record_answer(node: &Node, declaration: &Declaration, answer: &Answer, started: Instant) {
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
        class = class_name(declaration.class),
        code = answer.code.number(),
        record = record.as_str();
        "entry: request ended"
    );
}

/// Formats a query id for answers and logs.
pub fn format_query(id: QueryId) -> CompactString {
    compact_str::format_compact!("{id:032x}")
}
