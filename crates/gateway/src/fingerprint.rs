//! Recognizes a request that comes again under another id.

use std::fmt::Display;
use std::fmt::Formatter;

use base::hash_parts;
use http::HeaderMap;
use http::Method;
use http::Uri;
use http::header::AUTHORIZATION;
use http::header::HOST;

/// Hash of what all tries of one request have in common: method, host, path, query, caller and body.
///
/// The id and the time left differ between the tries of a caller, so they are left out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Fingerprint {
    /// Hash of the whole request.
    pub request: u128,
    /// Hash of the caller: its host and credentials.
    pub caller: u32,
}

impl Fingerprint {
    /// Hashes a request.
    pub fn of_request(method: &Method, uri: &Uri, headers: &HeaderMap, body: &[u8]) -> Fingerprint {
        let find = |name| {
            let value = headers.get(name);
            value.map_or(&[][..], |value| value.as_bytes())
        };
        let (host, credentials) = (find(HOST).to_ascii_lowercase(), find(AUTHORIZATION));
        let path = uri.path_and_query().map_or("/", |path| path.as_str());
        let caller = [host.as_slice(), credentials];
        let request = [
            method.as_str().as_bytes(),
            &host,
            path.as_bytes(),
            credentials,
            body,
        ];
        Fingerprint {
            request: hash_parts(&request),
            caller: hash_parts(&caller) as u32,
        }
    }
}

impl Display for Fingerprint {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:032x}", self.request)
    }
}
