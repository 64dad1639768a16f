//! Commands of limpetwick, as functions that write to an output and return an exit code.
//!
//! ```
//! let mut out = Vec::new();
//! let code = limpetwick::check::check_files(&["no-such-file.toml".into()], &mut out).unwrap();
//! assert_eq!(code, limpetwick::check::EXIT_INVALID);
//! ```

pub mod check;
pub mod explain;
pub mod http;
pub mod publish;
pub mod status;
pub mod trace;
