//! Drives the home of ledger objects: its calls of the platform, and the requests of this node and of peers.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use base::Code;
use once::ClaimKey;
use once::ClaimResult;
use once::ClaimSpec;
use once::ClockReading;
use once::Home;
use once::HomeAction;
use once::HomeEvent;
use once::HomeOptions;
use once::Ledger;
use once::LedgerId;
use once::Operation;
use once::ReadResult;
use once::Request;
use once::Settlement;
use once::WriteResult;
use store::PutResult;
use tokio::sync::Notify;
use tokio::sync::oneshot;
use wire::ClaimReply;
use wire::ClaimRequest;
use wire::ClaimStatus;
use wire::claim_request::Operation as WireOperation;

use crate::node::Node;
use crate::node::lock;

/// Kind of the ledger objects in the platform.
const KIND: &str = "ledger";

/// Writes of ledger objects a second by all homes together, of the several hundred that the platform takes.
const LEDGER_WRITES_PER_SECOND: u32 = 200;

/// Most homes at a time, since each ledger object has one.
const MAX_HOMES: u32 = once::LEDGER_COUNT as u32;

/// The home machine of this node with the requests that wait for it.
#[derive(Debug)]
pub struct HomeDriver {
    inner: Mutex<Inner>,
    timer: Notify,
}

#[derive(Debug)]
struct Inner {
    home: Home,
    tickets: HashMap<u64, oneshot::Sender<ClaimResult>>,
    next: u64,
    wake: Option<Instant>,
}

impl Default for HomeDriver {
    fn default() -> HomeDriver {
        let home = Home::new(HomeOptions::default());
        HomeDriver {
            inner: Mutex::new(Inner {
                home,
                tickets: HashMap::new(),
                next: 0,
                wake: None,
            }),
            timer: Notify::new(),
        }
    }
}

impl HomeDriver {
    /// Shares the writes of the ledgers among the homes that a fleet of `nodes` has.
    pub fn limit_writes(&self, nodes: u32) {
        let interval =
            Duration::from_secs(1) * nodes.clamp(1, MAX_HOMES) / LEDGER_WRITES_PER_SECOND;
        lock(&self.inner).home.set_write_interval(interval);
    }
}

/// Reads both clocks.
pub fn read_clocks() -> ClockReading {
    let wall = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    ClockReading {
        instant: Instant::now(),
        wall_ms: wall.as_millis() as u64,
    }
}

/// Asks this node's home, whoever may be in charge by the view: a wrong home only loses time.
pub async fn call_home(node: &Arc<Node>, request: Request) -> ClaimResult {
    let (reply, verdict) = oneshot::channel();
    let ticket = {
        let mut inner = lock(&node.homes.inner);
        inner.next += 1;
        let ticket = inner.next;
        inner.tickets.insert(ticket, reply);
        ticket
    };
    feed(node, HomeEvent::Request(ticket, request));
    verdict.await.unwrap_or(ClaimResult::Unknown)
}

/// Wakes the home at the moments that it asks for, until the node stops.
pub async fn run_home_timer(node: Arc<Node>) {
    loop {
        let wake = lock(&node.homes.inner).wake;
        let sleep = async {
            match wake {
                Some(at) => tokio::time::sleep_until(at.into()).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = sleep => {
                lock(&node.homes.inner).wake = None;
                feed(&node, HomeEvent::Wake);
            }
            () = node.homes.timer.notified() => {}
        }
    }
}

fn feed(node: &Arc<Node>, event: HomeEvent) {
    let mut inner = lock(&node.homes.inner);
    let actions = inner.home.handle(event, read_clocks());
    for action in actions {
        match action {
            HomeAction::Read(ledger) => drop(tokio::spawn(read_ledger(node.clone(), ledger))),
            HomeAction::Write(ledger, version, value) => {
                drop(tokio::spawn(write_ledger(
                    node.clone(),
                    ledger,
                    version,
                    value,
                )));
            }
            HomeAction::Reply(ticket, verdict) => {
                // A requester that gave up has dropped its end.
                let _ = inner
                    .tickets
                    .remove(&ticket)
                    .map(|reply| reply.send(verdict));
            }
            HomeAction::WakeAt(at) => {
                inner.wake = Some(at);
                node.homes.timer.notify_one();
            }
        }
    }
}

async fn read_ledger(node: Arc<Node>, ledger: LedgerId) {
    let result = match node.store.get::<Ledger>(KIND, &ledger.to_string()).await {
        Ok(Some(stored)) => ReadResult::Found(stored.version, stored.value),
        Ok(None) => ReadResult::Found(0, Ledger::default()),
        Err(error) => {
            log::warn!("once: ledger {ledger} was not read: {error}");
            ReadResult::Failed
        }
    };
    feed(&node, HomeEvent::Read(ledger, result));
}

async fn write_ledger(node: Arc<Node>, ledger: LedgerId, version: u64, value: Ledger) {
    node.metrics.count("ledger.writes", 1);
    let result = match node
        .store
        .put_if(KIND, &ledger.to_string(), version, &value)
        .await
    {
        PutResult::Applied(version) => WriteResult::Applied(version),
        PutResult::Conflict(version) => WriteResult::Conflict(version),
        PutResult::Refused(error) => {
            log::warn!("once: ledger {ledger} was not written: {error}");
            WriteResult::Refused
        }
        PutResult::Unknown(error) => {
            log::warn!("once: the reply to a write of ledger {ledger} was lost: {error}");
            WriteResult::Unknown
        }
    };
    feed(&node, HomeEvent::Written(ledger, result));
}

/// Encodes a request to the home on another node.
pub fn encode_request(request: &Request) -> ClaimRequest {
    let spec = &request.spec;
    let operation = match &request.operation {
        Operation::Claim => WireOperation::Claim(wire::NewClaim {}),
        Operation::Revoke(code) => WireOperation::Revoke(code.number().into()),
        Operation::Settle(settlement) => WireOperation::Settle(encode_settlement(settlement)),
    };
    ClaimRequest {
        service: spec.key.service().into(),
        key: spec.key.key().into(),
        attempt: spec.attempt,
        digest: spec.digest,
        window_ms: spec.window_ms,
        sent_ms: request.sent_ms,
        operation: Some(operation),
    }
}

/// Decodes a request of another node; `None` when it is not valid.
pub fn decode_request(request: ClaimRequest) -> Option<Request> {
    let operation = match request.operation? {
        WireOperation::Claim(_) => Operation::Claim,
        WireOperation::Revoke(code) => Operation::Revoke(decode_code(code)?),
        WireOperation::Settle(settlement) => Operation::Settle(decode_settlement(settlement)?),
    };
    let key = ClaimKey::new(&request.service, &request.key).ok()?;
    let spec = ClaimSpec {
        key,
        attempt: request.attempt,
        digest: request.digest,
        window_ms: request.window_ms,
    };
    Some(Request {
        spec,
        operation,
        sent_ms: request.sent_ms,
    })
}

/// Encodes the answer of this node's home.
pub fn encode_result(verdict: ClaimResult) -> ClaimReply {
    let mut reply = ClaimReply::default();
    let status = match verdict {
        ClaimResult::Granted { deadline_ms } => {
            reply.deadline_ms = deadline_ms;
            ClaimStatus::Granted
        }
        ClaimResult::InProgress => ClaimStatus::InProgress,
        ClaimResult::Settled(settlement) => {
            reply.settlement = Some(encode_settlement(&settlement));
            ClaimStatus::Settled
        }
        ClaimResult::KeyReused => ClaimStatus::Reused,
        ClaimResult::Full => ClaimStatus::Full,
        ClaimResult::Missing => ClaimStatus::Missing,
        ClaimResult::Unavailable => ClaimStatus::Unavailable,
        ClaimResult::Unknown => ClaimStatus::Unsure,
    };
    reply.set_status(status);
    reply
}

/// Decodes the answer of another node's home; one that is not valid proves nothing.
pub fn decode_result(reply: ClaimReply) -> ClaimResult {
    match reply.status() {
        ClaimStatus::Granted => ClaimResult::Granted {
            deadline_ms: reply.deadline_ms,
        },
        ClaimStatus::InProgress => ClaimResult::InProgress,
        ClaimStatus::Settled => {
            let settlement = reply.settlement.and_then(decode_settlement);
            settlement.map_or(ClaimResult::Unknown, ClaimResult::Settled)
        }
        ClaimStatus::Reused => ClaimResult::KeyReused,
        ClaimStatus::Full => ClaimResult::Full,
        ClaimStatus::Missing => ClaimResult::Missing,
        ClaimStatus::Unavailable => ClaimResult::Unavailable,
        ClaimStatus::Unsure => ClaimResult::Unknown,
    }
}

fn encode_settlement(settlement: &Settlement) -> wire::Settlement {
    wire::Settlement {
        code: settlement.code.number().into(),
        result: settlement
            .result
            .as_ref()
            .map(|result| result.as_bytes().to_vec().into()),
    }
}

fn decode_settlement(settlement: wire::Settlement) -> Option<Settlement> {
    let result = match settlement.result {
        Some(bytes) => Some(String::from_utf8(bytes.into()).ok()?.into()),
        None => None,
    };
    Some(Settlement {
        code: decode_code(settlement.code)?,
        result,
    })
}

fn decode_code(number: u32) -> Option<Code> {
    Code::try_from(u16::try_from(number).ok()?).ok()
}
