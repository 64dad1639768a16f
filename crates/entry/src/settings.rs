//! Settings of an entry VM, which are read from a TOML file and validated at startup.

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

/// Default of `limits.body_kib`.
const DEFAULT_BODY_KIB: usize = 1024;

/// Largest value of `limits.body_kib`; bodies are held in memory, which is scarce on an entry VM.
const MAX_BODY_KIB: usize = 64 * 1024;

/// Default of `limits.queries`.
const DEFAULT_MAX_QUERIES: usize = 512;

/// Largest value of `limits.queries`; at a fan-out of 520, even a tenth of it exhausts a small VM.
const MAX_QUERY_LIMIT: usize = 100_000;

/// Default of `shutdown.notice_ms`.
///
/// The load balancer has to see the failing readiness check in this time; most load balancers check every second.
const DEFAULT_NOTICE_TIME: Duration = Duration::from_secs(3);

/// Largest value of `shutdown.notice_ms`; without it, a value in the wrong unit could keep a VM from stopping.
const MAX_NOTICE_MS: u64 = 600_000;

/// An error in a settings file, with its location.
#[derive(Debug, Clone, PartialEq, Snafu)]
#[snafu(display("{file}:{line}: {key}: {reason} (code {})", Code::InvalidSettings.number()))]
pub struct SettingsError {
    /// File name.
    pub file: String,
    /// Line, starting at 1; 0 if the file cannot be read.
    pub line: usize,
    /// Key, or `file` if the error concerns no key.
    pub key: String,
    /// Reason.
    pub reason: String,
}

/// Validated settings of an entry VM.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Identifier of this VM in the platform's list.
    pub node: NodeId,
    /// Availability zone.
    pub zone: ZoneName,
    /// Region.
    pub region: RegionName,
    /// Address that serves callers and operators.
    pub listen: SocketAddr,
    /// Address that serves other entry VMs.
    pub peer: SocketAddr,
    /// Address of the platform's object API.
    pub platform: SocketAddr,
    /// Peer addresses of other entry VMs, which are contacted while the platform is unavailable.
    pub seeds: Vec<SocketAddr>,
    /// Size limit of a request body.
    pub max_body_bytes: usize,
    /// Largest number of concurrent requests.
    pub max_queries: usize,
    /// Time for which a stopping VM still accepts requests, so that the load balancer notices the failing check.
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

/// Reads and validates a settings file; returns all errors found.
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

/// Validates the text of a settings file; returns all errors found.
pub fn parse_settings(file: &str, text: &str) -> Result<Settings, Vec<SettingsError>> {
    let mut validator = Validator {
        file,
        text,
        errors: Vec::new(),
    };
    let raw: RawSettings = match toml::from_str(text) {
        Ok(raw) => raw,
        Err(error) => {
            let offset = error.span().map_or(0, |span| span.start);
            let key = find_key(text, offset, error.message());
            validator.add_error(offset, &key, error.message());
            return Err(validator.errors);
        }
    };
    validator.require_nonempty("node", &raw.node);
    validator.require_nonempty("zone", &raw.zone);
    validator.require_nonempty("region", &raw.region);
    let listen = validator.parse_address("listen", &raw.listen);
    let peer = validator.parse_address("peer", &raw.peer);
    let platform = validator.parse_address("platform", &raw.platform);
    let seeds = raw
        .seeds
        .iter()
        .filter_map(|seed| validator.parse_address("seeds", seed))
        .collect();
    let statsd = raw
        .metrics
        .statsd
        .as_ref()
        .and_then(|addr| validator.parse_address("metrics.statsd", addr));
    let body_kib = validator.require_range(
        "limits.body_kib",
        raw.limits.body_kib,
        DEFAULT_BODY_KIB,
        1..=MAX_BODY_KIB,
    );
    let max_queries = validator.require_range(
        "limits.queries",
        raw.limits.queries,
        DEFAULT_MAX_QUERIES,
        1..=MAX_QUERY_LIMIT,
    );
    let notice_ms = validator.require_range(
        "shutdown.notice_ms",
        raw.shutdown.notice_ms,
        DEFAULT_NOTICE_TIME.as_millis() as u64,
        0..=MAX_NOTICE_MS,
    );
    if raw.listen.get_ref() == raw.peer.get_ref() && !raw.listen.get_ref().ends_with(":0") {
        validator.add_error(raw.peer.span().start, "peer", "must differ from listen");
    }
    let (Some(listen), Some(peer), Some(platform), true) =
        (listen, peer, platform, validator.errors.is_empty())
    else {
        return Err(validator.errors);
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

/// Validates the values of one file and collects the errors.
struct Validator<'a> {
    file: &'a str,
    text: &'a str,
    errors: Vec<SettingsError>,
}

impl Validator<'_> {
    fn add_error(&mut self, offset: usize, key: &str, reason: &str) {
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

    fn require_nonempty(&mut self, key: &str, value: &Spanned<NodeId>) {
        if value.get_ref().trim().is_empty() {
            self.add_error(value.span().start, key, "must not be empty");
        }
    }

    fn parse_address(&mut self, key: &str, value: &Spanned<String>) -> Option<SocketAddr> {
        let parsed = value.get_ref().parse();
        if parsed.is_err() {
            let reason = format!("{:?} is not an IP address with a port", value.get_ref());
            self.add_error(value.span().start, key, &reason);
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
                "{} is not in the range from {} to {}",
                value.get_ref(),
                allowed.start(),
                allowed.end()
            );
            self.add_error(value.span().start, key, &reason);
        }
        value.into_inner()
    }
}

/// Returns the key that an error of the TOML parser concerns, or `file` if its line contains no key.
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
