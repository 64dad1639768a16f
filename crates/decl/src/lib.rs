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
mod error;
mod merge;
mod parse;
mod read;

pub use crate::catalogue::Catalogue;
pub use crate::catalogue::CatalogueEntry;
pub use crate::catalogue::Changes;
pub use crate::catalogue::Delta;
pub use crate::catalogue::PublishRecord;
pub use crate::catalogue::ServiceConflict;
pub use crate::declaration::AtDeadline;
pub use crate::declaration::Class;
pub use crate::declaration::Declaration;
pub use crate::declaration::Prefer;
pub use crate::declaration::Request;
pub use crate::declaration::ShardSet;
pub use crate::error::DeclarationError;
pub use crate::merge::collect_changes;
pub use crate::merge::merge;
pub use crate::parse::ParsedFile;
pub use crate::parse::parse_declaration;
pub use crate::parse::parse_file;
