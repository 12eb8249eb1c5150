//! A sender's rounds: when one is due, what it sees, and what it asks for.

use std::time::Duration;

use sailcart::{EndpointId, Outcome, PacketId};

use super::event::Event;
use super::sender::{Acts, Cancel};
use super::world::World;
use crate::plan::{Plan, SenderId};
use crate::policies::OracleView;
use crate::receivers::Receivers;
use crate::watcher::Seen;

/// What a round may look at, if its policy is the oracle.
struct WorldView<'a> {
    plan: &'a Plan,
    receivers: &'a Receivers,
    /// Calls on their way, by gate.
    going: &'a [usize],
}

impl OracleView for WorldView<'_> {
    fn would_finish(&self, now: Duration, endpoint: EndpointId, also: usize) -> Option<Duration> {
        let behind = self.going[self.receivers.gate(endpoint)] + also;
        self.receivers.would_finish(self.plan, now, endpoint, behind)
    }
}

impl World<'_> {
    /// A sender takes a packet that a client handed in.
    pub fn take(&mut self, sender: SenderId, packet: PacketId) {
        let taken = self.describe(packet);
        let state = &mut self.senders[sender.0];
        state.held.insert(packet);
        state.fresh.push(packet);
        if let Some(policy) = &mut state.policy {
            policy.accept(self.now, taken);
        }
        self.request_round(sender);
    }

    /// A packet as its sender knows it.
    pub fn describe(&self, packet: PacketId) -> sailcart::Packet {
        let submission = self.submission(packet);
        let origin = self.origin_of(packet);
        sailcart::Packet {
            id: packet,
            destination: origin.destination,
            category: origin.category,
            customer: origin.customer,
            key: origin.key,
            deadline: submission.ends,
            dispatches: submission.dispatches,
            possibly_executed_at: submission.doubt,
            accepted_by_previous_process: false,
        }
    }

    /// Something came in: a round is due, but not too soon after the last.
    pub fn request_round(&mut self, sender: SenderId) {
        let state = &mut self.senders[sender.0];
        let at = state.next_round.max(self.now);
        if state.round_at.is_none_or(|due| due > at) {
            state.round_at = Some(at);
            self.queue.push(at, Event::Round { sender, life: state.life });
        }
    }

    /// A round that was asked for in a certain life of a sender; nothing if that life is over.
    pub fn round(&mut self, sender: SenderId, life: u32) {
        let state = &self.senders[sender.0];
        let lives_on = state.life == life && state.policy.is_some();
        if !lives_on || state.round_at.is_none_or(|due| due > self.now) {
            return;
        }
        let acts = self.decide(sender);
        self.schedule_wake(sender, acts.wake);
        for ended in acts.ends {
            self.end_packet(ended);
        }
        self.confirm_taken(sender);
        for cancel in acts.cancels {
            self.cancel(cancel);
        }
        for endpoint in acts.closings {
            self.close_idle(sender, endpoint);
        }
        self.dispatch(sender, acts.dispatches);
    }

    /// Asks the policy what it wants.
    fn decide(&mut self, sender: SenderId) -> Acts {
        let mut acts = Acts::default();
        let view = WorldView { plan: self.plan, receivers: &self.receivers, going: &self.going };
        let state = &mut self.senders[sender.0];
        state.begin_round(self.now, self.plan.experiment.senders.round);
        if let Some(policy) = &mut state.policy {
            policy.decide(self.now, &view, &mut acts);
        }
        acts
    }

    /// Has the sender woken when its policy asked for it, now or earlier.
    fn schedule_wake(&mut self, sender: SenderId, after: Option<Duration>) {
        let state = &mut self.senders[sender.0];
        if let Some(after) = after {
            state.wake_by(self.now + after);
        }
        if let Some(at) = state.wake_at {
            let at = at.max(state.next_round);
            state.round_at = Some(at);
            self.queue.push(at, Event::Round { sender, life: state.life });
        }
    }

    /// What was taken since the last round, and is not over, is written: its clients hear so.
    fn confirm_taken(&mut self, sender: SenderId) {
        for packet in std::mem::take(&mut self.senders[sender.0].fresh) {
            if self.submission(packet).end.is_none() {
                self.answer_client(packet);
                self.see(Seen::Taken(packet));
            }
        }
    }

    fn cancel(&mut self, cancel: Cancel) {
        if let Some(call) = self.submission(cancel.packet).call_of(cancel.dispatch) {
            self.queue.push(self.now, Event::GiveUp(call, Outcome::Cancelled));
        }
    }
}
