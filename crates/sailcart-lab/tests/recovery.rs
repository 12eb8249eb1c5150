//! Overload of a simulated receiver that recovers from an outage.

use std::time::Duration;

use sailcart_lab::experiment::Rules;
use sailcart_lab::receivers::recovery::Recovery;

const RECOVERY_START: Duration = Duration::from_secs(10);

/// A receiver with a capacity of ten calls per second once warm. It stays almost cold during a test.
fn cold_receiver() -> Recovery {
    let rules =
        Rules { cold_from: 0.5, cold: Duration::from_secs(100_000), fall_multiple: 2.0, ..Rules::default() };
    Recovery::new(&rules, 10.0, vec![(Duration::from_secs(5), RECOVERY_START)])
}

/// Whether evenly spaced calls over a span overload the receiver.
fn is_overloaded(calls: u32, span: Duration) -> bool {
    let mut recovery = cold_receiver();
    (0..calls)
        .any(|index| recovery.record_call(RECOVERY_START + Duration::from_millis(1) + span * index / calls))
}

#[test]
fn the_exact_multiple_is_tolerated_for_the_whole_span() {
    // Twice the cold rate, which is half of 10 per second, for 2 s: twenty calls.
    assert!(!is_overloaded(20, Duration::from_secs(2)));
    assert!(!is_overloaded(60, Duration::from_secs(6)), "for any duration");
}

#[test]
fn slightly_more_than_the_multiple_is_tolerated_for_less_than_the_span() {
    let rate = 10.6;
    let calls = |span: f64| (rate * span).floor() as u32;
    assert!(!is_overloaded(calls(1.9), Duration::from_secs_f64(1.9)));
    assert!(is_overloaded(calls(2.1), Duration::from_secs_f64(2.1)));
}

#[test]
fn calls_before_the_outage_and_after_the_warm_up_do_not_count() {
    let mut recovery = cold_receiver();
    assert!((0..200).all(|index| !recovery.record_call(Duration::from_millis(index))));
    let warm = RECOVERY_START + Duration::from_secs(100_001);
    assert!((0..200).all(|_| !recovery.record_call(warm)));
}
