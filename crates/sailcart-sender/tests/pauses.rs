//! How long those that were turned away wait.

use std::time::Duration;

use sailcart_sender::backoff::Backoff;
use sailcart_sender::polling::{Failure, PollingSchedule};

/// A discovery that takes 20 calls a second and turns away, after two seconds, whoever waits longer; its work for them is done
/// all the same. Tells when the last of a hundred senders that all asked at once has its list, if within two minutes.
fn all_have_heard(mut pause: impl FnMut(usize) -> Duration) -> Option<f64> {
    let mut asking: Vec<(f64, usize)> = (0..100).map(|sender| (0.0, sender)).collect();
    let (mut free, mut heard) = (0.0_f64, 0.0);
    while !asking.is_empty() {
        asking.sort_by(|a, b| b.0.total_cmp(&a.0));
        let (at, sender) = asking.pop().filter(|(at, _)| *at < 120.0)?;
        free = free.max(at) + 0.05;
        match free - at {
            ..=2.0 => heard = free,
            _ => asking.push((at + 2.0 + pause(sender).as_secs_f64(), sender)),
        }
    }
    Some(heard)
}

/// Fleet day herd+vast: 61 of 100 senders, turned away at their first call, came again every 50 ms and were turned away to the
/// day's end, as was every sender that was restarted.
#[test]
fn a_hundred_that_were_turned_away_let_each_other_in() {
    let mut own: Vec<_> =
        (0..100).map(|seed| PollingSchedule::new(Some(Duration::from_secs(10)), seed)).collect();
    let heard = all_have_heard(|sender| own[sender].delay_after(Failure::Overloaded));
    assert!(heard.is_some_and(|at| at < 20.0), "all have heard at {heard:?}");
    let least = Duration::from_millis(50);
    assert_eq!(all_have_heard(|_| least), None, "this discovery does not get through with fixed pauses");
}

#[test]
fn pauses_grow_in_a_row_and_end_with_it() {
    let ms = Duration::from_millis;
    let mut pauses = Backoff::new(7, ms(50));
    let mut most =
        |row: u32| (0..row).map(|_| pauses.next_delay(ms(50), ms(800))).max().inspect(|_| pauses.reset());
    assert_eq!(most(1), Some(ms(50)));
    let tenth: Vec<_> = (0..20).filter_map(|_| most(10)).collect();
    assert!(tenth.iter().all(|longest| (ms(50)..=ms(800)).contains(longest)), "{tenth:?}");
    assert!(tenth.iter().any(|longest| *longest > ms(400)), "{tenth:?}");
    assert_eq!(most(1), Some(ms(50)));
}
