//! A simulated folder in memory that injects failures at any file call: a crash of the process, a power loss,
//! a full disk or a device error. Random operations and a model to compare the store with.
#![allow(dead_code)]

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, ErrorKind};
use std::rc::Rc;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sailcart_store::{Change, Files, Store, StoreOptions, SyncPolicy};

#[derive(Clone, Default)]
struct Inode {
    bytes: Vec<u8>,
    /// The contents that survive a power loss.
    synced: Vec<u8>,
    /// Offset from which on bytes never reach the disk, because a failed sync has marked them as written.
    unsyncable_from: Option<usize>,
}

#[derive(Default)]
struct DiskState {
    inodes: Vec<Inode>,
    /// Index of the inode of each file.
    names: BTreeMap<String, usize>,
    /// The names that survive a power loss.
    synced_names: BTreeMap<String, usize>,
    locked: bool,
    call_count: u64,
    /// Number of the call within which the process crashes, and the share of the call that is done before.
    crash_at: Option<(u64, f64)>,
    crashed: bool,
    /// Numbers of the calls that fail.
    failing_calls: BTreeSet<u64>,
    /// Share of its bytes that a failing append writes before it fails.
    failed_append_share: f64,
    /// Total size in bytes that the files can have.
    capacity: Option<usize>,
}

/// The simulated folder. Clones share one state.
#[derive(Clone, Default)]
pub struct MemoryFiles(Rc<RefCell<DiskState>>);

impl MemoryFiles {
    /// Number of calls since the process started.
    pub fn call_count(&self) -> u64 {
        self.0.borrow().call_count
    }

    /// Lets the process crash within a call, of which a share is done before.
    pub fn crash_at(&self, call: u64, completed_share: f64) {
        self.0.borrow_mut().crash_at = Some((call, completed_share));
    }

    pub fn fail_call(&self, call: u64) {
        self.fail_calls([call], 0.0);
    }

    /// Lets calls fail. A failing append writes a share of its bytes first.
    pub fn fail_calls(&self, calls: impl IntoIterator<Item = u64>, append_share: f64) {
        let mut state = self.0.borrow_mut();
        state.failing_calls.extend(calls);
        state.failed_append_share = append_share;
    }

    /// Lets no call fail any more.
    pub fn clear_failures(&self) {
        self.0.borrow_mut().failing_calls.clear();
    }

    /// Whether the process has crashed.
    pub fn has_crashed(&self) -> bool {
        self.0.borrow().crashed
    }

    /// Limits the total size of the files in bytes; `None` for no limit.
    pub fn set_capacity(&self, bytes: Option<usize>) {
        self.0.borrow_mut().capacity = bytes;
    }

    /// Total size of the files in bytes, each rounded up to blocks of 512 bytes.
    pub fn used_bytes(&self) -> usize {
        let state = self.0.borrow();
        state.names.values().map(|inode| state.inodes[*inode].bytes.len().div_ceil(512) * 512).sum()
    }

    /// Starts the next process on the same folder.
    pub fn restart(&self) {
        let mut state = self.0.borrow_mut();
        (state.locked, state.crashed, state.call_count) = (false, false, 0);
        state.crash_at = None;
        state.failing_calls.clear();
    }

    /// Simulates a power loss: unsynced names and contents are randomly kept, lost, truncated or zeroed.
    pub fn lose_power(&self, seed: u64) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let state = &mut *self.0.borrow_mut();
        let names: Vec<String> = state.names.keys().chain(state.synced_names.keys()).cloned().collect();
        for name in names {
            if rng.random_bool(0.5) {
                continue; // this change of the folder reached the disk
            }
            match state.synced_names.get(&name) {
                Some(inode) => state.names.insert(name, *inode),
                None => state.names.remove(&name),
            };
        }
        for inode in &mut state.inodes {
            let unsynced_length = inode.bytes.len().saturating_sub(inode.synced.len());
            if inode.bytes.starts_with(&inode.synced) && unsynced_length > 0 {
                let kept_length = inode.synced.len() + rng.random_range(0..=unsynced_length);
                inode.bytes.truncate(kept_length);
                if rng.random_bool(0.3) {
                    let zeroed_from = inode.synced.len();
                    inode.bytes[zeroed_from..].iter_mut().for_each(|byte| *byte = 0);
                }
            } else if unsynced_length > 0 || inode.bytes.len() < inode.synced.len() {
                inode.bytes = inode.synced.clone(); // a truncation that was not synced
            }
            inode.synced = inode.bytes.clone();
            inode.unsyncable_from = None;
        }
        state.synced_names = state.names.clone();
    }

    pub fn read_file(&self, name: &str) -> Vec<u8> {
        let state = self.0.borrow();
        state.inodes[state.names[name]].bytes.clone()
    }

    /// Replaces a file by a new one, which survives a power loss.
    pub fn write_file(&self, name: &str, bytes: &[u8]) {
        let state = &mut *self.0.borrow_mut();
        state.inodes.push(Inode { bytes: bytes.to_vec(), synced: bytes.to_vec(), unsyncable_from: None });
        state.names.insert(name.to_owned(), state.inodes.len() - 1);
    }

    pub fn remove_file(&self, name: &str) {
        self.0.borrow_mut().names.remove(name);
    }

    pub fn file_names(&self) -> Vec<String> {
        self.0.borrow().names.keys().cloned().collect()
    }

    /// An independent folder with the same files.
    pub fn copy(&self) -> MemoryFiles {
        let copy = MemoryFiles::default();
        self.file_names().iter().for_each(|name| copy.write_file(name, &self.read_file(name)));
        copy
    }
}

impl DiskState {
    /// Counts a call. Returns the share of it that is done if the process crashes within it.
    fn begin_call(&mut self) -> io::Result<Option<f64>> {
        self.call_count += 1;
        if self.crashed {
            return Err(ErrorKind::BrokenPipe.into());
        }
        if self.failing_calls.remove(&self.call_count) {
            return Err(io::Error::other("the device failed"));
        }
        if let Some((_, completed_share)) = self.crash_at.filter(|(call, _)| *call == self.call_count) {
            self.crashed = true;
            return Ok(Some(completed_share));
        }
        Ok(None)
    }

    /// Counts a call that writes nothing. Such a call never fails, but the process may crash within it.
    fn begin_read(&mut self) -> io::Result<()> {
        let failing_calls = std::mem::take(&mut self.failing_calls);
        let begun = self.begin_call().map(drop);
        self.failing_calls = failing_calls;
        begun
    }

    /// Counts a call that is done completely or not at all, and returns which: a crash in its first half
    /// prevents it.
    fn begin_atomic_call(&mut self) -> io::Result<bool> {
        Ok(self.begin_call()?.is_none_or(|completed_share| completed_share >= 0.5))
    }

    /// The result of a call: an error if the process has crashed within it.
    fn finish_call<T>(&self, value: T) -> io::Result<T> {
        if self.crashed { Err(ErrorKind::BrokenPipe.into()) } else { Ok(value) }
    }

    fn total_bytes(&self) -> usize {
        self.names.values().map(|inode| self.inodes[*inode].bytes.len()).sum()
    }

    fn inode_of(&self, name: &str) -> io::Result<usize> {
        self.names.get(name).copied().ok_or(ErrorKind::NotFound.into())
    }
}

impl Files for MemoryFiles {
    type File = usize;

    fn lock(&mut self) -> io::Result<()> {
        let mut state = self.0.borrow_mut();
        if std::mem::replace(&mut state.locked, true) { Err(ErrorKind::WouldBlock.into()) } else { Ok(()) }
    }

    fn list(&mut self) -> io::Result<Vec<(String, u64)>> {
        let mut state = self.0.borrow_mut();
        state.begin_read()?;
        let listing =
            state.names.iter().map(|(name, inode)| (name.clone(), state.inodes[*inode].bytes.len() as u64));
        let listing = listing.collect();
        state.finish_call(listing)
    }

    fn create(&mut self, name: &str) -> io::Result<usize> {
        let mut state = self.0.borrow_mut();
        if state.begin_atomic_call()? {
            if state.names.contains_key(name) {
                return Err(ErrorKind::AlreadyExists.into());
            }
            state.inodes.push(Inode::default());
            let inode = state.inodes.len() - 1;
            state.names.insert(name.to_owned(), inode);
        }
        let inode = state.inodes.len().saturating_sub(1);
        state.finish_call(inode)
    }

    fn open(&mut self, name: &str) -> io::Result<usize> {
        let mut state = self.0.borrow_mut();
        state.begin_read()?;
        let inode = state.inode_of(name)?;
        state.finish_call(inode)
    }

    fn read_at(&mut self, file: &usize, offset: u64, buffer: &mut [u8]) -> io::Result<usize> {
        let state = self.0.borrow();
        let bytes = &state.inodes[*file].bytes;
        let start = (offset as usize).min(bytes.len());
        let length = buffer.len().min(bytes.len() - start);
        buffer[..length].copy_from_slice(&bytes[start..start + length]);
        state.finish_call(length)
    }

    fn append(&mut self, file: &mut usize, bytes: &[u8]) -> io::Result<usize> {
        let mut state = self.0.borrow_mut();
        let completed_share = match state.begin_call() {
            Ok(crash_share) => crash_share.unwrap_or(1.0),
            Err(error) => {
                let written = (bytes.len() as f64 * state.failed_append_share) as usize;
                if !state.crashed {
                    state.inodes[*file].bytes.extend_from_slice(&bytes[..written]);
                }
                return Err(error);
            }
        };
        let available =
            state.capacity.map_or(usize::MAX, |capacity| capacity.saturating_sub(state.total_bytes()));
        if available == 0 && !bytes.is_empty() {
            return Err(ErrorKind::StorageFull.into());
        }
        let length = ((bytes.len() as f64 * completed_share) as usize).min(available);
        state.inodes[*file].bytes.extend_from_slice(&bytes[..length]);
        state.finish_call(length)
    }

    fn truncate(&mut self, file: &mut usize, length: u64) -> io::Result<()> {
        let mut state = self.0.borrow_mut();
        if state.begin_atomic_call()? {
            state.inodes[*file].bytes.truncate(length as usize);
        }
        state.finish_call(())
    }

    fn sync(&mut self, file: &usize) -> io::Result<()> {
        let mut state = self.0.borrow_mut();
        match state.begin_atomic_call() {
            Ok(false) => {}
            Ok(true) => {
                let inode = &mut state.inodes[*file];
                let synced_length = inode.unsyncable_from.unwrap_or(usize::MAX).min(inode.bytes.len());
                inode.synced = inode.bytes[..synced_length].to_vec();
            }
            Err(error) => {
                // The bytes are now marked as written, so no later sync writes them.
                let inode = &mut state.inodes[*file];
                inode.unsyncable_from.get_or_insert(inode.synced.len());
                return Err(error);
            }
        }
        state.finish_call(())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        let mut state = self.0.borrow_mut();
        if state.begin_atomic_call()? {
            state.synced_names = state.names.clone();
        }
        state.finish_call(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut state = self.0.borrow_mut();
        if state.begin_atomic_call()? {
            let inode = state.inode_of(from)?;
            state.names.remove(from);
            state.names.insert(to.to_owned(), inode);
        }
        state.finish_call(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let mut state = self.0.borrow_mut();
        if state.begin_atomic_call()? {
            state.inode_of(name)?;
            state.names.remove(name);
        }
        state.finish_call(())
    }
}

/// A random write to the store.
#[derive(Clone, Debug, PartialEq)]
pub enum Operation {
    Put(u8, Vec<u8>),
    Delete(u8),
    /// Deletes one key and sets another, atomically.
    Replace(u8, u8, Vec<u8>),
}

/// The expected contents of a store.
pub type Model = BTreeMap<Vec<u8>, Vec<u8>>;

impl Operation {
    /// Random operations on few keys, with values of at most `max_value_bytes`.
    pub fn random(seed: u64, count: usize, max_value_bytes: usize) -> Vec<Operation> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let random_value = |rng: &mut ChaCha8Rng| {
            let length = rng.random_range(0..=max_value_bytes);
            (0..length).map(|_| rng.random()).collect::<Vec<u8>>()
        };
        (0..count)
            .map(|_| match rng.random_range(0..10) {
                0..6 => Operation::Put(rng.random_range(0..12), random_value(&mut rng)),
                6..9 => Operation::Delete(rng.random_range(0..12)),
                _ => Operation::Replace(
                    rng.random_range(0..12),
                    rng.random_range(0..12),
                    random_value(&mut rng),
                ),
            })
            .collect()
    }

    pub fn write(&self, store: &mut Store<MemoryFiles>) -> Result<(), sailcart_store::StoreError> {
        match self {
            Operation::Put(key, value) => store.write(&[Change::Put(&[*key], value)]),
            Operation::Delete(key) => store.write(&[Change::Delete(&[*key])]),
            Operation::Replace(deleted, key, value) => {
                store.write(&[Change::Delete(&[*deleted]), Change::Put(&[*key, 0], value)])
            }
        }
    }

    pub fn apply(&self, model: &mut Model) {
        match self {
            Operation::Put(key, value) => drop(model.insert(vec![*key], value.clone())),
            Operation::Delete(key) => drop(model.remove(&vec![*key])),
            Operation::Replace(deleted, key, value) => {
                model.remove(&vec![*deleted]);
                model.insert(vec![*key, 0], value.clone());
            }
        }
    }
}

pub fn options(sync: SyncPolicy) -> StoreOptions {
    StoreOptions { capacity_bytes: 64 * 1024, sync }
}

pub fn open(files: &MemoryFiles, sync: SyncPolicy) -> Store<MemoryFiles> {
    files.restart();
    Store::open(files.clone(), options(sync)).expect("the store opens").0
}

pub fn contents(store: &mut Store<MemoryFiles>) -> Model {
    let keys: Vec<Vec<u8>> = store.keys(&[], None).map(<[u8]>::to_vec).collect();
    keys.into_iter()
        .map(|key| {
            (key.clone(), store.get(&key).expect("the value is readable").expect("the key has a value"))
        })
        .collect()
}

/// Writes until the process crashes, skipping operations for which the store is full. Applies the confirmed
/// operations to the model and returns the interrupted one.
pub fn write_until_crash(
    store: &mut Store<MemoryFiles>,
    operations: &[Operation],
    model: &mut Model,
) -> Option<Operation> {
    for operation in operations {
        match operation.write(store) {
            Ok(()) => operation.apply(model),
            Err(error) if error.is_full() => {}
            Err(_) => return Some(operation.clone()),
        }
    }
    None
}

/// Whether the contents are what was confirmed, with or without the interrupted operation.
pub fn matches_model(found: &Model, confirmed: &Model, interrupted: Option<&Operation>) -> bool {
    let mut with_interrupted = confirmed.clone();
    interrupted.iter().for_each(|operation| operation.apply(&mut with_interrupted));
    found == confirmed || *found == with_interrupted
}
