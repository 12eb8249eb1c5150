//! The directory of live endpoints, with the name, id, address, destination and kind of each, and of the
//! known destinations.
//!
//! It performs no I/O and reads no clock: times are passed in. The cost of a change depends on the size of
//! the change and not on the number of listed endpoints; only a full list costs in proportion to its length.
//! The directory holds hundreds of thousands of endpoints, so a slot takes 64 bytes, and an index entry four
//! and one more for the table.

mod departed;
mod destinations;
mod index;
mod slots;

use std::hash::{BuildHasher, RandomState};
use std::net::SocketAddr;
use std::ops::Range;
use std::time::Duration;

use compact_str::CompactString;
use sailcart::{DestinationId, EndpointId, ListEntry};

use self::destinations::Destinations;
pub(super) use self::index::Index;
pub(super) use self::slots::Target;
use self::slots::{ListMark, Slot, Slots};

/// Size of a slot in bytes.
pub const SLOT_BYTES: usize = size_of::<Option<Slot>>();

/// What identifies an endpoint besides its name. If any of this changes, the name belongs to a new endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointSpec {
    pub address: SocketAddr,
    pub destination: DestinationId,
    /// Position in [`sailcart::Settings::kinds`].
    pub kind: u16,
}

/// An entry of a destination list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointEntry<'a> {
    pub name: &'a str,
    pub spec: EndpointSpec,
    /// False for an endpoint that drains.
    pub live: bool,
    /// Calls per second from all senders.
    pub rate: f64,
}

/// The directory's endpoint with the name of an entry that is being staged.
pub(super) struct Current {
    pub(super) destination: DestinationId,
    /// The entry changes nothing.
    pub(super) unchanged: bool,
    /// The entry names the same endpoint, perhaps with another rate.
    pub(super) same_spec: bool,
    /// An earlier entry of the same list has this name.
    pub(super) named: bool,
    /// An earlier entry of the same list changed nothing.
    pub(super) was_unchanged: bool,
}

/// The live endpoints, and the destinations known from them.
#[derive(Default)]
pub struct Directory {
    slots: Slots,
    /// Slot positions by endpoint name.
    by_name: Index<u32>,
    /// Slot positions by endpoint id.
    by_endpoint: Index<u32>,
    hasher: RandomState,
    destinations: Destinations,
    /// Id of the next new endpoint. Ids are not reused, as connections and calls refer to them. At 28 new
    /// endpoints per second they last nearly five years.
    next_endpoint: u32,
    /// Number of the list that was begun last.
    generation: u32,
}

impl Directory {
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of live endpoints.
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// Whether an endpoint is listed and live.
    pub fn contains(&self, endpoint: EndpointId) -> bool {
        self.find_endpoint(endpoint).is_some()
    }

    /// Address, destination and kind of a live endpoint.
    pub fn spec(&self, endpoint: EndpointId) -> Option<EndpointSpec> {
        self.slots.get(self.find_endpoint(endpoint)?).map(Slot::spec)
    }

    /// Id of the live endpoint with this name.
    pub fn endpoint(&self, name: &str) -> Option<EndpointId> {
        self.slots.get(self.find_name(name)?).map(|slot| slot.endpoint)
    }

    /// The name of the endpoint at a position.
    pub(super) fn name(&self, position: u32) -> Option<&CompactString> {
        self.slots.get(position).map(|slot| &slot.name)
    }

    /// Whether a destination is listed or was listed recently. This includes destinations whose endpoints all
    /// drain.
    pub fn knows(&self, destination: DestinationId) -> bool {
        self.destinations.knows(destination)
    }

    /// Number of slots and entries examined so far: a measure of work that does not depend on the load of the
    /// machine.
    pub fn visited(&self) -> u64 {
        self.slots.visited() + self.destinations.visited()
    }

    /// Number of bytes allocated, without names longer than 24 bytes and IPv6 addresses, which are allocated
    /// one by one.
    pub fn bytes(&self) -> usize {
        let indexes = self.by_name.bytes() + self.by_endpoint.bytes();
        self.slots.bytes() + indexes + self.destinations.bytes()
    }

    pub(super) fn hasher(&self) -> &RandomState {
        &self.hasher
    }

    /// Begins the staging of a list and returns its generation. An older list that is still being staged is
    /// superseded.
    pub(super) fn begin_list(&mut self) -> u32 {
        if self.generation == ListMark::MAX_GENERATION {
            self.generation = 0;
            for position in 0..self.slots.end() {
                if let Some(slot) = self.slots.get_mut(position) {
                    slot.mark = ListMark::default();
                }
            }
        }
        self.generation += 1;
        self.generation
    }

    /// Whether no list was begun after the one of this generation.
    pub(super) fn is_latest(&self, generation: u32) -> bool {
        self.generation == generation
    }

    /// Compares an entry of the list that is being staged with the endpoint of the same name, if there is
    /// one, and marks that endpoint as named by the list.
    pub(super) fn compare(&mut self, generation: u32, listed: &EndpointEntry) -> Option<Current> {
        let position = self.find_name(listed.name)?;
        let slot = self.slots.get_mut(position)?;
        let same_spec = slot.spec() == listed.spec;
        let current = Current {
            destination: slot.destination,
            unchanged: same_spec && listed.live && slot.rate == listed.rate,
            same_spec,
            named: slot.mark.is_from(generation),
            was_unchanged: slot.mark == ListMark::unchanged(generation),
        };
        if current.unchanged {
            slot.mark = ListMark::unchanged(generation);
        } else if !current.named {
            slot.mark = ListMark::named(generation);
        }
        Some(current)
    }

    /// Marks the endpoint with the name of a skipped entry as named by the list that is being staged, so that
    /// it stays. Returns true if there is such an endpoint and the list had not named it before.
    pub(super) fn mark_named(&mut self, generation: u32, name: &str) -> bool {
        let Some(slot) = self.find_name(name).and_then(|at| self.slots.get_mut(at)) else { return false };
        let first = !slot.mark.is_from(generation);
        if first {
            slot.mark = ListMark::named(generation);
        }
        first
    }

    /// One past the last position of a slot.
    pub(super) fn end(&self) -> u32 {
        self.slots.end()
    }

    /// Of the slots at these positions, those whose endpoint a list does not name.
    pub(super) fn unnamed(&self, generation: u32, positions: Range<u32>) -> impl Iterator<Item = u32> {
        positions.filter(move |at| self.slots.get(*at).is_some_and(|slot| !slot.mark.is_from(generation)))
    }

    /// Adds a listed endpoint, or updates its rate. If the name was listed with another address, destination
    /// or kind, that endpoint is removed and a new one added.
    pub(super) fn put(
        &mut self,
        name: CompactString,
        spec: EndpointSpec,
        rate: f64,
        list_entries: &mut Vec<ListEntry>,
    ) {
        let current = self.find_name(&name);
        let same = current.and_then(|at| self.slots.get_mut(at)).filter(|slot| slot.spec() == spec);
        if let Some(slot) = same {
            if slot.rate != rate {
                slot.rate = rate;
                list_entries.push(slot.list_entry());
            }
            return;
        }
        if let Some(position) = current {
            self.remove(position, list_entries);
        }
        let endpoint = EndpointId(self.next_endpoint);
        self.next_endpoint = self.next_endpoint.wrapping_add(1);
        let target = Target::new(spec.address, spec.kind);
        let mark = ListMark::named(self.generation);
        let slot = Slot { name, destination: spec.destination, rate, target, endpoint, mark };
        list_entries.push(slot.list_entry());
        self.insert(slot);
    }

    /// Removes the endpoint with this name, which drains.
    pub(super) fn drain(&mut self, name: &str, list_entries: &mut Vec<ListEntry>) {
        if let Some(position) = self.find_name(name) {
            self.remove(position, list_entries);
        }
    }

    /// Removes the endpoint at a position: it drains, is no longer listed, or has changed its address,
    /// destination or kind. Nothing of it is retained, so that a new endpoint at its address, or under its
    /// name, starts without its state.
    pub(super) fn remove(&mut self, position: u32, list_entries: &mut Vec<ListEntry>) {
        let Some(slot) = self.slots.get(position) else { return };
        let name_hash = self.hasher.hash_one(slot.name.as_str());
        let endpoint_hash = self.hasher.hash_one(slot.endpoint);
        self.by_name.remove(name_hash, |other| *other == position);
        self.by_endpoint.remove(endpoint_hash, |other| *other == position);
        let Some(slot) = self.slots.remove(position) else { return };
        self.destinations.remove_endpoint(slot.destination);
        list_entries.push(ListEntry { live: false, rate: 0.0, ..slot.list_entry() });
    }

    /// Notes that the list being applied names a destination, perhaps without a live endpoint: packets for it
    /// are not rejected as having an unknown destination.
    pub(super) fn mark_destination_named(&mut self, destination: DestinationId) {
        self.destinations.mark_named(destination);
    }

    /// Ends the application of a list, after which at most `max_endpoints` endpoints may be live.
    /// Destinations that left long ago are dropped.
    pub(super) fn finish_update(&mut self, now: Duration, max_endpoints: usize) {
        self.destinations.finish_update(now, max_endpoints);
    }

    fn insert(&mut self, slot: Slot) {
        let name_hash = self.hasher.hash_one(slot.name.as_str());
        let endpoint_hash = self.hasher.hash_one(slot.endpoint);
        self.destinations.add_endpoint(slot.destination);
        let position = self.slots.insert(slot);
        let Directory { slots, hasher, by_name, by_endpoint, .. } = self;
        let rehash_name = |at: &u32| slots.get(*at).map_or(0, |slot| hasher.hash_one(slot.name.as_str()));
        by_name.insert(name_hash, position, rehash_name);
        let rehash_endpoint = |at: &u32| slots.get(*at).map_or(0, |slot| hasher.hash_one(slot.endpoint));
        by_endpoint.insert(endpoint_hash, position, rehash_endpoint);
    }

    fn find_name(&self, name: &str) -> Option<u32> {
        let matches = |at: &u32| self.slots.get(*at).is_some_and(|slot| slot.name == name);
        self.by_name.find(self.hasher.hash_one(name), matches).copied()
    }

    fn find_endpoint(&self, endpoint: EndpointId) -> Option<u32> {
        let matches = |at: &u32| self.slots.get(*at).is_some_and(|slot| slot.endpoint == endpoint);
        self.by_endpoint.find(self.hasher.hash_one(endpoint), matches).copied()
    }
}
