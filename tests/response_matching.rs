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

#[test]
fn doubt_ends_after_the_settle_time_of_each_response() {
    let mut connection = Connection::default();
    connection.call(1, "200");
    connection.call(2, "200");
    connection.advance(300);
    connection.call(3, "200");
    connection.advance(150);
    connection.matcher.settle(connection.now, SETTLE_TIME);
    assert!(connection.matcher.has_doubt(), "call 3 is still in doubt");
    assert_eq!(connection.extra("503"), [candidates(3, &["503"])]);
    connection.call(4, "200");
    connection.advance(400);
    connection.matcher.settle(connection.now, SETTLE_TIME);
    assert!(!connection.matcher.has_doubt());
    assert_eq!(connection.call(5, "500"), Attribution::Certain);
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
