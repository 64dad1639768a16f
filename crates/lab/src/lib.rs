//! Stand-ins for upstreams and the platform, load generation and experiments.

pub mod bench;
pub mod control;
pub mod demo;
pub mod deploy;
pub mod examples;
pub mod fault;
mod http_upstream;
pub mod platform;
pub mod report;
pub mod rig;
pub mod scenario;
pub mod server;
pub mod settings;
pub mod upstreams;
