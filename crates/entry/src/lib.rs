//! The asynchronous runtime of an entry VM.
//!
//! The crate connects the state machines of the other crates to sockets and timers and makes no decisions itself.
//!
//! ```
//! let text = r#"
//! node = "zurich-1"
//! zone = "zurich"
//! region = "ch"
//! listen = "127.0.0.1:8080"
//! peer = "127.0.0.1:8081"
//! platform = "127.0.0.1:9000"
//! "#;
//! let settings = entry::parse_settings("entry.toml", text).unwrap();
//! assert_eq!(settings.zone, "zurich");
//! ```

mod admission;
mod api;
mod claimed;
mod configuration;
mod control;
mod fleet;
mod home;
mod metrics;
mod node;
mod peer_clients;
mod peer_service;
mod pool;
mod query_driver;
mod request;
mod routes;
mod scatter;
mod serve;
mod settings;
mod status;

pub use crate::api::AnswerBody;
pub use crate::api::FailureBody;
pub use crate::api::describe_api;
pub use crate::serve::Entry;
pub use crate::serve::ServeError;
pub use crate::serve::start_entry;
pub use crate::settings::Settings;
pub use crate::settings::SettingsError;
pub use crate::settings::load_settings;
pub use crate::settings::parse_settings;
pub use crate::status::LatencyStatus;
pub use crate::status::RevisionStatus;
pub use crate::status::Status;
pub use crate::status::UpstreamStatus;
pub use crate::status::ZoneStatus;
