//! The rounds that a sender has asked for.

use std::time::{Duration, Instant};

use sailcart_sender::memory::scheduled_rounds::ScheduledRounds;

/// Fleet day herd+mass: a round that came after the sender's time for it and before the clock's asked for the next one, of
/// which only the earlier was kept. The sender then slept over a packet's end until a client came, once for too long.
#[test]
fn a_later_round_is_not_forgotten_for_an_earlier_one() {
    let start = Instant::now();
    let [earlier, later] = [1, 400].map(|ms| start + Duration::from_millis(ms));
    let mut rounds = ScheduledRounds::default();
    rounds.schedule(earlier);
    rounds.remove_due(start); // a round, just before its time
    rounds.schedule(later);
    assert_eq!(rounds.next(), Some(earlier));
    rounds.remove_due(earlier);
    assert_eq!(rounds.next(), Some(later));
    rounds.remove_due(later);
    assert_eq!(rounds.next(), None);
}

/// A sender that is told something in each round asks for a nearer one and, once that has passed, for the far one again.
#[test]
fn rounds_asked_for_again_and_again_do_not_pile_up() {
    let start = Instant::now();
    let mut rounds = ScheduledRounds::default();
    for round in 1..1000 {
        rounds.schedule(start + Duration::from_secs(12) + Duration::from_nanos(round));
        rounds.schedule(start + Duration::from_millis(round));
        rounds.remove_due(start + Duration::from_millis(round));
        assert_eq!(rounds.next(), None, "the far one is asked for anew in round {round}");
    }
}
