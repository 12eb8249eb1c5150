//! Holds a destination list while it is read. Nothing of it takes effect until it is applied by an
//! [`Update`](super::update::Update).

use std::collections::VecDeque;
use std::fmt;
use std::hash::{BuildHasher, RandomState};

use compact_str::CompactString;
use sailcart::DestinationId;

use super::directory::{Directory, EndpointEntry, EndpointSpec, Index, Target};

/// Largest number of list entries passed to the decision module at once.
pub const MAX_CHANGES_PER_STEP: usize = 2048;
/// Number of staged entries that are allocated, applied and freed together. Each leads to at most two
/// list entries: the removal of its previous endpoint and the addition of the new one.
pub(super) const CHUNK_ENTRIES: usize = MAX_CHANGES_PER_STEP / 2;

/// The list would leave more live endpoints than are allowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListTooLarge {
    /// Largest number of endpoints allowed.
    pub max_endpoints: usize,
}

impl fmt::Display for ListTooLarge {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "more than {} endpoints", self.max_endpoints)
    }
}

impl std::error::Error for ListTooLarge {}

/// An entry that differs from the directory.
pub(super) struct StagedEntry {
    pub(super) name: CompactString,
    pub(super) destination: DestinationId,
    /// Calls per second from all senders.
    pub(super) rate: f64,
    pub(super) target: Target,
    /// False for an endpoint that drains.
    pub(super) live: bool,
    /// A later entry of the same list has the same name.
    pub(super) overridden: bool,
}

impl StagedEntry {
    fn new(listed: &EndpointEntry) -> Self {
        StagedEntry {
            name: CompactString::new(listed.name),
            destination: listed.spec.destination,
            rate: listed.rate,
            target: Target::new(listed.spec.address, listed.spec.kind),
            live: listed.live,
            overridden: false,
        }
    }

    pub(super) fn spec(&self) -> EndpointSpec {
        EndpointSpec {
            address: self.target.address(),
            destination: self.destination,
            kind: self.target.kind(),
        }
    }
}

/// A destination list that is being read. It takes effect only when it is applied.
///
/// An entry equal to the directory is only marked there; the others are stored here, in chunks that are freed
/// as they are applied. Only one list is staged at a time: as soon as the next one is begun, this one is
/// superseded.
pub struct StagedList {
    /// Number of this list, as the directory counts the lists that were begun.
    pub(super) generation: u32,
    /// Largest number of live endpoints once the list is in force.
    pub(super) max_endpoints: usize,
    /// The staged entries in the order in which they were read.
    pub(super) chunks: VecDeque<Vec<StagedEntry>>,
    /// Position of the last staged entry of each name.
    last_by_name: Index<u32>,
    hasher: RandomState,
    staged_count: usize,
    /// Destinations of entries that were equal to the directory and are overridden by a later entry.
    pub(super) overridden_destinations: Vec<DestinationId>,
    /// Number of endpoints in the directory that the list names.
    pub(super) named_endpoints: usize,
    /// Number of names whose last entry is live.
    live_names: usize,
    /// Number of names that the list turns from live to draining: live in the directory or in an earlier
    /// entry.
    removed_endpoints: usize,
    /// Number of names that the list turns from not live to live.
    added_endpoints: usize,
    /// Largest number of list entries that the list leads to, without the endpoints that a full list removes
    /// by not naming them.
    pub(super) max_list_entries: usize,
    /// Number of entries whose kind is not in the settings.
    unknown_kinds: usize,
}

/// Number of entries of unknown kinds that are logged one by one for each list.
const MAX_LOGGED_UNKNOWN_KINDS: usize = 3;

impl StagedList {
    /// Begins a list. At most `max_endpoints` endpoints may be live once it is in force.
    pub fn new(directory: &mut Directory, max_endpoints: usize) -> Self {
        StagedList {
            generation: directory.begin_list(),
            max_endpoints,
            chunks: VecDeque::new(),
            last_by_name: Index::default(),
            hasher: directory.hasher().clone(),
            staged_count: 0,
            overridden_destinations: Vec::new(),
            named_endpoints: 0,
            live_names: 0,
            removed_endpoints: 0,
            added_endpoints: 0,
            max_list_entries: 0,
            unknown_kinds: 0,
        }
    }

    /// Counts an entry that is skipped because its kind is not in the settings, and logs the first few of a
    /// list.
    pub(super) fn log_unknown_kind(&mut self, name: &str, kind: &str) {
        self.unknown_kinds += 1;
        if self.unknown_kinds <= MAX_LOGGED_UNKNOWN_KINDS {
            log::warn!("list: endpoint {name} skipped, unknown kind {kind}");
        }
    }

    /// Logs the number of entries of unknown kinds unless each of them was logged.
    pub(super) fn log_unknown_kind_count(&self) {
        if self.unknown_kinds > MAX_LOGGED_UNKNOWN_KINDS {
            log::warn!("list: {} entries skipped, unknown kind", self.unknown_kinds);
        }
    }

    /// Number of entries stored because they differ from the directory.
    pub fn differences(&self) -> usize {
        self.staged_count
    }

    /// Adds the next entry of the list.
    ///
    /// # Errors
    /// Fails as soon as the list names more live endpoints, or stores more entries, than are allowed.
    pub fn add(&mut self, directory: &mut Directory, listed: &EndpointEntry) -> Result<(), ListTooLarge> {
        if !self.is_latest(directory) {
            return Ok(());
        }
        let current = directory.compare(self.generation, listed);
        let staged_live = self.last_staged_live(listed.name);
        let named = current.as_ref().is_some_and(|current| current.named);
        // Whether the entries so far list this name as live, and whether it would be live if they were
        // applied.
        let was_listed = staged_live.unwrap_or(named);
        let was_live = staged_live.unwrap_or(current.is_some());
        self.named_endpoints += usize::from(current.is_some() && !named);
        self.live_names = self.live_names + usize::from(listed.live) - usize::from(was_listed);
        let current = current.filter(|_| staged_live.is_none());
        if current.as_ref().is_some_and(|current| current.unchanged) {
            return self.check_limits();
        }
        if let Some(current) = current.as_ref().filter(|current| current.was_unchanged) {
            self.overridden_destinations.push(current.destination);
        }
        self.added_endpoints += usize::from(listed.live && !was_live);
        self.removed_endpoints += usize::from(!listed.live && was_live);
        let stays = listed.live && current.is_some_and(|current| current.same_spec);
        self.max_list_entries += usize::from(listed.live) + usize::from(was_live && !stays);
        self.push(listed);
        self.check_limits()
    }

    /// Skips an entry: the endpoint that the directory has under its name stays, also if the list is a full
    /// one.
    ///
    /// # Errors
    /// As for [`add`](Self::add).
    pub fn skip_entry(&mut self, directory: &mut Directory, name: &str) -> Result<(), ListTooLarge> {
        if self.is_latest(directory) && directory.mark_named(self.generation, name) {
            self.named_endpoints += 1;
            self.live_names += 1;
        }
        self.check_limits()
    }

    /// Checks the number of live endpoints after the list is applied.
    ///
    /// # Errors
    /// Fails if more endpoints than are allowed would be live.
    pub fn fits(&self, directory: &Directory, full: bool) -> Result<(), ListTooLarge> {
        let before = if full { self.named_endpoints } else { directory.len() };
        let after = (before + self.added_endpoints).saturating_sub(self.removed_endpoints);
        if after > self.max_endpoints {
            Err(ListTooLarge { max_endpoints: self.max_endpoints })
        } else {
            Ok(())
        }
    }

    /// Whether no list was begun after this one.
    pub(super) fn is_latest(&self, directory: &Directory) -> bool {
        directory.is_latest(self.generation)
    }

    /// Frees what is needed only while the list is read.
    pub(super) fn finish_reading(&mut self) {
        self.last_by_name = Index::default();
    }

    /// Checks the live endpoints that the list names, and the number of stored entries. The latter stops an
    /// endless list of draining endpoints that are not in the directory. Twice `max_endpoints` suffices for
    /// any valid list: each endpoint in the directory may be removed and another one added.
    fn check_limits(&self) -> Result<(), ListTooLarge> {
        let max_staged = self.max_endpoints.saturating_mul(2).saturating_add(MAX_CHANGES_PER_STEP);
        if self.live_names > self.max_endpoints || self.staged_count > max_staged {
            return Err(ListTooLarge { max_endpoints: self.max_endpoints });
        }
        Ok(())
    }

    /// Whether the last staged entry of this name is live; `None` if there is no such entry.
    fn last_staged_live(&self, name: &str) -> Option<bool> {
        let position =
            self.last_by_name.find(self.hasher.hash_one(name), |position| self.has_name(*position, name))?;
        self.entry(*position).map(|entry| entry.live)
    }

    fn push(&mut self, listed: &EndpointEntry) {
        let hash = self.hasher.hash_one(listed.name);
        let position = self.staged_count as u32;
        if let Some(earlier) =
            self.last_by_name.find(hash, |other| self.has_name(*other, listed.name)).copied()
        {
            if let Some(overridden) = self.entry_mut(earlier) {
                overridden.overridden = true;
            }
            self.last_by_name.remove(hash, |other| *other == earlier);
        }
        if self.staged_count.is_multiple_of(CHUNK_ENTRIES) {
            self.chunks.push_back(Vec::new());
        }
        if let Some(chunk) = self.chunks.back_mut() {
            chunk.push(StagedEntry::new(listed));
        }
        self.staged_count += 1;
        let StagedList { last_by_name, chunks, hasher, .. } = self;
        let rehash = |at: &u32| entry_at(chunks, *at).map_or(0, |entry| hasher.hash_one(entry.name.as_str()));
        last_by_name.insert(hash, position, rehash);
    }

    fn has_name(&self, position: u32, name: &str) -> bool {
        self.entry(position).is_some_and(|entry| entry.name == name)
    }

    fn entry(&self, position: u32) -> Option<&StagedEntry> {
        entry_at(&self.chunks, position)
    }

    fn entry_mut(&mut self, position: u32) -> Option<&mut StagedEntry> {
        self.chunks.get_mut(position as usize / CHUNK_ENTRIES)?.get_mut(position as usize % CHUNK_ENTRIES)
    }
}

fn entry_at(chunks: &VecDeque<Vec<StagedEntry>>, position: u32) -> Option<&StagedEntry> {
    chunks.get(position as usize / CHUNK_ENTRIES)?.get(position as usize % CHUNK_ENTRIES)
}
