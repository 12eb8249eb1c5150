//! Backoff delays: how long a sender waits after discovery or an endpoint has rejected its request.

use std::time::Duration;

use sailcart_sender::backoff::Backoff;
use sailcart_sender::polling::{Failure, PollingSchedule};

/// Simulates a discovery service that handles 20 calls per second and answers 503 after two seconds to
/// whoever has to wait longer; the work for a rejected call is done all the same. One hundred senders call at
/// once. Returns the time in seconds at which the last of them has its list, or `None` if that takes more
/// than two minutes.
fn time_until_all_served(mut retry_delay: impl FnMut(usize) -> Duration) -> Option<f64> {
    let mut waiting: Vec<(f64, usize)> = (0..100).map(|sender| (0.0, sender)).collect();
    let (mut free_at, mut last_served) = (0.0_f64, 0.0);
    while !waiting.is_empty() {
        waiting.sort_by(|a, b| b.0.total_cmp(&a.0));
        let (called_at, sender) = waiting.pop().filter(|(called_at, _)| *called_at < 120.0)?;
        free_at = free_at.max(called_at) + 0.05;
        match free_at - called_at {
            ..=2.0 => last_served = free_at,
            _ => waiting.push((called_at + 2.0 + retry_delay(sender).as_secs_f64(), sender)),
        }
    }
    Some(last_served)
}

/// Senders that were rejected for overload must spread their retries. On the laboratory's fleet day
/// herd+vast, 61 of 100 senders were rejected at their first call, retried every 50 ms and were rejected
/// until the end of the day, as was every sender that was restarted.
#[test]
fn rejected_senders_spread_their_retries() {
    let mut schedules: Vec<_> =
        (0..100).map(|seed| PollingSchedule::new(Some(Duration::from_secs(10)), seed)).collect();
    let served_at = time_until_all_served(|sender| schedules[sender].delay_after(Failure::Overloaded));
    assert!(served_at.is_some_and(|at| at < 20.0), "all senders have the list at {served_at:?}");
    let min_delay = Duration::from_millis(50);
    assert_eq!(
        time_until_all_served(|_| min_delay),
        None,
        "with fixed delays this discovery service never serves all senders"
    );
}

/// Delays grow with consecutive failures, stay within their bounds, and start again from the minimum after a
/// reset.
#[test]
fn delays_grow_with_consecutive_failures_until_reset() {
    let ms = Duration::from_millis;
    let mut backoff = Backoff::new(7, ms(50));
    let mut max_delay = |failures: u32| {
        (0..failures).map(|_| backoff.next_delay(ms(50), ms(800))).max().inspect(|_| backoff.reset())
    };
    assert_eq!(max_delay(1), Some(ms(50)));
    let max_of_ten: Vec<_> = (0..20).filter_map(|_| max_delay(10)).collect();
    assert!(max_of_ten.iter().all(|longest| (ms(50)..=ms(800)).contains(longest)), "{max_of_ten:?}");
    assert!(max_of_ten.iter().any(|longest| *longest > ms(400)), "{max_of_ten:?}");
    assert_eq!(max_delay(1), Some(ms(50)));
}
