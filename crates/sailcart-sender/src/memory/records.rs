//! Encodes and decodes the journal's records as keys and values of the store: a packet, its dispatch state, a
//! pending notice, and the id of a completed packet.

use std::time::Duration;

use nom::combinator::{all_consuming, cond};
use nom::multi::length_data;
use nom::number::complete::{be_u8, be_u32, be_u64};
use nom::{IResult, Parser};
use sailcart::{DestinationId, PacketId};

use super::moment::{BootId, Moment, Uptime};
use super::{DispatchState, Notice, Packet};

/// The first byte of a key. The store lists records ordered by kind, then by packet number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RecordKind {
    Packet = 1,
    DispatchState = 2,
    PendingNotice = 3,
    Completed = 4,
}

/// The record kind, then the packet number in big-endian order.
pub type Key = [u8; 9];

/// The first byte of values that contain moments. Values of format 2 have no such byte: they contain the wall
/// clock time alone and begin with a zero, the high byte of a time in microseconds or of a small number.
const FORMAT: u8 = 3;

/// The key of a packet's record of this kind.
pub fn key(kind: RecordKind, number: PacketId) -> Key {
    let mut key = [kind as u8; 9];
    key[1..].copy_from_slice(&number.0.to_be_bytes());
    key
}

/// A decoded record.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    Packet(Packet),
    DispatchState(PacketId, DispatchState),
    PendingNotice(PacketId, Box<str>, Notice),
    /// A completed packet with its id, and the notice that its client received in place of an acceptance,
    /// if any.
    Completed(PacketId, Box<str>, Option<Notice>),
}

/// Decodes a record; `None` if it is malformed or of a kind that this version does not write.
pub fn decode(key: &[u8], value: &[u8]) -> Option<Record> {
    let (_, (kind, number)) =
        all_consuming((be_u8::<_, nom::error::Error<_>>, be_u64.map(PacketId))).parse(key).ok()?;
    let decoded = match kind {
        1 => all_consuming(|input| packet(number, input)).map(Record::Packet).parse(value),
        2 => all_consuming(dispatch_state).map(|state| Record::DispatchState(number, state)).parse(value),
        3 => all_consuming((string, notice))
            .map(|(id, notice)| Record::PendingNotice(number, id, notice))
            .parse(value),
        4 => {
            let rejection = (be_u8, notice).map(|(present, notice)| (present == 1).then_some(notice));
            all_consuming((string, rejection))
                .map(|(id, rejection)| Record::Completed(number, id, rejection))
                .parse(value)
        }
        _ => return None,
    };
    decoded.ok().map(|(_, record)| record)
}

/// Encodes the value of a packet's record.
pub fn encode_packet(packet: &Packet) -> Vec<u8> {
    let mut out = Vec::with_capacity(packet.body.len() + 160);
    out.push(FORMAT);
    put_moment(&mut out, packet.deadline);
    put_u64(&mut out, packet.destination.0);
    put_bytes(&mut out, packet.id.as_bytes());
    put_bytes(&mut out, packet.category.as_bytes());
    for optional in [&packet.customer, &packet.idempotency_key, &packet.order_key] {
        out.push(optional.is_some().into());
        if let Some(optional) = optional {
            put_bytes(&mut out, optional.as_bytes());
        }
    }
    put_bytes(&mut out, &packet.body);
    out
}

/// Encodes the value of a dispatch state's record.
pub fn encode_dispatch_state(state: &DispatchState) -> Vec<u8> {
    let mut out = vec![FORMAT];
    out.extend(state.dispatches.to_be_bytes());
    for moment in [state.possibly_executed_at, state.in_flight_since] {
        out.push(moment.is_some().into());
        if let Some(moment) = moment {
            put_moment(&mut out, moment);
        }
    }
    out
}

/// Encodes the value of a pending notice's record; `id` is the id that the client chose.
pub fn encode_pending_notice(id: &str, notice: &Notice) -> Vec<u8> {
    let mut out = Vec::new();
    put_bytes(&mut out, id.as_bytes());
    put_notice(&mut out, notice);
    out
}

/// Encodes the value of a completed packet's record; `id` is the id that the client chose. Without a
/// rejection the value contains a placeholder in its place.
pub fn encode_completed(id: &str, rejection: Option<&Notice>) -> Vec<u8> {
    let mut out = Vec::new();
    put_bytes(&mut out, id.as_bytes());
    out.push(rejection.is_some().into());
    put_notice(&mut out, rejection.unwrap_or(&Notice::Scrapped));
    out
}

fn put_notice(out: &mut Vec<u8>, notice: &Notice) {
    let (scrapped, wait) = match notice {
        Notice::Dismissed(wait) => (false, *wait),
        Notice::Scrapped => (true, None),
    };
    out.push(scrapped.into());
    put_optional_duration(out, wait);
}

fn put_u64(out: &mut Vec<u8>, value: u64) {
    out.extend(value.to_be_bytes());
}

fn put_bytes(out: &mut Vec<u8>, bytes: &[u8]) {
    out.extend((bytes.len() as u32).to_be_bytes());
    out.extend(bytes);
}

fn put_optional_duration(out: &mut Vec<u8>, duration: Option<Duration>) {
    out.push(duration.is_some().into());
    if let Some(duration) = duration {
        put_u64(out, micros(duration));
    }
}

fn put_moment(out: &mut Vec<u8>, moment: Moment) {
    put_u64(out, micros(moment.unix));
    out.push(moment.uptime.is_some().into());
    if let Some(Uptime { boot, since_boot }) = moment.uptime {
        put_u64(out, boot.0);
        put_u64(out, micros(since_boot));
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

/// Parses the value of a packet's record. In the format 1 journal the same bytes follow the packet number.
pub fn packet(number: PacketId, input: &[u8]) -> IResult<&[u8], Packet> {
    let (rest, encoding) = moment_encoding(input)?;
    let (rest, deadline) = encoding.moment(rest)?;
    let (rest, (destination, id, category)) = (be_u64.map(DestinationId), string, string).parse(rest)?;
    let (rest, (customer, idempotency_key, order_key)) =
        (optional_string, optional_string, optional_string).parse(rest)?;
    let (rest, body) = length_data(be_u32).parse(rest)?;
    let body = body.into();
    Ok((
        rest,
        Packet { number, id, category, customer, idempotency_key, order_key, destination, deadline, body },
    ))
}

/// Parses the value of a dispatch state's record.
pub fn dispatch_state(input: &[u8]) -> IResult<&[u8], DispatchState> {
    let (rest, encoding) = moment_encoding(input)?;
    let optional_moment = |input| optional(input, |rest| encoding.moment(rest));
    let (rest, (dispatches, possibly_executed_at, in_flight_since)) =
        (be_u32, optional_moment, optional_moment).parse(rest)?;
    Ok((rest, DispatchState { dispatches, possibly_executed_at, in_flight_since }))
}

/// How a value encodes its moments.
#[derive(Clone, Copy)]
enum MomentEncoding {
    /// Up to format 2.
    WallClockOnly,
    BothClocks,
}

fn moment_encoding(input: &[u8]) -> IResult<&[u8], MomentEncoding> {
    let (rest, first) = be_u8(input)?;
    Ok(if first == FORMAT {
        (rest, MomentEncoding::BothClocks)
    } else {
        (input, MomentEncoding::WallClockOnly)
    })
}

impl MomentEncoding {
    fn moment(self, input: &[u8]) -> IResult<&[u8], Moment> {
        let (rest, unix) = duration(input)?;
        match self {
            MomentEncoding::WallClockOnly => Ok((rest, Moment::by_wall_clock(unix))),
            MomentEncoding::BothClocks => {
                let (rest, uptime) = optional(rest, uptime)?;
                Ok((rest, Moment { unix, uptime }))
            }
        }
    }
}

fn uptime(input: &[u8]) -> IResult<&[u8], Uptime> {
    (be_u64.map(BootId), duration).map(|(boot, since_boot)| Uptime { boot, since_boot }).parse(input)
}

/// Parses a value that is preceded by a presence byte.
fn optional<'a, T>(
    input: &'a [u8],
    parse: impl Fn(&'a [u8]) -> IResult<&'a [u8], T>,
) -> IResult<&'a [u8], Option<T>> {
    let (rest, present) = be_u8(input)?;
    cond(present == 1, parse).parse(rest)
}

/// Parses a notice.
pub fn notice(input: &[u8]) -> IResult<&[u8], Notice> {
    let (rest, (scrapped, wait)) = (be_u8, optional_duration).parse(input)?;
    Ok((rest, if scrapped == 1 { Notice::Scrapped } else { Notice::Dismissed(wait) }))
}

/// Parses a UTF-8 string that is preceded by its length in bytes.
pub fn string(input: &[u8]) -> IResult<&[u8], Box<str>> {
    length_data(be_u32).map_opt(|bytes| std::str::from_utf8(bytes).ok().map(Box::from)).parse(input)
}

fn optional_string(input: &[u8]) -> IResult<&[u8], Option<Box<str>>> {
    optional(input, string)
}

fn duration(input: &[u8]) -> IResult<&[u8], Duration> {
    be_u64.map(Duration::from_micros).parse(input)
}

fn optional_duration(input: &[u8]) -> IResult<&[u8], Option<Duration>> {
    optional(input, duration)
}
