//! Completion of calls: releases the connection and reports the outcome of each packet.

use sailcart::{Outcome, PacketId};

use super::call::{Call, Stage};
use super::submission::Completion;
use super::world::World;
use crate::results::tally::Counter;
use crate::watcher::{CallId, CallResult, CompletionKind, Observation};

/// What a sender learned from an answer it received.
fn observed_result(outcomes: &[Outcome]) -> CallResult {
    let rejection = outcomes.iter().find_map(|outcome| match outcome {
        Outcome::Full(wait) => Some(CallResult::Rejected(*wait)),
        _ => None,
    });
    rejection.unwrap_or(match outcomes.first() {
        Some(Outcome::Done) => CallResult::Done,
        Some(Outcome::Error) => CallResult::Error,
        _ => CallResult::PossiblyExecuted,
    })
}

/// Whether the connection of a call with this outcome is closed.
fn breaks_connection(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::Reset | Outcome::TimedOut | Outcome::Cancelled | Outcome::NoConnection)
}

/// Whether a packet with this outcome may have been executed.
fn may_have_executed(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::Error | Outcome::Reset | Outcome::TimedOut | Outcome::Cancelled)
}

impl World<'_> {
    /// Completes a call with one outcome for all its packets.
    pub fn finish_call(&mut self, id: CallId, outcome: Outcome) {
        let packet_count = self.calls.get(&id).map_or(0, |call| call.packets.len());
        self.finish_call_with(id, vec![outcome; packet_count]);
    }

    /// Completes a call with one outcome per packet.
    pub fn finish_call_with(&mut self, id: CallId, outcomes: Vec<Outcome>) {
        let Some(call) = self.remove_call(id) else { return };
        let first_outcome = outcomes.first().copied().unwrap_or(Outcome::NoSlot);
        self.release_connection(&call, first_outcome);
        self.tally.adjust_calls_in_flight(self.plan.endpoint(call.endpoint).destination, false);
        self.count_failure(first_outcome);
        if call.has_arrived() {
            self.observe(Observation::CallCompleted { call: id, result: observed_result(&outcomes) });
        } else if first_outcome == Outcome::NoConnection {
            let upstream = self.upstream(call.endpoint);
            self.observe(Observation::ConnectionFailed { sender: call.sender, upstream });
        }
        for (packet, outcome) in call.packets.iter().zip(outcomes) {
            self.record_packet_outcome(&call, *packet, outcome);
        }
        self.request_round(call.sender);
    }

    /// Removes a completed call. A call that was written but has not arrived yet still arrives at its
    /// receiver.
    pub fn remove_call(&mut self, id: CallId) -> Option<Call> {
        let call = self.calls.remove(&id)?;
        if !call.has_arrived() {
            let upstream = self.upstream(call.endpoint);
            self.calls_not_arrived[upstream.0] -= 1;
        }
        if *call.stage() == Stage::InTransit {
            self.receive_abandoned_call(id, &call);
        }
        Some(call)
    }

    /// Closes the connection of a completed call or returns it to the idle connections.
    fn release_connection(&mut self, call: &Call, outcome: Outcome) {
        if !call.holds_connection {
            return;
        }
        if breaks_connection(outcome) {
            self.receivers.disconnected(call.endpoint);
        } else {
            self.add_idle(call.sender, call.endpoint);
        }
    }

    fn count_failure(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::Error | Outcome::Reset => self.tally.increment(Counter::Errors),
            Outcome::TimedOut | Outcome::Cancelled => self.tally.increment(Counter::Unanswered),
            Outcome::NoConnection => self.tally.increment(Counter::NotConnected),
            _ => {}
        }
    }

    /// Records the outcome of one packet and reports it to its sender.
    fn record_packet_outcome(&mut self, call: &Call, packet: PacketId, outcome: Outcome) {
        let submission = self.submission_mut(packet);
        submission.call = None;
        if !may_have_executed(outcome)
            && submission.possibly_executed_at.is_some_and(|at| at >= call.started_at)
        {
            // This dispatch was not executed, and no earlier one may have been.
            submission.possibly_executed_at = None;
        }
        let was_completed = submission.completion.is_some();
        let done = outcome == Outcome::Done;
        if done {
            self.record_delivery(packet);
        }
        let elapsed = self.now - call.started_at;
        if let Some(policy) = &mut self.senders[call.sender.0].policy {
            policy.record_outcome(self.now, packet, elapsed, outcome, was_completed || done);
        }
    }

    /// Records that a packet was executed. That completes it, unless it was completed before.
    fn record_delivery(&mut self, packet: PacketId) {
        let delay = self.now.saturating_sub(self.planned(packet).at);
        let submission = self.submission(packet);
        let was_completed = submission.completion.is_some();
        self.tally.record_delivery(submission.planned_packet, delay);
        if !was_completed {
            self.complete_packet(Completion { packet, kind: CompletionKind::Done, retry_after: None });
        }
    }
}
