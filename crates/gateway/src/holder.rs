//! The holder's side of a delegation: sends the attempts for some services of another gateway's request, and streams
//! the parts back as they come.

use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use bytes::BytesMut;
use http::Request;
use http::Response;
use http_body_util::Either;
use hyper::body::Body;
use hyper::body::Incoming;
use limit::RepeatPool;
use query::Gather;
use query::GatherEvent;
use query::GatherPlan;
use tokio::sync::mpsc;

use crate::Target;
use crate::admit::AdmittedRequest;
use crate::admit::admit;
use crate::answer::Answer;
use crate::answer::AnswerBody;
use crate::answer::AnswerBytes;
use crate::answer::refuse;
use crate::attempt::Reply;
use crate::delegation::Delegation;
use crate::delegation::Frame;
use crate::delegation::HEADER;
use crate::delegation::hash_services;
use crate::forward::mark_cut;
use crate::forward::refuse_cut;
use crate::listener::Slot;
use crate::memory::BodyMemory;
use crate::memory::Memory;
use crate::metrics::Counter;
use crate::node::CountGuard;
use crate::node::Node;
use crate::request::RequestRun;

/// Interval at which a holder that waits for servers shows that it is alive.
pub(crate) const ALIVE_INTERVAL: Duration = Duration::from_millis(40);

/// Response to another gateway.
pub(crate) type PeerAnswer = Response<Either<AnswerBody, PartStream>>;

/// A frame that waits to be sent, and the memory reserved for its body.
struct OutgoingFrame {
    frame: Frame,
    memory: Option<BodyMemory>,
}

impl OutgoingFrame {
    /// Appends the frame to a buffer, and its memory to that of the buffer.
    fn encode(self, out: &mut BytesMut, memory: &mut BodyMemory) {
        self.frame.encode(out);
        if let Some(own) = self.memory {
            memory.absorb(own);
        }
    }
}

impl From<Frame> for OutgoingFrame {
    fn from(frame: Frame) -> OutgoingFrame {
        OutgoingFrame {
            frame,
            memory: None,
        }
    }
}

/// Body of a holder's reply. The attempts run as part of it, so that they are cancelled when the asking gateway closes
/// the connection.
pub(crate) struct PartStream {
    run: Pin<Box<dyn Future<Output = ()>>>,
    frames: mpsc::UnboundedReceiver<OutgoingFrame>,
    memory: Rc<Memory>,
    is_done: bool,
    /// Counts the request for as long as it is in progress, so that a planned stop waits for it.
    _guard: CountGuard,
}

impl Body for PartStream {
    type Data = AnswerBytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<hyper::body::Frame<AnswerBytes>, Infallible>>> {
        if !self.is_done && self.run.as_mut().poll(context).is_ready() {
            self.is_done = true;
        }
        let Some(first) = ready!(self.frames.poll_recv(context)) else {
            return Poll::Ready(None);
        };
        let mut bytes = BytesMut::new();
        let mut memory = BodyMemory::empty(&self.memory);
        first.encode(&mut bytes, &mut memory);
        // Parts that came together are sent together.
        while let Ok(frame) = self.frames.try_recv() {
            frame.encode(&mut bytes, &mut memory);
        }
        let data = AnswerBytes::new(bytes.freeze(), Some(memory));
        Poll::Ready(Some(Ok(hyper::body::Frame::data(data))))
    }
}

/// Answers a delegated request; a refusal proves that nothing of it has run.
pub(crate) async fn answer_delegated(
    node: &Rc<Node>,
    request: Request<Incoming>,
    slot: &Slot,
) -> PeerAnswer {
    let arrived = Instant::now();
    let value = request.headers().get(HEADER).cloned();
    if node.links.is_cut() {
        return mark_cut(refuse_cut(false)).map(Either::Left);
    }
    if node.stopping.get() {
        return refuse("this gateway is stopping").map(Either::Left);
    }
    let mut admitted = match admit(node, request, arrived, slot).await {
        Ok(admitted) => admitted,
        Err(answer) => return answer.map(Either::Left),
    };
    let value = value.as_ref().and_then(|value| value.to_str().ok());
    let delegation = value.and_then(|value| find_services(&admitted, value));
    let Some(delegation) = delegation else {
        return refuse_other_route(node, &admitted).map(Either::Left);
    };
    if node.facts.is_blocked(admitted.outgoing.fingerprint) {
        return refuse("the request crashes servers").map(Either::Left);
    }
    admitted.outgoing.headers.remove(HEADER);
    node.state
        .borrow_mut()
        .metrics
        .count(Counter::DelegationServed);
    let (sender, frames) = mpsc::unbounded_channel();
    let guard = CountGuard::new(node, |node| &node.delegations);
    let memory = Rc::clone(&node.memory);
    let node = Rc::clone(node);
    let run = async move { run(&node, admitted, &delegation, &sender).await };
    Response::new(Either::Right(PartStream {
        run: Box::pin(run),
        frames,
        memory,
        is_done: false,
        _guard: guard,
    }))
}

/// Returns the services that are asked for, if both gateways know the same services of the route.
fn find_services(admitted: &AdmittedRequest, value: &str) -> Option<Delegation> {
    let Target::Shards { services, .. } = &admitted.route.target else {
        return None;
    };
    let delegation = Delegation::decode(value, services.len())?;
    (delegation.fingerprint == hash_services(services)).then_some(delegation)
}

fn refuse_other_route(node: &Node, admitted: &AdmittedRequest) -> Answer {
    let mut state = node.state.borrow_mut();
    if let Some(skipped) = state.allow_log_line("delegation refused") {
        let id = admitted.outgoing.id.to_str().unwrap_or("?");
        let (route, revision) = (admitted.route.name.as_str(), admitted.revision);
        log::info!(id, route, revision, skipped; "holder: refused a request; its services are not those of the route here");
    }
    refuse("the route has other services here")
}

/// Sends the attempts until every service has a part or is given up.
async fn run(
    node: &Rc<Node>,
    admitted: AdmittedRequest,
    delegation: &Delegation,
    frames: &mpsc::UnboundedSender<OutgoingFrame>,
) {
    let indices = &delegation.services;
    let Target::Shards { services, .. } = &admitted.route.target else {
        return;
    };
    let plan = {
        let state = node.state.borrow();
        GatherPlan {
            services: indices
                .iter()
                .map(|index| services[*index].clone())
                .collect(),
            // The asking gateway decides how many parts are enough.
            required: 0,
            repeatable: admitted.route.repeatable,
            // The asking gateway sends a request that is suspected of crashing servers itself.
            careful: false,
            delegated: Vec::new(),
            used: delegation.used.clone(),
            pool: RepeatPool::Holder,
            max_runs: admitted.route.max_runs,
            objective: admitted.outgoing.deadline,
            deadline: admitted.outgoing.deadline,
            typical_latency: state.typical_latency(&admitted.route),
            hedge_delay: state.hedge_delay(&admitted.route),
        }
    };
    let mut gather = Gather::new(plan);
    let (mut run, mut received) = RequestRun::new(node, admitted);
    let mut alive = tokio::time::interval(ALIVE_INTERVAL);
    alive.tick().await;
    let mut event = GatherEvent::Start;
    loop {
        let replied = match &event {
            GatherEvent::Replied(id) => Some(*id),
            _ => None,
        };
        let service = replied.and_then(|id| gather.find_service(id));
        let is_done = run.apply_event(&mut gather, event).is_some();
        if let (Some(id), Some(service)) = (replied, service)
            && let Some(reply) = run.take_reply(id)
        {
            // The receiver lives as long as this future.
            let _ = frames.send(build_part(node, indices[service], reply));
        }
        if is_done {
            break;
        }
        let wake = gather.next_wake().unwrap_or(gather.plan().deadline);
        event = tokio::select! {
            biased;
            () = node.links.lost.notified() => {
                return_services(&run, &gather, indices, frames);
                return;
            }
            Some(progress) = received.recv() => run.record_progress(progress),
            () = tokio::time::sleep_until(wake.into()) => GatherEvent::Wake,
            _ = alive.tick() => {
                let _ = frames.send(Frame::Alive.into());
                // Without a timer that is due, this changes nothing.
                GatherEvent::Wake
            }
        };
    }
    for service in gather.unanswered_services() {
        let given_up = Frame::GivenUp {
            service: indices[service.index],
            runs: service.runs,
        };
        let _ = frames.send(given_up.into());
    }
    run.finish();
}

/// Hands the services without a part back to the asking gateway, because no server can be reached from here.
fn return_services(
    run: &RequestRun<'_>,
    gather: &Gather,
    indices: &[usize],
    frames: &mpsc::UnboundedSender<OutgoingFrame>,
) {
    let runs = run.end_attempts(gather);
    for service in gather.unanswered_services() {
        let returned = Frame::Returned {
            service: indices[service.index],
            runs: runs[service.index],
        };
        // The receiver lives as long as the future that calls this.
        let _ = frames.send(returned.into());
    }
}

fn build_part(node: &Node, service: usize, reply: Reply) -> OutgoingFrame {
    let signature = reply.headers.get(&node.headers.signature);
    let frame = Frame::Part {
        service,
        signature: signature
            .map(|value| Bytes::copy_from_slice(value.as_bytes()))
            .unwrap_or_default(),
        body: reply.body,
    };
    OutgoingFrame {
        frame,
        memory: reply.memory,
    }
}
