//! In-memory stand-in for the platform: the object API of `docs/design.md`, with fault injection.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use base::Vm;
use dropshot::ApiDescription;
use dropshot::Body;
use dropshot::ConfigDropshot;
use dropshot::HandlerTaskMode;
use dropshot::HttpError;
use dropshot::HttpServer;
use dropshot::Path;
use dropshot::Query;
use dropshot::RequestContext;
use dropshot::ServerBuilder;
use dropshot::UntypedBody;
use dropshot::endpoint;
use http::Response;
use http::StatusCode;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;
use serde_json::value::RawValue;
use snafu::Snafu;
use store::ERA_HEADER;
use tokio::sync::watch;

use crate::broken_body::break_connection;

/// Largest value of an object.
const MAX_VALUE_BYTES: usize = 1 << 20;

/// Longest time that a watch waits; a longer `wait_ms` is reduced to it.
const MAX_WATCH_TIME: Duration = Duration::from_secs(60);

/// The stand-in could not be started or stopped.
#[derive(Debug, Snafu)]
#[snafu(display("lab: the platform stand-in failed: {reason}"))]
pub struct PlatformError {
    reason: String,
}

/// The kind of fault of the object API and of `GET /vms`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum FaultMode {
    /// No fault.
    None,
    /// Calls fail with status 503 and have no effect.
    Down,
    /// Calls are delayed before they are processed.
    Slow,
    /// Updates take effect, and the connection closes before the reply.
    LoseReplies,
}

/// Body of `POST /control/fault`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Fault {
    /// Kind of fault.
    pub mode: FaultMode,
    /// Number of calls that the fault affects; absent means all until the next fault is set.
    #[serde(default)]
    pub times: Option<u64>,
    /// Delay of slow calls, in milliseconds.
    #[serde(default)]
    pub delay_ms: u64,
}

impl Fault {
    /// No fault.
    pub const NONE: Fault = Fault {
        mode: FaultMode::None,
        times: None,
        delay_ms: 0,
    };
}

/// Body of `POST /control/lag`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Lag {
    /// Age of the list of VMs that `GET /vms` returns, in milliseconds.
    pub lag_ms: u64,
}

/// A running stand-in for the platform.
pub struct Platform {
    server: HttpServer<Service>,
}

impl std::fmt::Debug for Platform {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("Platform")
            .field("addr", &self.addr())
            .finish()
    }
}

impl Platform {
    /// Returns the address that the stand-in listens on.
    pub fn addr(&self) -> SocketAddr {
        self.server.local_addr()
    }

    /// Sets the fault of the next calls, as `POST /control/fault` does.
    pub fn set_fault(&self, fault: Fault) {
        self.server.app_private().set_fault(fault);
    }

    /// Returns a copy of all objects and of the version.
    pub fn copy(&self) -> PlatformCopy {
        let state = self.server.app_private().state();
        PlatformCopy {
            version: state.version,
            objects: state.objects.clone(),
        }
    }

    /// Goes back to a copy: what was written later is lost, and its versions are given out again.
    pub fn restore(&self, copy: PlatformCopy) {
        let service = self.server.app_private();
        let mut state = service.state();
        state.era += 1;
        state.version = copy.version;
        state.objects = copy.objects;
        drop(state);
        // Waiting watches look again, as if they had just been sent.
        service.watch_state.send_modify(|_| ());
    }

    /// Adds a VM to the list or replaces it, as `PUT /vms/{id}` does.
    pub fn put_vm(&self, vm: Vm) {
        self.server.app_private().put_vm(vm);
    }

    /// Stops the stand-in: waiting watches return, and later connections are refused.
    pub async fn close(self) -> Result<(), PlatformError> {
        let service = self.server.app_private();
        service
            .watch_state
            .send_modify(|watch_state| watch_state.closing = true);
        self.server
            .close()
            .await
            .map_err(|reason| PlatformError { reason })
    }
}

/// A copy of the objects of a [`Platform`].
#[derive(Debug)]
pub struct PlatformCopy {
    version: u64,
    objects: BTreeMap<(String, String), Object>,
}

/// Starts a stand-in for the platform; port zero selects a free port.
///
/// `lag` is the age of the list of VMs that `GET /vms` returns.
pub async fn serve_platform(addr: SocketAddr, lag: Duration) -> Result<Platform, PlatformError> {
    let api = build_api().map_err(|error| PlatformError {
        reason: error.to_string(),
    })?;
    let service = Service {
        state: Mutex::new(State::new(lag)),
        watch_state: watch::Sender::new(WatchState::default()),
    };
    let config = ConfigDropshot {
        bind_address: addr,
        default_request_body_max_bytes: MAX_VALUE_BYTES,
        default_handler_task_mode: HandlerTaskMode::CancelOnDisconnect,
        ..ConfigDropshot::default()
    };
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let server = ServerBuilder::new(api, service, log)
        .config(config)
        .start()
        .map_err(|error| PlatformError {
            reason: error.to_string(),
        })?;
    Ok(Platform { server })
}

fn build_api() -> Result<ApiDescription<Service>, dropshot::ApiDescriptionRegisterError> {
    let mut api = ApiDescription::new();
    api.register(get_object)?;
    api.register(put_object)?;
    api.register(watch_objects)?;
    api.register(list_vms)?;
    api.register(put_vm)?;
    api.register(delete_vm)?;
    api.register(set_fault)?;
    api.register(set_lag)?;
    Ok(api)
}

#[derive(Debug)]
struct Service {
    state: Mutex<State>,
    watch_state: watch::Sender<WatchState>,
}

/// State whose change wakes waiting watches.
#[derive(Debug, Default)]
struct WatchState {
    version: u64,
    closing: bool,
}

#[derive(Debug, Clone)]
struct Object {
    version: u64,
    value: Box<RawValue>,
}

#[derive(Debug)]
struct State {
    /// Number of times that the stand-in was restored from a copy.
    era: u64,
    version: u64,
    objects: BTreeMap<(String, String), Object>,
    vms: BTreeMap<String, Vm>,
    // Lists of VMs with the time of each change, oldest first, for reads that lag.
    vm_lists: Vec<(Instant, Vec<Vm>)>,
    list_lag: Duration,
    fault: Fault,
}

impl State {
    fn new(lag: Duration) -> State {
        State {
            era: 0,
            version: 0,
            objects: BTreeMap::new(),
            vms: BTreeMap::new(),
            vm_lists: Vec::new(),
            list_lag: lag,
            fault: Fault::NONE,
        }
    }

    /// Returns the fault of the next call and counts the call; replies are lost only for updates.
    fn consume_fault(&mut self, is_update: bool) -> Fault {
        let fault = self.fault;
        if fault.mode == FaultMode::LoseReplies && !is_update {
            return Fault::NONE;
        }
        if let Some(times) = &mut self.fault.times {
            *times = times.saturating_sub(1);
            if *times == 0 {
                self.fault = Fault::NONE;
            }
        }
        fault
    }

    fn record_vms(&mut self, now: Instant) {
        self.vm_lists
            .push((now, self.vms.values().cloned().collect()));
    }

    fn read_lagging_vms(&mut self, now: Instant) -> Vec<Vm> {
        let is_visible = |at: &Instant| now.saturating_duration_since(*at) >= self.list_lag;
        let visible_lists = self
            .vm_lists
            .iter()
            .filter(|(at, _)| is_visible(at))
            .count();
        match visible_lists {
            0 => Vec::new(),
            count => {
                self.vm_lists.drain(..count - 1);
                self.vm_lists[0].1.clone()
            }
        }
    }
}

impl Service {
    fn set_fault(&self, fault: Fault) {
        let has_no_calls = fault.times == Some(0);
        self.state().fault = if has_no_calls { Fault::NONE } else { fault };
    }

    fn put_vm(&self, vm: Vm) {
        let mut state = self.state();
        state.vms.insert(vm.id.to_string(), vm);
        state.record_vms(Instant::now());
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies the current fault to a call; returns the reply as an error if the fault makes the call fail.
    async fn apply_fault(&self, is_update: bool) -> Result<Fault, Response<Body>> {
        let fault = self.state().consume_fault(is_update);
        match fault.mode {
            FaultMode::Down => return Err(reply_json(503, &"the platform is down")),
            FaultMode::Slow => tokio::time::sleep(Duration::from_millis(fault.delay_ms)).await,
            FaultMode::None | FaultMode::LoseReplies => {}
        }
        Ok(fault)
    }

    fn put_object(
        &self,
        key: (String, String),
        if_version: u64,
        value: Box<RawValue>,
    ) -> Response<Body> {
        let mut state = self.state();
        let current = state.objects.get(&key).map_or(0, |object| object.version);
        if current != if_version {
            return add_era(
                reply_json(409, &VersionReply { version: current }),
                state.era,
            );
        }
        state.version += 1;
        let version = state.version;
        state.objects.insert(key, Object { version, value });
        let era = state.era;
        drop(state);
        self.watch_state.send_modify(|watch_state| {
            watch_state.version = watch_state.version.max(version);
        });
        add_era(reply_json(200, &VersionReply { version }), era)
    }

    fn list_changes(&self, kind: &str, after: u64) -> (bool, Response<Body>) {
        let state = self.state();
        let objects: Vec<ObjectReply<'_>> = state
            .objects
            .iter()
            .filter(|((object_kind, _), object)| object_kind == kind && object.version > after)
            .map(|((_, name), object)| ObjectReply {
                name,
                version: object.version,
                value: &object.value,
            })
            .collect();
        let version = state.version;
        // A watch from a version of a lost history has nothing to wait for.
        let changed = !objects.is_empty() || after > version;
        let reply = reply_json(200, &ChangesReply { version, objects });
        (changed, add_era(reply, state.era))
    }
}

#[derive(Serialize)]
struct VersionReply {
    version: u64,
}

#[derive(Serialize)]
struct ValueReply<'a> {
    version: u64,
    value: &'a RawValue,
}

#[derive(Serialize)]
struct ObjectReply<'a> {
    name: &'a str,
    version: u64,
    value: &'a RawValue,
}

#[derive(Serialize)]
struct ChangesReply<'a> {
    version: u64,
    objects: Vec<ObjectReply<'a>>,
}

#[derive(Deserialize, JsonSchema)]
struct ObjectPath {
    kind: String,
    name: String,
}

#[derive(Deserialize, JsonSchema)]
struct KindPath {
    kind: String,
}

#[derive(Deserialize, JsonSchema)]
struct VmPath {
    id: String,
}

#[derive(Deserialize, JsonSchema)]
struct PutQuery {
    if_version: u64,
}

#[derive(Deserialize, JsonSchema)]
struct WatchQuery {
    #[serde(default)]
    after: u64,
    #[serde(default)]
    wait_ms: u64,
}

type Reply = Result<Response<Body>, HttpError>;

#[endpoint { method = GET, path = "/objects/{kind}/{name}" }]
async fn get_object(context: RequestContext<Service>, path: Path<ObjectPath>) -> Reply {
    let service = context.context();
    if let Err(response) = service.apply_fault(false).await {
        return Ok(response);
    }
    let path = path.into_inner();
    let state = service.state();
    let reply = match state.objects.get(&(path.kind, path.name)) {
        Some(object) => reply_json(
            200,
            &ValueReply {
                version: object.version,
                value: &object.value,
            },
        ),
        None => reply_json(404, &"there is no such object"),
    };
    Ok(add_era(reply, state.era))
}

#[endpoint { method = PUT, path = "/objects/{kind}/{name}" }]
async fn put_object(
    context: RequestContext<Service>,
    path: Path<ObjectPath>,
    query: Query<PutQuery>,
    body: UntypedBody,
) -> Reply {
    let service = context.context();
    let fault = match service.apply_fault(true).await {
        Ok(fault) => fault,
        Err(response) => return Ok(response),
    };
    let path = path.into_inner();
    let value = parse_json(body.as_bytes())?;
    let reply = service.put_object((path.kind, path.name), query.into_inner().if_version, value);
    if fault.mode == FaultMode::LoseReplies {
        return Ok(break_connection());
    }
    Ok(reply)
}

#[endpoint { method = GET, path = "/objects/{kind}" }]
async fn watch_objects(
    context: RequestContext<Service>,
    path: Path<KindPath>,
    query: Query<WatchQuery>,
) -> Reply {
    let service = context.context();
    if let Err(response) = service.apply_fault(false).await {
        return Ok(response);
    }
    let kind = path.into_inner().kind;
    let query = query.into_inner();
    let wait_time = Duration::from_millis(query.wait_ms).min(MAX_WATCH_TIME);
    let end = tokio::time::Instant::now() + wait_time;
    let mut watcher = service.watch_state.subscribe();
    loop {
        let closing = watcher.borrow_and_update().closing;
        let (changed, reply) = service.list_changes(&kind, query.after);
        if changed || closing {
            return Ok(reply);
        }
        if tokio::time::timeout_at(end, watcher.changed())
            .await
            .is_err()
        {
            return Ok(reply);
        }
    }
}

#[endpoint { method = GET, path = "/vms" }]
async fn list_vms(context: RequestContext<Service>) -> Reply {
    let service = context.context();
    if let Err(response) = service.apply_fault(false).await {
        return Ok(response);
    }
    Ok(reply_json(
        200,
        &service.state().read_lagging_vms(Instant::now()),
    ))
}

#[endpoint { method = PUT, path = "/vms/{id}" }]
async fn put_vm(context: RequestContext<Service>, path: Path<VmPath>, body: UntypedBody) -> Reply {
    let vm: Vm = parse_json(body.as_bytes())?;
    let id = path.into_inner().id;
    if vm.id != id {
        let reason = format!("the request body has VM id {} instead of {id}", vm.id);
        return Err(HttpError::for_bad_request(None, reason));
    }
    context.context().put_vm(vm);
    Ok(reply_json(200, &()))
}

#[endpoint { method = DELETE, path = "/vms/{id}" }]
async fn delete_vm(context: RequestContext<Service>, path: Path<VmPath>) -> Reply {
    let mut state = context.context().state();
    state.vms.remove(&path.into_inner().id);
    state.record_vms(Instant::now());
    Ok(reply_json(200, &()))
}

#[endpoint { method = POST, path = "/control/fault" }]
async fn set_fault(context: RequestContext<Service>, body: dropshot::TypedBody<Fault>) -> Reply {
    context.context().set_fault(body.into_inner());
    Ok(reply_json(200, &()))
}

#[endpoint { method = POST, path = "/control/lag" }]
async fn set_lag(context: RequestContext<Service>, body: dropshot::TypedBody<Lag>) -> Reply {
    context.context().state().list_lag = Duration::from_millis(body.into_inner().lag_ms);
    Ok(reply_json(200, &()))
}

fn parse_json<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, HttpError> {
    serde_json::from_slice(body).map_err(|error| {
        HttpError::for_bad_request(None, format!("the request body is not valid: {error}"))
    })
}

/// Adds the era, by which clients notice that the stand-in was restored.
fn add_era(mut reply: Response<Body>, era: u64) -> Response<Body> {
    reply.headers_mut().insert(ERA_HEADER, era.into());
    reply
}

fn reply_json(status: u16, value: &impl Serialize) -> Response<Body> {
    let (status, body) = match serde_json::to_vec(value) {
        Ok(body) => (StatusCode::from_u16(status), body),
        Err(error) => (StatusCode::from_u16(500), error.to_string().into_bytes()),
    };
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let content_type = http::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, content_type);
    response
}
