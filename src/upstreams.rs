//! What was learned about each upstream. It is not tied to the endpoints or the destination to which it belongs: an
//! upstream that is no longer in use is kept until a time, and found again if it comes back. This module decides
//! nothing.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Index;
use std::time::Duration;

use crate::counting_map::CountingMap;
use crate::state::UpstreamId;
use crate::upstream::{Retention, Upstream};

/// The upstreams in use, and those that are kept without being in use. The latter are removed only by
/// [`forget`](Upstreams::forget).
#[derive(Default)]
pub(crate) struct Upstreams {
    entries: CountingMap<UpstreamId, Upstream>,
    /// The upstreams that are not in use.
    unused: BTreeMap<UpstreamId, Retention>,
    /// The same, in the order in which they are forgotten if there are too many.
    by_retention: BTreeSet<(Retention, UpstreamId)>,
    /// The same, by the end of their retention.
    by_end: BTreeSet<(Duration, UpstreamId)>,
}

impl Upstreams {
    /// Number of entries accessed since the creation.
    pub(crate) fn visited(&self) -> u64 {
        self.entries.visited()
    }

    /// Number of upstreams that are kept without being in use.
    pub(crate) fn unused(&self) -> usize {
        self.unused.len()
    }

    pub(crate) fn get(&self, id: &UpstreamId) -> Option<&Upstream> {
        self.entries.get(id)
    }

    pub(crate) fn get_mut(&mut self, id: &UpstreamId) -> Option<&mut Upstream> {
        self.entries.get_mut(id)
    }

    /// Takes an upstream into use: the one that was kept, if any, otherwise a new one.
    pub(crate) fn begin_use(&mut self, id: UpstreamId) -> &mut Upstream {
        self.cancel_retention(&id);
        self.entries.entry(id).or_default()
    }

    /// Ends the use of an upstream, and keeps it for so long.
    pub(crate) fn end_use(&mut self, id: UpstreamId, retention: Retention) {
        if self.entries.contains_key(&id) {
            self.cancel_retention(&id);
            self.unused.insert(id, retention);
            self.by_retention.insert((retention, id));
            self.by_end.insert((retention.until, id));
        }
    }

    /// Forgets the unused upstreams whose retention has ended, and beyond `max` those that are needed the least.
    pub(crate) fn forget(&mut self, now: Duration, max: usize) {
        while let Some((_, id)) = self.by_end.first().copied().filter(|(until, _)| *until <= now) {
            self.remove(&id);
        }
        while self.unused.len() > max {
            let Some((_, id)) = self.by_retention.first().copied() else { return };
            self.remove(&id);
        }
    }

    fn remove(&mut self, id: &UpstreamId) {
        self.cancel_retention(id);
        self.entries.remove(id);
    }

    fn cancel_retention(&mut self, id: &UpstreamId) {
        if let Some(retention) = self.unused.remove(id) {
            self.by_retention.remove(&(retention, *id));
            self.by_end.remove(&(retention.until, *id));
        }
    }
}

impl Index<&UpstreamId> for Upstreams {
    type Output = Upstream;

    fn index(&self, id: &UpstreamId) -> &Upstream {
        &self.entries[id]
    }
}
