//! Senders' lives: how one starts, hears of changes of the list, and dies.

use rand::Rng;
use sailcart::{ListEntry, Packet};

use super::world::World;
use crate::plan::{SenderId, Standing, chance};
use crate::results::tally::Count;
use crate::watcher::{CallId, Heard, Seen};

/// The stream of chance that the first sender's seed is drawn from; the others' follow it.
const FIRST_SENDER_STREAM: u64 = 100;

impl World<'_> {
    /// A life begins, unless the sender runs: with the list as it stands, and with what the journal holds.
    pub fn start(&mut self, sender: SenderId) {
        if self.senders[sender.0].policy.is_some() {
            return;
        }
        let mut policy = (self.make_policy)(self.sender_seed(sender));
        let lines = self.plan.list_at(self.now);
        policy.update_list(self.now, true, &lines);
        for packet in &self.senders[sender.0].held {
            policy.accept(self.now, Packet { accepted_by_previous_process: true, ..self.describe(*packet) });
        }
        self.senders[sender.0].begin(policy, self.now);
        self.see_start(sender, &lines);
        self.request_round(sender);
    }

    /// Another seed for each sender and each of its lives.
    fn sender_seed(&self, sender: SenderId) -> u64 {
        let life = u64::from(self.senders[sender.0].life);
        let stream = FIRST_SENDER_STREAM + sender.0 as u64;
        chance(self.plan.seed ^ (life << 32), stream).random()
    }

    fn see_start(&mut self, sender: SenderId, lines: &[ListEntry]) {
        if !self.now.is_zero() {
            self.see(Seen::SenderUp(sender));
        }
        for line in lines.iter().filter(|line| !line.live) {
            self.see(Seen::ToldOff(sender, line.endpoint));
        }
    }

    /// A sender that runs hears of a change of the list, which the plan holds at this place.
    pub fn list_change(&mut self, sender: SenderId, change: usize) {
        let Some(policy) = &mut self.senders[sender.0].policy else {
            return; // it reads the whole list as it starts
        };
        let change = self.plan.changes[change];
        let live = change.standing == Standing::Ready;
        policy.update_list(self.now, false, &[self.plan.listing(change.endpoint, live)]);
        self.see(if live {
            Seen::ToldOn(sender, change.endpoint)
        } else {
            Seen::ToldOff(sender, change.endpoint)
        });
        self.request_round(sender);
    }

    /// Dies without warning: what it knew is gone, its journal stays.
    pub fn kill(&mut self, sender: SenderId) {
        if self.senders[sender.0].policy.is_none() {
            return;
        }
        for call in self.calls_of(sender) {
            self.drop_call(call);
        }
        self.close_all_idle(sender);
        self.tally.count(Count::Kills);
        self.see(Seen::SenderDown(sender));
        for packet in self.senders[sender.0].end() {
            self.abandon(packet);
        }
    }

    /// A sender's calls, in the order in which they began.
    fn calls_of(&self, sender: SenderId) -> Vec<CallId> {
        let own = self.calls.iter().filter(|(_, call)| call.sender == sender);
        let mut ids: Vec<CallId> = own.map(|(id, _)| *id).collect();
        ids.sort();
        ids
    }

    /// A call breaks as its sender dies; nobody hears of an outcome.
    fn drop_call(&mut self, id: CallId) {
        let Some(call) = self.remove_call(id) else { return };
        if call.connected {
            self.receivers.disconnected(call.endpoint);
        }
        self.tally.calls_out(self.plan.place(call.endpoint).destination, false);
        for packet in &call.packets {
            self.submission_mut(*packet).call = None;
        }
        if call.has_arrived() {
            self.see(Seen::Over { call: id, heard: Heard::Unsure });
        }
    }
}
