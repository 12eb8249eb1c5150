//! Clients that send commands at full speed, on one connection and on many: other clients are answered, packets get
//! their ends in time, and the memory does not grow.

#[allow(dead_code)] // other tests use the rest of it
mod common;

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use common::harness::{Harness, anonymous_memory};
use common::{http_response, list_entry, serve_http, submit_command, submit_command_for_key};

/// How long clients flood a sender.
const FLOOD: Duration = Duration::from_secs(3);
/// How long a usual client waits for its reply.
const REPLY_TIMEOUT: Duration = Duration::from_millis(400);
/// How long after its time a packet gets its end.
const NOTICE_TIMEOUT: Duration = Duration::from_millis(350);
/// Packets whose ends are watched during a flood, and how far their times are apart.
const WATCHED_PACKETS: u64 = 8;
const WATCHED_INTERVAL: Duration = Duration::from_millis(250);
/// From then on the memory grows by chance only, and by a second chunk of input for each client.
const SETTLED_AFTER: Duration = Duration::from_secs(1);
const MAX_CHANCE_GROWTH: u64 = 1_000_000;
const CHUNK_BYTES: u64 = 4096;
/// The destination that takes calls and answers none.
const SILENT: u64 = 1;

/// The command that a client sends with this number.
type Commands = dyn Fn(u64, u64) -> String + Sync;
/// Commands that a flooding client makes at once.
const COMMANDS_AT_ONCE: u64 = 200;
/// Few, so that the clients leave the sender a core.
const FLOODING_THREADS: u64 = 3;

/// What was seen of a sender during a flood.
#[derive(Debug)]
#[expect(dead_code, reason = "all of it is printed")]
struct Seen {
    /// Replies that the flooding clients got.
    replies: u64,
    /// Longest time to the reply to a usual client.
    longest_reply: Duration,
    /// Longest time from a packet's time to its notice; `None` if a packet had none.
    latest_notice: Option<Duration>,
    /// Growth of the memory after the first second, and the most of it, in bytes.
    growth: u64,
    peak: u64,
}

/// A client that sends commands at full speed and reads whatever it is sent.
struct Flooder<'a> {
    client: u64,
    commands: &'a Commands,
    stream: Option<TcpStream>,
    unsent: Vec<u8>,
    /// Number of commands made so far.
    number: u64,
    replies: u64,
}

impl<'a> Flooder<'a> {
    fn new(client: u64, commands: &'a Commands, sender: SocketAddr) -> Self {
        Flooder {
            client,
            commands,
            stream: TcpStream::connect(sender).ok(),
            unsent: Vec::new(),
            number: 0,
            replies: 0,
        }
    }

    /// Writes, reads and reconnects without waiting; returns whether anything happened.
    fn act(&mut self, sender: SocketAddr, buffer: &mut [u8]) -> bool {
        if self.stream.is_none() {
            self.unsent.clear();
            self.stream = TcpStream::connect(sender).ok();
        }
        let Some(stream) = &mut self.stream else { return false };
        stream.set_nonblocking(true).expect("set the mode");
        if self.unsent.is_empty() {
            let next = self.number + COMMANDS_AT_ONCE;
            self.unsent = (self.number..next)
                .map(|number| (self.commands)(self.client, number))
                .collect::<String>()
                .into_bytes();
            self.number = next;
        }
        let written = stream.write(&self.unsent).unwrap_or(0);
        self.unsent.drain(..written);
        let read = stream.read(buffer);
        let would_block = matches!(&read, Err(error) if error.kind() == ErrorKind::WouldBlock);
        let length = read.unwrap_or(0);
        self.replies += buffer[..length].iter().filter(|byte| **byte == b'\n').count() as u64;
        if length == 0 && !would_block {
            self.stream = None;
        }
        written > 0 || length > 0
    }
}

/// Runs clients on one thread until the time. Returns the number of their replies.
fn run_flooders(mut flooders: Vec<Flooder>, sender: SocketAddr, until: Instant) -> u64 {
    let mut buffer = vec![0; 64 * 1024];
    while Instant::now() < until {
        let busy = flooders.iter_mut().filter_map(|flooder| flooder.act(sender, &mut buffer).then_some(()));
        if busy.count() == 0 {
            sleep(Duration::from_millis(1));
        }
    }
    flooders.iter().map(|flooder| flooder.replies).sum()
}

/// Sends PINGs on new connections and packets on a kept one until stopped. Returns the longest time to a reply.
fn be_usual(sender: SocketAddr, stopped: &AtomicBool) -> Duration {
    let mut kept = TcpStream::connect(sender).expect("connect to the sender");
    let mut longest = Duration::ZERO;
    let mut number = 0;
    let read_timeout = Some(Duration::from_secs(10));
    kept.set_read_timeout(read_timeout).expect("set the read timeout");
    while !stopped.load(Ordering::Relaxed) {
        number += 1;
        let id = format!("usual{number}");
        let put = submit_command(&id, &format!("c=notice,t=acme,d=8000,k={id},dest=7"), "hello");
        for (is_new, command) in [(true, "*1\r\n$4\r\nPING\r\n"), (false, put.as_str())] {
            let started_at = Instant::now();
            let mut new = is_new.then(|| TcpStream::connect(sender).expect("connect to the sender"));
            let stream = new.as_mut().unwrap_or(&mut kept);
            stream.set_read_timeout(read_timeout).expect("set the read timeout");
            stream.write_all(command.as_bytes()).expect("the command is written");
            let length = stream.read(&mut [0; 64]).expect("the sender replies");
            assert!(length > 0, "closed without a reply");
            longest = longest.max(started_at.elapsed());
        }
        sleep(Duration::from_millis(20));
    }
    longest
}

/// Submits the packets that are watched; returns when the time of each ends.
fn submit_watched(sender: SocketAddr) -> Vec<(String, Instant)> {
    let mut stream = TcpStream::connect(sender).expect("connect to the sender");
    let packets = (0..WATCHED_PACKETS).map(|number| {
        let id = format!("watched{number}");
        let patience = SETTLED_AFTER + WATCHED_INTERVAL * number as u32;
        let fields = format!("c=notice,t=acme,d={},k={id},dest={SILENT}", patience.as_millis());
        let ends_at = Instant::now() + patience;
        stream.write_all(submit_command(&id, &fields, "hello").as_bytes()).expect("the command is written");
        let mut reply = [0; 5];
        stream.read_exact(&mut reply).expect("the sender replies");
        assert_eq!(&reply, b"+OK\r\n");
        (id, ends_at)
    });
    packets.collect()
}

/// When the notice of each packet came after the time of the packet; the longest of these, `None` if one has none.
fn watch_notices(harness: &Harness, packets: &[(String, Instant)]) -> Option<Duration> {
    let mut latest = Duration::ZERO;
    for (id, ends_at) in packets {
        let quoted = format!("\"{id}\"");
        while !harness.notices().iter().any(|notice| notice.contains(&quoted)) {
            if ends_at.elapsed() > 4 * NOTICE_TIMEOUT {
                return None;
            }
            sleep(Duration::from_millis(2));
        }
        latest = latest.max(ends_at.elapsed());
    }
    Some(latest)
}

/// Lets so many clients flood a sender with the commands that `commands(client, number)` returns.
fn flood(scenario: &str, clients: u64, commands: &Commands) -> Seen {
    let mut harness = Harness::new(scenario, |_, _| http_response("200 OK", "", ""));
    harness.log_level = "info";
    let silent = serve_http("127.0.0.1:0", |_| {
        sleep(Duration::from_secs(60));
        None
    });
    harness.platform.set_list(&[
        list_entry("e", harness.endpoint_address, 7, "Ready"),
        list_entry("silent", silent, SILENT, "Ready"),
    ]);
    harness.restart_with(&[(r#""memory_mb": 192"#, r#""memory_mb": 32"#)]);
    harness.wait_until("the list", |harness| harness.log().matches("2 entries").count() >= 1);
    let process = harness.sender.as_ref().expect("the sender is running").id();
    let (sender, stopped, replies) = (harness.listen_address, AtomicBool::new(false), AtomicU64::new(0));
    let of_thread = |thread| (thread..clients).step_by(FLOODING_THREADS as usize);
    let flooders = |thread| of_thread(thread).map(|client| Flooder::new(client, commands, sender)).collect();
    let flooders: Vec<Vec<Flooder>> = (0..FLOODING_THREADS).map(flooders).collect();
    let watched = submit_watched(sender);
    let start = Instant::now();
    thread::scope(|scope| {
        let usual = scope.spawn(|| be_usual(sender, &stopped));
        let notices = scope.spawn(|| watch_notices(&harness, &watched));
        for flooders in flooders {
            let replies = &replies;
            scope.spawn(move || {
                replies.fetch_add(run_flooders(flooders, sender, start + FLOOD), Ordering::Relaxed);
            });
        }
        sleep(SETTLED_AFTER);
        let settled = anonymous_memory(process);
        let mut peak = settled;
        while start.elapsed() < FLOOD {
            sleep(Duration::from_millis(20));
            peak = peak.max(anonymous_memory(process));
        }
        let latest_notice = notices.join().expect("no panic");
        stopped.store(true, Ordering::Relaxed);
        let longest_reply = usual.join().expect("no panic");
        Seen { replies: 0, longest_reply, latest_notice, growth: peak - settled, peak }
    })
    .with_replies(replies.into_inner())
}

impl Seen {
    fn with_replies(self, replies: u64) -> Seen {
        Seen { replies, ..self }
    }

    /// Prints what was seen, and returns what it falls short of.
    fn failures(&self, scenario: &str, clients: u64) -> Option<String> {
        println!("{scenario}, {clients} clients: {self:?}");
        let in_time = self.longest_reply <= REPLY_TIMEOUT
            && self.latest_notice.is_some_and(|late| late <= NOTICE_TIMEOUT)
            && self.growth <= MAX_CHANCE_GROWTH + clients * CHUNK_BYTES;
        (!in_time).then(|| format!("{scenario}, {clients} clients: {self:?}"))
    }
}

fn put(id: &str, category: &str, customer: &str, destination: u64) -> String {
    submit_command(id, &format!("c={category},t={customer},d=8000,k={id},dest={destination}"), "hello")
}

/// One flood at a time, so that each sender has a core.
static FLOODS: Mutex<()> = Mutex::new(());

/// Guards against a flood that keeps other clients from their replies and packets from their ends, or grows memory.
fn check_flood(scenario: &str, commands: &Commands) {
    let _alone = FLOODS.lock().unwrap_or_else(PoisonError::into_inner);
    let mut failures = Vec::new();
    for clients in [1, 300] {
        let seen = flood(&format!("{scenario}-{clients}"), clients, commands);
        failures.extend(seen.failures(scenario, clients));
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

#[test]
fn pings_at_full_speed_delay_nobody_else() {
    check_flood("pings", &|_, _| "*1\r\n$4\r\nPING\r\n".to_owned());
}

#[test]
fn unknown_commands_at_full_speed_delay_nobody_else() {
    check_flood("unknown-commands", &|_, number| format!("*2\r\n$4\r\nECHO\r\n$8\r\n{number:08}\r\n"));
}

#[test]
fn unknown_categories_at_full_speed_delay_nobody_else() {
    check_flood("unknown-categories", &|client, number| {
        put(&format!("u{client}-{number}"), &format!("none{number}"), "acme", 7)
    });
}

#[test]
fn unsound_fields_at_full_speed_delay_nobody_else() {
    check_flood("unsound-fields", &|client, number| {
        submit_command(&format!("f{client}-{number}"), "c=,d=,=,", "x")
    });
}

#[test]
fn sound_packets_in_excess_delay_nobody_else() {
    check_flood("sound-packets", &|client, number| put(&format!("s{client}-{number}"), "notice", "acme", 7));
}

#[test]
fn sound_packets_for_a_silent_destination_delay_nobody_else() {
    check_flood("silent-destination", &|client, number| {
        put(&format!("q{client}-{number}"), "notice", "acme", SILENT)
    });
}

#[test]
fn ever_new_keys_destinations_and_customers_delay_nobody_else() {
    check_flood("new-names", &|client, number| match number % 3 {
        0 => put(&format!("d{client}-{number}"), "notice", "acme", 1_000_000 + number),
        1 => put(&format!("c{client}-{number}"), "notice", &format!("customer{number}"), 7),
        _ => {
            let id = format!("k{client}-{number}");
            let fields = format!("c=notice,t=acme,d=8000,k={id},dest={SILENT}");
            submit_command_for_key(&format!("{:016x}", 1 + number), &id, &fields, "hello")
        }
    });
}

/// Guards against a command that has arrived and waits for its turn when the sender stops: it is read and answered.
#[test]
fn commands_that_wait_for_their_turn_at_a_stop_are_answered() {
    const WAITING: usize = 80;
    const STEP: Duration = Duration::from_millis(10);
    let _alone = FLOODS.lock().unwrap_or_else(PoisonError::into_inner);
    let mut harness = Harness::new("stop-in-a-flood", |_, _| http_response("200 OK", "", ""));
    harness.log_level = "info";
    harness.restart_with(&[]);
    let sender = harness.listen_address;
    let connect = |_| TcpStream::connect(sender).expect("connect to the sender");
    let mut waiting: Vec<TcpStream> = (0..WAITING).map(connect).collect();
    let mut silent = connect(0);
    let commands: &Commands = &|client, number| put(&format!("s{client}-{number}"), "notice", "acme", 7);
    let flooders: Vec<Flooder> = (0..300).map(|client| Flooder::new(client, commands, sender)).collect();
    let until = Instant::now() + Duration::from_secs(3);
    thread::scope(|scope| {
        scope.spawn(move || run_flooders(flooders, sender, until));
        sleep(SETTLED_AFTER);
        harness.signal("-TERM");
        let closed = scope.spawn(move || {
            let _ = silent.read(&mut [0; 1]);
            Instant::now()
        });
        let written_at: Vec<Instant> = waiting
            .iter_mut()
            .map(|stream| {
                // Writing to a connection that the sender has closed may fail.
                let _ = stream.write_all(b"*1\r\n$4\r\nPING\r\n");
                let now = Instant::now();
                sleep(STEP);
                now
            })
            .collect();
        let closed_at = closed.join().expect("no panic");
        let mut unanswered = Vec::new();
        for (stream, written_at) in waiting.iter_mut().zip(written_at) {
            stream.set_read_timeout(Some(Duration::from_secs(3))).expect("set the read timeout");
            let is_answered = stream.read(&mut [0; 64]).is_ok_and(|length| length > 0);
            let before_close = closed_at.saturating_duration_since(written_at);
            if !is_answered && before_close > STEP {
                unanswered.push(before_close);
            }
        }
        assert!(unanswered.is_empty(), "closed unanswered, written so long before: {unanswered:?}");
    });
    harness.wait_for_exit();
}
