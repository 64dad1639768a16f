//! The state machine of one query: bind, scatter, hedge, gather, explain.

mod answer;
mod machine;
mod plan;

pub use crate::answer::Answer;
pub use crate::answer::Coverage;
pub use crate::answer::Explanation;
pub use crate::answer::Missing;
pub use crate::answer::MissingReason;
pub use crate::machine::Action;
pub use crate::machine::Attempt;
pub use crate::machine::Env;
pub use crate::machine::Event;
pub use crate::machine::Failure;
pub use crate::machine::Query;
pub use crate::plan::Plan;
pub use crate::plan::Policy;
