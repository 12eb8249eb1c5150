//! The delay before an oversized list is requested again, and the time limit for a large list. Without I/O.

use std::time::Duration;

use sailcart_sender::polling::{Failure, PollingSchedule};
use sailcart_sender::response::{MAX_PIECE_BYTES, TimeLimit};
use tokio::time::Instant;

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn delays_after_an_oversized_list_double_from_a_second_to_a_minute() {
    for seed in 0..200 {
        let mut schedule = PollingSchedule::new(None, seed);
        let mut max_delay = 2 * SECOND;
        for number in 0..12 {
            // List changes and failed calls in between do not shorten the delay.
            schedule.list_in_force();
            schedule.delay_after(Failure::CallFailed);
            let delay = schedule.too_large_delay();
            assert!(
                (SECOND..=max_delay).contains(&delay),
                "delay {number} of seed {seed}: {delay:?} of {max_delay:?}"
            );
            max_delay = (max_delay * 2).min(60 * SECOND);
        }
        schedule.list_fits();
        assert!(
            schedule.too_large_delay() <= 2 * SECOND,
            "the delay did not start over after a list that fits"
        );
    }
}

/// Senders that received the same oversized list do not request it again at the same time.
#[test]
fn delays_after_an_oversized_list_are_jittered_over_their_full_range() {
    let mut fourth_delays: Vec<Duration> = (0..200)
        .map(|seed| {
            let mut schedule = PollingSchedule::new(None, seed);
            [(); 4].map(|()| schedule.too_large_delay())[3]
        })
        .collect();
    fourth_delays.sort();
    assert!(fourth_delays[20] < 4 * SECOND && fourth_delays[180] > 13 * SECOND, "{fourth_delays:?}");
}

#[test]
fn the_time_limit_of_a_list_grows_with_its_size() {
    let started_at = Instant::now();
    let limit = TimeLimit { started_at, base_time: SECOND, min_bytes_per_second: Some(4_000_000) };
    let time_limit = |received_bytes: usize| limit.deadline(received_bytes) - started_at;
    assert_eq!(
        (time_limit(0), time_limit(MAX_PIECE_BYTES)),
        (SECOND, SECOND),
        "a small list has the time of the call"
    );
    assert_eq!(time_limit(MAX_PIECE_BYTES + 4_000_000), 2 * SECOND);
    let fixed_limit = TimeLimit { min_bytes_per_second: None, ..limit };
    assert_eq!(fixed_limit.deadline(1 << 40) - started_at, SECOND);
}
