//! A staged list is put in force, in steps of bounded length.

use std::mem;
use std::time::Duration;

use sailcart::Listing;

use super::directory::Directory;
use super::staged::{SLICE, StagedLine, StagedList};

/// Slots of the directory that one step looks at for endpoints that a whole list no longer names.
const SEARCH: u32 = 16 * 1024;

/// What a step did.
#[derive(Debug)]
pub enum Step {
    /// It looked for what is gone. Nothing changed yet.
    Searched,
    /// These lines are for the decision module; others follow.
    Lines(Vec<Listing>),
    /// These lines are for the decision module, and the list is in force. There may be none.
    Last(Vec<Listing>),
}

/// A list on its way into force: what is gone first, then in the order of its lines. Where that is more than [`SLICE`] lines,
/// they come in several steps, those that drain before those that are live.
pub struct Update {
    staged: StagedList,
    now: Duration,
    phase: Phase,
    /// Positions of endpoints that a whole list no longer names.
    gone: Vec<u32>,
    /// More than one step tells lines.
    sliced: bool,
}

enum Phase {
    /// From this position on.
    Search(u32),
    Gone,
    /// From this chunk on.
    Drains(usize),
    Live,
}

impl Update {
    /// With a `whole` list, what it does not name is gone.
    pub fn new(mut staged: StagedList, whole: bool, directory: &Directory, now: Duration) -> Self {
        staged.read();
        let all_named = directory.len() == staged.named;
        let start = if whole && !all_named { 0 } else { directory.end() };
        Update { staged, now, phase: Phase::Search(start), gone: Vec::new(), sliced: false }
    }

    /// Does the next step.
    pub fn step(&mut self, directory: &mut Directory) -> Step {
        if !self.staged.is_latest(directory) {
            log::error!("list: given up, code=superseded");
            return self.finish(directory, Vec::new());
        }
        loop {
            match self.phase {
                Phase::Search(from) if from < directory.end() => {
                    let to = directory.end().min(from.saturating_add(SEARCH));
                    self.gone.extend(directory.unnamed(self.staged.generation, from..to));
                    self.phase = Phase::Search(to);
                    if to < directory.end() {
                        return Step::Searched;
                    }
                }
                Phase::Search(_) => {
                    self.sliced = self.gone.len() + self.staged.tells > SLICE;
                    self.phase = Phase::Gone;
                    if !self.sliced {
                        return self.all(directory);
                    }
                }
                Phase::Gone if self.gone.is_empty() => self.phase = Phase::Drains(0),
                Phase::Gone => return Step::Lines(self.remove_gone(directory)),
                Phase::Drains(chunk) if chunk < self.staged.chunks.len() => {
                    self.phase = Phase::Drains(chunk + 1);
                    let lines = self.drain(chunk, directory);
                    if !lines.is_empty() {
                        return Step::Lines(lines);
                    }
                }
                Phase::Drains(_) => self.phase = Phase::Live,
                Phase::Live => return self.put_chunk(directory),
            }
        }
    }

    /// All that changes, at once.
    fn all(&mut self, directory: &mut Directory) -> Step {
        let mut lines = self.remove_gone(directory);
        for line in mem::take(&mut self.staged.chunks).into_iter().flatten() {
            if !line.live || line.overridden {
                directory.mention(line.destination);
            }
            if line.live {
                put(line, directory, &mut lines);
            } else {
                directory.drain(&line.name, &mut lines);
            }
        }
        self.finish(directory, lines)
    }

    fn remove_gone(&mut self, directory: &mut Directory) -> Vec<Listing> {
        let mut lines = Vec::new();
        let rest = self.gone.split_off(self.gone.len().min(SLICE));
        for at in mem::replace(&mut self.gone, rest) {
            directory.remove(at, &mut lines);
        }
        lines
    }

    /// Those of a chunk that drain.
    fn drain(&self, chunk: usize, directory: &mut Directory) -> Vec<Listing> {
        let mut lines = Vec::new();
        for line in self.staged.chunks.get(chunk).into_iter().flatten() {
            if !line.live || line.overridden {
                directory.mention(line.destination);
            }
            if !line.live && !line.overridden {
                directory.drain(&line.name, &mut lines);
            }
        }
        lines
    }

    /// Those of the first chunk that are live. Its memory is given back.
    fn put_chunk(&mut self, directory: &mut Directory) -> Step {
        let mut lines = Vec::new();
        for line in self.staged.chunks.pop_front().into_iter().flatten() {
            if line.live && !line.overridden {
                put(line, directory, &mut lines);
            }
        }
        if self.staged.chunks.is_empty() { self.finish(directory, lines) } else { Step::Lines(lines) }
    }

    fn finish(&mut self, directory: &mut Directory, lines: Vec<Listing>) -> Step {
        for destination in mem::take(&mut self.staged.mentioned) {
            directory.mention(destination);
        }
        directory.settle(self.now, self.staged.most);
        Step::Last(lines)
    }
}

fn put(line: StagedLine, directory: &mut Directory, lines: &mut Vec<Listing>) {
    let (place, rate) = (line.place(), line.rate);
    log::debug!("list: {} of destination {}, {rate} a second", place.address, place.destination.0);
    directory.put(line.name, place, rate, lines);
}
