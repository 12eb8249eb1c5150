//! Clients that leave with much unread, on either side, and come again at once with the same ids: no packet is sent twice
//! that must not be.

#[allow(dead_code)] // other tests use the rest of it
mod common;

use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::thread::sleep;
use std::time::{Duration, Instant};

use socket2::SockRef;

use common::harness::Harness;
use common::{numbered_ok, submit_command};

/// Packets of one client, more than a sender reads at once.
const PACKETS: usize = 200;
const BODY_BYTES: usize = 2000;
/// How long the same ids come again.
const ATTEMPTS: Duration = Duration::from_secs(4);

/// How a client leaves.
#[derive(Clone, Copy, Debug)]
enum Leave {
    /// It closes its connection and has read no reply.
    Close,
    /// It resets its connection.
    Reset,
    /// It ends its side, and closes the connection a moment later.
    HalfClose,
}

fn commands() -> String {
    let body = "b".repeat(BODY_BYTES);
    let command = |number| {
        let id = format!("p{number}");
        submit_command(&id, &format!("c=notice,t=acme,d=8000,k={id},dest=7"), &body)
    };
    (0..PACKETS).map(command).collect()
}

/// Writes as much as the socket takes within a moment, and leaves.
fn write_and_leave(sender: SocketAddr, commands: &str, leave: Leave) {
    let Ok(mut stream) = TcpStream::connect(sender) else { return };
    stream.set_write_timeout(Some(Duration::from_millis(20))).expect("set the write timeout");
    let _ = stream.write_all(commands.as_bytes());
    match leave {
        Leave::Close => {}
        Leave::Reset => {
            SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("set SO_LINGER");
        }
        Leave::HalfClose => {
            let _ = stream.shutdown(Shutdown::Write);
            sleep(Duration::from_millis(5));
        }
    }
}

/// Submits all packets on one connection and reads the replies. Returns how many were accepted.
fn submit_all(sender: SocketAddr, commands: &str) -> usize {
    let Ok(mut stream) = TcpStream::connect(sender) else { return 0 };
    stream.set_read_timeout(Some(Duration::from_secs(2))).expect("set the read timeout");
    let mut writer = stream.try_clone().expect("clone the socket");
    let commands = commands.to_owned();
    let writing = std::thread::spawn(move || drop(writer.write_all(commands.as_bytes())));
    let mut replies = Vec::new();
    let mut buffer = [0; 4096];
    while replies.iter().filter(|byte| **byte == b'\n').count() < PACKETS {
        match stream.read(&mut buffer) {
            Ok(0) => break,
            Ok(length) => replies.extend_from_slice(&buffer[..length]),
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(_) => break,
        }
    }
    writing.join().expect("no panic");
    String::from_utf8_lossy(&replies).lines().filter(|reply| *reply == "+OK").count()
}

/// Plays one way to leave, perhaps with a kill in between, and returns the ids that were received more than once.
fn play(leave: Leave, killed: bool) -> Vec<String> {
    let mut harness = Harness::new(&format!("returning-{leave:?}-{killed}"), |number, _| {
        sleep(Duration::from_millis(3));
        numbered_ok(number)
    });
    harness.restart_with(&[(
        r#""repeat": "dedup", "group": "all", "dedup_window_ms": 25000"#,
        r#""repeat": "fragile""#,
    )]);
    let commands = commands();
    let start = Instant::now();
    let mut accepted = 0;
    for round in 0.. {
        write_and_leave(harness.listen_address, &commands, leave);
        if killed && round % 4 == 1 {
            harness.kill();
            harness.start();
        }
        accepted = accepted.max(submit_all(harness.listen_address, &commands));
        if start.elapsed() > ATTEMPTS {
            break;
        }
    }
    assert_eq!(accepted, PACKETS, "each id is accepted in the end, or was");
    harness.wait_until("each id was received or its client was told of its end", |harness| {
        let (received, notices) = (harness.received_ids(), harness.notices().concat());
        let has_end = |id: &String| received.contains(id) || notices.contains(&format!("\"{id}\""));
        (0..PACKETS).map(|number| format!("p{number}")).all(|id| has_end(&id))
    });
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for id in harness.received_ids() {
        *counts.entry(id).or_default() += 1;
    }
    println!(
        "{leave:?}, killed {killed}: {} ids received, {} notices",
        counts.len(),
        harness.notices().len()
    );
    counts
        .into_iter()
        .filter(|(_, count)| *count > 1)
        .map(|(id, count)| format!("{id} {count} times"))
        .collect()
}

/// Guards against an id that runs twice since its client left and came again.
#[test]
fn an_id_that_comes_again_after_its_client_left_is_sent_once() {
    for leave in [Leave::Close, Leave::Reset, Leave::HalfClose] {
        let twice = play(leave, false);
        assert!(twice.is_empty(), "{leave:?}: {twice:?}");
    }
}

/// Guards against the same through restarts.
#[test]
fn an_id_that_comes_again_through_restarts_is_sent_once() {
    for leave in [Leave::Close, Leave::Reset, Leave::HalfClose] {
        let twice = play(leave, true);
        assert!(twice.is_empty(), "{leave:?}: {twice:?}");
    }
}
