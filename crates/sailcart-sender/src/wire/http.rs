//! HTTP/1.1 as a caller speaks it: calls out, answers in.

use std::time::Duration;

use nom::branch::alt;
use nom::bytes::streaming::{tag, take_till, take_while_m_n, take_while1};
use nom::character::streaming::{char, crlf, satisfy};
use nom::combinator::{not, opt, peek};
use nom::error::{Error, ErrorKind};
use nom::sequence::{preceded, terminated};
use nom::{IResult, Parser};

use super::{Reading, reading};

/// A head's bytes at most.
pub const MOST_HEAD: usize = 16 * 1024;

/// How the end of a body is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Extent {
    Length(usize),
    Chunks,
    /// Until the connection ends.
    Rest,
    /// Told in a way that cannot be read.
    Unreadable,
}

#[derive(Debug, PartialEq)]
pub struct Head {
    pub status: u16,
    pub extent: Extent,
    /// The connection ends after this answer.
    pub close: bool,
    pub retry_after: Option<Duration>,
    pub line_busy: bool,
    /// What it tells of the endpoint's load, as written.
    pub report: Option<String>,
}

pub fn get(host: &str, path: &str) -> Vec<u8> {
    format!("GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n").into_bytes()
}

/// `headers` are whole lines, each with its end.
pub fn post(host: &str, path: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let length = body.len();
    let head = format!("POST {path} HTTP/1.1\r\nHost: {host}\r\n{headers}Content-Length: {length}\r\n\r\n");
    [head.as_bytes(), body].concat()
}

/// The status of an answer, by its first line alone: what follows may be spoilt.
pub fn status(input: &[u8]) -> Reading<u16> {
    let end = (opt(preceded(char(' '), take_till(|b| b == b'\n'))), opt(char('\r')), char('\n'));
    let read = (start, end).map(|((_, status), _)| status).parse(input);
    match reading(input, read, "expected an HTTP answer") {
        Ok(None) if input.len() > MOST_HEAD => Err("too large"),
        read => read,
    }
}

pub fn head(input: &[u8]) -> Reading<Head> {
    let read = reading(input, lines(input), "expected the head of an HTTP answer");
    match read {
        Ok(None) if input.len() > MOST_HEAD => Err("too large"),
        read => read,
    }
}

fn lines(input: &[u8]) -> IResult<&[u8], Head> {
    let (mut rest, ((minor, status), _)) = (start, terminated(text, crlf)).parse(input)?;
    let bare = status == 204 || status == 304 || status < 200;
    let extent = if bare { Extent::Length(0) } else { Extent::Rest };
    let mut head =
        Head { status, extent, close: minor == '0', retry_after: None, line_busy: false, report: None };
    loop {
        // Half an end of line may be the end of the head yet.
        match crlf::<_, Error<_>>(rest) {
            Ok((rest, _)) => {
                head.close |= head.extent == Extent::Rest;
                return Ok((rest, head));
            }
            Err(nom::Err::Incomplete(needed)) => return Err(nom::Err::Incomplete(needed)),
            Err(_) => {}
        }
        let name = take_while1(|b: u8| b.is_ascii_graphic() && b != b':');
        let (after, (name, value)) = (terminated(name, char(':')), terminated(text, crlf)).parse(rest)?;
        let value = std::str::from_utf8(value).unwrap_or_default().trim();
        note(&mut head, name, value, bare);
        rest = after;
    }
}

/// Minor version and status.
fn start(input: &[u8]) -> IResult<&[u8], (char, u16)> {
    let minor = alt((char('0'), char('1')));
    let code = take_while_m_n(3, 3, |b: u8| b.is_ascii_digit());
    let (rest, (minor, code)) = (preceded(tag("HTTP/1."), minor), preceded(char(' '), code)).parse(input)?;
    let status = code.iter().fold(0, |sum, digit| sum * 10 + u16::from(digit - b'0'));
    // A longer number is no status, and neither is one below those for a moment.
    let (_, ()) = peek(not(satisfy(|c| c.is_ascii_graphic()))).parse(rest)?;
    if status < 100 {
        Err(nom::Err::Error(Error::new(input, ErrorKind::Verify)))
    } else {
        Ok((rest, (minor, status)))
    }
}

fn text(input: &[u8]) -> IResult<&[u8], &[u8]> {
    take_till(|b| b == b'\r' || b == b'\n')(input)
}

fn note(head: &mut Head, name: &[u8], value: &str, bare: bool) {
    let is = |other: &str| name.eq_ignore_ascii_case(other.as_bytes());
    if is("Content-Length") && !bare && head.extent != Extent::Chunks {
        let length = Some(value).filter(|value| value.bytes().all(|b| b.is_ascii_digit()));
        let length = length.and_then(|value| value.parse().ok());
        // Two that differ are as good as none.
        let same = |length: &usize| [Extent::Rest, Extent::Length(*length)].contains(&head.extent);
        head.extent = length.filter(same).map_or(Extent::Unreadable, Extent::Length);
    } else if is("Transfer-Encoding") && !bare && value.to_ascii_lowercase().ends_with("chunked") {
        head.extent = Extent::Chunks;
    } else if is("Connection") {
        head.close |= value.split(',').any(|word| word.trim().eq_ignore_ascii_case("close"));
    } else if is("Retry-After") {
        let seconds = value.parse().ok();
        head.retry_after = seconds.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
    } else if is("X-Line-Busy") {
        head.line_busy = value == "1";
    } else if is("X-Load-Report") {
        head.report = Some(value.to_owned());
    }
}
