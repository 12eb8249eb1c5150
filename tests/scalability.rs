//! What is listed and has no traffic neither costs work nor alters a decision, and what is kept of destinations that had
//! traffic is bounded without breaking a rule.

#[allow(dead_code)]
mod harness;

use std::time::Duration;

use harness::{Play, line, ms, terms};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sailcart::*;

/// Destinations of which more than their entry is kept, as `control.rs` has it; more where waits or outages stand.
const MOST_ACTIVE: u32 = 4096;
const SIZES: [u32; 4] = [20, 200, 2000, 20_000];

/// How many table entries a piece of work looks at.
fn cost(play: &mut Play, work: impl FnOnce(&mut Play)) -> u64 {
    let before = play.sender.visited();
    work(play);
    play.sender.visited() - before
}

/// The costs at all sizes lie within a factor of two of each other.
fn assert_flat(costs: &[u64]) {
    let (least, most) = (costs.iter().min().copied(), costs.iter().max().copied());
    let flat = least.zip(most).is_some_and(|(least, most)| most <= 2 * least.max(1));
    assert!(flat, "cost at {SIZES:?} destinations: {costs:?}");
}

#[test]
fn a_change_costs_what_changed() {
    let costs = SIZES.map(|size| {
        let mut play = Play::new(terms(), size, 0, 8.0);
        play.take(10, 3, 0, None);
        play.round();
        cost(&mut play, |play| {
            for n in 0..10 {
                play.list(false, &[line(n, n, 0, 8.0, false)]);
                play.list(false, &[line(n, n, 0, 8.0, true)]);
            }
        })
    });
    assert_flat(&costs);
}

#[test]
fn a_change_costs_the_same_however_many_had_traffic() {
    let costs = SIZES.map(|size| {
        let mut play = Play::new(terms(), size, 0, 8.0);
        visit(&mut play, 0..size, 20);
        cost(&mut play, |play| {
            play.list(false, &[line(size - 1, size - 1, 0, 8.0, false)]);
            play.list(false, &[line(size - 1, size - 1, 0, 8.0, true)]);
        })
    });
    assert_flat(&costs);
}

#[test]
fn news_without_a_change_cost_nothing_more() {
    let costs = SIZES.map(|size| {
        let mut play = Play::new(terms(), size, 0, 8.0);
        play.take(1, 3, 0, None);
        play.round();
        play.all_back(Outcome::Done);
        cost(&mut play, |play| play.list(false, &[]))
    });
    assert_flat(&costs);
}

#[test]
fn a_round_costs_what_is_busy() {
    let costs = SIZES.map(|size| {
        let mut play = Play::new(terms(), size, 0, 8.0);
        for destination in 0..10 {
            play.take(2, destination, 0, None);
        }
        cost(&mut play, |play| {
            for _ in 0..20 {
                play.after(100);
                play.all_back(Outcome::Done);
            }
        })
    });
    assert_flat(&costs);
}

/// The check above notices work in step with all that is listed: here the whole list is told at each change.
#[test]
fn work_in_step_with_the_whole_list_is_noticed() {
    let costs = SIZES.map(|size| {
        let mut play = Play::new(terms(), size, 0, 8.0);
        let all: Vec<Listing> = (0..size).map(|n| line(n, n, 0, 8.0, true)).collect();
        cost(&mut play, |play| play.list(true, &all))
    });
    assert!(costs[3] > 100 * costs[0], "{costs:?}");
}

/// A seeded day of twenty destinations, with changes of their list; `more` others are listed and never asked for.
fn day(seed: u64, more: u32, senders: usize) -> Vec<String> {
    let mut chance = ChaCha8Rng::seed_from_u64(seed);
    let mut play = Play::seeded(seed, Terms { senders, ..terms() }, 20, 0, 6.0);
    let idle: Vec<Listing> = (100..100 + more).map(|n| line(n, n, 0, 6.0, true)).collect();
    play.list(false, &idle);
    let mut seen = Vec::new();
    for _ in 0..400 {
        play.now += ms(chance.random_range(5..200));
        let destination: u32 = chance.random_range(0..20);
        match chance.random_range(0..10) {
            0 => play.list(false, &[line(destination, destination, 0, 6.0, chance.random_bool(0.7))]),
            1 => play.list(false, if more > 0 { &idle[..1] } else { &[] }),
            _ => drop(play.take(chance.random_range(1..3), destination.into(), 0, None)),
        }
        for packet in play.out() {
            let outcome = match chance.random_range(0..8) {
                0 => Outcome::Full(Some(ms(700))),
                1 => Outcome::TimedOut,
                2 => Outcome::NoRoom,
                3 => continue,
                _ => Outcome::Done,
            };
            play.back(packet, outcome);
        }
        play.round();
        // What was asked for in this round: calls by endpoint, and final answers.
        seen.push(format!("{:?} {:?}", play.asked.out, std::mem::take(&mut play.asked.answers)));
    }
    seen
}

#[test]
fn what_is_listed_and_idle_alters_no_decision() {
    for (seed, senders) in [(1, 1), (2, 3), (3, 40), (4, 300)] {
        let alone = day(seed, 0, senders);
        let among_others = day(seed, 5000, senders);
        let differs = alone.iter().zip(&among_others).position(|(alone, among)| alone != among);
        assert_eq!(differs, None, "seed {seed}, {senders} senders: the first round that differs");
    }
}

/// One packet to each of so many destinations, all answered; then enough time for what is warm to go.
fn visit(play: &mut Play, destinations: std::ops::Range<u32>, step: u64) {
    for destination in destinations {
        play.take(1, destination.into(), 0, None);
        play.after(step);
        for packet in play.out() {
            if play.asked.out[&packet].0 == EndpointId(destination) {
                play.back(packet, Outcome::Done);
            }
        }
    }
}

#[test]
fn what_is_kept_of_destinations_is_bounded() {
    let mut play = Play::new(terms(), 20_000, 0, 8.0);
    visit(&mut play, 0..20_000, 20);
    // Those of the last ten seconds are kept for the time of warming, at fifty a second.
    assert!(
        play.sender.active_destinations() <= MOST_ACTIVE as usize + 500 + 1,
        "{} active",
        play.sender.active_destinations()
    );
}

#[test]
fn a_told_wait_outlives_all_that_comes_after() {
    let mut play = Play::new(terms(), 20_000, 0, 8.0);
    let packet = play.take(1, 0, 0, None)[0];
    play.round();
    play.back(packet, Outcome::Full(Some(Duration::from_secs(600))));
    visit(&mut play, 1..10_000, 20);
    let again = play.take(1, 0, 0, None)[0];
    play.round();
    assert!(!play.out().contains(&again), "its wait stands for 400 s more");
    play.now = Duration::from_secs(601);
    let late = play.take(1, 0, 0, None)[0];
    play.round();
    assert!(play.out().contains(&late), "it is over");
}

/// Also one that is no sign of an outage, where warming takes no time that would cover it.
#[test]
fn a_short_told_wait_outlives_all_that_comes_after() {
    let back = Return { cold: ms(1), ..terms().back };
    let mut play = Play::new(Terms { back, ..terms() }, 20_000, 0, 8.0);
    let packet = play.take(1, 0, 0, None)[0];
    play.round();
    play.back(packet, Outcome::Full(Some(ms(2000))));
    play.now += ms(10);
    visit(&mut play, 1..10_000, 0);
    // The next that had its turn after 4096 others is asked for again 1.5 s after the wait was told.
    play.sender.withdraw(play.now, PacketId(packet));
    visit(&mut play, 10_000..15_000, 0);
    play.now = ms(1500);
    let again = play.take(1, 0, 0, None)[0];
    play.round();
    assert!(!play.out().contains(&again), "its wait stands for half a second more");
}

#[test]
fn an_outage_seen_outlives_all_that_comes_after() {
    let mut play = Play::new(Terms { dispatches: 20, ..terms() }, 20_000, 0, 8.0);
    for _ in 0..4 {
        let packet = play.take(1, 0, 0, None)[0];
        play.after(1000);
        for out in play.out() {
            play.back(out, Outcome::NoConnection);
        }
        play.sender.withdraw(play.now, PacketId(packet));
        play.round();
    }
    visit(&mut play, 1..10_000, 20);
    // Cold, it takes 2.0 x 0.25 of eight calls a second, of which nine tenths are used: one at a time.
    play.take(8, 0, 0, None);
    play.round();
    assert_eq!(play.out().len(), 1, "the guard of its return stands");
}

/// Forgotten and listed all the same: the first packet finds it as a new one.
#[test]
fn a_destination_that_was_evicted_is_activated_by_its_next_packet() {
    let mut play = Play::new(terms(), 20_000, 0, 8.0);
    visit(&mut play, 0..12_000, 20);
    assert!(play.sender.active_destinations() < 12_000);
    let packet = play.take(1, 0, 0, None)[0];
    play.round();
    assert_eq!(play.out(), [packet]);
    play.back(packet, Outcome::Done);
    // And its drain is heard while it is evicted.
    play.list(false, &[line(5, 5, 0, 8.0, false)]);
    let late = play.take(1, 5, 0, None)[0];
    play.round();
    assert!(!play.out().contains(&late), "its only endpoint drains");
}

/// Destinations that come and go leave nothing behind.
#[test]
fn ids_that_change_each_time_leave_nothing() {
    let mut play = Play::new(terms(), 20, 0, 8.0);
    for wave in 1..2000_u32 {
        let id = 20 + wave;
        play.list(false, &[line(id, id, 0, 8.0, true)]);
        let packet = play.take(1, id.into(), 0, None)[0];
        play.after(100);
        play.back(packet, Outcome::Done);
        play.list(false, &[line(id, id, 0, 8.0, false)]);
    }
    play.now += ms(20_000);
    play.list(false, &[]);
    assert!(play.sender.active_destinations() <= 20, "{} active", play.sender.active_destinations());
}

/// One endpoint in the lines of two destinations, as of a list that moves it: whichever drains first, nothing is looked for in vain.
#[test]
fn an_endpoint_of_two_destinations_may_drain_in_either() {
    for drains_first in [0, 1] {
        let mut play = Play::new(terms(), 2, 0, 8.0);
        play.list(false, &[line(0, 1, 0, 8.0, true)]);
        play.take(2, 0, 0, None);
        play.take(2, 1, 0, None);
        play.round();
        assert!(!play.out().is_empty());
        play.list(false, &[line(0, drains_first, 0, 8.0, false)]);
        play.all_back(Outcome::Done);
        play.list(false, &[line(0, 1 - drains_first, 0, 8.0, false), line(1, 1, 0, 8.0, false)]);
        play.after(11_000);
        play.list(false, &[]);
        play.after(11_000);
        play.list(true, &[]);
        assert_eq!((play.sender.active_destinations(), play.out().len()), (0, 0));
    }
}
