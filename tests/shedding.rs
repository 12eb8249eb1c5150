//! Which packets load shedding chooses.

#[allow(dead_code)]
mod harness;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use harness::{Harness, ms, settings};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sailcart::*;

/// Packets that the only customer may submit within its quota at one moment: four per second for a soft limit.
const QUOTA_BURST: usize = 8;
const DESTINATIONS: u64 = 6;

/// What the choice depends on.
struct HeldPacket {
    destination: u64,
    over_quota: bool,
    restored: bool,
    deadline: Duration,
}

/// The victims by definition: from the fullest destination, over quota, then by deadline, then by number.
fn expected_victims(mut held: BTreeMap<u64, HeldPacket>, in_flight: usize, threshold: usize) -> Vec<u64> {
    let mut victims = Vec::new();
    while held.len() + in_flight > threshold {
        let mut by_destination: BTreeMap<u64, BTreeSet<u64>> = BTreeMap::new();
        for (id, packet) in &held {
            by_destination.entry(packet.destination).or_default().insert(*id);
        }
        let sheddable = |ids: &&BTreeSet<u64>| ids.iter().filter(|id| !held[id].restored).count();
        let Some(fullest) = by_destination.values().max_by_key(sheddable) else { break };
        let order = |id: &&u64| (held[id].restored, !held[id].over_quota, held[id].deadline, **id);
        let Some(victim) = fullest.iter().min_by_key(order).copied() else { break };
        held.remove(&victim);
        victims.push(victim);
    }
    victims
}

/// Fills a hold at random, some of it with packets in flight, and compares the victims of one round.
fn check_random_hold(seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let max_held = [4, 16, 64, 200][rng.random_range(0..4)];
    let mut harness = Harness::with_seed(seed, Settings { max_held, ..settings() }, 1, 0, 50.0);
    harness.submit(rng.random_range(0..8), 0, 0, None);
    harness.run_round();
    let in_flight = harness.host.in_flight.len();
    let first_held = 1000;
    harness.host.failures.clear();
    let mut customer_packets = 0;
    let mut held = BTreeMap::new();
    let restored_share = [0.0, 0.3, 1.0][rng.random_range(0..3)];
    // All destinations but the first are unlisted, so that nothing is dispatched.
    for id in first_held..first_held + rng.random_range(1..3 * max_held as u64) {
        let destination = 1 + rng.random_range(0..DESTINATIONS).min(rng.random_range(0..DESTINATIONS));
        let customer = rng.random_bool(0.5).then_some(CustomerId(0));
        customer_packets += usize::from(customer.is_some());
        let restored = rng.random_bool(restored_share);
        let deadline = harness.now + ms(1000 * rng.random_range(10..20));
        let category = rng.random_range(0..2);
        let over_quota = customer.is_some() && customer_packets > QUOTA_BURST;
        held.insert(id, HeldPacket { destination, over_quota, restored, deadline });
        harness.sender.accept(
            harness.now,
            Packet {
                id: PacketId(id),
                destination: DestinationId(destination),
                category: CategoryId(category),
                customer,
                key: None,
                deadline,
                dispatches: 0,
                possibly_executed_at: None,
                accepted_by_previous_process: restored,
            },
        );
    }
    let first_round_held = (1..first_held)
        .filter(|id| harness.sender.is_tracked(PacketId(*id)) && !harness.host.in_flight.contains_key(id));
    for id in first_round_held {
        let deadline = harness.now + ms(20_000);
        held.insert(id, HeldPacket { destination: 0, over_quota: false, restored: false, deadline });
    }
    let threshold = max_held - (max_held / 16).max(1);
    let expected = expected_victims(held, in_flight, threshold);
    harness.run_round();
    let victims: Vec<u64> = harness.host.failures.iter().map(|(id, _)| *id).collect();
    assert_eq!(victims, expected, "seed {seed}");
}

/// Guards against a faster choice that is another choice.
#[test]
fn victims_of_random_holds_are_those_of_the_definition() {
    (0..100).for_each(check_random_hold);
}
