//! Stand-ins for upstreams and the platform, load generation and experiments.

pub mod deploy;
pub mod fault;
pub mod report;
pub mod server;
pub mod settings;
