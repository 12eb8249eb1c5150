//! The limits of calls with several packets.

use sailcart::call_size::CallSize;

/// Number of packets with entries of these sizes that go into one call.
fn packets_in_call(entries: &[usize], max_packets: usize) -> usize {
    let mut size = CallSize::default();
    entries.iter().take_while(|bytes| size.try_add(**bytes, max_packets)).count()
}

// Guards against calls whose framing takes them over the size that endpoints accept.
#[test]
fn a_call_is_bounded_by_its_packets_and_by_its_bytes_with_the_framing() {
    assert_eq!(packets_in_call(&[100; 20], 10), 10);
    assert_eq!(packets_in_call(&[32_766, 32_767, 1], 10), 2);
    assert_eq!(packets_in_call(&[32_767, 32_767, 1], 10), 1);
    assert_eq!(packets_in_call(&[90_000, 1], 10), 1);
    assert_eq!(packets_in_call(&[1, 90_000], 10), 1);
}
