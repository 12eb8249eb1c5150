//! Readers and writers of the formats that the sender speaks: RESP2 with clients, HTTP/1.1 with endpoints and
//! the platform, and the JSON bodies of those calls.
//!
//! This module turns bytes into values and values into bytes. It opens no sockets and has no state of
//! the packets in progress.

pub mod call;
pub mod chunked;
pub mod discovery;
pub mod http;
pub mod json;
pub mod list_reader;
pub mod notice;
pub mod resp;

use std::time::Duration;

/// The largest body, in bytes, that is sent or accepted. Destination lists have a limit of their own.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// A packet as submitted by a client, independent of the client protocol. All slices borrow from the read
/// buffer.
#[derive(Debug, PartialEq)]
pub struct Put<'a> {
    pub id: &'a str,
    pub category: &'a str,
    pub customer: Option<&'a str>,
    /// How long the client waits for the packet's completion.
    pub patience: Duration,
    /// Idempotency key, passed on to the endpoint.
    pub idempotency_key: Option<&'a str>,
    pub destination: u64,
    /// Ordering key: in a category with ordered delivery, packets with the same key are delivered in order.
    pub order_key: Option<&'a str>,
    pub body: &'a [u8],
}

/// Result of parsing the start of a buffer.
///
/// `Ok(None)`: the input is incomplete. `Ok(Some((value, length)))`: a value was read from the first `length`
/// bytes. `Err`: the input is malformed; the text says why.
pub type ParseResult<T> = Result<Option<(T, usize)>, &'static str>;

fn parse_result<T>(input: &[u8], result: nom::IResult<&[u8], T>, error: &'static str) -> ParseResult<T> {
    match result {
        Ok((rest, value)) => Ok(Some((value, input.len() - rest.len()))),
        Err(nom::Err::Incomplete(_)) => Ok(None),
        Err(nom::Err::Failure(_)) => Err("too large"),
        Err(nom::Err::Error(_)) => Err(error),
    }
}

/// Fails a parser with the error that [`parse_result`] reports as "too large".
fn too_large<T>(input: &[u8]) -> nom::IResult<&[u8], T> {
    Err(nom::Err::Failure(nom::error::Error::new(input, nom::error::ErrorKind::TooLarge)))
}

/// The text, if it can be put into a header or a JSON string without escaping: 1 to 128 printable ASCII
/// characters, no quotes, backslashes or spaces.
fn unescaped_text(text: &[u8]) -> Option<&str> {
    let is_allowed = |b: &u8| b.is_ascii_graphic() && !matches!(b, b'"' | b'\\');
    let length_ok = !text.is_empty() && text.len() <= 128;
    std::str::from_utf8(text).ok().filter(|text| length_ok && text.as_bytes().iter().all(is_allowed))
}
