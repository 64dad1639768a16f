//! An open-loop load generator over HTTP against entry VMs.
//!
//! Requests are sent at random times that depend only on the seed, whether or not earlier ones were answered, and
//! latency is measured from the time at which a request was due. A closed loop would send fewer requests while the tier
//! is slow, and so hide high latencies (coordinated omission).

use std::collections::BTreeMap;
use std::fmt::Display;
use std::fmt::Formatter;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use base::ServiceName;
use bytes::Bytes;
use decl::Declaration;
use hdrhistogram::Histogram;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use indicatif::ProgressBar;
use rand::RngExt;
use rand::SeedableRng;
use rand_distr::Distribution;
use rand_distr::Exp;
use rand_pcg::Pcg64Mcg;
use serde_json::Value;
use serde_json::json;
use snafu::Snafu;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::answer_check::AnswerCheck;
use crate::answer_check::check_answer;

/// Most requests in flight; further ones are counted as not sent, so that a tier that hangs cannot exhaust memory.
const MAX_IN_FLIGHT: usize = 20_000;

/// Most requests of one run, so that a run with a mistaken rate or duration ends.
const MAX_REQUESTS: u64 = 10_000_000;

/// Time beyond the declared deadline for which a caller waits for an answer.
const TIMEOUT_MARGIN: Duration = Duration::from_secs(2);

/// Largest answer that is read.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Options of a load run.
#[derive(Debug, Clone)]
pub struct Options {
    /// Addresses of the entry VMs; each request goes to a random one, as through a load balancer.
    pub targets: Vec<SocketAddr>,
    /// Services to call; services, and the requests that a service declares, are chosen with equal probability.
    pub services: Vec<Declaration>,
    /// Mean requests per second over all services.
    pub rate: f64,
    /// Time over which requests are sent.
    pub duration: Duration,
    /// Seed of the send times, targets, services, requests and keys.
    pub seed: u64,
}

/// An error in the options of a load run.
#[derive(Debug, Snafu)]
pub enum LoadError {
    /// There is no entry VM, or no service with a request.
    #[snafu(display("load: no entry VM, or no service with a request, is given"))]
    NothingToSend,
    /// The rate is not positive.
    #[snafu(display("load: {rate} requests per second is not a positive rate"))]
    InvalidRate {
        /// The rate.
        rate: f64,
    },
    /// The run would send too many requests.
    #[snafu(display("load: the rate and duration give more than {MAX_REQUESTS} requests"))]
    TooManyRequests,
}

/// Results of the requests of one service, as its callers see them.
#[derive(Debug, Clone)]
pub struct ServiceResults {
    /// Latency of the answered requests in microseconds, from the time at which each was due.
    pub latency: Histogram<u64>,
    /// Answers by outcome.
    pub outcomes: BTreeMap<String, u64>,
    /// Answers by result code.
    pub codes: BTreeMap<u64, u64>,
    /// Requests without a valid answer, by reason.
    pub errors: BTreeMap<String, u64>,
    /// Answers with a part of another request.
    pub foreign: u64,
    /// Answers with parts of more than one snapshot.
    pub mixed: u64,
    /// Members requested and covered, over the answered and partial outcomes.
    pub members: (u64, u64),
}

impl ServiceResults {
    fn new() -> ServiceResults {
        ServiceResults {
            latency: Histogram::new_with_bounds(1, MAX_LATENCY_US, 3)
                .expect("the bounds are valid"),
            outcomes: BTreeMap::new(),
            codes: BTreeMap::new(),
            errors: BTreeMap::new(),
            foreign: 0,
            mixed: 0,
            members: (0, 0),
        }
    }

    fn record(&mut self, result: Result<AnswerCheck, String>, latency: Duration) {
        let check = match result {
            Ok(check) => check,
            Err(reason) => {
                *self.errors.entry(reason).or_default() += 1;
                return;
            }
        };
        self.latency.saturating_record(latency.as_micros() as u64);
        *self.outcomes.entry(check.outcome).or_default() += 1;
        *self.codes.entry(check.code).or_default() += 1;
        self.foreign += u64::from(check.foreign);
        self.mixed += u64::from(check.mixed);
        self.members.0 += check.members.0;
        self.members.1 += check.members.1;
    }
}

/// Results of a load run.
#[derive(Debug, Clone, Default)]
pub struct RunReport {
    /// Requests that were due.
    pub due: u64,
    /// Requests that were not sent because too many were in flight.
    pub unsent: u64,
    /// Results by service.
    pub services: BTreeMap<ServiceName, ServiceResults>,
}

impl RunReport {
    /// Counts the answers with a part of another request, and those with parts of several snapshots.
    pub fn violations(&self) -> u64 {
        let services = self.services.values();
        services
            .map(|results| results.foreign + results.mixed)
            .sum()
    }
}

impl Display for RunReport {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        writeln!(
            f,
            "{} requests due, {} not sent (latencies in ms)",
            self.due, self.unsent
        )?;
        for (service, results) in &self.services {
            let quantile = |quantile| results.latency.value_at_quantile(quantile) as f64 / 1000.0;
            writeln!(
                f,
                "{service:<20} answers {:>7} p50 {:>7.1} p99 {:>7.1} p99.9 {:>7.1} coverage {:.6} wrong {} mixed {} \
                 codes {:?} errors {:?}",
                results.latency.len(),
                quantile(0.5),
                quantile(0.99),
                quantile(0.999),
                results.members.1 as f64 / results.members.0.max(1) as f64,
                results.foreign,
                results.mixed,
                results.codes,
                results.errors,
            )?;
        }
        Ok(())
    }
}

/// Largest latency that the histogram can hold; a histogram without an upper bound would record nothing above 2.
const MAX_LATENCY_US: u64 = 120_000_000;

/// One request of a caller.
struct CallerRequest {
    target: SocketAddr,
    service: ServiceName,
    request: String,
    key: String,
    nonce: u64,
    due: Instant,
    timeout: Duration,
}

type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Sends requests at the given rate, and returns when each has been answered, has failed or has timed out.
///
/// # Errors
///
/// Returns an error when there is nothing to call, the rate is not positive or the run would send too many requests.
pub async fn run_load(options: &Options) -> Result<RunReport, LoadError> {
    let intervals = check_options(options)?;
    let client: HttpClient = Client::builder(TokioExecutor::new()).build_http();
    let report = Arc::new(Mutex::new(RunReport::default()));
    let permits = Arc::new(Semaphore::new(MAX_IN_FLIGHT));
    let progress = ProgressBar::new((options.rate * options.duration.as_secs_f64()) as u64);
    let mut rng = Pcg64Mcg::seed_from_u64(options.seed);
    let mut calls = JoinSet::new();
    let start = Instant::now();
    let mut due = start;
    for nonce in 0..MAX_REQUESTS {
        due += Duration::from_secs_f64(intervals.sample(&mut rng));
        if due >= start + options.duration {
            break;
        }
        let call = draw_request(options, nonce, due, &mut rng);
        tokio::time::sleep_until(due).await;
        lock(&report).due += 1;
        progress.inc(1);
        while calls.try_join_next().is_some() {}
        let Ok(permit) = permits.clone().try_acquire_owned() else {
            lock(&report).unsent += 1;
            continue;
        };
        let (client, report) = (client.clone(), report.clone());
        calls.spawn(async move {
            let result =
                tokio::time::timeout(call.timeout + TIMEOUT_MARGIN, send(&client, &call)).await;
            let result = result.unwrap_or_else(|_| Err("the request timed out".to_owned()));
            let latency = call.due.elapsed();
            let mut report = lock(&report);
            let results = report.services.entry(call.service);
            results
                .or_insert_with(ServiceResults::new)
                .record(result, latency);
            drop(permit);
        });
    }
    while calls.join_next().await.is_some() {}
    progress.finish_and_clear();
    Ok(std::mem::take(&mut *lock(&report)))
}

fn lock(report: &Mutex<RunReport>) -> std::sync::MutexGuard<'_, RunReport> {
    report.lock().unwrap_or_else(PoisonError::into_inner)
}

fn check_options(options: &Options) -> Result<Exp<f64>, LoadError> {
    let has_requests = |service: &Declaration| !service.requests.is_empty();
    if options.targets.is_empty()
        || options.services.is_empty()
        || !options.services.iter().all(has_requests)
    {
        return NothingToSendSnafu.fail();
    }
    if options.rate * options.duration.as_secs_f64() > MAX_REQUESTS as f64 {
        return TooManyRequestsSnafu.fail();
    }
    let rate = options.rate;
    match Exp::new(rate) {
        Ok(intervals) if rate > 0.0 => Ok(intervals),
        _ => InvalidRateSnafu { rate }.fail(),
    }
}

fn draw_request(options: &Options, nonce: u64, due: Instant, rng: &mut Pcg64Mcg) -> CallerRequest {
    let target = options.targets[rng.random_range(0..options.targets.len())];
    let service = &options.services[rng.random_range(0..options.services.len())];
    let request = &service.requests[rng.random_range(0..service.requests.len())];
    CallerRequest {
        target,
        service: service.service.clone(),
        request: request.name.to_string(),
        key: format!("load-{}-{nonce}-{:08x}", options.seed, rng.random::<u32>()),
        nonce,
        due,
        timeout: service.deadline,
    }
}

async fn send(client: &HttpClient, call: &CallerRequest) -> Result<AnswerCheck, String> {
    let body = json!({
        "body": { "nonce": call.nonce },
        "explain": false,
        "timeout_ms": call.timeout.as_millis() as u64,
    });
    let uri = format!(
        "http://{}/v1/services/{}/requests/{}",
        call.target, call.service, call.request
    );
    let request = Request::post(uri)
        .header("content-type", "application/json")
        .header("idempotency-key", &call.key)
        .body(Full::new(Bytes::from(body.to_string())))
        .map_err(|error| error.to_string())?;
    let response = client.request(request).await.map_err(describe_error)?;
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
    let bytes = body
        .collect()
        .await
        .map_err(|_| "the connection closed before the end of the answer".to_owned())?;
    let invalid = |_| format!("status {status} without a valid answer");
    let answer: Value = serde_json::from_slice(&bytes.to_bytes()).map_err(invalid)?;
    check_answer(&answer, call.nonce)
        .ok_or_else(|| format!("status {status} without a result code"))
}

/// Describes an error without its address and port, so that equal errors are counted together.
fn describe_error(error: hyper_util::client::legacy::Error) -> String {
    if error.is_connect() {
        "no connection could be established".to_owned()
    } else {
        "the connection failed before an answer".to_owned()
    }
}
