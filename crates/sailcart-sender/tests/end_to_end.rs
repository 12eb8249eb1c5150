//! The sender as a process between clients, endpoints, discovery and the platform, all on loopback.

use std::fs;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::{Command, Stdio};
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use sailcart::DestinationId;
use sailcart_sender::memory::Packet;
use sailcart_sender::memory::ledger::Ledger;
use sailcart_sender::memory::moment::Moment;

#[allow(dead_code)] // each test file uses a part of this module
mod common;

use common::harness::{CONFIG, Harness};
use common::{Platform, http_response, list_entry, numbered_ok, send_command, submit};

/// An accepted packet is dispatched in one call, with its id and body, and causes no notice.
#[test]
fn accepted_packet_is_delivered_once() {
    let harness = Harness::new("delivered", |_, call| {
        let expected = call.start == "POST /receive HTTP/1.1" && call.header("Idempotency-Key") == "a1";
        if expected && call.body == b"hello" {
            http_response("200 OK", "", "ok")
        } else {
            http_response("400 Bad", "", "")
        }
    });
    assert_eq!(harness.submit("a1"), "+OK");
    harness.wait_until("the call", |harness| harness.received_ids() == ["a1"]);
    sleep(Duration::from_millis(300));
    assert_eq!((harness.received_ids().len(), harness.notices().len()), (1, 0));
}

/// A packet is dispatched again after a 429 with Retry-After, not before that wait has passed, and after its
/// connection was closed without a response.
#[test]
fn packet_is_repeated_after_retry_after_and_after_a_reset() {
    let harness = Harness::new("again", |number, _| match number {
        0 => http_response("429 Too Many Requests", "Retry-After: 0.4\r\n", ""),
        1 => None,
        _ => http_response("200 OK", "", ""),
    });
    let start = Instant::now();
    assert_eq!(harness.submit("a1"), "+OK");
    harness.wait_until("the second call", |harness| harness.received_ids().len() >= 2);
    assert!(start.elapsed() >= Duration::from_millis(400));
    harness.wait_until("the third call", |harness| harness.received_ids().len() == 3);
    assert!(harness.log().contains("code=peer_closed"));
}

/// Malformed responses must not keep a call open until it times out. A status line with 200 completes a
/// single packet, whatever follows. Any other malformed response ends its call at once, as one that may have
/// been executed. The connection of such a response is not used again.
#[test]
fn malformed_responses_end_their_call_at_once() {
    let harness = Harness::new("malformed", |number, _| {
        Some(match number {
            0 => "HTTP/1.1 200 OK\r\n\u{1}\u{2} no head".to_owned(),
            1 => "\0\0 noise".to_owned(),
            2 => "HTTP/1.1 503 No\r\nContent-Length: -7\r\n\r\n".to_owned(),
            3 => "HTTP/1.1 429 No\r\nRetry-After: 9\r\nContent-Length: 3000000000\r\n\r\nxxx".to_owned(),
            4 => "HTTP/1.1 500 No\r\nContent-Length: 5\r\n\r\nx".to_owned(),
            5 => "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-Load-Report: \u{1}\r\nContent-Length: 0\r\n\r\n".to_owned(),
            6 => "HTTP/1.1 200 OK\r\nX-Without-End: ".to_owned(),
            _ => http_response("200 OK", "", "")?,
        })
    });
    let start = Instant::now();
    assert_eq!(harness.submit("a1"), "+OK");
    harness.wait_until("the completion", |harness| harness.log().contains("packet a1 from"));
    assert_eq!(harness.submit("b2"), "+OK");
    let calls = ["a1", "b2", "b2", "b2", "b2", "b2"];
    harness.wait_until("the calls", |harness| harness.received_ids() == calls);
    assert!(start.elapsed() < Duration::from_secs(6), "{:?}", start.elapsed());
    harness.wait_until("the response", |harness| {
        harness.log().contains("packet b2 from") && harness.log().contains("Done")
    });
    assert_eq!(harness.submit("c3"), "+OK");
    harness.wait_until("the completion", |harness| harness.log().contains("packet c3 from"));
    sleep(Duration::from_millis(600));
    assert_eq!(
        harness.received_ids().len(),
        calls.len() + 1,
        "a packet that was answered 200 was dispatched again"
    );
    assert!(harness.log().contains("code=malformed"));
}

/// An endpoint that gets the address of a removed one is called on new connections: an idle connection may
/// still lead to the old one.
#[test]
fn endpoint_at_a_reused_address_gets_new_connections() {
    let harness = Harness::new("replaced", |_, _| None);
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a listener");
    let address = listener.local_addr().expect("read the local address");
    let (call_sender, calls) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        for (number, stream) in listener.incoming().flatten().enumerate() {
            let call_sender = call_sender.clone();
            std::thread::spawn(move || {
                let mut stream = stream;
                while stream.read(&mut [0; 4096]).is_ok_and(|read| read > 0) {
                    call_sender.send(number).expect("the test is running");
                    sleep(Duration::from_millis(300));
                    stream
                        .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                        .expect("the response is written");
                }
            });
        }
    });
    for (version, name, connection) in [(2, "f", 0), (3, "f", 0), (4, "g", 1), (5, "g", 1)] {
        harness.platform.set_list(&[list_entry(name, address, 7, "Ready")]);
        harness.wait_until("the list update", |harness| {
            harness.log().contains(&format!("discovery: version {version}"))
        });
        sleep(Duration::from_millis(500)); // calls in flight to a removed endpoint have completed
        assert_eq!(harness.submit(&format!("a{version}")), "+OK");
        assert_eq!(calls.recv_timeout(Duration::from_secs(5)), Ok(connection), "version {version}");
    }
}

/// An endpoint may close a connection as soon as it is idle. No call may be sent on a connection that is
/// closed already, since it would be lost.
#[test]
fn no_call_is_sent_on_a_connection_closed_by_its_peer() {
    let harness = Harness::new("closed", |_, _| None);
    let endpoint = TcpListener::bind("127.0.0.1:0").expect("bind a listener");
    harness.platform.set_list(&[list_entry(
        "f",
        endpoint.local_addr().expect("read the local address"),
        7,
        "Ready",
    )]);
    let calls = std::thread::spawn(move || {
        for _ in 0..3 {
            let (mut stream, _) = endpoint.accept().expect("accept a connection");
            let read = stream.read(&mut [0; 4096]).expect("read a call");
            assert!(read > 0, "a connection without a call");
            stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").expect("write to the socket");
        }
    });
    harness.wait_until("the list update", |harness| harness.log().contains("discovery: version 2"));
    for id in ["a1", "a2", "a3"] {
        assert_eq!(harness.submit(id), "+OK");
        sleep(Duration::from_millis(100));
    }
    harness.wait_until("all calls", |_| calls.is_finished());
    assert!(!harness.log().contains("Reset after"), "{}", harness.log());
}

/// A packet is in the journal before `+OK` is sent: after SIGKILL the next process delivers it, once, and the
/// process after that finds an empty journal.
#[test]
fn accepted_packet_survives_sigkill() {
    let mut harness = Harness::new("killed", |number, _| {
        if number == 0 {
            sleep(Duration::from_secs(20));
        }
        http_response("200 OK", "", "")
    });
    assert_eq!(harness.submit("a1"), "+OK");
    harness.wait_until("the first call", |harness| harness.received_ids().len() == 1);
    harness.kill();
    harness.start();
    harness.wait_until("the call of the second process", |harness| harness.received_ids() == ["a1", "a1"]);
    harness.wait_until("the recovery", |harness| harness.log().contains("recovery: 1 packets"));
    sleep(Duration::from_millis(100));
    harness.kill();
    harness.start();
    harness
        .wait_until("an empty journal", |harness| harness.log().contains("recovery: 0 packets, 0 notices"));
    assert_eq!((harness.received_ids().len(), harness.notices().len()), (2, 0));
}

/// No accepted packet is lost, whenever SIGKILL arrives.
#[test]
fn all_accepted_packets_survive_repeated_sigkill() {
    let mut harness = Harness::new("kills", |number, _| {
        sleep(Duration::from_millis(30));
        numbered_ok(number)
    });
    let mut accepted_ids = Vec::new();
    for (process_number, delay_ms) in [1, 12, 25, 45].into_iter().enumerate() {
        for number in 0..6 {
            let id = format!("{process_number}-{number}");
            assert_eq!(harness.submit(&id), "+OK");
            accepted_ids.push(id);
        }
        sleep(Duration::from_millis(delay_ms));
        harness.kill();
        harness.start();
    }
    harness.wait_until("a call for each", |harness| {
        accepted_ids.iter().all(|id| harness.received_ids().contains(id))
    });
    harness.wait_until("an empty journal", |harness| harness.received_ids().len() >= accepted_ids.len());
    assert_eq!(harness.notices().len(), 0);
}

/// The wall clock may have been set back between two processes. A call with a time in the future was sent at
/// an unknown time, so its packet must not be repeated as if the deduplication window were open for another
/// hour.
#[test]
fn call_with_a_future_time_is_not_repeated() {
    let mut harness = Harness::new("clock", |_, _| http_response("200 OK", "", ""));
    harness.kill();
    let future =
        SystemTime::now().duration_since(UNIX_EPOCH).expect("read the clock") + Duration::from_secs(3600);
    let mut ledger = Ledger::open(&harness.folder, 3_000_000, 100, sailcart_store::SyncPolicy::None)
        .expect("open the journal");
    let number = ledger.next_number();
    let packet = Packet {
        number,
        id: "a1".into(),
        category: "notice".into(),
        customer: None,
        idempotency_key: Some("a1".into()),
        order_key: None,
        destination: DestinationId(7),
        deadline: Moment::by_wall_clock(future + Duration::from_secs(20)),
        body: b"hello"[..].into(),
    };
    ledger.accept(packet).expect("the journal has capacity");
    ledger.record_dispatch(&[number], Moment::by_wall_clock(future)).expect("the journal has capacity");
    drop(ledger);
    harness.start();
    harness.wait_until("the notice", |harness| !harness.notices().is_empty());
    assert!(harness.notices()[0].contains("handed_back"), "{:?}", harness.notices());
    assert_eq!(harness.received_ids(), [""; 0], "it was dispatched again");
}

/// An unrepeatable packet that may have been executed is scrapped, and the platform is notified, by a later
/// process if it does not accept the notice before.
#[test]
fn unrepeatable_packet_is_scrapped_after_sigkill() {
    let mut harness = Harness::new("scrapped", |_, _| {
        sleep(Duration::from_secs(20));
        None
    });
    harness.kill();
    harness.config = harness.config.replace(r#""repeat": "dedup""#, r#""repeat": "fragile""#);
    harness.start();
    assert_eq!(harness.submit("a1"), "+OK");
    harness.wait_until("the call", |harness| harness.received_ids().len() == 1);
    harness.kill();
    harness.platform.reject_notices.store(true, Ordering::Relaxed);
    harness.start();
    harness.wait_until("the notice", |harness| harness.log().contains("notices: code=not_told"));
    harness.kill();
    harness.platform.reject_notices.store(false, Ordering::Relaxed);
    harness.start();
    harness.wait_until("the notice", |harness| !harness.notices().is_empty());
    assert_eq!(harness.notices(), [r#"{"message":"a1","outcome":"given_up"}"#]);
    assert_eq!(harness.received_ids().len(), 1);
}

/// On SIGTERM, calls in flight complete, new packets are rejected, and the process ends by itself.
#[test]
fn stop_completes_calls_in_flight() {
    let mut harness = Harness::new("stopped", |_, _| {
        sleep(Duration::from_millis(900));
        http_response("200 OK", "", "")
    });
    assert_eq!(harness.submit("a1"), "+OK");
    harness.wait_until("the call", |harness| harness.received_ids().len() == 1);
    let pid = harness.sender.as_ref().expect("the sender is running").id().to_string();
    assert!(Command::new("kill").arg(pid).status().expect("run kill").success());
    harness.wait_until("the stop", |harness| harness.log().contains("code=sigterm"));
    assert_eq!(harness.submit("b2"), "-BUSY 2000");
    let elapsed = {
        let mut sender = harness.sender.take().expect("the sender is running");
        let start = Instant::now();
        assert!(sender.wait().expect("wait for the process").success());
        start.elapsed()
    };
    assert!(elapsed < Duration::from_secs(3), "{elapsed:?}");
    harness.start();
    harness
        .wait_until("an empty journal", |harness| harness.log().matches("recovery: 0 packets").count() == 2);
    assert_eq!(harness.received_ids(), ["a1"]);
}

/// A sender without calls in flight has nothing to wait for on SIGTERM.
#[test]
fn idle_sender_stops_at_once() {
    let mut harness = Harness::new("idle", |_, _| http_response("200 OK", "", ""));
    assert!(harness.terminate() < Duration::from_secs(2));
}

/// No packet is dispatched to an endpoint that drains or has left the list.
#[test]
fn draining_endpoint_gets_no_packets() {
    let harness = Harness::new("drained", |_, _| http_response("200 OK", "", ""));
    harness.platform.set_list(&[list_entry("e", harness.endpoint_address, 7, "Terminating")]);
    harness.wait_until("the list update", |harness| harness.log().contains("discovery: version 2"));
    assert_eq!(harness.submit("a1"), "+OK");
    sleep(Duration::from_millis(300));
    assert_eq!(harness.received_ids().len(), 0);
    harness.platform.set_list(&[list_entry("f", harness.endpoint_address, 7, "Ready")]);
    harness.wait_until("the call", |harness| harness.received_ids() == ["a1"]);
}

/// A destination whose only endpoint was draining when it was first listed is known. Its clients once got
/// "unknown destination".
#[test]
fn destination_with_only_draining_endpoints_is_known() {
    let harness = Harness::new("drains", |_, _| http_response("200 OK", "", ""));
    harness.platform.set_list(&[list_entry("g", harness.endpoint_address, 9, "Terminating")]);
    harness.wait_until("the list update", |harness| harness.log().contains("discovery: version 2"));
    let fields = "c=notice,t=acme,d=8000,k=a1,dest=9";
    assert_eq!(submit(harness.listen_address, "a1", fields, "hello").as_deref().ok(), Some("+OK"));
}

/// On SIGHUP, an invalid file changes nothing. A new address of discovery is used at once, even while a watch
/// is held at the old address, and notices are sent to the new one.
#[test]
fn reload_moves_discovery() {
    let mut harness = Harness::new("moved", |_, _| None);
    let (new_discovery, platform) = Platform::start("127.0.0.1:0");
    (0..2).for_each(|_| platform.set_list(&[list_entry("f", harness.endpoint_address, 8, "Ready")]));
    harness.reload(&harness.config.replace(r#""call_slots": 8"#, r#""call_slots": 0"#));
    let rejected =
        "the old configuration stays in force, code=faulty settings: expected more than 0 in call_slots";
    harness.wait_until("the rejected reload", |harness| harness.log().contains(rejected));
    harness.config =
        harness.config.replace(&harness.discovery_address.to_string(), &new_discovery.to_string());
    harness.platform.reject_notices.store(true, Ordering::Relaxed);
    let start = Instant::now();
    harness.reload(&harness.config);
    harness.wait_until("the new list", |harness| harness.log().contains("discovery: version 2, 1 entries"));
    assert!(
        start.elapsed() < Duration::from_secs(1),
        "the sender waited for the watch held at the old address"
    );
    let fields = "c=notice,t=acme,d=700,dest=8";
    assert_eq!(submit(harness.listen_address, "a1", fields, "").expect("the sender replies"), "+OK");
    harness.wait_until("the notice", |_| !platform.notices.lock().expect("no panic").is_empty());
    assert_eq!(harness.notices().len(), 0);
}

/// Discovery that answers 503 is not called again at once, the list stays in force, and one log line reports
/// the failure. A change of its address takes effect during the backoff delay.
#[test]
fn overloaded_discovery_is_called_less_often() {
    let mut harness = Harness::new("overloaded-discovery", |_, _| http_response("200 OK", "", ""));
    harness.platform.overloaded.store(true, Ordering::Relaxed);
    harness.platform.set_list(&[list_entry("e", harness.endpoint_address, 7, "Ready")]);
    let rejected_calls = |harness: &Harness| harness.platform.rejected_list_requests.load(Ordering::Relaxed);
    harness.wait_until("the first rejected call", |harness| rejected_calls(harness) > 0);
    sleep(Duration::from_secs(2));
    assert!(
        rejected_calls(&harness) <= 3,
        "discovery was called {} times in two seconds",
        rejected_calls(&harness)
    );
    assert_eq!(harness.log().matches("code=no_list").count(), 1);
    assert_eq!(harness.submit("a1"), "+OK");
    harness.wait_until("the call", |harness| harness.received_ids() == ["a1"]);
    let (new_discovery, platform) = Platform::start("127.0.0.1:0");
    (0..3).for_each(|_| platform.set_list(&[list_entry("e", harness.endpoint_address, 7, "Ready")]));
    harness.config =
        harness.config.replace(&harness.discovery_address.to_string(), &new_discovery.to_string());
    harness.reload(&harness.config);
    let start = Instant::now();
    harness.wait_until("the new list", |harness| harness.log().contains("discovery: version 3, 1 entries"));
    assert!(start.elapsed() < Duration::from_secs(1), "the sender waited for the backoff delay");
}

/// An outdated list and a truncated one are rejected: the known list stays in force, each failure is logged
/// in one line, and the full list is requested.
#[test]
fn invalid_lists_are_rejected() {
    let harness = Harness::new("invalid-lists", |_, _| http_response("200 OK", "", ""));
    let invalid_lists =
        [r#"{"generation":0,"reset":true,"instances":[]}"#, r#"{"generation":9,"reset":true,"inst"#];
    for (index, invalid_list) in invalid_lists.into_iter().enumerate() {
        let version = format!("discovery: version {}, 1 entries", index + 2);
        harness.platform.set_list_and_next_response(
            &[list_entry("e", harness.endpoint_address, 7, "Ready")],
            invalid_list.to_owned(),
        );
        harness.wait_until("the full list again", |harness| harness.log().matches(&version).count() == 2);
        assert_eq!(harness.log().matches("code=no_list").count(), index + 1);
    }
    assert!(!harness.log().contains("discovery: version 0"));
    assert_eq!(harness.submit("a1"), "+OK");
    harness.wait_until("the call", |harness| harness.received_ids() == ["a1"]);
}

/// All senders may start at once while discovery is unreachable: a sender uses the last known list from its
/// configuration and logs one line.
#[test]
fn sender_starts_while_discovery_is_unreachable() {
    let mut harness = Harness::new("discovery-unreachable", |_, _| http_response("200 OK", "", ""));
    harness.kill();
    let known_list = format!(
        r#""generation": 5, "reset": true, "instances": [{}]"#,
        list_entry("e", harness.endpoint_address, 7, "Ready")
    );
    let unreachable = TcpListener::bind("127.83.2.1:0")
        .and_then(|socket| socket.local_addr())
        .expect("read the local address");
    let config = harness.config.replace(r#""generation": 0, "reset": true, "instances": []"#, &known_list);
    harness.config = config.replace(&harness.discovery_address.to_string(), &unreachable.to_string());
    fs::write(harness.folder.join("log"), "").expect("empty the log");
    harness.start();
    assert_eq!(harness.submit("a1"), "+OK");
    harness.wait_until("the call", |harness| harness.received_ids() == ["a1"]);
    sleep(Duration::from_secs(1));
    assert_eq!(harness.log().matches("code=no_list").count(), 1);
}

/// A limit reported in responses has to reach the decision module. One of a hundred senders starts at one
/// call per second and is allowed a higher rate by the reported limit.
#[test]
fn limits_reported_in_responses_are_applied() {
    let report = |number: usize| format!("X-Load-Report: x0=0.{},x1=100\r\n", 99 - number);
    let mut harness =
        Harness::new("reported-limit", move |number, _| http_response("200 OK", &report(number), ""));
    harness.kill();
    let hundred_senders = r#""balancers": 100, "report": { "how": "answers", "columns": ["x0", "x1"] },"#;
    harness.config = harness.config.replace(r#""balancers": 1,"#, hundred_senders);
    harness.start();
    let start = Instant::now();
    (0..6).for_each(|number| assert_eq!(harness.submit(&format!("a{number}")), "+OK"));
    harness.wait_until("all calls", |harness| harness.received_ids().len() == 6);
    assert!(
        start.elapsed() < Duration::from_secs(3),
        "without the reported limit it takes more than four seconds"
    );
}

/// A duplicate submission gets the reply of the first one and does not affect the packet, also when the
/// packet is completed already.
#[test]
fn duplicate_submission_does_not_affect_its_packet() {
    let harness = Harness::new("duplicate", |_, _| http_response("200 OK", "", ""));
    let arguments = ["MSG.PUT", "0", "a1", "c=notice,t=acme,d=8000,dest=7", ""];
    let bulk = |argument: &str| format!("${}\r\n{argument}\r\n", argument.len());
    let command = format!("*5\r\n{}", arguments.map(bulk).concat());
    let mut clients: Vec<_> =
        (0..4).map(|_| TcpStream::connect(harness.listen_address).expect("connect to the sender")).collect();
    clients
        .iter_mut()
        .for_each(|client| client.write_all(command.as_bytes()).expect("the command is written"));
    for client in &mut clients {
        let mut reply = [0; 5];
        client.read_exact(&mut reply).expect("the sender replies");
        assert_eq!(&reply, b"+OK\r\n");
    }
    harness.wait_until("the call", |harness| harness.received_ids() == ["a1"]);
    sleep(Duration::from_millis(100));
    assert_eq!(harness.submit("a1"), "+OK", "a duplicate of a completed packet");
    sleep(Duration::from_millis(100));
    assert_eq!(harness.received_ids(), ["a1"]);
}

/// Malformed, oversized, slow and unknown commands each get an error reply, are logged at a bounded rate, and
/// do not affect other clients.
#[test]
fn invalid_input_gets_an_error_reply() {
    let harness = Harness::new("bad", |_, _| http_response("200 OK", "", ""));
    assert_eq!(
        send_command(harness.listen_address, "GET / HTTP/1.1\r\n\r\n").expect("the sender replies"),
        "-ERR expected an array of bulk strings"
    );
    assert_eq!(
        send_command(harness.listen_address, "*1\r\n$999999\r\n").expect("the sender replies"),
        "-ERR too large"
    );
    assert_eq!(
        send_command(harness.listen_address, "*1\r\n$4\r\nPI").expect("the sender replies"),
        "-ERR slow"
    );
    assert_eq!(
        send_command(harness.listen_address, "*1\r\n$5\r\nHELLO\r\n").expect("the sender replies"),
        "-ERR unknown command"
    );
    let mut malformed_client = TcpStream::connect(harness.listen_address).expect("connect to the sender");
    malformed_client.set_read_timeout(Some(Duration::from_secs(5))).expect("set the read timeout");
    malformed_client.write_all(b"*2\r\n$7\r\nMSG.PUT\r\n$1\r\n0\r\n").expect("the command is written");
    let mut reply = String::new();
    malformed_client.read_to_string(&mut reply).expect("read until the end of the stream");
    assert_eq!(reply, "-ERR wrong number of arguments\r\n");
    let mut slow_client = TcpStream::connect(harness.listen_address).expect("connect to the sender");
    let start = Instant::now();
    slow_client.write_all(b"*1\r\n$600\r\n").expect("the command is written");
    while slow_client.write_all(b"x").is_ok() && start.elapsed() < Duration::from_secs(5) {
        sleep(Duration::from_millis(200));
    }
    assert!(
        start.elapsed() < Duration::from_secs(5),
        "a client that sends single bytes keeps its connection"
    );
    let unknown_category =
        submit(harness.listen_address, "a1", "c=other,t=acme,d=8000,dest=7", "").expect("the sender replies");
    assert_eq!(unknown_category, "-ERR unknown category");
    let unknown_destination = submit(harness.listen_address, "a1", "c=notice,t=acme,d=8000,dest=70000", "")
        .expect("the sender replies");
    assert_eq!(unknown_destination, "-ERR unknown destination");
    let mut persistent_client = TcpStream::connect(harness.listen_address).expect("connect to the sender");
    persistent_client
        .write_all("*1\r\n$5\r\nHELLO\r\n".repeat(300).as_bytes())
        .expect("the command is written");
    persistent_client.shutdown(std::net::Shutdown::Write).expect("shut down the write side");
    persistent_client.read_to_string(&mut String::new()).expect("read until the end of the stream");
    harness.wait_until("the counts of the replies", |harness| {
        harness.log().contains("answers=300 turned_away=300")
    });
    assert!(harness.log().matches("code=unknown_command").count() < 5);
    harness.wait_until("a log line for each error", |harness| {
        ["code=malformed", "code=oversized", "code=slow"].iter().all(|code| harness.log().contains(code))
    });
    assert_eq!(harness.submit("a1"), "+OK");
}

/// Hundreds of pipelined commands are answered in order, without a round of waiting for each, also when the
/// client has shut down its sending side. Malformed input after them gets an error reply.
#[test]
fn pipelined_commands_are_answered_in_order() {
    let mut harness = Harness::new("together", |_, _| http_response("200 OK", "", ""));
    harness.kill();
    harness.config = harness.config.replace(r#""period_ms": 5"#, r#""period_ms": 50"#);
    harness.start();
    let mut client = TcpStream::connect(harness.listen_address).expect("connect to the sender");
    let submission = |number: usize| {
        let (id, fields) = (format!("a{number}"), "c=notice,t=acme,d=8000,dest=7");
        let bulk = |argument: &str| format!("${}\r\n{argument}\r\n", argument.len());
        format!("*5\r\n{}", ["MSG.PUT", "0", &id, fields, ""].map(bulk).concat())
    };
    let submissions: String = (0..40).map(submission).collect();
    let pings = "*1\r\n$4\r\nPING\r\n".repeat(600);
    let start = Instant::now();
    client.write_all(format!("{submissions}{pings}nonsense\r\n").as_bytes()).expect("the command is written");
    client.shutdown(std::net::Shutdown::Write).expect("shut down the write side");
    let mut replies = String::new();
    client.read_to_string(&mut replies).expect("read until the end of the stream");
    let error_reply = "-ERR expected an array of bulk strings\r\n";
    assert_eq!(replies, format!("{}{}{error_reply}", "+OK\r\n".repeat(40), "+PONG\r\n".repeat(600)));
    assert!(start.elapsed() < Duration::from_secs(1), "{:?}", start.elapsed());
}

/// Two senders that used one state folder would truncate each other's records, so the second one fails to
/// start.
#[test]
fn second_sender_on_a_folder_fails_to_start() {
    let harness = Harness::new("shared", |_, _| http_response("200 OK", "", ""));
    let mut second = Command::new(env!("CARGO_BIN_EXE_sailcart"));
    let second = second.arg("serve").arg("--config").arg(harness.folder.join("config.json")).output();
    let second = second.expect("run sailcart");
    let stderr = String::from_utf8_lossy(&second.stderr).into_owned();
    assert!(!second.status.success() && stderr.contains("is in use by another sender"), "{stderr}");
    assert_eq!(harness.submit("a1"), "+OK");
}

/// A packet that does not fit into the state folder is rejected, and the reply to its client requests a
/// delay before it is submitted again.
#[test]
fn packet_beyond_the_folder_capacity_is_dismissed() {
    let mut harness = Harness::new("folder-capacity", |_, _| http_response("200 OK", "", ""));
    harness.kill();
    harness.config = harness.config.replace(r#""disk_mb": 3"#, r#""disk_mb": 0.02"#);
    harness.start();
    let fields = "c=notice,t=acme,d=8000,dest=7";
    assert_eq!(
        submit(harness.listen_address, "a1", fields, &"x".repeat(6000)).expect("the sender replies"),
        "-BUSY 2000"
    );
    assert_eq!(
        submit(harness.listen_address, "a2", fields, &"x".repeat(600)).expect("the sender replies"),
        "+OK"
    );
    harness.wait_until("the call", |harness| harness.received_ids() == ["a2"]);
}

/// When the limit of open sockets is reached, a new client is accepted and the connection that was idle for
/// longest is closed.
#[test]
fn client_connections_are_bounded() {
    let mut harness = Harness::new("bounded", |_, _| http_response("200 OK", "", ""));
    harness.kill();
    harness.config = harness.config.replace(r#""sockets": 1024"#, r#""sockets": 56"#);
    harness.start();
    let sockets = format!("/proc/{}/fd", harness.sender.as_ref().expect("the sender is running").id());
    let count_open = || fs::read_dir(&sockets).expect("list the descriptors").count();
    let mut idle_clients: Vec<TcpStream> = Vec::new();
    let mut max_open = 0;
    for _ in 0..200 {
        idle_clients.push(TcpStream::connect(harness.listen_address).expect("connect to the sender"));
        max_open = max_open.max(count_open());
    }
    assert_eq!(harness.submit("a1"), "+OK");
    assert!(max_open <= 56, "{max_open} descriptors are open");
    assert!(harness.log().contains("code=evicted"));
}

/// A connection whose first command is on its way must not be evicted while there is one that has been
/// answered. Found on the recorded day curridabat-nuevo, on which very many clients connected.
#[test]
fn connection_with_a_pending_first_command_is_not_evicted() {
    let mut harness = Harness::new("eviction", |_, _| http_response("200 OK", "", ""));
    harness.kill();
    harness.config = harness.config.replace(r#""sockets": 1024"#, r#""sockets": 56"#);
    harness.start();
    let ping = "*1\r\n$4\r\nPING\r\n";
    let mut unanswered = TcpStream::connect(harness.listen_address).expect("connect to the sender");
    sleep(Duration::from_millis(2500));
    let answered: Vec<TcpStream> = (0..40)
        .map(|_| {
            let mut stream = TcpStream::connect(harness.listen_address).expect("connect to the sender");
            stream
                .write_all(ping.as_bytes())
                .and_then(|()| stream.read_exact(&mut [0; 7]))
                .expect("the sender replies");
            stream
        })
        .collect();
    unanswered.write_all(ping.as_bytes()).expect("the command is written");
    let mut reply = [0; 7];
    unanswered.read_exact(&mut reply).expect("the sender replies");
    assert_eq!((&reply, answered.len()), (b"+PONG\r\n", 40));
    assert!(harness.log().contains("code=evicted answers=1"));
}

/// An invalid configuration is reported in one line that names the key.
#[test]
fn invalid_configuration_is_reported_in_one_line() {
    for (from, to, message) in [
        (r#""call_slots": 8"#, r#""call_slots": "x""#, "settings: expected a whole number in call_slots"),
        (r#""listen": "127.0.0.1:6379""#, r#""listen": "here""#, "listen: expected ADDRESS:PORT, not here"),
        (r#""sockets": 1024"#, r#""sockets": 20"#, "limits: expected at least 48 in sockets"),
        (r#""cold_ms": 10000"#, r#""cold_ms": 0"#, "settings: expected more than 0 in cold_ms"),
    ] {
        let file = std::env::temp_dir().join(format!("sailcart-{}-config", std::process::id()));
        let state = std::env::temp_dir().to_str().expect("the path is UTF-8").to_owned();
        fs::write(&file, CONFIG.replace("examples/state", &state).replace(from, to)).expect("write the file");
        let mut command = Command::new(env!("CARGO_BIN_EXE_sailcart"));
        let output = command
            .arg("check")
            .arg("--config")
            .arg(&file)
            .stdin(Stdio::null())
            .output()
            .expect("run sailcart");
        assert_eq!(String::from_utf8_lossy(&output.stderr).trim_end(), format!("sailcart: {message}"));
        assert!(!output.status.success());
    }
}
