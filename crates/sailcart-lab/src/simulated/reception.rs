//! The receiving side: calls arrive, are executed and answered.

use sailcart::Outcome;

use super::call::{Call, Stage};
use super::event::Event;
use super::world::World;
use crate::receivers::{Answer, PacketAnswer};
use crate::watcher::{CallId, CallResult, Observation};

impl World<'_> {
    /// Handles the arrival of the last byte of a call.
    pub fn on_arrived(&mut self, id: CallId) {
        let Some(call) = self.calls.get(&id) else { return };
        let (sender, endpoint, packets) = (call.sender, call.endpoint, call.packets.clone());
        let upstream = self.upstream(endpoint);
        self.calls_not_arrived[upstream.0] -= 1;
        let destination = self.plan.endpoint(endpoint).destination;
        self.tally.record_dispatch(self.now, destination, packets.len());
        let call_packets = self.call_packets(&packets);
        let reception = self.receivers.receive_call(self.plan, self.now, endpoint, &call_packets);
        self.observe(Observation::CallReceived { call: id, sender, endpoint, upstream, packets });
        if reception.effects.contains(&true) {
            self.observe(Observation::Executed(id, reception.effects));
        }
        if reception.collapsed {
            self.observe(Observation::Collapsed(upstream));
        }
        let (due, answer) = reception.answer.unzip();
        if let Some(call) = self.calls.get_mut(&id) {
            call.advance(Stage::Arrived { answer, report: reception.report });
        }
        if let Some(due) = due {
            self.queue.push(due + self.plan.experiment.network.transit, Event::Answered(id));
        }
    }

    /// Handles the arrival of a call that was written before its sender died or aborted it.
    pub fn receive_abandoned_call(&mut self, id: CallId, call: &Call) {
        let upstream = self.upstream(call.endpoint);
        let call_packets = self.call_packets(&call.packets);
        let reception = self.receivers.receive_call(self.plan, self.now, call.endpoint, &call_packets);
        self.observe(Observation::CallReceived {
            call: id,
            sender: call.sender,
            endpoint: call.endpoint,
            upstream,
            packets: call.packets.clone(),
        });
        self.observe(Observation::Executed(id, reception.effects));
        self.observe(Observation::CallCompleted { call: id, result: CallResult::PossiblyExecuted });
    }

    /// Handles the arrival of an answer at the sender.
    pub fn on_answered(&mut self, id: CallId) {
        let Some(call) = self.calls.get(&id) else { return };
        let Stage::Arrived { answer: Some(answer), .. } = call.stage().clone() else { return };
        let several_packets = call.packets.len() > 1;
        let destination = self.plan.endpoint(call.endpoint).destination;
        self.pass_report(id, &answer);
        if let Answer::Rejected(_) = answer {
            self.tally.record_rejection(self.now, destination);
        }
        match answer {
            Answer::Done => self.finish_call(id, Outcome::Done),
            Answer::Error => self.finish_call(id, Outcome::Error),
            Answer::Rejected(wait) => self.finish_call(id, Outcome::Full(wait)),
            Answer::Reset => self.finish_call(id, Outcome::Reset),
            Answer::Malformed(manner) if manner.counts_as_delivered(several_packets) => {
                self.finish_call(id, Outcome::Done)
            }
            Answer::Malformed(_) => self.finish_call(id, Outcome::Error),
            Answer::Mixed(answers, wait) => {
                let answers = answers.into_iter().map(|packet_answer| match packet_answer {
                    PacketAnswer::Accepted => Outcome::Done,
                    PacketAnswer::Failed => Outcome::Error,
                    PacketAnswer::Deferred => Outcome::Full(wait),
                });
                self.finish_call_with(id, answers.collect());
            }
        }
    }

    /// Passes the limit reported by a readable answer to the policy.
    fn pass_report(&mut self, id: CallId, answer: &Answer) {
        let Some(call) = self.calls.get(&id).filter(|_| answer.is_readable()) else { return };
        let Stage::Arrived { report: Some(report), .. } = call.stage() else { return };
        let policy = self.senders[call.sender.0].policy.as_mut();
        if let Some((policy, packet)) = policy.zip(call.packets.first()) {
            policy.record_report(*packet, *report);
        }
    }
}
