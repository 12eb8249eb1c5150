//! Clients: which sender they hand a packet in to, what they hear, and when they come again.

use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;
use sailcart::PacketId;

use super::event::Event;
use super::submission::{Ended, Submission};
use super::world::World;
use crate::experiment::choose_by_key;
use crate::plan::{OriginId, SenderId};
use crate::results::tally::Count;
use crate::watcher::{End, Handed, Seen};

/// How long a client waits for its answer before it hands the packet in elsewhere.
const CLIENT_TIME_OUT: Duration = Duration::from_millis(400);
/// A client that finds no sender tries again so soon.
const NO_SENDER_PAUSE: Duration = Duration::from_millis(100);
/// A client's pause before it comes again is drawn between once and so many times the one in the experiment.
const MOST_PAUSE_FACTOR: f64 = 1.5;
impl World<'_> {
    /// A client hands its packet in to a sender of its choice.
    pub fn hand_in(&mut self, id: OriginId, tries: u32) {
        let origin = &self.plan.origins[id.0];
        let ends = origin.at + self.plan.category(origin.category).patience;
        if self.now >= ends {
            return;
        }
        let Some(sender) = self.choose_sender(id) else {
            self.queue.push(self.now + NO_SENDER_PAUSE, Event::HandIn { origin: id, tries });
            return;
        };
        let packet = PacketId(self.submissions.len() as u64);
        self.submissions.push(Submission::new(id, sender, tries, self.now, ends));
        self.see(Seen::Handed(Handed::new(self.plan, packet, id, sender)));
        self.tally.count(Count::HandedIn);
        if self.senders[sender.0].held.len() >= self.plan.terms.max_held {
            let retry_after = self.plan.terms.max_retry_after;
            return self.end_packet(Ended { packet, end: End::Dismissed, retry_after });
        }
        self.tally.holds(origin.destination, true);
        self.take(sender, packet);
    }

    /// By key where it has one, so that one sender gets all of a key while it runs; else any.
    fn choose_sender(&mut self, id: OriginId) -> Option<SenderId> {
        let senders = (0..self.senders.len()).map(SenderId);
        let taking: Vec<SenderId> = senders.filter(|sender| self.senders[sender.0].taking).collect();
        match self.plan.origins[id.0].key {
            Some(key) => choose_by_key(key, &taking),
            None => taking.choose(&mut self.rng).copied(),
        }
    }

    /// The client hears the answer to its handing in.
    pub fn answer_client(&mut self, packet: PacketId) {
        let first = self.origin_of(packet).at;
        let submission = self.submission_mut(packet);
        submission.answered = true;
        // The first handing in counts from the intended moment, a later one from its own.
        let from = if submission.tries == 0 { first } else { submission.handed };
        self.tally.answered(self.now.saturating_sub(from));
    }

    /// A packet's end: its client hears of it, and may come again after a dismissal.
    pub fn end_packet(&mut self, ended: Ended) {
        let Ended { packet, end, retry_after } = ended;
        let first_end = self.submission_mut(packet).end.replace(end).is_none();
        if first_end {
            self.release(packet);
        }
        let heard = self.submission(packet).answered;
        self.see(Seen::Ended(packet, end));
        match end {
            End::Done => {}
            End::Dismissed => self.tally.count(Count::Dismissed),
            End::Scrapped => self.tally.count(Count::Scrapped),
        }
        if !heard && end != End::Done {
            self.answer_client(packet);
        }
        if end == End::Dismissed && first_end {
            self.come_again(packet, retry_after);
        }
    }

    /// The packet's sender holds it no longer.
    pub fn release(&mut self, packet: PacketId) {
        let sender = self.submission(packet).sender;
        if self.senders[sender.0].held.remove(&packet) {
            self.tally.holds(self.origin_of(packet).destination, false);
        }
    }

    /// After a dismissal the client hands in again, a limited number of times and while its patience lasts.
    fn come_again(&mut self, packet: PacketId, retry_after: Option<Duration>) {
        let submission = &self.submissions[packet.0 as usize];
        let load = &self.plan.experiment.load;
        if submission.tries >= load.again {
            return;
        }
        let drawn = load.pause.mul_f64(self.rng.random_range(1.0..MOST_PAUSE_FACTOR));
        let at = self.now + drawn.max(retry_after.unwrap_or_default());
        let (origin, tries) = (submission.origin, submission.tries);
        if at < submission.ends.min(self.plan.comes_again_until(origin)) {
            self.queue.push(at, Event::HandIn { origin, tries: tries + 1 });
        }
    }

    /// A client heard nothing before its sender died: it hands in again, elsewhere.
    pub fn abandon(&mut self, packet: PacketId) {
        let open = self.submission_mut(packet).end.replace(End::Dismissed).is_none();
        self.see(Seen::Abandoned(packet));
        if open {
            self.release(packet);
        }
        let submission = self.submission(packet);
        let (origin, tries) = (submission.origin, submission.tries);
        self.queue.push(self.now + CLIENT_TIME_OUT, Event::HandIn { origin, tries });
    }
}
