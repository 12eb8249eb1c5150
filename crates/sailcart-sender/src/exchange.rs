//! Where clients and endpoints meet: the owner of the [`Sender`] and the [`Host`] that carries out what it
//! decides. What comes in is told to the sender at once; a round follows soon, and its answers go out.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use sailcart::{
    CategoryId, CustomerId, DestinationId, EndpointId, Host, KeyId, KindId, Listing, Outcome, PacketId,
    Sender,
};
use sailcart_terms::Names;
use tokio::sync::{Notify, oneshot};
use tokio::time::sleep_until;

use crate::endpoints::Endpoints;
use crate::memory::ledger::Ledger;
use crate::memory::untold::Untold;
use crate::memory::wakes::Wakes;
use crate::memory::{Notice, Packet, Unix};
use crate::wire::Put;
use crate::wire::call::{self, Ending};
use crate::wire::discovery::{Entry, List};
use crate::wire::http::Head;

/// What a client hears of a packet that it hands in.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    Taken,
    Dismissed(Option<Duration>),
    Scrapped,
    /// It names what the settings do not know.
    Unknown(&'static str),
}

/// A call on its way to an endpoint.
pub struct Call {
    pub endpoint: EndpointId,
    pub address: SocketAddr,
    pub packets: Vec<Rc<Packet>>,
    pub time_out: Duration,
    pub start: Instant,
    /// When its first byte went: a connection that comes up late is no slow answer.
    pub sent: Cell<Option<Instant>>,
    pub called_off: Rc<Notify>,
}

/// Longer than any destination remembers a key.
const LONG_AGO: Duration = Duration::from_secs(24 * 3600);

/// The sender's time, which starts early enough for all that the journal tells.
struct Clock {
    start: Instant,
    lead: Duration,
    zero: Duration,
}

impl Clock {
    /// From the times at which dispatches of earlier lives were sent. Guards against a machine's clock that went
    /// back since: one that lies ahead was sent at a time unknown, so its key counts as long forgotten.
    fn new(sent: impl Iterator<Item = Unix>) -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let known = |at: Unix| if at.0 > unix { unix.saturating_sub(LONG_AGO) } else { at.0 };
        let zero = sent.map(known).min().unwrap_or(unix);
        Clock { start: Instant::now(), lead: unix - zero, zero }
    }

    fn now(&self) -> Duration {
        self.lead + self.start.elapsed()
    }

    fn unix(&self, at: Duration) -> Unix {
        Unix(self.zero.saturating_add(at))
    }

    /// When a dispatch of an earlier life was sent.
    fn doubt(&self, unix: Unix) -> Duration {
        let at = self.since(unix);
        if at > self.now() { Duration::ZERO } else { at }
    }

    fn since(&self, unix: Unix) -> Duration {
        unix.0.saturating_sub(self.zero)
    }
}

/// What an endpoint is; one of which any of this changes is another endpoint.
#[derive(PartialEq)]
struct Place {
    address: SocketAddr,
    destination: DestinationId,
    kind: usize,
}

/// A destination that was not listed for so long is not known any more.
const FORGOTTEN: Duration = Duration::from_secs(3600);

/// A list that is being read. Nothing of it counts until it is committed.
pub struct StagedList {
    most: usize,
    entries: Vec<Entry>,
    /// Where each name's entry stands among the entries: the last one told of a name counts.
    places: HashMap<String, usize>,
}

/// The list names more endpoints than there is room for.
#[derive(Debug, PartialEq, Eq)]
pub struct ListTooLarge;

pub struct Exchange {
    within: RefCell<Within>,
    /// Something came in: a round is due.
    bell: Notify,
    /// Notices are owed.
    pub notices: Notify,
    /// The platform has some of them.
    heard: Notify,
}

struct Within {
    sender: Sender,
    desk: Desk,
    stopped: bool,
}

/// The sender's host, and names both ways.
struct Desk {
    clock: Clock,
    names: Names,
    batches: Vec<usize>,
    /// By category: no packet has longer, whatever the clock of an earlier life told.
    patience: Vec<Duration>,
    retry_after: Option<Duration>,
    ledger: Ledger,
    endpoints: HashMap<String, EndpointId>, // those that are listed and live, and no others
    places: HashMap<EndpointId, Place>,     // theirs
    next_endpoint: u32,
    /// When each destination was last listed.
    destinations: HashMap<DestinationId, Duration>,
    told: bool,                                                // discovery has spoken in this life
    answers: BTreeMap<PacketId, Vec<oneshot::Sender<Answer>>>, // of its client, and of twins
    out: BTreeMap<PacketId, Rc<Notify>>,
    sending: Vec<(EndpointId, Vec<(PacketId, Duration)>)>, // this round's dispatches
    closing: Vec<(EndpointId, &'static str)>,
    wakes: Wakes,
    untold: Untold,
    in_order: Vec<bool>, // by category
}

impl Exchange {
    pub fn new(terms: sailcart::Terms, seed: u64, names: Names, ledger: Ledger) -> Self {
        let stands = ledger.unended().into_iter().map(|packet| ledger.stand(packet.number));
        let clock = Clock::new(stands.filter_map(|stand| stand.doubt.or(stand.out)));
        let untold = Untold::new(ledger.owed().map(|(id, ..)| id));
        let desk = Desk {
            clock,
            names,
            batches: terms.kinds.iter().map(|kind| kind.batch.max(1)).collect(),
            patience: terms.categories.iter().map(|category| category.patience).collect(),
            retry_after: terms.retry_after,
            ledger,
            endpoints: HashMap::new(),
            places: HashMap::new(),
            next_endpoint: 0,
            destinations: HashMap::new(),
            told: false,
            answers: BTreeMap::new(),
            out: BTreeMap::new(),
            sending: Vec::new(),
            closing: Vec::new(),
            wakes: Wakes::default(),
            untold,
            in_order: terms.categories.iter().map(|category| category.in_order).collect(),
        };
        let within = Within { sender: Sender::new(terms, seed), desk, stopped: false };
        let (bell, notices, heard) = (Notify::new(), Notify::new(), Notify::new());
        Exchange { within: RefCell::new(within), bell, notices, heard }
    }

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

    /// The destination list as last known before this life.
    pub fn known(&self, list: &List) {
        let Within { sender, desk, .. } = &mut *self.within.borrow_mut();
        let lines = desk.listings(list);
        sender.list(desk.clock.now(), list.whole, &lines);
        self.bell.notify_one();
    }

    /// News of the destination list.
    pub fn list(&self, list: &List) {
        self.known(list);
        self.within.borrow_mut().desk.told = true;
    }

    /// Begins to stage a list of at most so many endpoints (live entries held after it would be in force).
    pub fn stage(&self, most: usize) -> StagedList {
        StagedList { most, entries: Vec::new(), places: HashMap::new() }
    }

    /// Adds entries as read.
    pub fn add(&self, staged: &mut StagedList, entries: Vec<Entry>) -> Result<(), ListTooLarge> {
        for entry in entries {
            if let Some(place) = staged.places.get(&entry.name) {
                staged.entries[*place] = entry;
            } else if staged.entries.len() < staged.most {
                staged.places.insert(entry.name.clone(), staged.entries.len());
                staged.entries.push(entry);
            } else {
                return Err(ListTooLarge);
            }
        }
        Ok(())
    }

    /// Puts it in force: `whole` replaces all that was told before.
    pub async fn commit(&self, staged: StagedList, whole: bool) {
        self.list(&List { version: 0, whole, entries: staged.entries });
    }

    /// Whether an endpoint is still listed, and live.
    pub fn lists(&self, endpoint: EndpointId) -> bool {
        self.within.borrow().desk.places.contains_key(&endpoint)
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

    /// Asked when a call's connection stands, before its first byte: whether it may still go. If so, the
    /// journal has it.
    pub fn sends(&self, call: &Call) -> bool {
        let Within { sender, desk, .. } = &mut *self.within.borrow_mut();
        let now = desk.clock.now();
        let ids: Vec<PacketId> = call.packets.iter().map(|packet| packet.number).collect();
        let go = ids.iter().all(|id| sender.may_still_go(now, *id)) && !desk.waits_for_notice(call);
        // In one record: else one that goes wrong half-way leaves doubt of packets that never went.
        let goes = go && desk.ledger.sends(&ids, desk.clock.unix(now)).is_ok();
        call.sent.set(goes.then(Instant::now));
        for packet in call.packets.iter().filter(|_| goes) {
            log::debug!("packet {}: goes to {}", packet.id, call.address);
        }
        goes
    }

    /// A call came back, with how each of its packets fared and perhaps what its answer tells of a limit.
    pub fn came_back(&self, call: &Call, endings: &[Ending], head: Option<&Head>) {
        let Within { sender, desk, .. } = &mut *self.within.borrow_mut();
        let (now, elapsed) = (desk.clock.now(), call.sent.get().unwrap_or(call.start).elapsed());
        let told =
            desk.names.reports.as_ref().zip(head).and_then(|(reports, head)| call::report(head, reports));
        if let Some((report, first)) = told.zip(call.packets.first()) {
            sender.report(first.number, report);
        }
        for (packet, (outcome, over)) in call.packets.iter().zip(endings) {
            let id = packet.number;
            desk.out.remove(&id);
            log::debug!("packet {} from {}: {outcome:?} after {elapsed:?}", packet.id, call.address);
            sender.outcome(now, id, elapsed, *outcome, *over);
            if *outcome == Outcome::Done && packet.ends <= desk.clock.unix(now) {
                // Whether it came in time nobody can tell here: the platform hears of an end, which does no harm to one that is over.
                desk.owe(id, Notice::Scrapped);
            } else if *over || *outcome == Outcome::Done {
                desk.ledger.over(id, None);
            } else if let Err(fault) = desk.ledger.came_back(id, may_have_run(*outcome)) {
                // What stands in the journal is the worse case: the dispatch may have run. The ledger has told of it.
                log::debug!("journal: code=not_written {fault}");
            }
        }
        self.bell.notify_one();
    }

    pub fn owed<T>(&self, read: impl FnOnce(&mut dyn Iterator<Item = (PacketId, &str, Notice)>) -> T) -> T {
        read(&mut self.within.borrow().desk.ledger.owed())
    }

    /// The platform has these notices.
    pub fn told(&self, ids: &[PacketId]) {
        log::debug!("notices: told {:?}", ids.iter().map(|id| id.0).collect::<Vec<_>>());
        let desk = &mut self.within.borrow_mut().desk;
        desk.ledger.told(ids);
        desk.untold.told(ids);
        self.heard.notify_waiters();
    }

    /// Waits until all that went before a call's packets in the order of their keys is over, also for the platform: an end that
    /// is decided and not yet told is none. In time for it, or at its end.
    pub async fn turn_comes(&self, call: &Call) {
        let end = call.start + call.time_out;
        loop {
            let heard = self.heard.notified();
            if !self.within.borrow().desk.waits_for_notice(call) {
                return;
            }
            tokio::select! {
                () = heard => {}
                () = call.called_off.notified() => return call.called_off.notify_one(),
                () = sleep_until(end.into()) => return,
            }
        }
    }

    pub fn calls_out(&self) -> usize {
        self.within.borrow().desk.out.len()
    }

    /// Takes nothing more; what is out may come back.
    pub fn stop(&self) {
        self.within.borrow_mut().stopped = true;
        self.bell.notify_one();
    }

    /// A round whenever something came in or the sender asked for one, but not too often.
    pub async fn rounds(self: Rc<Self>, pace: Duration, endpoints: Rc<Endpoints>) {
        loop {
            let wake = self.within.borrow().desk.wakes.next();
            tokio::select! {
                () = self.bell.notified() => {}
                () = sleep_until(wake.unwrap_or(Instant::now() + Duration::from_secs(3600)).into()) => {}
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
        if let Err(fault) = desk.ledger.commit() {
            // What heard +OK must stand; what does can only be read by a new start.
            log::error!("journal: code=not_synced {fault}; the sender ends");
            std::process::exit(1);
        }
        for (_, waiting) in std::mem::take(&mut desk.answers) {
            tell(waiting, Answer::Taken);
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
            return Err(told.map_or(Answer::Taken, answer));
        }
        if *stopped {
            return Err(Answer::Dismissed(desk.retry_after));
        }
        let now = desk.clock.now();
        let packet = desk.copy(put, now);
        let taken = desk.describe(&packet).map_err(Answer::Unknown)?;
        if desk.told && !desk.destinations.contains_key(&taken.destination) {
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

/// Told to some who may have gone: nothing is lost by it.
fn tell(waiting: Vec<oneshot::Sender<Answer>>, answer: Answer) {
    for one in waiting {
        let _ = one.send(answer);
    }
}

fn answer(notice: Notice) -> Answer {
    match notice {
        Notice::Dismissed(wait) => Answer::Dismissed(wait),
        Notice::Scrapped => Answer::Scrapped,
    }
}

fn may_have_run(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::Error | Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled)
}

/// Two keys that share a number only wait for each other; a table of all keys would grow without end.
fn key(about: &str) -> KeyId {
    let mut hasher = DefaultHasher::new();
    about.hash(&mut hasher);
    KeyId(hasher.finish())
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
            ends: self.clock.unix(now.saturating_add(put.patience)),
            body: put.body.into(),
        }
    }

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
            ends: self.clock.since(packet.ends),
            dispatches: stand.dispatches,
            doubt: stand.doubt.or(stand.out).map(|at| self.clock.doubt(at)),
            taken_on: false,
        })
    }

    /// What a list tells the sender. What has left it is forgotten here, so that a new endpoint at an address
    /// that was in use, or a new place for an old name, inherits nothing.
    fn listings(&mut self, list: &List) -> Vec<Listing> {
        let mut lines = Vec::new();
        if list.whole {
            let listed: HashSet<&str> = list.entries.iter().map(|entry| &*entry.name).collect();
            let gone = self.endpoints.keys().filter(|name| !listed.contains(&***name));
            for name in gone.cloned().collect::<Vec<_>>() {
                self.forget(&name, &mut lines);
            }
        }
        for entry in &list.entries {
            self.read_entry(entry, &mut lines);
        }
        let now = self.clock.now();
        self.destinations.extend(self.places.values().map(|place| (place.destination, now)));
        self.destinations.retain(|_, listed| now.saturating_sub(*listed) < FORGOTTEN);
        lines
    }

    fn read_entry(&mut self, entry: &Entry, lines: &mut Vec<Listing>) {
        let Some(kind) = self.names.kinds.get(&entry.kind).copied() else {
            return log::warn!("list: endpoint {} passed over, unknown kind {}", entry.name, entry.kind);
        };
        let place = Place { address: entry.address, destination: DestinationId(entry.destination), kind };
        // Known also while all its endpoints drain: packets for it are no mistake of their clients.
        self.destinations.insert(place.destination, self.clock.now());
        let old = self.endpoints.get(&entry.name).copied();
        let same = old.filter(|id| self.places.get(id) == Some(&place));
        if !entry.live || same.is_none() {
            self.forget(&entry.name, lines);
        }
        if entry.live {
            let endpoint = same.unwrap_or(EndpointId(self.next_endpoint));
            self.next_endpoint += u32::from(same.is_none());
            let line = Listing { endpoint, live: true, ..place.line(endpoint, entry.rate) };
            log::debug!(
                "list: {} of destination {}, {} a second",
                entry.address,
                entry.destination,
                entry.rate
            );
            self.endpoints.insert(entry.name.clone(), endpoint);
            self.places.insert(endpoint, place);
            lines.push(line);
        }
    }

    /// An endpoint drains, is gone, or is another now.
    fn forget(&mut self, name: &str, lines: &mut Vec<Listing>) {
        let Some(endpoint) = self.endpoints.remove(name) else { return };
        self.closing.push((endpoint, "unlisted"));
        lines.extend(self.places.remove(&endpoint).map(|place| place.line(endpoint, 0.0)));
    }

    /// This round's dispatches as calls: those to one endpoint travel together, up to its kind's batch.
    fn calls(&mut self) -> Vec<Call> {
        let mut calls = Vec::new();
        for (endpoint, sending) in std::mem::take(&mut self.sending) {
            let Some(Place { address, kind, .. }) = self.places.get(&endpoint) else { continue };
            let (address, batch) = (*address, self.batches[*kind]);
            for chunk in sending.chunks(batch) {
                let called_off = Rc::new(Notify::new());
                let ids = chunk.iter().map(|(id, _)| *id);
                self.out.extend(ids.clone().map(|id| (id, called_off.clone())));
                // One answer comes for all, so the first to run out of time ends the call.
                let time_out = chunk.iter().map(|(_, time_out)| *time_out).min().unwrap_or_default();
                let packets = ids.filter_map(|id| self.ledger.packet(id).cloned()).collect();
                let (start, sent) = (Instant::now(), Cell::new(None));
                calls.push(Call { endpoint, address, packets, time_out, start, sent, called_off });
            }
        }
        calls
    }

    /// The key by which a packet goes in order, if it does.
    fn order(&self, packet: &Packet) -> Option<KeyId> {
        let category = *self.names.categories.get(&*packet.category)?;
        packet.about.as_deref().filter(|_| self.in_order[category]).map(key)
    }

    fn waits_for_notice(&self, call: &Call) -> bool {
        let mut turns = call.packets.iter().filter_map(|packet| Some((packet.number, self.order(packet)?)));
        !self.untold.is_empty() && turns.any(|(id, key)| self.untold.before(id, key))
    }

    /// A packet's end without being delivered: told to its client if that still waits for its first answer,
    /// or else to the platform.
    fn end(&mut self, id: PacketId, notice: Notice) {
        let (ends, dispatches) =
            (self.ledger.packet(id).map(|packet| packet.ends), self.ledger.stand(id).dispatches);
        if let Some(left) = ends.map(|ends| ends.0.saturating_sub(self.clock.unix(self.clock.now()).0)) {
            log::debug!("packet {}: ends {notice:?}, {dispatches} dispatches, {left:?} left", id.0);
        }
        if let Some(waiting) = self.answers.remove(&id) {
            tell(waiting, answer(notice));
            self.ledger.over(id, Some(notice));
        } else {
            self.owe(id, notice);
        }
    }

    fn owe(&mut self, id: PacketId, notice: Notice) {
        if let Some(key) = self.ledger.packet(id).cloned().and_then(|packet| self.order(&packet)) {
            self.untold.owe(id, key);
        }
        self.ledger.owe(id, notice);
    }
}

impl Place {
    /// As the sender hears of it when it is no longer live.
    fn line(&self, endpoint: EndpointId, rate: f64) -> Listing {
        Listing { endpoint, destination: self.destination, kind: KindId(self.kind), live: false, rate }
    }
}

impl Host for Desk {
    fn dispatch(&mut self, packet: PacketId, endpoint: EndpointId, time_out: Duration) {
        match self.sending.iter_mut().find(|(other, _)| *other == endpoint) {
            Some((_, sending)) => sending.push((packet, time_out)),
            None => self.sending.push((endpoint, vec![(packet, time_out)])),
        }
    }

    fn cancel(&mut self, packet: PacketId, _: u32) {
        if let Some(called_off) = self.out.get(&packet) {
            called_off.notify_one();
        }
    }

    fn dismiss(&mut self, packet: PacketId, retry_after: Option<Duration>) {
        self.end(packet, Notice::Dismissed(retry_after));
    }

    fn scrap(&mut self, packet: PacketId) {
        self.end(packet, Notice::Scrapped);
    }

    fn close_idle(&mut self, endpoint: EndpointId) {
        self.closing.push((endpoint, "asked"));
    }

    /// `platform.rs` keeps a watch open by itself.
    fn ask_list(&mut self) {}

    fn wake(&mut self, after: Duration) {
        if let Some(at) = Instant::now().checked_add(after) {
            self.wakes.ask(at);
        }
    }
}
