//! The packets of each ordering key, in the order in which they were accepted. This module decides nothing.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::counting_map::CountingMap;
use crate::host::{KeyId, PacketId};

/// The packets of one key.
#[derive(Default)]
struct KeyQueue {
    packets: BTreeSet<PacketId>,
    /// No packet of the key is dispatched before this time.
    blocked_until: Duration,
}

/// The queues of all keys that have packets or are blocked.
#[derive(Default)]
pub struct KeyQueues {
    queues: CountingMap<KeyId, KeyQueue>,
    /// The keys that have packets, with the end of their block.
    with_packets: BTreeSet<(Duration, KeyId)>,
    /// The keys that have no packets and are kept for their block only.
    without_packets: BTreeSet<(Duration, KeyId)>,
}

impl KeyQueues {
    /// Number of entries accessed since the creation.
    pub fn visited(&self) -> u64 {
        self.queues.visited()
    }

    /// Adds a packet. Packets of a key are ordered by their numbers, so that one that is accepted again goes before
    /// those accepted after it. The key stays blocked at least until `blocked_until`.
    pub fn insert(&mut self, key: KeyId, packet: PacketId, blocked_until: Duration) {
        self.update(key, |queue| {
            queue.packets.insert(packet);
            queue.blocked_until = queue.blocked_until.max(blocked_until);
        });
    }

    /// Blocks a key that is tracked until this time.
    pub fn block(&mut self, key: KeyId, until: Duration) {
        if self.queues.contains_key(&key) {
            self.update(key, |queue| queue.blocked_until = until);
        }
    }

    /// Removes a packet. Keys that have no packets are forgotten once their block has ended.
    pub fn remove(&mut self, key: KeyId, packet: PacketId, now: Duration) {
        if self.queues.contains_key(&key) {
            self.update(key, |queue| {
                queue.packets.remove(&packet);
            });
        }
        while let Some((until, key)) = self.without_packets.first().copied().filter(|(at, _)| *at <= now) {
            self.without_packets.remove(&(until, key));
            self.queues.remove(&key);
        }
    }

    /// Whether a packet is the first of its key, and the key is not blocked.
    pub fn is_next(&self, key: KeyId, packet: PacketId, now: Duration) -> bool {
        self.queues
            .get(&key)
            .is_none_or(|queue| queue.packets.first() == Some(&packet) && queue.blocked_until <= now)
    }

    /// When the next block of a key that has packets ends.
    pub fn next_unblocked(&self, now: Duration) -> Option<Duration> {
        let after_now = (now.saturating_add(Duration::from_nanos(1)), KeyId(0));
        self.with_packets.range(after_now..).next().map(|(until, _)| *until)
    }

    /// Changes a queue, which is created if necessary, and its entry in the index.
    fn update(&mut self, key: KeyId, change: impl FnOnce(&mut KeyQueue)) {
        let queue = self.queues.entry(key).or_default();
        let old = (queue.blocked_until, key);
        if queue.packets.is_empty() {
            self.without_packets.remove(&old);
        } else {
            self.with_packets.remove(&old);
        }
        change(queue);
        let new = (queue.blocked_until, key);
        if queue.packets.is_empty() {
            self.without_packets.insert(new);
        } else {
            self.with_packets.insert(new);
        }
    }
}
