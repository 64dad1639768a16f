//! Service declarations: parsing, validation and the merged catalogue.
//!
//! ```
//! let text = r#"
//! service = "advisers"
//! index = "plan-desk"
//! shards = "all"
//! deadline = "250ms"
//!
//! [[request]]
//! name = "search"
//! repeatable = true
//! "#;
//! let declaration = decl::parse_declaration("advisers.toml", text).unwrap();
//! assert!(declaration.request("search").unwrap().repeatable);
//! ```

mod catalogue;
mod declaration;
mod parse;

pub use crate::catalogue::Catalogue;
pub use crate::catalogue::Entry;
pub use crate::declaration::AtDeadline;
pub use crate::declaration::Class;
pub use crate::declaration::Declaration;
pub use crate::declaration::Prefer;
pub use crate::declaration::Request;
pub use crate::declaration::ShardSet;
pub use crate::parse::Fault;
pub use crate::parse::parse_declaration;
