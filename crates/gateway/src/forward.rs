//! Forwards requests to another gateway when this one reaches no server.
//!
//! The other gateway serves the request like one of its own callers', whatever the route; it never forwards it again. See
//! docs/decisions/0011-cut-off-vms.md.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use base::Revision;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;

use crate::Peer;
use crate::Route;
use crate::answer::Answer;
use crate::answer::AnswerBody;
use crate::answer::refuse;
use crate::answer::reply_error;
use crate::attempt::MAX_REPLY_BYTES;
use crate::attempt::OutgoingRequest;
use crate::attempt::is_final;
use crate::attempt::remove_hop_headers;
use crate::body::read_body;
use crate::listener::Slot;
use crate::memory::BodyMemory;
use crate::metrics::Counter;
use crate::node::CountGuard;
use crate::node::Node;
use crate::pool::Connection;
use crate::pool::connect;
use crate::request::Origin;
use crate::request::handle_request;

/// Header of a forwarded request: the revision of the configuration that the sender has in force, and the attempts that it
/// has made at each service, as far as they may have run.
pub(crate) const FORWARDED_HEADER: &str = "limpetwick-forwarded";

/// Header of a refusal by a gateway that reaches no server.
pub(crate) const CUT_HEADER: &str = "limpetwick-cut";

/// Gateways that are asked in turn.
const MAX_HELPERS: usize = 3;

/// Most gateways that can't be connected to before a request is given up.
const MAX_UNREACHABLE: usize = 3;

/// Longest time to wait for a connection to a gateway, several round trips between regions.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// A request to forward.
pub(crate) struct Forwarding<'a> {
    pub(crate) outgoing: &'a OutgoingRequest,
    pub(crate) route: &'a Route,
    pub(crate) revision: Revision,
    /// Attempts at each service that may have run, or none.
    pub(crate) used: Vec<u32>,
}

impl Forwarding<'_> {
    /// Records that a gateway may have sent attempts: one more at each service is all that the route surely allows.
    fn record_lost(&mut self) {
        let least = self.route.max_runs.saturating_sub(1).max(1);
        let services = self.route.target.fan_out() as usize;
        self.used.resize(services, 0);
        for used in &mut self.used {
            *used = (*used).max(least);
        }
    }

    fn encode(&self) -> String {
        let used: Vec<String> = self.used.iter().map(u32::to_string).collect();
        format!("{};{}", self.revision, used.join(","))
    }
}

/// Parses the output of [`Forwarding::encode`].
fn parse_header(value: &HeaderValue) -> Option<(Revision, Vec<u32>)> {
    let (revision, used) = value.to_str().ok()?.split_once(';')?;
    let used = used.split(',').filter(|runs| !runs.is_empty());
    let used: Result<Vec<u32>, _> = used.map(str::parse).collect();
    Some((revision.parse().ok()?, used.ok()?))
}

/// How a forwarded request ended.
pub(crate) enum Forwarded {
    /// Another gateway has answered.
    Answered(Answer),
    /// No other gateway could take it, and none has sent it to a server.
    NotTaken,
    /// A reply was lost, so that it may have run.
    Lost,
}

/// Why a gateway was of no help.
enum HelperError {
    /// It can't be connected to.
    Unreachable,
    /// It has not sent the request to a server.
    NotRun,
    /// It reaches no server either.
    Cut,
    /// It may have sent the request.
    Lost,
}

/// Forwards a request to gateways that reach servers, one after the other, until one answers.
pub(crate) async fn forward(node: &Rc<Node>, mut forwarding: Forwarding<'_>) -> Forwarded {
    let outgoing = forwarding.outgoing;
    let mut asked = Vec::new();
    let mut may_have_run = false;
    let mut unreachable = 0;
    while asked.len() < MAX_HELPERS + unreachable && unreachable < MAX_UNREACHABLE {
        let Some(helper) = node.choose_helper(&asked) else {
            break;
        };
        asked.push(helper.node.clone());
        // A gateway that is silent may be waiting for slow servers, and another one would repeat their work.
        let left = outgoing.deadline.saturating_duration_since(Instant::now());
        let asking = tokio::time::timeout(left, ask(node, &forwarding, &helper));
        let asked = tokio::select! {
            biased;
            asked = asking => asked,
            // The other gateway may have sent it.
            () = node.ending.notified() => return Forwarded::Lost,
        };
        match asked {
            Ok(Ok(answer)) => {
                node.state
                    .borrow_mut()
                    .metrics
                    .count(Counter::RequestForwarded);
                return Forwarded::Answered(answer);
            }
            Ok(Err(HelperError::Unreachable)) => unreachable += 1,
            Ok(Err(HelperError::NotRun)) => {}
            Ok(Err(HelperError::Cut)) => node.facts.note_cut(&helper.node),
            Ok(Err(HelperError::Lost)) | Err(_) => {
                may_have_run = true;
                if !outgoing.repeatable {
                    break;
                }
                forwarding.record_lost();
            }
        }
    }
    match may_have_run {
        true => Forwarded::Lost,
        false => Forwarded::NotTaken,
    }
}

async fn ask(
    node: &Rc<Node>,
    forwarding: &Forwarding<'_>,
    helper: &Peer,
) -> Result<Answer, HelperError> {
    let outgoing = forwarding.outgoing;
    // The encoded header is digits, commas and a semicolon, which are a valid value.
    let header = HeaderValue::from_str(&forwarding.encode()).map_err(|_| HelperError::NotRun)?;
    let mut request = outgoing.build(&node.headers).ok_or(HelperError::NotRun)?;
    request.headers_mut().insert(FORWARDED_HEADER, header);
    let mut connection = open_connection(node, outgoing, helper).await?;
    let response = match connection.sender.try_send_request(request).await {
        Ok(response) => response,
        Err(mut error) => {
            return Err(match error.take_message() {
                Some(_) => HelperError::NotRun,
                None => HelperError::Lost,
            });
        }
    };
    if !is_final(response.status()) {
        return Err(HelperError::Lost);
    }
    let (mut head, body) = response.into_parts();
    let mut memory = BodyMemory::empty(&node.memory);
    let body = read_body(node, body, MAX_REPLY_BYTES, &mut memory)
        .await
        .map_err(|_| HelperError::Lost)?;
    let is_kept = !connection.sender.is_closed();
    if is_kept {
        let mut state = node.state.borrow_mut();
        state
            .holder_pool
            .put(helper.addr, connection, Instant::now());
    }
    let is_server_reply = head.headers.contains_key(&node.headers.signature);
    if head.status == StatusCode::SERVICE_UNAVAILABLE && !is_server_reply {
        return Err(match head.headers.contains_key(CUT_HEADER) {
            true => HelperError::Cut,
            false => HelperError::NotRun,
        });
    }
    remove_hop_headers(&mut head.headers);
    head.headers.remove(CUT_HEADER);
    Ok(Response::from_parts(
        head,
        AnswerBody::new(body, Some(memory)),
    ))
}

/// Takes an idle connection or opens one. A request that may run only once gets a new one: if an idle one closes while
/// the request is sent, nothing shows whether it ran.
async fn open_connection(
    node: &Node,
    outgoing: &OutgoingRequest,
    helper: &Peer,
) -> Result<Connection, HelperError> {
    if outgoing.repeatable {
        let mut state = node.state.borrow_mut();
        if let Some(idle) = state.holder_pool.take(helper.addr, Instant::now()) {
            return Ok(idle);
        }
    }
    let opening = tokio::time::timeout(CONNECT_TIMEOUT, connect(helper.addr, ()));
    let opened = opening.await;
    let mut state = node.state.borrow_mut();
    match opened {
        Ok(Ok(connection)) => {
            state.helpers.record_reached(&helper.node);
            Ok(connection)
        }
        Ok(Err(_)) | Err(_) => {
            let now = Instant::now();
            state.helpers.record_unreachable(&helper.node, now);
            Err(HelperError::Unreachable)
        }
    }
}

/// Serves a request for a gateway that reaches no server; a refusal proves that it has not run.
pub(crate) async fn answer_forwarded(
    node: &Rc<Node>,
    mut request: Request<Incoming>,
    slot: &Slot,
) -> Answer {
    let value = request.headers_mut().remove(FORWARDED_HEADER);
    if node.links.is_cut() {
        return mark_cut(refuse_cut(false));
    }
    if node.stopping.get() {
        return refuse("this gateway is stopping");
    }
    let header = value.as_ref().and_then(parse_header);
    let Some((_, used)) = header.filter(|(revision, _)| has_revision(node, *revision)) else {
        return refuse("the configuration in force here is older");
    };
    let _guard = CountGuard::new(node, |node| &node.delegations);
    node.state
        .borrow_mut()
        .metrics
        .count(Counter::RequestServedForPeer);
    let answer = handle_request(Rc::clone(node), request, Origin::Gateway { used }, slot).await;
    match node.links.is_cut() {
        true => mark_cut(answer),
        false => answer,
    }
}

/// Tells the other gateway that this one reaches no server either.
pub(crate) fn mark_cut(mut answer: Answer) -> Answer {
    let cut = HeaderValue::from_static("1");
    answer.headers_mut().insert(CUT_HEADER, cut);
    answer
}

fn has_revision(node: &Node, revision: Revision) -> bool {
    let state = node.state.borrow();
    let own = state.table.as_ref().map(|table| table.revision);
    own.is_some_and(|own| own >= revision)
}

/// Answers a request that can be sent neither from here nor by another gateway.
pub(crate) fn refuse_cut(ran: bool) -> Answer {
    match ran {
        true => reply_error(
            StatusCode::BAD_GATEWAY,
            "the reply was lost, and no server can be reached any more",
        ),
        false => refuse("no server can be reached"),
    }
}
