//! The choice of a sender by the key of a packet, shared by both modes.

use sailcart::KeyId;

/// Multiplier that spreads adjacent keys over the senders: 2^32 divided by the golden ratio.
const KEY_MULTIPLIER: u64 = 0x9e37_79b9;

/// Chooses one of the candidates for a key. All packets of a key go to the same candidate while the
/// candidates stay the same; `None` if there are none.
pub fn choose_by_key<T: Copy>(key: KeyId, candidates: &[T]) -> Option<T> {
    let hash = key.0.wrapping_mul(KEY_MULTIPLIER) >> 7;
    candidates.get(hash as usize % candidates.len().max(1)).copied()
}
