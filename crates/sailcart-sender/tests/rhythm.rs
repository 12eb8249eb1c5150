//! When discovery is asked: the sums that keep a change from counting as told before it is.

use std::time::Duration;

use sailcart_sender::polling::{Failure, MAX_UPDATE_DELAY, PollingSchedule, notice_timeout};

/// Pauses were drawn from a span that doubled to 40 s, and a silent watch was given up after 21 s. The longest way is a call that is
/// silent, a pause, one that is lost, a pause, one that brings the list; half a second is left for the sender itself.
#[test]
fn from_within_reach_to_told_is_shorter_than_the_term() {
    let asked = Some(Duration::from_secs(10));
    for (seed, asked) in (0..200).flat_map(|seed| [(seed, None), (seed, asked)]) {
        let mut schedule = PollingSchedule::new(asked, seed);
        schedule.list_in_force();
        let (hold, waited) = schedule.watch_timing();
        let lost = [Failure::CallFailed; 20]
            .map(|lost| schedule.delay_after(lost))
            .into_iter()
            .max()
            .unwrap_or_default();
        let away = [Failure::Overloaded; 20].map(|away| schedule.delay_after(away)).into_iter().max();
        let again = lost + schedule.call_timeout();
        let way = if hold < MAX_UPDATE_DELAY { waited + again } else { schedule.call_timeout() } + again;
        assert!(way + Duration::from_millis(500) <= MAX_UPDATE_DELAY, "{asked:?} {way:?}");
        assert!(
            away.is_some_and(
                |away| away + schedule.watch_timing().0 + Duration::from_millis(500) < MAX_UPDATE_DELAY
            ),
            "{away:?}"
        );
        // One that waits for longer has two seconds from its end, and leaves a discovery room that all senders share.
        assert!(
            hold < MAX_UPDATE_DELAY
                || hold >= Duration::from_secs(16) && waited - hold < Duration::from_secs(2)
        );
    }
}

/// A notice is late 300 ms after its packet's time; a silent connection must not take it all.
#[test]
fn a_lost_notice_is_told_again_in_time() {
    assert!(
        notice_timeout(0) < Duration::from_millis(300)
            && notice_timeout(1) > notice_timeout(0)
            && notice_timeout(9) <= Duration::from_secs(1)
    );
}
