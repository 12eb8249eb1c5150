//! When discovery is asked: the sums that keep a change from counting as told before it is.

use std::time::Duration;

use sailcart_sender::rhythm::{Failure, Rhythm, TOLD, notice};

/// Pauses were drawn from a span that doubled to 40 s, and a silent watch was given up after 21 s. The longest way is a call that is
/// silent, a pause, one that is lost, a pause, one that brings the list; half a second is left for the sender itself.
#[test]
fn from_within_reach_to_told_is_shorter_than_the_term() {
    let asked = Some(Duration::from_secs(10));
    for (seed, asked) in (0..200).flat_map(|seed| [(seed, None), (seed, asked)]) {
        let mut rhythm = Rhythm::new(asked, seed);
        rhythm.over();
        let (hold, waited) = rhythm.watch();
        let lost = [Failure::Lost; 20].map(|lost| rhythm.pause(lost)).into_iter().max().unwrap_or_default();
        let away = [Failure::TurnedAway; 20].map(|away| rhythm.pause(away)).into_iter().max();
        let again = lost + rhythm.call();
        let way = if hold < TOLD { waited + again } else { rhythm.call() } + again;
        assert!(way + Duration::from_millis(500) <= TOLD, "{asked:?} {way:?}");
        assert!(
            away.is_some_and(|away| away + rhythm.watch().0 + Duration::from_millis(500) < TOLD),
            "{away:?}"
        );
        // One that waits for longer has two seconds from its end, and leaves a discovery room that all senders share.
        assert!(hold < TOLD || hold >= Duration::from_secs(16) && waited - hold < Duration::from_secs(2));
    }
}

/// A notice is late 300 ms after its packet's time; a silent connection must not take it all.
#[test]
fn a_lost_notice_is_told_again_in_time() {
    assert!(
        notice(0) < Duration::from_millis(300)
            && notice(1) > notice(0)
            && notice(9) <= Duration::from_secs(1)
    );
}
