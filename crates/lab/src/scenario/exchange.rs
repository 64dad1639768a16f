//! Exchange of sub-requests and replies between nodes and servers.

use std::time::Duration;
use std::time::Instant;

use base::AttemptId;
use base::Part;
use base::QueryReply;
use base::QueryRequest;
use base::RunRequest;
use base::ShardId;
use base::Snapshot;
use base::UpstreamId;
use limit::Limits;
use query::Attempt;
use query::Failure;
use serde_json::value::RawValue;

use crate::bench::exchange::convert_reply;
use crate::bench::exchange::snapshot_of;
use crate::bench::network::CONNECT_TIMEOUT;
use crate::bench::network::Lease;
use crate::bench::world::AttemptEnd;
use crate::scenario::file::Mechanism;
use crate::scenario::node::NodeEvent;
use crate::scenario::world::Event;
use crate::scenario::world::RequestKey;
use crate::scenario::world::World;
use crate::server;
use crate::server::Action;
use crate::server::Reply;

/// Delay of the second copy of a reply.
const REPEAT_DELAY: Duration = Duration::from_millis(2);

/// Interval at which a sub-request checks for a free connection of its node's share.
const SHARE_POLL: Duration = Duration::from_millis(1);

/// A sub-request without a result; it is kept while the server works on it, even if its node has stopped.
#[derive(Debug)]
pub(crate) struct PendingAttempt {
    pub(crate) request: RequestKey,
    /// Index of the call that the request belongs to.
    pub(crate) call: usize,
    pub(crate) node: usize,
    pub(crate) incarnation: u64,
    pub(crate) server: usize,
    pub(crate) attempt: Attempt,
    pub(crate) sent: Instant,
    /// Epoch of the server's listener when the connection was leased, if one was.
    connection: Option<u32>,
}

/// Returns the number of connections that a node may have open to an upstream.
fn find_share(limits: &Limits, upstream: &UpstreamId) -> Option<u32> {
    limits.gate(limits.key(upstream)?)?.share()
}

impl World<'_> {
    fn schedule_attempt(&mut self, attempt: AttemptId, at: Instant, event: NodeEvent) {
        if let Some(pending) = self.pending.get(&attempt) {
            let event = Event::Node(pending.node, Some(pending.incarnation), event);
            self.push(at, event);
        }
    }

    fn schedule_failure(&mut self, at: Instant, attempt: AttemptId, failure: Failure) {
        let end = Box::new(AttemptEnd::Failure(failure, None));
        self.schedule_attempt(attempt, at, NodeEvent::AttemptEnd(attempt, end));
    }

    /// Registers a sub-request and leases a connection for it.
    pub(crate) fn connect(&mut self, key: RequestKey, attempt: Attempt) {
        let Some(&server) = self.server_indexes.get(&attempt.upstream) else {
            return;
        };
        let request = &mut self.active[key];
        request.outstanding += 1;
        let id = attempt.id;
        let pending = PendingAttempt {
            request: key,
            call: request.call,
            node: request.node,
            incarnation: self.nodes[request.node].incarnation,
            server,
            attempt,
            sent: self.now,
            connection: None,
        };
        self.pending.insert(id, pending);
        self.lease(id);
    }

    /// Leases an idle or a new connection, or retries later while every connection of the share is in use.
    pub(crate) fn lease(&mut self, id: AttemptId) {
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        let share_disabled = self.file.without == Some(Mechanism::Share);
        let node = &mut self.nodes[pending.node];
        let host = &mut self.hosts[pending.server];
        let share = find_share(&node.limits, &pending.attempt.upstream);
        let pool = &mut node.pools[pending.server];
        let deadline = pending.attempt.deadline;
        let stopped = !host.model.accepts_connections();
        if pool.is_full(share) && !share_disabled && !stopped {
            if self.now >= deadline {
                self.schedule_failure(self.now, id, Failure::NotRun);
            } else {
                self.schedule_attempt(id, self.now + SHARE_POLL, NodeEvent::Lease(id));
            }
            return;
        }
        let lease = if stopped {
            Lease::Refused
        } else {
            host.listener.lease(pool)
        };
        pending.connection = (lease != Lease::Refused).then_some(host.listener.epoch);
        let connect = host.model.settings().connect;
        let (from, to) = (node.zone, host.zone);
        match (lease, self.find_delay(from, to)) {
            (Lease::Idle, _) => self.write(id),
            (Lease::New, Some(delay)) => {
                self.schedule_attempt(id, self.now + connect + 2 * delay, NodeEvent::Write(id));
            }
            (Lease::Refused, Some(delay)) => {
                let failure = if stopped {
                    Failure::Unreachable
                } else {
                    Failure::Refused
                };
                self.schedule_failure(self.now + 2 * delay, id, failure);
            }
            (Lease::New | Lease::Refused, None) => {
                let at = (self.now + CONNECT_TIMEOUT).min(deadline);
                self.schedule_failure(at, id, Failure::Unreachable);
            }
        }
    }

    /// Writes a sub-request to its connection; that of a run only if its claim still permits it now.
    pub(crate) fn write(&mut self, id: AttemptId) {
        let Some(pending) = self.pending.get(&id) else {
            return;
        };
        let (key, node, server) = (pending.request, pending.node, pending.server);
        if !self.may_send(key) {
            self.end_attempt(id, AttemptEnd::Failure(Failure::NotRun, None));
            return;
        }
        let (Some(request), Some(pending)) = (self.active.get(key), self.pending.get(&id)) else {
            return;
        };
        let message =
            Box::new(self.build_message(&request.plan, &pending.attempt, &request.body, server));
        let deadline = pending.attempt.deadline;
        match self.find_delay(self.nodes[node].zone, self.hosts[server].zone) {
            Some(delay) => self.push(self.now + delay, Event::Deliver(server, message)),
            // The node closes the connection at the deadline.
            None => self.schedule_failure(deadline, id, Failure::Lost),
        }
    }

    fn build_message(
        &self,
        plan: &query::Plan,
        attempt: &Attempt,
        body: &RawValue,
        server: usize,
    ) -> server::Event {
        let left = attempt.deadline.saturating_duration_since(self.now);
        let deadline_ms = left.as_millis() as u64;
        if !plan.repeatable {
            let request = RunRequest {
                attempt: attempt.id,
                key: plan.key.clone(),
                index: plan.index.clone(),
                shard: attempt.shard,
                deadline_ms,
                request: plan.request.clone(),
                body: body.to_owned(),
            };
            return server::Event::Run(attempt.id, request);
        }
        let snapshot = self.choose_snapshot(attempt.snapshot, server);
        let request = QueryRequest {
            attempt: attempt.id,
            query: "query".into(),
            index: plan.index.clone(),
            version: snapshot.version,
            map: snapshot.map,
            shards: vec![attempt.shard],
            deadline_ms,
            request: plan.request.clone(),
            body: body.to_owned(),
        };
        server::Event::Query(attempt.id, request)
    }

    /// Returns the bound snapshot, or the newest that the server holds if the binding is disabled.
    fn choose_snapshot(&self, bound: Snapshot, server: usize) -> Snapshot {
        let newest = self.hosts[server].versions.last_key_value();
        match newest.filter(|_| self.is_disabled(Mechanism::Snapshot)) {
            Some((&version, &map)) => Snapshot { version, map },
            None => bound,
        }
    }

    /// Cancels an attempt at its server; unlike in the runtime, the message needs no connection.
    pub(crate) fn cancel(&mut self, attempt: AttemptId) {
        let Some(pending) = self.pending.get(&attempt) else {
            return;
        };
        let (node, server) = (pending.node, pending.server);
        if pending.connection.is_none() {
            // The attempt is still waiting for a connection.
            self.schedule_failure(self.now, attempt, Failure::NotRun);
            return;
        }
        if let Some(delay) = self.find_delay(self.nodes[node].zone, self.hosts[server].zone) {
            let message = Box::new(server::Event::Cancel(attempt));
            self.push(self.now + delay, Event::Deliver(server, message));
        }
    }

    /// Passes an event to a server and sends its replies.
    pub(crate) fn handle_server(&mut self, server: usize, event: server::Event) {
        if let server::Event::Query(id, _) | server::Event::Run(id, _) = &event {
            if self.fail_if_broken(*id) {
                return;
            }
            self.hosts[server].arrivals.push(self.now);
            let (host, pending) = (&self.hosts[server], &self.pending[id]);
            let text = format!(
                "{}: attempt {id:x} of call {} for shard {}",
                host.model.settings().id,
                pending.call,
                pending.attempt.shard
            );
            self.record_event(text);
        }
        let host = &mut self.hosts[server];
        for action in host.model.handle(event, self.now, &mut host.rng) {
            match action {
                Action::Reply(attempt, reply) => self.reply_attempt(attempt, reply),
                Action::WakeAt(at) => {
                    let host = &mut self.hosts[server];
                    if host.wake.is_none_or(|wake| at < wake) {
                        host.wake = Some(at);
                        self.push(at, Event::ServerWake(server));
                    }
                }
            }
        }
    }

    /// Fails an attempt that reaches a server after its connection was lost, and returns whether it did.
    fn fail_if_broken(&mut self, attempt: AttemptId) -> bool {
        let Some(pending) = self.pending.get(&attempt) else {
            return true;
        };
        let host = &self.hosts[pending.server];
        let broken =
            !host.model.accepts_connections() || pending.connection != Some(host.listener.epoch);
        if broken {
            self.schedule_failure(self.now, attempt, Failure::Lost);
        }
        broken
    }

    fn reply_attempt(&mut self, id: AttemptId, reply: Reply) {
        let Some(pending) = self.pending.get(&id) else {
            return;
        };
        let (request, call, node, server) =
            (pending.request, pending.call, pending.node, pending.server);
        let Attempt {
            snapshot,
            shard,
            deadline,
            ..
        } = pending.attempt;
        let members = self
            .maps
            .get(&snapshot.map)
            .and_then(|map| map.shard(shard));
        let members = members.map_or(0, |shard| shard.members);
        let broken = pending.connection != Some(self.hosts[server].listener.epoch);
        let mut end = convert_reply(reply, snapshot, shard, members, broken);
        self.record_evidence(call, &end, snapshot, shard);
        self.simulate_disabled(&mut end, id, snapshot, shard, members);
        let Some(delay) = self.find_delay(self.nodes[node].zone, self.hosts[server].zone) else {
            self.schedule_failure(deadline, id, Failure::Lost);
            return;
        };
        let at = self.now + delay;
        if let AttemptEnd::Reply(reply) = &end
            && self.hosts[server].repeats
        {
            self.repeat_reply(reply, request, node, at + REPEAT_DELAY);
        }
        self.schedule_attempt(id, at, NodeEvent::AttemptEnd(id, Box::new(end)));
    }

    /// Records the work of a server for a call, which the checks compare with the answer.
    fn record_evidence(
        &mut self,
        call: usize,
        end: &AttemptEnd,
        snapshot: Snapshot,
        shard: ShardId,
    ) {
        let evidence = &mut self.calls[call].evidence;
        match end {
            AttemptEnd::Reply(reply) => {
                let parts = reply.parts.iter();
                let sent = parts.map(|part| (snapshot_of(part), part.shard, part.members));
                evidence.sent.extend(sent);
                evidence.executed.push((snapshot.map, shard));
            }
            AttemptEnd::Failure(failure, _) if failure.proves_not_run() => {}
            AttemptEnd::Failure(..) => evidence.executed.push((snapshot.map, shard)),
        }
    }

    /// Alters a result as a runtime without the disabled mechanism would.
    fn simulate_disabled(
        &self,
        end: &mut AttemptEnd,
        id: AttemptId,
        snapshot: Snapshot,
        shard: ShardId,
        members: u64,
    ) {
        match end {
            AttemptEnd::Reply(reply) if self.is_disabled(Mechanism::Snapshot) => {
                for part in &mut reply.parts {
                    part.version = snapshot.version;
                    part.map = snapshot.map;
                }
            }
            AttemptEnd::Failure(_, Some(state)) if self.is_disabled(Mechanism::RejectStatus) => {
                let part = Part {
                    shard,
                    version: snapshot.version,
                    map: snapshot.map,
                    members,
                    items: RawValue::NULL.to_owned(),
                };
                *end = AttemptEnd::Reply(QueryReply {
                    attempt: id,
                    parts: vec![part],
                    state: *state,
                    queue_ms: 0,
                    held: Vec::new(),
                });
            }
            AttemptEnd::Failure(failure @ Failure::Lost, _)
                if self.is_disabled(Mechanism::Proof) =>
            {
                *failure = Failure::NotRun;
            }
            AttemptEnd::Reply(_) | AttemptEnd::Failure(..) => {}
        }
    }

    /// Delivers a reply again, also to every other query of the node, as if replies on connections were mixed up.
    fn repeat_reply(&mut self, reply: &QueryReply, own: RequestKey, node: usize, at: Instant) {
        let incarnation = Some(self.nodes[node].incarnation);
        let on_node = self
            .active
            .iter()
            .filter(|(_, request)| request.node == node);
        let keys: Vec<RequestKey> = on_node.map(|(key, _)| key).collect();
        for key in keys {
            let mut reply = reply.clone();
            if self.is_disabled(Mechanism::AttemptIds) && key != own {
                let shard = reply.parts.first().map(|part| part.shard);
                let mut others = self.pending.values();
                let other = others
                    .find(|pending| pending.request == key && Some(pending.attempt.shard) == shard);
                reply.attempt = other.map_or(reply.attempt, |pending| pending.attempt.id);
            }
            let event = NodeEvent::RepeatedReply(key, Box::new(reply));
            self.push(at, Event::Node(node, incarnation, event));
        }
    }

    /// Ends a sub-request on its node: releases the connection and reports the result to the request.
    pub(crate) fn end_attempt(&mut self, attempt: AttemptId, end: AttemptEnd) {
        let Some(pending) = self.pending.remove(&attempt) else {
            return;
        };
        let PendingAttempt {
            request,
            node,
            server,
            sent,
            ..
        } = pending;
        let upstream = pending.attempt.upstream;
        let lost = matches!(
            end,
            AttemptEnd::Failure(Failure::Lost | Failure::Unreachable, None)
        );
        let sender = &mut self.nodes[node];
        let listener = &mut self.hosts[server].listener;
        if pending.connection == Some(listener.epoch) {
            let share = find_share(&sender.limits, &upstream);
            let pool = &mut sender.pools[server];
            if lost {
                listener.close(pool);
            } else {
                listener.release(pool, share);
            }
        }
        let now = self.now;
        let event = match end {
            AttemptEnd::Reply(reply) => {
                self.nodes[node].record_state(&upstream, reply.state, sent, now);
                query::Event::Reply(reply)
            }
            AttemptEnd::Failure(failure, state) => {
                let node = &mut self.nodes[node];
                if let Some(state) = state {
                    node.record_state(&upstream, state, sent, now);
                }
                let evidence = match failure {
                    Failure::Unreachable => Some(member::Evidence::ConnectFailed),
                    Failure::Refused => Some(member::Evidence::ConnectRefused),
                    Failure::NotRun
                    | Failure::Retired(_)
                    | Failure::Broken
                    | Failure::Lost
                    | Failure::Dropped => None,
                };
                if let Some(evidence) = evidence {
                    node.view.observe(&upstream, evidence, now);
                }
                query::Event::Failed(attempt, failure)
            }
        };
        self.report_result(request, event);
    }
}
