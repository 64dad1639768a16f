//! Reports how a request has ended, and builds the answer to its caller.

use std::fmt::Write;
use std::time::Instant;

use base::AttemptId;
use bytes::Bytes;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use query::Gather;
use query::GatherOutcome;
use query::UnansweredService;

use crate::Target;
use crate::answer::Answer;
use crate::answer::AnswerBody;
use crate::answer::forward_reply;
use crate::answer::refuse_for;
use crate::answer::reply_error;
use crate::attempt::Reply;
use crate::holders::Assignment;
use crate::memory::BodyMemory;
use crate::merge::merge_records;
use crate::metrics::Counter;
use crate::named_limit::quota_wait;
use crate::request::CRASHES_SERVERS;
use crate::request::NO_FAILURE;
use crate::request::RequestRun;

/// Most unanswered services that a log line names.
const MAX_LOGGED_SERVICES: usize = 4;

impl RequestRun<'_> {
    /// Skips holders that delivered too little of the request.
    pub(crate) fn judge_holders(&self, assignments: &[Assignment], gather: &Gather) {
        let unanswered = gather.unanswered_services();
        if unanswered.is_empty() {
            return;
        }
        let missing = |index: usize| unanswered.iter().any(|service| service.index == index);
        let mut state = self.node.state.borrow_mut();
        let now = Instant::now();
        for holder in state.holders.record_delivery(assignments, missing, now) {
            state.metrics.count(Counter::HolderLost);
            if let Some(skipped) = state.allow_log_line("holder late") {
                let id = self.outgoing.id.to_str().unwrap_or("?");
                let holder = holder.as_str();
                log::info!(id, holder, skipped; "holder: delivered too little; skipped for a time");
            }
        }
    }

    /// Counts the outcome of the request, and logs it unless the answer is whole.
    pub(crate) fn report(&self, outcome: &GatherOutcome, gather: &Gather, started: Instant) {
        let (kind, counter) = match outcome {
            GatherOutcome::Answered { missing: 0, .. } => ("whole", Counter::RequestWhole),
            GatherOutcome::Answered { .. } => ("partial", Counter::RequestPartial),
            GatherOutcome::NotRun => ("not run", Counter::RequestNotRun),
            GatherOutcome::Failed => ("failed", Counter::RequestFailed),
            GatherOutcome::TimedOut => ("timed out", Counter::RequestTimedOut),
        };
        let missing = match outcome {
            GatherOutcome::Answered { missing, .. } => *missing,
            GatherOutcome::NotRun | GatherOutcome::Failed | GatherOutcome::TimedOut => {
                gather.plan().services.len()
            }
        };
        let took = started.elapsed();
        let mut state = self.node.state.borrow_mut();
        state.metrics.count(counter);
        state.metrics.record_latency(&self.route.name, took);
        if kind == "whole" {
            return;
        }
        let Some(skipped) = state.allow_log_line(kind) else {
            return;
        };
        let id = self.outgoing.id.to_str().unwrap_or("?");
        let route = self.route.name.as_str();
        let is_limited = |service: UnansweredService| {
            !quota_wait(&state, std::slice::from_ref(service.service)).is_zero()
        };
        let reason = match self.reason {
            NO_FAILURE if gather.unanswered_services().into_iter().any(is_limited) => {
                "the servers' own limits are used up"
            }
            other => other,
        };
        let (sent, ms) = (gather.sent(), took.as_millis() as u64);
        let revision = self.revision;
        let open = describe_unanswered(gather);
        let open = open.as_str();
        log::info!(id, route, revision, ms, sent, missing, open, reason, skipped; "request: {kind}");
    }

    pub(crate) fn respond(mut self, outcome: GatherOutcome, gather: &Gather) -> Answer {
        let answer = match outcome {
            GatherOutcome::Answered { parts, missing } => self.build_answer(&parts, missing),
            GatherOutcome::NotRun => {
                let wait = quota_wait(&self.node.state.borrow(), &gather.plan().services);
                refuse_for(wait, "no server could take the request")
            }
            GatherOutcome::Failed if self.reason == CRASHES_SERVERS => {
                reply_error(StatusCode::BAD_GATEWAY, CRASHES_SERVERS)
            }
            GatherOutcome::Failed => {
                self.forward_failure(StatusCode::BAD_GATEWAY, "the servers failed")
            }
            GatherOutcome::TimedOut => {
                self.forward_failure(StatusCode::GATEWAY_TIMEOUT, "no answer came in time")
            }
        };
        self.finish();
        answer
    }

    fn build_answer(&mut self, parts: &[AttemptId], missing: usize) -> Answer {
        let replies: Vec<Reply> = parts
            .iter()
            .filter_map(|id| self.replies.remove(id))
            .collect();
        match &self.route.target {
            Target::Services(_) => match replies.into_iter().next() {
                Some(reply) => forward_reply(reply),
                None => reply_error(StatusCode::BAD_GATEWAY, "the reply is gone"),
            },
            Target::Shards { top_k, .. } => self.merge_replies(replies, *top_k, missing),
        }
    }

    fn merge_replies(&self, mut replies: Vec<Reply>, top_k: usize, missing: usize) -> Answer {
        let names = &self.node.headers;
        let bodies: Vec<Bytes> = replies.iter().map(|reply| reply.body.clone()).collect();
        let signatures: Vec<&str> = replies
            .iter()
            .filter_map(|reply| reply.headers.get(&names.signature)?.to_str().ok())
            .collect();
        let signatures = signatures.join(", ");
        let merged = merge_records(&bodies, top_k);
        // The merged body is no larger than the parts, whose memory it takes over.
        let mut memory = BodyMemory::empty(&self.node.memory);
        replies
            .iter_mut()
            .filter_map(|reply| reply.memory.take())
            .for_each(|part| memory.absorb(part));
        memory.shrink_to(merged.len() as u64);
        let mut answer = Response::new(AnswerBody::new(merged, Some(memory)));
        let headers = answer.headers_mut();
        if let Ok(value) = HeaderValue::from_str(&signatures) {
            headers.insert(&names.parts, value);
        }
        headers.insert(&names.missing, HeaderValue::from(missing));
        headers.insert(&names.request_id, self.outgoing.id.clone());
        answer
    }

    /// Forwards the server's error if the request needed a single server, since it says more than the gateway's own.
    fn forward_failure(&mut self, status: StatusCode, reason: &'static str) -> Answer {
        match (self.failure.take(), &self.route.target) {
            (Some(reply), Target::Services(_)) => forward_reply(reply),
            _ => reply_error(status, reason),
        }
    }
}

/// Lists the first unanswered services, each with the number of attempts sent and of those still awaited.
fn describe_unanswered(gather: &Gather) -> String {
    let mut text = String::new();
    for service in gather
        .unanswered_services()
        .iter()
        .take(MAX_LOGGED_SERVICES)
    {
        let separator = if text.is_empty() { "" } else { "," };
        // Writing to a string can't fail.
        let _ = write!(
            text,
            "{separator}{}:{}/{}",
            service.service, service.sent, service.awaited
        );
    }
    text
}
