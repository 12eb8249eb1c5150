//! Sender processes: how one starts, receives changes of the list, and dies.

use rand::Rng;
use sailcart::{ListEntry, Packet};

use super::world::World;
use crate::plan::{ListState, SenderId, seeded_rng};
use crate::results::tally::Counter;
use crate::watcher::{CallId, CallResult, Observation};

/// Random stream that the seed of the first sender is drawn from. The streams of the other senders follow it.
const FIRST_SENDER_STREAM: u64 = 100;

impl World<'_> {
    /// Starts a process of a sender, unless one is running, with the current list and the packets in its
    /// journal.
    pub fn start_sender(&mut self, sender: SenderId) {
        if self.senders[sender.0].policy.is_some() {
            return;
        }
        let mut policy = (self.make_policy)(self.sender_seed(sender));
        let entries = self.plan.list_at(self.now);
        policy.update_list(self.now, true, &entries);
        for packet in &self.senders[sender.0].held {
            policy.accept(self.now, Packet { accepted_by_previous_process: true, ..self.describe(*packet) });
        }
        self.senders[sender.0].start(policy, self.now);
        self.observe_start(sender, &entries);
        self.request_round(sender);
    }

    /// A different seed for each sender and each of its processes.
    fn sender_seed(&self, sender: SenderId) -> u64 {
        let process_number = u64::from(self.senders[sender.0].process_number);
        let stream = FIRST_SENDER_STREAM + sender.0 as u64;
        seeded_rng(self.plan.seed ^ (process_number << 32), stream).random()
    }

    fn observe_start(&mut self, sender: SenderId, entries: &[ListEntry]) {
        if !self.now.is_zero() {
            self.observe(Observation::SenderUp(sender));
        }
        for entry in entries.iter().filter(|entry| !entry.live) {
            self.observe(Observation::EndpointDraining(sender, entry.endpoint));
        }
    }

    /// Applies a change of the list to a running sender; `change` is its index in the plan.
    pub fn apply_list_change(&mut self, sender: SenderId, change: usize) {
        let Some(policy) = &mut self.senders[sender.0].policy else {
            return; // a process reads the full list when it starts
        };
        let change = self.plan.list_changes[change];
        let live = change.state == ListState::Ready;
        policy.update_list(self.now, false, &[self.plan.list_entry(change.endpoint, live)]);
        self.observe(if live {
            Observation::EndpointReady(sender, change.endpoint)
        } else {
            Observation::EndpointDraining(sender, change.endpoint)
        });
        self.request_round(sender);
    }

    /// Kills the process of a sender without warning. Its journal remains; everything else is lost.
    pub fn kill_sender(&mut self, sender: SenderId) {
        if self.senders[sender.0].policy.is_none() {
            return;
        }
        for call in self.calls_of(sender) {
            self.drop_call(call);
        }
        self.close_all_idle(sender);
        self.tally.increment(Counter::Kills);
        self.observe(Observation::SenderDown(sender));
        for packet in self.senders[sender.0].stop() {
            self.abandon(packet);
        }
    }

    /// The calls of a sender, in the order in which they were started.
    fn calls_of(&self, sender: SenderId) -> Vec<CallId> {
        let own = self.calls.iter().filter(|(_, call)| call.sender == sender);
        let mut ids: Vec<CallId> = own.map(|(id, _)| *id).collect();
        ids.sort();
        ids
    }

    /// Removes a call whose sender died. No outcome is reported for it.
    fn drop_call(&mut self, id: CallId) {
        let Some(call) = self.remove_call(id) else { return };
        if call.holds_connection {
            self.receivers.disconnected(call.endpoint);
        }
        self.tally.adjust_calls_in_flight(self.plan.endpoint(call.endpoint).destination, false);
        for packet in &call.packets {
            self.submission_mut(*packet).call = None;
        }
        if call.has_arrived() {
            self.observe(Observation::CallCompleted { call: id, result: CallResult::PossiblyExecuted });
        }
    }
}
