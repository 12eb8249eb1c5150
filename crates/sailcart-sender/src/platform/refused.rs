//! Notices to which the platform answered 400.
//!
//! A notice that the platform cannot read would block all others in its call, and the answer itself may
//! have been corrupted on its way. So each notice of a refused call is sent in a call of its own from then
//! on, the least refused first, and is abandoned only after a number of attempts.

use std::collections::BTreeMap;

use sailcart::PacketId;

/// Refusals after which a notice is abandoned. With the delays in between this takes over five seconds if
/// there is only one such notice.
const MAX_ATTEMPTS: u32 = 100;

/// The refused notices, with the number of refusals of each.
#[derive(Debug, Default)]
pub struct RefusedNotices {
    attempts: BTreeMap<PacketId, u32>,
    last_call_was_single: bool,
}

impl RefusedNotices {
    /// Whether this notice was refused and is still pending.
    pub fn contains(&self, id: PacketId) -> bool {
        self.attempts.contains_key(&id)
    }

    /// Selects the notice for a call of its own: the least refused one. If `others_wait`, calls for refused
    /// notices alternate with calls for those that were never refused, and `None` means that it is the turn
    /// of the latter.
    pub fn next_single(&mut self, others_wait: bool) -> Option<PacketId> {
        let least_refused = self.attempts.iter().min_by_key(|(_, attempts)| **attempts).map(|(id, _)| *id);
        let single = least_refused.filter(|_| !others_wait || !self.last_call_was_single);
        self.last_call_was_single = single.is_some();
        single
    }

    /// Counts a refusal of a call with these notices. Returns those that are abandoned, which are removed.
    pub fn record_refusal(&mut self, ids: &[PacketId]) -> Vec<PacketId> {
        for id in ids {
            *self.attempts.entry(*id).or_default() += 1;
        }
        let is_exhausted =
            |id: &&PacketId| self.attempts.get(id).is_some_and(|attempts| *attempts >= MAX_ATTEMPTS);
        let abandoned: Vec<PacketId> = ids.iter().filter(is_exhausted).copied().collect();
        self.remove(&abandoned);
        abandoned
    }

    /// Removes notices that were acknowledged or abandoned.
    pub fn remove(&mut self, ids: &[PacketId]) {
        for id in ids {
            self.attempts.remove(id);
        }
    }
}
