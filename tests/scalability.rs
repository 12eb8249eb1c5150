//! Destinations that are listed and have no traffic neither cause work nor affect a decision, and the state
//! stored for destinations that had traffic is bounded without violating a rule.

#[allow(dead_code)]
mod harness;

use std::time::Duration;

use harness::{Harness, list_entry, ms, settings};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sailcart::*;

/// Destinations for which more than their entry is stored, as in `control.rs`. Waits and outages can raise
/// the number.
const MAX_ACTIVE_DESTINATIONS: u32 = 4096;
/// Numbers of listed destinations.
const SIZES: [u32; 4] = [20, 200, 2000, 20_000];

/// Number of table entries that `work` accesses.
fn entries_visited(harness: &mut Harness, work: impl FnOnce(&mut Harness)) -> u64 {
    let before = harness.sender.entries_visited();
    work(harness);
    harness.sender.entries_visited() - before
}

/// Asserts that the numbers of entries visited at all sizes are within a factor of two of each other.
fn assert_independent_of_size(visits: &[u64]) {
    let (min, max) = (visits.iter().min().copied(), visits.iter().max().copied());
    let independent = min.zip(max).is_some_and(|(min, max)| max <= 2 * min.max(1));
    assert!(independent, "entries visited with {SIZES:?} destinations: {visits:?}");
}

#[test]
fn work_for_a_list_update_is_proportional_to_the_update() {
    let visits = SIZES.map(|size| {
        let mut harness = Harness::new(settings(), size, 0, 8.0);
        harness.submit(10, 3, 0, None);
        harness.run_round();
        entries_visited(&mut harness, |harness| {
            for n in 0..10 {
                harness.update_list(false, &[list_entry(n, n, 0, 8.0, false)]);
                harness.update_list(false, &[list_entry(n, n, 0, 8.0, true)]);
            }
        })
    });
    assert_independent_of_size(&visits);
}

#[test]
fn work_for_a_list_update_does_not_depend_on_how_many_destinations_had_traffic() {
    let visits = SIZES.map(|size| {
        let mut harness = Harness::new(settings(), size, 0, 8.0);
        use_destinations(&mut harness, 0..size, 20);
        entries_visited(&mut harness, |harness| {
            harness.update_list(false, &[list_entry(size - 1, size - 1, 0, 8.0, false)]);
            harness.update_list(false, &[list_entry(size - 1, size - 1, 0, 8.0, true)]);
        })
    });
    assert_independent_of_size(&visits);
}

#[test]
fn work_for_an_empty_list_update_does_not_depend_on_the_list() {
    let visits = SIZES.map(|size| {
        let mut harness = Harness::new(settings(), size, 0, 8.0);
        harness.submit(1, 3, 0, None);
        harness.run_round();
        harness.complete_all(Outcome::Done);
        entries_visited(&mut harness, |harness| harness.update_list(false, &[]))
    });
    assert_independent_of_size(&visits);
}

#[test]
fn work_of_a_round_is_proportional_to_the_destinations_with_traffic() {
    let visits = SIZES.map(|size| {
        let mut harness = Harness::new(settings(), size, 0, 8.0);
        for destination in 0..10 {
            harness.submit(2, destination, 0, None);
        }
        entries_visited(&mut harness, |harness| {
            for _ in 0..20 {
                harness.advance(100);
                harness.complete_all(Outcome::Done);
            }
        })
    });
    assert_independent_of_size(&visits);
}

/// Validates the check of the other tests: work proportional to the whole list, as for a full snapshot, is
/// detected.
#[test]
fn work_for_a_full_snapshot_is_proportional_to_the_list() {
    let visits = SIZES.map(|size| {
        let mut harness = Harness::new(settings(), size, 0, 8.0);
        let entries: Vec<ListEntry> = (0..size).map(|n| list_entry(n, n, 0, 8.0, true)).collect();
        entries_visited(&mut harness, |harness| harness.update_list(true, &entries))
    });
    assert!(visits[3] > 100 * visits[0], "{visits:?}");
}

/// Runs a seeded random simulation of twenty destinations with updates of their list; `idle_destinations`
/// others are listed and get no packets. Returns the decisions of each round.
fn simulate(seed: u64, idle_destinations: u32, senders: usize) -> Vec<String> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut harness = Harness::with_seed(seed, Settings { senders, ..settings() }, 20, 0, 6.0);
    let idle: Vec<ListEntry> =
        (100..100 + idle_destinations).map(|n| list_entry(n, n, 0, 6.0, true)).collect();
    harness.update_list(false, &idle);
    let mut decisions = Vec::new();
    for _ in 0..400 {
        harness.now += ms(rng.random_range(5..200));
        let destination: u32 = rng.random_range(0..20);
        match rng.random_range(0..10) {
            0 => harness
                .update_list(false, &[list_entry(destination, destination, 0, 6.0, rng.random_bool(0.7))]),
            1 => harness.update_list(false, if idle_destinations > 0 { &idle[..1] } else { &[] }),
            _ => drop(harness.submit(rng.random_range(1..3), destination.into(), 0, None)),
        }
        for packet in harness.in_flight() {
            let outcome = match rng.random_range(0..8) {
                0 => Outcome::Full(Some(ms(700))),
                1 => Outcome::TimedOut,
                2 => Outcome::NoRoom,
                3 => continue,
                _ => Outcome::Done,
            };
            harness.complete(packet, outcome);
        }
        harness.run_round();
        // The decisions of this round: dispatches with their endpoints, and failed packets.
        decisions.push(format!(
            "{:?} {:?}",
            harness.host.in_flight,
            std::mem::take(&mut harness.host.failures)
        ));
    }
    decisions
}

#[test]
fn idle_destinations_affect_no_decision() {
    for (seed, senders) in [(1, 1), (2, 3), (3, 40), (4, 300)] {
        let without_idle = simulate(seed, 0, senders);
        let with_idle = simulate(seed, 5000, senders);
        let difference = without_idle.iter().zip(&with_idle).position(|(without, with)| without != with);
        assert_eq!(difference, None, "seed {seed}, {senders} senders: first round that differs");
    }
}

/// Submits one packet to each of the destinations, `interval_ms` apart, all of which succeed at once.
fn use_destinations(harness: &mut Harness, destinations: std::ops::Range<u32>, interval_ms: u64) {
    for destination in destinations {
        harness.submit(1, destination.into(), 0, None);
        harness.advance(interval_ms);
        for packet in harness.in_flight() {
            if harness.host.in_flight[&packet].0 == EndpointId(destination) {
                harness.complete(packet, Outcome::Done);
            }
        }
    }
}

#[test]
fn number_of_active_destinations_is_bounded() {
    let mut harness = Harness::new(settings(), 20_000, 0, 8.0);
    use_destinations(&mut harness, 0..20_000, 20);
    // The destinations of the last ten seconds, fifty per second, stay for the warm-up time.
    assert!(
        harness.sender.active_destinations() <= MAX_ACTIVE_DESTINATIONS as usize + 500 + 1,
        "{} active",
        harness.sender.active_destinations()
    );
}

#[test]
fn a_retry_after_wait_is_not_evicted() {
    let mut harness = Harness::new(settings(), 20_000, 0, 8.0);
    let packet = harness.submit(1, 0, 0, None)[0];
    harness.run_round();
    harness.complete(packet, Outcome::Full(Some(Duration::from_secs(600))));
    use_destinations(&mut harness, 1..10_000, 20);
    let early = harness.submit(1, 0, 0, None)[0];
    harness.run_round();
    assert!(!harness.in_flight().contains(&early), "its wait lasts 400 s longer");
    harness.now = Duration::from_secs(601);
    let late = harness.submit(1, 0, 0, None)[0];
    harness.run_round();
    assert!(harness.in_flight().contains(&late), "the wait has passed");
}

/// A wait too short to indicate an outage, with a warm-up time that does not cover it.
#[test]
fn a_short_retry_after_wait_is_not_evicted() {
    let recovery = RecoveryProfile { warm_up: ms(1), ..settings().recovery };
    let mut harness = Harness::new(Settings { recovery, ..settings() }, 20_000, 0, 8.0);
    let packet = harness.submit(1, 0, 0, None)[0];
    harness.run_round();
    harness.complete(packet, Outcome::Full(Some(ms(2000))));
    harness.now += ms(10);
    use_destinations(&mut harness, 1..10_000, 0);
    // With more than 4096 active destinations, the eviction examines the first one again during these uses.
    // It gets another packet 1.5 s after the wait began.
    harness.sender.withdraw(harness.now, PacketId(packet));
    use_destinations(&mut harness, 10_000..15_000, 0);
    harness.now = ms(1500);
    let early = harness.submit(1, 0, 0, None)[0];
    harness.run_round();
    assert!(!harness.in_flight().contains(&early), "its wait lasts half a second longer");
}

#[test]
fn a_detected_outage_is_not_evicted() {
    let mut harness = Harness::new(Settings { max_dispatches: 20, ..settings() }, 20_000, 0, 8.0);
    for _ in 0..4 {
        let packet = harness.submit(1, 0, 0, None)[0];
        harness.advance(1000);
        for in_flight in harness.in_flight() {
            harness.complete(in_flight, Outcome::NoConnection);
        }
        harness.sender.withdraw(harness.now, PacketId(packet));
        harness.run_round();
    }
    use_destinations(&mut harness, 1..10_000, 20);
    // While cold it handles 2.0 x 0.25 of eight calls per second, of which nine tenths are used: one call at
    // a time.
    harness.submit(8, 0, 0, None);
    harness.run_round();
    assert_eq!(harness.in_flight().len(), 1, "slow start still applies");
}

/// An evicted destination is still listed: its next packet creates its state again from the list.
#[test]
fn an_evicted_destination_is_activated_by_its_next_packet() {
    let mut harness = Harness::new(settings(), 20_000, 0, 8.0);
    use_destinations(&mut harness, 0..12_000, 20);
    assert!(harness.sender.active_destinations() < 12_000);
    let packet = harness.submit(1, 0, 0, None)[0];
    harness.run_round();
    assert_eq!(harness.in_flight(), [packet]);
    harness.complete(packet, Outcome::Done);
    // An update of the list also applies to an evicted destination.
    harness.update_list(false, &[list_entry(5, 5, 0, 8.0, false)]);
    let late = harness.submit(1, 5, 0, None)[0];
    harness.run_round();
    assert!(!harness.in_flight().contains(&late), "its only endpoint drains");
}

/// Destinations that are listed under a new id each time must not accumulate.
#[test]
fn state_of_delisted_destinations_is_removed() {
    let mut harness = Harness::new(settings(), 20, 0, 8.0);
    for n in 1..2000_u32 {
        let id = 20 + n;
        harness.update_list(false, &[list_entry(id, id, 0, 8.0, true)]);
        let packet = harness.submit(1, id.into(), 0, None)[0];
        harness.advance(100);
        harness.complete(packet, Outcome::Done);
        harness.update_list(false, &[list_entry(id, id, 0, 8.0, false)]);
    }
    harness.now += ms(20_000);
    harness.update_list(false, &[]);
    assert!(harness.sender.active_destinations() <= 20, "{} active", harness.sender.active_destinations());
}

/// An endpoint is listed for two destinations, as when the list moves it from one to the other. Whichever
/// entry drains first, no lookup of removed state may fail.
#[test]
fn an_endpoint_of_two_destinations_may_drain_in_either_order() {
    for drains_first in [0, 1] {
        let mut harness = Harness::new(settings(), 2, 0, 8.0);
        harness.update_list(false, &[list_entry(0, 1, 0, 8.0, true)]);
        harness.submit(2, 0, 0, None);
        harness.submit(2, 1, 0, None);
        harness.run_round();
        assert!(!harness.in_flight().is_empty());
        harness.update_list(false, &[list_entry(0, drains_first, 0, 8.0, false)]);
        harness.complete_all(Outcome::Done);
        harness.update_list(
            false,
            &[list_entry(0, 1 - drains_first, 0, 8.0, false), list_entry(1, 1, 0, 8.0, false)],
        );
        harness.advance(11_000);
        harness.update_list(false, &[]);
        harness.advance(11_000);
        harness.update_list(true, &[]);
        assert_eq!((harness.sender.active_destinations(), harness.in_flight().len()), (0, 0));
    }
}
