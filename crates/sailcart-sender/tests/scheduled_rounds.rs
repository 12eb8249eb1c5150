//! The list of scheduled rounds: until which time the sender sleeps after a round was due.

use std::time::{Duration, Instant};

use sailcart_sender::memory::scheduled_rounds::ScheduledRounds;

/// A round that was scheduled for a later time has to survive an earlier one. On the laboratory's fleet day
/// herd+mass a round ran when the sender's timer was due but the clock had not yet reached that time, and
/// scheduled another round. Only the earlier of the two times was stored. The sender then slept past a
/// packet's deadline until a client connected, in one case for too long.
#[test]
fn later_round_is_kept_when_an_earlier_one_is_scheduled() {
    let start = Instant::now();
    let [earlier, later] = [1, 400].map(|ms| start + Duration::from_millis(ms));
    let mut rounds = ScheduledRounds::default();
    rounds.schedule(earlier);
    rounds.remove_due(start); // a round that runs just before its scheduled time
    rounds.schedule(later);
    assert_eq!(rounds.next(), Some(earlier));
    rounds.remove_due(earlier);
    assert_eq!(rounds.next(), Some(later));
    rounds.remove_due(later);
    assert_eq!(rounds.next(), None);
}

/// A sender that gets an update in each round schedules a nearer round every time and, once that has passed,
/// the distant one again. The list must not grow with each of them.
#[test]
fn repeatedly_scheduled_rounds_do_not_accumulate() {
    let start = Instant::now();
    let mut rounds = ScheduledRounds::default();
    for round in 1..1000 {
        rounds.schedule(start + Duration::from_secs(12) + Duration::from_nanos(round));
        rounds.schedule(start + Duration::from_millis(round));
        rounds.remove_due(start + Duration::from_millis(round));
        assert_eq!(
            rounds.next(),
            None,
            "the distant round was not dropped when nearer round {round} was scheduled"
        );
    }
}
