//! A folder in memory that fails on purpose: at any file call, by death of the process, loss of power, a full disk
//! or a fault of the device.
#![allow(dead_code)]

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, ErrorKind};
use std::rc::Rc;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sailcart_store::{Change, Files, Room, Store, Sync};

#[derive(Clone, Default)]
struct Inode {
    bytes: Vec<u8>,
    /// What outlives the power.
    synced: Vec<u8>,
    /// From here on its bytes never reach the disk: a sync failed and took them for written.
    lost_from: Option<usize>,
}

#[derive(Default)]
struct State {
    inodes: Vec<Inode>,
    names: BTreeMap<String, usize>,
    synced_names: BTreeMap<String, usize>,
    locked: bool,
    calls: u64,
    /// The process dies within this call; an append gets so much of its bytes down.
    dies_at: Option<(u64, f64)>,
    dead: bool,
    /// These calls fail.
    fails_at: BTreeSet<u64>,
    /// Of an append that fails, the share of its bytes that goes down all the same.
    fails_after: f64,
    /// Bytes over all files that the device has.
    capacity: Option<usize>,
}

#[derive(Clone, Default)]
pub struct Memory(Rc<RefCell<State>>);

impl Memory {
    pub fn calls(&self) -> u64 {
        self.0.borrow().calls
    }

    pub fn dies_at(&self, call: u64, part: f64) {
        self.0.borrow_mut().dies_at = Some((call, part));
    }

    pub fn fails_at(&self, call: u64) {
        self.fail([call], 0.0);
    }

    /// These calls fail; of an append, a share of its bytes goes down first.
    pub fn fail(&self, calls: impl IntoIterator<Item = u64>, after: f64) {
        let mut state = self.0.borrow_mut();
        state.fails_at.extend(calls);
        state.fails_after = after;
    }

    /// No call fails any more.
    pub fn mend(&self) {
        self.0.borrow_mut().fails_at.clear();
    }

    /// The process has died.
    pub fn is_dead(&self) -> bool {
        self.0.borrow().dead
    }

    pub fn capacity(&self, bytes: Option<usize>) {
        self.0.borrow_mut().capacity = bytes;
    }

    pub fn size(&self) -> usize {
        let state = self.0.borrow();
        state.names.values().map(|inode| state.inodes[*inode].bytes.len().div_ceil(512) * 512).sum()
    }

    /// The next process on the same folder.
    pub fn again(&self) {
        let mut state = self.0.borrow_mut();
        (state.locked, state.dead, state.calls) = (false, false, 0);
        state.dies_at = None;
        state.fails_at.clear();
    }

    /// The power was lost: what was not synced is kept, lost, cut or changed, by chance.
    pub fn lose_power(&self, seed: u64) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let state = &mut *self.0.borrow_mut();
        let all: Vec<String> = state.names.keys().chain(state.synced_names.keys()).cloned().collect();
        for name in all {
            if rng.random_bool(0.5) {
                continue; // this change of the folder made it
            }
            match state.synced_names.get(&name) {
                Some(inode) => state.names.insert(name, *inode),
                None => state.names.remove(&name),
            };
        }
        for inode in &mut state.inodes {
            let unsynced = inode.bytes.len().saturating_sub(inode.synced.len());
            if inode.bytes.starts_with(&inode.synced) && unsynced > 0 {
                let keep = inode.synced.len() + rng.random_range(0..=unsynced);
                inode.bytes.truncate(keep);
                if rng.random_bool(0.3) {
                    let from = inode.synced.len();
                    inode.bytes[from..].iter_mut().for_each(|byte| *byte = 0);
                }
            } else if unsynced > 0 || inode.bytes.len() < inode.synced.len() {
                inode.bytes = inode.synced.clone(); // a cut that was not synced
            }
            inode.synced = inode.bytes.clone();
            inode.lost_from = None;
        }
        state.synced_names = state.names.clone();
    }

    pub fn bytes(&self, name: &str) -> Vec<u8> {
        let state = self.0.borrow();
        state.inodes[state.names[name]].bytes.clone()
    }

    pub fn set(&self, name: &str, bytes: &[u8]) {
        let state = &mut *self.0.borrow_mut();
        state.inodes.push(Inode { bytes: bytes.to_vec(), synced: bytes.to_vec(), lost_from: None });
        state.names.insert(name.to_owned(), state.inodes.len() - 1);
    }

    pub fn remove_file(&self, name: &str) {
        self.0.borrow_mut().names.remove(name);
    }

    pub fn names(&self) -> Vec<String> {
        self.0.borrow().names.keys().cloned().collect()
    }

    /// A folder of its own with the same files.
    pub fn copy(&self) -> Memory {
        let copy = Memory::default();
        self.names().iter().for_each(|name| copy.set(name, &self.bytes(name)));
        copy
    }
}

impl State {
    /// One more call; how much of it is done before the process dies.
    fn call(&mut self) -> io::Result<Option<f64>> {
        self.calls += 1;
        if self.dead {
            return Err(ErrorKind::BrokenPipe.into());
        }
        if self.fails_at.remove(&self.calls) {
            return Err(io::Error::other("the device failed"));
        }
        if let Some((_, part)) = self.dies_at.filter(|(at, _)| *at == self.calls) {
            self.dead = true;
            return Ok(Some(part));
        }
        Ok(None)
    }

    /// One more call that writes nothing: none of these fails, though the process may die in it.
    fn read(&mut self) -> io::Result<()> {
        let fails_at = std::mem::take(&mut self.fails_at);
        let read = self.call().map(drop);
        self.fails_at = fails_at;
        read
    }

    /// A call that is done as a whole or not at all: not, if the process dies before the middle of it.
    fn whole(&mut self) -> io::Result<bool> {
        Ok(self.call()?.is_none_or(|part| part >= 0.5))
    }

    fn after<T>(&self, value: T) -> io::Result<T> {
        if self.dead { Err(ErrorKind::BrokenPipe.into()) } else { Ok(value) }
    }

    fn used(&self) -> usize {
        self.names.values().map(|inode| self.inodes[*inode].bytes.len()).sum()
    }

    fn find(&self, name: &str) -> io::Result<usize> {
        self.names.get(name).copied().ok_or(ErrorKind::NotFound.into())
    }
}

impl Files for Memory {
    type File = usize;

    fn lock(&mut self) -> io::Result<()> {
        let mut state = self.0.borrow_mut();
        if std::mem::replace(&mut state.locked, true) { Err(ErrorKind::WouldBlock.into()) } else { Ok(()) }
    }

    fn list(&mut self) -> io::Result<Vec<(String, u64)>> {
        let mut state = self.0.borrow_mut();
        state.read()?;
        let all =
            state.names.iter().map(|(name, inode)| (name.clone(), state.inodes[*inode].bytes.len() as u64));
        let all = all.collect();
        state.after(all)
    }

    fn create(&mut self, name: &str) -> io::Result<usize> {
        let mut state = self.0.borrow_mut();
        if state.whole()? {
            if state.names.contains_key(name) {
                return Err(ErrorKind::AlreadyExists.into());
            }
            state.inodes.push(Inode::default());
            let inode = state.inodes.len() - 1;
            state.names.insert(name.to_owned(), inode);
        }
        let inode = state.inodes.len().saturating_sub(1);
        state.after(inode)
    }

    fn open(&mut self, name: &str) -> io::Result<usize> {
        let mut state = self.0.borrow_mut();
        state.read()?;
        let inode = state.find(name)?;
        state.after(inode)
    }

    fn read_at(&mut self, file: &usize, offset: u64, into: &mut [u8]) -> io::Result<usize> {
        let state = self.0.borrow();
        let bytes = &state.inodes[*file].bytes;
        let from = (offset as usize).min(bytes.len());
        let length = into.len().min(bytes.len() - from);
        into[..length].copy_from_slice(&bytes[from..from + length]);
        state.after(length)
    }

    fn append(&mut self, file: &mut usize, bytes: &[u8]) -> io::Result<usize> {
        let mut state = self.0.borrow_mut();
        let part = match state.call() {
            Ok(part) => part.unwrap_or(1.0),
            Err(fault) => {
                let down = (bytes.len() as f64 * state.fails_after) as usize;
                if !state.dead {
                    state.inodes[*file].bytes.extend_from_slice(&bytes[..down]);
                }
                return Err(fault);
            }
        };
        let left = state.capacity.map_or(usize::MAX, |capacity| capacity.saturating_sub(state.used()));
        if left == 0 && !bytes.is_empty() {
            return Err(ErrorKind::StorageFull.into());
        }
        let length = ((bytes.len() as f64 * part) as usize).min(left);
        state.inodes[*file].bytes.extend_from_slice(&bytes[..length]);
        state.after(length)
    }

    fn truncate(&mut self, file: &mut usize, length: u64) -> io::Result<()> {
        let mut state = self.0.borrow_mut();
        if state.whole()? {
            state.inodes[*file].bytes.truncate(length as usize);
        }
        state.after(())
    }

    fn sync(&mut self, file: &usize) -> io::Result<()> {
        let mut state = self.0.borrow_mut();
        match state.whole() {
            Ok(false) => {}
            Ok(true) => {
                let inode = &mut state.inodes[*file];
                let most = inode.lost_from.unwrap_or(usize::MAX).min(inode.bytes.len());
                inode.synced = inode.bytes[..most].to_vec();
            }
            Err(fault) => {
                // Its bytes are taken for written; no later sync brings them down.
                let inode = &mut state.inodes[*file];
                inode.lost_from.get_or_insert(inode.synced.len());
                return Err(fault);
            }
        }
        state.after(())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        let mut state = self.0.borrow_mut();
        if state.whole()? {
            state.synced_names = state.names.clone();
        }
        state.after(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut state = self.0.borrow_mut();
        if state.whole()? {
            let inode = state.find(from)?;
            state.names.remove(from);
            state.names.insert(to.to_owned(), inode);
        }
        state.after(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let mut state = self.0.borrow_mut();
        if state.whole()? {
            state.find(name)?;
            state.names.remove(name);
        }
        state.after(())
    }
}

/// What a story writes.
#[derive(Clone, Debug, PartialEq)]
pub enum Act {
    Put(u8, Vec<u8>),
    End(u8),
    /// Both at once: one key for another.
    Swap(u8, u8, Vec<u8>),
}

pub type Plain = BTreeMap<Vec<u8>, Vec<u8>>;

impl Act {
    /// So many acts by chance, over a few keys, with values of up to so many bytes.
    pub fn some(seed: u64, count: usize, most: usize) -> Vec<Act> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let value = |rng: &mut ChaCha8Rng| {
            let length = rng.random_range(0..=most);
            (0..length).map(|_| rng.random()).collect::<Vec<u8>>()
        };
        (0..count)
            .map(|_| match rng.random_range(0..10) {
                0..6 => Act::Put(rng.random_range(0..12), value(&mut rng)),
                6..9 => Act::End(rng.random_range(0..12)),
                _ => Act::Swap(rng.random_range(0..12), rng.random_range(0..12), value(&mut rng)),
            })
            .collect()
    }

    pub fn write(&self, store: &mut Store<Memory>) -> Result<(), sailcart_store::Fault> {
        match self {
            Act::Put(key, value) => store.write(&[Change::Put(&[*key], value)]),
            Act::End(key) => store.write(&[Change::End(&[*key])]),
            Act::Swap(from, to, value) => {
                store.write(&[Change::End(&[*from]), Change::Put(&[*to, 0], value)])
            }
        }
    }

    pub fn apply(&self, plain: &mut Plain) {
        match self {
            Act::Put(key, value) => drop(plain.insert(vec![*key], value.clone())),
            Act::End(key) => drop(plain.remove(&vec![*key])),
            Act::Swap(from, to, value) => {
                plain.remove(&vec![*from]);
                plain.insert(vec![*to, 0], value.clone());
            }
        }
    }
}

pub fn room(sync: Sync) -> Room {
    Room { bytes: 64 * 1024, sync }
}

pub fn open(files: &Memory, sync: Sync) -> Store<Memory> {
    files.again();
    Store::open(files.clone(), room(sync)).expect("it opens").0
}

pub fn contents(store: &mut Store<Memory>) -> Plain {
    let keys: Vec<Vec<u8>> = store.keys(&[], None).map(<[u8]>::to_vec).collect();
    keys.into_iter().map(|key| (key.clone(), store.get(&key).expect("readable").expect("there"))).collect()
}

/// Writes until the process dies. What was answered for, and what was under way then.
pub fn until_death(store: &mut Store<Memory>, acts: &[Act], plain: &mut Plain) -> Option<Act> {
    for act in acts {
        match act.write(store) {
            Ok(()) => act.apply(plain),
            Err(fault) if fault.is_full() => {}
            Err(_) => return Some(act.clone()),
        }
    }
    None
}

/// What stands is what was answered for, with or without what was under way.
pub fn stands(found: &Plain, answered: &Plain, under_way: Option<&Act>) -> bool {
    let mut with = answered.clone();
    under_way.iter().for_each(|act| act.apply(&mut with));
    found == answered || *found == with
}
