//! What is easy to get wrong in a laboratory.

mod common;

use std::time::Duration;

use common::{broken, experiment, plan, play, text};
use sailcart::{DestinationId, EndpointId, PacketId};
use sailcart_lab::experiment::{Repeat, Rules, read_text};
use sailcart_lab::plan::{OriginId, SenderId};
use sailcart_lab::policies::PolicyName;
use sailcart_lab::receivers::{Answer, Connect, Piece, PieceAnswer, Receivers, TroubleSchedule};
use sailcart_lab::watcher::{CallId, End, GateId, Handed, Heard, Rule, Seen, Watcher};

const E: EndpointId = EndpointId(0);

fn s(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn piece(origin: usize) -> Piece {
    Piece { origin: OriginId(origin), repeat: Repeat::Deduplicated, memory: s(5.0) }
}

fn handed(packet: u64, origin: usize) -> Seen {
    Seen::Handed(Handed {
        packet: PacketId(packet),
        origin: OriginId(origin),
        sender: SenderId(0),
        destination: DestinationId(0),
        repeat: Repeat::Unrepeatable,
        in_order: false,
        key: None,
        ends: s(20.0),
    })
}

fn came(call: u64, packets: &[u64]) -> Seen {
    let packets = packets.iter().map(|id| PacketId(*id)).collect();
    Seen::Came { call: CallId(call), sender: SenderId(0), endpoint: E, gate: GateId(0), packets }
}

fn seen(all: &[(f64, Seen)]) -> Watcher {
    let mut watcher = Watcher::new(&Rules::default());
    all.iter().for_each(|(at, one)| watcher.see(s(*at), one));
    watcher
}

#[test]
fn a_call_cut_after_its_last_byte_counts_as_run() {
    let plan = plan(&[], "[[troubles]]\nkind = \"reset-after\"\nat = \"1s\"\nfor = \"5s\"\n");
    let mut receivers = Receivers::new(&plan);
    let cut = receivers.arrive(&plan, s(2.0), E, &[piece(1)]);
    assert_eq!(cut.answer.map(|(_, answer)| answer), Some(Answer::Reset));
    assert_eq!(cut.effects, vec![true]);
    // Its repeat is known, and does nothing more.
    let again = receivers.arrive(&plan, s(6.5), E, &[piece(1)]);
    assert_eq!((again.answer.map(|(_, answer)| answer), again.effects), (Some(Answer::Done), vec![false]));
    // Until it is forgotten.
    assert_eq!(receivers.arrive(&plan, s(7.1), E, &[piece(1)]).effects, vec![true]);
}

#[test]
fn a_call_at_work_when_its_endpoint_dies_breaks_and_may_have_run() {
    let plan =
        plan(&[("DESTINATION", "")], "[[troubles]]\nkind = \"refuse\"\nat = \"1010ms\"\nfor = \"5s\"\n");
    let mut receivers = Receivers::new(&plan);
    assert!(matches!(receivers.connect(&plan, s(1.0), E), Connect::Up(_)));
    let call = receivers.arrive(&plan, s(1.0), E, &[piece(1)]);
    assert_eq!((call.answer, call.effects), (Some((s(1.01), Answer::Reset)), vec![true]));
    assert_eq!(receivers.connect(&plan, s(1.02), E), Connect::Refused);
}

#[test]
fn an_answer_on_its_way_to_a_sender_that_is_killed_is_no_reason_to_send_again() {
    let parts = [("CATEGORY", "repeat = \"unrepeatable\""), ("LOAD", "")];
    let troubles = "[[troubles]]\nkind = \"kill\"\nat = \"5s\"\nfor = \"1s\"\n\
        [[troubles]]\nkind = \"kill\"\nat = \"9s\"\nfor = \"1s\"\n";
    let outcome = play(&plan(&parts, troubles), PolicyName::Sailcart);
    assert_eq!(broken(&outcome), vec![]);
    // Calls were out: their packets may have run, so they were given up.
    assert!(outcome.figure("scrapped") > 0.0);
}

#[test]
fn an_endpoint_replaced_at_its_address_within_a_call_is_another() {
    let troubles = "[[troubles]]\nkind = \"replace\"\nat = \"2s\"\nfor = \"3s\"\nsame_address = true\n";
    let plan = plan(&[("DESTINATION", "spread = 0.0")], troubles);
    let (old, new) = (&plan.places[0], &plan.places[2]);
    assert_eq!((new.address, new.from, old.gone), (old.endpoint, s(5.0), s(5.0)));
    let mut receivers = Receivers::new(&plan);
    assert!(receivers.reachable(&plan, s(4.99), old.endpoint));
    assert!(!receivers.reachable(&plan, s(5.0), old.endpoint), "a call out on the old one is lost");
    assert_eq!(receivers.connect(&plan, s(4.99), new.endpoint), Connect::Refused);
    assert!(matches!(receivers.connect(&plan, s(5.0), new.endpoint), Connect::Up(_)));
    assert_eq!(broken(&play(&plan, PolicyName::Sailcart)), vec![]);
}

#[test]
fn a_wait_told_in_an_answer_for_several_packets_binds() {
    let troubles = "[[troubles]]\nkind = \"partial\"\nat = \"1s\"\nfor = \"9s\"\nshare = 1.0\n";
    let plan = plan(&[("KIND", "batch = 5")], troubles);
    let mut receivers = Receivers::new(&plan);
    let pieces: Vec<Piece> = (0..5).map(piece).collect();
    let call = receivers.arrive(&plan, s(2.0), E, &pieces);
    let Some((_, Answer::Mixed(each, wait))) = call.answer else { panic!("{:?}", call.answer) };
    for (piece, ran) in each.iter().zip(&call.effects) {
        assert_eq!(*piece == PieceAnswer::Deferred, !ran, "what was put off never ran");
    }
    assert!(each.contains(&PieceAnswer::Deferred));
    let heard = Heard::Full(wait);
    assert_eq!(heard, Heard::Full(Some(s(0.5))));
    let early = |at| {
        seen(&[
            (2.0, handed(1, 1)),
            (2.0, came(1, &[1])),
            (2.1, Seen::Over { call: CallId(1), heard }),
            (at, came(2, &[1])),
        ])
    };
    assert_eq!(early(2.5).count(Rule::Waits), 1);
    assert_eq!(early(2.65).count(Rule::Waits), 0);
    // The module keeps it on a whole day of such answers.
    assert_eq!(broken(&play(&plan, PolicyName::Sailcart)), vec![]);
}

#[test]
fn a_second_copy_while_the_first_is_out_is_a_double() {
    let copies = |between: &[(f64, Seen)]| {
        let mut all = vec![(1.0, handed(1, 1)), (1.0, came(1, &[1]))];
        all.extend_from_slice(between);
        all.push((1.2, came(2, &[1])));
        seen(&all).count(Rule::NoDouble)
    };
    assert_eq!(copies(&[]), 1);
    assert_eq!(copies(&[(1.1, Seen::Over { call: CallId(1), heard: Heard::Unsure })]), 0);
}

#[test]
fn what_its_client_gave_up_unheard_does_not_count() {
    let ran = |call, first: bool| (1.1, Seen::Ran(CallId(call), vec![first]));
    let day = |given_up: &[(f64, Seen)]| {
        let mut all = vec![(1.0, handed(1, 7)), (1.0, came(1, &[1])), ran(1, true)];
        all.extend_from_slice(given_up);
        all.extend([(1.5, handed(2, 7)), (1.5, came(2, &[2])), (1.6, Seen::Ran(CallId(2), vec![true]))]);
        seen(&all).count(Rule::NoDouble)
    };
    assert_eq!(day(&[]), 1);
    assert_eq!(day(&[(1.4, Seen::Abandoned(PacketId(1)))]), 0);
}

#[test]
fn an_end_that_comes_late_is_none() {
    let day = |at| {
        let mut watcher = seen(&[
            (1.0, handed(1, 1)),
            (1.0, Seen::Taken(PacketId(1))),
            (at, Seen::Ended(PacketId(1), End::Scrapped)),
        ]);
        watcher.finish(s(60.0));
        watcher.count(Rule::OneEnd)
    };
    assert_eq!((day(20.25), day(20.4)), (0, 1));
}

#[test]
fn two_troubles_on_one_destination_both_act() {
    let troubles = "[[troubles]]\nkind = \"slow\"\nat = \"1s\"\nfor = \"4s\"\nfactor = 3.0\n\
        [[troubles]]\nkind = \"errors\"\nat = \"2s\"\nfor = \"2s\"\nshare = 0.5\n\
        [[troubles]]\nkind = \"errors\"\nat = \"2500ms\"\nfor = \"1s\"\nshare = 0.5\n";
    let schedule = TroubleSchedule::new(&plan(&[], troubles));
    let at = |seconds| {
        let here = schedule.at(s(seconds), E);
        (here.slow, here.errors)
    };
    assert_eq!([at(1.5), at(2.2), at(3.0), at(4.5)], [(3.0, 0.0), (3.0, 0.5), (3.0, 0.75), (3.0, 0.0)]);
}

#[test]
fn troubles_that_follow_each_other_in_a_circle_cannot_be() {
    let circle = "[[troubles]]\nkind = \"silent\"\nname = \"a\"\nafter = \"b\"\nfor = \"1s\"\n\
        [[troubles]]\nkind = \"silent\"\nname = \"b\"\nafter = \"a\"\nfor = \"1s\"\n";
    let fault = read_text(&text(&[], circle), &[]).expect_err("a circle").0;
    assert!(fault.contains("troubles.0.after"), "{fault}");
    let line = circle.replacen("after = \"b\"", "at = \"2s\"", 1);
    let plan = plan(&[], &line);
    assert_eq!(plan.struck[1].from, s(3.0), "b begins as a ends");
}

#[test]
fn unknown_keys_and_keys_of_other_troubles_are_refused_by_name() {
    let of = |text: &str| read_text(text, &[]).expect_err("a fault").0;
    assert!(of(&text(&[("LOAD", "rat = 3.0")], "")).contains("rat"));
    let odd = "[[troubles]]\nkind = \"silent\"\nfor = \"1s\"\nfactor = 2.0\n";
    assert!(of(&text(&[], odd)).contains("troubles.0.factor"));
    assert!(of(&text(&[("LOAD", "")], "bounds = [\"credits > 1\"]")).contains("bounds"));
    let set = |change: &str| read_text(&text(&[], ""), &[change.to_owned()]);
    assert_eq!(set("load.rate=7").expect("sound").load.rate, 7.0);
    assert!(set("load.rte=7").expect_err("a fault").0.contains("rte"));
}

#[test]
fn the_same_seed_gives_the_same_bytes_and_another_seed_others() {
    let bytes = |seed| {
        let troubles = "[[troubles]]\nkind = \"silent\"\nat = \"3s\"\nfor = \"5s\"\n\
            [[troubles]]\nkind = \"roll\"\nat = \"6s\"\nfor = \"6s\"\n";
        let plan = sailcart_lab::plan::Plan::new(experiment(&[], troubles), seed).expect("sound");
        serde_json::to_string(&play(&plan, PolicyName::Sailcart)).expect("JSON")
    };
    assert_eq!(bytes(3), bytes(3));
    assert_ne!(bytes(3), bytes(4));
}

#[test]
fn the_oracle_does_no_worse_than_any_other() {
    let limit = "limit = { by = \"rate\", rate = 12.0, refused_count = true }";
    let plan =
        plan(&[("DESTINATION", limit)], "[[troubles]]\nkind = \"silent\"\nat = \"4s\"\nfor = \"6s\"\n");
    let credit = |policy| play(&plan, policy).figure("credit");
    let top = credit(PolicyName::Oracle);
    for policy in PolicyName::ALL {
        assert!(credit(policy) <= top + 0.01, "{policy:?}: {} against {top}", credit(policy));
    }
}
