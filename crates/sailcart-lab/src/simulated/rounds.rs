//! Rounds of a sender: when one is due, what its policy can see, and how its requests are carried out.

use std::time::Duration;

use sailcart::{EndpointId, Outcome, PacketId};

use super::event::Event;
use super::sender::{Cancellation, RoundActions};
use super::world::World;
use crate::plan::{Plan, SenderId};
use crate::policies::OracleView;
use crate::receivers::Receivers;
use crate::watcher::Observation;

/// The state of the world that the oracle policy may look at.
struct WorldView<'a> {
    plan: &'a Plan,
    receivers: &'a Receivers,
    /// Calls that have not reached their receiver yet, by upstream.
    calls_not_arrived: &'a [usize],
}

impl OracleView for WorldView<'_> {
    fn would_finish(&self, now: Duration, endpoint: EndpointId, additional: usize) -> Option<Duration> {
        let ahead = self.calls_not_arrived[self.receivers.upstream(endpoint)] + additional;
        self.receivers.would_finish(self.plan, now, endpoint, ahead)
    }
}

impl World<'_> {
    /// A sender accepts a submitted packet. Its client is answered after the next round.
    pub fn accept(&mut self, sender: SenderId, packet: PacketId) {
        let description = self.describe(packet);
        let state = &mut self.senders[sender.0];
        state.held.insert(packet);
        state.unconfirmed.push(packet);
        if let Some(policy) = &mut state.policy {
            policy.accept(self.now, description);
        }
        self.request_round(sender);
    }

    /// The description of a packet that its sender passes to the policy.
    pub fn describe(&self, packet: PacketId) -> sailcart::Packet {
        let submission = self.submission(packet);
        let planned = self.planned(packet);
        sailcart::Packet {
            id: packet,
            destination: planned.destination,
            category: planned.category,
            customer: planned.customer,
            key: planned.key,
            deadline: submission.deadline,
            dispatches: submission.dispatches,
            possibly_executed_at: submission.possibly_executed_at,
            accepted_by_previous_process: false,
        }
    }

    /// Requests a round as soon as the minimum interval since the previous one allows.
    pub fn request_round(&mut self, sender: SenderId) {
        let state = &mut self.senders[sender.0];
        let at = state.earliest_round_at.max(self.now);
        if state.round_due_at.is_none_or(|due| due > at) {
            state.round_due_at = Some(at);
            self.queue.push(at, Event::Round { sender, process_number: state.process_number });
        }
    }

    /// Runs a round, unless the process that requested it has ended.
    pub fn run_round(&mut self, sender: SenderId, process_number: u32) {
        let state = &self.senders[sender.0];
        let is_current = state.process_number == process_number && state.policy.is_some();
        if !is_current || state.round_due_at.is_none_or(|due| due > self.now) {
            return;
        }
        let actions = self.decide(sender);
        self.schedule_wake(sender, actions.wake);
        for completion in actions.completions {
            self.complete_packet(completion);
        }
        self.confirm_accepted(sender);
        for cancellation in actions.cancellations {
            self.cancel(cancellation);
        }
        for endpoint in actions.idle_closes {
            self.close_idle(sender, endpoint);
        }
        self.dispatch(sender, actions.dispatches);
    }

    /// Runs the decisions of the policy and collects its requests.
    fn decide(&mut self, sender: SenderId) -> RoundActions {
        let mut actions = RoundActions::default();
        let view = WorldView {
            plan: self.plan,
            receivers: &self.receivers,
            calls_not_arrived: &self.calls_not_arrived,
        };
        let state = &mut self.senders[sender.0];
        state.begin_round(self.now, self.plan.experiment.senders.round);
        if let Some(policy) = &mut state.policy {
            policy.decide(self.now, &view, &mut actions);
        }
        actions
    }

    /// Schedules the next round for the time that the policy requested, in this round or an earlier one.
    fn schedule_wake(&mut self, sender: SenderId, after: Option<Duration>) {
        let state = &mut self.senders[sender.0];
        if let Some(after) = after {
            state.wake_by(self.now + after);
        }
        if let Some(at) = state.wake_at {
            let at = at.max(state.earliest_round_at);
            state.round_due_at = Some(at);
            self.queue.push(at, Event::Round { sender, process_number: state.process_number });
        }
    }

    /// Answers the clients of packets accepted since the previous round that have not completed in the
    /// meantime.
    fn confirm_accepted(&mut self, sender: SenderId) {
        for packet in std::mem::take(&mut self.senders[sender.0].unconfirmed) {
            if self.submission(packet).completion.is_none() {
                self.answer_client(packet);
                self.observe(Observation::Accepted(packet));
            }
        }
    }

    fn cancel(&mut self, cancellation: Cancellation) {
        if let Some(call) = self.submission(cancellation.packet).call_of(cancellation.dispatch) {
            self.queue.push(self.now, Event::AbortCall(call, Outcome::Cancelled));
        }
    }
}
