//! Memory of a sender while hundreds of peers send slowly, in very many short fields, or read nothing: clients, endpoints and
//! discovery at once.

#[allow(dead_code)] // other tests use the rest of it
mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use common::harness::{Harness, memory_in_use};
use common::{http_response, list_entry, submit_command};

/// A third of 1,024 descriptors, which clients may hold.
const CLIENTS: usize = 340;
const THREADS: usize = 4;
/// How long the peers go on.
const SPAN: Duration = Duration::from_secs(3);
/// How long a usual client waits for its reply.
const REPLY_TIMEOUT: Duration = Duration::from_millis(400);
/// Destinations whose endpoints answer badly.
const BAD_DESTINATIONS: u64 = 16;

/// What a bad client does.
#[derive(Clone, Copy, Debug)]
enum Behaviour {
    /// It stops half way through a large command.
    StopsHalfway,
    /// It sends a large command a few bytes at a time.
    Dribbles,
    /// Its command has thousands of short fields.
    ManyFields,
    /// It reads no reply to commands with large ones.
    ReadsNothing,
}

const BEHAVIOURS: [Behaviour; 4] =
    [Behaviour::StopsHalfway, Behaviour::Dribbles, Behaviour::ManyFields, Behaviour::ReadsNothing];

/// Bytes that a bad client sends over and over, and how many of them at once.
fn input(behaviour: Behaviour) -> (Vec<u8>, usize) {
    let fields = "c=notice,t=acme,d=8000,k=bad,dest=7";
    let large = submit_command("bad", fields, &"x".repeat(64 * 1024)).into_bytes();
    match behaviour {
        Behaviour::StopsHalfway => (large[..40_000].to_vec(), 40_000),
        Behaviour::Dribbles => (large, 700),
        Behaviour::ManyFields => {
            let many = "a=b,".repeat(16_000);
            (submit_command("many", &format!("{many}{fields}"), "x").into_bytes(), 16_000)
        }
        Behaviour::ReadsNothing => {
            let echo = "e".repeat(60_000);
            (format!("*2\r\n$4\r\nPING\r\n${}\r\n{echo}\r\n", echo.len()).into_bytes(), 60_000)
        }
    }
}

/// Runs bad clients on one thread until the time, connecting again when a connection is closed.
fn run_bad_clients(behaviours: &[Behaviour], sender: SocketAddr, until: Instant) {
    let inputs = BEHAVIOURS.map(input);
    let mut clients: Vec<(Behaviour, Option<TcpStream>, usize)> =
        behaviours.iter().map(|behaviour| (*behaviour, None, 0)).collect();
    while Instant::now() < until {
        for (behaviour, stream, sent) in &mut clients {
            let (bytes, at_once) = &inputs[*behaviour as usize];
            let open = stream.get_or_insert_with(|| {
                *sent = 0;
                let new = TcpStream::connect(sender).expect("connect to the sender");
                new.set_nonblocking(true).expect("set the mode");
                new
            });
            let stops = matches!(behaviour, Behaviour::StopsHalfway) && *sent == bytes.len();
            if !stops {
                let end = bytes.len().min(*sent + at_once);
                match open.write(&bytes[*sent..end]) {
                    Ok(written) => *sent += written,
                    Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
                    Err(_) => {
                        *stream = None;
                        continue;
                    }
                }
                *sent %= if matches!(behaviour, Behaviour::StopsHalfway) { usize::MAX } else { bytes.len() };
            }
            if !matches!(behaviour, Behaviour::ReadsNothing) {
                let read = open.read(&mut [0; 1024]);
                let would_block =
                    matches!(&read, Err(error) if error.kind() == std::io::ErrorKind::WouldBlock);
                if !would_block && read.unwrap_or(0) == 0 {
                    *stream = None;
                }
            }
        }
        sleep(Duration::from_millis(2));
    }
}

/// A server that answers each call with a head of very many short fields, a few at a time, and never ends it.
fn start_endless_heads() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a listener");
    let address = listener.local_addr().expect("read the local address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let mut stream = stream;
                if stream.read(&mut [0; 4096]).is_ok_and(|read| read > 0) {
                    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\n");
                    while stream.write_all("a: b\r\n".repeat(50).as_bytes()).is_ok() {
                        sleep(Duration::from_millis(1));
                    }
                }
            });
        }
    });
    address
}

/// Submits packets one after the other until stopped. Returns the longest time to a reply.
fn submit_until(stopped: &AtomicBool, sender: SocketAddr) -> Duration {
    let mut longest = Duration::ZERO;
    let mut stream = TcpStream::connect(sender).expect("connect to the sender");
    for number in 0_u64.. {
        if stopped.load(Ordering::Relaxed) {
            break;
        }
        let (id, destination) = (format!("usual{number}"), 7 + number % (BAD_DESTINATIONS + 1));
        let fields = format!("c=notice,t=acme,d=8000,k={id},dest={destination}");
        let sent_at = Instant::now();
        stream.write_all(submit_command(&id, &fields, "hello").as_bytes()).expect("the command is written");
        assert!(stream.read(&mut [0; 64]).expect("the sender replies") > 0, "closed without a reply");
        longest = longest.max(sent_at.elapsed());
        sleep(Duration::from_millis(10));
    }
    longest
}

/// Plays bad clients and peers; returns the most memory and the usual client's longest wait.
fn play(scenario: &str, memory_mb: u64, behaviours: &[Behaviour]) -> (u64, Duration) {
    let mut harness = Harness::new(scenario, |_, _| http_response("200 OK", "", ""));
    harness.log_level = "info";
    let bad_endpoint = start_endless_heads();
    let mut entries = vec![list_entry("e", harness.endpoint_address, 7, "Ready")];
    let bad = (0..BAD_DESTINATIONS).map(|n| list_entry(&format!("bad{n}"), bad_endpoint, 8 + n, "Ready"));
    entries.extend(bad);
    harness.platform.set_list(&entries);
    harness.restart_with(&[(r#""memory_mb": 192"#, &format!(r#""memory_mb": {memory_mb}"#))]);
    harness.wait_until("the list", |harness| harness.log().contains("17 entries"));
    // From now on discovery answers with heads that do not end.
    let endless = start_endless_heads().to_string();
    harness.reload(&harness.config.replace(&harness.discovery_address.to_string(), &endless));
    let process = harness.sender.as_ref().expect("the sender is running").id();
    let (stopped, sender, until) = (AtomicBool::new(false), harness.listen_address, Instant::now() + SPAN);
    let clients: Vec<Behaviour> = behaviours.iter().copied().cycle().take(CLIENTS).collect();
    thread::scope(|scope| {
        let usual = scope.spawn(|| submit_until(&stopped, sender));
        let groups = clients.chunks(CLIENTS.div_ceil(THREADS));
        groups.for_each(|group| _ = scope.spawn(move || run_bad_clients(group, sender, until)));
        let mut most = 0;
        while Instant::now() < until {
            most = most.max(memory_in_use(process, &harness.folder));
            sleep(Duration::from_millis(5));
        }
        stopped.store(true, Ordering::Relaxed);
        (most, usual.join().expect("no panic"))
    })
}

/// Guards against a process that is killed for its memory, or keeps usual clients waiting, by what slow peers make it hold.
#[test]
fn slow_and_greedy_peers_do_not_exceed_the_memory_limit() {
    let mut failures = Vec::new();
    for memory_mb in [32, 192] {
        let mut mixes: Vec<(String, Vec<Behaviour>)> =
            BEHAVIOURS.iter().map(|behaviour| (format!("{behaviour:?}"), vec![*behaviour])).collect();
        mixes.push(("all".to_owned(), BEHAVIOURS.to_vec()));
        for (name, behaviours) in mixes {
            let (most, longest) = play(&format!("peers-{memory_mb}-{name}"), memory_mb, &behaviours);
            println!("{memory_mb} MB, {name}: {} KiB at most, {longest:?}", most / 1024);
            if most > memory_mb * 1_000_000 || longest > REPLY_TIMEOUT {
                failures.push(format!("{memory_mb} MB, {name}: {most} bytes, {longest:?}"));
            }
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}
