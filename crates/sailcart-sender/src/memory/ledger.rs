//! Packets taken on and notices owed. Whatever must outlive the process is in the journal before it counts.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::io;
use std::path::Path;
use std::rc::Rc;

use sailcart::PacketId;
use sailcart_store::{Change, Disk, Fault, Room, Store, Sync};

use super::format1;
use super::records::{self, Form, Record, key};
use super::{Notice, Packet, Stand, Unix};

struct Kept {
    packet: Rc<Packet>,
    stand: Stand,
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
    owed: BTreeMap<PacketId, (Box<str>, Notice)>,
    numbers: HashMap<Box<str>, PacketId>,
    ended: Ended,
    /// Those that are over and stand in the store, the first one first.
    over: VecDeque<PacketId>,
    most_over: usize,
    next: u64,
    /// What packets that are kept may still need beside their own records.
    reserved: u64,
    /// The last write failed, and so was told.
    alarm: Option<&'static str>,
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
            alarm: None,
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
                    self.enter_owed(id, name, notice);
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
                format1::Record::Stands(id, stand) => self.stands(id, stand)?,
                format1::Record::Owed(id, _, notice) => self.owe(id, notice),
                format1::Record::Over(id) => {
                    self.over(id, None);
                    self.told(&[id]);
                }
            }
        }
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

    fn enter_owed(&mut self, id: PacketId, name: Box<str>, notice: Notice) {
        self.next = self.next.max(id.0 + 1);
        self.owed.insert(id, (name, notice));
    }

    /// What a packet may still need: how it stands, and its notice or its being over.
    fn reserve(packet: &Packet) -> u64 {
        let (start, notice) = (Unix(Default::default()), Notice::Dismissed(Some(Default::default())));
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
        self.write(&[Change::Put(&key, &value)])?;
        if std::mem::take(&mut self.full) {
            log::info!("journal: code=room_again");
        }
        self.enter(packet);
        Ok(())
    }

    /// A call is about to go out: all its packets in one record.
    pub fn sends(&mut self, ids: &[PacketId], at: Unix) -> io::Result<()> {
        let stands = ids.iter().filter(|id| self.kept.contains_key(id)).map(|id| {
            let old = self.stand(*id);
            // One that is still out was sent by an earlier life: nobody will hear whether it ran.
            let doubt = old.doubt.or(old.out);
            (*id, Stand { dispatches: old.dispatches + 1, doubt, out: Some(at) })
        });
        let stands: Vec<_> = stands.collect();
        self.stand_so(&stands)?;
        self.commit()
    }

    /// The dispatch came back.
    pub fn came_back(&mut self, id: PacketId, may_have_run: bool) -> io::Result<()> {
        let old = self.stand(id);
        let doubt = old.doubt.or(old.out.filter(|_| may_have_run));
        self.stands(id, Stand { dispatches: old.dispatches, doubt, out: None })
    }

    fn stands(&mut self, id: PacketId, stand: Stand) -> io::Result<()> {
        if self.kept.contains_key(&id) { self.stand_so(&[(id, stand)]) } else { Ok(()) }
    }

    fn stand_so(&mut self, stands: &[(PacketId, Stand)]) -> io::Result<()> {
        let values = stands.iter().map(|(id, stand)| (key(Form::Stand, *id), records::write_stand(stand)));
        let values: Vec<_> = values.collect();
        self.write(&values.iter().map(|(key, value)| Change::Put(key, value)).collect::<Vec<_>>())?;
        for (id, stand) in stands {
            self.kept.entry(*id).and_modify(|kept| kept.stand = *stand);
        }
        Ok(())
    }

    /// The packet is over, and nothing more is owed for it; perhaps its client was told of its end at once.
    pub fn over(&mut self, id: PacketId, told: Option<Notice>) {
        if let Some(kept) = self.leave(id, told) {
            self.finish(id, &kept.packet.id, told);
        }
    }

    /// Nothing more is owed. Its id stands for a while, so that one that comes again after a restart is known.
    fn finish(&mut self, id: PacketId, name: &str, told: Option<Notice>) {
        let ends = [Form::Packet, Form::Stand, Form::Owed].map(|form| key(form, id));
        let (over, value) = (key(Form::Over, id), records::write_over(name, told.as_ref()));
        let gone = (self.over.len() >= self.most_over).then(|| self.over.pop_front()).flatten();
        let gone = gone.map(|first| key(Form::Over, first));
        let mut changes: Vec<Change> = ends.iter().map(|key| Change::End(key)).collect();
        changes.extend(gone.iter().map(|key| Change::End(key)));
        if self.most_over > 0 {
            changes.push(Change::Put(&over, &value));
            self.over.push_back(id);
        }
        let written = self.write(&changes);
        warn(written);
    }

    /// The packet is over, and a notice is owed.
    pub fn owe(&mut self, id: PacketId, notice: Notice) {
        let Some(kept) = self.leave(id, None) else { return };
        let name = kept.packet.id.clone();
        let (packet, stand) = (key(Form::Packet, id), key(Form::Stand, id));
        let (owed, value) = (key(Form::Owed, id), records::write_owed(&name, &notice));
        let changes = [Change::End(&packet), Change::End(&stand), Change::Put(&owed, &value)];
        let written = self.write(&changes);
        warn(written);
        self.enter_owed(id, name, notice);
    }

    pub fn owed(&self) -> impl Iterator<Item = (PacketId, &str, Notice)> {
        self.owed.iter().map(|(id, (name, notice))| (*id, &**name, *notice))
    }

    /// The platform has these notices.
    pub fn told(&mut self, ids: &[PacketId]) {
        for id in ids {
            if let Some((name, _)) = self.owed.remove(id) {
                self.finish(*id, &name, None);
            }
        }
    }

    /// What was written until now outlives the power, where that is asked for: before a round's answers are told,
    /// and before a call's first byte.
    ///
    /// # Errors
    /// After a failed sync nobody knows what stands: the process must end, so that a new start reads it.
    pub fn commit(&mut self) -> io::Result<()> {
        if self.store.wants_sync() { Ok(self.store.sync()?) } else { Ok(()) }
    }

    /// One line when the disk fails or is full, one when it is well again.
    fn write(&mut self, changes: &[Change]) -> io::Result<()> {
        let written = self.store.write(changes);
        match (&written, self.alarm) {
            (Err(fault), alarm) if alarm != Some(fault.code()) => {
                self.alarm = Some(fault.code());
                log::error!(
                    "journal: code={} {fault}; nothing is taken until it is written again",
                    fault.code()
                );
            }
            (Ok(()), Some(_)) => {
                self.alarm = None;
                log::info!("journal: code=written_again");
            }
            _ => {}
        }
        written.map_err(Fault::into)
    }
}

fn unknown(key: &[u8]) -> io::Error {
    let words = format!("a record of a form that this version does not know ({:?})", key.first());
    io::Error::new(io::ErrorKind::InvalidData, words)
}

fn warn(written: io::Result<()>) {
    if let Err(fault) = written {
        log::debug!("journal: code=not_written {fault}");
    }
}
