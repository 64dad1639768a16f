//! The edge to the platform: header names, calls to its store, and what the answers hold.

use std::time::Duration;

use compact_str::CompactString;
use http::HeaderName;
use snafu::Snafu;

use crate::Peer;
use crate::RouteTable;
use crate::Server;

/// Position in the sequence of changes of the store.
pub type StoreVersion = u64;

/// A kind of object that the gateway follows in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ObjectKind {
    /// The configuration that the operator writes.
    Configuration,
    /// The servers, each of which registers itself.
    Servers,
    /// The gateways, each of which registers itself.
    Peers,
}

/// Names of the headers that callers, the gateway and servers exchange.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// Identifies one attempt of a caller; servers repeat it in their replies.
    pub request_id: HeaderName,
    /// Milliseconds that the sender will wait.
    pub deadline: HeaderName,
    /// Signature of a server under its reply.
    pub signature: HeaderName,
    /// Server that alone may run the request.
    pub target: HeaderName,
    /// Present in a reply of a server that did not run the request.
    pub not_run: HeaderName,
    /// Signatures of the parts of an answer.
    pub parts: HeaderName,
    /// Number of services that are not in an answer.
    pub missing: HeaderName,
}

/// State of one object.
#[derive(Debug)]
pub enum ObjectState {
    /// A configuration.
    Configuration(Box<RouteTable>),
    /// A server that is registered.
    Server(Server),
    /// A gateway that is registered.
    Peer(Peer),
    /// The object was removed.
    Removed,
    /// The object can't be understood, for the reason given.
    Unreadable(String),
}

/// One object of the store.
#[derive(Debug)]
pub struct Object {
    /// Name within its kind.
    pub name: CompactString,
    /// State of the object.
    pub value: ObjectState,
}

/// Objects that the store returned.
#[derive(Debug)]
pub struct Batch {
    /// The objects, in the order of their changes for a watch.
    pub objects: Vec<Object>,
    /// Whether a list goes on after the last object.
    pub more: bool,
    /// Version of the store up to which the batch is complete.
    pub version: StoreVersion,
}

/// An answer of the store that is not in its format.
#[derive(Debug, Snafu)]
#[snafu(display("the answer of the store can't be read: {reason}"))]
pub struct DecodeError {
    /// What was found instead.
    pub reason: String,
}

/// Names, formats and calls of a platform.
pub trait Platform {
    /// Returns the header names in use.
    fn headers(&self) -> HeaderNames;

    /// Returns the path of a call that lists the objects of a kind, after an object if one is given.
    fn list_path(&self, kind: ObjectKind, after: Option<&str>) -> String;

    /// Returns the path of a cheaper list that may be seconds old.
    fn stale_list_path(&self, kind: ObjectKind, after: Option<&str>) -> String;

    /// Returns path and body of the call that registers a gateway.
    fn build_registration(&self, peer: &Peer) -> (String, String);

    /// Returns the path of a call that waits for changes of a kind after a version.
    fn watch_path(&self, kind: ObjectKind, since: StoreVersion, wait: Duration) -> String;

    /// Reads the answer to a list.
    ///
    /// # Errors
    ///
    /// Returns what makes the whole answer unreadable; a single bad object is a [`ObjectState::Unreadable`].
    fn read_list(&self, kind: ObjectKind, body: &[u8]) -> Result<Batch, DecodeError>;

    /// Reads the answer to a watch.
    ///
    /// # Errors
    ///
    /// Returns what makes the whole answer unreadable; a single bad object is a [`ObjectState::Unreadable`].
    fn read_changes(&self, kind: ObjectKind, body: &[u8]) -> Result<Batch, DecodeError>;
}
