//! Clients: how they choose a sender for a packet, which answers they receive and when they resubmit.

use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;
use sailcart::PacketId;

use super::event::Event;
use super::submission::{Completion, Submission};
use super::world::World;
use crate::experiment::choose_by_key;
use crate::plan::{PlannedPacketId, SenderId};
use crate::results::tally::Counter;
use crate::watcher::{CompletionKind, Observation, SubmittedPacket};

/// Time after which a client without an answer submits its packet to another sender.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(400);
/// Delay before a client that finds no accepting sender tries again.
const NO_SENDER_RETRY_DELAY: Duration = Duration::from_millis(100);
/// The delay before a resubmission is drawn uniformly from the configured pause to this multiple of it.
const MAX_PAUSE_FACTOR: f64 = 1.5;

impl World<'_> {
    /// A client submits its packet to a sender of its choice, unless the deadline of the packet has passed.
    pub fn submit(&mut self, planned_packet: PlannedPacketId, resubmissions: u32) {
        let planned = &self.plan.planned_packets[planned_packet.0];
        let deadline = planned.at + self.plan.category(planned.category).patience;
        if self.now >= deadline {
            return;
        }
        let Some(sender) = self.choose_sender(planned_packet) else {
            self.queue
                .push(self.now + NO_SENDER_RETRY_DELAY, Event::Submit { planned_packet, resubmissions });
            return;
        };
        let packet = PacketId(self.submissions.len() as u64);
        self.submissions.push(Submission::new(planned_packet, sender, resubmissions, self.now, deadline));
        self.observe(Observation::Submitted(SubmittedPacket::new(self.plan, packet, planned_packet, sender)));
        self.tally.increment(Counter::Submitted);
        if self.senders[sender.0].held.len() >= self.plan.settings.max_held {
            let retry_after = self.plan.settings.max_retry_after;
            return self.complete_packet(Completion { packet, kind: CompletionKind::Dismissed, retry_after });
        }
        self.tally.adjust_held(planned.destination, true);
        self.accept(sender, packet);
    }

    /// Chooses an accepting sender: by key if the packet has one, so that all packets of a key go to the same
    /// sender while it runs, otherwise at random.
    fn choose_sender(&mut self, planned_packet: PlannedPacketId) -> Option<SenderId> {
        let senders = (0..self.senders.len()).map(SenderId);
        let accepting: Vec<SenderId> = senders.filter(|sender| self.senders[sender.0].accepting).collect();
        match self.plan.planned_packets[planned_packet.0].key {
            Some(key) => choose_by_key(key, &accepting),
            None => accepting.choose(&mut self.rng).copied(),
        }
    }

    /// The client receives the answer to its submission; records the time it has waited.
    pub fn answer_client(&mut self, packet: PacketId) {
        let first = self.planned(packet).at;
        let submission = self.submission_mut(packet);
        submission.answered = true;
        // The first submission is measured from its planned time, a resubmission from its own time.
        let measured_from = if submission.resubmissions == 0 { first } else { submission.submitted_at };
        self.tally.record_answer(self.now.saturating_sub(measured_from));
    }

    /// Completes a packet: notifies its client, which may resubmit after a dismissal.
    pub fn complete_packet(&mut self, completion: Completion) {
        let Completion { packet, kind, retry_after } = completion;
        let is_first_completion = self.submission_mut(packet).completion.replace(kind).is_none();
        if is_first_completion {
            self.release(packet);
        }
        let was_answered = self.submission(packet).answered;
        self.observe(Observation::Completed(packet, kind));
        match kind {
            CompletionKind::Done => {}
            CompletionKind::Dismissed => self.tally.increment(Counter::Dismissed),
            CompletionKind::Scrapped => self.tally.increment(Counter::Scrapped),
        }
        if !was_answered && kind != CompletionKind::Done {
            self.answer_client(packet);
        }
        if kind == CompletionKind::Dismissed && is_first_completion {
            self.schedule_resubmission(packet, retry_after);
        }
    }

    /// Removes a packet from those that its sender holds.
    pub fn release(&mut self, packet: PacketId) {
        let sender = self.submission(packet).sender;
        if self.senders[sender.0].held.remove(&packet) {
            self.tally.adjust_held(self.planned(packet).destination, false);
        }
    }

    /// Schedules a resubmission after a dismissal, up to the configured number and until the resubmission
    /// deadline of the packet.
    fn schedule_resubmission(&mut self, packet: PacketId, retry_after: Option<Duration>) {
        let submission = &self.submissions[packet.0 as usize];
        let load = &self.plan.experiment.load;
        if submission.resubmissions >= load.again {
            return;
        }
        let pause = load.pause.mul_f64(self.rng.random_range(1.0..MAX_PAUSE_FACTOR));
        let at = self.now + pause.max(retry_after.unwrap_or_default());
        let (planned_packet, resubmissions) = (submission.planned_packet, submission.resubmissions);
        if at < submission.deadline.min(self.plan.resubmission_deadline(planned_packet)) {
            self.queue.push(at, Event::Submit { planned_packet, resubmissions: resubmissions + 1 });
        }
    }

    /// The sender of a packet died before its client had an answer: the client submits the packet again after
    /// its timeout, possibly to another sender.
    pub fn abandon(&mut self, packet: PacketId) {
        let is_first_completion =
            self.submission_mut(packet).completion.replace(CompletionKind::Dismissed).is_none();
        self.observe(Observation::Abandoned(packet));
        if is_first_completion {
            self.release(packet);
        }
        let submission = self.submission(packet);
        let (planned_packet, resubmissions) = (submission.planned_packet, submission.resubmissions);
        self.queue.push(self.now + CLIENT_TIMEOUT, Event::Submit { planned_packet, resubmissions });
    }
}
