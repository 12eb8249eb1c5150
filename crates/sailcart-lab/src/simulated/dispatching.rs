//! Calls' way out: dispatches of a round become calls, each gets a connection and is written.

use std::time::Duration;

use sailcart::{EndpointId, Outcome};

use super::call::{Call, CallOrder, Stage};
use super::event::Event;
use super::sender::Dispatch;
use super::world::World;
use crate::plan::SenderId;
use crate::receivers::Connect;
use crate::results::tally::Count;
use crate::watcher::CallId;

impl World<'_> {
    /// Dispatches of one round to one endpoint travel as one call, up to the kind's batch.
    pub fn dispatch(&mut self, sender: SenderId, dispatches: Vec<Dispatch>) {
        let mut orders: Vec<CallOrder> = Vec::new();
        for Dispatch { packet, endpoint, time_out } in dispatches {
            let batch = self.batch(endpoint);
            let has_room = |order: &&mut CallOrder| order.endpoint == endpoint && order.packets.len() < batch;
            match orders.iter_mut().rev().find(has_room) {
                Some(order) => {
                    order.packets.push(packet);
                    order.time_out = order.time_out.min(time_out);
                }
                None => orders.push(CallOrder { endpoint, packets: vec![packet], time_out }),
            }
        }
        for order in orders {
            self.begin_call(sender, order);
        }
    }

    /// How many packets a call to an endpoint may carry.
    fn batch(&self, endpoint: EndpointId) -> usize {
        let destination = self.plan.place(endpoint).destination;
        let kind = self.plan.destination(destination).kind;
        self.plan.experiment.kinds[kind.0].batch.max(1)
    }

    fn begin_call(&mut self, sender: SenderId, order: CallOrder) {
        let CallOrder { endpoint, packets, time_out } = order;
        let id = CallId(self.next_call);
        self.next_call += 1;
        for packet in &packets {
            let submission = self.submission_mut(*packet);
            submission.dispatches += 1;
            submission.call = Some(id);
        }
        self.tally.calls_out(self.plan.place(endpoint).destination, true);
        let mut call = Call::new(sender, endpoint, packets, self.now);
        call.connected = self.connect(id, &call, time_out);
        let gate = self.gate(endpoint);
        self.going[gate.0] += 1;
        self.calls.insert(id, call);
        self.queue.push(self.now + time_out, Event::GiveUp(id, Outcome::TimedOut));
    }

    /// Gets a call its connection, one that is idle or a new one, and schedules when it stands or fails. Tells
    /// whether it counts at the endpoint.
    fn connect(&mut self, id: CallId, call: &Call, time_out: Duration) -> bool {
        if self.reuse_idle(call.sender, call.endpoint) {
            self.queue.push(self.now, Event::Connected(id));
            return true;
        }
        let round_trip = self.plan.experiment.network.transit * 2;
        match self.receivers.connect(self.plan, self.now, call.endpoint) {
            Connect::Up(handshake) => {
                self.tally.count(Count::Connections);
                self.queue.push(self.now + round_trip + handshake, Event::Connected(id));
                true
            }
            Connect::Refused => {
                self.queue.push(self.now + round_trip, Event::NotConnected(id));
                false
            }
            Connect::Never => {
                let limit = self.plan.terms.connect_timeout.min(time_out);
                self.queue.push(self.now + limit, Event::NotConnected(id));
                false
            }
        }
    }

    /// The connection stands: the sender is asked once more, then the call is written.
    pub fn connected(&mut self, id: CallId) {
        let Some(call) = self.calls.get(&id) else { return };
        let Some(policy) = &self.senders[call.sender.0].policy else { return };
        if !call.packets.iter().all(|packet| policy.may_still_dispatch(self.now, *packet)) {
            return self.finish(id, Outcome::NoSlot);
        }
        if self.receivers.cuts_before(self.now, call.endpoint) {
            return self.finish(id, Outcome::NoConnection);
        }
        self.write(id);
    }

    /// Writes a call; from now on its packets may have run.
    fn write(&mut self, id: CallId) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        for packet in &call.packets {
            let submission = &mut self.submissions[packet.0 as usize];
            submission.doubt = submission.doubt.or(Some(self.now));
        }
        call.advance(Stage::Going);
        self.queue.push(self.now + self.plan.experiment.network.transit, Event::Arrived(id));
    }

    /// A call is given up, unless it is over. Before its last byte it never began.
    pub fn give_up(&mut self, id: CallId, outcome: Outcome) {
        let Some(call) = self.calls.get(&id) else { return };
        let began = *call.stage() != Stage::Connecting;
        self.finish(id, if began { outcome } else { Outcome::NoConnection });
    }
}
