//! Applies a staged list to the directory in steps of bounded length.

use std::mem;
use std::time::Duration;

use compact_str::CompactString;
use sailcart::ListEntry;

use super::directory::{Directory, EndpointSpec};
use super::staged::{MAX_CHANGES_PER_STEP, StagedEntry, StagedList};

/// How many slots one step searches for endpoints that a full list does not name.
const DIRECTORY_SLOTS_PER_STEP: u32 = 16 * 1024;

/// Result of one step of an [`Update`].
#[derive(Debug)]
pub enum Step {
    /// The step searched for endpoints to remove. Nothing has changed yet.
    Searched,
    /// Changes for the decision module; more steps follow.
    Changes(Vec<ListEntry>),
    /// The last changes for the decision module, possibly none. The list is in force.
    Last(Vec<ListEntry>),
}

/// A change of the directory, by the name of the endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct NamedChange {
    pub name: CompactString,
    /// The endpoint and its rate in calls per second; `None` if it drains or is gone.
    pub live: Option<(EndpointSpec, f64)>,
}

impl NamedChange {
    fn removal(name: &CompactString) -> Self {
        NamedChange { name: name.clone(), live: None }
    }
}

/// A staged list that is being applied. Endpoints that it no longer names are removed first; then its entries
/// are applied in order. If there may be more than [`MAX_CHANGES_PER_STEP`] changes, they are
/// spread over several steps, and all draining endpoints are removed before live ones are added.
pub struct Update {
    staged: StagedList,
    now: Duration,
    phase: Phase,
    /// Directory slots of endpoints that a full list does not name.
    unlisted: Vec<u32>,
    /// The changes are spread over several steps.
    in_steps: bool,
    /// The changes of the steps so far that were not taken.
    changes: Vec<NamedChange>,
}

enum Phase {
    /// Searches for unlisted endpoints from this directory slot on.
    Search(u32),
    RemoveUnlisted,
    /// Removes the draining endpoints of the chunks from this one on.
    RemoveDraining(usize),
    ApplyLive,
}

impl Update {
    /// Prepares to apply a list. A `full` list removes the endpoints that it does not name.
    pub fn new(mut staged: StagedList, full: bool, directory: &Directory, now: Duration) -> Self {
        staged.finish_reading();
        let all_named = directory.len() == staged.named_endpoints;
        let start = if full && !all_named { 0 } else { directory.end() };
        Update {
            staged,
            now,
            phase: Phase::Search(start),
            unlisted: Vec::new(),
            in_steps: false,
            changes: Vec::new(),
        }
    }

    /// Performs the next step. Ends the update early if another list was begun meanwhile.
    pub fn step(&mut self, directory: &mut Directory) -> Step {
        if !self.staged.is_latest(directory) {
            log::error!("list: abandoned as a newer one is being read, code=superseded");
            return self.finish(directory, Vec::new());
        }
        loop {
            match self.phase {
                Phase::Search(from) if from < directory.end() => {
                    let to = directory.end().min(from.saturating_add(DIRECTORY_SLOTS_PER_STEP));
                    self.unlisted.extend(directory.unnamed(self.staged.generation, from..to));
                    self.phase = Phase::Search(to);
                    if to < directory.end() {
                        return Step::Searched;
                    }
                }
                Phase::Search(_) => {
                    self.in_steps = self.unlisted.len() + self.staged.max_list_entries > MAX_CHANGES_PER_STEP;
                    self.phase = Phase::RemoveUnlisted;
                    if !self.in_steps {
                        return self.apply_all(directory);
                    }
                }
                Phase::RemoveUnlisted if self.unlisted.is_empty() => self.phase = Phase::RemoveDraining(0),
                Phase::RemoveUnlisted => return Step::Changes(self.remove_unlisted(directory)),
                Phase::RemoveDraining(chunk) if chunk < self.staged.chunks.len() => {
                    self.phase = Phase::RemoveDraining(chunk + 1);
                    let list_entries = self.remove_draining(chunk, directory);
                    if !list_entries.is_empty() {
                        return Step::Changes(list_entries);
                    }
                }
                Phase::RemoveDraining(_) => self.phase = Phase::ApplyLive,
                Phase::ApplyLive => return self.apply_live_chunk(directory),
            }
        }
    }

    /// Takes the changes of the last steps, in their order.
    pub fn take_changes(&mut self) -> Vec<NamedChange> {
        mem::take(&mut self.changes)
    }

    /// Applies all changes in one step.
    fn apply_all(&mut self, directory: &mut Directory) -> Step {
        let mut list_entries = self.remove_unlisted(directory);
        for entry in mem::take(&mut self.staged.chunks).into_iter().flatten() {
            if !entry.live || entry.overridden {
                directory.mark_destination_named(entry.destination);
            }
            if entry.live {
                self.put(entry, directory, &mut list_entries);
            } else {
                self.drain(&entry.name, directory, &mut list_entries);
            }
        }
        self.finish(directory, list_entries)
    }

    /// Removes up to [`MAX_CHANGES_PER_STEP`] unlisted endpoints.
    fn remove_unlisted(&mut self, directory: &mut Directory) -> Vec<ListEntry> {
        let mut list_entries = Vec::new();
        let remaining = self.unlisted.split_off(self.unlisted.len().min(MAX_CHANGES_PER_STEP));
        for directory_slot in mem::replace(&mut self.unlisted, remaining) {
            self.changes.extend(directory.name(directory_slot).map(NamedChange::removal));
            directory.remove(directory_slot, &mut list_entries);
        }
        list_entries
    }

    /// Removes the draining endpoints of a chunk.
    fn remove_draining(&mut self, chunk: usize, directory: &mut Directory) -> Vec<ListEntry> {
        let mut list_entries = Vec::new();
        for entry in self.staged.chunks.get(chunk).into_iter().flatten() {
            if !entry.live || entry.overridden {
                directory.mark_destination_named(entry.destination);
            }
            if !entry.live && !entry.overridden && directory.endpoint(&entry.name).is_some() {
                self.changes.push(NamedChange::removal(&entry.name));
                directory.drain(&entry.name, &mut list_entries);
            }
        }
        list_entries
    }

    /// Applies the live entries of the first chunk and frees it.
    fn apply_live_chunk(&mut self, directory: &mut Directory) -> Step {
        let mut list_entries = Vec::new();
        for entry in self.staged.chunks.pop_front().into_iter().flatten() {
            if entry.live && !entry.overridden {
                self.put(entry, directory, &mut list_entries);
            }
        }
        if self.staged.chunks.is_empty() {
            self.finish(directory, list_entries)
        } else {
            Step::Changes(list_entries)
        }
    }

    fn finish(&mut self, directory: &mut Directory, list_entries: Vec<ListEntry>) -> Step {
        for destination in mem::take(&mut self.staged.overridden_destinations) {
            directory.mark_destination_named(destination);
        }
        directory.finish_update(self.now, self.staged.max_endpoints);
        Step::Last(list_entries)
    }

    fn put(&mut self, entry: StagedEntry, directory: &mut Directory, list_entries: &mut Vec<ListEntry>) {
        let (spec, rate) = (entry.spec(), entry.rate);
        log::debug!("list: {} serves destination {}, {rate} calls/s", spec.address, spec.destination.0);
        self.changes.push(NamedChange { name: entry.name.clone(), live: Some((spec, rate)) });
        directory.put(entry.name, spec, rate, list_entries);
    }

    fn drain(&mut self, name: &CompactString, directory: &mut Directory, list_entries: &mut Vec<ListEntry>) {
        if directory.endpoint(name).is_some() {
            self.changes.push(NamedChange::removal(name));
            directory.drain(name, list_entries);
        }
    }
}
