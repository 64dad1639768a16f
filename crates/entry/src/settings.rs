//! Settings of an entry VM, read from one TOML file and checked as a whole at start.

use std::fmt::Display;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::Path;
use std::time::Duration;

use base::Code;
use base::NodeId;
use base::RegionName;
use base::ZoneName;
use serde::Deserialize;
use snafu::Snafu;
use toml::Spanned;

/// Largest request body accepted when the settings name no limit, in KiB.
const DEFAULT_BODY_KIB: usize = 1024;

/// Largest limit of a request body, in KiB; a body is held in memory, and a VM has little.
const MAX_BODY_KIB: usize = 64 * 1024;

/// Queries that run at the same time when the settings name no limit.
const DEFAULT_MAX_QUERIES: usize = 512;

/// Largest limit of queries; at a fan-out of 520 even a tenth of it exhausts a small VM.
const MAX_QUERY_LIMIT: usize = 100_000;

/// Time between the start of a shutdown and the last accepted request when the settings name none.
///
/// The balancer has to see the failing readiness check; most check every second.
const DEFAULT_NOTICE_TIME: Duration = Duration::from_secs(3);

/// Longest such time, in milliseconds; a slip in the unit would otherwise keep a VM from stopping.
const MAX_NOTICE_MS: u64 = 600_000;

/// An error in a settings file, with the place where it was found.
#[derive(Debug, Clone, PartialEq, Snafu)]
#[snafu(display("{file}:{line}: {key}: {reason} (code {})", Code::InvalidSettings.number()))]
pub struct SettingsError {
    /// File name.
    pub file: String,
    /// Line, starting at 1; 0 when the file cannot be read.
    pub line: usize,
    /// Key, or `file` when the error is about the whole file.
    pub key: String,
    /// Reason in plain words.
    pub reason: String,
}

/// Checked settings of an entry VM.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Identifier of this VM in the platform's list.
    pub node: NodeId,
    /// Availability zone.
    pub zone: ZoneName,
    /// Region.
    pub region: RegionName,
    /// Address for callers and operators.
    pub listen: SocketAddr,
    /// Address for other entry VMs.
    pub peer: SocketAddr,
    /// Address of the platform's object API.
    pub platform: SocketAddr,
    /// Peer addresses of other entry VMs, asked when the platform's list is unavailable.
    pub seeds: Vec<SocketAddr>,
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
    /// Queries that run at the same time.
    pub max_queries: usize,
    /// Time for the balancer to notice that this VM is stopping.
    pub notice_time: Duration,
    /// Address that receives statsd datagrams.
    pub statsd: Option<SocketAddr>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawSettings {
    node: Spanned<NodeId>,
    zone: Spanned<ZoneName>,
    region: Spanned<RegionName>,
    listen: Spanned<String>,
    peer: Spanned<String>,
    platform: Spanned<String>,
    #[serde(default)]
    seeds: Vec<Spanned<String>>,
    #[serde(default)]
    limits: RawLimits,
    #[serde(default)]
    shutdown: RawShutdown,
    #[serde(default)]
    metrics: RawMetrics,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawLimits {
    body_kib: Option<Spanned<usize>>,
    queries: Option<Spanned<usize>>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawShutdown {
    notice_ms: Option<Spanned<u64>>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawMetrics {
    statsd: Option<Spanned<String>>,
}

/// Reads and checks a settings file; every error found is returned.
pub fn load_settings(path: &Path) -> Result<Settings, Vec<SettingsError>> {
    let file = path.display().to_string();
    match std::fs::read_to_string(path) {
        Ok(text) => parse_settings(&file, &text),
        Err(error) => Err(vec![SettingsError {
            file,
            line: 0,
            key: "file".into(),
            reason: error.to_string(),
        }]),
    }
}

/// Checks the text of a settings file; every error found is returned.
pub fn parse_settings(file: &str, text: &str) -> Result<Settings, Vec<SettingsError>> {
    let mut check = Validator {
        file,
        text,
        errors: Vec::new(),
    };
    let raw: RawSettings = match toml::from_str(text) {
        Ok(raw) => raw,
        Err(error) => {
            let offset = error.span().map_or(0, |span| span.start);
            let key = find_key(text, offset, error.message());
            check.report(offset, &key, error.message());
            return Err(check.errors);
        }
    };
    check.require_text("node", &raw.node);
    check.require_text("zone", &raw.zone);
    check.require_text("region", &raw.region);
    let listen = check.parse_address("listen", &raw.listen);
    let peer = check.parse_address("peer", &raw.peer);
    let platform = check.parse_address("platform", &raw.platform);
    let seeds = raw
        .seeds
        .iter()
        .filter_map(|seed| check.parse_address("seeds", seed))
        .collect();
    let statsd = raw
        .metrics
        .statsd
        .as_ref()
        .and_then(|addr| check.parse_address("metrics.statsd", addr));
    let body_kib = check.require_range(
        "limits.body_kib",
        raw.limits.body_kib,
        DEFAULT_BODY_KIB,
        1..=MAX_BODY_KIB,
    );
    let max_queries = check.require_range(
        "limits.queries",
        raw.limits.queries,
        DEFAULT_MAX_QUERIES,
        1..=MAX_QUERY_LIMIT,
    );
    let notice_ms = check.require_range(
        "shutdown.notice_ms",
        raw.shutdown.notice_ms,
        DEFAULT_NOTICE_TIME.as_millis() as u64,
        0..=MAX_NOTICE_MS,
    );
    if raw.listen.get_ref() == raw.peer.get_ref() && !raw.listen.get_ref().ends_with(":0") {
        check.report(raw.peer.span().start, "peer", "must differ from listen");
    }
    let (Some(listen), Some(peer), Some(platform), true) =
        (listen, peer, platform, check.errors.is_empty())
    else {
        return Err(check.errors);
    };
    Ok(Settings {
        node: raw.node.into_inner(),
        zone: raw.zone.into_inner(),
        region: raw.region.into_inner(),
        listen,
        peer,
        platform,
        seeds,
        max_body_bytes: body_kib * 1024,
        max_queries,
        notice_time: Duration::from_millis(notice_ms),
        statsd,
    })
}

/// Collects the errors of one file.
struct Validator<'a> {
    file: &'a str,
    text: &'a str,
    errors: Vec<SettingsError>,
}

impl Validator<'_> {
    fn report(&mut self, offset: usize, key: &str, reason: &str) {
        let line = self.text[..offset.min(self.text.len())]
            .matches('\n')
            .count()
            + 1;
        self.errors.push(SettingsError {
            file: self.file.into(),
            line,
            key: key.into(),
            reason: reason.into(),
        });
    }

    fn require_text(&mut self, key: &str, value: &Spanned<NodeId>) {
        if value.get_ref().trim().is_empty() {
            self.report(value.span().start, key, "must not be empty");
        }
    }

    fn parse_address(&mut self, key: &str, value: &Spanned<String>) -> Option<SocketAddr> {
        let parsed = value.get_ref().parse();
        if parsed.is_err() {
            let reason = format!("{:?} is not an IP address with a port", value.get_ref());
            self.report(value.span().start, key, &reason);
        }
        parsed.ok()
    }

    fn require_range<T: PartialOrd + Display>(
        &mut self,
        key: &str,
        value: Option<Spanned<T>>,
        default: T,
        allowed: RangeInclusive<T>,
    ) -> T {
        let Some(value) = value else {
            return default;
        };
        if !allowed.contains(value.get_ref()) {
            let reason = format!(
                "{} is not from {} to {}",
                value.get_ref(),
                allowed.start(),
                allowed.end()
            );
            self.report(value.span().start, key, &reason);
        }
        value.into_inner()
    }
}

/// Names the key that a message of the TOML reader is about, or `file` when the line holds no key.
fn find_key(text: &str, offset: usize, message: &str) -> String {
    let missing = message.strip_prefix("missing field `");
    if let Some((key, _)) = missing.and_then(|rest| rest.split_once('`')) {
        return key.into();
    }
    let start = text[..offset].rfind('\n').map_or(0, |at| at + 1);
    let line = text[start..].lines().next().unwrap_or_default();
    let Some((key, _)) = line.split_once('=') else {
        return "file".into();
    };
    let headers = text[..start].lines().rev();
    let table = headers
        .filter_map(|line| line.trim().strip_prefix('[')?.split_once(']'))
        .next();
    match table {
        Some((table, _)) => format!("{table}.{}", key.trim()),
        None => key.trim().into(),
    }
}
