//! Edge cases of the simulated receivers, the watcher, and the reading of experiments.

mod common;

use std::time::Duration;

use common::{experiment, experiment_text, plan, run, violated_rules};
use sailcart::{DestinationId, EndpointId, PacketId};
use sailcart_lab::experiment::{Repeat, Rules, read_text};
use sailcart_lab::plan::{PlannedPacketId, SenderId};
use sailcart_lab::policies::PolicyName;
use sailcart_lab::receivers::{Answer, CallPacket, ConnectResult, PacketAnswer, Receivers, TroubleSchedule};
use sailcart_lab::watcher::{
    CallId, CallResult, CompletionKind, Observation, Rule, SubmittedPacket, UpstreamId, Watcher,
};

const ENDPOINT: EndpointId = EndpointId(0);

fn seconds(value: f64) -> Duration {
    Duration::from_secs_f64(value)
}

fn call_packet(planned_packet: usize) -> CallPacket {
    CallPacket {
        planned_packet: PlannedPacketId(planned_packet),
        repeat: Repeat::Deduplicated,
        memory: seconds(5.0),
    }
}

fn submitted(packet: u64, planned_packet: usize) -> Observation {
    Observation::Submitted(SubmittedPacket {
        packet: PacketId(packet),
        planned_packet: PlannedPacketId(planned_packet),
        sender: SenderId(0),
        destination: DestinationId(0),
        repeat: Repeat::Unrepeatable,
        in_order: false,
        key: None,
        deadline: seconds(20.0),
    })
}

fn call_received(call: u64, packets: &[u64]) -> Observation {
    let packets = packets.iter().map(|id| PacketId(*id)).collect();
    Observation::CallReceived {
        call: CallId(call),
        sender: SenderId(0),
        endpoint: ENDPOINT,
        upstream: UpstreamId(0),
        packets,
    }
}

fn watch(events: &[(f64, Observation)]) -> Watcher {
    let mut watcher = Watcher::new(&Rules::default());
    events.iter().for_each(|(at, event)| watcher.observe(seconds(*at), event));
    watcher
}

#[test]
fn a_call_reset_after_its_last_byte_counts_as_executed() {
    let plan = plan(&[], "[[troubles]]\nkind = \"reset-after\"\nat = \"1s\"\nfor = \"5s\"\n");
    let mut receivers = Receivers::new(&plan);
    let reset_call = receivers.receive_call(&plan, seconds(2.0), ENDPOINT, &[call_packet(1)]);
    assert_eq!(reset_call.answer.map(|(_, answer)| answer), Some(Answer::Reset));
    assert_eq!(reset_call.effects, vec![true]);
    // The receiver recognises the repeated call and does not execute it again.
    let repeated_call = receivers.receive_call(&plan, seconds(6.5), ENDPOINT, &[call_packet(1)]);
    assert_eq!(
        (repeated_call.answer.map(|(_, answer)| answer), repeated_call.effects),
        (Some(Answer::Done), vec![false])
    );
    // Its deduplication memory of 5 s has passed: it executes the call again.
    assert_eq!(receivers.receive_call(&plan, seconds(7.1), ENDPOINT, &[call_packet(1)]).effects, vec![true]);
}

#[test]
fn a_call_is_reset_and_may_have_executed_when_its_endpoint_dies() {
    let plan =
        plan(&[("DESTINATION", "")], "[[troubles]]\nkind = \"refuse\"\nat = \"1010ms\"\nfor = \"5s\"\n");
    let mut receivers = Receivers::new(&plan);
    assert!(matches!(receivers.connect(&plan, seconds(1.0), ENDPOINT), ConnectResult::Established(_)));
    let call = receivers.receive_call(&plan, seconds(1.0), ENDPOINT, &[call_packet(1)]);
    assert_eq!((call.answer, call.effects), (Some((seconds(1.01), Answer::Reset)), vec![true]));
    assert_eq!(receivers.connect(&plan, seconds(1.02), ENDPOINT), ConnectResult::Refused);
}

#[test]
fn unrepeatable_packets_are_not_resent_when_an_answer_reaches_a_killed_sender() {
    let overrides = [("CATEGORY", "repeat = \"unrepeatable\""), ("LOAD", "")];
    let troubles = "[[troubles]]\nkind = \"kill\"\nat = \"5s\"\nfor = \"1s\"\n\
        [[troubles]]\nkind = \"kill\"\nat = \"9s\"\nfor = \"1s\"\n";
    let outcome = run(&plan(&overrides, troubles), PolicyName::Sailcart);
    assert_eq!(violated_rules(&outcome), vec![]);
    // Calls were in flight when the sender was killed: their packets may have executed, so they were
    // scrapped.
    assert!(outcome.figure("scrapped") > 0.0);
}

#[test]
fn an_endpoint_replaced_at_the_same_address_during_a_call_is_a_new_one() {
    let troubles = "[[troubles]]\nkind = \"replace\"\nat = \"2s\"\nfor = \"3s\"\nsame_address = true\n";
    let plan = plan(&[("DESTINATION", "spread = 0.0")], troubles);
    let (old_endpoint, new_endpoint) = (&plan.endpoints[0], &plan.endpoints[2]);
    assert_eq!(
        (new_endpoint.address_owner, new_endpoint.added_at, old_endpoint.removed_at),
        (old_endpoint.endpoint, seconds(5.0), seconds(5.0))
    );
    let mut receivers = Receivers::new(&plan);
    assert!(receivers.reachable(&plan, seconds(4.99), old_endpoint.endpoint));
    assert!(
        !receivers.reachable(&plan, seconds(5.0), old_endpoint.endpoint),
        "a call in flight to the old endpoint is lost"
    );
    assert_eq!(receivers.connect(&plan, seconds(4.99), new_endpoint.endpoint), ConnectResult::Refused);
    assert!(matches!(
        receivers.connect(&plan, seconds(5.0), new_endpoint.endpoint),
        ConnectResult::Established(_)
    ));
    assert_eq!(violated_rules(&run(&plan, PolicyName::Sailcart)), vec![]);
}

#[test]
fn a_retry_after_wait_in_an_answer_for_several_packets_is_binding() {
    let troubles = "[[troubles]]\nkind = \"partial\"\nat = \"1s\"\nfor = \"9s\"\nshare = 1.0\n";
    let plan = plan(&[("KIND", "batch = 5")], troubles);
    let mut receivers = Receivers::new(&plan);
    let call_packets: Vec<CallPacket> = (0..5).map(call_packet).collect();
    let call = receivers.receive_call(&plan, seconds(2.0), ENDPOINT, &call_packets);
    let Some((_, Answer::Mixed(answers, wait))) = call.answer else { panic!("{:?}", call.answer) };
    for (answer, executed) in answers.iter().zip(&call.effects) {
        assert_eq!(*answer == PacketAnswer::Deferred, !executed, "a deferred packet was not executed");
    }
    assert!(answers.contains(&PacketAnswer::Deferred));
    let result = CallResult::Rejected(wait);
    assert_eq!(result, CallResult::Rejected(Some(seconds(0.5))));
    let second_call_at = |at| {
        watch(&[
            (2.0, submitted(1, 1)),
            (2.0, call_received(1, &[1])),
            (2.1, Observation::CallCompleted { call: CallId(1), result }),
            (at, call_received(2, &[1])),
        ])
    };
    assert_eq!(second_call_at(2.5).count(Rule::Waits), 1);
    assert_eq!(second_call_at(2.65).count(Rule::Waits), 0);
    // The decision module observes the wait throughout an experiment with such answers.
    assert_eq!(violated_rules(&run(&plan, PolicyName::Sailcart)), vec![]);
}

#[test]
fn a_second_call_for_a_packet_in_flight_is_a_double_execution() {
    let violations = |events_between: &[(f64, Observation)]| {
        let mut events = vec![(1.0, submitted(1, 1)), (1.0, call_received(1, &[1]))];
        events.extend_from_slice(events_between);
        events.push((1.2, call_received(2, &[1])));
        watch(&events).count(Rule::NoDouble)
    };
    assert_eq!(violations(&[]), 1);
    assert_eq!(
        violations(&[(
            1.1,
            Observation::CallCompleted { call: CallId(1), result: CallResult::PossiblyExecuted }
        )]),
        0
    );
}

#[test]
fn executions_that_the_client_abandoned_unanswered_are_not_counted() {
    let executed =
        |call, executed_first: bool| (1.1, Observation::Executed(CallId(call), vec![executed_first]));
    let violations_with = |abandoned: &[(f64, Observation)]| {
        let mut events = vec![(1.0, submitted(1, 7)), (1.0, call_received(1, &[1])), executed(1, true)];
        events.extend_from_slice(abandoned);
        events.extend([
            (1.5, submitted(2, 7)),
            (1.5, call_received(2, &[2])),
            (1.6, Observation::Executed(CallId(2), vec![true])),
        ]);
        watch(&events).count(Rule::NoDouble)
    };
    assert_eq!(violations_with(&[]), 1);
    assert_eq!(violations_with(&[(1.4, Observation::Abandoned(PacketId(1)))]), 0);
}

#[test]
fn a_completion_after_the_grace_period_counts_as_missing() {
    let violations_if_scrapped_at = |time_s| {
        let mut watcher = watch(&[
            (1.0, submitted(1, 1)),
            (1.0, Observation::Accepted(PacketId(1))),
            (time_s, Observation::Completed(PacketId(1), CompletionKind::Scrapped)),
        ]);
        watcher.finish(seconds(60.0));
        watcher.count(Rule::OneEnd)
    };
    assert_eq!((violations_if_scrapped_at(20.25), violations_if_scrapped_at(20.4)), (0, 1));
}

#[test]
fn overlapping_troubles_on_one_destination_both_take_effect() {
    let troubles = "[[troubles]]\nkind = \"slow\"\nat = \"1s\"\nfor = \"4s\"\nfactor = 3.0\n\
        [[troubles]]\nkind = \"errors\"\nat = \"2s\"\nfor = \"2s\"\nshare = 0.5\n\
        [[troubles]]\nkind = \"errors\"\nat = \"2500ms\"\nfor = \"1s\"\nshare = 0.5\n";
    let schedule = TroubleSchedule::new(&plan(&[], troubles));
    let effects_at = |time_s| {
        let active = schedule.at(seconds(time_s), ENDPOINT);
        (active.slow, active.errors)
    };
    assert_eq!(
        [effects_at(1.5), effects_at(2.2), effects_at(3.0), effects_at(4.5)],
        [(3.0, 0.0), (3.0, 0.5), (3.0, 0.75), (3.0, 0.0)]
    );
}

#[test]
fn cyclic_references_between_troubles_are_rejected() {
    let cyclic_troubles = "[[troubles]]\nkind = \"silent\"\nname = \"a\"\nafter = \"b\"\nfor = \"1s\"\n\
        [[troubles]]\nkind = \"silent\"\nname = \"b\"\nafter = \"a\"\nfor = \"1s\"\n";
    let error = read_text(&experiment_text(&[], cyclic_troubles), &[]).expect_err("a cyclic reference").0;
    assert!(error.contains("troubles.0.after"), "{error}");
    let acyclic_troubles = cyclic_troubles.replacen("after = \"b\"", "at = \"2s\"", 1);
    let plan = plan(&[], &acyclic_troubles);
    assert_eq!(plan.scheduled_troubles[1].from, seconds(3.0), "b begins when a ends");
}

#[test]
fn unknown_keys_and_keys_of_other_troubles_are_rejected_by_name() {
    let error_of = |text: &str| read_text(text, &[]).expect_err("an error").0;
    assert!(error_of(&experiment_text(&[("LOAD", "rat = 3.0")], "")).contains("rat"));
    let extra_key = "[[troubles]]\nkind = \"silent\"\nfor = \"1s\"\nfactor = 2.0\n";
    assert!(error_of(&experiment_text(&[], extra_key)).contains("troubles.0.factor"));
    assert!(error_of(&experiment_text(&[("LOAD", "")], "bounds = [\"credits > 1\"]")).contains("bounds"));
    let with_change = |change: &str| read_text(&experiment_text(&[], ""), &[change.to_owned()]);
    assert_eq!(with_change("load.rate=7").expect("a valid experiment").load.rate, 7.0);
    assert!(with_change("load.rte=7").expect_err("an error").0.contains("rte"));
}

#[test]
fn results_are_deterministic_for_each_seed() {
    let bytes = |seed| {
        let troubles = "[[troubles]]\nkind = \"silent\"\nat = \"3s\"\nfor = \"5s\"\n\
            [[troubles]]\nkind = \"roll\"\nat = \"6s\"\nfor = \"6s\"\n";
        let plan =
            sailcart_lab::plan::Plan::new(experiment(&[], troubles), seed).expect("a valid experiment");
        serde_json::to_string(&run(&plan, PolicyName::Sailcart)).expect("JSON")
    };
    assert_eq!(bytes(3), bytes(3));
    assert_ne!(bytes(3), bytes(4));
}

#[test]
fn no_policy_earns_more_credit_than_the_oracle() {
    let rate_limit = "limit = { by = \"rate\", rate = 12.0, refused_count = true }";
    let plan =
        plan(&[("DESTINATION", rate_limit)], "[[troubles]]\nkind = \"silent\"\nat = \"4s\"\nfor = \"6s\"\n");
    let credit_of = |policy| run(&plan, policy).figure("credit");
    let oracle_credit = credit_of(PolicyName::Oracle);
    for policy in PolicyName::ALL {
        assert!(
            credit_of(policy) <= oracle_credit + 0.01,
            "{policy:?}: {} against {oracle_credit}",
            credit_of(policy)
        );
    }
}
