//! The directory of live endpoints: name, id and place of each, and which destinations are known.
//!
//! No input or output and no clock: times are passed in. A change costs what it changes, whatever is listed; only a whole list
//! costs the whole. Hundreds of thousands of endpoints are held, so a slot takes 64 bytes, and an index four and one for each.

mod departed;
mod destinations;
mod index;
mod slots;

use std::hash::{BuildHasher, RandomState};
use std::net::SocketAddr;
use std::ops::Range;
use std::time::Duration;

use compact_str::CompactString;
use sailcart::{DestinationId, EndpointId, Listing};

use self::destinations::Destinations;
pub(super) use self::index::Index;
pub(super) use self::slots::Target;
use self::slots::{Slot, Slots, Stamp};

/// Bytes of a slot.
pub const SLOT_BYTES: usize = size_of::<Option<Slot>>();

/// What an endpoint is; one of which any of this changes is another endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Place {
    pub address: SocketAddr,
    pub destination: DestinationId,
    /// Position in [`sailcart::Terms::kinds`].
    pub kind: u16,
}

/// A line of a list, as read.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line<'a> {
    pub name: &'a str,
    pub place: Place,
    /// False for one that drains.
    pub live: bool,
    /// Calls a second from all senders.
    pub rate: f64,
}

/// What is held under the name of a line that is being staged.
pub(super) struct Held {
    pub(super) destination: DestinationId,
    /// The line says nothing new.
    pub(super) same: bool,
    /// It is the same endpoint, perhaps with another rate.
    pub(super) same_place: bool,
    /// An earlier line of the same list has this name.
    pub(super) named: bool,
    /// An earlier line of the same list said nothing new.
    pub(super) was_same: bool,
}

/// Live endpoints, and no others.
#[derive(Default)]
pub struct Directory {
    slots: Slots,
    by_name: Index<u32>,
    by_endpoint: Index<u32>,
    hasher: RandomState,
    destinations: Destinations,
    /// Never used twice: connections and calls are kept by it. At 28 new ones a second it lasts nearly five years.
    next_endpoint: u32,
    /// Of the list that was staged last.
    generation: u32,
}

impl Directory {
    pub fn new() -> Self {
        Self::default()
    }

    /// How many endpoints are live.
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// Whether an endpoint is listed, and live.
    pub fn contains(&self, endpoint: EndpointId) -> bool {
        self.find_endpoint(endpoint).is_some()
    }

    /// Where and what a live endpoint is.
    pub fn place(&self, endpoint: EndpointId) -> Option<Place> {
        self.slots.get(self.find_endpoint(endpoint)?).map(Slot::place)
    }

    /// The id of the live endpoint of this name.
    pub fn endpoint(&self, name: &str) -> Option<EndpointId> {
        self.slots.get(self.find(name)?).map(|slot| slot.endpoint)
    }

    /// Whether a destination is listed, or was lately. One of which all endpoints drain is known.
    pub fn knows(&self, destination: DestinationId) -> bool {
        self.destinations.knows(destination)
    }

    /// Slots and entries looked at so far: what the work cost, whatever the machine does beside.
    pub fn visited(&self) -> u64 {
        self.slots.visited() + self.destinations.visited()
    }

    /// Bytes allocated, without names longer than 24 bytes and IPv6 addresses, which are allocated one by one.
    pub fn bytes(&self) -> usize {
        let indexes = self.by_name.bytes() + self.by_endpoint.bytes();
        self.slots.bytes() + indexes + self.destinations.bytes()
    }

    pub(super) fn hasher(&self) -> &RandomState {
        &self.hasher
    }

    /// A list begins to be staged: its generation. An older one that is still being staged counts no longer.
    pub(super) fn begin(&mut self) -> u32 {
        if self.generation == Stamp::LAST {
            self.generation = 0;
            for at in 0..self.slots.end() {
                if let Some(slot) = self.slots.get_mut(at) {
                    slot.stamp = Stamp::default();
                }
            }
        }
        self.generation += 1;
        self.generation
    }

    /// Whether no list was staged later.
    pub(super) fn is_latest(&self, generation: u32) -> bool {
        self.generation == generation
    }

    /// A line of a list that is being staged: notes that the list has its name, and tells what is held under it.
    pub(super) fn compare(&mut self, generation: u32, line: &Line) -> Option<Held> {
        let at = self.find(line.name)?;
        let slot = self.slots.get_mut(at)?;
        let same_place = slot.place() == line.place;
        let held = Held {
            destination: slot.destination,
            same: same_place && line.live && slot.rate == line.rate,
            same_place,
            named: slot.stamp.is_of(generation),
            was_same: slot.stamp == Stamp::same(generation),
        };
        if held.same {
            slot.stamp = Stamp::same(generation);
        } else if !held.named {
            slot.stamp = Stamp::named(generation);
        }
        Some(held)
    }

    /// A line of a list that is being staged has this name, and is passed over: what is held stays. Tells whether something is
    /// held, and the list names it for the first time.
    pub(super) fn keep(&mut self, generation: u32, name: &str) -> bool {
        let Some(slot) = self.find(name).and_then(|at| self.slots.get_mut(at)) else { return false };
        let first = !slot.stamp.is_of(generation);
        if first {
            slot.stamp = Stamp::named(generation);
        }
        first
    }

    /// One past the last position of a slot.
    pub(super) fn end(&self) -> u32 {
        self.slots.end()
    }

    /// Of the slots at these positions, those that a list does not name.
    pub(super) fn unnamed(&self, generation: u32, positions: Range<u32>) -> impl Iterator<Item = u32> {
        positions.filter(move |at| self.slots.get(*at).is_some_and(|slot| !slot.stamp.is_of(generation)))
    }

    /// An endpoint is listed; one that was listed with another place is another from now on.
    pub(super) fn put(&mut self, name: CompactString, place: Place, rate: f64, lines: &mut Vec<Listing>) {
        let held = self.find(&name);
        let same = held.and_then(|at| self.slots.get_mut(at)).filter(|slot| slot.place() == place);
        if let Some(slot) = same {
            if slot.rate != rate {
                slot.rate = rate;
                lines.push(slot.line());
            }
            return;
        }
        if let Some(at) = held {
            self.remove(at, lines);
        }
        let endpoint = EndpointId(self.next_endpoint);
        self.next_endpoint = self.next_endpoint.wrapping_add(1);
        let target = Target::new(place.address, place.kind);
        let stamp = Stamp::named(self.generation);
        let slot = Slot { name, destination: place.destination, rate, target, endpoint, stamp };
        lines.push(slot.line());
        self.insert(slot);
    }

    /// An endpoint drains.
    pub(super) fn drain(&mut self, name: &str, lines: &mut Vec<Listing>) {
        if let Some(at) = self.find(name) {
            self.remove(at, lines);
        }
    }

    /// The endpoint at a position drains, is gone, or is another now. It is forgotten, so that a new endpoint at its address, or
    /// a new place for its name, inherits nothing.
    pub(super) fn remove(&mut self, at: u32, lines: &mut Vec<Listing>) {
        let Some(slot) = self.slots.get(at) else { return };
        let name_hash = self.hasher.hash_one(slot.name.as_str());
        let endpoint_hash = self.hasher.hash_one(slot.endpoint);
        self.by_name.remove(name_hash, |other| *other == at);
        self.by_endpoint.remove(endpoint_hash, |other| *other == at);
        let Some(slot) = self.slots.remove(at) else { return };
        self.destinations.remove(slot.destination);
        lines.push(Listing { live: false, rate: 0.0, ..slot.line() });
    }

    /// A line of the list names a destination, perhaps without a live endpoint: packets for it are no mistake of their clients.
    pub(super) fn mention(&mut self, destination: DestinationId) {
        self.destinations.mention(destination);
    }

    /// A list is in force, after which so many endpoints may be held: what left long ago is forgotten.
    pub(super) fn settle(&mut self, now: Duration, most: usize) {
        self.destinations.settle(now, most);
    }

    fn insert(&mut self, slot: Slot) {
        let name_hash = self.hasher.hash_one(slot.name.as_str());
        let endpoint_hash = self.hasher.hash_one(slot.endpoint);
        self.destinations.add(slot.destination);
        let at = self.slots.insert(slot);
        let Directory { slots, hasher, by_name, by_endpoint, .. } = self;
        let rehash_name = |at: &u32| slots.get(*at).map_or(0, |slot| hasher.hash_one(slot.name.as_str()));
        by_name.insert(name_hash, at, rehash_name);
        let rehash_endpoint = |at: &u32| slots.get(*at).map_or(0, |slot| hasher.hash_one(slot.endpoint));
        by_endpoint.insert(endpoint_hash, at, rehash_endpoint);
    }

    fn find(&self, name: &str) -> Option<u32> {
        let is = |at: &u32| self.slots.get(*at).is_some_and(|slot| slot.name == name);
        self.by_name.find(self.hasher.hash_one(name), is).copied()
    }

    fn find_endpoint(&self, endpoint: EndpointId) -> Option<u32> {
        let is = |at: &u32| self.slots.get(*at).is_some_and(|slot| slot.endpoint == endpoint);
        self.by_endpoint.find(self.hasher.hash_one(endpoint), is).copied()
    }
}
