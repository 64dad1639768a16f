//! Format of the messages between a gateway and the holder to which it delegates services of a request.
//!
//! The request is the caller's, with the rest of its deadline and a header that names the services. The reply is a
//! stream of frames, one for each part as soon as the holder has it, so that the asking gateway alone decides when the
//! answer is complete.

use base::ServiceName;
use base::hash_key;
use bytes::Buf;
use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;

use crate::attempt::MAX_REPLY_BYTES;

/// Header of a delegated request, which [`Delegation`] encodes.
pub(crate) const HEADER: &str = "limpetwick-delegation";

const TAG_ALIVE: u8 = 0;
const TAG_PART: u8 = 1;
const TAG_GIVEN_UP: u8 = 2;
const TAG_RETURNED: u8 = 3;

/// Which services of a route a holder is asked for.
#[derive(Debug, Clone, PartialEq)]
pub struct Delegation {
    /// Hash of the names of all services of the route; both gateways must know the same ones.
    pub fingerprint: u64,
    /// Indices of the services in the route.
    pub services: Vec<usize>,
    /// Attempts at each of these services that other gateways have made.
    pub used: Vec<u32>,
}

impl Delegation {
    /// Encodes the value of the header: the fingerprint, then the indices, in hexadecimal, each with a colon and the number of
    /// attempts if there were any.
    pub fn encode(&self) -> String {
        let mut value = format!("{:016x}", self.fingerprint);
        for (index, used) in self.services.iter().zip(&self.used) {
            value.push_str(&format!(" {index:x}"));
            if *used > 0 {
                value.push_str(&format!(":{used:x}"));
            }
        }
        value
    }

    /// Decodes the output of [`Delegation::encode`] for a route with `count` services; an index out of range or one
    /// that is named twice makes it invalid.
    pub fn decode(value: &str, count: usize) -> Option<Delegation> {
        let mut fields = value.split(' ');
        let fingerprint = u64::from_str_radix(fields.next()?, 16).ok()?;
        let mut services = Vec::new();
        let mut used = Vec::new();
        let mut named = vec![false; count];
        for field in fields {
            let (index, runs) = field.split_once(':').unwrap_or((field, "0"));
            let index = usize::from_str_radix(index, 16).ok()?;
            let is_named = named.get_mut(index)?;
            if std::mem::replace(is_named, true) {
                return None;
            }
            services.push(index);
            used.push(u32::from_str_radix(runs, 16).ok()?);
        }
        Some(Delegation {
            fingerprint,
            services,
            used,
        })
    }
}

/// Hashes the names of a route's services.
pub fn hash_services(services: &[ServiceName]) -> u64 {
    services.iter().fold(0, |hash: u64, service| {
        hash.rotate_left(5).wrapping_mul(31) ^ hash_key(service)
    })
}

/// A message in the reply of a holder.
#[derive(Debug, Clone, PartialEq)]
pub enum Frame {
    /// The holder is running and waits for replies.
    Alive,
    /// The reply of a server of the service.
    Part {
        /// Index of the service.
        service: usize,
        /// Signature of the server.
        signature: Bytes,
        /// Body of the reply.
        body: Bytes,
    },
    /// The holder can't reach the servers any more, so that the asking gateway has to send to the service itself.
    Returned {
        /// Index of the service.
        service: usize,
        /// Attempts that ran or may have run.
        runs: u32,
    },
    /// No server of the service gave a usable reply.
    GivenUp {
        /// Index of the service.
        service: usize,
        /// Attempts that ran or may have run.
        runs: u32,
    },
}

impl Frame {
    /// Appends the frame to a buffer.
    pub fn encode(&self, out: &mut BytesMut) {
        match self {
            Frame::Alive => out.put_u8(TAG_ALIVE),
            Frame::Part {
                service,
                signature,
                body,
            } => {
                out.put_u8(TAG_PART);
                out.put_u16(*service as u16);
                out.put_u16(signature.len() as u16);
                out.put_u32(body.len() as u32);
                out.put_slice(signature);
                out.put_slice(body);
            }
            Frame::GivenUp { service, runs } => {
                encode_runs(TAG_GIVEN_UP, *service, *runs, out);
            }
            Frame::Returned { service, runs } => {
                encode_runs(TAG_RETURNED, *service, *runs, out);
            }
        }
    }
}

fn encode_runs(tag: u8, service: usize, runs: u32, out: &mut BytesMut) {
    out.put_u8(tag);
    out.put_u16(service as u16);
    out.put_u8(runs.min(u32::from(u8::MAX)) as u8);
}

/// The bytes are not a frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InvalidFrame;

/// Decodes frames from a stream of bytes that may be cut anywhere.
#[derive(Debug, Default)]
pub struct FrameDecoder {
    buffer: BytesMut,
}

impl FrameDecoder {
    /// Adds bytes that were received.
    pub fn extend(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns how many bytes of a frame that is not complete are buffered.
    pub fn buffered(&self) -> usize {
        self.buffer.len()
    }

    /// Returns whether a frame has begun that is not complete.
    pub fn is_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Decodes the next frame, or returns `None` if more bytes are needed.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a frame; the rest of the stream is then useless.
    pub fn next_frame(&mut self) -> Result<Option<Frame>, InvalidFrame> {
        let mut head = &self.buffer[..];
        let Ok(tag) = head.try_get_u8() else {
            return Ok(None);
        };
        match tag {
            TAG_ALIVE => {
                self.buffer.advance(1);
                Ok(Some(Frame::Alive))
            }
            TAG_PART => self.decode_part(),
            TAG_GIVEN_UP | TAG_RETURNED => {
                let (Ok(service), Ok(runs)) = (head.try_get_u16(), head.try_get_u8()) else {
                    return Ok(None);
                };
                let used = self.buffer.len() - head.len();
                self.buffer.advance(used);
                let (service, runs) = (usize::from(service), u32::from(runs));
                Ok(Some(match tag {
                    TAG_RETURNED => Frame::Returned { service, runs },
                    _ => Frame::GivenUp { service, runs },
                }))
            }
            _ => Err(InvalidFrame),
        }
    }

    fn decode_part(&mut self) -> Result<Option<Frame>, InvalidFrame> {
        const HEAD_BYTES: usize = 9;
        if self.buffer.len() < HEAD_BYTES {
            return Ok(None);
        }
        let mut head = &self.buffer[1..HEAD_BYTES];
        let service = usize::from(head.get_u16());
        let signature_bytes = usize::from(head.get_u16());
        let body_bytes = head.get_u32() as usize;
        if body_bytes > MAX_REPLY_BYTES {
            return Err(InvalidFrame);
        }
        if self.buffer.len() < HEAD_BYTES + signature_bytes + body_bytes {
            return Ok(None);
        }
        self.buffer.advance(HEAD_BYTES);
        let signature = self.buffer.split_to(signature_bytes).freeze();
        let body = self.buffer.split_to(body_bytes).freeze();
        Ok(Some(Frame::Part {
            service,
            signature,
            body,
        }))
    }
}
