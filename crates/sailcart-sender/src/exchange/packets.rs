//! Taking packets: from clients, and from an earlier life of this sender.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;
use std::time::Duration;

use sailcart::{CategoryId, CustomerId, DestinationId, KeyId, PacketId};
use tokio::sync::oneshot;

use super::desk::Desk;
use super::{Exchange, Within};
use crate::memory::{Notice, Packet};
use crate::wire::Put;

/// What a client hears of a packet that it hands in.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    Taken,
    Dismissed(Option<Duration>),
    Scrapped,
    /// It names what the settings do not know.
    Unknown(&'static str),
}

impl From<Notice> for Answer {
    fn from(notice: Notice) -> Self {
        match notice {
            Notice::Dismissed(wait) => Answer::Dismissed(wait),
            Notice::Scrapped => Answer::Scrapped,
        }
    }
}

/// Told to some who may have gone: nothing is lost by it.
pub(super) fn tell(waiting: Vec<oneshot::Sender<Answer>>, answer: Answer) {
    for one in waiting {
        let _ = one.send(answer);
    }
}

/// Two keys that share a number only wait for each other; a table of all keys would grow without end.
pub(super) fn key(about: &str) -> KeyId {
    let mut hasher = DefaultHasher::new();
    about.hash(&mut hasher);
    KeyId(hasher.finish())
}

impl Exchange {
    /// Packets that are not over, in the order in which they were taken.
    pub fn unended(&self) -> Vec<Rc<Packet>> {
        self.within.borrow().desk.ledger.unended()
    }

    /// A packet of an earlier life comes back to the sender; one that the settings no longer know is given up.
    pub fn take_back(&self, packet: &Packet) {
        let Within { sender, desk, .. } = &mut *self.within.borrow_mut();
        match desk.describe(packet) {
            Ok(taken) => {
                let now = desk.clock.now();
                // Whatever the clock of the life before told, no packet has longer than its patience.
                let most = now.saturating_add(desk.patience[taken.category.0]);
                sender.take(now, sailcart::Packet { ends: taken.ends.min(most), taken_on: true, ..taken });
            }
            Err(unknown) => {
                log::warn!("packet {} scrapped, code=unknown_{unknown}", packet.id);
                desk.owe(packet.number, Notice::Scrapped);
            }
        }
        self.bell.notify_one();
    }

    /// A packet is handed in; the answer comes with the next round.
    pub fn take(&self, put: &Put) -> oneshot::Receiver<Answer> {
        let (answer, heard) = oneshot::channel();
        let within = &mut *self.within.borrow_mut();
        match within.enter(put) {
            Ok(number) => {
                within.desk.answers.entry(number).or_default().push(answer);
                self.bell.notify_one();
            }
            Err(at_once) => tell(vec![answer], at_once),
        }
        heard
    }
}

impl Within {
    /// The number under which a packet's answer is due, or the answer at once.
    fn enter(&mut self, put: &Put) -> Result<PacketId, Answer> {
        let Within { sender, desk, stopped } = self;
        if let Some(number) = desk.ledger.number(put.id) {
            // Handed in once more on another connection: it hears what the first would have heard.
            return if desk.answers.contains_key(&number) { Ok(number) } else { Err(Answer::Taken) };
        }
        // Guards against a packet that goes on after its end under the id of one that is over.
        if let Some(told) = desk.ledger.ended(put.id) {
            return Err(told.map_or(Answer::Taken, Answer::from));
        }
        if *stopped {
            return Err(Answer::Dismissed(desk.retry_after));
        }
        let now = desk.clock.now();
        let packet = desk.copy(put, now);
        let taken = desk.describe(&packet).map_err(Answer::Unknown)?;
        if desk.told && !desk.directory.knows(taken.destination) {
            return Err(Answer::Unknown("destination"));
        }
        desk.ledger.take(packet).map_err(|fault| {
            log::debug!("packet {} dismissed, code=journal {fault}", put.id);
            Answer::Dismissed(desk.retry_after)
        })?;
        let number = taken.id;
        log::debug!(
            "packet {}: taken as {}, about {:?}, for {:?}",
            put.id,
            number.0,
            put.about,
            put.patience
        );
        sender.take(now, taken);
        Ok(number)
    }
}

impl Desk {
    /// Copies what a client handed in: it must outlive the buffer.
    fn copy(&self, put: &Put, now: Duration) -> Packet {
        Packet {
            number: self.ledger.next(),
            id: put.id.into(),
            category: put.category.into(),
            customer: put.customer.map(Into::into),
            mark: put.mark.map(Into::into),
            about: put.about.map(Into::into),
            destination: DestinationId(put.destination),
            ends: self.clock.moment(now.saturating_add(put.patience)),
            body: put.body.into(),
        }
    }

    /// A packet as the sender takes it, or which of its names the settings do not know.
    fn describe(&mut self, packet: &Packet) -> Result<sailcart::Packet, &'static str> {
        let stand = self.ledger.stand(packet.number);
        let category = self.names.categories.get(&*packet.category).ok_or("category")?;
        let customer = match &packet.customer {
            None => None,
            Some(name) => Some(*self.names.customers.get(&**name).ok_or("customer")?),
        };
        Ok(sailcart::Packet {
            id: packet.number,
            destination: packet.destination,
            category: CategoryId(*category),
            customer: customer.map(CustomerId),
            key: packet.about.as_deref().map(key),
            ends: self.clock.end(packet.ends),
            dispatches: stand.dispatches,
            doubt: stand.doubt.or(stand.out).map(|at| self.clock.doubt(at)),
            taken_on: false,
        })
    }
}
