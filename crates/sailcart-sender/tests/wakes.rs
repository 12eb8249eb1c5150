//! The rounds that a sender has asked for.

use std::time::{Duration, Instant};

use sailcart_sender::memory::wakes::Wakes;

/// Fleet day herd+mass: a round that came after the sender's time for it and before the clock's asked for the next one, of
/// which only the earlier was kept. The sender then slept over a packet's end until a client came, once for too long.
#[test]
fn a_later_round_is_not_forgotten_for_an_earlier_one() {
    let start = Instant::now();
    let [earlier, later] = [1, 400].map(|ms| start + Duration::from_millis(ms));
    let mut wakes = Wakes::default();
    wakes.ask(earlier);
    wakes.meet(start); // a round, just before its time
    wakes.ask(later);
    assert_eq!(wakes.next(), Some(earlier));
    wakes.meet(earlier);
    assert_eq!(wakes.next(), Some(later));
    wakes.meet(later);
    assert_eq!(wakes.next(), None);
}

/// A sender that is told something in each round asks for a nearer one and, once that has passed, for the far one again.
#[test]
fn rounds_asked_for_again_and_again_do_not_pile_up() {
    let start = Instant::now();
    let mut wakes = Wakes::default();
    for round in 1..1000 {
        wakes.ask(start + Duration::from_secs(12) + Duration::from_nanos(round));
        wakes.ask(start + Duration::from_millis(round));
        wakes.meet(start + Duration::from_millis(round));
        assert_eq!(wakes.next(), None, "the far one is asked for anew in round {round}");
    }
}
