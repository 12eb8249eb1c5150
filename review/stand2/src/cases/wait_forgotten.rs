//! A long wait of a destination whose only endpoint is replaced while the wait lasts.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use stand2::endpoint::{self, Calls};
use stand2::settings::{Category, Settings};
use stand2::world::{
    id, sleep_ms, Agent, Client, Instance, Sender, World, BROKEN, COULD_NOT_RUN, HELD, NO_KEY,
};

/// The destination is shut for this long, and tells how long.
const SHUT: Duration = Duration::from_secs(19);
/// Its endpoint ends this long after the wait was told, and its successor is listed some seconds later.
const ENDS_AFTER_MS: u64 = 7500;
const REPLACED_AFTER_MS: u64 = 4000;

pub fn run(world: World) -> ! {
    let record = world.record.clone();
    let calls: Calls = Arc::default();
    let opens: Arc<Mutex<Option<Instant>>> = Arc::default();
    // The destination tells the wait in its first dismissal, not in all of them.
    let start = |name: &str, tells_wait: bool| {
        let opens = opens.clone();
        endpoint::start(name, record.clone(), calls.clone(), move |call, request| {
            sleep_ms(150);
            let now = Instant::now();
            match *opens.lock().unwrap() {
                Some(at) if now < at => {
                    let wait = (at - now).as_millis() as f64 / 1000.0;
                    endpoint::turned_away(tells_wait.then_some(wait))
                }
                _ => endpoint::accepted(call, request, ""),
            }
        })
    };
    let (_old, old_address) = start("e1", true);
    let (_new, new_address) = start("e2", false);
    let instance = |name: &str, address, lifecycle| Instance {
        id: name.into(),
        address,
        kind: "major-partner".into(),
        cell: 1,
        lifecycle,
        weight: 1.0,
    };
    let agent = Agent::start(record.clone(), &[instance("s-1", old_address, "Ready")]);
    let known = "{\"generation\":0,\"reset\":true,\"instances\":[]}";
    let mut sender = Sender::new(&world, "n1", agent.address(), &settings().json(), known);
    if !sender.start() {
        world.end(COULD_NOT_RUN, "the sender did not become ready");
    }
    let mut number = 0;
    let mut hand_in = |patience_ms: u64| {
        let message = id(number);
        let fields = format!("c=contact-upload,d={patience_ms},k={:016x},dest=1", 0x5c0f_0000 + number);
        number += 1;
        let answer =
            Client::connect(sender.listen).and_then(|mut c| c.put(NO_KEY, &message, &fields, b"contact"));
        record.log(format!("client handed in {message}: {answer:?}"));
    };
    hand_in(20_000);
    sleep_ms(500);
    // The destination shuts. A message with little time left learns of the wait.
    *opens.lock().unwrap() = Some(Instant::now() + SHUT);
    hand_in(1500);
    sleep_ms(ENDS_AFTER_MS);
    if world.trouble {
        // The endpoint is replaced: it goes, and its successor is listed some seconds later.
        agent.change(&[instance("s-1", old_address, "Gone")]);
    }
    sleep_ms(REPLACED_AFTER_MS);
    if world.trouble {
        agent.change(&[instance("s-2", new_address, "Ready")]);
    }
    sleep_ms(500);
    for _ in 0..3 {
        hand_in(20_000);
        sleep_ms(500);
    }
    sleep_ms(7000);
    sender.copy_log();
    sender.kill();
    let opens = opens.lock().unwrap().unwrap();
    let told = opens - SHUT;
    let calls = calls.lock().unwrap().clone();
    let Some(first) = calls.iter().find(|call| call.last_byte > told) else {
        world.end(COULD_NOT_RUN, "the sender was not told to wait")
    };
    let after = Duration::from_millis(150 + 150);
    let during = calls.iter().filter(|call| {
        call.first_byte > first.last_byte + after && call.first_byte + Duration::from_millis(50) < opens
    });
    let during = during.count();
    if during > 0 {
        world.end(BROKEN, &format!("{during} calls during a wait that the destination told"));
    }
    world.end(HELD, "the wait was heeded")
}

fn settings() -> Settings {
    Settings {
        senders: 2,
        slots: 8,
        held: 64,
        kinds: &["major-partner"],
        batch: &[10],
        routes_apart: &[false],
        categories: vec![Category {
            name: "contact-upload",
            repeat: "dedup",
            window_ms: 8000,
            aim_ms: 3000,
            patience_ms: 20_000,
            in_order: false,
        }],
        weights: "none",
        drain_grace_ms: 250,
        cold_from: 0.18,
        cold_ms: 9100,
        fall_multiple: 2.5,
        fall_ms: 1500,
        settle_ms: Some(100),
        idle_close_ms: 15_000,
        ask_within_ms: None,
    }
}
