//! A list that is being read. Nothing of it counts until it is put in force.

use std::collections::VecDeque;
use std::fmt;
use std::hash::{BuildHasher, RandomState};

use compact_str::CompactString;
use sailcart::DestinationId;

use super::directory::{Directory, Index, Line, Place, Target};

/// Lines that are told to the decision module at once, at most.
pub const SLICE: usize = 2048;
/// Staged lines that are allocated, applied and given back together. Each tells two lines at most: that its endpoint of before
/// is gone, and that a new one is there.
pub(super) const CHUNK: usize = SLICE / 2;

/// More endpoints are listed than may be held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListTooLarge {
    pub most: usize,
}

impl fmt::Display for ListTooLarge {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "more than {} endpoints", self.most)
    }
}

impl std::error::Error for ListTooLarge {}

/// A line that differs from what is held.
pub(super) struct StagedLine {
    pub(super) name: CompactString,
    pub(super) destination: DestinationId,
    pub(super) rate: f64,
    pub(super) target: Target,
    pub(super) live: bool,
    /// A later line of the same list has the same name.
    pub(super) overridden: bool,
}

impl StagedLine {
    fn new(line: &Line) -> Self {
        StagedLine {
            name: CompactString::new(line.name),
            destination: line.place.destination,
            rate: line.rate,
            target: Target::new(line.place.address, line.place.kind),
            live: line.live,
            overridden: false,
        }
    }

    pub(super) fn place(&self) -> Place {
        Place { address: self.target.address(), destination: self.destination, kind: self.target.kind() }
    }
}

/// A list that is being read. Nothing of it counts until it is committed.
///
/// A line equal to what is held is only noted in the directory; the others are kept here, in chunks that are given back as they
/// are applied. One list is staged at a time: as soon as another is begun, this one counts for nothing.
pub struct StagedList {
    /// As the directory counts lists that are begun.
    pub(super) generation: u32,
    pub(super) most: usize,
    /// In the order in which they were read.
    pub(super) chunks: VecDeque<Vec<StagedLine>>,
    /// The last staged line of each name, by position.
    names: Index<u32>,
    hasher: RandomState,
    staged: usize,
    /// Destinations named by lines equal to what was held, which a later line overrides.
    pub(super) mentioned: Vec<DestinationId>,
    /// Held endpoints that the list names.
    pub(super) named: usize,
    /// Names whose last line is live.
    live: usize,
    /// Names that are held or were staged live before, and drain now; and those that were not, and are live now.
    drained: usize,
    added: usize,
    /// Lines that it tells the decision module at most, beside what a whole list removes.
    pub(super) tells: usize,
    /// Lines of kinds that the settings do not know.
    unknown: usize,
}

/// Lines of unknown kinds that the log tells of one by one.
const UNKNOWN_TOLD: usize = 3;

impl StagedList {
    /// Begins a list after which at most so many endpoints may be held.
    pub fn new(directory: &mut Directory, most: usize) -> Self {
        StagedList {
            generation: directory.begin(),
            most,
            chunks: VecDeque::new(),
            names: Index::default(),
            hasher: directory.hasher().clone(),
            staged: 0,
            mentioned: Vec::new(),
            named: 0,
            live: 0,
            drained: 0,
            added: 0,
            tells: 0,
            unknown: 0,
        }
    }

    /// A line of a kind that the settings do not know is passed over. The log has the first few of a list.
    pub(super) fn note_unknown(&mut self, name: &str, kind: &str) {
        self.unknown += 1;
        if self.unknown <= UNKNOWN_TOLD {
            log::warn!("list: endpoint {name} passed over, unknown kind {kind}");
        }
    }

    /// How many there were, where the log has not told of each.
    pub(super) fn tell_unknown(&self) {
        if self.unknown > UNKNOWN_TOLD {
            log::warn!("list: {} entries passed over, unknown kind", self.unknown);
        }
    }

    /// Lines that are kept, as they differ from what is held.
    pub fn differences(&self) -> usize {
        self.staged
    }

    /// Adds a line, as read.
    pub fn add(&mut self, directory: &mut Directory, line: &Line) -> Result<(), ListTooLarge> {
        if !self.is_latest(directory) {
            return Ok(());
        }
        let held = directory.compare(self.generation, line);
        let earlier = self.earlier(line.name);
        let named = held.as_ref().is_some_and(|held| held.named);
        // Whether the list so far has this name as live, and whether it is live once the list so far is in force.
        let was_listed = earlier.unwrap_or(named);
        let was_live = earlier.unwrap_or(held.is_some());
        self.named += usize::from(held.is_some() && !named);
        self.live = self.live + usize::from(line.live) - usize::from(was_listed);
        let held = held.filter(|_| earlier.is_none());
        if held.as_ref().is_some_and(|held| held.same) {
            return self.check();
        }
        if let Some(held) = held.as_ref().filter(|held| held.was_same) {
            self.mentioned.push(held.destination);
        }
        self.added += usize::from(line.live && !was_live);
        self.drained += usize::from(!line.live && was_live);
        let stays = line.live && held.is_some_and(|held| held.same_place);
        self.tells += usize::from(line.live) + usize::from(was_live && !stays);
        self.push(line);
        self.check()
    }

    /// A line that is passed over: what is held under its name stays, also if the list is a whole one.
    pub fn keep(&mut self, directory: &mut Directory, name: &str) -> Result<(), ListTooLarge> {
        if self.is_latest(directory) && directory.keep(self.generation, name) {
            self.named += 1;
            self.live += 1;
        }
        self.check()
    }

    /// Whether no more endpoints are held than may be, once the list is in force.
    pub fn fits(&self, directory: &Directory, whole: bool) -> Result<(), ListTooLarge> {
        let before = if whole { self.named } else { directory.len() };
        let after = (before + self.added).saturating_sub(self.drained);
        if after > self.most { Err(ListTooLarge { most: self.most }) } else { Ok(()) }
    }

    /// Whether no list was begun after this one.
    pub(super) fn is_latest(&self, directory: &Directory) -> bool {
        directory.is_latest(self.generation)
    }

    /// Gives back what only reading needs.
    pub(super) fn read(&mut self) {
        self.names = Index::default();
    }

    /// What the list names alone must fit. Guards also against a list without end of endpoints that are not held and drain:
    /// what is held and what replaces it may differ in twice what may be held.
    fn check(&self) -> Result<(), ListTooLarge> {
        let most_staged = self.most.saturating_mul(2).saturating_add(SLICE);
        if self.live > self.most || self.staged > most_staged {
            return Err(ListTooLarge { most: self.most });
        }
        Ok(())
    }

    /// Whether the last line of this name that is staged is live, if there is one.
    fn earlier(&self, name: &str) -> Option<bool> {
        let at = self.names.find(self.hasher.hash_one(name), |at| self.has_name(*at, name))?;
        self.line(*at).map(|line| line.live)
    }

    fn push(&mut self, line: &Line) {
        let hash = self.hasher.hash_one(line.name);
        let at = self.staged as u32;
        if let Some(earlier) = self.names.find(hash, |other| self.has_name(*other, line.name)).copied() {
            if let Some(overridden) = self.line_mut(earlier) {
                overridden.overridden = true;
            }
            self.names.remove(hash, |other| *other == earlier);
        }
        if self.staged.is_multiple_of(CHUNK) {
            self.chunks.push_back(Vec::new());
        }
        if let Some(chunk) = self.chunks.back_mut() {
            chunk.push(StagedLine::new(line));
        }
        self.staged += 1;
        let StagedList { names, chunks, hasher, .. } = self;
        let rehash = |at: &u32| line_at(chunks, *at).map_or(0, |line| hasher.hash_one(line.name.as_str()));
        names.insert(hash, at, rehash);
    }

    fn has_name(&self, at: u32, name: &str) -> bool {
        self.line(at).is_some_and(|line| line.name == name)
    }

    fn line(&self, at: u32) -> Option<&StagedLine> {
        line_at(&self.chunks, at)
    }

    fn line_mut(&mut self, at: u32) -> Option<&mut StagedLine> {
        self.chunks.get_mut(at as usize / CHUNK)?.get_mut(at as usize % CHUNK)
    }
}

fn line_at(chunks: &VecDeque<Vec<StagedLine>>, at: u32) -> Option<&StagedLine> {
    chunks.get(at as usize / CHUNK)?.get(at as usize % CHUNK)
}
