//! The gateway: forwards each HTTP request of a caller to one server, or to one server of every shard.
//!
//! The path of a request: `ingress` accepts the connection (`accept`, `listener`), `admit` finds the route in the [`RouteTable`] and reads the
//! body, `request` drives [`query::Gather`], `attempt` sends each attempt over a connection of `pool`, and `merge`
//! merges the parts. In a large zone, `holders` names the gateways that send the attempts of queries for all others;
//! `holder_client` asks them, and `holder` answers.
//!
//! What callers and servers make the process hold is charged to the budget in `memory`; when it runs out, `reserve` waits and
//! closes the connection that holds most for longest. See docs/decisions/0012-clients.md.
//!
//! In the background, `sync` reads the configuration and the servers from the platform's store or from a relay, and
//! `apply` puts them into the [`RouteTable`] and the [`Directory`]. A relay is another gateway of the zone: `discovery`
//! lists the gateways, [`Peers`] chooses the relay, and `relay` makes and serves the calls between them. The names and
//! formats of a platform are supplied through [`Platform`]. See docs/decisions/0005-platform.md.

mod accept;
mod admit;
mod answer;
mod apply;
mod attempt;
mod body;
mod delegation;
mod directory;
mod discovery;
mod era;
mod facts;
mod fingerprint;
mod forward;
mod helpers;
mod holder;
mod holder_client;
mod holders;
mod ingress;
mod links;
mod listener;
mod listeners;
mod logging;
mod memory;
mod merge;
mod metrics;
mod named_limit;
mod node;
mod notices;
mod outcome;
mod pacing;
mod packed;
mod peers;
mod plan;
mod platform;
mod pool;
mod relay;
mod request;
mod reserve;
mod run;
mod send_gate;
mod settings;
mod sync;
mod table;

pub use crate::delegation::Delegation;
pub use crate::delegation::Frame;
pub use crate::delegation::FrameDecoder;
pub use crate::delegation::InvalidFrame;
pub use crate::delegation::hash_services;
pub use crate::directory::ASSUMED_NODES;
pub use crate::directory::Directory;
pub use crate::directory::Endpoint;
pub use crate::directory::Server;
pub use crate::directory::ServerChange;
pub use crate::directory::ShardSenders;
pub use crate::directory::StartMillis;
pub use crate::fingerprint::Fingerprint;
pub use crate::helpers::Helpers;
pub use crate::helpers::Place;
pub use crate::holders::Assignment;
pub use crate::holders::Holders;
pub use crate::logging::LogFlusher;
pub use crate::logging::LogLimiter;
pub use crate::logging::LogWriter;
pub use crate::merge::RECORD_BYTES;
pub use crate::merge::merge_records;
pub use crate::named_limit::LimitedServer;
pub use crate::named_limit::find_quota_share;
pub use crate::pacing::Pacing;
pub use crate::pacing::StoreRole;
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
pub use crate::platform::PageCursor;
pub use crate::platform::Platform;
pub use crate::platform::StoreEra;
pub use crate::platform::StoreRevision;
pub use crate::platform::StoreVersion;
pub use crate::run::StartError;
pub use crate::run::run_gateway;
pub use crate::send_gate::SendGate;
pub use crate::settings::Settings;
pub use crate::table::RequestLimits;
pub use crate::table::Route;
pub use crate::table::RouteName;
pub use crate::table::RouteTable;
pub use crate::table::Service;
pub use crate::table::Target;
