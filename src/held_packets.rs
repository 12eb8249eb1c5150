//! The held packets by destination, with the orders in which decisions need them. Each change costs the logarithm
//! of what is held. This module decides nothing.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::counting_map::CountingMap;
use crate::host::{DestinationId, PacketId};

/// The order in which packets are shed: the least one first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SheddingOrder {
    /// It is shed only if there are no others, and does not count for how full its destination is.
    pub last_resort: bool,
    /// It was submitted within its customer's quota.
    pub within_quota: bool,
    /// When the client abandons it.
    pub deadline: Duration,
}

impl SheddingOrder {
    /// The first possible order with these properties.
    fn start_of(last_resort: bool, within_quota: bool) -> (Self, PacketId) {
        (SheddingOrder { last_resort, within_quota, deadline: Duration::ZERO }, PacketId(0))
    }
}

/// The held packets of one destination.
#[derive(Default)]
pub struct HeldQueue {
    packets: BTreeMap<PacketId, SheddingOrder>,
    by_shedding_order: BTreeSet<(SheddingOrder, PacketId)>,
    /// Number of packets that are not a last resort.
    sheddable: usize,
}

impl HeldQueue {
    /// Number of packets.
    pub fn len(&self) -> usize {
        self.packets.len()
    }

    /// The packets in the order of their numbers.
    pub fn packets(&self) -> impl Iterator<Item = PacketId> {
        self.packets.keys().copied()
    }

    /// The earliest deadline of all packets.
    pub fn earliest_deadline(&self) -> Option<Duration> {
        let groups = [(false, false), (false, true), (true, false), (true, true)];
        let earliest_of = |(last_resort, within_quota)| {
            let start = SheddingOrder::start_of(last_resort, within_quota);
            let (order, _) = self.by_shedding_order.range(start..).next()?;
            (order.last_resort == last_resort && order.within_quota == within_quota).then_some(order.deadline)
        };
        groups.into_iter().filter_map(earliest_of).min()
    }

    fn insert(&mut self, id: PacketId, order: SheddingOrder) {
        self.remove(id);
        self.packets.insert(id, order);
        self.by_shedding_order.insert((order, id));
        self.sheddable += usize::from(!order.last_resort);
    }

    fn remove(&mut self, id: PacketId) {
        if let Some(order) = self.packets.remove(&id) {
            self.by_shedding_order.remove(&(order, id));
            self.sheddable -= usize::from(!order.last_resort);
        }
    }
}

/// The held packets of all destinations that have any.
#[derive(Default)]
pub struct HeldPackets {
    queues: CountingMap<DestinationId, HeldQueue>,
    /// The same destinations by their number of sheddable packets.
    by_sheddable: BTreeSet<(usize, DestinationId)>,
}

impl HeldPackets {
    /// Number of entries accessed since the creation.
    pub fn visited(&self) -> u64 {
        self.queues.visited()
    }

    /// The destinations that have held packets.
    pub fn destinations(&self) -> impl Iterator<Item = DestinationId> {
        self.queues.keys().copied()
    }

    /// The held packets of a destination that has any.
    pub fn get(&self, destination: DestinationId) -> Option<&HeldQueue> {
        self.queues.get(&destination)
    }

    /// Whether a destination has held packets.
    pub fn contains(&self, destination: DestinationId) -> bool {
        self.queues.contains_key(&destination)
    }

    /// Number of held packets of a destination.
    pub fn count(&self, destination: DestinationId) -> usize {
        self.get(destination).map_or(0, HeldQueue::len)
    }

    /// Adds a packet; one that is held already gets this order.
    pub fn insert(&mut self, destination: DestinationId, id: PacketId, order: SheddingOrder) {
        self.update(destination, |queue| queue.insert(id, order));
    }

    /// Removes a packet if it is held.
    pub fn remove(&mut self, destination: DestinationId, id: PacketId) {
        if self.queues.contains_key(&destination) {
            self.update(destination, |queue| queue.remove(id));
        }
    }

    /// The first packet to be shed of the destination that has the most sheddable packets, and the highest number
    /// among equals.
    pub fn first_to_shed(&self) -> Option<PacketId> {
        let (_, fullest) = self.by_sheddable.last()?;
        self.get(*fullest)?.by_shedding_order.first().map(|(_, id)| *id)
    }

    /// Changes a queue, which is created if necessary and removed if it is empty, and its entry in the index.
    fn update(&mut self, destination: DestinationId, change: impl FnOnce(&mut HeldQueue)) {
        let queue = self.queues.entry(destination).or_default();
        self.by_sheddable.remove(&(queue.sheddable, destination));
        change(queue);
        if queue.packets.is_empty() {
            self.queues.remove(&destination);
        } else {
            self.by_sheddable.insert((queue.sheddable, destination));
        }
    }
}
