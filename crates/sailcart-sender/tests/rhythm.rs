//! When discovery is asked: the sums that keep a change from counting as told before it is.

use std::time::Duration;

use sailcart_sender::rhythm::{Failure, Rhythm, TOLD, notice};

const ASKED: [Option<Duration>; 2] = [None, Some(Duration::from_secs(10))];
/// What the sender itself and the way to discovery and back may take.
const OWN: Duration = Duration::from_millis(400);

/// Pauses were drawn from a span that doubled to 40 s, and a silent watch was given up after 21 s.
#[test]
fn from_within_reach_to_told_is_shorter_than_the_term() {
    let (silent, turned_away) = Rhythm::new(None, 1).longest();
    assert!(silent + OWN < TOLD && turned_away + OWN < TOLD, "{silent:?} {turned_away:?}");
    let (lost, _) = Rhythm::new(ASKED[1], 1).longest();
    assert!(lost + OWN < TOLD, "{lost:?}");
    for (seed, asked) in (0..200).flat_map(|seed| ASKED.map(|asked| (seed, asked))) {
        let mut rhythm = Rhythm::new(asked, seed);
        for failure in [Failure::Lost; 20].into_iter().chain([Failure::TurnedAway; 20]) {
            let pause = rhythm.pause(failure);
            let (hold, waited) = rhythm.watch();
            // One that is in reach again answers at once; silent, it is given up in time for another.
            assert!(pause + hold + OWN < TOLD, "{failure:?} {pause:?}");
            let again = if failure == Failure::Lost { waited } else { Duration::ZERO };
            assert!(pause + again + waited < TOLD + rhythm.call(), "{failure:?} {pause:?} {waited:?}");
        }
    }
}

/// A wait of its own term is given up before that term: two seconds after it is over.
#[test]
fn a_long_watch_is_given_up_within_two_seconds_of_its_end() {
    let mut rhythm = Rhythm::new(ASKED[1], 1);
    let (hold, waited) = rhythm.watch();
    assert!(hold > TOLD && waited - hold + rhythm.pause(Failure::Lost) + OWN < Duration::from_secs(2));
}

/// Three hundred senders that wait at one discovery, which can take a call of each in eight seconds.
#[test]
fn waiting_at_a_shared_discovery_leaves_it_room() {
    let (hold, _) = Rhythm::new(ASKED[1], 1).watch();
    assert!(hold >= Duration::from_secs(16), "{hold:?}");
}

/// A notice is late 300 ms after its packet's time; a silent connection must not take it all.
#[test]
fn a_lost_notice_is_told_again_in_time() {
    assert!(notice(0) < Duration::from_millis(300));
    assert!(notice(1) > notice(0) && notice(9) <= Duration::from_secs(1));
}
