//! Parsers for the framing of the chunked transfer coding (RFC 9112, section 7.1). They leave the bytes of
//! the chunks to the caller, as a single chunk may be as large as the whole body.

use nom::Parser;
use nom::bytes::streaming::{take_till, take_while_m_n};
use nom::character::streaming::crlf;
use nom::sequence::terminated;

use super::http::MAX_HEAD_BYTES;
use super::{ParseResult, parse_result};

/// The error for every kind of malformed framing.
const MALFORMED: &str = "expected a chunk";

/// Parses the line before a chunk and returns the chunk's size in bytes. Size 0 marks the last chunk;
/// trailers follow it.
pub fn size(input: &[u8]) -> ParseResult<usize> {
    let digits = take_while_m_n(1, 7, |byte: u8| byte.is_ascii_hexdigit());
    let number = digits.map(|digits: &[u8]| digits.iter().fold(0, |sum, digit| sum * 16 + hex_value(*digit)));
    let extension = take_till(|byte| byte == b'\r' || byte == b'\n');
    limit_length(input, terminated(number, (extension, crlf)).parse(input))
}

/// Parses the line end after a chunk.
pub fn end(input: &[u8]) -> ParseResult<()> {
    limit_length(input, crlf.map(|_: &[u8]| ()).parse(input))
}

/// Parses a line after the last chunk. Returns `true` for the empty line that ends the body.
pub fn trailer(input: &[u8]) -> ParseResult<bool> {
    let line = take_till(|byte| byte == b'\r' || byte == b'\n');
    limit_length(input, terminated(line, crlf).map(|line: &[u8]| line.is_empty()).parse(input))
}

/// Rejects a line that is still incomplete after [`MAX_HEAD_BYTES`].
fn limit_length<T>(input: &[u8], result: nom::IResult<&[u8], T>) -> ParseResult<T> {
    match parse_result(input, result, MALFORMED) {
        Ok(None) if input.len() > MAX_HEAD_BYTES => Err("too large"),
        result => result,
    }
}

fn hex_value(digit: u8) -> usize {
    char::from(digit).to_digit(16).unwrap_or_default() as usize
}
