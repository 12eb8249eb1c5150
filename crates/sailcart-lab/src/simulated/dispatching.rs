//! The sending side of calls: groups the dispatches of a round into calls, connects each call and writes it.

use std::time::Duration;

use sailcart::{EndpointId, Outcome};

use super::call::{Call, CallRequest, Stage};
use super::event::Event;
use super::sender::Dispatch;
use super::world::World;
use crate::plan::SenderId;
use crate::receivers::ConnectResult;
use crate::results::tally::Counter;
use crate::watcher::CallId;

impl World<'_> {
    /// Sends the dispatches of one round. Dispatches to the same endpoint share a call, up to the batch size
    /// of the kind.
    pub fn dispatch(&mut self, sender: SenderId, dispatches: Vec<Dispatch>) {
        let mut requests: Vec<CallRequest> = Vec::new();
        for Dispatch { packet, endpoint, timeout } in dispatches {
            let max_batch = self.max_batch(endpoint);
            let has_capacity = |request: &&mut CallRequest| {
                request.endpoint == endpoint && request.packets.len() < max_batch
            };
            match requests.iter_mut().rev().find(has_capacity) {
                Some(request) => {
                    request.packets.push(packet);
                    request.timeout = request.timeout.min(timeout);
                }
                None => requests.push(CallRequest { endpoint, packets: vec![packet], timeout }),
            }
        }
        for request in requests {
            self.start_call(sender, request);
        }
    }

    /// Maximum number of packets in a call to an endpoint.
    fn max_batch(&self, endpoint: EndpointId) -> usize {
        let destination = self.plan.endpoint(endpoint).destination;
        let kind = self.plan.destination(destination).kind;
        self.plan.experiment.kinds[kind.0].batch.max(1)
    }

    fn start_call(&mut self, sender: SenderId, request: CallRequest) {
        let CallRequest { endpoint, packets, timeout } = request;
        let id = CallId(self.next_call_id);
        self.next_call_id += 1;
        for packet in &packets {
            let submission = self.submission_mut(*packet);
            submission.dispatches += 1;
            submission.call = Some(id);
        }
        self.tally.adjust_calls_in_flight(self.plan.endpoint(endpoint).destination, true);
        let mut call = Call::new(sender, endpoint, packets, self.now);
        call.holds_connection = self.connect(id, &call, timeout);
        let upstream = self.upstream(endpoint);
        self.calls_not_arrived[upstream.0] += 1;
        self.calls.insert(id, call);
        self.queue.push(self.now + timeout, Event::AbortCall(id, Outcome::TimedOut));
    }

    /// Reuses an idle connection for a call or opens a new one, and schedules when the attempt succeeds or
    /// fails. Returns whether the connection counts against the limit of the endpoint.
    fn connect(&mut self, id: CallId, call: &Call, timeout: Duration) -> bool {
        if self.reuse_idle(call.sender, call.endpoint) {
            self.queue.push(self.now, Event::Connected(id));
            return true;
        }
        let round_trip = self.plan.experiment.network.transit * 2;
        match self.receivers.connect(self.plan, self.now, call.endpoint) {
            ConnectResult::Established(handshake) => {
                self.tally.increment(Counter::Connections);
                self.queue.push(self.now + round_trip + handshake, Event::Connected(id));
                true
            }
            ConnectResult::Refused => {
                self.queue.push(self.now + round_trip, Event::ConnectFailed(id));
                false
            }
            ConnectResult::Unanswered => {
                let timeout = self.plan.settings.connect_timeout.min(timeout);
                self.queue.push(self.now + timeout, Event::ConnectFailed(id));
                false
            }
        }
    }

    /// The connection of a call is established: writes the call if the policy still allows its dispatch.
    pub fn on_connected(&mut self, id: CallId) {
        let Some(call) = self.calls.get(&id) else { return };
        let Some(policy) = &self.senders[call.sender.0].policy else { return };
        if !call.packets.iter().all(|packet| policy.may_still_dispatch(self.now, *packet)) {
            return self.finish_call(id, Outcome::NoSlot);
        }
        if self.receivers.breaks_before_end(self.now, call.endpoint) {
            return self.finish_call(id, Outcome::NoConnection);
        }
        self.write(id);
    }

    /// Writes a call. From now on its packets may have been executed.
    fn write(&mut self, id: CallId) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        for packet in &call.packets {
            let submission = &mut self.submissions[packet.0 as usize];
            submission.possibly_executed_at = submission.possibly_executed_at.or(Some(self.now));
        }
        call.advance(Stage::InTransit);
        self.queue.push(self.now + self.plan.experiment.network.transit, Event::Arrived(id));
    }

    /// Aborts a call that is still in flight. A call that was not yet written counts as not connected.
    pub fn abort_call(&mut self, id: CallId, outcome: Outcome) {
        let Some(call) = self.calls.get(&id) else { return };
        let was_written = *call.stage() != Stage::Connecting;
        self.finish_call(id, if was_written { outcome } else { Outcome::NoConnection });
    }
}
