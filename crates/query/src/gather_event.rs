//! Inputs and outputs of [`Gather`]: the plan of a request, events and actions.
//!
//! [`Gather`]: crate::Gather

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use base::AttemptId;
use base::ServiceName;
use limit::GateKey;
use limit::Limits;
use limit::Permit;
use limit::RepeatPool;
use rand::Rng;

use crate::AttemptKind;
use crate::Failure;

/// Parameters of a gather, fixed when the request is accepted.
#[derive(Debug, Clone)]
pub struct GatherPlan {
    /// Services to which attempts are sent; each gives one part.
    pub services: Rc<[ServiceName]>,
    /// Least number of parts for a successful answer.
    pub required: usize,
    /// Whether the request may run more than once on the servers of a service.
    pub repeatable: bool,
    /// Services, by index, to which a holder sends the attempts; all others are sent from here.
    pub delegated: Vec<usize>,
    /// Whether the request is suspected of crashing servers, so that it is sent to one at a time until one answers.
    pub careful: bool,
    /// Attempts at each service that another node has made already, or none.
    pub used: Vec<u32>,
    /// Budget for the repeats of the services that are not delegated.
    pub pool: RepeatPool,
    /// Maximum number of servers of one service on which the request may run.
    pub max_runs: u32,
    /// Time from which the required parts are enough for an answer, without waiting for the others.
    pub objective: Instant,
    /// Time at which the caller stops waiting.
    pub deadline: Instant,
    /// Typical reply time of a server in the same zone.
    pub typical_latency: Duration,
    /// Time without a reply after which a hedge is sent to another server.
    pub hedge_delay: Duration,
}

/// What a gather borrows from its node while it handles an event.
pub struct GatherEnv<'a> {
    /// Replicas of each service.
    pub replicas: &'a HashMap<ServiceName, Vec<GateKey>>,
    /// Gates and budgets of the node.
    pub limits: &'a mut Limits,
    /// Last attempt id that was assigned; ids are unique on this node.
    pub next_attempt: &'a mut AttemptId,
    /// Whether servers may still appear, because the list of them has just been read for the first time.
    pub settling: bool,
    /// Random generator, seeded by the caller.
    pub rng: &'a mut dyn Rng,
}

impl std::fmt::Debug for GatherEnv<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("GatherEnv").finish_non_exhaustive()
    }
}

/// An input of the state machine.
#[derive(Debug)]
pub enum GatherEvent {
    /// The request was accepted.
    Start,
    /// A valid reply came.
    Replied(AttemptId),
    /// An attempt failed.
    Failed(AttemptId, Failure),
    /// A holder passed on a valid reply to an attempt at a delegated service; the id is a new one of this node.
    Delivered(usize, AttemptId),
    /// A holder gave up a delegated service, after this many attempts that ran or may have run.
    GivenUp(usize, u32),
    /// A holder can't go on with a delegated service, after this many attempts that ran or may have run.
    Returned(usize, u32),
    /// Another holder was asked for a delegated service, after this many attempts that ran or may have run.
    Delegated(usize, u32),
    /// A holder can't be relied on any more for these services.
    HolderLost {
        /// Indices of the services in [`GatherPlan::services`].
        services: Vec<usize>,
        /// Whether the holder may have sent attempts for them.
        may_have_run: bool,
    },
    /// The request crashes servers and must not be sent any more.
    Blocked,
    /// The process is about to end. These outstanding attempts are withdrawn: they have sent nothing, and never will.
    Stopped(Vec<AttemptId>),
    /// The time returned by [`Gather::next_wake`] was reached.
    ///
    /// [`Gather::next_wake`]: crate::Gather::next_wake
    Wake,
}

/// An output of the state machine.
#[derive(Debug)]
pub enum GatherAction {
    /// Send an attempt.
    Send {
        /// Identifies the attempt.
        id: AttemptId,
        /// Why it is sent.
        kind: AttemptKind,
        /// Index of the service in [`GatherPlan::services`].
        service: usize,
        /// Permit to send it; its key identifies the upstream.
        permit: Permit,
    },
    /// The gather has ended.
    Finish(GatherOutcome),
}

/// How a gather ended.
#[derive(Debug, Clone, PartialEq)]
pub enum GatherOutcome {
    /// The replies to these attempts make up the answer.
    Answered {
        /// One attempt for each service that is in the answer.
        parts: Vec<AttemptId>,
        /// Services that are not in the answer.
        missing: usize,
    },
    /// No attempt was run, and none can run any more.
    NotRun,
    /// Too many services failed, and some attempts may have run.
    Failed,
    /// The deadline passed, and some attempts may have run.
    TimedOut,
}

/// A service without a part in the answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct UnansweredService<'a> {
    /// Its index in [`GatherPlan::services`].
    pub index: usize,
    /// Name of the service.
    pub service: &'a ServiceName,
    /// Attempts that ran or may have run.
    pub runs: u32,
    /// Attempts sent to it; zero if none of its servers was available.
    pub sent: u32,
    /// Attempts whose replies are still awaited.
    pub awaited: usize,
}
