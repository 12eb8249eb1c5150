//! The rate limiter of a simulated receiver, which all senders share.

use std::time::Duration;

use sailcart_lab::experiment::{Limit, LimitBy};
use sailcart_lab::receivers::limit::RateLimiter;

fn limiter(by: LimitBy, refused_count: bool) -> RateLimiter {
    RateLimiter::new(&Limit { by, rate: 4.0, span: Duration::from_secs(1), refused_count, tells: 1.0 })
}

#[test]
fn the_reported_wait_is_exact_even_if_refused_calls_count() {
    for by in [LimitBy::Rate, LimitBy::Span] {
        for refused_count in [false, true] {
            let mut limiter = limiter(by, refused_count);
            let now = Duration::from_millis(1300);
            while limiter.try_acquire(now).is_ok() {}
            let wait = limiter.try_acquire(now).unwrap_err();
            assert!(!wait.is_zero());
            let just_before = now + wait - Duration::from_millis(1);
            assert!(!limiter.has_capacity(just_before, 0), "{by:?}: the wait is longer than necessary");
            assert!(
                limiter.has_capacity(now + wait + Duration::from_micros(1), 0),
                "{by:?}: the wait is too short"
            );
        }
    }
}

#[test]
fn counting_refused_calls_extends_the_wait() {
    let (mut lenient, mut strict) = (limiter(LimitBy::Rate, false), limiter(LimitBy::Rate, true));
    let now = Duration::from_secs(1);
    let refusals = |limiter: &mut RateLimiter| (0..7).filter_map(|_| limiter.try_acquire(now).err()).last();
    assert!(refusals(&mut strict) > refusals(&mut lenient));
}
