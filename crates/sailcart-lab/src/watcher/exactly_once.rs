//! Rules 1 and 2: one end in time and nothing after it; no effect twice.

use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};
use std::time::Duration;

use sailcart::PacketId;

use super::{Call, CallId, End, Record, Rule, ms};
use crate::experiment::Repeat;
use crate::plan::{OriginId, SenderId};

/// A restart's grace: from its sender's being ready on.
const READY: Duration = Duration::from_millis(1500);

#[derive(Default)]
pub struct Single {
    /// Taken on and without an end, by the time at which one is overdue.
    owed: BTreeSet<(Duration, PacketId)>,
    /// The first time that a packet took effect, and on which handing in.
    ran: HashMap<OriginId, (Duration, PacketId)>,
    /// Deliveries of late, which their senders may not have read.
    delivered: VecDeque<(Duration, PacketId)>,
    /// Delivered by an answer that a sender's death crossed: its next life cannot know, and goes on. That no effect
    /// comes twice is watched all the same.
    unread: HashSet<PacketId>,
    /// Senders whose folder takes nothing: a delivery that they read is known to no next life.
    folder_fails: HashSet<SenderId>,
}

impl Single {
    pub fn taken(&mut self, record: &mut Record, packet: PacketId) {
        let (now, slack) = (record.now, record.rules.slack);
        let Some(kept) = record.packets.get_mut(&packet) else { return };
        kept.taken.get_or_insert(now);
        if kept.end.is_none() {
            self.owed.insert((kept.handed.ends + slack, packet));
        }
    }

    pub fn abandoned(&mut self, record: &mut Record, packet: PacketId) {
        let Some(kept) = record.packets.get_mut(&packet) else { return };
        kept.abandoned = true;
        self.owed.remove(&(kept.handed.ends + record.rules.slack, packet));
        if self.ran.get(&kept.handed.origin).is_some_and(|(_, by)| *by == packet) {
            self.ran.remove(&kept.handed.origin);
        }
    }

    pub fn ended(&mut self, record: &mut Record, packet: PacketId, end: End) {
        let (now, crossing) = (record.now, record.rules.crossing);
        let Some(kept) = record.packets.get_mut(&packet) else { return };
        let handed = kept.handed;
        // A dismissal that is told again says nothing new, whatever its client has done since the first.
        let told_again = matches!(kept.end, Some((_, before)) if before == end);
        match kept.end {
            None => {
                let unknown =
                    record.down.contains(&handed.sender) || self.folder_fails.contains(&handed.sender);
                if end == End::Done && unknown {
                    self.unread.insert(packet);
                } else if end == End::Done {
                    self.delivered.push_back((now, packet));
                }
                kept.end = Some((now, end));
                self.owed.remove(&(handed.ends + record.rules.slack, packet));
            }
            // An end that crossed the answer on its way, and the same end told again, do no harm.
            Some((_, before)) if before == end => {}
            Some((at, End::Done)) if now <= at + crossing || self.unread.contains(&packet) => {}
            Some((at, before)) => {
                let events = vec![
                    format!("handed in to sender {}", handed.sender.0),
                    format!("{}: ended as {before:?}", ms(at)),
                    format!("{}: ended as {end:?}", ms(now)),
                ];
                record.breach(Rule::OneEnd, Some(packet), events);
            }
        }
        if end == End::Dismissed
            && !told_again
            && handed.repeat == Repeat::Unrepeatable
            && let Some((at, first)) = self.ran.get(&handed.origin).copied()
        {
            let events = vec![
                format!("handed in to sender {}", handed.sender.0),
                format!("{}: took effect, as packet {}", ms(at), first.0),
                format!("{}: dismissed, which says that again is harmless", ms(now)),
            ];
            record.breach(Rule::NoDouble, Some(packet), events);
        }
    }

    pub fn came(&mut self, record: &mut Record, id: CallId, call: &Call) {
        for packet in &call.packets {
            let (now, crossing) = (record.now, record.rules.crossing);
            let Some(kept) = record.packets.get_mut(packet) else { continue };
            let (end, out) = (kept.end, kept.out.replace(id));
            kept.last_came = Some(now);
            let late = |(at, _): &(Duration, End)| now > *at + crossing && !self.unread.contains(packet);
            if let Some((at, end)) = end.filter(late) {
                let events = vec![
                    format!("handed in to sender {}", kept.handed.sender.0),
                    format!("{}: ended as {end:?}", ms(at)),
                    format!("{}: a call with it came to endpoint {}", ms(now), call.endpoint.0),
                ];
                record.breach(Rule::OneEnd, Some(*packet), events);
            }
            let other = out.and_then(|out| record.calls.get(&out)).cloned();
            if let Some(other) = other {
                let events = vec![
                    format!("{}: a call with it came to endpoint {}", ms(other.came), other.endpoint.0),
                    format!("{}: another came to endpoint {}", ms(now), call.endpoint.0),
                    "the first was still out".to_owned(),
                ];
                record.breach(Rule::NoDouble, Some(*packet), events);
            }
        }
    }

    pub fn ran(&mut self, record: &mut Record, id: CallId, effects: &[bool]) {
        let Some(call) = record.calls.get(&id).cloned() else { return };
        for (packet, _) in call.packets.iter().zip(effects).filter(|(_, ran)| **ran) {
            let Some(kept) = record.packets.get(packet) else { continue };
            if kept.abandoned {
                continue;
            }
            let handed = kept.handed;
            let Some((at, first)) = self.ran.insert(handed.origin, (record.now, *packet)) else { continue };
            // A keyed packet that its client hands in anew is within its memory as far as its client can know.
            let anew = handed.repeat == Repeat::Deduplicated && first != *packet;
            if handed.repeat == Repeat::Idempotent || anew {
                continue;
            }
            let events = vec![
                format!("{}: took effect, as packet {}", ms(at), first.0),
                format!("handed in to sender {}, as packet {}", handed.sender.0, packet.0),
                format!("{}: took effect again at endpoint {}", ms(record.now), call.endpoint.0),
            ];
            record.breach(Rule::NoDouble, Some(*packet), events);
        }
    }

    pub fn over(&mut self, record: &mut Record, id: CallId, call: &Call) {
        for packet in &call.packets {
            if let Some(kept) = record.packets.get_mut(packet).filter(|kept| kept.out == Some(id)) {
                kept.out = None;
            }
        }
    }

    /// A sender dies, or its folder begins to fail: what was delivered to it just before may be unread, or unrecorded.
    pub fn down(&mut self, record: &Record, sender: SenderId) {
        while self.delivered.front().is_some_and(|(at, _)| *at + record.rules.crossing < record.now) {
            self.delivered.pop_front();
        }
        let own =
            |packet: &PacketId| record.packets.get(packet).is_some_and(|kept| kept.handed.sender == sender);
        self.unread.extend(self.delivered.iter().map(|(_, packet)| *packet).filter(own));
    }

    /// A sender's folder begins to fail, or is well again. What was delivered just before may not be recorded either.
    pub fn folder(&mut self, record: &Record, sender: SenderId, fails: bool) {
        if fails {
            self.down(record, sender);
            self.folder_fails.insert(sender);
        } else {
            self.folder_fails.remove(&sender);
        }
    }

    /// A sender is ready again: what it owes gets a little more time.
    pub fn back(&mut self, record: &Record, sender: SenderId) {
        let until = record.now + READY;
        let late = self.owed.iter().filter(|(at, packet)| {
            *at < until && record.packets.get(packet).is_some_and(|kept| kept.handed.sender == sender)
        });
        for (at, packet) in late.copied().collect::<Vec<_>>() {
            self.owed.remove(&(at, packet));
            self.owed.insert((until, packet));
        }
    }

    pub fn overdue(&mut self, record: &mut Record) {
        let mut waits = Vec::new();
        while let Some((at, packet)) = self.owed.first().copied().filter(|(at, _)| *at < record.now) {
            self.owed.pop_first();
            let Some(kept) = record.packets.get(&packet) else { continue };
            if kept.end.is_some() {
                continue;
            }
            if record.down.contains(&kept.handed.sender) {
                waits.push((at, packet)); // until it is back
                continue;
            }
            self.lost(record, packet);
        }
        self.owed.extend(waits);
    }

    fn lost(&mut self, record: &mut Record, packet: PacketId) {
        let kept = &record.packets[&packet];
        let events = vec![
            format!("handed in to sender {}, and taken on", kept.handed.sender.0),
            kept.last_came.map_or("no call with it came".to_owned(), |at| format!("{}: last call", ms(at))),
            format!("{}: its time was up, and no end was told", ms(kept.handed.ends)),
        ];
        record.breach(Rule::OneEnd, Some(packet), events);
    }

    pub fn finish(&mut self, record: &mut Record) {
        for (_, packet) in std::mem::take(&mut self.owed) {
            if record.packets.get(&packet).is_some_and(|kept| kept.end.is_none()) {
                self.lost(record, packet);
            }
        }
    }
}
