//! Stand-ins for upstreams and the platform, load generation and experiments.

pub mod deploy;
pub mod platform;
pub mod settings;
