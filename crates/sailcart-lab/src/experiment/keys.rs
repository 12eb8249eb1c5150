//! Which of several senders clients choose for a key, in simulated time and on sockets alike.

use sailcart::KeyId;

/// Spreads neighbouring keys over the senders (2^32 divided by the golden ratio).
const KEY_SPREAD: u64 = 0x9e37_79b9;

/// The one of several that gets all of a key for as long as they stay the same; `None` of none.
pub fn choose_by_key<T: Copy>(key: KeyId, among: &[T]) -> Option<T> {
    let spread = key.0.wrapping_mul(KEY_SPREAD) >> 7;
    among.get(spread as usize % among.len().max(1)).copied()
}
