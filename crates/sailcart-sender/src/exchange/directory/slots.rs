//! The slab that stores the live endpoints.

use std::cell::Cell;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::mem::size_of;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, SocketAddrV6};

use compact_str::CompactString;
use sailcart::{DestinationId, EndpointId, KindId, ListEntry, RouteId};

use super::EndpointSpec;

/// Number of slots that are allocated together.
const CHUNK_SLOTS: usize = 512;

/// Address and kind of an endpoint, in 16 bytes. IPv6 addresses are rare and therefore boxed.
#[derive(Clone, Debug, PartialEq)]
pub(in crate::exchange) enum Target {
    V4 { kind: u16, port: u16, ip: Ipv4Addr },
    V6 { kind: u16, address: Box<SocketAddrV6> },
}

impl Target {
    pub(in crate::exchange) fn new(address: SocketAddr, kind: u16) -> Self {
        match address {
            SocketAddr::V4(address) => Target::V4 { kind, port: address.port(), ip: *address.ip() },
            SocketAddr::V6(address) => Target::V6 { kind, address: Box::new(address) },
        }
    }

    pub(in crate::exchange) fn address(&self) -> SocketAddr {
        match self {
            Target::V4 { port, ip, .. } => SocketAddrV4::new(*ip, *port).into(),
            Target::V6 { address, .. } => (**address).into(),
        }
    }

    pub(in crate::exchange) fn kind(&self) -> u16 {
        match self {
            Target::V4 { kind, .. } | Target::V6 { kind, .. } => *kind,
        }
    }
}

/// A live endpoint.
#[derive(Debug)]
pub(super) struct Slot {
    pub(super) name: CompactString,
    pub(super) destination: DestinationId,
    /// Calls per second from all senders, as last listed.
    pub(super) rate: f64,
    pub(super) target: Target,
    pub(super) endpoint: EndpointId,
    pub(super) mark: ListMark,
}

impl Slot {
    pub(super) fn spec(&self) -> EndpointSpec {
        EndpointSpec {
            address: self.target.address(),
            destination: self.destination,
            kind: self.target.kind(),
        }
    }

    /// The endpoint as the decision module receives it.
    pub(super) fn list_entry(&self) -> ListEntry {
        ListEntry {
            endpoint: self.endpoint,
            route: route_id(&self.name),
            destination: self.destination,
            kind: KindId(usize::from(self.target.kind())),
            live: true,
            rate: self.rate,
        }
    }
}

/// Derives the id of a route by hashing its name.
fn route_id(name: &str) -> RouteId {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    RouteId(hasher.finish())
}

/// Marks which staged list named a slot's endpoint last: the generation of the list and, in the lowest bit,
/// whether one of its entries was equal to the slot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct ListMark(u32);

impl ListMark {
    /// Largest generation that a mark can hold.
    pub(super) const MAX_GENERATION: u32 = u32::MAX >> 1;

    pub(super) fn named(generation: u32) -> Self {
        ListMark(generation << 1)
    }

    pub(super) fn unchanged(generation: u32) -> Self {
        ListMark(generation << 1 | 1)
    }

    pub(super) fn is_from(self, generation: u32) -> bool {
        self.0 >> 1 == generation
    }
}

/// Slots by position. Memory grows in chunks, so that it never holds twice what is needed. The positions of
/// removed slots are reused, and their memory is retained for that.
#[derive(Default)]
pub(super) struct Slots {
    chunks: Vec<Vec<Option<Slot>>>,
    /// Positions of removed slots.
    free: Vec<u32>,
    /// Number of slots examined so far.
    visited: Cell<u64>,
}

impl Slots {
    pub(super) fn get(&self, position: u32) -> Option<&Slot> {
        self.visited.set(self.visited.get() + 1);
        self.chunks.get(position as usize / CHUNK_SLOTS)?.get(position as usize % CHUNK_SLOTS)?.as_ref()
    }

    pub(super) fn get_mut(&mut self, position: u32) -> Option<&mut Slot> {
        self.visited.set(self.visited.get() + 1);
        self.entry_mut(position)?.as_mut()
    }

    pub(super) fn insert(&mut self, slot: Slot) -> u32 {
        if let Some(position) = self.free.pop() {
            if let Some(entry) = self.entry_mut(position) {
                *entry = Some(slot);
            }
            return position;
        }
        let position = self.end();
        if (position as usize).is_multiple_of(CHUNK_SLOTS) {
            self.chunks.push(Vec::with_capacity(CHUNK_SLOTS));
        }
        if let Some(chunk) = self.chunks.last_mut() {
            chunk.push(Some(slot));
        }
        position
    }

    pub(super) fn remove(&mut self, position: u32) -> Option<Slot> {
        let slot = self.entry_mut(position)?.take()?;
        self.free.push(position);
        Some(slot)
    }

    /// One past the last position.
    pub(super) fn end(&self) -> u32 {
        let last = self.chunks.last().map_or(0, Vec::len);
        (self.chunks.len().saturating_sub(1) * CHUNK_SLOTS + last) as u32
    }

    /// Number of slots examined so far.
    pub(super) fn visited(&self) -> u64 {
        self.visited.get()
    }

    /// Number of bytes allocated.
    pub(super) fn bytes(&self) -> usize {
        let chunks = self.chunks.capacity() * size_of::<Vec<Option<Slot>>>();
        let slots = self.chunks.len() * CHUNK_SLOTS * size_of::<Option<Slot>>();
        chunks + slots + self.free.capacity() * size_of::<u32>()
    }

    fn entry_mut(&mut self, position: u32) -> Option<&mut Option<Slot>> {
        self.chunks.get_mut(position as usize / CHUNK_SLOTS)?.get_mut(position as usize % CHUNK_SLOTS)
    }
}
