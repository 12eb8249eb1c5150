//! What an outage leaves behind at a receiver.

use std::time::Duration;

use sailcart_lab::experiment::Rules;
use sailcart_lab::receivers::recovery::Recovery;

const BACK: Duration = Duration::from_secs(10);

/// Ten calls a second once warm, and it hardly warms within the test.
fn cold() -> Recovery {
    let rules =
        Rules { cold_from: 0.5, cold: Duration::from_secs(100_000), fall_multiple: 2.0, ..Rules::default() };
    Recovery::new(&rules, 10.0, vec![(Duration::from_secs(5), BACK)])
}

/// Evenly spaced calls over a span; whether it fell over.
fn falls(calls: u32, span: Duration) -> bool {
    let mut recovery = cold();
    (0..calls).any(|nth| recovery.push(BACK + Duration::from_millis(1) + span * nth / calls))
}

#[test]
fn exactly_the_multiple_for_the_whole_span_is_borne() {
    // 2 x half of 10 a second for 2 s: twenty calls.
    assert!(!falls(20, Duration::from_secs(2)));
    assert!(!falls(60, Duration::from_secs(6)), "for as long as it lasts");
}

#[test]
fn just_over_the_multiple_is_borne_for_just_under_the_span_and_not_for_longer() {
    let rate = 10.6;
    let calls = |span: f64| (rate * span).floor() as u32;
    assert!(!falls(calls(1.9), Duration::from_secs_f64(1.9)));
    assert!(falls(calls(2.1), Duration::from_secs_f64(2.1)));
}

#[test]
fn what_came_before_the_outage_and_once_it_is_warm_does_not_push() {
    let mut recovery = cold();
    assert!((0..200).all(|nth| !recovery.push(Duration::from_millis(nth))));
    let warm = BACK + Duration::from_secs(100_001);
    assert!((0..200).all(|_| !recovery.push(warm)));
}
