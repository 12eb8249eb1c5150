//! Clients that hand in many messages at once, while messages of another client come to the end of their time.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use stand2::endpoint::{self, Calls};
use stand2::http::Answer;
use stand2::settings::{Category, Settings};
use stand2::world::{
    id, sleep_ms, Agent, Client, Instance, Record, Sender, World, BROKEN, COULD_NOT_RUN, HELD, NO_KEY,
};

/// "300 ms after its time is up", and 50 ms more for sockets.
const LATEST: Duration = Duration::from_millis(300 + 50);
/// Under "a third of the descriptors for requests": 341 of 1,024.
const CLIENTS: u64 = 100;
/// "hundreds of commands at once"; each client sends them once.
const AT_ONCE: u64 = 100;
/// The messages whose ends are watched.
const MESSAGES: u64 = 12;

pub fn run(world: World) -> ! {
    let record = world.record.clone();
    let calls: Calls = Arc::default();
    let (_endpoint, address) = endpoint::start("e1", record.clone(), calls.clone(), move |_, _| {
        // The partner service has gone silent: it takes calls and answers none.
        sleep_ms(60_000);
        Answer::Close
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
    let mut client = Client::connect(sender.listen);
    let mut taken = Vec::new();
    for number in 0..MESSAGES {
        let (message, patience) = (id(number), Duration::from_millis(5000 + 250 * number));
        let fields = format!("c=card-order,d={},dest=1", patience.as_millis());
        let sent = Instant::now();
        let answer = client.as_mut().and_then(|client| client.put(NO_KEY, &message, &fields, b"order"));
        record.log(format!("client handed in {message}, {patience:?}: {answer:?}"));
        if answer.is_some_and(|answer| answer.starts_with('+')) {
            taken.push((message, sent + patience));
        }
    }
    sleep_ms(4800);
    let answered = Arc::new(AtomicU64::new(0));
    if world.trouble {
        record.log(format!("{CLIENTS} clients send {AT_ONCE} commands each"));
        for number in 0..CLIENTS {
            let (listen, answered, record) = (sender.listen, answered.clone(), record.clone());
            std::thread::spawn(move || hand_in_many(listen, 1000 * (number + 1), &answered, &record));
        }
    }
    // Another usual client asks all the time whether the sender answers at all.
    let (listen, asks) = (sender.listen, record.clone());
    std::thread::spawn(move || loop {
        let asked = Instant::now();
        let answer = Client::connect(listen).and_then(|mut client| client.ping());
        if asked.elapsed() > Duration::from_millis(100) {
            asks.log_at(asked, format!("PING: {answer:?} after {:?}", asked.elapsed()));
        }
        sleep_ms(50);
    });
    sleep_ms(6000);
    record.log(format!("{} commands of the burst were answered", answered.load(Ordering::Relaxed)));
    let alive = !sender.has_ended();
    sender.copy_log();
    sender.kill();
    let mut lost = 0;
    for (message, end) in &taken {
        let ended = agent.notice(message).map(|(at, _)| at);
        let after = ended.map(|at| at.saturating_duration_since(*end));
        let verdict = if ended.is_some_and(|at| at <= *end + LATEST) { "in time" } else { "lost" };
        record.log(format!("{message}: its notice came {after:?} after its time: {verdict}"));
        lost += u32::from(verdict == "lost");
    }
    if taken.len() < MESSAGES as usize || !alive || calls.lock().unwrap().is_empty() {
        world.end(COULD_NOT_RUN, "the sender did not take the messages on, or ended");
    }
    let count = taken.len();
    if lost > 0 {
        world.end(BROKEN, &format!("{lost} of {count} messages had no end 350 ms after their time"));
    }
    world.end(HELD, &format!("{count} of {count} messages had their end in time"))
}

/// Hands in messages with one write, then reads the answers.
fn hand_in_many(listen: SocketAddr, first: u64, answered: &AtomicU64, record: &Record) {
    let Ok(mut stream) = TcpStream::connect(listen) else { return };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(10)));
    let fields = "c=card-order,d=20000,dest=1";
    let mut commands = Vec::new();
    for number in 0..AT_ONCE {
        let message = id(first + number);
        let command = format!(
            "*5\r\n$7\r\nMSG.PUT\r\n$16\r\n{NO_KEY}\r\n$16\r\n{message}\r\n${}\r\n{fields}\r\n$5\r\norder\r\n",
            fields.len()
        );
        commands.extend_from_slice(command.as_bytes());
    }
    let sent = Instant::now();
    let (mut lines, mut input) = (0, vec![0; 16 * 1024]);
    if stream.write_all(&commands).is_ok() {
        while lines < AT_ONCE {
            match stream.read(&mut input) {
                Ok(0) | Err(_) => break,
                Ok(length) => lines += input[..length].iter().filter(|byte| **byte == b'\n').count() as u64,
            }
        }
    }
    answered.fetch_add(lines, Ordering::Relaxed);
    record
        .log_at(sent, format!("client sent {AT_ONCE}: {lines} answers, the last after {:?}", sent.elapsed()));
}

fn settings() -> Settings {
    Settings {
        senders: 2,
        slots: 32,
        held: 64,
        kinds: &["major-partner"],
        batch: &[1],
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
