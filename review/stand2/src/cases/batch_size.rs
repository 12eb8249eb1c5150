//! A clump of messages with large bodies for a destination that takes several in one call.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use stand2::endpoint::{self, Calls};
use stand2::http::{response, Answer};
use stand2::settings::{Category, Settings};
use stand2::world::{
    id, sleep_ms, wait_for, Agent, Client, Instance, Sender, World, BROKEN, COULD_NOT_RUN, HELD,
};

/// "A body holds at most 64 KiB."
const MAX_BODY: usize = 64 * 1024;
const MESSAGES: u64 = 8;
const BODY: usize = 16 * 1024;

pub fn run(world: World) -> ! {
    let record = world.record.clone();
    let calls: Calls = Arc::default();
    let delivered: Arc<std::sync::Mutex<BTreeSet<String>>> = Arc::default();
    let run = delivered.clone();
    let (_endpoint, address) = endpoint::start("e1", record.clone(), calls.clone(), move |call, request| {
        sleep_ms(150);
        if call.length > MAX_BODY {
            // It cannot be read: "in neither case has any run".
            return Answer::Write(response("400 Bad Request", "", b""));
        }
        run.lock().unwrap().extend(call.ids.iter().cloned());
        endpoint::accepted(call, request, "")
    });
    let instance = Instance {
        id: "s-1".into(),
        address,
        kind: "major-partner".into(),
        cell: 1,
        lifecycle: "Ready",
        weight: 1.0,
    };
    let agent = Agent::start(record.clone(), &[instance]);
    let known = "{\"generation\":0,\"reset\":true,\"instances\":[]}";
    let mut sender = Sender::new(&world, "n1", agent.address(), &settings().json(), known);
    if !sender.start() {
        world.end(COULD_NOT_RUN, "the sender did not become ready");
    }
    // With the disruption they come as a clump, each on a connection of its own; without it, one after the other.
    let mut clients = Vec::new();
    for number in 0..MESSAGES {
        let (listen, record) = (sender.listen, record.clone());
        let client = std::thread::spawn(move || {
            let mut client = Client::connect(listen)?;
            let (message, order) = (id(number), format!("{:016x}", 0x7f3a_0000 + number));
            let answer = client.put(&order, &message, "c=card-order,d=28000,dest=1", &[b'c'; BODY]);
            record.log(format!("client handed in {message}: {answer:?}"));
            answer.filter(|answer| answer.starts_with('+')).map(|_| message)
        });
        if !world.trouble {
            sleep_ms(600);
        }
        clients.push(client);
    }
    let taken: Vec<String> = clients.into_iter().filter_map(|client| client.join().ok().flatten()).collect();
    let ended =
        |message: &String| delivered.lock().unwrap().contains(message) || agent.notice(message).is_some();
    wait_for(Duration::from_secs(35), || taken.iter().all(ended).then_some(()));
    sleep_ms(500);
    sender.copy_log();
    sender.kill();
    if taken.len() < MESSAGES as usize {
        world.end(COULD_NOT_RUN, "the sender did not take all messages on");
    }
    let oversized = calls.lock().unwrap().iter().filter(|call| call.length > MAX_BODY).count();
    let delivered = delivered.lock().unwrap();
    let missing = taken.iter().filter(|message| !delivered.contains(*message)).count();
    let verdict = format!(
        "{oversized} calls with a body of over 64 KiB; {missing} of {} messages that were taken on never reached their destination, which takes each",
        taken.len()
    );
    world.end(if oversized > 0 && missing > 0 { BROKEN } else { HELD }, &verdict)
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
            name: "card-order",
            repeat: "fragile",
            window_ms: 0,
            aim_ms: 2500,
            patience_ms: 28_000,
            in_order: true,
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
