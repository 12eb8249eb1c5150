//! What is spoken on the wire: bytes read into values, values written as bytes. No sockets, no state.

pub mod call;
pub mod chunked;
pub mod discovery;
pub mod http;
pub mod json;
pub mod list_reader;
pub mod notice;
pub mod resp;

use std::time::Duration;

/// The largest body that any party may send.
pub const MOST_BODY: usize = 64 * 1024;

/// What a client hands in, whatever it speaks, as slices of the buffer it was read into.
#[derive(Debug, PartialEq)]
pub struct Put<'a> {
    pub id: &'a str,
    pub category: &'a str,
    pub customer: Option<&'a str>,
    pub patience: Duration,
    pub mark: Option<&'a str>,
    pub destination: u64,
    pub about: Option<&'a str>,
    pub body: &'a [u8],
}

/// How a reader found its input: `Ok(None)` wants more bytes, `Ok(Some)` tells what was read and how many bytes
/// it took, `Err` says in plain words what is wrong.
pub type Reading<T> = Result<Option<(T, usize)>, &'static str>;

fn reading<T>(input: &[u8], result: nom::IResult<&[u8], T>, fault: &'static str) -> Reading<T> {
    match result {
        Ok((rest, value)) => Ok(Some((value, input.len() - rest.len()))),
        Err(nom::Err::Incomplete(_)) => Ok(None),
        Err(nom::Err::Failure(_)) => Err("too large"),
        Err(nom::Err::Error(_)) => Err(fault),
    }
}

fn too_large<T>(input: &[u8]) -> nom::IResult<&[u8], T> {
    Err(nom::Err::Failure(nom::error::Error::new(input, nom::error::ErrorKind::TooLarge)))
}

/// Fit to stand in a header or a JSON string as it is.
fn plain(word: &[u8]) -> Option<&str> {
    let fit = |b: &u8| b.is_ascii_graphic() && !matches!(b, b'"' | b'\\');
    let short = !word.is_empty() && word.len() <= 128;
    std::str::from_utf8(word).ok().filter(|word| short && word.as_bytes().iter().all(fit))
}
