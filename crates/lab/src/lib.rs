//! Stand-ins for upstreams and the platform, load generation and experiments.

mod fleet;
mod slopes;

pub use crate::slopes::Slope;
pub use crate::slopes::SlopeOptions;
pub use crate::slopes::measure_slopes;
