//! Stand-ins for upstreams and the platform, load generation and experiments.

pub mod model;
mod model_claim;
mod model_claim_state;
mod model_conf;
pub mod model_cost;
