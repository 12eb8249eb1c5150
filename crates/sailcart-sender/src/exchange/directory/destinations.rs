//! Known destinations: those with a live endpoint, and those that have left the list recently.

use std::hash::{BuildHasher, RandomState};
use std::time::Duration;

use hashbrown::HashMap;
use sailcart::DestinationId;

use super::departed::Departed;
use super::index::Index;

/// How long a destination stays known after it was last listed.
const RETENTION: Duration = Duration::from_secs(3600);

/// The known destinations, which the directory updates as endpoints are added and removed.
#[derive(Default)]
pub(super) struct Destinations {
    /// Destinations with a live endpoint.
    listed: Index<DestinationId>,
    hasher: RandomState,
    /// Number of live endpoints of each destination that has more than one.
    endpoint_counts: HashMap<DestinationId, u32, RandomState>,
    departed: Departed,
    /// Destinations that the list being applied names, perhaps without a live endpoint.
    named: Vec<DestinationId>,
    /// When the previous list took effect: destinations that leave with the next list were last listed then.
    last_update: Duration,
}

impl Destinations {
    pub(super) fn knows(&self, destination: DestinationId) -> bool {
        self.is_listed(destination) || self.departed.contains(destination)
    }

    /// Counts a live endpoint that is added to a destination.
    pub(super) fn add_endpoint(&mut self, destination: DestinationId) {
        if self.is_listed(destination) {
            *self.endpoint_counts.entry(destination).or_insert(1) += 1;
            return;
        }
        let Destinations { listed, hasher, departed, .. } = self;
        listed.insert(hasher.hash_one(destination), destination, |other| hasher.hash_one(other));
        departed.remove(destination);
    }

    /// Counts a live endpoint that is removed from a destination.
    pub(super) fn remove_endpoint(&mut self, destination: DestinationId) {
        match self.endpoint_counts.get_mut(&destination) {
            Some(2) => {
                self.endpoint_counts.remove(&destination);
            }
            Some(count) => *count -= 1,
            None => {
                self.listed.remove(self.hasher.hash_one(destination), |other| *other == destination);
                self.departed.push(destination, self.last_update);
            }
        }
    }

    /// Notes that the list being applied names a destination, perhaps without a live endpoint.
    pub(super) fn mark_named(&mut self, destination: DestinationId) {
        self.named.push(destination);
    }

    /// Ends the application of a list. The destinations that it named count as listed now; those last
    /// listed [`RETENTION`] or longer ago are dropped, as are the oldest departed ones beyond `max_departed`.
    pub(super) fn finish_update(&mut self, now: Duration, max_departed: usize) {
        for destination in std::mem::take(&mut self.named) {
            if !self.is_listed(destination) {
                self.departed.push(destination, now);
            }
        }
        self.departed.expire(now, RETENTION, max_departed);
        self.last_update = now;
    }

    /// Number of entries examined so far.
    pub(super) fn visited(&self) -> u64 {
        self.departed.visited()
    }

    /// Number of bytes allocated.
    pub(super) fn bytes(&self) -> usize {
        self.listed.bytes() + self.endpoint_counts.allocation_size() + self.departed.bytes()
    }

    fn is_listed(&self, destination: DestinationId) -> bool {
        self.listed.find(self.hasher.hash_one(destination), |other| *other == destination).is_some()
    }
}
