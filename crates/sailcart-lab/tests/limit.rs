//! A limit that all senders share, as a receiver keeps it.

use std::time::Duration;

use sailcart_lab::experiment::{Limit, LimitBy};
use sailcart_lab::receivers::limit::Gauge;

fn gauge(by: LimitBy, refused_count: bool) -> Gauge {
    Gauge::new(&Limit { by, rate: 4.0, span: Duration::from_secs(1), refused_count, tells: 1.0 })
}

#[test]
fn a_told_wait_is_honest_also_where_refused_calls_use_the_limit_up() {
    for by in [LimitBy::Rate, LimitBy::Span] {
        for refused_count in [false, true] {
            let mut gauge = gauge(by, refused_count);
            let now = Duration::from_millis(1300);
            while gauge.take(now).is_ok() {}
            let wait = gauge.take(now).unwrap_err();
            assert!(!wait.is_zero());
            let just_before = now + wait - Duration::from_millis(1);
            assert!(!gauge.has_room(just_before, 0), "{by:?}: a shorter wait would have done");
            assert!(gauge.has_room(now + wait + Duration::from_micros(1), 0), "{by:?}: the wait was a lie");
        }
    }
}

#[test]
fn refused_calls_that_count_keep_a_rate_shut_for_longer() {
    let (mut kind, mut strict) = (gauge(LimitBy::Rate, false), gauge(LimitBy::Rate, true));
    let now = Duration::from_secs(1);
    let refusals = |gauge: &mut Gauge| (0..7).filter_map(|_| gauge.take(now).err()).last();
    assert!(refusals(&mut strict) > refusals(&mut kind));
}
