//! The asynchronous client of the object API.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use base::Vm;
use bytes::Bytes;
use compact_str::CompactString;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper_util::client::legacy::Client as HttpClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioTimer;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::Governor;
use crate::GovernorOptions;
use crate::Permit;
use crate::StoreError;
use crate::era::ERA_HEADER;
use crate::era::Era;
use crate::era::KnownEra;
use crate::era::join_version;
use crate::era::parse_era;
use crate::era::split_version;

/// Version of an object; all objects of the platform share one increasing sequence, also across restores of the platform.
pub type Version = u64;

/// Largest reply body that is read: a watch may return all 64 ledger objects of up to 512 KB at once.
const MAX_REPLY_BYTES: usize = 64 << 20;

/// Idle connections that are kept open; a node makes few concurrent calls.
const MAX_IDLE_CONNECTIONS: usize = 4;

/// An object with its version.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct StoredObject<T> {
    /// Version that the next conditional update must expect.
    pub version: Version,
    /// The value.
    pub value: T,
}

/// An object that a watch reported as changed.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct ChangedObject<T> {
    /// Name of the object, unique within its kind.
    pub name: CompactString,
    /// Version of the object.
    pub version: Version,
    /// The value.
    pub value: T,
}

/// Result of a watch.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct WatchResult<T> {
    /// Version up to which the changes are complete; the next watch passes it as `after`.
    pub version: Version,
    /// Objects that changed; empty if none changed before the wait ended.
    pub objects: Vec<ChangedObject<T>>,
}

/// Result of a conditional update.
#[derive(Debug, Clone, PartialEq)]
pub enum PutResult {
    /// The update took effect and the object has this version.
    Applied(Version),
    /// The object has this version instead of the expected one, and the update did not and will not take effect.
    Conflict(Version),
    /// The update was not sent, or the platform proved that it did not process it.
    Refused(StoreError),
    /// The update may have taken effect or may still do so; reading the object resolves this.
    Unknown(StoreError),
}

/// Settings of a client.
#[derive(Debug, Clone)]
pub struct ClientOptions {
    /// Address of the platform's object API.
    pub platform: SocketAddr,
    /// Time after which a call without a reply fails; for a watch, the wait time is added.
    pub timeout: Duration,
    /// Limits for the rate of calls and for failed calls.
    pub governor: GovernorOptions,
    /// Seed of the jitter, which should differ between VMs.
    pub seed: u64,
}

impl ClientOptions {
    /// Creates settings with the default limits.
    pub fn new(platform: SocketAddr, seed: u64) -> ClientOptions {
        ClientOptions {
            platform,
            timeout: Duration::from_secs(2),
            governor: GovernorOptions::default(),
            seed,
        }
    }
}

/// Client of the platform's object API; clones share connections and the governor.
#[derive(Debug, Clone)]
pub struct Client {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    http: HttpClient<HttpConnector, Full<Bytes>>,
    platform: SocketAddr,
    timeout: Duration,
    era: KnownEra,
    governor: Mutex<(Governor, Pcg64)>,
}

/// A complete reply, whatever its status.
struct Reply {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

/// A successful reply of the platform's native API.
#[derive(Debug, Clone)]
pub struct NativeReply {
    /// Headers of the reply.
    pub headers: HeaderMap,
    /// Body of the reply, not decoded.
    pub body: Bytes,
}

#[derive(Deserialize)]
struct VersionOnly {
    version: Version,
}

impl Client {
    /// Creates a client; no connection is opened before the first call.
    pub fn new(options: ClientOptions) -> Client {
        let governor = Governor::new(options.governor, Instant::now());
        let http = HttpClient::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS)
            .build_http();
        Client {
            shared: Arc::new(Shared {
                http,
                platform: options.platform,
                timeout: options.timeout,
                era: KnownEra::default(),
                governor: Mutex::new((governor, Pcg64::seed_from_u64(options.seed))),
            }),
        }
    }

    /// Sets [`GovernorOptions::rate`].
    pub fn set_rate(&self, rate: f64) {
        let mut guard = self
            .shared
            .governor
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        guard.0.set_rate(rate);
    }

    /// Reads an object; `None` means that the platform has no such object.
    pub async fn get<T: DeserializeOwned>(
        &self,
        kind: &str,
        name: &str,
    ) -> Result<Option<StoredObject<T>>, StoreError> {
        let permit = self.admit()?;
        let path = format!("/objects/{kind}/{name}");
        let timeout = self.shared.timeout;
        let reply = self
            .call(permit, Method::GET, &path, Bytes::new(), timeout)
            .await?;
        let era = self.check_era(&reply)?;
        if reply.status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        let mut stored: StoredObject<T> = parse_body(&expect_ok(reply)?)?;
        stored.version = join_version(era, stored.version);
        Ok(Some(stored))
    }

    /// Writes an object if it still has the given version; version zero creates it.
    ///
    /// A lost reply gives [`PutResult::Unknown`], because the platform may have applied the update.
    pub async fn put_if<T: Serialize>(
        &self,
        kind: &str,
        name: &str,
        if_version: Version,
        value: &T,
    ) -> PutResult {
        let known = self.shared.era.get();
        let (era, number) = split_version(if_version);
        if number > 0 && era < known {
            // The number may have been given out again, for another value than the one that the update is based on.
            return PutResult::Conflict(join_version(known, 0));
        }
        let reply = match self.send_update(kind, name, number, value).await {
            Ok(reply) => reply,
            Err(error) if error.not_processed() => return PutResult::Refused(error),
            Err(error) => return PutResult::Unknown(error),
        };
        let status = reply.status;
        let era = match self.check_era(&reply) {
            Ok(era) => era,
            Err(error) => return PutResult::Unknown(error),
        };
        let version =
            parse_body::<VersionOnly>(&reply.body).map(|body| join_version(era, body.version));
        match version {
            Ok(version) if status.is_success() => PutResult::Applied(version),
            Ok(version) if status == StatusCode::CONFLICT => PutResult::Conflict(version),
            Ok(_) | Err(_) => match expect_ok(reply) {
                Err(error) if error.not_processed() => PutResult::Refused(error),
                Err(error) => PutResult::Unknown(error),
                Ok(body) => PutResult::Unknown(StoreError::Invalid {
                    reason: format!("the reply of {} bytes names no version", body.len()),
                }),
            },
        }
    }

    /// Waits until objects of a kind have a version above `after`, for at most `wait` (a long poll).
    ///
    /// If this is the trial call of a half-open breaker, the watch doesn't wait, so that its result is known early.
    pub async fn watch<T: DeserializeOwned>(
        &self,
        kind: &str,
        after: Version,
        wait: Duration,
    ) -> Result<WatchResult<T>, StoreError> {
        let (era, number) = split_version(after);
        let is_restored = |current: Era| number > 0 && era < current;
        if !is_restored(self.shared.era.get()) {
            let (current, result) = self.watch_number(kind, number, wait).await?;
            if !is_restored(current) {
                return Ok(result);
            }
        }
        // The number belongs to a history that is lost, so that all objects may have changed.
        let (_, result) = self.watch_number(kind, 0, Duration::ZERO).await?;
        Ok(result)
    }

    /// Watches from a number of the platform's current era; returns that era too.
    async fn watch_number<T: DeserializeOwned>(
        &self,
        kind: &str,
        number: u64,
        wait: Duration,
    ) -> Result<(Era, WatchResult<T>), StoreError> {
        let permit = self.admit()?;
        let wait = if permit.is_trial() {
            Duration::ZERO
        } else {
            wait
        };
        let path = format!(
            "/objects/{kind}?after={number}&wait_ms={}",
            wait.as_millis()
        );
        let timeout = wait + self.shared.timeout;
        let reply = self
            .call(permit, Method::GET, &path, Bytes::new(), timeout)
            .await?;
        let era = self.check_era(&reply)?;
        let mut result: WatchResult<T> = parse_body(&expect_ok(reply)?)?;
        result.version = join_version(era, result.version);
        for object in &mut result.objects {
            object.version = join_version(era, object.version);
        }
        Ok((era, result))
    }

    /// Records the era of a reply; one from before a restore that this client knows of is not used.
    fn check_era(&self, reply: &Reply) -> Result<Era, StoreError> {
        let era = parse_era(&reply.headers, ERA_HEADER).unwrap_or_default();
        if self.shared.era.record(era) {
            return Err(StoreError::Invalid {
                reason: "it is from before a restore".to_owned(),
            });
        }
        Ok(era)
    }

    /// Reads a path of the platform's native API and returns the raw reply.
    ///
    /// For a long poll, `wait` is its wait time, which is added to the timeout.
    pub async fn read(&self, path: &str, wait: Duration) -> Result<NativeReply, StoreError> {
        let permit = self.admit()?;
        let timeout = self.shared.timeout + wait;
        let mut reply = self
            .call(permit, Method::GET, path, Bytes::new(), timeout)
            .await?;
        let headers = std::mem::take(&mut reply.headers);
        let body = expect_ok(reply)?;
        Ok(NativeReply { headers, body })
    }

    /// Creates an object through the platform's native API; succeeds if the object already exists.
    pub async fn create(&self, path: &str, body: String) -> Result<(), StoreError> {
        let permit = self.admit()?;
        let timeout = self.shared.timeout;
        let reply = self
            .call(permit, Method::POST, path, body.into(), timeout)
            .await?;
        if reply.status == StatusCode::CONFLICT {
            return Ok(());
        }
        expect_ok(reply).map(|_| ())
    }

    /// Reads the platform's list of VMs, which may be stale.
    pub async fn list_vms(&self) -> Result<Vec<Vm>, StoreError> {
        let permit = self.admit()?;
        let timeout = self.shared.timeout;
        let reply = self
            .call(permit, Method::GET, "/vms", Bytes::new(), timeout)
            .await?;
        parse_body(&expect_ok(reply)?)
    }

    async fn send_update<T: Serialize>(
        &self,
        kind: &str,
        name: &str,
        if_number: u64,
        value: &T,
    ) -> Result<Reply, StoreError> {
        let body = serde_json::to_vec(value).map_err(|error| StoreError::Unwritable {
            reason: error.to_string(),
        })?;
        let permit = self.admit()?;
        let path = format!("/objects/{kind}/{name}?if_version={if_number}");
        let timeout = self.shared.timeout;
        self.call(permit, Method::PUT, &path, body.into(), timeout)
            .await
    }

    fn admit(&self) -> Result<Permit, StoreError> {
        let mut guard = self
            .shared
            .governor
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        guard
            .0
            .admit(Instant::now())
            .map_err(|denied| StoreError::Denied { denied })
    }

    fn record_result(&self, permit: Permit, healthy: bool) -> Duration {
        let mut guard = self
            .shared
            .governor
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let (governor, rng) = &mut *guard;
        governor.record_result(permit, healthy, Instant::now(), rng)
    }

    async fn call(
        &self,
        permit: Permit,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<Reply, StoreError> {
        let exchange = self.exchange(method, path, body);
        let result = match tokio::time::timeout(timeout, exchange).await {
            Ok(result) => result,
            Err(_) => Err(StoreError::ReplyLost {
                reason: format!("no reply within {} ms", timeout.as_millis()),
                retry_after: Duration::ZERO,
            }),
        };
        let healthy = result.as_ref().is_ok_and(|reply| is_healthy(reply.status));
        let delay = self.record_result(permit, healthy);
        match result {
            Ok(reply) if healthy => Ok(reply),
            Ok(reply) => Err(StoreError::Rejected {
                status: reply.status.as_u16(),
                retry_after: delay,
            }),
            Err(StoreError::ReplyLost { reason, .. }) => Err(StoreError::ReplyLost {
                reason,
                retry_after: delay,
            }),
            Err(StoreError::Unreachable { reason, .. }) => Err(StoreError::Unreachable {
                reason,
                retry_after: delay,
            }),
            Err(error) => Err(error),
        }
    }

    async fn exchange(&self, method: Method, path: &str, body: Bytes) -> Result<Reply, StoreError> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.shared.platform))
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|error| StoreError::Unreachable {
                reason: error.to_string(),
                retry_after: Duration::ZERO,
            })?;
        let response = self.shared.http.request(request).await.map_err(|error| {
            let reason = error.to_string();
            let retry_after = Duration::ZERO;
            if error.is_connect() {
                StoreError::Unreachable {
                    reason,
                    retry_after,
                }
            } else {
                StoreError::ReplyLost {
                    reason,
                    retry_after,
                }
            }
        })?;
        let (head, body) = response.into_parts();
        let collected = Limited::new(body, MAX_REPLY_BYTES)
            .collect()
            .await
            .map_err(|error| StoreError::ReplyLost {
                reason: error.to_string(),
                retry_after: Duration::ZERO,
            })?;
        Ok(Reply {
            status: head.status,
            headers: head.headers,
            body: collected.to_bytes(),
        })
    }
}

/// Returns whether a status shows that the platform works; a rate limit counts as a failure, so that callers back off.
fn is_healthy(status: StatusCode) -> bool {
    !status.is_server_error() && status != StatusCode::TOO_MANY_REQUESTS
}

fn expect_ok(reply: Reply) -> Result<Bytes, StoreError> {
    if reply.status.is_success() {
        return Ok(reply.body);
    }
    Err(StoreError::Rejected {
        status: reply.status.as_u16(),
        retry_after: Duration::ZERO,
    })
}

fn parse_body<T: DeserializeOwned>(body: &[u8]) -> Result<T, StoreError> {
    serde_json::from_slice(body).map_err(|error| StoreError::Invalid {
        reason: error.to_string(),
    })
}
