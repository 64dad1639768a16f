//! Settings of an entry VM, read from one TOML file and checked as a whole at start.

use std::net::SocketAddr;
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

/// Queries that run at the same time when the settings name no limit.
const DEFAULT_QUERIES: usize = 512;

/// Time between the start of a shutdown and the last accepted request when the settings name none.
///
/// The balancer has to see the failing readiness check; most check every second.
const DEFAULT_NOTICE: Duration = Duration::from_secs(3);

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
    pub body_limit: usize,
    /// Queries that run at the same time.
    pub query_limit: usize,
    /// Time for the balancer to notice that this VM is stopping.
    pub notice: Duration,
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
    notice_ms: Option<u64>,
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
    let mut check = Check {
        file,
        text,
        errors: Vec::new(),
    };
    let raw: RawSettings = match toml::from_str(text) {
        Ok(raw) => raw,
        Err(error) => {
            let offset = error.span().map_or(0, |span| span.start);
            check.report(offset, "file", error.message());
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
    let body_kib = check.require_positive("limits.body_kib", raw.limits.body_kib, DEFAULT_BODY_KIB);
    let query_limit = check.require_positive("limits.queries", raw.limits.queries, DEFAULT_QUERIES);
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
        body_limit: body_kib * 1024,
        query_limit,
        notice: raw
            .shutdown
            .notice_ms
            .map_or(DEFAULT_NOTICE, Duration::from_millis),
        statsd,
    })
}

/// Collects the errors of one file.
struct Check<'a> {
    file: &'a str,
    text: &'a str,
    errors: Vec<SettingsError>,
}

impl Check<'_> {
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

    fn require_positive(
        &mut self,
        key: &str,
        value: Option<Spanned<usize>>,
        default: usize,
    ) -> usize {
        match value {
            None => default,
            Some(value) => {
                if *value.get_ref() == 0 {
                    self.report(value.span().start, key, "must be greater than 0");
                }
                value.into_inner()
            }
        }
    }
}
