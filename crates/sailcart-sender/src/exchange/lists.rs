//! The destination list: staged as it is read, and put in force in slices.

use std::borrow::Borrow;

use sailcart::DestinationId;
use tokio::task::yield_now;

use super::directory::{Line, Place};
use super::staged::{ListTooLarge, StagedList};
use super::update::{Step, Update};
use super::{Exchange, Within};
use crate::wire::discovery::Entry;

impl Exchange {
    /// Begins to stage a list after which at most so many endpoints may be held. One list is staged at a time: an older one that
    /// is not in force yet counts for nothing from now on.
    pub fn stage(&self, most: usize) -> StagedList {
        StagedList::new(&mut self.within.borrow_mut().desk.directory, most)
    }

    /// Adds entries as read. Cost is in step with their number; only what differs from what is held takes memory.
    ///
    /// Refused as soon as the live endpoints that the list itself names are more than may be held. Whether those that a partial
    /// list adds fit beside those that are held is known at its end: [`fits`](Self::fits) tells.
    pub fn add(&self, staged: &mut StagedList, entries: Vec<Entry>) -> Result<(), ListTooLarge> {
        entries.iter().try_for_each(|entry| self.add_entry(staged, entry))
    }

    /// Whether a list that was read to its end may be put in force, as a whole or as a partial one.
    pub fn fits(&self, staged: &StagedList, whole: bool) -> Result<(), ListTooLarge> {
        staged.fits(&self.within.borrow().desk.directory, whole)
    }

    /// Puts it in force: `whole` replaces all that was told before. Large ones in slices, with yields in between.
    ///
    /// The decision module hears of what differs, and of no line that says what it has heard, also where the list is a whole one.
    /// One that does not [fit](Self::fits) is refused, with a line in the log. Not to be given up half-way: what was told by
    /// then stays in force.
    pub async fn commit(&self, staged: StagedList, whole: bool) {
        let Some(mut update) = self.begin(staged, whole) else { return };
        while !self.step(&mut update) {
            yield_now().await;
        }
        self.within.borrow_mut().desk.told = true;
    }

    /// Puts a list in force at once: the one last known before this life.
    pub fn take_over<E: Borrow<Entry>>(&self, whole: bool, entries: impl IntoIterator<Item = E>) {
        let mut staged = self.stage(usize::MAX);
        let added = entries.into_iter().try_for_each(|entry| self.add_entry(&mut staged, entry.borrow()));
        if let Err(fault) = added {
            return log::error!("list: refused, code=too_large {fault}");
        }
        let Some(mut update) = self.begin(staged, whole) else { return };
        while !self.step(&mut update) {}
    }

    /// The same for a list that counts as told, as a sender's own does.
    pub fn take_over_as_told<E: Borrow<Entry>>(&self, whole: bool, entries: impl IntoIterator<Item = E>) {
        self.take_over(whole, entries);
        self.within.borrow_mut().desk.told = true;
    }

    fn add_entry(&self, staged: &mut StagedList, entry: &Entry) -> Result<(), ListTooLarge> {
        let desk = &mut self.within.borrow_mut().desk;
        let kind = desk.names.kinds.get(&entry.kind).and_then(|kind| u16::try_from(*kind).ok());
        let Some(kind) = kind else {
            staged.note_unknown(&entry.name, &entry.kind);
            return staged.keep(&mut desk.directory, &entry.name);
        };
        let place = Place { address: entry.address, destination: DestinationId(entry.destination), kind };
        let line = Line { name: &entry.name, place, live: entry.live, rate: entry.rate };
        staged.add(&mut desk.directory, &line)
    }

    fn begin(&self, staged: StagedList, whole: bool) -> Option<Update> {
        let desk = &self.within.borrow().desk;
        if !staged.is_latest(&desk.directory) {
            log::error!("list: given up, code=superseded");
            return None;
        }
        staged.tell_unknown();
        let fits = staged.fits(&desk.directory, whole);
        if let Err(fault) = fits {
            log::error!("list: refused, code=too_large {fault}");
        }
        fits.ok().map(|()| Update::new(staged, whole, &desk.directory, desk.clock.now()))
    }

    /// Does a step of an update, and tells the decision module; true once the list is in force.
    fn step(&self, update: &mut Update) -> bool {
        let Within { sender, desk, .. } = &mut *self.within.borrow_mut();
        let (lines, last) = match update.step(&mut desk.directory) {
            Step::Searched => return false,
            Step::Lines(lines) => (lines, false),
            Step::Last(lines) => (lines, true),
        };
        let left = lines.iter().filter(|line| !line.live);
        desk.closing.extend(left.map(|line| (line.endpoint, "unlisted")));
        sender.list(desk.clock.now(), false, &lines);
        self.bell.notify_one();
        last
    }
}
