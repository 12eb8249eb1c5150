//! An endpoint drains while the sender stands still: what the sender does first when it goes on.

use std::sync::Arc;
use std::time::Duration;

use stand2::endpoint::{self, Calls};
use stand2::settings::{Category, Settings};
use stand2::world::{
    id, sleep_ms, Agent, Client, Instance, Sender, World, BROKEN, COULD_NOT_RUN, HELD, NO_KEY,
};

/// Of the settings, and 50 ms more for sockets.
const GRACE: Duration = Duration::from_millis(500 + 50);
/// How long the sender stands still, and how long it runs in between.
const STALL_MS: u64 = 1700;
const BETWEEN_MS: u64 = 2300;
const STALLS: usize = 4;

pub fn run(world: World) -> ! {
    let record = world.record.clone();
    let calls: Calls = Arc::default();
    let mut servers = Vec::new();
    let mut instances = Vec::new();
    for number in 0..=STALLS {
        let (server, address) =
            endpoint::start(&format!("e{number}"), record.clone(), calls.clone(), move |call, request| {
                sleep_ms(250 + 20 * (call.connection % 4));
                endpoint::accepted(call, request, "")
            });
        servers.push(server);
        instances.push(Instance {
            id: format!("s-{number}"),
            address,
            kind: "grandes".into(),
            cell: 1,
            lifecycle: "Ready",
            weight: 12.0,
        });
    }
    let agent = Agent::start(record.clone(), &instances[..1]);
    let settings = settings().json();
    let known = "{\"generation\":0,\"reset\":true,\"instances\":[]}";
    let mut sender = Sender::new(&world, "n1", agent.address(), &settings, known);
    if !sender.start() {
        world.end(COULD_NOT_RUN, "the sender did not become ready");
    }
    let listen = sender.listen;
    let clients_record = record.clone();
    // A clump for the destination at the start, and some more than it takes from then on: messages are always
    // held.
    std::thread::spawn(move || {
        let mut client = Client::connect(listen);
        for number in 0..400 {
            let message = id(number);
            let fields = format!("c=aviso-pago,d=20000,k={:016x},dest=1", 0x5c0f_0000 + number);
            let answer = client.as_mut().and_then(|client| client.put(NO_KEY, &message, &fields, b"paid"));
            clients_record.log(format!("client handed in {message}: {answer:?}"));
            if answer.is_none() {
                client = Client::connect(listen);
            }
            sleep_ms(if number < 24 { 5 } else { 110 });
        }
    });
    sleep_ms(2000);
    let mut drained = Vec::new();
    for number in 0..STALLS {
        if world.trouble {
            sender.signal("STOP");
        }
        sleep_ms(100);
        let mut old = instances[number].clone();
        old.lifecycle = "Terminating";
        let generation = agent.change(&[old, instances[number + 1].clone()]);
        let told = agent.wait_told(generation, Duration::from_millis(1000));
        record.log(format!("e{number} drains, e{} is new; told: {}", number + 1, told.is_some()));
        sleep_ms(STALL_MS - 100);
        if world.trouble {
            sender.signal("CONT");
        }
        sleep_ms(BETWEEN_MS);
        // Between two watches there is none that the agent could answer: told with the next one.
        if let Some(told) = told.or_else(|| agent.told_at(generation)) {
            drained.push((format!("e{number}"), told));
        }
    }
    sender.copy_log();
    sender.kill();
    let calls = calls.lock().unwrap().clone();
    let mut late = 0;
    for call in &calls {
        for (endpoint, told) in &drained {
            if call.endpoint == *endpoint && call.first_byte > *told + GRACE {
                let after = call.first_byte.duration_since(*told);
                record.log(format!(
                    "{endpoint} got {} {after:?} after the sender was told",
                    call.ids.join(" ")
                ));
                late += 1;
            }
        }
    }
    if drained.len() < STALLS || calls.len() < 20 {
        world.end(COULD_NOT_RUN, "the sender was not told of every drain, or sent too little");
    }
    if late > 0 {
        world.end(BROKEN, &format!("{late} calls to endpoints that drain, later than the grace"));
    }
    world.end(HELD, "nothing new went to an endpoint that drains")
}

fn settings() -> Settings {
    Settings {
        senders: 2,
        slots: 8,
        held: 64,
        kinds: &["grandes"],
        batch: &[1],
        routes_apart: &[true],
        categories: vec![Category {
            name: "aviso-pago",
            repeat: "dedup",
            window_ms: 20_000,
            aim_ms: 3000,
            patience_ms: 20_000,
            in_order: false,
        }],
        weights: "nominal",
        drain_grace_ms: 500,
        cold_from: 0.29,
        cold_ms: 11_000,
        fall_multiple: 1.5,
        fall_ms: 1500,
        settle_ms: None,
        idle_close_ms: 15_000,
        ask_within_ms: None,
    }
}
