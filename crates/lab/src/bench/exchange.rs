//! The exchange of a sub-request between a node and a server: connection, delivery, reply and cancellation.

use std::time::Instant;

use base::AttemptId;
use base::Part;
use base::QueryReply;
use base::Snapshot;
use query::Attempt;
use query::Failure;
use rand::RngExt;

use crate::bench::network::CONNECT_TIMEOUT;
use crate::bench::network::Lease;
use crate::bench::network::find_delay;
use crate::bench::network::is_partitioned;
use crate::bench::world::AttemptEnd;
use crate::bench::world::Event;
use crate::bench::world::PendingAttempt;
use crate::bench::world::RequestKey;
use crate::bench::world::World;
use crate::server;
use crate::server::Action;
use crate::server::Reply;

/// Probability that a reply reaches its node twice, which every policy must tolerate.
const REPEAT_PROBABILITY: f64 = 0.001;

impl World<'_> {
    /// Sends a sub-request over an idle or a new connection.
    pub(crate) fn send_attempt(&mut self, key: RequestKey, attempt: Attempt) {
        let Some(&server) = self.server_indexes.get(&attempt.upstream) else {
            return;
        };
        let node = self.active[key].node;
        let message = Box::new(self.build_message(key, &attempt));
        self.active[key].outstanding += 1;
        let (from, to) = (self.nodes[node].zone, self.hosts[server].zone);
        let delay = find_delay(from, to);
        let mut pending = PendingAttempt {
            request: key,
            node,
            server,
            shard: attempt.shard,
            snapshot: attempt.snapshot,
            deadline: attempt.deadline,
            sent: self.now,
            connection: None,
        };
        let host = &mut self.hosts[server];
        let reachable = !is_partitioned(self.isolated_zone, from, to);
        let pool = &mut self.nodes[node].pools[server];
        let lease = if host.model.accepts_connections() {
            host.listener.lease(pool)
        } else {
            Lease::Refused
        };
        if lease != Lease::Refused {
            pending.connection = Some(host.listener.epoch);
        }
        let connect_time = host.model.settings().connect + 2 * delay;
        let stopped = !host.model.accepts_connections();
        self.pending.insert(attempt.id, pending);
        match lease {
            Lease::Idle if reachable => {
                self.push(self.now + delay, Event::Deliver(server, message));
            }
            Lease::New if reachable => {
                self.push(
                    self.now + connect_time + delay,
                    Event::Deliver(server, message),
                );
            }
            Lease::Idle => self.fail_at_deadline(attempt.id, attempt.deadline),
            Lease::Refused if reachable => {
                let failure = if stopped {
                    Failure::Unreachable
                } else {
                    Failure::Refused
                };
                self.schedule_failure(self.now + 2 * delay, attempt.id, failure);
            }
            Lease::New | Lease::Refused => {
                let at = self.now + CONNECT_TIMEOUT;
                self.schedule_failure(at, attempt.id, Failure::Unreachable);
            }
        }
    }

    fn schedule_failure(&mut self, at: Instant, attempt: AttemptId, failure: Failure) {
        let end = Box::new(AttemptEnd::Failure(failure, None));
        self.push(at, Event::AttemptEnd(attempt, end));
    }

    /// Fails a sub-request whose reply cannot arrive; its node closes the connection when the deadline passes.
    fn fail_at_deadline(&mut self, attempt: AttemptId, deadline: Instant) {
        self.schedule_failure(deadline, attempt, Failure::Lost);
    }

    /// Sends the server a cancellation, over another connection since that of the sub-request is in use.
    pub(crate) fn send_cancel(&mut self, attempt: AttemptId) {
        let Some(pending) = self.pending.get(&attempt) else {
            return;
        };
        let (node, server) = (pending.node, pending.server);
        let (from, to) = (self.nodes[node].zone, self.hosts[server].zone);
        let host = &mut self.hosts[server];
        if !host.model.accepts_connections() || is_partitioned(self.isolated_zone, from, to) {
            return;
        }
        let delay = find_delay(from, to);
        let connect_time = match host.listener.lease(&mut self.nodes[node].pools[server]) {
            Lease::Idle => std::time::Duration::ZERO,
            Lease::New => host.model.settings().connect + 2 * delay,
            Lease::Refused => return,
        };
        let epoch = host.listener.epoch;
        let message = Box::new(server::Event::Cancel(attempt));
        self.push(
            self.now + connect_time + delay,
            Event::Deliver(server, message),
        );
        let release = Event::ReleaseConnection(node, server, epoch);
        self.push(self.now + connect_time + 2 * delay, release);
    }

    /// Returns a connection to its node's pool, unless the server has dropped all connections since.
    pub(crate) fn release_connection(&mut self, node: usize, server: usize, epoch: u32) {
        let listener = &mut self.hosts[server].listener;
        if listener.epoch == epoch {
            let node = &mut self.nodes[node];
            listener.release(&mut node.pools[server], node.shares[server]);
        }
    }

    /// Passes an event to a server, then sends its replies and schedules its next wake-up.
    pub(crate) fn handle_server(&mut self, server: usize, event: server::Event) {
        if let server::Event::Query(attempt, _) | server::Event::Run(attempt, _) = &event
            && self.fail_if_disconnected(*attempt)
        {
            return;
        }
        let host = &mut self.hosts[server];
        let actions = host.model.handle(event, self.now, &mut host.rng);
        for action in actions {
            match action {
                Action::Reply(attempt, reply) => self.send_reply(attempt, reply),
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

    /// Fails a request whose connection was lost before it reached the server, and returns whether it was.
    fn fail_if_disconnected(&mut self, attempt: AttemptId) -> bool {
        let Some(pending) = self.pending.get(&attempt) else {
            return true;
        };
        let host = &self.hosts[pending.server];
        let disconnected =
            !host.model.accepts_connections() || pending.connection != Some(host.listener.epoch);
        let delay = find_delay(self.nodes[pending.node].zone, host.zone);
        if disconnected {
            self.schedule_failure(self.now + delay, attempt, Failure::Lost);
        }
        disconnected
    }

    /// Records what the server did and sends its reply to the node.
    fn send_reply(&mut self, attempt: AttemptId, reply: Reply) {
        let Some(pending) = self.pending.get(&attempt) else {
            return;
        };
        let (key, server) = (pending.request, pending.server);
        let (from, to) = (self.nodes[pending.node].zone, self.hosts[server].zone);
        let disconnected = pending.connection != Some(self.hosts[server].listener.epoch);
        let (snapshot, shard, deadline) = (pending.snapshot, pending.shard, pending.deadline);
        let members = self
            .maps
            .get(&snapshot.map)
            .and_then(|map| map.shard(shard));
        let members = members.map_or(0, |shard| shard.members);
        let end = convert_reply(reply, snapshot, shard, members, disconnected);
        if let Some(active) = self.active.get_mut(key) {
            let evidence = &mut active.evidence;
            if let AttemptEnd::Reply(reply) = &end {
                for part in &reply.parts {
                    evidence
                        .sent
                        .push((snapshot_of(part), part.shard, part.members));
                }
            }
            let not_executed =
                matches!(&end, AttemptEnd::Failure(failure, _) if failure.proves_not_run());
            if !not_executed {
                evidence.executed.push((snapshot.map, shard));
            }
        }
        if is_partitioned(self.isolated_zone, from, to) {
            self.fail_at_deadline(attempt, deadline);
            return;
        }
        let at = self.now + find_delay(from, to);
        if let AttemptEnd::Reply(reply) = &end
            && self.rng.random_bool(REPEAT_PROBABILITY)
        {
            let repeated = Event::RepeatedReply(key, Box::new(reply.clone()));
            self.push(at + find_delay(from, to), repeated);
        }
        self.push(at, Event::AttemptEnd(attempt, Box::new(end)));
    }

    /// Ends a sub-request on its node: releases or closes its connection, and passes the result to the query.
    pub(crate) fn end_attempt(&mut self, attempt: AttemptId, end: AttemptEnd) {
        let Some(pending) = self.pending.remove(&attempt) else {
            return;
        };
        let (node, server) = (pending.node, pending.server);
        let lost = matches!(
            &end,
            AttemptEnd::Failure(Failure::Lost | Failure::Unreachable, None)
        );
        match pending.connection {
            Some(epoch) if !lost => self.release_connection(node, server, epoch),
            Some(epoch) if epoch == self.hosts[server].listener.epoch => {
                let pool = &mut self.nodes[node].pools[server];
                self.hosts[server].listener.close(pool);
            }
            _ => {}
        }
        let event = match end {
            AttemptEnd::Reply(reply) => query::Event::Reply(reply),
            AttemptEnd::Failure(failure, state) => {
                let limits = &mut self.nodes[node].limits;
                let key = limits.key(&self.workload.servers[server].id);
                if let (Some(key), Some(state)) = (key, state) {
                    limits.record_state(key, state, pending.sent, self.now);
                }
                query::Event::Failed(attempt, failure)
            }
        };
        if let Some(active) = self.active.get_mut(pending.request) {
            active.outstanding -= 1;
        }
        self.drive_query(pending.request, event);
    }
}

pub(crate) fn snapshot_of(part: &Part) -> Snapshot {
    Snapshot {
        version: part.version,
        map: part.map,
    }
}

/// Converts a server's reply into the result that the node sees; `disconnected` means that the reply is lost.
pub(crate) fn convert_reply(
    reply: Reply,
    snapshot: Snapshot,
    shard: base::ShardId,
    members: u64,
    disconnected: bool,
) -> AttemptEnd {
    if disconnected {
        return AttemptEnd::Failure(Failure::Lost, None);
    }
    match reply {
        Reply::Query(reply) => AttemptEnd::Reply(reply),
        Reply::Run(reply) => AttemptEnd::Reply(QueryReply {
            attempt: reply.attempt,
            parts: vec![Part {
                shard,
                version: snapshot.version,
                map: snapshot.map,
                members,
                items: reply.result,
            }],
            state: reply.state,
            queue_ms: 0,
            held: Vec::new(),
        }),
        Reply::Rejected(reject) => {
            let failure = match (reject.status, reject.not_run) {
                (410, _) => Failure::Retired(reject.body.held),
                (_, true) => Failure::NotRun,
                (_, false) => Failure::Lost,
            };
            AttemptEnd::Failure(failure, Some(reject.body.state))
        }
    }
}
