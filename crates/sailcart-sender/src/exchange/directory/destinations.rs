//! Which destinations are known: those with a live endpoint, and those that left the list lately.

use std::hash::{BuildHasher, RandomState};
use std::time::Duration;

use hashbrown::HashMap;
use sailcart::DestinationId;

use super::departed::Departed;
use super::index::Index;

/// A destination that was not listed for so long is not known any more.
const FORGOTTEN: Duration = Duration::from_secs(3600);

#[derive(Default)]
pub(super) struct Destinations {
    /// Those with a live endpoint.
    listed: Index<DestinationId>,
    hasher: RandomState,
    /// How many live endpoints, where there is more than one.
    shared: HashMap<DestinationId, u32, RandomState>,
    departed: Departed,
    /// Named by lines of the list that is being put in force which left no live endpoint.
    mentioned: Vec<DestinationId>,
    /// When the list before was put in force: what leaves with this one was last listed then.
    last_news: Duration,
}

impl Destinations {
    pub(super) fn knows(&self, destination: DestinationId) -> bool {
        self.is_listed(destination) || self.departed.contains(destination)
    }

    /// A destination has one live endpoint more.
    pub(super) fn add(&mut self, destination: DestinationId) {
        if self.is_listed(destination) {
            *self.shared.entry(destination).or_insert(1) += 1;
            return;
        }
        let Destinations { listed, hasher, departed, .. } = self;
        listed.insert(hasher.hash_one(destination), destination, |other| hasher.hash_one(other));
        departed.remove(destination);
    }

    /// A destination has one live endpoint less.
    pub(super) fn remove(&mut self, destination: DestinationId) {
        match self.shared.get_mut(&destination) {
            Some(2) => {
                self.shared.remove(&destination);
            }
            Some(count) => *count -= 1,
            None => {
                self.listed.remove(self.hasher.hash_one(destination), |other| *other == destination);
                self.departed.push(destination, self.last_news);
            }
        }
    }

    /// The list names a destination, perhaps with no live endpoint.
    pub(super) fn mention(&mut self, destination: DestinationId) {
        self.mentioned.push(destination);
    }

    /// A list is in force: what it named counts as listed now, and what left long ago is forgotten, as are the oldest beyond
    /// `most`.
    pub(super) fn settle(&mut self, now: Duration, most: usize) {
        for destination in std::mem::take(&mut self.mentioned) {
            if !self.is_listed(destination) {
                self.departed.push(destination, now);
            }
        }
        self.departed.expire(now, FORGOTTEN, most);
        self.last_news = now;
    }

    /// Entries looked at so far.
    pub(super) fn visited(&self) -> u64 {
        self.departed.visited()
    }

    /// Bytes allocated.
    pub(super) fn bytes(&self) -> usize {
        self.listed.bytes() + self.shared.allocation_size() + self.departed.bytes()
    }

    fn is_listed(&self, destination: DestinationId) -> bool {
        self.listed.find(self.hasher.hash_one(destination), |other| *other == destination).is_some()
    }
}
