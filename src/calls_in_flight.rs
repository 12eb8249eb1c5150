//! The calls in flight, counted by destination and by endpoint. This module decides nothing.

use crate::counting_map::CountingMap;
use crate::host::{DestinationId, EndpointId, PacketId};
use crate::state::Call;

/// All calls in flight, by number.
#[derive(Default)]
pub struct CallsInFlight {
    calls: CountingMap<u64, Call>,
    by_destination: CountingMap<DestinationId, usize>,
    by_endpoint: CountingMap<EndpointId, usize>,
}

impl CallsInFlight {
    /// Number of entries accessed since the creation.
    pub fn visited(&self) -> u64 {
        self.calls.visited() + self.by_destination.visited() + self.by_endpoint.visited()
    }

    /// Number of calls in flight.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    pub fn get(&self, number: u64) -> Option<&Call> {
        self.calls.get(&number)
    }

    pub fn get_mut(&mut self, number: u64) -> Option<&mut Call> {
        self.calls.get_mut(&number)
    }

    pub fn iter(&self) -> impl Iterator<Item = (u64, &Call)> {
        self.calls.iter().map(|(number, call)| (*number, call))
    }

    pub fn values(&self) -> impl Iterator<Item = &Call> {
        self.calls.values()
    }

    /// The destinations with calls in flight.
    pub fn destinations(&self) -> impl Iterator<Item = DestinationId> {
        self.by_destination.keys().copied()
    }

    /// Number of calls in flight to a destination.
    pub fn count_to(&self, destination: DestinationId) -> usize {
        self.by_destination.get(&destination).copied().unwrap_or_default()
    }

    /// Number of calls in flight to an endpoint.
    pub fn count_at(&self, endpoint: EndpointId) -> usize {
        self.by_endpoint.get(&endpoint).copied().unwrap_or_default()
    }

    /// Adds a call under a new number.
    pub fn insert(&mut self, number: u64, call: Call) {
        *self.by_destination.entry(call.upstream_id.0).or_default() += 1;
        *self.by_endpoint.entry(call.endpoint).or_default() += 1;
        self.calls.insert(number, call);
    }

    /// Removes a packet from its call, and the call with its last packet.
    pub fn remove_packet(&mut self, number: u64, packet: PacketId) {
        let Some(call) = self.calls.get_mut(&number) else { return };
        call.pending_packets.retain(|other| *other != packet);
        if !call.pending_packets.is_empty() {
            return;
        }
        if let Some(call) = self.calls.remove(&number) {
            decrement(&mut self.by_destination, &call.upstream_id.0);
            decrement(&mut self.by_endpoint, &call.endpoint);
        }
    }
}

/// Subtracts one from a count, and removes it at zero.
fn decrement<K: Copy + Ord>(counts: &mut CountingMap<K, usize>, key: &K) {
    if let Some(count) = counts.get_mut(key) {
        *count -= 1;
        if *count == 0 {
            counts.remove(key);
        }
    }
}
