//! When a list that was too large is asked for again, and how long a large list may take. Pure.

use std::time::Duration;

use sailcart_sender::polling::{Failure, PollingSchedule};
use sailcart_sender::response::{MAX_PIECE_BYTES, TimeLimit};
use tokio::time::Instant;

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn refusals_are_a_row_of_their_own_that_doubles_from_a_second_to_a_minute() {
    for seed in 0..200 {
        let mut schedule = PollingSchedule::new(None, seed);
        let mut span = 2 * SECOND;
        for nth in 0..12 {
            // Changes that come meanwhile, and calls that are lost, do not shorten it.
            schedule.list_in_force();
            schedule.delay_after(Failure::CallFailed);
            let pause = schedule.too_large_delay();
            assert!((SECOND..=span).contains(&pause), "pause {nth} of seed {seed}: {pause:?} of {span:?}");
            span = (span * 2).min(60 * SECOND);
        }
        schedule.list_fits();
        assert!(schedule.too_large_delay() <= 2 * SECOND, "the first of another row");
    }
}

/// Senders that were refused together do not come again together.
#[test]
fn refusals_are_drawn_from_the_whole_of_their_span() {
    let mut fourth: Vec<Duration> = (0..200)
        .map(|seed| {
            let mut schedule = PollingSchedule::new(None, seed);
            [(); 4].map(|()| schedule.too_large_delay())[3]
        })
        .collect();
    fourth.sort();
    assert!(fourth[20] < 4 * SECOND && fourth[180] > 13 * SECOND, "{fourth:?}");
}

#[test]
fn a_large_list_has_more_time_in_step_with_its_bytes() {
    let started_at = Instant::now();
    let term = TimeLimit { started_at, base_time: SECOND, min_bytes_per_second: Some(4_000_000) };
    let end = |came: usize| term.deadline(came) - started_at;
    assert_eq!((end(0), end(MAX_PIECE_BYTES)), (SECOND, SECOND), "a small one has the time of the call");
    assert_eq!(end(MAX_PIECE_BYTES + 4_000_000), 2 * SECOND);
    let fixed = TimeLimit { min_bytes_per_second: None, ..term };
    assert_eq!(fixed.deadline(1 << 40) - started_at, SECOND);
}
