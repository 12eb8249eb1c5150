//! The server side of RESP2: parses the commands of clients and writes replies.

use std::time::Duration;

use nom::bytes::streaming::{take, take_while_m_n};
use nom::character::streaming::{char, crlf};
use nom::sequence::{delimited, terminated};
use nom::{IResult, Parser};

use super::{MAX_BODY_BYTES, ParseResult, Put, parse_result, too_large, unescaped_text};

/// The most arguments that a command may have, its name included.
const MAX_ARGUMENTS: usize = 8;
/// The most names and values that a submission may have.
const MAX_FIELDS: usize = 64;
/// The longest patience that a client may request; a longer one is rejected.
const MAX_PATIENCE: Duration = Duration::from_secs(24 * 3600);
/// The largest command, in bytes: a body of [`MAX_BODY_BYTES`] and the arguments before it.
pub const MAX_COMMAND_BYTES: usize = MAX_BODY_BYTES + 4096;

/// A complete command of a client.
#[derive(Debug, PartialEq)]
pub enum Command<'a> {
    /// PING, with the argument to echo if there is one.
    Ping(Option<&'a [u8]>),
    /// MSG.PUT: the submission of a packet.
    Put(Put<'a>),
    /// A complete command with malformed arguments; the text says what is wrong.
    Malformed(&'static str),
    /// A well-formed command that this server does not implement. Client libraries send some of these to
    /// every server.
    Unknown,
}

/// Parses one command: a RESP array of bulk strings.
pub fn parse_command(input: &[u8]) -> ParseResult<Command<'_>> {
    parse_result(input, arguments(input), "expected an array of bulk strings")
        .map(|read| read.map(|(arguments, used)| (command_from_arguments(&arguments), used)))
}

/// The least number of bytes that an incomplete command still lacks.
pub fn missing_bytes(input: &[u8]) -> usize {
    match arguments(input) {
        Err(nom::Err::Incomplete(nom::Needed::Size(missing))) => missing.get(),
        _ => 1,
    }
}

fn arguments(input: &[u8]) -> IResult<&[u8], Vec<&[u8]>> {
    let (mut rest, count) = length_line(input, '*')?;
    if count > MAX_ARGUMENTS {
        return too_large(input);
    }
    let mut arguments = Vec::with_capacity(count);
    for _ in 0..count {
        let (after, size) = length_line(rest, '$')?;
        if size > MAX_BODY_BYTES {
            return too_large(rest);
        }
        let (after, argument) = terminated(take(size), crlf).parse(after)?;
        arguments.push(argument);
        rest = after;
    }
    Ok((rest, arguments))
}

/// Parses a line of a type character and a decimal length.
fn length_line(input: &[u8], type_char: char) -> IResult<&[u8], usize> {
    let digits = take_while_m_n(1, 9, |b: u8| b.is_ascii_digit());
    let (rest, digits): (_, &[u8]) = delimited(char(type_char), digits, crlf).parse(input)?;
    Ok((rest, digits.iter().fold(0, |sum, digit| sum * 10 + usize::from(digit - b'0'))))
}

fn command_from_arguments<'a>(arguments: &[&'a [u8]]) -> Command<'a> {
    match arguments {
        [name] if name.eq_ignore_ascii_case(b"PING") => Command::Ping(None),
        [name, echo] if name.eq_ignore_ascii_case(b"PING") => Command::Ping(Some(echo)),
        [name, order_key, id, fields, body] if name.eq_ignore_ascii_case(b"MSG.PUT") => {
            parse_put(order_key, id, fields, body).map_or_else(Command::Malformed, Command::Put)
        }
        [name, ..] if name.eq_ignore_ascii_case(b"MSG.PUT") => {
            Command::Malformed("wrong number of arguments")
        }
        _ => Command::Unknown,
    }
}

/// The arguments of MSG.PUT. `fields` is a list of `name=value`, separated by commas.
fn parse_put<'a>(
    order_key: &'a [u8],
    id: &'a [u8],
    fields: &'a [u8],
    body: &'a [u8],
) -> Result<Put<'a>, &'static str> {
    let order_key = unescaped_text(order_key).ok_or("bad key")?;
    let id = unescaped_text(id).ok_or("bad id")?;
    let (mut category, mut customer, mut patience) = (None, None, None);
    let (mut idempotency_key, mut destination) = (None, None);
    for (number, field) in fields.split(|b| *b == b',').enumerate() {
        if number >= MAX_FIELDS {
            return Err("too many names and values");
        }
        let field = unescaped_text(field).ok_or("bad list of names and values")?;
        let (name, value) = field.split_once('=').ok_or("bad list of names and values")?;
        match name {
            "c" => category = Some(value),
            "t" => customer = Some(value),
            "d" => patience = value.parse().ok().and_then(patience_from_ms),
            "k" => idempotency_key = Some(value),
            "dest" => destination = value.parse().ok(),
            _ => {} // `r`, which marks a resubmission, and fields of later protocol versions
        }
    }
    Ok(Put {
        id,
        category: category.ok_or("expected c")?,
        customer,
        patience: patience.ok_or("expected d, in milliseconds")?,
        idempotency_key,
        destination: destination.ok_or("expected dest, a number")?,
        // A key of zeros means that the packet has no ordering key.
        order_key: Some(order_key).filter(|key| key.bytes().any(|digit| digit != b'0')),
        body,
    })
}

fn patience_from_ms(ms: f64) -> Option<Duration> {
    Duration::try_from_secs_f64(ms / 1000.0).ok().filter(|patience| *patience <= MAX_PATIENCE)
}

/// The reply to an accepted packet.
pub const ACCEPTED: &[u8] = b"+OK\r\n";

/// The reply to PING.
pub fn pong(echo: Option<&[u8]>) -> Vec<u8> {
    let Some(echo) = echo else { return b"+PONG\r\n".to_vec() };
    [format!("${}\r\n", echo.len()).as_bytes(), echo, b"\r\n"].concat()
}

/// The reply to a dismissed packet, with the requested wait before it is submitted again, in milliseconds.
pub fn busy(retry_after: Option<Duration>) -> Vec<u8> {
    match retry_after.map(|wait| wait.as_millis()) {
        Some(ms @ 1..) => format!("-BUSY {ms}\r\n").into_bytes(),
        _ => b"-BUSY\r\n".to_vec(),
    }
}

/// An error reply. `message` must not contain a line end.
pub fn error(message: &str) -> Vec<u8> {
    format!("-ERR {message}\r\n").into_bytes()
}
