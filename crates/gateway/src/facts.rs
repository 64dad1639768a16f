//! Short-lived facts that gateways tell each other directly, so that all know them within a second, also while the
//! store is away.
//!
//! A new fact is pushed to a few gateways, which push it on. As long as any fact holds, each gateway also exchanges all
//! of them with one other gateway at a time, which reaches those that were frozen, cut off or have just started. A fleet
//! without facts exchanges nothing. See docs/decisions/0010-deadly-requests.md.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use base::NodeId;
use base::UpstreamId;
use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;
use links::Reach;
use links::ReachFact;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use suspect::BlockInfo;
use suspect::Change;
use suspect::Fact;
use suspect::RequestKey;
use suspect::Suspects;
use suspect::Verdict;
use tokio::sync::Notify;

use crate::Fingerprint;
use crate::Peer;
use crate::answer::Answer;
use crate::answer::AnswerBody;
use crate::pool::connect;

/// Path under which gateways exchange facts.
pub(crate) const FACTS_PATH: &str = "/facts";

/// Interval at which a gateway exchanges its facts with one other, as long as it has any.
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(1);

/// Longest time for one exchange, which may be with a gateway in another region or one that is stopped.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(400);

/// Gateways to which the one that finds a fact pushes it.
const FIRST_FANOUT: usize = 8;

/// Gateways to which each one pushes on a block that it has heard of; all others hear of it by exchanges.
const FORWARD_FANOUT: usize = 5;

/// Gateways that a starting one asks for facts.
const START_FANOUT: usize = 2;

/// Most pushes a second, and in a burst, so that facts stay within the limit on control traffic.
const PUSHES_PER_SECOND: f64 = 1.0;
const MAX_PUSHES: f64 = 8.0;

/// Largest body of an exchange.
const MAX_BODY_BYTES: usize = 64 << 10;

/// The facts that one gateway knows.
pub(crate) struct Facts {
    inner: RefCell<Inner>,
    news: Notify,
}

struct Inner {
    suspects: Suspects,
    reach: Reach,
    /// What this gateway says of its links, until it is pushed.
    own_reach: Option<ReachFact>,
    is_cut: bool,
    rng: Pcg64Mcg,
    /// Facts that wait to be pushed, with the number of gateways to push each to.
    urgent: Vec<(RequestKey, usize)>,
    pushes: f64,
    refilled: Instant,
}

impl Facts {
    pub(crate) fn new(node: NodeId, seed: u64) -> Facts {
        let inner = Inner {
            suspects: Suspects::new(node.clone()),
            reach: Reach::new(node),
            own_reach: None,
            is_cut: false,
            rng: Pcg64Mcg::seed_from_u64(seed),
            urgent: Vec::new(),
            pushes: MAX_PUSHES,
            refilled: Instant::now(),
        };
        Facts {
            inner: RefCell::new(inner),
            news: Notify::new(),
        }
    }

    /// Returns what may be done with a request that a caller has sent.
    pub(crate) fn check(&self, fingerprint: Fingerprint) -> Verdict {
        let mut inner = self.inner.borrow_mut();
        if inner.suspects.is_empty() {
            return Verdict::Clear;
        }
        let now = Instant::now();
        let key = to_key(fingerprint);
        let was_blocked = inner.suspects.is_blocked(key, now);
        let verdict = inner.suspects.check(key, now);
        if verdict == Verdict::Careful && !was_blocked {
            // This gateway may just have begun to try a request whose block has lapsed.
            inner.urge_trial(key, now, &self.news);
        }
        verdict
    }

    /// Returns whether a request that was accepted may not be sent any more.
    pub(crate) fn is_blocked(&self, fingerprint: Fingerprint) -> bool {
        let inner = self.inner.borrow();
        inner
            .suspects
            .is_blocked(to_key(fingerprint), Instant::now())
    }

    /// Records that the connection to a server ended under a request; returns why it is blocked if that was the last
    /// evidence that was missing.
    pub(crate) fn record_broken(
        &self,
        fingerprint: Fingerprint,
        server: &UpstreamId,
        repeatable: bool,
    ) -> Option<BlockInfo> {
        let (key, now) = (to_key(fingerprint), Instant::now());
        let mut inner = self.inner.borrow_mut();
        let change = inner.suspects.record_broken(key, server, repeatable, now);
        inner.announce(key, change, FIRST_FANOUT, &self.news);
        match (change, inner.suspects.check(key, now)) {
            (Change::Blocked, Verdict::Blocked(info)) => Some(info),
            _ => None,
        }
    }

    /// Records that more than one connection ended under a request at the same time.
    pub(crate) fn record_more_broken(&self, fingerprint: Fingerprint) {
        let key = to_key(fingerprint);
        let mut inner = self.inner.borrow_mut();
        let change = inner.suspects.record_more_broken(key);
        inner.announce(key, change, FIRST_FANOUT, &self.news);
    }

    /// Records that a server has answered a request.
    pub(crate) fn record_reply(&self, fingerprint: Fingerprint) {
        let mut inner = self.inner.borrow_mut();
        if inner.suspects.is_empty() {
            return;
        }
        let key = to_key(fingerprint);
        let change = inner.suspects.record_reply(key, Instant::now());
        inner.announce(key, change, FIRST_FANOUT, &self.news);
    }

    /// States whether this gateway reaches any server, which the others are told at once.
    pub(crate) fn state_links(&self, is_cut: bool) {
        let mut inner = self.inner.borrow_mut();
        inner.is_cut = is_cut;
        let fact = inner.reach.state_own(is_cut, Instant::now());
        inner.own_reach = Some(fact);
        self.news.notify_one();
    }

    /// Notes for a time that another gateway reaches no server.
    pub(crate) fn note_cut(&self, node: &NodeId) {
        let mut inner = self.inner.borrow_mut();
        inner.reach.note_cut(node, Instant::now());
    }

    /// Returns whether another gateway reaches no server, as far as is known.
    pub(crate) fn is_cut(&self, node: &NodeId) -> bool {
        self.inner.borrow().reach.is_cut(node, Instant::now())
    }

    fn merge(&self, text: &str) {
        let now = Instant::now();
        let mut inner = self.inner.borrow_mut();
        let mut invalid = 0;
        for line in text.lines() {
            if let Some(fact) = ReachFact::parse(line) {
                let is_cut = inner.is_cut;
                if let Some(own) = inner.reach.merge(&fact, is_cut, now) {
                    inner.own_reach = Some(own);
                    self.news.notify_one();
                }
                continue;
            }
            let Some(fact) = Fact::parse(line) else {
                invalid += 1;
                continue;
            };
            let change = inner.suspects.merge(&fact, now);
            if change == Change::Blocked {
                log::warn!(
                    fingerprint:% = format_args!("{:032x}", fact.key.request),
                    servers = fact.servers.len(), left:? = fact.left, from = fact.origin.as_str();
                    "facts: a request that crashes servers is blocked"
                );
                inner.announce(fact.key, change, FORWARD_FANOUT, &self.news);
            }
        }
        if invalid > 0 {
            log::warn!(invalid; "facts: ignored lines that are no facts");
        }
    }

    fn encode(&self) -> String {
        let inner = self.inner.borrow();
        let now = Instant::now();
        let suspects = inner.suspects.facts(now).into_iter();
        let reach = inner.reach.facts(now).into_iter();
        let lines = suspects.map(|fact| format!("{fact}\n"));
        lines.chain(reach.map(|fact| format!("{fact}\n"))).collect()
    }

    /// Takes the facts to push now, each with its number of gateways.
    fn take_urgent(&self) -> Vec<(String, usize)> {
        let now = Instant::now();
        let mut inner = self.inner.borrow_mut();
        inner.refill(now);
        let urgent = std::mem::take(&mut inner.urgent);
        let mut pushes = Vec::new();
        if let Some(fact) = inner.own_reach.take() {
            pushes.push((format!("{fact}\n"), FIRST_FANOUT));
        }
        for (key, fanout) in urgent {
            if inner.pushes < 1.0 {
                break;
            }
            if let Some(fact) = inner.suspects.fact(key, now) {
                inner.pushes -= 1.0;
                pushes.push((format!("{fact}\n"), fanout));
            }
        }
        pushes
    }

    fn choose<'a>(&self, peers: &'a [Peer], count: usize) -> Vec<&'a Peer> {
        let mut inner = self.inner.borrow_mut();
        let mut left: Vec<&Peer> = peers.iter().collect();
        let mut chosen = Vec::new();
        while chosen.len() < count && !left.is_empty() {
            let at = inner.rng.random_range(0..left.len());
            chosen.push(left.swap_remove(at));
        }
        chosen
    }
}

impl Inner {
    fn announce(&mut self, key: RequestKey, change: Change, fanout: usize, news: &Notify) {
        match change {
            Change::None => {}
            Change::News | Change::Blocked => {
                self.urgent.push((key, fanout));
                news.notify_one();
            }
        }
    }

    fn urge_trial(&mut self, key: RequestKey, now: Instant, news: &Notify) {
        let fact = self.suspects.fact(key, now);
        if fact.is_some_and(|fact| fact.state == suspect::State::Trial) {
            self.announce(key, Change::News, FIRST_FANOUT, news);
        }
    }

    fn refill(&mut self, now: Instant) {
        let time = now.saturating_duration_since(self.refilled);
        self.refilled = now;
        self.pushes = (self.pushes + time.as_secs_f64() * PUSHES_PER_SECOND).min(MAX_PUSHES);
    }
}

fn to_key(fingerprint: Fingerprint) -> RequestKey {
    RequestKey {
        request: fingerprint.request,
        caller: fingerprint.caller,
    }
}

/// Spreads facts until the process ends; `peers` returns the other gateways.
pub(crate) async fn spread_facts(facts: Rc<Facts>, peers: impl Fn() -> Vec<Peer>) {
    loop {
        let is_empty = {
            let mut inner = facts.inner.borrow_mut();
            let now = Instant::now();
            inner.suspects.remove_expired(now);
            inner.reach.remove_expired(now);
            inner.suspects.is_empty() && inner.reach.is_empty()
        };
        let news = facts.news.notified();
        if is_empty {
            news.await;
        } else if tokio::time::timeout(EXCHANGE_INTERVAL, news).await.is_err() {
            let text = facts.encode();
            if !text.is_empty() {
                push(&facts, &peers(), text, 1);
            }
        }
        for (text, fanout) in facts.take_urgent() {
            push(&facts, &peers(), text, fanout);
        }
    }
}

/// Asks a few gateways for their facts, when this one has just started.
pub(crate) fn ask_for_facts(facts: &Rc<Facts>, peers: &[Peer]) {
    push(facts, peers, String::new(), START_FANOUT);
}

/// Sends facts to some gateways, and merges what each replies.
fn push(facts: &Rc<Facts>, peers: &[Peer], text: String, fanout: usize) {
    let body = Bytes::from(text);
    for peer in facts.choose(peers, fanout) {
        let (facts, addr, body) = (Rc::clone(facts), peer.addr, body.clone());
        tokio::task::spawn_local(async move {
            let exchanging = exchange(addr, body);
            // A gateway that can't be reached hears of the facts from another one.
            if let Ok(Some(reply)) = tokio::time::timeout(EXCHANGE_TIMEOUT, exchanging).await {
                facts.merge(&reply);
            }
        });
    }
}

async fn exchange(addr: SocketAddr, body: Bytes) -> Option<String> {
    let mut connection = connect(addr, ()).await.ok()?;
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = FACTS_PATH.parse().ok()?;
    let response = connection.sender.send_request(request).await.ok()?;
    if !response.status().is_success() {
        return None;
    }
    read_text(response.into_body()).await
}

/// Merges the facts of another gateway, and replies with those that are known here.
pub(crate) async fn answer_facts(facts: &Facts, request: Request<Incoming>) -> Answer {
    let reply = facts.encode();
    if let Some(text) = read_text(request.into_body()).await {
        facts.merge(&text);
    }
    Response::new(AnswerBody::uncounted(reply.into()))
}

async fn read_text(body: Incoming) -> Option<String> {
    let body = Limited::new(body, MAX_BODY_BYTES).collect().await.ok()?;
    String::from_utf8(body.to_bytes().to_vec()).ok()
}
