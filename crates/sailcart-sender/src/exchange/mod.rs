//! Where clients and endpoints meet: the owner of the [`Sender`] and the host that carries out what it
//! decides. What comes in is told to the sender at once; a round follows soon, and its answers go out.

mod calls;
mod clock;
mod desk;
pub mod directory;
pub mod guard;
mod host;
mod lists;
mod packets;
pub mod staged;
pub mod update;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use sailcart::{PacketId, Sender};
use sailcart_terms::Names;
use tokio::sync::Notify;
use tokio::time::sleep_until;

use self::desk::Desk;
pub use self::packets::Answer;
pub use self::staged::{ListTooLarge, StagedList};
use crate::endpoints::Endpoints;
use crate::memory::Notice;
use crate::memory::ledger::Ledger;

/// How long what could not be written waits for its next try.
const RETRY: Duration = Duration::from_millis(50);
/// How long rounds wait where nothing comes in and the sender asked for none.
const LONGEST_REST: Duration = Duration::from_secs(3600);

pub struct Exchange {
    within: RefCell<Within>,
    /// Something came in: a round is due.
    bell: Notify,
    /// Notices are owed.
    pub notices: Notify,
    /// A call with some of them goes out.
    pub notices_out: Notify,
    /// The platform has some of them.
    heard: Notify,
}

struct Within {
    sender: Sender,
    desk: Desk,
    stopped: bool,
}

impl Exchange {
    pub fn new(terms: sailcart::Terms, seed: u64, names: Names, ledger: Ledger) -> Self {
        let desk = Desk::new(&terms, names, ledger);
        let within = Within { sender: Sender::new(terms, seed), desk, stopped: false };
        let (bell, heard) = (Notify::new(), Notify::new());
        let (notices, notices_out) = (Notify::new(), Notify::new());
        Exchange { within: RefCell::new(within), bell, notices, notices_out, heard }
    }

    /// Reads the notices that are owed.
    pub fn owed<T>(&self, read: impl FnOnce(&mut dyn Iterator<Item = (PacketId, &str, Notice)>) -> T) -> T {
        read(&mut self.within.borrow().desk.ledger.owed())
    }

    /// Reads the notices that may be told now: no process could contradict them.
    pub fn tellable<T>(
        &self,
        read: impl FnOnce(&mut dyn Iterator<Item = (PacketId, &str, Notice)>) -> T,
    ) -> T {
        let desk = &self.within.borrow().desk;
        read(&mut desk.ledger.tellable(|ends| desk.clock.is_over(ends)))
    }

    /// How often an invariant did not hold in this process.
    pub fn violations(&self) -> u64 {
        self.within.borrow().desk.violations.total()
    }

    /// Changes that wait for the state folder.
    pub fn behind(&self) -> usize {
        self.within.borrow().desk.ledger.behind()
    }

    /// The platform has these notices.
    pub fn told(&self, ids: &[PacketId]) {
        log::debug!("notices: told {:?}", ids.iter().map(|id| id.0).collect::<Vec<_>>());
        let desk = &mut self.within.borrow_mut().desk;
        desk.ledger.told(ids);
        desk.untold.told(ids);
        self.heard.notify_waiters();
    }

    /// Takes nothing more; what is out may come back.
    pub fn stop(&self) {
        self.within.borrow_mut().stopped = true;
        self.bell.notify_one();
    }

    /// At the end of a stop: clients whose packets stand in the folder, and not yet beyond a loss of power, hear so all the same. No
    /// answer would lose them, and the next life tries what stands.
    pub fn answer_unsynced(&self) {
        let desk = &mut self.within.borrow_mut().desk;
        if !desk.answers.is_empty() || !desk.ends.is_empty() {
            log::warn!("journal: code=answered_unsynced {} answers", desk.answers.len() + desk.ends.len());
            desk.tell_round();
        }
    }

    /// A round whenever something came in or the sender asked for one, but not too often.
    pub async fn rounds(self: Rc<Self>, pace: Duration, endpoints: Rc<Endpoints>) {
        loop {
            let (wake, recorded) = {
                let desk = &self.within.borrow().desk;
                (desk.wakes.next(), desk.ledger.is_recorded())
            };
            let latest = Instant::now() + if recorded { LONGEST_REST } else { RETRY };
            tokio::select! {
                () = self.bell.notified() => {}
                () = sleep_until(wake.map_or(latest, |wake| wake.min(latest)).into()) => {}
            }
            let start = Instant::now();
            self.round(&endpoints);
            sleep_until((start + pace).into()).await;
        }
    }

    fn round(self: &Rc<Self>, endpoints: &Rc<Endpoints>) {
        let Within { sender, desk, stopped } = &mut *self.within.borrow_mut();
        desk.wakes.meet(Instant::now());
        if !*stopped || !desk.answers.is_empty() {
            sender.decide(desk.clock.now(), desk);
        }
        match desk.ledger.commit() {
            Ok(()) => desk.tell_round(),
            // What would be told must outlive the power first: it is told with the round that can say so.
            Err(fault) => log::debug!("journal: code=not_committed {fault}"),
        }
        for (endpoint, code) in std::mem::take(&mut desk.closing) {
            endpoints.close(endpoint, code);
        }
        for call in desk.calls() {
            tokio::task::spawn_local(endpoints.clone().carry(call, self.clone()));
        }
        if desk.ledger.owed().next().is_some() {
            self.notices.notify_one();
        }
    }
}
