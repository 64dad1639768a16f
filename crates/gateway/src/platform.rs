//! Interface to the platform: its header names, the calls to its store, and the objects in the replies.

use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use http::HeaderName;
use snafu::Snafu;

use crate::Peer;
use crate::RouteTable;
use crate::Server;

/// Number of times that the store has been restored from a copy. What was written after the copy is lost then, and its
/// versions are given out again.
pub type StoreEra = u64;

/// Number that increases with every change of the store, within one era.
pub type StoreRevision = u64;

/// Version of the store. A later era is newer whatever the revision, since revisions go back with a restore.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct StoreVersion {
    /// Era of the store.
    pub era: StoreEra,
    /// Revision within that era.
    pub revision: StoreRevision,
}

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
    /// Id of a caller's request, a new one for each retry by the caller; servers echo it in their replies.
    pub request_id: HeaderName,
    /// Milliseconds that the sender will wait.
    pub deadline: HeaderName,
    /// Signature of a server for its reply.
    pub signature: HeaderName,
    /// Id of the only server that may run the request.
    pub target: HeaderName,
    /// Present in a reply if the server did not run the request.
    pub not_run: HeaderName,
    /// Requests a second that a server takes from all gateways together, in the replies of a server in need.
    pub rate_limit: HeaderName,
    /// Present in the replies of a server that is about to leave.
    pub leaving: HeaderName,
    /// Era of the store in each of its replies.
    pub store_era: HeaderName,
    /// Signatures of the parts of a merged answer.
    pub parts: HeaderName,
    /// Number of services without a part in a merged answer.
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
    /// The object can't be decoded, for the given reason.
    Unreadable(String),
}

/// One object of the store.
#[derive(Debug)]
pub struct Object {
    /// Name within its kind.
    pub name: CompactString,
    /// Version of its last change, in the era of the reply that shows it.
    pub version: StoreVersion,
    /// State of the object.
    pub value: ObjectState,
}

/// Name of the last object of a page, after which the next page begins. The names of others need not be UTF-8.
pub type PageCursor = Bytes;

/// Objects in one reply of the store.
#[derive(Debug)]
pub struct Batch {
    /// The objects; for a watch, in the order of their changes.
    pub objects: Vec<Object>,
    /// Number of objects without a readable name, which are left out.
    pub unnamed: usize,
    /// Where a list goes on, if it has another page.
    pub next: Option<PageCursor>,
    /// Version of the store up to which the batch is complete.
    pub version: StoreVersion,
}

/// A reply of the store that can't be decoded.
#[derive(Debug, Snafu)]
#[snafu(display("failed to decode the store's reply: {reason}"))]
pub struct DecodeError {
    /// Why decoding failed.
    pub reason: String,
}

/// A platform: its header names, and the paths and formats of its store.
pub trait Platform {
    /// Returns the header names in use.
    fn headers(&self) -> HeaderNames;

    /// Returns the path of a call that lists the objects of a kind, starting after a page, if any.
    fn list_path(&self, kind: ObjectKind, after: Option<&PageCursor>) -> String;

    /// Returns the path of a cheaper list call whose reply may be some seconds out of date.
    fn stale_list_path(&self, kind: ObjectKind, after: Option<&PageCursor>) -> String;

    /// Returns the path and the body of the call that registers a gateway.
    fn build_registration(&self, peer: &Peer) -> (String, String);

    /// Returns the path of a call that waits for changes of a kind after a version.
    fn watch_path(&self, kind: ObjectKind, since: StoreRevision, wait: Duration) -> String;

    /// Decodes the reply to a list call.
    ///
    /// # Errors
    ///
    /// Returns an error if the whole reply is invalid; a single invalid object is an [`ObjectState::Unreadable`].
    fn read_list(&self, kind: ObjectKind, era: StoreEra, body: &[u8])
    -> Result<Batch, DecodeError>;

    /// Decodes the reply to a watch call.
    ///
    /// # Errors
    ///
    /// Returns an error if the whole reply is invalid; a single invalid object is an [`ObjectState::Unreadable`].
    fn read_changes(
        &self,
        kind: ObjectKind,
        era: StoreEra,
        body: &[u8],
    ) -> Result<Batch, DecodeError>;
}
