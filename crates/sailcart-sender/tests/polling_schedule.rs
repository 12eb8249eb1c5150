//! The polling schedule of discovery: its delays and time-outs together stay below `MAX_UPDATE_DELAY`, the
//! time within which a change of the list has to be in force.

use std::time::Duration;

use sailcart_sender::polling::{Failure, MAX_UPDATE_DELAY, PollingSchedule, notice_timeout};

/// Guards against time-outs and delays that add up to more than `MAX_UPDATE_DELAY`: the delays were once
/// drawn from a range that doubled up to 40 s, and an unresponsive watch was abandoned only after 21 s. The
/// longest sequence is an unanswered call, a delay, a lost call, a delay, and a call that returns the list;
/// half a second is left for the sender itself.
#[test]
fn update_arrives_within_max_update_delay() {
    let ask_within = Some(Duration::from_secs(10));
    for (seed, ask_within) in (0..200).flat_map(|seed| [(seed, None), (seed, ask_within)]) {
        let mut schedule = PollingSchedule::new(ask_within, seed);
        schedule.list_in_force();
        let (hold, watch_timeout) = schedule.watch_timing();
        let max_failure_delay = [Failure::CallFailed; 20]
            .map(|failure| schedule.delay_after(failure))
            .into_iter()
            .max()
            .unwrap_or_default();
        let max_overload_delay =
            [Failure::Overloaded; 20].map(|failure| schedule.delay_after(failure)).into_iter().max();
        let retry_time = max_failure_delay + schedule.call_timeout();
        let longest_sequence =
            if hold < MAX_UPDATE_DELAY { watch_timeout + retry_time } else { schedule.call_timeout() }
                + retry_time;
        assert!(
            longest_sequence + Duration::from_millis(500) <= MAX_UPDATE_DELAY,
            "{ask_within:?} {longest_sequence:?}"
        );
        assert!(
            max_overload_delay.is_some_and(|max_overload_delay| max_overload_delay
                + schedule.watch_timing().0
                + Duration::from_millis(500)
                < MAX_UPDATE_DELAY),
            "{max_overload_delay:?}"
        );
        // A watch that is held for longer (16 s or more) times out within two seconds of its end,
        // and leaves capacity at a discovery service that all senders share.
        assert!(
            hold < MAX_UPDATE_DELAY
                || hold >= Duration::from_secs(16) && watch_timeout - hold < Duration::from_secs(2)
        );
    }
}

/// A notice is late 300 ms after its packet's deadline, so an unresponsive connection must not use up all of
/// that time.
#[test]
fn lost_notice_is_resent_in_time() {
    assert!(
        notice_timeout(0) < Duration::from_millis(300)
            && notice_timeout(1) > notice_timeout(0)
            && notice_timeout(9) <= Duration::from_secs(1)
    );
}
