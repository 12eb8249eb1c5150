//! Calls' way back: a call is over, its connection is kept or lost, and each packet's outcome is told.

use sailcart::{Outcome, PacketId};

use super::call::{Call, Stage};
use super::submission::Ended;
use super::world::World;
use crate::results::tally::Count;
use crate::watcher::{CallId, End, Heard, Seen};

/// What a sender has learnt from an answer that came to it.
fn heard(outcomes: &[Outcome]) -> Heard {
    let full = outcomes.iter().find_map(|outcome| match outcome {
        Outcome::Full(wait) => Some(Heard::Full(*wait)),
        _ => None,
    });
    full.unwrap_or(match outcomes.first() {
        Some(Outcome::Done) => Heard::Done,
        Some(Outcome::Error) => Heard::Error,
        _ => Heard::Unsure,
    })
}

/// Whether a connection is lost with a call that had this outcome.
fn breaks_connection(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::Reset | Outcome::TimedOut | Outcome::Cancelled | Outcome::NoConnection)
}

/// Whether a packet may have run after this outcome.
fn may_have_run(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::Error | Outcome::Reset | Outcome::TimedOut | Outcome::Cancelled)
}

impl World<'_> {
    /// A call is over, with one outcome for all its packets.
    pub fn finish(&mut self, id: CallId, outcome: Outcome) {
        let several = self.calls.get(&id).map_or(0, |call| call.packets.len());
        self.finish_each(id, vec![outcome; several]);
    }

    /// A call is over, with an outcome for each of its packets.
    pub fn finish_each(&mut self, id: CallId, outcomes: Vec<Outcome>) {
        let Some(call) = self.remove_call(id) else { return };
        let first = outcomes.first().copied().unwrap_or(Outcome::NoSlot);
        self.hand_back_connection(&call, first);
        self.tally.calls_out(self.plan.place(call.endpoint).destination, false);
        self.count_failure(first);
        if call.has_arrived() {
            self.see(Seen::Over { call: id, heard: heard(&outcomes) });
        } else if first == Outcome::NoConnection {
            let gate = self.gate(call.endpoint);
            self.see(Seen::NoConnection { sender: call.sender, gate });
        }
        for (packet, outcome) in call.packets.iter().zip(outcomes) {
            self.packet_outcome(&call, *packet, outcome);
        }
        self.request_round(call.sender);
    }

    /// Takes a call that is over out of the world. What was written and has not come to its receiver still comes.
    pub fn remove_call(&mut self, id: CallId) -> Option<Call> {
        let call = self.calls.remove(&id)?;
        if !call.has_arrived() {
            let gate = self.gate(call.endpoint);
            self.going[gate.0] -= 1;
        }
        if *call.stage() == Stage::Going {
            self.arrived_unheard(id, &call);
        }
        Some(call)
    }

    /// The connection of a call that is over is idle again or has ended.
    fn hand_back_connection(&mut self, call: &Call, outcome: Outcome) {
        if !call.connected {
            return;
        }
        if breaks_connection(outcome) {
            self.receivers.disconnected(call.endpoint);
        } else {
            self.keep(call.sender, call.endpoint);
        }
    }

    fn count_failure(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::Error | Outcome::Reset => self.tally.count(Count::Errors),
            Outcome::TimedOut | Outcome::Cancelled => self.tally.count(Count::Unanswered),
            Outcome::NoConnection => self.tally.count(Count::NotConnected),
            _ => {}
        }
    }

    /// One packet's outcome is noted and told to its sender.
    fn packet_outcome(&mut self, call: &Call, packet: PacketId, outcome: Outcome) {
        let submission = self.submission_mut(packet);
        submission.call = None;
        if !may_have_run(outcome) && submission.doubt.is_some_and(|doubt| doubt >= call.start) {
            submission.doubt = None; // this one never ran, and no other was in doubt
        }
        let over = submission.end.is_some();
        let done = outcome == Outcome::Done;
        if done {
            self.delivered(packet);
        }
        let elapsed = self.now - call.start;
        if let Some(policy) = &mut self.senders[call.sender.0].policy {
            policy.record_outcome(self.now, packet, elapsed, outcome, over || done);
        }
    }

    /// A packet has run: that is its end, unless it had one.
    fn delivered(&mut self, packet: PacketId) {
        let after = self.now.saturating_sub(self.origin_of(packet).at);
        let submission = self.submission(packet);
        let over = submission.end.is_some();
        self.tally.delivered(submission.origin, after);
        if !over {
            self.end_packet(Ended { packet, end: End::Done, retry_after: None });
        }
    }
}
