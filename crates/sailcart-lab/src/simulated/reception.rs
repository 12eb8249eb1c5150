//! The receivers' side: calls come in, run, and are answered.

use sailcart::Outcome;

use super::call::{Call, Stage};
use super::event::Event;
use super::world::World;
use crate::receivers::{Answer, PieceAnswer};
use crate::watcher::{CallId, Heard, Seen};

impl World<'_> {
    /// A call's last byte has come to its receiver.
    pub fn arrived(&mut self, id: CallId) {
        let Some(call) = self.calls.get(&id) else { return };
        let (sender, endpoint, packets) = (call.sender, call.endpoint, call.packets.clone());
        let gate = self.gate(endpoint);
        self.going[gate.0] -= 1;
        let destination = self.plan.place(endpoint).destination;
        self.tally.dispatched(self.now, destination, packets.len());
        let pieces = self.pieces(&packets);
        let reception = self.receivers.arrive(self.plan, self.now, endpoint, &pieces);
        self.see(Seen::Came { call: id, sender, endpoint, gate, packets });
        if reception.effects.contains(&true) {
            self.see(Seen::Ran(id, reception.effects));
        }
        if reception.fell {
            self.see(Seen::Fell(gate));
        }
        let (due, answer) = reception.answer.unzip();
        if let Some(call) = self.calls.get_mut(&id) {
            call.advance(Stage::Arrived { answer, report: reception.report });
        }
        if let Some(due) = due {
            self.queue.push(due + self.plan.experiment.network.transit, Event::Answered(id));
        }
    }

    /// The last byte of a call was written before its sender died or gave it up: it still comes.
    pub fn arrived_unheard(&mut self, id: CallId, call: &Call) {
        let gate = self.gate(call.endpoint);
        let pieces = self.pieces(&call.packets);
        let reception = self.receivers.arrive(self.plan, self.now, call.endpoint, &pieces);
        self.see(Seen::Came {
            call: id,
            sender: call.sender,
            endpoint: call.endpoint,
            gate,
            packets: call.packets.clone(),
        });
        self.see(Seen::Ran(id, reception.effects));
        self.see(Seen::Over { call: id, heard: Heard::Unsure });
    }

    /// What a call was answered has come back.
    pub fn answered(&mut self, id: CallId) {
        let Some(call) = self.calls.get(&id) else { return };
        let Stage::Arrived { answer: Some(answer), .. } = call.stage().clone() else { return };
        let several = call.packets.len() > 1;
        let destination = self.plan.place(call.endpoint).destination;
        self.pass_report(id, &answer);
        if let Answer::Full(_) = answer {
            self.tally.refused(self.now, destination);
        }
        match answer {
            Answer::Done => self.finish(id, Outcome::Done),
            Answer::Error => self.finish(id, Outcome::Error),
            Answer::Full(wait) => self.finish(id, Outcome::Full(wait)),
            Answer::Reset => self.finish(id, Outcome::Reset),
            Answer::Spoilt(manner) if manner.settles(several) => self.finish(id, Outcome::Done),
            Answer::Spoilt(_) => self.finish(id, Outcome::Error),
            Answer::Mixed(each, wait) => {
                let each = each.into_iter().map(|piece| match piece {
                    PieceAnswer::Accepted => Outcome::Done,
                    PieceAnswer::Fault => Outcome::Error,
                    PieceAnswer::Deferred => Outcome::Full(wait),
                });
                self.finish_each(id, each.collect());
            }
        }
    }

    /// The policy hears what a readable answer tells of the limit.
    fn pass_report(&mut self, id: CallId, answer: &Answer) {
        let Some(call) = self.calls.get(&id).filter(|_| answer.is_readable()) else { return };
        let Stage::Arrived { report: Some(report), .. } = call.stage() else { return };
        let policy = self.senders[call.sender.0].policy.as_mut();
        if let Some((policy, packet)) = policy.zip(call.packets.first()) {
            policy.record_report(*packet, *report);
        }
    }
}
