//! A sender is killed while discovery is down. Before, it was told of an endpoint that went, and of another
//! destination's endpoint that was started at its address.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use stand2::endpoint::{self, Calls};
use stand2::settings::{Category, Settings};
use stand2::world::{
    id, list, sleep_ms, Agent, Client, Instance, Sender, World, BROKEN, COULD_NOT_RUN, HELD, NO_KEY,
};

const DISCOVERY_DOWN_MS: u64 = 8000;

pub fn run(world: World) -> ! {
    let record = world.record.clone();
    let calls: Calls = Arc::default();
    // The destination whose endpoint listens at each address.
    let start = |name: &str| {
        endpoint::start(name, record.clone(), calls.clone(), move |call, request| {
            sleep_ms(70);
            endpoint::accepted(call, request, "")
        })
    };
    let ((_a, address_a), (_b, address_b), (_c, address_c)) =
        (start("address-a"), start("address-b"), start("address-c"));
    let instance = |name: &str, address, cell, lifecycle| Instance {
        id: name.into(),
        address,
        kind: "cliente-pequeno".into(),
        cell,
        lifecycle,
        weight: 12.0,
    };
    let first = [instance("s-1", address_a, 1, "Ready"), instance("s-2", address_b, 2, "Ready")];
    let agent = Agent::start(record.clone(), &first);
    let known = list(1, true, &first);
    let mut sender = Sender::new(&world, "n1", agent.address(), &settings().json(), &known);
    if !sender.start() {
        world.end(COULD_NOT_RUN, "the sender did not become ready");
    }
    // One client that hands in a message for each of the two destinations in turn.
    let destinations: Arc<Mutex<BTreeMap<String, u64>>> = Arc::default();
    let (listen, handed_in, clients_record) = (sender.listen, destinations.clone(), record.clone());
    std::thread::spawn(move || {
        let mut client = None;
        for number in 0.. {
            let (message, dest) = (id(number), 1 + number % 2);
            handed_in.lock().unwrap().insert(message.clone(), dest);
            let fields = format!("c=entrega,d=24000,k={:016x},dest={dest}", 0x5c0f_0000 + number);
            client = client.or_else(|| Client::connect(listen));
            let answer = client.as_mut().and_then(|client| client.put(NO_KEY, &message, &fields, b"notice"));
            clients_record.log(format!("client handed in {message} for {dest}: {answer:?}"));
            if answer.is_none() {
                client = None;
            }
            sleep_ms(125);
        }
    });
    let tell = |changes: &[Instance]| {
        let generation = agent.change(changes);
        agent.wait_told(generation, Duration::from_secs(5))
    };
    sleep_ms(1000);
    // A release: the first destination gets a new endpoint, the old one drains and goes. Then the second
    // destination gets a further endpoint, at the address that has become free.
    let drains =
        tell(&[instance("s-1", address_a, 1, "Terminating"), instance("s-3", address_c, 1, "Ready")]);
    sleep_ms(3000);
    let gone = tell(&[instance("s-1", address_a, 1, "Gone")]);
    sleep_ms(1000);
    let reused = tell(&[instance("s-4", address_a, 2, "Ready")]);
    record.log("address-a belongs to destination 2 now, and the sender was told");
    sleep_ms(3000);
    let (Some(_), Some(_), Some(reused)) = (drains, gone, reused) else {
        world.end(COULD_NOT_RUN, "the sender was not told of every change")
    };
    let before = wrong(&calls, &destinations, reused, address_index);
    let mut killed = None;
    if world.trouble {
        agent.set_silent(true);
        record.log("discovery is down");
        sleep_ms(500);
        sender.kill();
        killed = Some(Instant::now());
        sleep_ms(600);
        if !sender.start() {
            world.end(COULD_NOT_RUN, "the sender did not become ready again");
        }
        let down = killed.map_or(0, |at| at.elapsed().as_millis() as u64 + 500);
        sleep_ms(DISCOVERY_DOWN_MS.saturating_sub(down));
        agent.set_silent(false);
        record.log("discovery is back");
    } else {
        sleep_ms(DISCOVERY_DOWN_MS);
    }
    sleep_ms(2500);
    sender.copy_log();
    sender.kill();
    let all = wrong(&calls, &destinations, reused, address_index);
    for (message, endpoint) in &all {
        record
            .log(format!("{message}, handed in for destination 1, was sent to {endpoint} of destination 2"));
    }
    if !before.is_empty() || calls.lock().unwrap().len() < 40 || (world.trouble && killed.is_none()) {
        world.end(COULD_NOT_RUN, "too little was sent, or it went wrong before the disruption");
    }
    if !all.is_empty() {
        let count = all.len();
        world.end(BROKEN, &format!("{count} messages were sent to an endpoint of another destination"));
    }
    world.end(HELD, "every message went to its own destination")
}

/// The destination that each address belongs to after the release.
fn address_index(endpoint: &str) -> u64 {
    if endpoint == "address-c" {
        1
    } else {
        2
    }
}

/// Messages that went to an address of another destination, later than a second after the last change was told.
fn wrong(
    calls: &Calls,
    destinations: &Mutex<BTreeMap<String, u64>>,
    told: Instant,
    destination_of: fn(&str) -> u64,
) -> Vec<(String, String)> {
    let destinations = destinations.lock().unwrap();
    let mut found = Vec::new();
    for call in calls.lock().unwrap().iter().filter(|call| call.first_byte > told + Duration::from_secs(1)) {
        for message in &call.ids {
            if destinations.get(message).is_some_and(|dest| *dest != destination_of(&call.endpoint)) {
                found.push((message.clone(), call.endpoint.clone()));
            }
        }
    }
    found
}

fn settings() -> Settings {
    Settings {
        senders: 2,
        slots: 8,
        held: 120,
        kinds: &["cliente-pequeno"],
        batch: &[1],
        routes_apart: &[false],
        categories: vec![Category {
            name: "entrega",
            repeat: "dedup",
            window_ms: 25_000,
            aim_ms: 3000,
            patience_ms: 24_000,
            in_order: false,
        }],
        weights: "nominal",
        drain_grace_ms: 2000,
        cold_from: 0.29,
        cold_ms: 11_000,
        fall_multiple: 1.5,
        fall_ms: 2000,
        settle_ms: None,
        idle_close_ms: 15_000,
        ask_within_ms: None,
    }
}
