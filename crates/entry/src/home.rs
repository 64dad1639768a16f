//! Drives the home state machine, which serves claim requests from this node and its peers: executes its platform calls
//! and timers, and encodes the messages between nodes.

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

/// Platform object kind of ledgers.
const LEDGER_KIND: &str = "ledger";

/// Write budget of all homes together; the platform supports several hundred writes a second.
const LEDGER_WRITES_PER_SECOND: u32 = 200;

/// Largest number of homes, since each ledger has one home.
const MAX_HOMES: u32 = once::LEDGER_COUNT as u32;

/// The home state machine of this node, with the requests that wait for its reply.
#[derive(Debug)]
pub struct HomeDriver {
    inner: Mutex<DriverState>,
    timer: Notify,
}

#[derive(Debug)]
struct DriverState {
    home: Home,
    waiting: HashMap<u64, oneshot::Sender<ClaimResult>>,
    last_ticket: u64,
    wake_at: Option<Instant>,
}

impl Default for HomeDriver {
    fn default() -> HomeDriver {
        let home = Home::new(HomeOptions::default());
        HomeDriver {
            inner: Mutex::new(DriverState {
                home,
                waiting: HashMap::new(),
                last_ticket: 0,
                wake_at: None,
            }),
            timer: Notify::new(),
        }
    }
}

impl HomeDriver {
    /// Limits writes to this home's share of the budget in a fleet of `nodes`.
    pub fn limit_writes(&self, nodes: u32) {
        let interval =
            Duration::from_secs(1) * nodes.clamp(1, MAX_HOMES) / LEDGER_WRITES_PER_SECOND;
        lock(&self.inner).home.set_write_interval(interval);
    }
}

/// Reads the monotonic clock and the wall clock.
pub fn read_clocks() -> ClockReading {
    let wall = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    ClockReading {
        instant: Instant::now(),
        wall_ms: wall.as_millis() as u64,
    }
}

/// Sends a request to this node's home state machine, even if the view names another node: a second home of a ledger
/// only costs time.
pub async fn call_home(node: &Arc<Node>, request: Request) -> ClaimResult {
    let (reply, result) = oneshot::channel();
    let ticket = {
        let mut inner = lock(&node.home.inner);
        inner.last_ticket += 1;
        let ticket = inner.last_ticket;
        inner.waiting.insert(ticket, reply);
        ticket
    };
    process_event(node, HomeEvent::Request(ticket, request));
    result.await.unwrap_or(ClaimResult::Unknown)
}

/// Runs the timer of the home state machine until the node stops.
pub async fn run_home_timer(node: Arc<Node>) {
    loop {
        let wake_at = lock(&node.home.inner).wake_at;
        let sleep = async {
            match wake_at {
                Some(at) => tokio::time::sleep_until(at.into()).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = sleep => {
                lock(&node.home.inner).wake_at = None;
                process_event(&node, HomeEvent::Wake);
            }
            () = node.home.timer.notified() => {}
        }
    }
}

/// Processes one event of the home and executes the actions that follow.
fn process_event(node: &Arc<Node>, event: HomeEvent) {
    let mut inner = lock(&node.home.inner);
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
            HomeAction::Reply(ticket, result) => {
                // A requester that timed out has dropped its receiver.
                let _ = inner
                    .waiting
                    .remove(&ticket)
                    .map(|reply| reply.send(result));
            }
            HomeAction::WakeAt(at) => {
                inner.wake_at = Some(at);
                node.home.timer.notify_one();
            }
        }
    }
}

async fn read_ledger(node: Arc<Node>, ledger: LedgerId) {
    let result = match node
        .store
        .get::<Ledger>(LEDGER_KIND, &ledger.to_string())
        .await
    {
        Ok(Some(stored)) => ReadResult::Found(stored.version, stored.value),
        Ok(None) => ReadResult::Found(0, Ledger::default()),
        Err(error) => {
            log::warn!("once: failed to read ledger {ledger}: {error}");
            ReadResult::Failed
        }
    };
    process_event(&node, HomeEvent::Read(ledger, result));
}

async fn write_ledger(node: Arc<Node>, ledger: LedgerId, version: u64, value: Ledger) {
    node.metrics.count("ledger.writes", 1);
    let result = match node
        .store
        .put_if(LEDGER_KIND, &ledger.to_string(), version, &value)
        .await
    {
        PutResult::Applied(version) => WriteResult::Applied(version),
        PutResult::Conflict(version) => WriteResult::Conflict(version),
        PutResult::Refused(error) => {
            log::warn!("once: failed to write ledger {ledger}: {error}");
            WriteResult::Refused
        }
        PutResult::Unknown(error) => {
            log::warn!(
                "once: no reply to a write of ledger {ledger}, which may have been applied: {error}"
            );
            WriteResult::Unknown
        }
    };
    process_event(&node, HomeEvent::Written(ledger, result));
}

/// Encodes a request to the home on a peer.
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

/// Decodes a request from a peer; returns `None` if it is invalid.
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

/// Encodes the reply of this node's home.
pub fn encode_result(result: ClaimResult) -> ClaimReply {
    let mut reply = ClaimReply::default();
    let status = match result {
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

/// Decodes the reply of the home on a peer; an invalid one has the result `Unknown`.
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
