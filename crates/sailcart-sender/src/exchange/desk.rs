//! The desk: what the sender's host keeps between rounds, and the end of a packet.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use sailcart::{EndpointId, PacketId};
use sailcart_terms::Names;
use tokio::sync::{Notify, oneshot};

use super::clock::Clock;
use super::directory::Directory;
use super::guard::{Invariant, Violations};
use super::packets::{Answer, tell};
use crate::memory::Notice;
use crate::memory::ledger::Ledger;
use crate::memory::untold::Untold;
use crate::memory::wakes::Wakes;

/// The sender's host, and names both ways.
pub(super) struct Desk {
    pub(super) clock: Clock,
    pub(super) names: Names,
    pub(super) batches: Vec<usize>,
    /// By category: no packet has longer, whatever the clock of an earlier life told.
    pub(super) patience: Vec<Duration>,
    pub(super) retry_after: Option<Duration>,
    pub(super) ledger: Ledger,
    /// Live endpoints, and which destinations are known.
    pub(super) directory: Directory,
    /// Discovery has spoken in this life.
    pub(super) told: bool,
    /// Who waits for the answer to a packet: its client, and those that handed in twins.
    pub(super) answers: BTreeMap<PacketId, Vec<oneshot::Sender<Answer>>>,
    /// Who is to hear, once this round's records stand, of an end in place of `+OK`.
    pub(super) ends: Vec<(Vec<oneshot::Sender<Answer>>, Notice)>,
    /// Packets that are out, each with what calls it off.
    pub(super) out: BTreeMap<PacketId, Rc<Notify>>,
    /// This round's dispatches.
    pub(super) sending: Vec<(EndpointId, Vec<(PacketId, Duration)>)>,
    /// Endpoints whose idle connections are to be closed, with the code for the log.
    pub(super) closing: Vec<(EndpointId, &'static str)>,
    pub(super) wakes: Wakes,
    pub(super) untold: Untold,
    /// By category: whether its packets go in the order of their keys.
    pub(super) in_order: Vec<bool>,
    pub(super) violations: Violations,
}

impl Desk {
    pub(super) fn new(terms: &sailcart::Terms, names: Names, ledger: Ledger) -> Self {
        let stands = ledger.unended().into_iter().map(|packet| ledger.stand(packet.number));
        let clock = Clock::new(stands.filter_map(|stand| stand.doubt.or(stand.out)));
        let untold = Untold::new(ledger.owed().map(|(id, ..)| id));
        Desk {
            clock,
            names,
            batches: terms.kinds.iter().map(|kind| kind.batch.max(1)).collect(),
            patience: terms.categories.iter().map(|category| category.patience).collect(),
            retry_after: terms.retry_after,
            ledger,
            directory: Directory::new(),
            told: false,
            answers: BTreeMap::new(),
            ends: Vec::new(),
            out: BTreeMap::new(),
            sending: Vec::new(),
            closing: Vec::new(),
            wakes: Wakes::default(),
            untold,
            violations: Violations::default(),
            in_order: terms.categories.iter().map(|category| category.in_order).collect(),
        }
    }

    /// A packet's end without being delivered: told to its client if that still waits for its first answer,
    /// or else to the platform.
    pub(super) fn end(&mut self, id: PacketId, notice: Notice) {
        let (ends, dispatches) =
            (self.ledger.packet(id).map(|packet| packet.ends), self.ledger.stand(id).dispatches);
        if let Some(left) = ends.map(|ends| self.clock.end(ends).saturating_sub(self.clock.now())) {
            log::debug!("packet {}: ends {notice:?}, {dispatches} dispatches, {left:?} left", id.0);
        }
        let Some(waiting) = self.answers.remove(&id) else { return self.owe(id, notice) };
        if self.ledger.over_at_once(id, notice) {
            self.ends.push((waiting, notice));
        } else {
            // The journal has it as taken and cannot be told otherwise now, so that is what its client hears; its end is a notice.
            log::warn!("packet {}: taken for its end, code=not_recorded", id.0);
            tell(waiting, Answer::Taken);
            self.owe(id, notice);
        }
    }

    /// The round's records stand: clients hear of it.
    pub(super) fn tell_round(&mut self) {
        for (waiting, notice) in std::mem::take(&mut self.ends) {
            tell(waiting, notice.into());
        }
        for (_, waiting) in std::mem::take(&mut self.answers) {
            tell(waiting, Answer::Taken);
        }
    }

    /// A notice is owed to the platform.
    pub(super) fn owe(&mut self, id: PacketId, notice: Notice) {
        if self.ledger.packet(id).is_none() {
            return self.violations.count(Invariant::SecondEnd, &id.0);
        }
        if let Some(key) = self.ledger.packet(id).cloned().and_then(|packet| self.order(&packet)) {
            self.untold.owe(id, key);
        }
        self.ledger.owe(id, notice);
    }
}
