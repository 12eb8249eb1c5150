//! Rule 5: packets of one key go one at a time, in the order in which a sender took them.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use sailcart::{KeyId, PacketId};

use super::{Call, Handed, Heard, Record, Rule, ms};
use crate::plan::SenderId;

#[derive(Default)]
struct Turn {
    queue: VecDeque<PacketId>,
    rests_until: Duration,
    after: Option<PacketId>,
}

#[derive(Default)]
pub struct Order {
    turns: HashMap<(SenderId, KeyId), Turn>,
    of: HashMap<PacketId, (SenderId, KeyId)>,
}

impl Order {
    pub fn handed(&mut self, record: &Record, handed: &Handed) {
        let Some(key) = handed.key.filter(|_| handed.in_order) else { return };
        let turn = self.turns.entry((handed.sender, key)).or_default();
        turn.queue
            .retain(|id| record.packets.get(id).is_some_and(|kept| kept.end.is_none() || kept.out.is_some()));
        turn.queue.push_back(handed.packet);
        self.of.insert(handed.packet, (handed.sender, key));
    }

    pub fn ended(&mut self, packet: PacketId) {
        if let Some(turn) = self.of.get(&packet).and_then(|of| self.turns.get_mut(of)) {
            turn.queue.retain(|other| *other != packet);
        }
    }

    pub fn came(&mut self, record: &mut Record, call: &Call) {
        for packet in &call.packets {
            // Its client heard nothing, so nobody outside knows its place; what it does counts for nothing.
            if record.packets.get(packet).is_some_and(|kept| kept.abandoned) {
                continue;
            }
            let Some(turn) = self.of.get(packet).and_then(|of| self.turns.get(of)) else { continue };
            // Earlier ones that clients had heard of as taken when this call was on its way.
            let before = turn.queue.iter().take_while(|other| *other != packet).find(|other| {
                let taken = record.packets.get(other).and_then(|kept| kept.taken);
                taken.is_some_and(|at| at + record.rules.crossing < record.now)
            });
            if let Some(before) = before.copied() {
                let events = vec![
                    format!("packet {} of the same key was taken before", before.0),
                    "it has no end yet".to_owned(),
                    format!("{}: a call with packet {} came", ms(record.now), packet.0),
                ];
                record.breach(Rule::Order, Some(*packet), events);
            } else if turn.after.is_some_and(|other| other != *packet) && turn.rests_until > record.now {
                let events = vec![
                    format!(
                        "a call with packet {} of the same key may still run",
                        turn.after.map_or(0, |p| p.0)
                    ),
                    format!("the key rests until {}", ms(turn.rests_until)),
                    format!("{}: a call with packet {} came", ms(record.now), packet.0),
                ];
                record.breach(Rule::Order, Some(*packet), events);
            }
        }
    }

    pub fn over(&mut self, record: &Record, call: &Call, heard: Heard) {
        if heard != Heard::Unsure {
            return;
        }
        for packet in &call.packets {
            if let Some(turn) = self.of.get(packet).and_then(|of| self.turns.get_mut(of)) {
                (turn.rests_until, turn.after) = (record.now + record.rules.settle, Some(*packet));
            }
        }
    }

    /// A sender's next life knows what it had taken, but not in which order clients heard of it.
    pub fn restarted(&mut self, record: &Record, sender: SenderId) {
        for (_, turn) in self.turns.iter_mut().filter(|((of, _), _)| *of == sender) {
            turn.queue.retain(|id| record.packets.get(id).is_some_and(|kept| kept.taken.is_some()));
        }
    }
}
