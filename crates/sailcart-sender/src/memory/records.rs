//! What stands in the journal of each packet, as keys and values of the store: the packet, how far its dispatches
//! have come, a notice owed, and the id of one that is over.

use std::time::Duration;

use nom::combinator::{all_consuming, cond};
use nom::multi::length_data;
use nom::number::complete::{be_u8, be_u32, be_u64};
use nom::{IResult, Parser};
use sailcart::{DestinationId, PacketId};

use super::moment::{BootId, Moment, Uptime};
use super::{Notice, Packet, Stand};

/// What a key is about; keys of one form stand together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Form {
    Packet = 1,
    Stand = 2,
    Owed = 3,
    Over = 4,
}

pub type Key = [u8; 9];

/// The first byte of values that hold moments. Those of the format before had the wall clock alone and began with a zero: the first of a
/// time in microseconds, or of a small number.
const FORMAT: u8 = 3;

pub fn key(form: Form, id: PacketId) -> Key {
    let mut key = [form as u8; 9];
    key[1..].copy_from_slice(&id.0.to_be_bytes());
    key
}

/// A record as it was read.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    Packet(Packet),
    Stand(PacketId, Stand),
    Owed(PacketId, Box<str>, Notice),
    /// Over, and what its client was told at once where it was not taken on.
    Over(PacketId, Box<str>, Option<Notice>),
}

/// `None` for what this version does not write.
pub fn read(key: &[u8], value: &[u8]) -> Option<Record> {
    let (_, (form, id)) =
        all_consuming((be_u8::<_, nom::error::Error<_>>, be_u64.map(PacketId))).parse(key).ok()?;
    let read = match form {
        1 => all_consuming(|input| packet(id, input)).map(Record::Packet).parse(value),
        2 => all_consuming(stand).map(|stand| Record::Stand(id, stand)).parse(value),
        3 => all_consuming((word, notice)).map(|(name, notice)| Record::Owed(id, name, notice)).parse(value),
        4 => {
            let told = (be_u8, notice).map(|(told, notice)| (told == 1).then_some(notice));
            all_consuming((word, told)).map(|(name, told)| Record::Over(id, name, told)).parse(value)
        }
        _ => return None,
    };
    read.ok().map(|(_, record)| record)
}

pub fn write_packet(packet: &Packet) -> Vec<u8> {
    let mut out = Vec::with_capacity(packet.body.len() + 160);
    out.push(FORMAT);
    put_moment(&mut out, packet.ends);
    number(&mut out, packet.destination.0);
    bytes(&mut out, packet.id.as_bytes());
    bytes(&mut out, packet.category.as_bytes());
    for word in [&packet.customer, &packet.mark, &packet.about] {
        out.push(word.is_some().into());
        if let Some(word) = word {
            bytes(&mut out, word.as_bytes());
        }
    }
    bytes(&mut out, &packet.body);
    out
}

pub fn write_stand(stand: &Stand) -> Vec<u8> {
    let mut out = vec![FORMAT];
    out.extend(stand.dispatches.to_be_bytes());
    for moment in [stand.doubt, stand.out] {
        out.push(moment.is_some().into());
        if let Some(moment) = moment {
            put_moment(&mut out, moment);
        }
    }
    out
}

pub fn write_owed(name: &str, notice: &Notice) -> Vec<u8> {
    let mut out = Vec::new();
    bytes(&mut out, name.as_bytes());
    put_notice(&mut out, notice);
    out
}

pub fn write_over(name: &str, told: Option<&Notice>) -> Vec<u8> {
    let mut out = Vec::new();
    bytes(&mut out, name.as_bytes());
    out.push(told.is_some().into());
    put_notice(&mut out, told.unwrap_or(&Notice::Scrapped));
    out
}

fn put_notice(out: &mut Vec<u8>, notice: &Notice) {
    let (scrapped, wait) = match notice {
        Notice::Dismissed(wait) => (false, *wait),
        Notice::Scrapped => (true, None),
    };
    out.push(scrapped.into());
    maybe_span(out, wait);
}

fn number(out: &mut Vec<u8>, number: u64) {
    out.extend(number.to_be_bytes());
}

fn bytes(out: &mut Vec<u8>, bytes: &[u8]) {
    out.extend((bytes.len() as u32).to_be_bytes());
    out.extend(bytes);
}

fn maybe_span(out: &mut Vec<u8>, span: Option<Duration>) {
    out.push(span.is_some().into());
    if let Some(span) = span {
        number(out, micros(span));
    }
}

fn put_moment(out: &mut Vec<u8>, moment: Moment) {
    number(out, micros(moment.unix));
    out.push(moment.uptime.is_some().into());
    if let Some(Uptime { boot, since }) = moment.uptime {
        number(out, boot.0);
        number(out, micros(since));
    }
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

/// A packet's value. The journal of format 1 has the same after a number.
pub fn packet(number: PacketId, input: &[u8]) -> IResult<&[u8], Packet> {
    let (rest, moments) = moments(input)?;
    let (rest, ends) = moments.read(rest)?;
    let (rest, (destination, id, category)) = (be_u64.map(DestinationId), word, word).parse(rest)?;
    let (rest, (customer, mark, about)) = (maybe_word, maybe_word, maybe_word).parse(rest)?;
    let (rest, body) = length_data(be_u32).parse(rest)?;
    let body = body.into();
    Ok((rest, Packet { number, id, category, customer, mark, about, destination, ends, body }))
}

pub fn stand(input: &[u8]) -> IResult<&[u8], Stand> {
    let (rest, moments) = moments(input)?;
    let maybe = |input| maybe(input, |rest| moments.read(rest));
    let (rest, (dispatches, doubt, out)) = (be_u32, maybe, maybe).parse(rest)?;
    Ok((rest, Stand { dispatches, doubt, out }))
}

/// How a value holds its moments.
#[derive(Clone, Copy)]
enum Moments {
    /// By the wall clock alone, as up to format 2.
    Wall,
    Both,
}

fn moments(input: &[u8]) -> IResult<&[u8], Moments> {
    let (rest, first) = be_u8(input)?;
    Ok(if first == FORMAT { (rest, Moments::Both) } else { (input, Moments::Wall) })
}

impl Moments {
    fn read(self, input: &[u8]) -> IResult<&[u8], Moment> {
        let (rest, unix) = a_span(input)?;
        match self {
            Moments::Wall => Ok((rest, Moment::by_wall_clock(unix))),
            Moments::Both => {
                let (rest, uptime) = maybe(rest, uptime)?;
                Ok((rest, Moment { unix, uptime }))
            }
        }
    }
}

fn uptime(input: &[u8]) -> IResult<&[u8], Uptime> {
    (be_u64.map(BootId), a_span).map(|(boot, since)| Uptime { boot, since }).parse(input)
}

/// A value behind a byte that tells whether it is there.
fn maybe<'a, T>(
    input: &'a [u8],
    read: impl Fn(&'a [u8]) -> IResult<&'a [u8], T>,
) -> IResult<&'a [u8], Option<T>> {
    let (rest, there) = be_u8(input)?;
    cond(there == 1, read).parse(rest)
}

pub fn notice(input: &[u8]) -> IResult<&[u8], Notice> {
    let (rest, (scrapped, wait)) = (be_u8, a_maybe_span).parse(input)?;
    Ok((rest, if scrapped == 1 { Notice::Scrapped } else { Notice::Dismissed(wait) }))
}

pub fn word(input: &[u8]) -> IResult<&[u8], Box<str>> {
    length_data(be_u32).map_opt(|bytes| std::str::from_utf8(bytes).ok().map(Box::from)).parse(input)
}

fn maybe_word(input: &[u8]) -> IResult<&[u8], Option<Box<str>>> {
    maybe(input, word)
}

fn a_span(input: &[u8]) -> IResult<&[u8], Duration> {
    be_u64.map(Duration::from_micros).parse(input)
}

fn a_maybe_span(input: &[u8]) -> IResult<&[u8], Option<Duration>> {
    maybe(input, a_span)
}
