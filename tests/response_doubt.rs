//! Decisions about responses that may belong to another call.

use std::time::Duration;

use sailcart::response_doubt::{CallNeeds, ConnectionChoice, ResponseDoubt};
use sailcart::response_matching::Attribution;

const NOW: Duration = Duration::from_secs(1000);
const EXACT: CallNeeds = CallNeeds { exact_outcome: true, in_order: false, is_probe: false };
const PROBE: CallNeeds = CallNeeds { exact_outcome: false, in_order: false, is_probe: true };
const PLAIN: CallNeeds = CallNeeds { exact_outcome: false, in_order: false, is_probe: false };

fn with_responses(certain: usize, in_doubt: usize) -> ResponseDoubt {
    let mut doubt = ResponseDoubt::default();
    (0..certain).for_each(|_| doubt.record_attribution(Attribution::Certain));
    (0..in_doubt).for_each(|_| doubt.record_attribution(Attribution::InDoubt));
    doubt
}

#[test]
fn a_doubt_is_suspicious_where_responses_have_differed_and_not_before() {
    for (certain, in_doubt, is_suspicious) in
        [(0, 0, false), (0, 1, false), (7, 1, false), (8, 1, true), (31, 4, false), (32, 4, true)]
    {
        let doubt = with_responses(certain, in_doubt);
        let case = format!("{certain} certain, {in_doubt} in doubt");
        assert_eq!(doubt.must_settle_before_reuse(NOW), is_suspicious, "{case}");
        assert_eq!(doubt.closes_settled_in_doubt(), is_suspicious, "{case}");
    }
}

#[test]
fn an_extra_response_makes_every_doubt_suspicious_for_ten_minutes() {
    let mut doubt = with_responses(8, 8);
    assert!(!doubt.must_settle_before_reuse(NOW));
    doubt.record_extra_response(NOW);
    let later = |seconds| NOW + Duration::from_secs(seconds);
    assert!(doubt.must_settle_before_reuse(later(599)));
    assert!(!doubt.must_settle_before_reuse(later(600)));
}

#[test]
fn calls_that_need_an_exact_outcome_avoid_connections_in_doubt() {
    let mut doubt = with_responses(8, 8);
    let choices =
        |doubt: &ResponseDoubt| [PLAIN, EXACT, PROBE].map(|needs| doubt.connection_choice(NOW, needs));
    assert_eq!(choices(&doubt), [ConnectionChoice::Any, ConnectionChoice::Certain, ConnectionChoice::New]);
    doubt.record_extra_response(NOW);
    assert_eq!(choices(&doubt), [ConnectionChoice::Any, ConnectionChoice::New, ConnectionChoice::New]);
}

#[test]
fn packets_in_order_get_new_connections_unless_responses_usually_differ() {
    let in_order = CallNeeds { exact_outcome: false, in_order: true, is_probe: false };
    for (certain, in_doubt, expected) in
        [(0, 0, ConnectionChoice::New), (8, 8, ConnectionChoice::New), (32, 4, ConnectionChoice::Settled)]
    {
        assert_eq!(with_responses(certain, in_doubt).connection_choice(NOW, in_order), expected);
    }
}
