//! The client side of HTTP/1.1: writes requests, parses status lines and heads of responses. Bodies are left
//! to the caller; [`chunked`](super::chunked) parses the framing of chunks.

use std::time::Duration;

use nom::branch::alt;
use nom::bytes::streaming::{tag, take_till, take_while_m_n, take_while1};
use nom::character::streaming::{char, crlf, satisfy};
use nom::combinator::{not, opt, peek};
use nom::error::{Error, ErrorKind};
use nom::sequence::{preceded, terminated};
use nom::{IResult, Parser};

use super::{ParseResult, parse_result};

/// The largest head of a response, in bytes.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;

/// How the length of a response's body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyLength {
    /// By `Content-Length`, in bytes.
    Known(usize),
    /// By the chunked transfer coding.
    Chunked,
    /// The body ends when the connection is closed.
    UntilClose,
    /// `Content-Length` is malformed, or occurs with different values.
    Invalid,
}

/// The head of a response, reduced to what the sender uses.
#[derive(Clone, Debug, PartialEq)]
pub struct Head {
    pub status: u16,
    pub body_length: BodyLength,
    /// The endpoint closes the connection after this response.
    pub close: bool,
    /// Retry-After wait. Fractions of a second are accepted; a negative or malformed value counts as none.
    pub retry_after: Option<Duration>,
    /// `X-Line-Busy: 1`: the endpoint had no free slot, so the call was not executed.
    pub line_busy: bool,
    /// The value of `X-Load-Report`.
    pub load_report: Option<String>,
}

/// A GET request without a body.
pub fn get(host: &str, path: &str) -> Vec<u8> {
    format!("GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n").into_bytes()
}

/// A POST request. `headers` are complete header lines, each ended by CRLF.
pub fn post(host: &str, path: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let length = body.len();
    let head = format!("POST {path} HTTP/1.1\r\nHost: {host}\r\n{headers}Content-Length: {length}\r\n\r\n");
    [head.as_bytes(), body].concat()
}

/// Parses the status line alone, as what follows it may be malformed. Returns the status.
pub fn status(input: &[u8]) -> ParseResult<u16> {
    let end = (opt(preceded(char(' '), take_till(|b| b == b'\n'))), opt(char('\r')), char('\n'));
    let result = (version_and_status, end).map(|((_, status), _)| status).parse(input);
    match parse_result(input, result, "expected an HTTP answer") {
        Ok(None) if input.len() > MAX_HEAD_BYTES => Err("too large"),
        result => result,
    }
}

/// Parses the head of a response, up to and including the empty line.
pub fn head(input: &[u8]) -> ParseResult<Head> {
    let result = parse_result(input, head_lines(input), "expected the head of an HTTP answer");
    match result {
        Ok(None) if input.len() > MAX_HEAD_BYTES => Err("too large"),
        result => result,
    }
}

fn head_lines(input: &[u8]) -> IResult<&[u8], Head> {
    let (mut rest, ((minor_version, status), _)) =
        (version_and_status, terminated(rest_of_line, crlf)).parse(input)?;
    let has_no_body = status == 204 || status == 304 || status < 200;
    let body_length = if has_no_body { BodyLength::Known(0) } else { BodyLength::UntilClose };
    let mut head = Head {
        status,
        body_length,
        close: minor_version == '0',
        retry_after: None,
        line_busy: false,
        load_report: None,
    };
    loop {
        // A CR at the end of the input may be the start of the empty line, so it asks for more input.
        match crlf::<_, Error<_>>(rest) {
            Ok((rest, _)) => {
                head.close |= head.body_length == BodyLength::UntilClose;
                return Ok((rest, head));
            }
            Err(nom::Err::Incomplete(needed)) => return Err(nom::Err::Incomplete(needed)),
            Err(_) => {}
        }
        let name = take_while1(|b: u8| b.is_ascii_graphic() && b != b':');
        let (after, (name, value)) =
            (terminated(name, char(':')), terminated(rest_of_line, crlf)).parse(rest)?;
        let value = std::str::from_utf8(value).unwrap_or_default().trim();
        apply_header(&mut head, name, value, has_no_body);
        rest = after;
    }
}

/// The digit of the minor version, and the status.
fn version_and_status(input: &[u8]) -> IResult<&[u8], (char, u16)> {
    let minor_version = alt((char('0'), char('1')));
    let digits = take_while_m_n(3, 3, |b: u8| b.is_ascii_digit());
    let (rest, (minor_version, digits)) =
        (preceded(tag("HTTP/1."), minor_version), preceded(char(' '), digits)).parse(input)?;
    let status = digits.iter().fold(0, |sum, digit| sum * 10 + u16::from(digit - b'0'));
    // Rejects numbers of more than three digits, and numbers below the informational statuses (1xx).
    let (_, ()) = peek(not(satisfy(|c| c.is_ascii_graphic()))).parse(rest)?;
    if status < 100 {
        Err(nom::Err::Error(Error::new(input, ErrorKind::Verify)))
    } else {
        Ok((rest, (minor_version, status)))
    }
}

fn rest_of_line(input: &[u8]) -> IResult<&[u8], &[u8]> {
    take_till(|b| b == b'\r' || b == b'\n')(input)
}

fn apply_header(head: &mut Head, name: &[u8], value: &str, has_no_body: bool) {
    let is_header = |other: &str| name.eq_ignore_ascii_case(other.as_bytes());
    if is_header("Content-Length") && !has_no_body && head.body_length != BodyLength::Chunked {
        let length = Some(value).filter(|value| value.bytes().all(|b| b.is_ascii_digit()));
        let length = length.and_then(|value| value.parse().ok());
        // Two lengths that differ count as no length (RFC 9112, section 6.3).
        let consistent =
            |length: &usize| [BodyLength::UntilClose, BodyLength::Known(*length)].contains(&head.body_length);
        head.body_length = length.filter(consistent).map_or(BodyLength::Invalid, BodyLength::Known);
    } else if is_header("Transfer-Encoding")
        && !has_no_body
        && value.to_ascii_lowercase().ends_with("chunked")
    {
        head.body_length = BodyLength::Chunked;
    } else if is_header("Connection") {
        head.close |= value.split(',').any(|option| option.trim().eq_ignore_ascii_case("close"));
    } else if is_header("Retry-After") {
        let seconds = value.parse().ok();
        head.retry_after = seconds.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
    } else if is_header("X-Line-Busy") {
        head.line_busy = value == "1";
    } else if is_header("X-Load-Report") {
        head.load_report = Some(value.to_owned());
    }
}
