//! The way of a sub-request from a node to a server and back.

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
use crate::bench::network::is_cut;
use crate::bench::world::AttemptEnd;
use crate::bench::world::Event;
use crate::bench::world::Flight;
use crate::bench::world::QueryKey;
use crate::bench::world::World;
use crate::server;
use crate::server::Action;
use crate::server::Reply;

/// Fraction of the replies that reach their node twice, which every policy must cope with.
const REPEATED: f64 = 0.001;

impl World<'_> {
    /// Sends a sub-request over an idle or a new connection.
    pub(crate) fn send(&mut self, key: QueryKey, attempt: Attempt) {
        let Some(&server) = self.numbers.get(&attempt.upstream) else {
            return;
        };
        let node = self.running[key].node;
        let message = Box::new(self.message(key, &attempt));
        self.running[key].outstanding += 1;
        let (from, to) = (self.nodes[node].zone, self.hosts[server].zone);
        let way = find_delay(from, to);
        let mut flight = Flight {
            query: key,
            node,
            server,
            shard: attempt.shard,
            snapshot: attempt.snapshot,
            deadline: attempt.deadline,
            sent: self.now,
            connection: None,
        };
        let host = &mut self.hosts[server];
        let reachable = !is_cut(self.cut, from, to);
        let pool = &mut self.nodes[node].pools[server];
        let lease = if host.model.accepts() {
            host.port.lease(pool)
        } else {
            Lease::Refused
        };
        if lease != Lease::Refused {
            flight.connection = Some(host.port.epoch);
        }
        let connect = host.model.settings().connect + 2 * way;
        let stopped = !host.model.accepts();
        self.flights.insert(attempt.id, flight);
        match lease {
            Lease::Idle if reachable => {
                self.push(self.now + way, Event::Deliver(server, message));
            }
            Lease::New if reachable => {
                self.push(self.now + connect + way, Event::Deliver(server, message));
            }
            Lease::Idle => self.lose(attempt.id, attempt.deadline),
            Lease::Refused if reachable => {
                let failure = if stopped {
                    Failure::Unreachable
                } else {
                    Failure::Refused
                };
                self.end_at(self.now + 2 * way, attempt.id, failure);
            }
            Lease::New | Lease::Refused => {
                let at = self.now + CONNECT_TIMEOUT;
                self.end_at(at, attempt.id, Failure::Unreachable);
            }
        }
    }

    fn end_at(&mut self, at: Instant, attempt: AttemptId, failure: Failure) {
        let ending = Box::new(AttemptEnd::Failure(failure, None));
        self.push(at, Event::End(attempt, ending));
    }

    /// Ends a sub-request whose reply cannot come; the node closes the connection once the deadline has passed.
    fn lose(&mut self, attempt: AttemptId, deadline: Instant) {
        self.end_at(deadline, attempt, Failure::Lost);
    }

    /// Tells the server that a reply is not needed, over another connection since the own one is busy.
    pub(crate) fn cancel(&mut self, attempt: AttemptId) {
        let Some(flight) = self.flights.get(&attempt) else {
            return;
        };
        let (node, server) = (flight.node, flight.server);
        let (from, to) = (self.nodes[node].zone, self.hosts[server].zone);
        let host = &mut self.hosts[server];
        if !host.model.accepts() || is_cut(self.cut, from, to) {
            return;
        }
        let way = find_delay(from, to);
        let connect = match host.port.lease(&mut self.nodes[node].pools[server]) {
            Lease::Idle => std::time::Duration::ZERO,
            Lease::New => host.model.settings().connect + 2 * way,
            Lease::Refused => return,
        };
        let epoch = host.port.epoch;
        let message = Box::new(server::Event::Cancel(attempt));
        self.push(self.now + connect + way, Event::Deliver(server, message));
        let free = Event::Free(node, server, epoch);
        self.push(self.now + connect + 2 * way, free);
    }

    /// Puts a connection back into the pool of its node.
    pub(crate) fn free(&mut self, node: usize, server: usize, epoch: u32) {
        let port = &mut self.hosts[server].port;
        if port.epoch == epoch {
            let node = &mut self.nodes[node];
            port.release(&mut node.pools[server], node.shares[server]);
        }
    }

    /// Gives an event to a server and sends its replies on their way.
    pub(crate) fn serve(&mut self, server: usize, event: server::Event) {
        if let server::Event::Query(attempt, _) | server::Event::Run(attempt, _) = &event
            && self.is_broken(*attempt)
        {
            return;
        }
        let host = &mut self.hosts[server];
        let actions = host.model.handle(event, self.now, &mut host.rng);
        for action in actions {
            match action {
                Action::Reply(attempt, reply) => self.reply(attempt, reply),
                Action::WakeAt(at) => {
                    let host = &mut self.hosts[server];
                    if host.wake.is_none_or(|wake| at < wake) {
                        host.wake = Some(at);
                        self.push(at, Event::Serve(server));
                    }
                }
            }
        }
    }

    /// Ends a request that reaches a server after its connection was lost.
    fn is_broken(&mut self, attempt: AttemptId) -> bool {
        let Some(flight) = self.flights.get(&attempt) else {
            return true;
        };
        let host = &self.hosts[flight.server];
        let broken = !host.model.accepts() || flight.connection != Some(host.port.epoch);
        let way = find_delay(self.nodes[flight.node].zone, host.zone);
        if broken {
            self.end_at(self.now + way, attempt, Failure::Lost);
        }
        broken
    }

    fn reply(&mut self, attempt: AttemptId, reply: Reply) {
        let Some(flight) = self.flights.get(&attempt) else {
            return;
        };
        let (key, server) = (flight.query, flight.server);
        let (from, to) = (self.nodes[flight.node].zone, self.hosts[server].zone);
        let broken = flight.connection != Some(self.hosts[server].port.epoch);
        let (snapshot, shard, deadline) = (flight.snapshot, flight.shard, flight.deadline);
        let members = self
            .maps
            .get(&snapshot.map)
            .and_then(|map| map.shard(shard));
        let members = members.map_or(0, |shard| shard.members);
        let ending = convert_reply(reply, snapshot, shard, members, broken);
        if let Some(running) = self.running.get_mut(key) {
            let evidence = &mut running.evidence;
            if let AttemptEnd::Reply(reply) = &ending {
                for part in &reply.parts {
                    evidence
                        .sent
                        .push((snapshot_of(part), part.shard, part.members));
                }
            }
            let proved =
                matches!(&ending, AttemptEnd::Failure(failure, _) if failure.proves_not_run());
            if !proved {
                evidence.executed.push((snapshot.map, shard));
            }
        }
        if is_cut(self.cut, from, to) {
            self.lose(attempt, deadline);
            return;
        }
        let at = self.now + find_delay(from, to);
        if let AttemptEnd::Reply(reply) = &ending
            && self.rng.random_bool(REPEATED)
        {
            let repeat = Event::Repeat(key, Box::new(reply.clone()));
            self.push(at + find_delay(from, to), repeat);
        }
        self.push(at, Event::End(attempt, Box::new(ending)));
    }

    /// Ends a sub-request on its node: the connection is free again, and the query learns of the end.
    pub(crate) fn end(&mut self, attempt: AttemptId, ending: AttemptEnd) {
        let Some(flight) = self.flights.remove(&attempt) else {
            return;
        };
        let (node, server) = (flight.node, flight.server);
        let lost = matches!(
            &ending,
            AttemptEnd::Failure(Failure::Lost | Failure::Unreachable, None)
        );
        match flight.connection {
            Some(epoch) if !lost => self.free(node, server, epoch),
            Some(epoch) if epoch == self.hosts[server].port.epoch => {
                let pool = &mut self.nodes[node].pools[server];
                self.hosts[server].port.close(pool);
            }
            _ => {}
        }
        let event = match ending {
            AttemptEnd::Reply(reply) => query::Event::Reply(reply),
            AttemptEnd::Failure(failure, state) => {
                let limits = &mut self.nodes[node].limits;
                let key = limits.key(&self.workload.servers[server].id);
                if let (Some(key), Some(state)) = (key, state) {
                    limits.record_state(key, state, flight.sent, self.now);
                }
                query::Event::Failed(attempt, failure)
            }
        };
        if let Some(running) = self.running.get_mut(flight.query) {
            running.outstanding -= 1;
        }
        self.drive(flight.query, event);
    }
}

pub(crate) fn snapshot_of(part: &Part) -> Snapshot {
    Snapshot {
        version: part.version,
        map: part.map,
    }
}

/// Translates what the server sends into what the node sees.
pub(crate) fn convert_reply(
    reply: Reply,
    snapshot: Snapshot,
    shard: base::ShardId,
    members: u64,
    broken: bool,
) -> AttemptEnd {
    if broken {
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
        Reply::Reject(reject) => {
            let failure = match (reject.status, reject.not_run) {
                (410, _) => Failure::Retired(reject.body.held),
                (_, true) => Failure::NotRun,
                (_, false) => Failure::Lost,
            };
            AttemptEnd::Failure(failure, Some(reject.body.state))
        }
    }
}
