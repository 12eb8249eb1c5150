//! The frame around the chunks of a body (RFC 9112, section 7.1). The bytes of a chunk are the caller's: one chunk may be as
//! large as the whole body.

use nom::Parser;
use nom::bytes::streaming::{take_till, take_while_m_n};
use nom::character::streaming::crlf;
use nom::sequence::terminated;

use super::http::MOST_HEAD;
use super::{Reading, reading};

/// What every fault here is called.
const FAULT: &str = "expected a chunk";

/// The line before a chunk: how many bytes the chunk has. None marks the last one, and trailers follow.
pub fn size(input: &[u8]) -> Reading<usize> {
    let digits = take_while_m_n(1, 7, |byte: u8| byte.is_ascii_hexdigit());
    let number = digits.map(|digits: &[u8]| digits.iter().fold(0, |sum, digit| sum * 16 + hex(*digit)));
    let extension = take_till(|byte| byte == b'\r' || byte == b'\n');
    bounded(input, terminated(number, (extension, crlf)).parse(input))
}

/// The end of line after a chunk.
pub fn end(input: &[u8]) -> Reading<()> {
    bounded(input, crlf.map(|_: &[u8]| ()).parse(input))
}

/// A line after the last chunk; whether it is the empty one that ends the body.
pub fn trailer(input: &[u8]) -> Reading<bool> {
    let line = take_till(|byte| byte == b'\r' || byte == b'\n');
    bounded(input, terminated(line, crlf).map(|line: &[u8]| line.is_empty()).parse(input))
}

fn bounded<T>(input: &[u8], read: nom::IResult<&[u8], T>) -> Reading<T> {
    match reading(input, read, FAULT) {
        Ok(None) if input.len() > MOST_HEAD => Err("too large"),
        read => read,
    }
}

fn hex(digit: u8) -> usize {
    char::from(digit).to_digit(16).unwrap_or_default() as usize
}
