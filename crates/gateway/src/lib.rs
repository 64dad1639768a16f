//! The gateway: callers send plain HTTP requests, and each goes to one server or to one server of every shard.
//!
//! A request takes one way through the crate: `ingress` reads it, `admit` finds its route in the [`RouteTable`], `request` drives
//! [`query::Gather`], `attempt` sends each sub-request over a connection of `pool`, and `merge` puts the parts together.
//! `sync` follows the configuration and the [`Directory`] of servers in the platform's store or through the relay of the zone
//! (`discovery`, `relay`, [`Peers`]), and `apply` takes them in. Names and formats of a
//! platform come from outside, through [`Platform`]. See docs/decisions/0005-platform.md.

mod accept;
mod admit;
mod answer;
mod apply;
mod attempt;
mod body;
mod directory;
mod discovery;
mod ingress;
mod logging;
mod merge;
mod metrics;
mod node;
mod peers;
mod platform;
mod pool;
mod relay;
mod request;
mod run;
mod settings;
mod sync;
mod table;

pub use crate::directory::ASSUMED_NODES;
pub use crate::directory::Directory;
pub use crate::directory::Endpoint;
pub use crate::directory::Server;
pub use crate::directory::ServerChange;
pub use crate::directory::StartMillis;
pub use crate::logging::LogFlusher;
pub use crate::logging::LogLimiter;
pub use crate::logging::LogWriter;
pub use crate::merge::RECORD_BYTES;
pub use crate::merge::merge_records;
pub use crate::peers::ChangeLog;
pub use crate::peers::Peer;
pub use crate::peers::Peers;
pub use crate::peers::PollResult;
pub use crate::peers::Snapshot;
pub use crate::platform::Batch;
pub use crate::platform::DecodeError;
pub use crate::platform::HeaderNames;
pub use crate::platform::Object;
pub use crate::platform::ObjectKind;
pub use crate::platform::ObjectState;
pub use crate::platform::Platform;
pub use crate::platform::StoreVersion;
pub use crate::run::StartError;
pub use crate::run::run_gateway;
pub use crate::settings::Settings;
pub use crate::table::RequestLimits;
pub use crate::table::Route;
pub use crate::table::RouteName;
pub use crate::table::RouteTable;
pub use crate::table::Service;
pub use crate::table::Target;
