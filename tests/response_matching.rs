//! Matching of responses to calls on one connection, where the peer may write a response twice.

use std::time::Duration;

use sailcart::response_matching::{Attribution, Candidates, ResponseMatcher};

const SETTLE_TIME: Duration = Duration::from_millis(400);

/// A connection whose responses are told apart by their text.
#[derive(Default)]
struct Connection {
    matcher: ResponseMatcher<u32, &'static str>,
    now: Duration,
}

impl Connection {
    fn advance(&mut self, milliseconds: u64) {
        self.now += Duration::from_millis(milliseconds);
    }

    fn fingerprint(response: &str) -> Option<u64> {
        Some(response.bytes().fold(7, |hash, byte| hash * 31 + u64::from(byte)))
    }

    fn call(&mut self, call: u32, response: &'static str) -> Attribution {
        self.matcher.call_sent(call);
        self.matcher.response_received(self.now, Self::fingerprint(response), response)
    }

    fn extra(&mut self, response: &'static str) -> Vec<Candidates<u32, &'static str>> {
        self.matcher.extra_response_received(self.now, Self::fingerprint(response), response)
    }
}

fn candidates(call: u32, responses: &[&'static str]) -> Candidates<u32, &'static str> {
    Candidates { call, responses: responses.to_vec() }
}

#[test]
fn the_first_response_and_responses_that_differ_from_all_earlier_ones_are_certain() {
    let mut connection = Connection::default();
    for (call, response) in ["200 a", "503", "200 b"].into_iter().enumerate() {
        assert_eq!(connection.call(call as u32, response), Attribution::Certain);
    }
    assert!(!connection.matcher.has_doubt());
}

#[test]
fn a_displaced_response_that_differs_resolves_the_doubt() {
    let mut connection = Connection::default();
    connection.call(1, "200");
    assert_eq!(connection.call(2, "200"), Attribution::InDoubt);
    assert_eq!(connection.extra("503"), [candidates(2, &["503"])]);
    assert!(!connection.matcher.has_doubt());
}

#[test]
fn a_displaced_response_that_is_read_as_the_next_call_s_resolves_both_calls() {
    let mut connection = Connection::default();
    connection.call(1, "200 a");
    assert_eq!(connection.call(2, "200 a"), Attribution::InDoubt);
    assert_eq!(connection.call(3, "503"), Attribution::InDoubt, "it may belong to call 2");
    assert_eq!(connection.extra("200 b"), [candidates(2, &["503"]), candidates(3, &["200 b"])]);
}

#[test]
fn a_second_copy_leaves_all_possible_responses_open() {
    let mut connection = Connection::default();
    connection.call(1, "503");
    connection.call(2, "200");
    assert_eq!(connection.call(3, "200"), Attribution::InDoubt);
    assert_eq!(connection.extra("503"), [candidates(3, &["200", "503"])]);
    assert!(connection.matcher.has_doubt());
    assert_eq!(connection.extra("429"), [candidates(3, &["429"])], "both others were copies");
}

#[test]
fn a_copy_of_a_certain_response_puts_no_call_in_doubt() {
    let mut connection = Connection::default();
    connection.call(1, "200");
    assert!(connection.extra("200").is_empty());
    assert!(!connection.matcher.has_doubt());
}

#[test]
fn an_incomplete_response_is_in_doubt_unless_it_is_the_first() {
    for (earlier_calls, expected) in [(0, Attribution::Certain), (1, Attribution::InDoubt)] {
        let mut connection = Connection::default();
        for call in 0..earlier_calls {
            connection.call(call, "200");
        }
        connection.matcher.call_sent(9);
        assert_eq!(connection.matcher.response_received(connection.now, None, "200"), expected);
    }
}

// Guards against a late response that a copy displaced being read as the certain response to a later call.
#[test]
fn a_displaced_response_is_awaited_for_the_settle_time_and_never_certain_after_it() {
    let mut connection = Connection::default();
    connection.call(1, "200");
    connection.call(2, "200");
    connection.advance(300);
    connection.call(3, "200");
    connection.advance(150);
    connection.matcher.settle(connection.now, SETTLE_TIME);
    assert!(connection.matcher.awaits_response(), "the response to call 3 may still come");
    assert!(connection.extra("503").iter().all(|call| call.responses.len() > 1), "it may belong to call 2");
    connection.advance(400);
    connection.matcher.settle(connection.now, SETTLE_TIME);
    assert!(!connection.matcher.awaits_response());
    assert!(connection.matcher.has_doubt());
    assert_eq!(connection.call(4, "500"), Attribution::InDoubt);
}

#[test]
fn a_delivery_in_doubt_is_confirmed_by_two_later_ones_and_by_no_fewer() {
    let mut connection = Connection::default();
    let mut deliver = |call| {
        let attribution = connection.call(call, "200");
        connection.matcher.delivery_reported(call, attribution)
    };
    assert!(deliver(1).is_empty(), "certain");
    assert!(deliver(2).is_empty());
    assert!(deliver(3).is_empty(), "two copies of the response to call 1 may have been read");
    assert_eq!(deliver(4), [2]);
    assert_eq!(deliver(5), [3]);
}

// Guards against a delivery being kept that a copy had reported, and whose refusal was read as a later call's.
#[test]
fn a_refusal_or_an_extra_response_behind_a_delivery_in_doubt_leaves_it_unconfirmed() {
    for is_extra in [false, true] {
        let mut connection = Connection::default();
        for call in [1, 2] {
            let attribution = connection.call(call, "200");
            connection.matcher.delivery_reported(call, attribution);
        }
        if is_extra {
            connection.extra("200");
        } else {
            connection.call(3, "429");
            connection.matcher.refusal_reported();
        }
        for call in 4..9 {
            let attribution = connection.call(call, "200");
            let confirmed = connection.matcher.delivery_reported(call, attribution);
            assert!(!confirmed.contains(&2), "call {call}, extra response: {is_extra}");
        }
    }
}

#[test]
fn a_refusal_is_certain_only_before_any_doubt_and_any_other_refusal() {
    let mut connection = Connection::default();
    assert!(connection.matcher.next_refusal_is_certain());
    connection.call(1, "200");
    assert!(connection.matcher.next_refusal_is_certain());
    connection.call(2, "503");
    connection.matcher.refusal_reported();
    assert!(!connection.matcher.next_refusal_is_certain(), "a copy of the 503 may come");
    let mut connection = Connection::default();
    connection.call(1, "200");
    connection.call(2, "200");
    assert!(!connection.matcher.next_refusal_is_certain());
    connection.advance(400);
    connection.matcher.settle(connection.now, SETTLE_TIME);
    assert!(!connection.matcher.next_refusal_is_certain(), "the response to call 2 may come late");
}

#[test]
fn the_calls_in_doubt_on_a_busy_connection_are_bounded() {
    let mut connection = Connection::default();
    for call in 0..1000 {
        connection.call(call, "200");
    }
    let in_doubt = connection.extra("200");
    assert!(in_doubt.len() <= 16, "{} calls", in_doubt.len());
    assert_eq!(in_doubt.last().map(|last| last.call), Some(999));
}

#[test]
fn responses_that_all_differ_stay_certain_on_a_connection_of_any_age() {
    let mut matcher = ResponseMatcher::<u32, ()>::default();
    for call in 0..10_000 {
        matcher.call_sent(call);
        let attribution = matcher.response_received(Duration::ZERO, Some(u64::from(call)), ());
        assert_eq!(attribution, Attribution::Certain, "call {call}");
    }
    matcher.call_sent(10_000);
    assert_eq!(matcher.response_received(Duration::ZERO, Some(9_900), ()), Attribution::InDoubt);
}
