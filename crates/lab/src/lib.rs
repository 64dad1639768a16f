//! Stand-ins for the upstreams and the platform, load generation, simulations and model checking.

pub mod answer_check;
pub mod bench;
mod broken_body;
pub mod control;
pub mod demo;
pub mod deploy;
mod event_queue;
pub mod examples;
pub mod fault;
mod fleet;
mod http_upstream;
pub mod journal;
pub mod load_generator;
pub mod load_report;
pub mod model;
mod model_claim;
mod model_claim_state;
mod model_conf;
pub mod model_cost;
pub mod platform;
mod plot;
pub mod rig;
pub mod scenario;
pub mod server;
mod server_io;
pub mod server_settings;
mod slopes;
pub mod upstreams;

pub use crate::slopes::SizeMetrics;
pub use crate::slopes::SlopeOptions;
pub use crate::slopes::measure_slopes;
