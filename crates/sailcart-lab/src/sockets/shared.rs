//! What all parts of a run on sockets share: the clock, the receivers, the watcher, and every packet by its id.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use sailcart::{EndpointId, PacketId};
use tokio::time::Instant;

use crate::events::Log;
use crate::experiment::{Mode, Repeat};
use crate::plan::{OriginId, Plan, SenderId};
use crate::policies::PolicyName;
use crate::receivers::{Piece, Receivers};
use crate::results::tally::{Count, Tally};
use crate::results::{Cost, Outcome};
use crate::watcher::{CallId, End, GateId, Handed, Seen, Watcher};

/// A packet as handed in once.
pub struct Submission {
    pub origin: OriginId,
    pub sender: SenderId,
    pub tries: u32,
    pub taken: bool,
    pub end: Option<End>,
}

pub struct SharedState {
    pub plan: Rc<Plan>,
    start: Cell<Instant>,
    pub receivers: RefCell<Receivers>,
    watcher: RefCell<Watcher>,
    pub tally: RefCell<Tally>,
    log: RefCell<Log>,
    submissions: RefCell<Vec<Submission>>,
    next_call: Cell<u64>,
    /// Packets handed in, or to be handed in again, that nobody has ended.
    open: Cell<usize>,
    /// Clients are elsewhere: packets are known by what calls say of them.
    alone: Option<RefCell<HashMap<String, OriginId>>>,
    /// Ends that lead to another handing in: for the clients to fetch.
    pub again: RefCell<Vec<(OriginId, u32, Duration)>>,
}

impl SharedState {
    pub fn new(plan: Plan, log: Log) -> Rc<SharedState> {
        Rc::new(Self::build(plan, log, None))
    }

    /// Without clients, or without receivers, of one's own.
    pub fn alone(plan: Plan) -> Rc<SharedState> {
        Rc::new(Self::build(plan, Log::default(), Some(RefCell::default())))
    }

    fn build(plan: Plan, log: Log, alone: Option<RefCell<HashMap<String, OriginId>>>) -> SharedState {
        SharedState {
            receivers: RefCell::new(Receivers::new(&plan)),
            watcher: RefCell::new(Watcher::new(&plan.experiment.rules)),
            tally: RefCell::new(Tally::new(&plan)),
            log: RefCell::new(log),
            plan: Rc::new(plan),
            start: Cell::new(Instant::now()),
            submissions: RefCell::default(),
            next_call: Cell::new(0),
            open: Cell::new(0),
            alone,
            again: RefCell::default(),
        }
    }

    /// The experiment's time starts now.
    pub fn begin(&self) {
        self.start.set(Instant::now());
    }

    pub fn now(&self) -> Duration {
        self.start.get().elapsed()
    }

    pub fn instant(&self, at: Duration) -> Instant {
        self.start.get() + at
    }

    pub fn see(&self, seen: Seen) {
        let now = self.now();
        self.log.borrow_mut().write(now, &seen);
        self.watcher.borrow_mut().see(now, &seen);
    }

    pub fn gate(&self, endpoint: EndpointId) -> GateId {
        GateId(self.receivers.borrow().gate(endpoint))
    }

    pub fn next_call(&self) -> CallId {
        self.next_call.set(self.next_call.get() + 1);
        CallId(self.next_call.get())
    }

    /// A client hands a packet in; its id on the wire is its number.
    pub fn hand(&self, origin: OriginId, sender: SenderId, tries: u32) -> PacketId {
        let mut submissions = self.submissions.borrow_mut();
        let packet = PacketId(submissions.len() as u64);
        submissions.push(Submission { origin, sender, tries, taken: false, end: None });
        drop(submissions);
        let wanted = &self.plan.origins[origin.0];
        self.tally.borrow_mut().count(Count::HandedIn);
        self.tally.borrow_mut().holds(wanted.destination, true);
        self.open.set(self.open.get() + 1);
        self.see(Seen::Handed(Handed::new(&self.plan, packet, origin, sender)));
        packet
    }

    pub fn taken(&self, packet: PacketId) {
        let fresh = {
            let mut submissions = self.submissions.borrow_mut();
            let submission = &mut submissions[packet.0 as usize];
            !std::mem::replace(&mut submission.taken, true)
        };
        if fresh {
            self.see(Seen::Taken(packet));
        }
    }

    /// Its client heard nothing, and gives this handing in up.
    pub fn abandoned(&self, packet: PacketId) {
        self.close(packet, End::Dismissed);
        self.see(Seen::Abandoned(packet));
    }

    fn close(&self, packet: PacketId, end: End) -> bool {
        let mut submissions = self.submissions.borrow_mut();
        let submission = &mut submissions[packet.0 as usize];
        let first = submission.end.is_none();
        submission.end.get_or_insert(end);
        if first {
            let destination = self.plan.origins[submission.origin.0].destination;
            self.tally.borrow_mut().holds(destination, false);
            self.open.set(self.open.get() - 1);
        }
        first
    }

    /// A packet's end was told to its client or by a notice. A dismissal may bring it back.
    pub fn ended(&self, packet: PacketId, end: End, wait: Duration) {
        if packet.0 as usize >= self.submissions.borrow().len() {
            return self.tally.borrow_mut().count(Count::Strays);
        }
        let first = self.close(packet, end);
        self.see(Seen::Ended(packet, end));
        let (origin, tries) = {
            let submissions = self.submissions.borrow();
            (submissions[packet.0 as usize].origin, submissions[packet.0 as usize].tries)
        };
        match end {
            End::Done => {
                let after = self.now().saturating_sub(self.plan.origins[origin.0].at);
                self.tally.borrow_mut().delivered(origin, after);
            }
            End::Dismissed => self.tally.borrow_mut().count(Count::Dismissed),
            End::Scrapped => self.tally.borrow_mut().count(Count::Scrapped),
        }
        let load = &self.plan.experiment.load;
        if end == End::Dismissed && first && tries < load.again {
            let pause = load.pause.mul_f64(1.0 + (packet.0 % 50) as f64 / 100.0).max(wait);
            let at = self.now() + pause;
            if at < self.plan.comes_again_until(origin) {
                self.again.borrow_mut().push((origin, tries + 1, at));
            }
        }
    }

    /// Which packet a call names, if a client handed it in.
    pub fn known(&self, id: &str) -> Option<PacketId> {
        let number = u64::from_str_radix(id, 16).ok()?;
        if self.alone.is_some() {
            return Some(PacketId(number));
        }
        (number < self.submissions.borrow().len() as u64).then_some(PacketId(number))
    }

    pub fn sender(&self, packet: PacketId) -> SenderId {
        self.submissions.borrow().get(packet.0 as usize).map_or(SenderId(0), |submission| submission.sender)
    }

    pub fn piece(&self, packet: PacketId, mark: Option<&str>) -> Piece {
        if let Some(known) = &self.alone {
            // Nothing else tells which handings in are one packet.
            let mut known = known.borrow_mut();
            let next = OriginId(known.len());
            let name = mark.map_or_else(|| format!("id {}", packet.0), str::to_owned);
            let memory = self.plan.experiment.categories.iter().filter_map(|c| c.memory).max();
            let repeat = if mark.is_some() { Repeat::Deduplicated } else { Repeat::Idempotent };
            let memory = if mark.is_some() { memory.unwrap_or_default() } else { Duration::ZERO };
            return Piece { origin: *known.entry(name).or_insert(next), repeat, memory };
        }
        Piece::new(&self.plan, self.submissions.borrow()[packet.0 as usize].origin)
    }

    /// A connection that could not come up is not seen here: who had packets for it must have tried.
    pub fn missed(&self, gate: GateId, endpoints: &[EndpointId]) {
        let mut senders: Vec<SenderId> = Vec::new();
        for submission in self.submissions.borrow().iter().filter(|submission| submission.end.is_none()) {
            let to = self.plan.origins[submission.origin.0].destination;
            if endpoints.iter().any(|endpoint| self.plan.place(*endpoint).destination == to) {
                senders.push(submission.sender);
            }
        }
        senders.sort();
        senders.dedup();
        for sender in senders {
            self.see(Seen::NoConnection { sender, gate });
        }
    }

    /// Nothing is open any more, and nobody is to come again.
    pub fn settled(&self) -> bool {
        self.open.get() == 0 && self.again.borrow().is_empty()
    }

    pub fn standing(&self) -> String {
        self.tally.borrow().standing()
    }

    pub fn finish(&self, mode: Mode, policy: PolicyName, cost: Vec<Cost>) -> Outcome {
        let mut watcher = self.watcher.borrow_mut();
        if self.alone.is_none() {
            watcher.finish(self.plan.end());
        }
        self.log.borrow_mut().finish();
        let tally = self.tally.replace(Tally::new(&self.plan));
        tally.outcome(&self.plan, mode, policy, &watcher, cost)
    }
}
