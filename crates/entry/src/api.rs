//! HTTP API for callers and operators.

use std::sync::Arc;

use base::Code;
use base::Outcome;
use base::Part;
use compact_str::CompactString;
use dropshot::ApiDescription;
use dropshot::ApiDescriptionRegisterError;
use dropshot::ErrorStatusCode;
use dropshot::HttpError;
use dropshot::HttpResponseError;
use dropshot::HttpResponseOk;
use dropshot::Path;
use dropshot::RequestContext;
use dropshot::TypedBody;
use dropshot::endpoint;
use http::HeaderMap;
use query::Answer;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;
use serde_json::value::RawValue;

use crate::metrics::MetricsBody;
use crate::node::Node;
use crate::request::CallerRequest;
use crate::request::serve_request;
use crate::status::Status;

/// Request header with the caller's idempotency key, by which a retry is recognized.
const HEADER_KEY: &str = "idempotency-key";

/// Path parameters of a request.
#[derive(Debug, Deserialize, JsonSchema)]
struct RequestPath {
    /// Service name.
    service: String,
    /// Request name, as the service declares it.
    request: String,
}

/// Body of a request.
#[derive(Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
struct RequestBody {
    /// Body for the upstreams, which is passed to them unchanged.
    #[schemars(with = "serde_json::Value")]
    body: Box<RawValue>,
    /// Whether the answer includes the explanation record.
    #[serde(default)]
    explain: bool,
    /// Time for which the caller waits, in milliseconds; the declared deadline applies if it is shorter.
    timeout_ms: Option<u64>,
    /// Shard for a request that is not repeatable; chosen by the idempotency key if absent.
    shard: Option<u32>,
}

/// Body of a complete or partial answer.
#[derive(Debug, Serialize, JsonSchema)]
pub struct AnswerBody {
    /// What the caller may conclude: `answered`, `partial`, `refused` (not run) or `unknown` (may have run).
    pub outcome: &'static str,
    /// Result code; `docs/codes.md` lists them.
    pub code: u16,
    /// Meaning of the code.
    pub meaning: &'static str,
    /// Query id, which identifies the query in logs.
    pub query: String,
    /// Configuration revision that was applied to the query.
    pub revision: u64,
    /// Idempotency key of a request that is not repeatable.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
    /// Whether the result comes from an earlier request with the same key; nothing was sent for this one.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub replayed: bool,
    /// Index version and shard map that all parts come from.
    #[schemars(with = "Option<serde_json::Value>")]
    pub snapshot: Option<base::Snapshot>,
    /// Coverage in shards and members, and the missing shards.
    #[schemars(with = "serde_json::Value")]
    pub coverage: query::Coverage,
    /// One part for each shard that answered.
    #[schemars(with = "Vec<serde_json::Value>")]
    pub parts: Vec<Part>,
    /// Result of a request that is not repeatable.
    #[schemars(with = "Option<serde_json::Value>")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub result: Option<Box<RawValue>>,
    /// Explanation record, if requested.
    #[schemars(with = "Option<serde_json::Value>")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub explanation: Option<query::Explanation>,
}

impl AnswerBody {
    /// Converts the answer of a query; `explain` includes its explanation record.
    pub fn from_answer(answer: Answer, explain: bool) -> AnswerBody {
        let Answer {
            code,
            parts,
            explanation,
        } = answer;
        AnswerBody {
            outcome: outcome_name(code),
            code: code.number(),
            meaning: code.meaning(),
            query: explanation.query.to_string(),
            revision: explanation.revision,
            key: None,
            replayed: false,
            snapshot: explanation.snapshot,
            coverage: explanation.coverage.clone(),
            parts,
            result: None,
            explanation: explain.then_some(explanation),
        }
    }
}

/// Body of an answer without parts: the request was refused or invalid, or its outcome is unknown.
#[derive(Debug, Serialize, JsonSchema)]
pub struct FailureBody {
    /// What the caller may conclude: `refused` (not run) or `unknown` (may have run).
    pub outcome: &'static str,
    /// Result code; `docs/codes.md` lists them.
    pub code: u16,
    /// Meaning of the code.
    pub meaning: &'static str,
    /// Details about this request.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub detail: Option<Box<str>>,
    /// Query id, which identifies the query in logs, if one was started.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub query: Option<Box<str>>,
    /// Idempotency key of a request that is not repeatable.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub key: Option<Box<str>>,
    /// Coverage that was reached, if a query was started.
    #[schemars(with = "Option<serde_json::Value>")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub coverage: Option<Box<query::Coverage>>,
    /// Explanation record, if requested.
    #[schemars(with = "Option<serde_json::Value>")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub explanation: Option<Box<query::Explanation>>,
    #[serde(skip)]
    pub(crate) status: u16,
}

impl FailureBody {
    /// Creates the body for a code, with details about this request.
    pub fn new(code: Code, detail: Option<String>) -> FailureBody {
        FailureBody {
            outcome: outcome_name(code),
            code: code.number(),
            meaning: code.meaning(),
            detail: detail.map(String::into_boxed_str),
            query: None,
            key: None,
            coverage: None,
            explanation: None,
            status: http_status(code),
        }
    }

    /// Converts the answer of a query that returned no parts; `explain` includes its explanation record.
    pub fn from_answer(answer: Answer, explain: bool) -> FailureBody {
        let explanation = answer.explanation;
        FailureBody {
            query: Some(explanation.query.as_str().into()),
            coverage: Some(Box::new(explanation.coverage.clone())),
            explanation: explain.then(|| Box::new(explanation)),
            ..FailureBody::new(answer.code, None)
        }
    }
}

impl std::fmt::Display for FailureBody {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} (code {})", self.meaning, self.code)
    }
}

impl HttpResponseError for FailureBody {
    fn status_code(&self) -> ErrorStatusCode {
        ErrorStatusCode::from_u16(self.status).unwrap_or(ErrorStatusCode::INTERNAL_SERVER_ERROR)
    }
}

impl From<HttpError> for FailureBody {
    fn from(error: HttpError) -> FailureBody {
        // dropshot reports a body over the size limit with status 400 and this text.
        let oversize = error.external_message.contains("exceeded maximum size");
        let code = match error.status_code.as_u16() {
            413 => Code::BodyTooLarge,
            _ if oversize => Code::BodyTooLarge,
            _ => Code::InvalidBody,
        };
        FailureBody::new(code, Some(error.external_message))
    }
}

/// Returns the name of a code's outcome for answers.
fn outcome_name(code: Code) -> &'static str {
    match code.outcome() {
        Some(Outcome::Answered) => "answered",
        Some(Outcome::Partial) => "partial",
        Some(Outcome::Refused) => "refused",
        Some(Outcome::Unknown) | None => "unknown",
    }
}

/// Returns the HTTP status of an answer without parts.
fn http_status(code: Code) -> u16 {
    match code {
        Code::UnknownService | Code::UnknownRequest => 404,
        Code::InvalidBody => 400,
        Code::BodyTooLarge => 413,
        Code::KeyReused => 422,
        Code::DuplicateUnknown => 409,
        _ => match code.outcome() {
            Some(Outcome::Unknown) => 504,
            _ => 503,
        },
    }
}

/// Body of a successful health or readiness check.
#[derive(Debug, Serialize, JsonSchema)]
pub struct Health {
    /// Always `ok`.
    pub state: String,
}

/// Runs a request of a service.
#[endpoint { method = POST, path = "/v1/services/{service}/requests/{request}" }]
async fn post_request(
    rqctx: RequestContext<Arc<Node>>,
    path: Path<RequestPath>,
    body: TypedBody<RequestBody>,
) -> Result<HttpResponseOk<AnswerBody>, FailureBody> {
    let RequestPath { service, request } = path.into_inner();
    let RequestBody {
        body,
        explain,
        timeout_ms,
        shard,
    } = body.into_inner();
    let call = CallerRequest {
        service: service.into(),
        request: request.into(),
        key: read_key(rqctx.request.headers())?,
        body,
        explain,
        timeout: timeout_ms.map(std::time::Duration::from_millis),
        shard,
    };
    serve_request(rqctx.context(), call)
        .await
        .map(HttpResponseOk)
}

/// Reads the idempotency key; an invalid key is refused, because a generated one instead would let a retry run again.
fn read_key(headers: &HeaderMap) -> Result<Option<CompactString>, FailureBody> {
    let invalid = |reason: &str| {
        let detail = format!("header {HEADER_KEY}: {reason}");
        Err(FailureBody::new(Code::InvalidBody, Some(detail)))
    };
    let mut keys = headers.get_all(HEADER_KEY).iter();
    let Some(key) = keys.next() else {
        return Ok(None);
    };
    if keys.next().is_some() {
        return invalid("the header is given more than once");
    }
    match key.to_str() {
        Ok("") => invalid("the key is empty"),
        Ok(key) => Ok(Some(key.into())),
        Err(_) => invalid("the key has characters other than visible ASCII"),
    }
}

/// Returns success while the process is running.
#[endpoint { method = GET, path = "/healthz" }]
async fn get_healthz(
    _rqctx: RequestContext<Arc<Node>>,
) -> Result<HttpResponseOk<Health>, HttpError> {
    Ok(HttpResponseOk(Health { state: "ok".into() }))
}

/// Returns success if the load balancer may send callers to this VM.
#[endpoint { method = GET, path = "/readyz" }]
async fn get_readyz(
    rqctx: RequestContext<Arc<Node>>,
) -> Result<HttpResponseOk<Health>, FailureBody> {
    match rqctx.context().check_readiness() {
        Ok(()) => Ok(HttpResponseOk(Health { state: "ok".into() })),
        Err(code) => {
            let missing = (code == Code::NotReady).then(|| list_missing(rqctx.context()));
            Err(FailureBody::new(code, missing))
        }
    }
}

/// Lists what the VM waits for before it is ready, so that an operator knows where to look.
fn list_missing(node: &Node) -> String {
    let parts = [
        (node.catalogue().is_some(), "a published configuration"),
        (node.index_count() > 0, "an index from the platform"),
        (node.knows_fleet(), "the list of VMs"),
    ];
    let missing: Vec<&str> = parts
        .into_iter()
        .filter_map(|(present, part)| (!present).then_some(part))
        .collect();
    format!("still lacking: {}", missing.join(", "))
}

/// Returns the status of this VM: revisions and VMs per zone, draining or suspected upstreams, and latencies.
#[endpoint { method = GET, path = "/v1/status" }]
async fn get_status(rqctx: RequestContext<Arc<Node>>) -> Result<HttpResponseOk<Status>, HttpError> {
    Ok(HttpResponseOk(rqctx.context().status()))
}

/// Returns counters, and latency histograms per service and class.
#[endpoint { method = GET, path = "/v1/metrics" }]
async fn get_metrics(
    rqctx: RequestContext<Arc<Node>>,
) -> Result<HttpResponseOk<MetricsBody>, HttpError> {
    Ok(HttpResponseOk(rqctx.context().metrics.describe()))
}

/// Builds the API description, from which the OpenAPI document is generated.
pub fn describe_api() -> Result<ApiDescription<Arc<Node>>, ApiDescriptionRegisterError> {
    let mut api = ApiDescription::new();
    api.register(post_request)?;
    api.register(get_healthz)?;
    api.register(get_readyz)?;
    api.register(get_status)?;
    api.register(get_metrics)?;
    Ok(api)
}
