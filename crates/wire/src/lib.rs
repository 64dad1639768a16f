//! Messages between entry VMs, generated from `proto/peer.proto` by `cargo run -p xtask -- wire`.
//!
//! ```
//! use prost::Message;
//!
//! let beat = wire::BeatMessage {
//!     clock: 7,
//!     ..Default::default()
//! };
//! let bytes = beat.encode_to_vec();
//! assert_eq!(wire::BeatMessage::decode(&bytes[..]).unwrap(), beat);
//! ```

#[allow(
    missing_docs,
    missing_debug_implementations,
    clippy::all,
    reason = "The code is generated, and its comments come from the proto file."
)]
#[rustfmt::skip]
mod peer;

pub use crate::peer::*;
