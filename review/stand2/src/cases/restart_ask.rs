//! A sender is killed while it holds messages, where the list comes only when asked for. Before, it was told of an
//! endpoint that went, and of another destination's endpoint that was started at its address.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use stand2::endpoint::{self, Calls};
use stand2::settings::{Category, Settings};
use stand2::world::{
    id, list, sleep_ms, Agent, Client, Instance, Sender, World, BROKEN, COULD_NOT_RUN, HELD, NO_KEY,
};

/// There and back between two buildings, "8 to 30 ms one way".
const DISCOVERY_MS: u64 = 40;

pub fn run(world: World) -> ! {
    let record = world.record.clone();
    let calls: Calls = Arc::default();
    let start = |name: &str| {
        endpoint::start(name, record.clone(), calls.clone(), move |call, request| {
            sleep_ms(120);
            endpoint::accepted(call, request, "")
        })
    };
    let ((_a, address_a), (_b, address_b), (_c, address_c)) =
        (start("address-a"), start("address-b"), start("address-c"));
    let instance = |name: &str, address, cell, lifecycle| Instance {
        id: name.into(),
        address,
        kind: "retail-shop".into(),
        cell,
        lifecycle,
        weight: 4.0,
    };
    let first = [instance("s-1", address_a, 1, "Ready"), instance("s-2", address_b, 2, "Ready")];
    let agent = Agent::start(record.clone(), &first);
    agent.set_delay_ms(DISCOVERY_MS);
    let known = list(1, true, &first);
    let mut sender = Sender::new(&world, "n1", agent.address(), &settings().json(), &known);
    if !sender.start() {
        world.end(COULD_NOT_RUN, "the sender did not become ready");
    }
    let destinations: Arc<Mutex<BTreeMap<String, u64>>> = Arc::default();
    let mut number = 0;
    let mut hand_in = |dest: u64, listen| {
        let message = id(number);
        number += 1;
        destinations.lock().unwrap().insert(message.clone(), dest);
        let fields = format!("c=duty-payment,d=28000,dest={dest}");
        let answer = Client::connect(listen).and_then(|mut c| c.put(NO_KEY, &message, &fields, b"duty"));
        record.log(format!("client handed in {message} for {dest}: {answer:?}"));
    };
    let tell = |changes: &[Instance]| {
        let generation = agent.change(changes);
        agent.wait_told(generation, Duration::from_secs(10))
    };
    hand_in(1, sender.listen);
    hand_in(2, sender.listen);
    sleep_ms(1000);
    // A release: the first destination gets a new endpoint, the old one drains and goes. Then the second
    // destination gets a further endpoint, at the address that has become free.
    let drains =
        tell(&[instance("s-1", address_a, 1, "Terminating"), instance("s-3", address_c, 1, "Ready")]);
    sleep_ms(3000);
    let gone = tell(&[instance("s-1", address_a, 1, "Gone")]);
    sleep_ms(1000);
    let reused = tell(&[instance("s-4", address_a, 2, "Ready")]);
    if drains.is_none() || gone.is_none() || reused.is_none() {
        world.end(COULD_NOT_RUN, "the sender was not told of every change")
    }
    record.log("address-a belongs to destination 2 now, and the sender was told");
    sleep_ms(3000);
    // A clump for the first destination: some of it is held as the sender is killed.
    for _ in 0..16 {
        hand_in(1, sender.listen);
    }
    sleep_ms(500);
    if world.trouble {
        sender.kill();
        sleep_ms(600);
        if !sender.start() {
            world.end(COULD_NOT_RUN, "the sender did not become ready again");
        }
    }
    sleep_ms(9000);
    sender.copy_log();
    sender.kill();
    let destinations = destinations.lock().unwrap();
    let calls = calls.lock().unwrap();
    let reused = reused.unwrap() + Duration::from_secs(1);
    let mut wrong = 0;
    for call in calls.iter().filter(|call| call.first_byte > reused) {
        let destination = if call.endpoint == "address-c" { 1 } else { 2 };
        for message in call.ids.iter().filter(|message| destinations.get(*message) != Some(&destination)) {
            record.log(format!("{message} was sent to {} of destination {destination}", call.endpoint));
            wrong += 1;
        }
    }
    if calls.len() < 10 {
        world.end(COULD_NOT_RUN, "too little was sent");
    }
    if wrong > 0 {
        world.end(BROKEN, &format!("{wrong} messages were sent to an endpoint of another destination"));
    }
    world.end(HELD, "every message went to its own destination")
}

fn settings() -> Settings {
    Settings {
        senders: 2,
        slots: 8,
        held: 64,
        kinds: &["retail-shop"],
        batch: &[1],
        routes_apart: &[false],
        categories: vec![Category {
            name: "duty-payment",
            repeat: "fragile",
            window_ms: 0,
            aim_ms: 2500,
            patience_ms: 28_000,
            in_order: false,
        }],
        weights: "rough",
        drain_grace_ms: 1000,
        cold_from: 0.17,
        cold_ms: 12_000,
        fall_multiple: 2.0,
        fall_ms: 3000,
        settle_ms: None,
        idle_close_ms: 15_000,
        ask_within_ms: Some(3000),
    }
}
