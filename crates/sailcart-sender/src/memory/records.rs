//! What stands in the journal of each packet, as keys and values of the store: the packet, how far its dispatches
//! have come, a notice owed, and the id of one that is over.

use std::time::Duration;

use nom::combinator::{all_consuming, cond};
use nom::multi::length_data;
use nom::number::complete::{be_u8, be_u32, be_u64};
use nom::{IResult, Parser};
use sailcart::{DestinationId, PacketId};

use super::{Notice, Packet, Stand, Unix};

/// What a key is about; keys of one form stand together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Form {
    Packet = 1,
    Stand = 2,
    Owed = 3,
    Over = 4,
}

pub type Key = [u8; 9];

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
    let mut out = Vec::with_capacity(packet.body.len() + 128);
    number(&mut out, micros(packet.ends.0));
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
    let mut out = Vec::new();
    out.extend(stand.dispatches.to_be_bytes());
    maybe_span(&mut out, stand.doubt.map(|at| at.0));
    maybe_span(&mut out, stand.out.map(|at| at.0));
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

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

/// A packet's value. The journal of format 1 has the same after a number.
pub fn packet(number: PacketId, input: &[u8]) -> IResult<&[u8], Packet> {
    let (rest, (ends, destination, id, category)) =
        (a_span.map(Unix), be_u64.map(DestinationId), word, word).parse(input)?;
    let (rest, (customer, mark, about)) = (maybe_word, maybe_word, maybe_word).parse(rest)?;
    let (rest, body) = length_data(be_u32).parse(rest)?;
    let body = body.into();
    Ok((rest, Packet { number, id, category, customer, mark, about, destination, ends, body }))
}

pub fn stand(input: &[u8]) -> IResult<&[u8], Stand> {
    let (rest, (dispatches, doubt, out)) = (be_u32, a_maybe_span, a_maybe_span).parse(input)?;
    Ok((rest, Stand { dispatches, doubt: doubt.map(Unix), out: out.map(Unix) }))
}

pub fn notice(input: &[u8]) -> IResult<&[u8], Notice> {
    let (rest, (scrapped, wait)) = (be_u8, a_maybe_span).parse(input)?;
    Ok((rest, if scrapped == 1 { Notice::Scrapped } else { Notice::Dismissed(wait) }))
}

pub fn word(input: &[u8]) -> IResult<&[u8], Box<str>> {
    length_data(be_u32).map_opt(|bytes| std::str::from_utf8(bytes).ok().map(Box::from)).parse(input)
}

fn maybe_word(input: &[u8]) -> IResult<&[u8], Option<Box<str>>> {
    let (rest, there) = be_u8(input)?;
    cond(there == 1, word).parse(rest)
}

fn a_span(input: &[u8]) -> IResult<&[u8], Duration> {
    be_u64.map(Duration::from_micros).parse(input)
}

fn a_maybe_span(input: &[u8]) -> IResult<&[u8], Option<Duration>> {
    let (rest, there) = be_u8(input)?;
    cond(there == 1, a_span).parse(rest)
}
