//! A new process at the address of one that has gone: packets go to the process that the list names, and none runs twice.

#[allow(dead_code)] // other tests use the rest of it
mod common;

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::Duration;

use socket2::{Domain, Socket, Type};

use common::harness::Harness;
use common::{Call, list_entry, numbered_ok, submit};

/// An endpoint process: it can be killed, and another one can take its address.
struct EndpointProcess {
    address: SocketAddr,
    received: Arc<Mutex<Vec<String>>>,
    killed: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl EndpointProcess {
    /// Starts a process that answers after a delay.
    fn start(address: &str, delay: Duration) -> EndpointProcess {
        let address: SocketAddr = address.parse().expect("an address");
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("create a socket");
        socket.set_reuse_address(true).expect("set SO_REUSEADDR");
        socket.bind(&address.into()).and_then(|()| socket.listen(128)).expect("listen");
        let listener: std::net::TcpListener = socket.into();
        let process = EndpointProcess {
            address: listener.local_addr().expect("read the local address"),
            received: Arc::default(),
            killed: Arc::default(),
            connections: Arc::default(),
        };
        listener.set_nonblocking(true).expect("set the mode");
        let (received, killed, connections) =
            (process.received.clone(), process.killed.clone(), process.connections.clone());
        thread::spawn(move || {
            while !killed.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    sleep(Duration::from_millis(1));
                    continue;
                };
                stream.set_nonblocking(false).expect("set the mode");
                connections.lock().expect("no panic").push(stream.try_clone().expect("clone the socket"));
                let (received, killed) = (received.clone(), killed.clone());
                thread::spawn(move || serve(stream, &received, &killed, delay));
            }
        });
        process
    }

    /// Ends the process: its listener and all of its connections.
    fn kill(&self) {
        self.killed.store(true, Ordering::SeqCst);
        sleep(Duration::from_millis(20));
        for connection in self.connections.lock().expect("no panic").drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    fn received(&self) -> Vec<String> {
        self.received.lock().expect("no panic").clone()
    }
}

fn serve(stream: TcpStream, received: &Mutex<Vec<String>>, killed: &AtomicBool, delay: Duration) {
    let mut writer = stream.try_clone().expect("clone the socket");
    let mut reader = BufReader::new(stream);
    while let Some(call) = Call::read(&mut reader) {
        let number = {
            let mut received = received.lock().expect("no panic");
            received.push(call.header("X-Call-Id").to_owned());
            received.len()
        };
        sleep(delay);
        let answer = numbered_ok(number).unwrap_or_default();
        if killed.load(Ordering::SeqCst) || writer.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

const UNREPEATABLE: (&str, &str) =
    (r#""repeat": "dedup", "group": "all", "dedup_window_ms": 25000"#, r#""repeat": "fragile""#);

fn put(harness: &Harness, id: &str, destination: u64) -> String {
    let fields = format!("c=notice,t=acme,d=4000,k={id},dest={destination}");
    submit(harness.listen_address, id, &fields, "hello").expect("the sender replies")
}

fn wait_until_received(harness: &Harness, process: &EndpointProcess, ids: &[&str]) {
    harness.wait_until("the packets are received", |_| {
        ids.iter().all(|id| process.received().iter().any(|received| received == id))
    });
}

/// Starts a sender whose destination 7 is served by `process`; calls have been made on kept connections.
fn start(scenario: &str, process: &EndpointProcess) -> Harness {
    let mut harness = Harness::new(scenario, |number, _| numbered_ok(number));
    harness.restart_with(&[UNREPEATABLE]);
    harness.platform.set_list(&[list_entry("old", process.address, 7, "Ready")]);
    harness.wait_until("the list", |harness| harness.log().contains("version 2"));
    for id in ["a", "b"] {
        assert_eq!(put(&harness, id, 7), "+OK");
    }
    wait_until_received(&harness, process, &["a", "b"]);
    harness
}

/// Guards against packets of one destination that go to the process which another one has at its former address.
#[test]
fn packets_do_not_follow_an_address_to_another_destination() {
    let old = EndpointProcess::start("127.0.0.1:0", Duration::ZERO);
    let address = old.address.to_string();
    let harness = start("other-destination", &old);
    old.kill();
    let new = EndpointProcess::start(&address, Duration::ZERO);
    let successor = EndpointProcess::start("127.0.0.1:0", Duration::ZERO);
    harness.platform.set_list(&[list_entry("new", new.address, 8, "Ready")]);
    harness.wait_until("the list", |harness| harness.log().contains("version 3"));
    for id in ["c", "d"] {
        assert_eq!(put(&harness, id, 7), "+OK");
    }
    assert_eq!(put(&harness, "e", 8), "+OK");
    wait_until_received(&harness, &new, &["e"]);
    sleep(Duration::from_millis(200));
    harness.platform.set_list(&[
        list_entry("new", new.address, 8, "Ready"),
        list_entry("successor", successor.address, 7, "Ready"),
    ]);
    wait_until_received(&harness, &successor, &["c", "d"]);
    assert_eq!(new.received(), ["e"], "the others belong to destination 7");
}

/// Guards against a call that is repeated at the process which took over the address while the call was out.
#[test]
fn a_call_to_a_killed_process_is_not_repeated_at_its_successor() {
    let old = EndpointProcess::start("127.0.0.1:0", Duration::ZERO);
    let address = old.address.to_string();
    let harness = start("same-address", &old);
    old.kill();
    let slow = EndpointProcess::start(&address, Duration::from_secs(30));
    for id in ["c", "d"] {
        assert_eq!(put(&harness, id, 7), "+OK");
    }
    wait_until_received(&harness, &slow, &["c", "d"]);
    slow.kill();
    let new = EndpointProcess::start(&address, Duration::ZERO);
    assert_eq!(put(&harness, "e", 7), "+OK");
    wait_until_received(&harness, &new, &["e"]);
    harness.wait_until("the notices", |harness| {
        let notices = harness.notices().concat();
        ["c", "d"].iter().all(|id| notices.contains(&format!("\"{id}\"")))
    });
    assert_eq!(new.received(), ["e"], "what the killed process had may have run");
}
