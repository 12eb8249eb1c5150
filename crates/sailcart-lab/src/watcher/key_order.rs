//! Checks rule 5: packets of one key are sent one at a time, in the order in which their sender accepted
//! them.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use sailcart::{KeyId, PacketId};

use super::{CallResult, ObservedCall, Rule, RunState, SubmittedPacket, format_ms};
use crate::plan::SenderId;

/// The packets of one key at one sender.
#[derive(Default)]
struct KeyQueue {
    /// Submitted packets that are not completed, in order of submission.
    packets: VecDeque<PacketId>,
    /// End of the period in which no other packet of the key may be sent, because a call with the packet
    /// `possibly_executing` may still be executed.
    blocked_until: Duration,
    possibly_executing: Option<PacketId>,
}

/// The state of the check of rule 5.
#[derive(Default)]
pub struct KeyOrderCheck {
    queues: HashMap<(SenderId, KeyId), KeyQueue>,
    queue_of_packet: HashMap<PacketId, (SenderId, KeyId)>,
}

impl KeyOrderCheck {
    /// Appends a submitted packet to the queue of its key, if its category requires order.
    pub fn packet_submitted(&mut self, state: &RunState, submission: &SubmittedPacket) {
        let Some(key) = submission.key.filter(|_| submission.in_order) else { return };
        let queue = self.queues.entry((submission.sender, key)).or_default();
        queue.packets.retain(|id| {
            state
                .packets
                .get(id)
                .is_some_and(|tracked| tracked.completion.is_none() || tracked.current_call.is_some())
        });
        queue.packets.push_back(submission.packet);
        self.queue_of_packet.insert(submission.packet, (submission.sender, key));
    }

    /// Removes a completed or abandoned packet from the queue of its key.
    pub fn packet_completed(&mut self, packet: PacketId) {
        if let Some(queue) = self.queue_of_packet.get(&packet).and_then(|id| self.queues.get_mut(id)) {
            queue.packets.retain(|other| *other != packet);
        }
    }

    /// Checks that no earlier packet of the same key is incomplete or may still be executed.
    pub fn call_received(&mut self, state: &mut RunState, call: &ObservedCall) {
        for packet in &call.packets {
            // The client of an abandoned packet got no reply, so its position in the order is unknown outside
            // the sender; the packet is not checked.
            if state.packets.get(packet).is_some_and(|tracked| tracked.abandoned) {
                continue;
            }
            let Some(queue) = self.queue_of_packet.get(packet).and_then(|id| self.queues.get(id)) else {
                continue;
            };
            // Packets submitted before this one whose acceptance clients knew of before this call was sent.
            let blocking = queue.packets.iter().take_while(|other| *other != packet).find(|other| {
                let accepted_at = state.packets.get(other).and_then(|tracked| tracked.accepted_at);
                accepted_at.is_some_and(|at| at + state.rules.crossing < state.now)
            });
            if let Some(blocking) = blocking.copied() {
                let events = vec![
                    format!("packet {} of the same key was taken before", blocking.0),
                    "it has no end yet".to_owned(),
                    format!("{}: a call with packet {} came", format_ms(state.now), packet.0),
                ];
                state.record_violation(Rule::Order, Some(*packet), events);
            } else if queue.possibly_executing.is_some_and(|other| other != *packet)
                && queue.blocked_until > state.now
            {
                let events = vec![
                    format!(
                        "a call with packet {} of the same key may still run",
                        queue.possibly_executing.map_or(0, |packet| packet.0)
                    ),
                    format!("the key rests until {}", format_ms(queue.blocked_until)),
                    format!("{}: a call with packet {} came", format_ms(state.now), packet.0),
                ];
                state.record_violation(Rule::Order, Some(*packet), events);
            }
        }
    }

    /// A call has completed: if it may still be executed, the keys of its packets are blocked for a time.
    pub fn call_completed(&mut self, state: &RunState, call: &ObservedCall, result: CallResult) {
        if result != CallResult::PossiblyExecuted {
            return;
        }
        for packet in &call.packets {
            if let Some(queue) = self.queue_of_packet.get(packet).and_then(|id| self.queues.get_mut(id)) {
                (queue.blocked_until, queue.possibly_executing) =
                    (state.now + state.rules.settle, Some(*packet));
            }
        }
    }

    /// A sender went down. Its next process knows which packets were accepted, but not in which order clients
    /// were notified, so packets without a known acceptance are removed.
    pub fn sender_down(&mut self, state: &RunState, sender: SenderId) {
        for (_, queue) in self.queues.iter_mut().filter(|((owner, _), _)| *owner == sender) {
            queue
                .packets
                .retain(|id| state.packets.get(id).is_some_and(|tracked| tracked.accepted_at.is_some()));
        }
    }
}
