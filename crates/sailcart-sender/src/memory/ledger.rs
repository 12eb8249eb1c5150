//! Packets taken on and notices owed. What must stand in the journal before it happens is refused where it cannot be written; what has
//! happened is written as soon as the folder takes it, and told to nobody before whom the next process could contradict it.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::io;
use std::path::Path;
use std::rc::Rc;

use sailcart::PacketId;
use sailcart_store::{Change, Disk, Fault, Room, Store, Sync};

use super::backlog::{Backlog, Group, OwnedChange};
use super::format1;
use super::moment::Moment;
use super::records::{self, Form, Record, key};
use super::{Notice, Packet, Stand};

struct Kept {
    packet: Rc<Packet>,
    stand: Stand,
}

/// A notice that the platform has not acknowledged.
struct Owed {
    id: Box<str>,
    notice: Notice,
    /// When its packet's time is over: from then on no process calls for it. `None` for one of an earlier life, whose record stands.
    ends: Option<Moment>,
}

/// The last packets that are over, and what their clients were told at once where they were not taken on.
#[derive(Default)]
struct Ended {
    told: HashMap<Box<str>, Option<Notice>>,
    order: VecDeque<Box<str>>,
    most: usize,
}

impl Ended {
    fn note(&mut self, id: &str, told: Option<Notice>) {
        if self.told.insert(id.into(), told).is_none() {
            self.order.push_back(id.into());
        }
        while self.order.len() > self.most {
            self.order.pop_front().and_then(|first| self.told.remove(&first));
        }
    }
}

/// Of the room, the part that ids of packets that are over may take.
const REMEMBERED: u64 = 16;
/// Bytes that one takes there, about.
const ID: u64 = 96;

pub struct Ledger {
    store: Store<Disk>,
    kept: BTreeMap<PacketId, Kept>,
    owed: BTreeMap<PacketId, Owed>,
    numbers: HashMap<Box<str>, PacketId>,
    ended: Ended,
    /// Those that are over and stand in the store, the first one first.
    over: VecDeque<PacketId>,
    most_over: usize,
    next: u64,
    /// What packets that are kept may still need beside their own records.
    reserved: u64,
    /// What has happened and could not be written yet.
    backlog: Backlog,
    /// Writes fail, and so was told.
    alarm: bool,
    /// No room for the last packet that came, and so was told.
    full: bool,
}

impl Ledger {
    /// `room` is all that the folder may hold. So many `ended` packets are remembered in memory, and of them as many
    /// over a restart as a sixteenth of the room holds.
    ///
    /// # Errors
    /// What [`Store::open`] refuses; a journal of another format than 1 beside it.
    pub fn open(folder: &Path, room: u64, ended: usize, sync: Sync) -> io::Result<Self> {
        let opened = Store::open(Disk::new(folder), Room { bytes: room, sync });
        let (store, standing) = opened.map_err(|fault| match fault {
            Fault::InUse => {
                let words = format!("{} is in use by another sender", folder.display());
                io::Error::new(io::ErrorKind::WouldBlock, words)
            }
            other => other.into(),
        })?;
        if standing.cut > 0 {
            log::warn!("journal: code=torn {} bytes cut, {} records kept", standing.cut, standing.records);
        }
        let most_over = ended.min((room / REMEMBERED / ID) as usize);
        let mut ledger = Ledger {
            store,
            kept: BTreeMap::new(),
            owed: BTreeMap::new(),
            numbers: HashMap::new(),
            ended: Ended { most: ended, ..Ended::default() },
            over: VecDeque::new(),
            most_over,
            next: 0,
            reserved: 0,
            backlog: Backlog::default(),
            alarm: false,
            full: false,
        };
        ledger.recover()?;
        ledger.carry_over(folder)?;
        Ok(ledger)
    }

    /// Packets come before how they stand and what is owed, by the order of keys.
    fn recover(&mut self) -> io::Result<()> {
        let keys: Vec<Box<[u8]>> = self.store.keys(&[], None).map(Box::from).collect();
        for key in keys {
            let Some(value) = self.store.get(&key)? else { continue };
            let record = records::read(&key, &value);
            match record.ok_or_else(|| unknown(&key))? {
                Record::Packet(packet) => self.enter(packet),
                Record::Stand(id, stand) => drop(self.kept.entry(id).and_modify(|kept| kept.stand = stand)),
                Record::Owed(id, name, notice) => {
                    self.ended.note(&name, None);
                    self.next = self.next.max(id.0 + 1);
                    self.owed.insert(id, Owed { id: name, notice, ends: None });
                }
                Record::Over(id, name, told) => {
                    self.ended.note(&name, told);
                    self.next = self.next.max(id.0 + 1);
                    self.over.push_back(id);
                }
            }
        }
        Ok(())
    }

    /// A journal of format 1: nothing new is taken before all of it stands here, so that a start cut short in the
    /// middle does the same again.
    fn carry_over(&mut self, folder: &Path) -> io::Result<()> {
        let Some(records) = format1::read(folder)? else { return Ok(()) };
        let count = records.len();
        for record in records {
            match record {
                format1::Record::Taken(packet) => self.take(packet)?,
                format1::Record::Stands(id, stand) => self.put_stand(id, stand),
                format1::Record::Owed(id, _, notice) => self.owe(id, notice),
                format1::Record::Over(id) => {
                    self.over(id);
                    self.told(&[id]);
                }
            }
        }
        self.write_backlog()?;
        self.store.sync()?;
        format1::retire(folder)?;
        log::info!("journal: code=carried_over {count} records of format 1");
        Ok(())
    }

    fn enter(&mut self, packet: Packet) {
        self.reserved += Self::reserve(&packet);
        self.next = self.next.max(packet.number.0 + 1);
        self.numbers.insert(packet.id.clone(), packet.number);
        let kept = Kept { packet: Rc::new(packet), stand: Stand::default() };
        self.kept.insert(kept.packet.number, kept);
    }

    fn leave(&mut self, id: PacketId, told: Option<Notice>) -> Option<Kept> {
        let kept = self.kept.remove(&id)?;
        self.ended.note(&kept.packet.id, told);
        self.reserved -= Self::reserve(&kept.packet);
        self.numbers.remove(&kept.packet.id);
        Some(kept)
    }

    /// What a packet may still need: how it stands, and its notice or its being over.
    fn reserve(packet: &Packet) -> u64 {
        let (start, notice) = (packet.ends, Notice::Dismissed(Some(Default::default())));
        let stand = Stand { doubt: Some(start), out: Some(start), dispatches: 0 };
        let cost = |form, value: &[u8]| Store::<Disk>::cost(&key(form, packet.number), value);
        cost(Form::Stand, &records::write_stand(&stand))
            + cost(Form::Owed, &records::write_owed(&packet.id, &notice))
            + cost(Form::Over, &records::write_over(&packet.id, Some(&notice)))
    }

    /// The number that the next packet gets.
    pub fn next(&self) -> PacketId {
        PacketId(self.next)
    }

    pub fn number(&self, id: &str) -> Option<PacketId> {
        self.numbers.get(id).copied()
    }

    /// Of a packet that is over and still remembered, what its client was told in place of being taken on.
    pub fn ended(&self, id: &str) -> Option<Option<Notice>> {
        self.ended.told.get(id).copied()
    }

    pub fn packet(&self, id: PacketId) -> Option<&Rc<Packet>> {
        self.kept.get(&id).map(|kept| &kept.packet)
    }

    pub fn stand(&self, id: PacketId) -> Stand {
        self.kept.get(&id).map(|kept| kept.stand).unwrap_or_default()
    }

    pub fn unended(&self) -> Vec<Rc<Packet>> {
        self.kept.values().map(|kept| kept.packet.clone()).collect()
    }

    /// Takes a packet on, or tells that it does not fit: with all that it may still need.
    pub fn take(&mut self, packet: Packet) -> io::Result<()> {
        let (key, value) = (key(Form::Packet, packet.number), records::write_packet(&packet));
        let more = Store::<Disk>::cost(&key, &value) + Self::reserve(&packet);
        if self.store.live() + self.reserved + more > self.store.room().budget() {
            if !std::mem::replace(&mut self.full, true) {
                log::warn!(
                    "journal: code=no_room for more packets; they are dismissed until others are over"
                );
            }
            return Err(io::ErrorKind::StorageFull.into());
        }
        match self.record(&[Change::Put(&key, &value)]) {
            // Its sync failed: it may stand, so it is taken. Its client hears so with the commit that makes sure of it.
            Ok(()) | Err(Fault::Unsure { .. }) => {}
            Err(fault) => return Err(fault.into()),
        }
        if std::mem::take(&mut self.full) {
            log::info!("journal: code=room_again");
        }
        self.enter(packet);
        Ok(())
    }

    /// A call is about to go out: all its packets in one record.
    ///
    /// # Errors
    /// Where it cannot be recorded, also for the loss of power where that is asked for: then the call must not go.
    pub fn sends(&mut self, ids: &[PacketId], at: Moment) -> io::Result<()> {
        let kept: Vec<PacketId> = ids.iter().copied().filter(|id| self.kept.contains_key(id)).collect();
        let before: Vec<_> = kept.iter().map(|id| (*id, self.stand(*id))).collect();
        let stands = before.iter().map(|(id, old)| {
            // One that is still out was sent by an earlier life: nobody will hear whether it ran.
            let doubt = old.doubt.or(old.out);
            (*id, Stand { dispatches: old.dispatches + 1, doubt, out: Some(at) })
        });
        let stands: Vec<_> = stands.collect();
        let values = stands.iter().map(|(id, stand)| (key(Form::Stand, *id), records::write_stand(stand)));
        let values: Vec<_> = values.collect();
        let changes: Vec<_> = values.iter().map(|(key, value)| Change::Put(key, value)).collect();
        let recorded = self.record(&changes);
        let may_stand = matches!(recorded, Ok(()) | Err(Fault::Unsure { .. }));
        let synced = recorded.and_then(|()| self.sync());
        if synced.is_ok() {
            stands.into_iter().for_each(|(id, stand)| self.set_stand(id, stand));
        } else if may_stand {
            // The record may count although the call does not go.
            before.into_iter().for_each(|(id, stand)| self.put_stand(id, stand));
        }
        Ok(synced?)
    }

    /// The dispatch came back.
    pub fn came_back(&mut self, id: PacketId, may_have_run: bool) {
        let old = self.stand(id);
        let doubt = old.doubt.or(old.out.filter(|_| may_have_run));
        let stand = Stand { dispatches: old.dispatches, doubt, out: None };
        if stand != old {
            self.put_stand(id, stand);
        }
    }

    fn set_stand(&mut self, id: PacketId, stand: Stand) {
        self.kept.entry(id).and_modify(|kept| kept.stand = stand);
    }

    fn put_stand(&mut self, id: PacketId, stand: Stand) {
        if self.kept.contains_key(&id) {
            self.set_stand(id, stand);
            let change = OwnedChange::Put(key(Form::Stand, id), records::write_stand(&stand));
            self.record_later(Group { packet: id, changes: vec![change] });
        }
    }

    /// The packet is over, and nothing more is owed for it.
    pub fn over(&mut self, id: PacketId) {
        if let Some(kept) = self.leave(id, None) {
            self.finish(id, &kept.packet.id);
        }
    }

    /// Nothing more is owed.
    fn finish(&mut self, id: PacketId, name: &str) {
        let changes = self.final_changes(id, name, None);
        self.remember(id);
        self.record_later(Group { packet: id, changes });
    }

    /// The packet is over, and its client, which has heard nothing yet, is to be told so with the next [`commit`](Self::commit) that
    /// succeeds. False, with nothing changed, where that cannot be recorded: the next process would find it as taken.
    #[must_use]
    pub fn over_at_once(&mut self, id: PacketId, told: Notice) -> bool {
        let Some(name) = self.kept.get(&id).map(|kept| kept.packet.id.clone()) else { return true };
        let changes = self.final_changes(id, &name, Some(told));
        let recorded = self.record(&changes.iter().map(OwnedChange::as_change).collect::<Vec<_>>());
        // A record whose sync failed may stand: nobody hears of it before it does.
        let stands = matches!(recorded, Ok(()) | Err(Fault::Unsure { .. }));
        if stands {
            self.leave(id, Some(told));
            self.remember(id);
        }
        stands
    }

    /// What ends all records of a packet. Its id stands for a while, so that one that comes again after a restart is known.
    fn final_changes(&self, id: PacketId, name: &str, told: Option<Notice>) -> Vec<OwnedChange> {
        let ends = [Form::Packet, Form::Stand, Form::Owed].map(|form| OwnedChange::End(key(form, id)));
        let mut changes = Vec::from(ends);
        if self.over.len() >= self.most_over {
            changes.extend(self.over.front().map(|first| OwnedChange::End(key(Form::Over, *first))));
        }
        if self.most_over > 0 {
            changes.push(OwnedChange::Put(key(Form::Over, id), records::write_over(name, told.as_ref())));
        }
        changes
    }

    /// Among the ids that stand for a while, this is the latest.
    fn remember(&mut self, id: PacketId) {
        if self.over.len() >= self.most_over {
            self.over.pop_front();
        }
        if self.most_over > 0 {
            self.over.push_back(id);
        }
    }

    /// The packet is over, and a notice is owed.
    pub fn owe(&mut self, id: PacketId, notice: Notice) {
        let Some(kept) = self.leave(id, None) else { return };
        let name = kept.packet.id.clone();
        let ends = [Form::Packet, Form::Stand].map(|form| OwnedChange::End(key(form, id)));
        let mut changes = Vec::from(ends);
        changes.push(OwnedChange::Put(key(Form::Owed, id), records::write_owed(&name, &notice)));
        self.next = self.next.max(id.0 + 1);
        self.owed.insert(id, Owed { id: name, notice, ends: Some(kept.packet.ends) });
        self.record_later(Group { packet: id, changes });
    }

    /// All notices that the platform has not acknowledged.
    pub fn owed(&self) -> impl Iterator<Item = (PacketId, &str, Notice)> {
        self.owed.iter().map(|(id, owed)| (*id, &*owed.id, owed.notice))
    }

    /// Those that may be told: their end is recorded, or their packet's time is over, so that no process calls for it again.
    pub fn tellable(
        &self,
        is_over: impl Fn(Moment) -> bool,
    ) -> impl Iterator<Item = (PacketId, &str, Notice)> {
        let all_recorded = self.is_recorded();
        let may = move |id: &PacketId, owed: &Owed| match owed.ends {
            None => true,
            Some(ends) => {
                all_recorded || is_over(ends) || !(self.store.wants_sync() || self.backlog.concerns(*id))
            }
        };
        let may_go = self.owed.iter().filter(move |(id, owed)| may(id, owed));
        may_go.map(|(id, owed)| (*id, &*owed.id, owed.notice))
    }

    /// The platform has these notices.
    pub fn told(&mut self, ids: &[PacketId]) {
        for id in ids {
            if let Some(owed) = self.owed.remove(id) {
                self.finish(*id, &owed.id);
            }
        }
    }

    /// All that has happened stands in the journal.
    pub fn is_recorded(&self) -> bool {
        self.backlog.is_empty() && !self.store.wants_sync()
    }

    /// Groups of changes that wait for the folder.
    pub fn behind(&self) -> usize {
        self.backlog.len()
    }

    /// Writes what waits for the folder, as far as that goes; then all that is written outlives the power, where that is asked for:
    /// before a round's answers are told.
    ///
    /// # Errors
    /// As a sync fails: what was written since the last one is not answered for until a later call succeeds.
    pub fn commit(&mut self) -> io::Result<()> {
        // What is left stands first in line for the next call; the alarm has told of it.
        let _left = self.write_backlog();
        Ok(self.sync()?)
    }

    fn sync(&mut self) -> Result<(), Fault> {
        let synced = if self.store.wants_sync() { self.store.sync() } else { return Ok(()) };
        self.tell_health(&synced);
        synced
    }

    /// Writes changes without which something must not happen, behind all that has.
    fn record(&mut self, changes: &[Change]) -> Result<(), Fault> {
        self.write_backlog()?;
        self.write(changes)
    }

    /// Writes changes that follow from what has happened, as soon as the folder takes them.
    fn record_later(&mut self, group: Group) {
        // Those that are left are written by the next call that can.
        let in_turn = self.write_backlog().is_ok();
        if !in_turn || self.write(&group.as_changes()).is_err() {
            self.backlog.push(group);
        }
    }

    fn write_backlog(&mut self) -> Result<(), Fault> {
        while let Some(group) = self.backlog.first() {
            let written = self.store.write(&group.as_changes());
            self.tell_health(&written);
            written?;
            self.backlog.written();
        }
        Ok(())
    }

    fn write(&mut self, changes: &[Change]) -> Result<(), Fault> {
        let written = self.store.write(changes);
        self.tell_health(&written);
        written
    }

    /// One line when the folder begins to fail, one when it is well again.
    fn tell_health(&mut self, written: &Result<(), Fault>) {
        match written {
            Err(fault) if !std::mem::replace(&mut self.alarm, true) => {
                log::error!(
                    "journal: code={} {fault}; nothing is taken until it is written again",
                    fault.code()
                );
            }
            Ok(()) if std::mem::take(&mut self.alarm) => {
                log::info!("journal: code=written_again waiting={}", self.backlog.len());
            }
            _ => {}
        }
    }
}

fn unknown(key: &[u8]) -> io::Error {
    let words = format!("a record of a form that this version does not know ({:?})", key.first());
    io::Error::new(io::ErrorKind::InvalidData, words)
}
