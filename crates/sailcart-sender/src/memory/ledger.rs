//! Packets taken on and notices owed. Whatever must outlive the process is in the journal before it counts.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::io;
use std::path::Path;
use std::rc::Rc;

use sailcart::PacketId;

use super::journal::{self, Entry, Journal, Record};
use super::{Notice, Packet, Stand, Unix};

struct Kept {
    packet: Rc<Packet>,
    stand: Stand,
    size: u64,
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

pub struct Ledger {
    journal: Journal,
    kept: BTreeMap<PacketId, Kept>,
    owed: BTreeMap<PacketId, (Box<str>, Notice)>,
    numbers: HashMap<Box<str>, PacketId>,
    ended: Ended,
    next: u64,
    /// Bytes that the records of all packets and notices take, with room for what they may still need.
    live: u64,
    room: u64,
}

impl Ledger {
    /// `room` is all that the folder may hold. The journal is written anew at half of it, and of what it must
    /// carry over nothing is taken on beyond a quarter, so that both files fit while one replaces the other.
    /// So many `ended` packets are remembered.
    pub fn open(folder: &Path, room: u64, ended: usize) -> io::Result<Self> {
        let (journal, records) = Journal::open(folder, room / 2)?;
        let (kept, owed) = (BTreeMap::new(), BTreeMap::new());
        let (numbers, ended) = (HashMap::new(), Ended { most: ended, ..Ended::default() });
        let mut ledger = Ledger { journal, kept, owed, numbers, ended, next: 0, live: 0, room };
        for record in records {
            ledger.replay(record);
        }
        Ok(ledger)
    }

    fn replay(&mut self, record: Record<Packet>) {
        match record {
            Record::Taken(packet) => self.enter(packet),
            Record::Stands(id, stand) => {
                self.kept.entry(id).and_modify(|kept| kept.stand = stand);
            }
            Record::Owed(id, name, notice) => {
                self.leave(id, None);
                self.enter_owed(id, name, notice);
            }
            Record::Over(id) => {
                self.leave(id, None);
                self.leave_owed(id);
            }
        }
    }

    fn enter(&mut self, packet: Packet) {
        let size = Self::size(&packet);
        self.live += size;
        self.next = self.next.max(packet.number.0 + 1);
        self.numbers.insert(packet.id.clone(), packet.number);
        let kept = Kept { packet: Rc::new(packet), stand: Stand::default(), size };
        self.kept.insert(kept.packet.number, kept);
    }

    fn leave(&mut self, id: PacketId, told: Option<Notice>) -> Option<Kept> {
        let kept = self.kept.remove(&id)?;
        self.ended.note(&kept.packet.id, told);
        self.live -= kept.size;
        self.numbers.remove(&kept.packet.id);
        Some(kept)
    }

    fn enter_owed(&mut self, id: PacketId, name: Box<str>, notice: Notice) {
        self.next = self.next.max(id.0 + 1);
        self.live += journal::size(&Record::Owed(id, name.clone(), notice));
        self.owed.insert(id, (name, notice));
    }

    fn leave_owed(&mut self, id: PacketId) -> bool {
        let Some((name, notice)) = self.owed.remove(&id) else { return false };
        self.live -= journal::size(&Record::Owed(id, name, notice));
        true
    }

    fn size(packet: &Packet) -> u64 {
        let (start, stand) = (Unix(Default::default()), Stand::default());
        let stand = Stand { doubt: Some(start), out: Some(start), ..stand };
        let notice = Notice::Dismissed(Some(Default::default()));
        journal::size(&Record::Taken(packet))
            + journal::size(&Record::Stands(packet.number, stand))
            + journal::size(&Record::Owed(packet.number, packet.id.clone(), notice))
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

    /// Takes a packet on, or tells that it does not fit.
    pub fn take(&mut self, packet: Packet) -> io::Result<()> {
        if self.live + Self::size(&packet) > self.room / 4 {
            return Err(io::ErrorKind::StorageFull.into());
        }
        self.write(&Record::Taken(&packet))?;
        self.enter(packet);
        Ok(())
    }

    /// A dispatch is about to go out.
    pub fn sends(&mut self, id: PacketId, at: Unix) -> io::Result<()> {
        let old = self.stand(id);
        // One that is still out was sent by an earlier life: nobody will hear whether it ran.
        let doubt = old.doubt.or(old.out);
        self.stands(id, Stand { dispatches: old.dispatches + 1, doubt, out: Some(at) })
    }

    /// The dispatch came back.
    pub fn came_back(&mut self, id: PacketId, may_have_run: bool) -> io::Result<()> {
        let old = self.stand(id);
        let doubt = old.doubt.or(old.out.filter(|_| may_have_run));
        self.stands(id, Stand { dispatches: old.dispatches, doubt, out: None })
    }

    fn stands(&mut self, id: PacketId, stand: Stand) -> io::Result<()> {
        if !self.kept.contains_key(&id) {
            return Ok(());
        }
        self.write(&Record::Stands(id, stand))?;
        self.kept.entry(id).and_modify(|kept| kept.stand = stand);
        Ok(())
    }

    /// The packet is over, and nothing more is owed for it; perhaps its client was told of its end at once.
    pub fn over(&mut self, id: PacketId, told: Option<Notice>) {
        if self.leave(id, told).is_some() {
            let written = self.write(&Record::Over(id));
            warn(written);
        }
    }

    /// The packet is over, and a notice is owed.
    pub fn owe(&mut self, id: PacketId, notice: Notice) {
        let Some(kept) = self.leave(id, None) else { return };
        let name = kept.packet.id.clone();
        let written = self.write(&Record::Owed(id, name.clone(), notice));
        warn(written);
        self.enter_owed(id, name, notice);
    }

    pub fn owed(&self) -> impl Iterator<Item = (PacketId, &str, Notice)> {
        self.owed.iter().map(|(id, (name, notice))| (*id, &**name, *notice))
    }

    /// The platform has these notices.
    pub fn told(&mut self, ids: &[PacketId]) {
        for id in ids {
            if self.leave_owed(*id) {
                let written = self.write(&Record::Over(*id));
                warn(written);
            }
        }
    }

    /// Appends a record. Where it does not fit, the journal is first written anew with only what is still owed.
    fn write(&mut self, entry: &Entry) -> io::Result<()> {
        match self.journal.append(entry) {
            Err(fault) if fault.kind() == io::ErrorKind::StorageFull => {
                self.rewrite()?;
                self.journal.append(entry)
            }
            written => written,
        }
    }

    fn rewrite(&mut self) -> io::Result<()> {
        let kept = self.kept.values().flat_map(|kept| {
            let number = kept.packet.number;
            [Record::Taken(&*kept.packet), Record::Stands(number, kept.stand)]
        });
        let owed = self.owed.iter().map(|(id, (name, notice))| Record::Owed(*id, name.clone(), *notice));
        let before = self.journal.bytes();
        self.journal.rewrite(kept.chain(owed))?;
        log::info!("journal: code=rewritten {before} to {} bytes", self.journal.bytes());
        Ok(())
    }
}

fn warn(written: io::Result<()>) {
    if let Err(fault) = written {
        log::error!("journal: code=not_written {fault}");
    }
}
