//! Notices to which the platform responded with 400.
//!
//! A notice that the platform cannot read would block all others in its call, and the response itself may
//! have been corrupted on its way. So each notice of a refused call is sent in a call of its own from then
//! on, the least refused first, and is abandoned only after a number of refusals.

use std::collections::BTreeMap;

use sailcart::PacketId;

/// Refusals after which a notice is abandoned. With the delays in between this takes over five seconds if
/// there is only one such notice.
const MAX_REFUSALS: u32 = 100;

/// The refused notices, with the number of refusals of each.
#[derive(Debug, Default)]
pub struct RefusedNotices {
    refusals: BTreeMap<PacketId, u32>,
    last_call_was_single: bool,
}

impl RefusedNotices {
    /// Whether this notice was refused and is still pending.
    pub fn contains(&self, number: PacketId) -> bool {
        self.refusals.contains_key(&number)
    }

    /// Selects the notice for a call of its own: the least refused one. If `others_wait`, calls for refused
    /// notices alternate with calls for those that were never refused, and `None` means that the next call is
    /// for the latter.
    pub fn next_single(&mut self, others_wait: bool) -> Option<PacketId> {
        let least_refused =
            self.refusals.iter().min_by_key(|(_, refusals)| **refusals).map(|(number, _)| *number);
        let single = least_refused.filter(|_| !others_wait || !self.last_call_was_single);
        self.last_call_was_single = single.is_some();
        single
    }

    /// Counts a refusal of a call with these notices. Returns those that are abandoned, which are removed.
    pub fn record_refusal(&mut self, numbers: &[PacketId]) -> Vec<PacketId> {
        for number in numbers {
            *self.refusals.entry(*number).or_default() += 1;
        }
        let is_exhausted =
            |number: &&PacketId| self.refusals.get(number).is_some_and(|refusals| *refusals >= MAX_REFUSALS);
        let abandoned: Vec<PacketId> = numbers.iter().filter(is_exhausted).copied().collect();
        self.remove(&abandoned);
        abandoned
    }

    /// Removes notices that were acknowledged or abandoned.
    pub fn remove(&mut self, numbers: &[PacketId]) {
        for number in numbers {
            self.refusals.remove(number);
        }
    }
}
