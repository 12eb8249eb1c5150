//! The slab in which live endpoints stand.

use std::cell::Cell;
use std::mem::size_of;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, SocketAddrV6};

use compact_str::CompactString;
use sailcart::{DestinationId, EndpointId, KindId, Listing};

use super::Place;

/// Slots that are allocated together.
const CHUNK: usize = 512;

/// Where and of what kind an endpoint is, in 16 bytes. IPv6 is rare, and boxed.
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
    /// Calls a second, as last told.
    pub(super) rate: f64,
    pub(super) target: Target,
    pub(super) endpoint: EndpointId,
    pub(super) stamp: Stamp,
}

impl Slot {
    pub(super) fn place(&self) -> Place {
        Place { address: self.target.address(), destination: self.destination, kind: self.target.kind() }
    }

    /// The line that the decision module hears of a live endpoint.
    pub(super) fn line(&self) -> Listing {
        Listing {
            endpoint: self.endpoint,
            destination: self.destination,
            kind: KindId(usize::from(self.target.kind())),
            live: true,
            rate: self.rate,
        }
    }
}

/// In which staged list a slot's name was read last: the list's generation, and in the lowest bit whether a line equal to
/// the slot was among it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Stamp(u32);

impl Stamp {
    /// The last generation that a stamp can hold.
    pub(super) const LAST: u32 = u32::MAX >> 1;

    pub(super) fn named(generation: u32) -> Self {
        Stamp(generation << 1)
    }

    pub(super) fn same(generation: u32) -> Self {
        Stamp(generation << 1 | 1)
    }

    pub(super) fn is_of(self, generation: u32) -> bool {
        self.0 >> 1 == generation
    }
}

/// Slots by position. Grows by chunks, so that it never holds twice what it needs; positions of removed slots are used again,
/// and their memory is kept for that.
#[derive(Default)]
pub(super) struct Slots {
    chunks: Vec<Vec<Option<Slot>>>,
    free: Vec<u32>,
    visited: Cell<u64>,
}

impl Slots {
    pub(super) fn get(&self, at: u32) -> Option<&Slot> {
        self.visited.set(self.visited.get() + 1);
        self.chunks.get(at as usize / CHUNK)?.get(at as usize % CHUNK)?.as_ref()
    }

    pub(super) fn get_mut(&mut self, at: u32) -> Option<&mut Slot> {
        self.visited.set(self.visited.get() + 1);
        self.position(at)?.as_mut()
    }

    pub(super) fn insert(&mut self, slot: Slot) -> u32 {
        if let Some(at) = self.free.pop() {
            if let Some(position) = self.position(at) {
                *position = Some(slot);
            }
            return at;
        }
        let at = self.end();
        if (at as usize).is_multiple_of(CHUNK) {
            self.chunks.push(Vec::with_capacity(CHUNK));
        }
        if let Some(chunk) = self.chunks.last_mut() {
            chunk.push(Some(slot));
        }
        at
    }

    pub(super) fn remove(&mut self, at: u32) -> Option<Slot> {
        let slot = self.position(at)?.take()?;
        self.free.push(at);
        Some(slot)
    }

    /// One past the last position.
    pub(super) fn end(&self) -> u32 {
        let last = self.chunks.last().map_or(0, Vec::len);
        (self.chunks.len().saturating_sub(1) * CHUNK + last) as u32
    }

    /// Slots looked at so far.
    pub(super) fn visited(&self) -> u64 {
        self.visited.get()
    }

    /// Bytes allocated.
    pub(super) fn bytes(&self) -> usize {
        let chunks = self.chunks.capacity() * size_of::<Vec<Option<Slot>>>();
        let slots = self.chunks.len() * CHUNK * size_of::<Option<Slot>>();
        chunks + slots + self.free.capacity() * size_of::<u32>()
    }

    fn position(&mut self, at: u32) -> Option<&mut Option<Slot>> {
        self.chunks.get_mut(at as usize / CHUNK)?.get_mut(at as usize % CHUNK)
    }
}
