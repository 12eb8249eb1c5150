//! How the work of a round grows with what came in it and with what is held: counted in table entries that are
//! accessed, by phase, and so the same on any machine.

#[allow(dead_code)]
mod harness;

use std::time::Instant;

use harness::{Harness, list_entry, ms, settings};
use sailcart::round_phase::RoundPhase;
use sailcart::*;

/// Sizes at which each scenario is measured.
const SIZES: [u64; 4] = [64, 256, 1024, 4096];
/// A larger exponent is growth beyond that of n log n.
const MAX_EXPONENT: f64 = 1.1;

/// The work of one scenario at one size.
struct Cost {
    /// Table entries accessed while packets, outcomes and lists are recorded.
    recorded: u64,
    /// Table entries accessed in each phase of the rounds.
    phases: [u64; RoundPhase::ALL.len()],
    /// Real time, for the report only.
    micros: u128,
}

/// Measures the work of `run` on a prepared sender.
fn measure(mut harness: Harness, run: impl FnOnce(&mut Harness)) -> Cost {
    let (visits, phases) = (harness.sender.entries_visited(), harness.sender.phase_visits().clone());
    let start = Instant::now();
    run(&mut harness);
    let micros = start.elapsed().as_micros();
    let phases = RoundPhase::ALL.map(|phase| harness.sender.phase_visits().get(phase) - phases.get(phase));
    let in_phases: u64 = phases.iter().sum();
    Cost { recorded: harness.sender.entries_visited() - visits - in_phases, phases, micros }
}

/// The exponent with which a count grows between the smallest and the largest size: its slope on a log-log scale.
fn exponent(counts: &[u64]) -> f64 {
    let growth = counts[counts.len() - 1].max(1) as f64 / counts[0].max(1) as f64;
    growth.ln() / (SIZES[SIZES.len() - 1] as f64 / SIZES[0] as f64).ln()
}

/// Measures a scenario at all sizes, prints a table, and returns each count whose exponent is above `max`.
fn exceeding(scenario: &str, max: f64, run: impl Fn(u64) -> Cost) -> Vec<String> {
    let costs = SIZES.map(run);
    let mut rows = vec![("Recorded".to_owned(), costs.each_ref().map(|cost| cost.recorded))];
    for phase in RoundPhase::ALL {
        rows.push((format!("{phase:?}"), costs.each_ref().map(|cost| cost.phases[phase as usize])));
    }
    println!("{scenario}: sizes {SIZES:?}, microseconds {:?}", costs.each_ref().map(|cost| cost.micros));
    let mut exceeding = Vec::new();
    for (name, counts) in rows {
        let exponent = exponent(&counts);
        println!("  {name:18} {exponent:5.2} {counts:?}");
        if exponent > max {
            exceeding.push(format!("{scenario}: {name} grows with exponent {exponent:.2}: {counts:?}"));
        }
    }
    exceeding
}

/// Settings under which nothing but the hold limits the packets.
fn settings_with(max_held: usize, slots: usize) -> Settings {
    Settings { max_held, slots, rates_listed: false, ..settings() }
}

/// A sender with a hold of `max_held` that is full: its only destination answers no call.
fn full_hold(max_held: usize, category: usize) -> Harness {
    let mut harness = Harness::new(settings_with(max_held, 8), 1, 0, 0.0);
    harness.submit(max_held as u64, 0, category, None);
    harness.run_round();
    harness.advance(5000);
    harness
}

/// A hold that is full, and then `taken` packets in one round: most of them are shed.
fn burst_into_a_full_hold(category: usize) -> impl Fn(u64) -> Cost {
    move |taken| {
        measure(full_hold(64, category), |harness| {
            harness.submit(taken, 0, category, None);
            harness.run_round();
        })
    }
}

/// `held` packets of one destination, and a few more in a round.
fn few_packets_behind_many(held: u64) -> Cost {
    measure(full_hold(2 * held as usize, 0), |harness| {
        harness.submit(4, 0, 0, None);
        harness.run_round();
    })
}

/// Packets of many destinations, one each, into a hold of 64 that is full.
fn burst_to_many_destinations(destinations: u64) -> Cost {
    let mut harness = full_hold(64, 0);
    let entries: Vec<_> = (1..=destinations as u32).map(|n| list_entry(n, n, 0, 0.0, true)).collect();
    harness.update_list(false, &entries);
    measure(harness, |harness| {
        for destination in 1..=destinations {
            harness.submit(1, destination, 0, None);
        }
        harness.run_round();
    })
}

/// Packets in order, each with a key of its own, all of which are delivered.
fn deliveries_with_keys_of_their_own(keys: u64) -> Cost {
    let mut harness = Harness::new(settings_with(2 * keys as usize, 4 * keys as usize), 1, 0, 0.0);
    for key in 0..keys {
        harness.submit(1, 0, 2, Some(key));
    }
    measure(harness, |harness| {
        harness.run_round();
        harness.complete_all(Outcome::Done);
        harness.advance(200);
    })
}

/// Packets in order of one key into a hold of 64.
fn burst_of_one_key(taken: u64) -> Cost {
    measure(full_hold(64, 2), |harness| {
        harness.submit(taken, 0, 2, Some(1));
        harness.run_round();
    })
}

/// As many calls in flight as there are slots, all of which complete before one round.
fn outcomes_in_one_round(outcome: Outcome, senders: usize) -> impl Fn(u64) -> Cost {
    move |calls| {
        let settings = Settings { senders, ..settings_with(8 * calls as usize, 2 * calls as usize) };
        let mut harness = Harness::new(settings, 1, 0, 0.0);
        harness.submit(calls, 0, 0, None);
        harness.run_round();
        measure(harness, |harness| {
            harness.complete_all(outcome);
            harness.advance(1);
        })
    }
}

/// Destinations that leave the list while each of them holds a packet.
fn destinations_that_leave_the_list(destinations: u64) -> Cost {
    let mut harness = Harness::new(settings_with(4 * destinations as usize, 8), destinations as u32, 0, 0.0);
    for destination in 0..destinations {
        harness.submit(2, destination, 0, None);
    }
    harness.run_round();
    let gone: Vec<_> = (0..destinations as u32).map(|n| list_entry(n, n, 0, 0.0, false)).collect();
    measure(harness, |harness| {
        harness.update_list(false, &gone);
        harness.advance(1);
    })
}

/// Guards against a round whose work grows with the square of what came in it: it delays notices and replies.
#[test]
fn work_of_a_round_grows_no_faster_than_what_came_in_it() {
    let mut found = Vec::new();
    for category in 0..3 {
        let scenario = format!("burst into a full hold, category {category}");
        found.extend(exceeding(&scenario, MAX_EXPONENT, burst_into_a_full_hold(category)));
    }
    let mut check = |scenario: &str, run: &dyn Fn(u64) -> Cost| {
        found.extend(exceeding(scenario, MAX_EXPONENT, run));
    };
    check("few packets behind many held", &few_packets_behind_many);
    check("burst to many destinations", &burst_to_many_destinations);
    check("deliveries with keys of their own", &deliveries_with_keys_of_their_own);
    check("burst of one key", &burst_of_one_key);
    check("deliveries in one round", &outcomes_in_one_round(Outcome::Done, 1));
    check("refusals in one round", &outcomes_in_one_round(Outcome::Full(None), 1));
    check("refusals in one round, many senders", &outcomes_in_one_round(Outcome::Full(None), 300));
    check("losses in one round, many senders", &outcomes_in_one_round(Outcome::TimedOut, 300));
    check("destinations that leave the list", &destinations_that_leave_the_list);
    assert!(found.is_empty(), "{found:#?}");
}

/// A wait of a full hold is not part of the measured rounds: it must be as long as the calls need to time out.
#[test]
fn a_full_hold_is_full() {
    let mut harness = full_hold(64, 0);
    harness.submit(1, 0, 0, None);
    harness.advance(1);
    assert_eq!(harness.host.failures.len(), 1 + 4, "one is shed for each packet above the threshold of 60");
    assert!(harness.now >= ms(5000));
}

/// Guards against expirations of completed packets that stay until their time: they take memory and cause rounds.
#[test]
fn completed_packets_leave_no_expiration_behind() {
    let mut harness = Harness::new(settings(), 1, 0, 0.0);
    harness.submit(6, 0, 0, None);
    harness.run_round();
    harness.complete_all(Outcome::Done);
    harness.host.wake_after = None;
    harness.advance(5000); // past the wake that was requested while the calls were in flight
    assert_eq!((harness.host.in_flight.len(), harness.host.wake_after), (0, None));
}
