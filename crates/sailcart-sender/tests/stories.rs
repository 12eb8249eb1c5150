//! The sender as a process among stand-ins for its peers, all on loopback.

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

#[allow(dead_code)] // other tests use the rest of it
mod common;

use common::harness::{CONFIG, Harness};
use common::{Platform, http_response, list_entry, send_command, submit};

#[test]
fn a_packet_is_taken_and_delivered_once() {
    let world = Harness::new("delivered", |_, call| {
        let right = call.start == "POST /receive HTTP/1.1" && call.header("Idempotency-Key") == "a1";
        if right && call.body == b"hello" {
            http_response("200 OK", "", "ok")
        } else {
            http_response("400 Bad", "", "")
        }
    });
    assert_eq!(world.submit("a1"), "+OK");
    world.wait_until("the call", |world| world.received_ids() == ["a1"]);
    sleep(Duration::from_millis(300));
    assert_eq!((world.received_ids().len(), world.notices().len()), (1, 0));
}

/// Turned away with a wait, then lost with its connection: each goes again, the first not before its wait.
#[test]
fn a_packet_goes_again_after_a_wait_and_after_a_reset() {
    let world = Harness::new("again", |number, _| match number {
        0 => http_response("429 Too Many Requests", "Retry-After: 0.4\r\n", ""),
        1 => None,
        _ => http_response("200 OK", "", ""),
    });
    let start = Instant::now();
    assert_eq!(world.submit("a1"), "+OK");
    world.wait_until("the second call", |world| world.received_ids().len() >= 2);
    assert!(start.elapsed() >= Duration::from_millis(400));
    world.wait_until("the third call", |world| world.received_ids().len() == 3);
    assert!(world.log().contains("code=peer_closed"));
}

/// Spoilt answers: a first line that reads 200 settles a single packet, whatever follows; any other spoilt answer
/// ends its call at once, as one that may have run. Their connections are used no more.
#[test]
fn a_spoilt_answer_is_not_waited_for() {
    let world = Harness::new("spoilt", |number, _| {
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
    assert_eq!(world.submit("a1"), "+OK");
    world.wait_until("its end", |world| world.log().contains("packet a1 from"));
    assert_eq!(world.submit("b2"), "+OK");
    let calls = ["a1", "b2", "b2", "b2", "b2", "b2"];
    world.wait_until("the calls", |world| world.received_ids() == calls);
    assert!(start.elapsed() < Duration::from_secs(6), "{:?}", start.elapsed());
    world.wait_until("the answer", |world| {
        world.log().contains("packet b2 from") && world.log().contains("Done")
    });
    assert_eq!(world.submit("c3"), "+OK");
    world.wait_until("its end", |world| world.log().contains("packet c3 from"));
    sleep(Duration::from_millis(600));
    assert_eq!(world.received_ids().len(), calls.len() + 1, "none goes again that was answered 200");
    assert!(world.log().contains("code=malformed"));
}

/// A new endpoint at the address of one that has gone is called on connections of its own.
#[test]
fn a_new_endpoint_inherits_no_connection() {
    let world = Harness::new("replaced", |_, _| None);
    let place = TcpListener::bind("127.0.0.1:0").expect("a free address");
    let address = place.local_addr().expect("an address");
    let (came, count) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        for (number, stream) in place.incoming().flatten().enumerate() {
            let came = came.clone();
            std::thread::spawn(move || {
                let mut stream = stream;
                while stream.read(&mut [0; 4096]).is_ok_and(|read| read > 0) {
                    came.send(number).expect("the story goes on");
                    sleep(Duration::from_millis(300));
                    stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").expect("room");
                }
            });
        }
    });
    for (version, name, connection) in [(2, "f", 0), (3, "f", 0), (4, "g", 1), (5, "g", 1)] {
        world.platform.set_list(&[list_entry(name, address, 7, "Ready")]);
        world.wait_until("the news", |world| world.log().contains(&format!("discovery: version {version}")));
        sleep(Duration::from_millis(500)); // a call that was out when its endpoint went is back
        assert_eq!(world.submit(&format!("a{version}")), "+OK");
        assert_eq!(count.recv_timeout(Duration::from_secs(5)), Ok(connection), "version {version}");
    }
}

/// An endpoint may close a connection as soon as it stands idle: no call is lost on one that is closed.
#[test]
fn a_connection_that_its_peer_closed_gets_no_call() {
    let world = Harness::new("closed", |_, _| None);
    let closing = TcpListener::bind("127.0.0.1:0").expect("a free address");
    world.platform.set_list(&[list_entry("f", closing.local_addr().expect("an address"), 7, "Ready")]);
    let calls = std::thread::spawn(move || {
        for _ in 0..3 {
            let (mut stream, _) = closing.accept().expect("a connection");
            let read = stream.read(&mut [0; 4096]).expect("a call");
            assert!(read > 0, "a connection without a call");
            stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").expect("an answer");
        }
    });
    world.wait_until("the news", |world| world.log().contains("discovery: version 2"));
    for id in ["a1", "a2", "a3"] {
        assert_eq!(world.submit(id), "+OK");
        sleep(Duration::from_millis(100));
    }
    world.wait_until("all calls", |_| calls.is_finished());
    assert!(!world.log().contains("Reset after"), "{}", world.log());
}

/// The journal stands before +OK: what was taken is delivered by the next life, once.
#[test]
fn a_packet_outlives_sigkill() {
    let mut world = Harness::new("killed", |number, _| {
        if number == 0 {
            sleep(Duration::from_secs(20));
        }
        http_response("200 OK", "", "")
    });
    assert_eq!(world.submit("a1"), "+OK");
    world.wait_until("the first call", |world| world.received_ids().len() == 1);
    world.kill();
    world.start();
    world.wait_until("the call of the second life", |world| world.received_ids() == ["a1", "a1"]);
    world.wait_until("its record", |world| world.log().contains("recovery: 1 packets"));
    sleep(Duration::from_millis(100));
    world.kill();
    world.start();
    world.wait_until("an empty journal", |world| world.log().contains("recovery: 0 packets, 0 notices"));
    assert_eq!((world.received_ids().len(), world.notices().len()), (2, 0));
}

/// Nothing that was taken is lost, wherever SIGKILL falls.
#[test]
fn every_packet_outlives_kills_at_any_moment() {
    let mut world = Harness::new("kills", |_, _| {
        sleep(Duration::from_millis(30));
        http_response("200 OK", "", "")
    });
    let mut taken = Vec::new();
    for (life, pause) in [1, 12, 25, 45].into_iter().enumerate() {
        for number in 0..6 {
            let id = format!("{life}-{number}");
            assert_eq!(world.submit(&id), "+OK");
            taken.push(id);
        }
        sleep(Duration::from_millis(pause));
        world.kill();
        world.start();
    }
    world.wait_until("a call for each", |world| taken.iter().all(|id| world.received_ids().contains(id)));
    world.wait_until("an empty journal", |world| world.received_ids().len() >= taken.len());
    assert_eq!(world.notices().len(), 0);
}

/// A packet that may not run twice and may have run is given up, and the platform hears of it, if need be from
/// a later life.
/// A machine's clock may go back between two lives: a call that seems to lie ahead was sent nobody knows when, and its
/// packet must not seem to have an hour left in which its key is remembered.
#[test]
fn a_call_that_lies_ahead_is_long_forgotten() {
    let mut world = Harness::new("clock", |_, _| http_response("200 OK", "", ""));
    world.kill();
    let ahead = SystemTime::now().duration_since(UNIX_EPOCH).expect("a clock") + Duration::from_secs(3600);
    let mut ledger =
        Ledger::open(&world.folder, 3_000_000, 100, sailcart_store::SyncPolicy::None).expect("a journal");
    let number = ledger.next_number();
    let packet = Packet {
        number,
        id: "a1".into(),
        category: "notice".into(),
        customer: None,
        idempotency_key: Some("a1".into()),
        order_key: None,
        destination: DestinationId(7),
        deadline: Moment::by_wall_clock(ahead + Duration::from_secs(20)),
        body: b"hello"[..].into(),
    };
    ledger.accept(packet).expect("room");
    ledger.record_dispatch(&[number], Moment::by_wall_clock(ahead)).expect("room");
    drop(ledger);
    world.start();
    world.wait_until("its end is told", |world| !world.notices().is_empty());
    assert!(world.notices()[0].contains("handed_back"), "{:?}", world.notices());
    assert_eq!(world.received_ids(), [""; 0], "never sent again");
}

#[test]
fn an_unrepeatable_packet_in_doubt_is_scrapped_after_sigkill() {
    let mut world = Harness::new("scrapped", |_, _| {
        sleep(Duration::from_secs(20));
        None
    });
    world.kill();
    world.config = world.config.replace(r#""repeat": "dedup""#, r#""repeat": "fragile""#);
    world.start();
    assert_eq!(world.submit("a1"), "+OK");
    world.wait_until("the call", |world| world.received_ids().len() == 1);
    world.kill();
    world.platform.reject_notices.store(true, Ordering::Relaxed);
    world.start();
    world.wait_until("the notice", |world| world.log().contains("notices: code=not_told"));
    world.kill();
    world.platform.reject_notices.store(false, Ordering::Relaxed);
    world.start();
    world.wait_until("the notice", |world| !world.notices().is_empty());
    assert_eq!(world.notices(), [r#"{"message":"a1","outcome":"given_up"}"#]);
    assert_eq!(world.received_ids().len(), 1);
}

/// SIGTERM: what is out comes back, nothing new is taken, and the process ends by itself.
#[test]
fn a_stop_finishes_what_is_out() {
    let mut world = Harness::new("stopped", |_, _| {
        sleep(Duration::from_millis(900));
        http_response("200 OK", "", "")
    });
    assert_eq!(world.submit("a1"), "+OK");
    world.wait_until("the call", |world| world.received_ids().len() == 1);
    let pid = world.sender.as_ref().expect("a sender").id().to_string();
    assert!(Command::new("kill").arg(pid).status().expect("a signal").success());
    world.wait_until("the stop", |world| world.log().contains("code=sigterm"));
    assert_eq!(world.submit("b2"), "-BUSY 2000");
    let took = {
        let mut sender = world.sender.take().expect("a sender");
        let start = Instant::now();
        assert!(sender.wait().expect("an end").success());
        start.elapsed()
    };
    assert!(took < Duration::from_secs(3), "{took:?}");
    world.start();
    world.wait_until("an empty journal", |world| world.log().matches("recovery: 0 packets").count() == 2);
    assert_eq!(world.received_ids(), ["a1"]);
}

#[test]
fn an_idle_sender_stops_at_once() {
    let mut world = Harness::new("idle", |_, _| http_response("200 OK", "", ""));
    assert!(world.terminate() < Duration::from_secs(2));
}

/// Drained endpoints and those that left the list get nothing.
#[test]
fn an_endpoint_that_drains_gets_nothing_new() {
    let world = Harness::new("drained", |_, _| http_response("200 OK", "", ""));
    world.platform.set_list(&[list_entry("e", world.endpoint_address, 7, "Terminating")]);
    world.wait_until("the news", |world| world.log().contains("discovery: version 2"));
    assert_eq!(world.submit("a1"), "+OK");
    sleep(Duration::from_millis(300));
    assert_eq!(world.received_ids().len(), 0);
    world.platform.set_list(&[list_entry("f", world.endpoint_address, 7, "Ready")]);
    world.wait_until("the call", |world| world.received_ids() == ["a1"]);
}

/// A destination that was never listed but as draining is known: its clients heard "unknown destination".
#[test]
fn a_destination_that_only_drains_is_known() {
    let world = Harness::new("drains", |_, _| http_response("200 OK", "", ""));
    world.platform.set_list(&[list_entry("g", world.endpoint_address, 9, "Terminating")]);
    world.wait_until("the news", |world| world.log().contains("discovery: version 2"));
    let fields = "c=notice,t=acme,d=8000,k=a1,dest=9";
    assert_eq!(submit(world.listen_address, "a1", fields, "hello").as_deref().ok(), Some("+OK"));
}

/// SIGHUP: a faulty file changes nothing; a new address of discovery is followed at once, also by what is out
/// at the old one, and notices go there.
#[test]
fn discovery_moves_at_sighup() {
    let mut world = Harness::new("moved", |_, _| None);
    let (place, platform) = Platform::start("127.0.0.1:0");
    (0..2).for_each(|_| platform.set_list(&[list_entry("f", world.endpoint_address, 8, "Ready")]));
    world.reload(&world.config.replace(r#""call_slots": 8"#, r#""call_slots": 0"#));
    let kept =
        "the old configuration stays in force, code=faulty settings: expected more than 0 in call_slots";
    world.wait_until("the fault", |world| world.log().contains(kept));
    world.config = world.config.replace(&world.discovery_address.to_string(), &place.to_string());
    world.platform.reject_notices.store(true, Ordering::Relaxed);
    let start = Instant::now();
    world.reload(&world.config);
    world.wait_until("the new list", |world| world.log().contains("discovery: version 2, 1 entries"));
    assert!(start.elapsed() < Duration::from_secs(1), "a watch held at the old address is not waited for");
    let fields = "c=notice,t=acme,d=700,dest=8";
    assert_eq!(submit(world.listen_address, "a1", fields, "").expect("an answer"), "+OK");
    world.wait_until("the notice", |_| !platform.notices.lock().expect("no panic").is_empty());
    assert_eq!(world.notices().len(), 0);
}

/// A discovery that has too much to do is not asked again at once, the list stays, and one line tells of it; a move is followed
/// in the midst of a pause.
#[test]
fn an_overbooked_discovery_is_left_alone() {
    let mut world = Harness::new("overbooked", |_, _| http_response("200 OK", "", ""));
    world.platform.overloaded.store(true, Ordering::Relaxed);
    world.platform.set_list(&[list_entry("e", world.endpoint_address, 7, "Ready")]);
    let times = |world: &Harness| world.platform.rejected_list_requests.load(Ordering::Relaxed);
    world.wait_until("the first", |world| times(world) > 0);
    sleep(Duration::from_secs(2));
    assert!(times(&world) <= 3, "it was asked {} times in two seconds", times(&world));
    assert_eq!(world.log().matches("code=no_list").count(), 1);
    assert_eq!(world.submit("a1"), "+OK");
    world.wait_until("the call", |world| world.received_ids() == ["a1"]);
    let (place, platform) = Platform::start("127.0.0.1:0");
    (0..3).for_each(|_| platform.set_list(&[list_entry("e", world.endpoint_address, 7, "Ready")]));
    world.config = world.config.replace(&world.discovery_address.to_string(), &place.to_string());
    world.reload(&world.config);
    let start = Instant::now();
    world.wait_until("the new list", |world| world.log().contains("discovery: version 3, 1 entries"));
    assert!(start.elapsed() < Duration::from_secs(1), "a pause is not waited for");
}

/// A list of long ago and one that is cut: what is known stays, one line tells of it, and the whole list is asked for.
#[test]
fn a_list_that_cannot_be_changes_nothing() {
    let world = Harness::new("slips", |_, _| http_response("200 OK", "", ""));
    let slips = [r#"{"generation":0,"reset":true,"instances":[]}"#, r#"{"generation":9,"reset":true,"inst"#];
    for (nth, slip) in slips.into_iter().enumerate() {
        let version = format!("discovery: version {}, 1 entries", nth + 2);
        world.platform.set_list_and_next_response(
            &[list_entry("e", world.endpoint_address, 7, "Ready")],
            slip.to_owned(),
        );
        world.wait_until("the whole list again", |world| world.log().matches(&version).count() == 2);
        assert_eq!(world.log().matches("code=no_list").count(), nth + 1);
    }
    assert!(!world.log().contains("discovery: version 0"));
    assert_eq!(world.submit("a1"), "+OK");
    world.wait_until("the call", |world| world.received_ids() == ["a1"]);
}

/// A start of all senders at once, discovery out of reach: the list as last known serves, and one line tells of it.
#[test]
fn a_sender_starts_while_discovery_is_out_of_reach() {
    let mut world = Harness::new("alone", |_, _| http_response("200 OK", "", ""));
    world.kill();
    let known = format!(
        r#""generation": 5, "reset": true, "instances": [{}]"#,
        list_entry("e", world.endpoint_address, 7, "Ready")
    );
    let nowhere =
        TcpListener::bind("127.83.2.1:0").and_then(|socket| socket.local_addr()).expect("an address");
    let config = world.config.replace(r#""generation": 0, "reset": true, "instances": []"#, &known);
    world.config = config.replace(&world.discovery_address.to_string(), &nowhere.to_string());
    fs::write(world.folder.join("log"), "").expect("an empty log");
    world.start();
    assert_eq!(world.submit("a1"), "+OK");
    world.wait_until("the call", |world| world.received_ids() == ["a1"]);
    sleep(Duration::from_secs(1));
    assert_eq!(world.log().matches("code=no_list").count(), 1);
}

/// What answers tell of a limit reaches the decisions: one of a hundred senders is let off its first rate of a call a second.
#[test]
fn a_sender_of_many_goes_by_what_answers_tell() {
    let report = |nth: usize| format!("X-Load-Report: x0=0.{},x1=100\r\n", 99 - nth);
    let mut world = Harness::new("told", move |nth, _| http_response("200 OK", &report(nth), ""));
    world.kill();
    let many = r#""balancers": 100, "report": { "how": "answers", "columns": ["x0", "x1"] },"#;
    world.config = world.config.replace(r#""balancers": 1,"#, many);
    world.start();
    let start = Instant::now();
    (0..6).for_each(|nth| assert_eq!(world.submit(&format!("a{nth}")), "+OK"));
    world.wait_until("all calls", |world| world.received_ids().len() == 6);
    assert!(start.elapsed() < Duration::from_secs(3), "untold, they take more than four");
}

/// An id that comes again hears what its packet's client hears; the packet itself goes on as if it had not.
#[test]
fn a_twin_changes_nothing_for_its_packet() {
    let world = Harness::new("twin", |_, _| http_response("200 OK", "", ""));
    let words = ["MSG.PUT", "0", "a1", "c=notice,t=acme,d=8000,dest=7", ""];
    let bulk = |word: &str| format!("${}\r\n{word}\r\n", word.len());
    let put = format!("*5\r\n{}", words.map(bulk).concat());
    let mut twins: Vec<_> =
        (0..4).map(|_| TcpStream::connect(world.listen_address).expect("a connection")).collect();
    twins.iter_mut().for_each(|twin| twin.write_all(put.as_bytes()).expect("room"));
    for twin in &mut twins {
        let mut word = [0; 5];
        twin.read_exact(&mut word).expect("an answer");
        assert_eq!(&word, b"+OK\r\n");
    }
    world.wait_until("the call", |world| world.received_ids() == ["a1"]);
    sleep(Duration::from_millis(100));
    assert_eq!(world.submit("a1"), "+OK", "also once it is over");
    sleep(Duration::from_millis(100));
    assert_eq!(world.received_ids(), ["a1"]);
}

/// What a client sends may be anything: it hears what was wrong, and others are not disturbed.
#[test]
fn bad_input_ends_its_connection_with_a_word() {
    let world = Harness::new("bad", |_, _| http_response("200 OK", "", ""));
    assert_eq!(
        send_command(world.listen_address, "GET / HTTP/1.1\r\n\r\n").expect("a word"),
        "-ERR expected an array of bulk strings"
    );
    assert_eq!(send_command(world.listen_address, "*1\r\n$999999\r\n").expect("a word"), "-ERR too large");
    assert_eq!(send_command(world.listen_address, "*1\r\n$4\r\nPI").expect("a word"), "-ERR slow");
    assert_eq!(
        send_command(world.listen_address, "*1\r\n$5\r\nHELLO\r\n").expect("a word"),
        "-ERR unknown command"
    );
    let mut malformed = TcpStream::connect(world.listen_address).expect("a connection");
    malformed.set_read_timeout(Some(Duration::from_secs(5))).expect("a time-out");
    malformed.write_all(b"*2\r\n$7\r\nMSG.PUT\r\n$1\r\n0\r\n").expect("room");
    let mut words = String::new();
    malformed.read_to_string(&mut words).expect("the end of the connection");
    assert_eq!(words, "-ERR wrong number of arguments\r\n");
    let mut dribbling = TcpStream::connect(world.listen_address).expect("a connection");
    let start = Instant::now();
    dribbling.write_all(b"*1\r\n$600\r\n").expect("room");
    while dribbling.write_all(b"x").is_ok() && start.elapsed() < Duration::from_secs(5) {
        sleep(Duration::from_millis(200));
    }
    assert!(start.elapsed() < Duration::from_secs(5), "a byte now and then holds no place");
    let unknown = submit(world.listen_address, "a1", "c=other,t=acme,d=8000,dest=7", "").expect("a word");
    assert_eq!(unknown, "-ERR unknown category");
    let nowhere =
        submit(world.listen_address, "a1", "c=notice,t=acme,d=8000,dest=70000", "").expect("a word");
    assert_eq!(nowhere, "-ERR unknown destination");
    let mut stubborn = TcpStream::connect(world.listen_address).expect("a connection");
    stubborn.write_all("*1\r\n$5\r\nHELLO\r\n".repeat(300).as_bytes()).expect("room");
    stubborn.shutdown(std::net::Shutdown::Write).expect("an end");
    stubborn.read_to_string(&mut String::new()).expect("the end of the connection");
    world.wait_until("their number", |world| world.log().contains("answers=300 turned_away=300"));
    assert!(world.log().matches("code=unknown_command").count() < 5);
    world.wait_until("a line each", |world| {
        ["code=malformed", "code=oversized", "code=slow"].iter().all(|code| world.log().contains(code))
    });
    assert_eq!(world.submit("a1"), "+OK");
}

/// Hundreds of commands at once: each is answered, in order and not one a round, also when the client has ended
/// its side; what cannot be read behind them hears so.
#[test]
fn commands_may_come_together() {
    let mut world = Harness::new("together", |_, _| http_response("200 OK", "", ""));
    world.kill();
    world.config = world.config.replace(r#""period_ms": 5"#, r#""period_ms": 50"#);
    world.start();
    let mut client = TcpStream::connect(world.listen_address).expect("a connection");
    let put = |number: usize| {
        let (id, fields) = (format!("a{number}"), "c=notice,t=acme,d=8000,dest=7");
        let bulk = |word: &str| format!("${}\r\n{word}\r\n", word.len());
        format!("*5\r\n{}", ["MSG.PUT", "0", &id, fields, ""].map(bulk).concat())
    };
    let puts: String = (0..40).map(put).collect();
    let pings = "*1\r\n$4\r\nPING\r\n".repeat(600);
    let start = Instant::now();
    client.write_all(format!("{puts}{pings}nonsense\r\n").as_bytes()).expect("room");
    client.shutdown(std::net::Shutdown::Write).expect("an end");
    let mut words = String::new();
    client.read_to_string(&mut words).expect("the end of the connection");
    let faulty = "-ERR expected an array of bulk strings\r\n";
    assert_eq!(words, format!("{}{}{faulty}", "+OK\r\n".repeat(40), "+PONG\r\n".repeat(600)));
    assert!(start.elapsed() < Duration::from_secs(1), "{:?}", start.elapsed());
}

/// Two senders on one folder would cut each other's records.
#[test]
fn a_folder_has_one_sender() {
    let world = Harness::new("shared", |_, _| http_response("200 OK", "", ""));
    let mut second = Command::new(env!("CARGO_BIN_EXE_sailcart"));
    let second = second.arg("serve").arg("--config").arg(world.folder.join("config.json")).output();
    let second = second.expect("a run");
    let words = String::from_utf8_lossy(&second.stderr).into_owned();
    assert!(!second.status.success() && words.contains("is in use by another sender"), "{words}");
    assert_eq!(world.submit("a1"), "+OK");
}

/// What does not fit into the folder is not taken, and its client hears when to come back.
#[test]
fn a_packet_beyond_the_folder_is_dismissed() {
    let mut world = Harness::new("room", |_, _| http_response("200 OK", "", ""));
    world.kill();
    world.config = world.config.replace(r#""disk_mb": 3"#, r#""disk_mb": 0.02"#);
    world.start();
    let fields = "c=notice,t=acme,d=8000,dest=7";
    assert_eq!(
        submit(world.listen_address, "a1", fields, &"x".repeat(6000)).expect("an answer"),
        "-BUSY 2000"
    );
    assert_eq!(submit(world.listen_address, "a2", fields, &"x".repeat(600)).expect("an answer"), "+OK");
    world.wait_until("the call", |world| world.received_ids() == ["a2"]);
}

/// More clients than there is room for: the one that was idle the longest gives way.
#[test]
fn connections_are_bounded() {
    let mut world = Harness::new("bounded", |_, _| http_response("200 OK", "", ""));
    world.kill();
    world.config = world.config.replace(r#""sockets": 1024"#, r#""sockets": 56"#);
    world.start();
    let sockets = format!("/proc/{}/fd", world.sender.as_ref().expect("a sender").id());
    let open = || fs::read_dir(&sockets).expect("its descriptors").count();
    let mut idle: Vec<TcpStream> = Vec::new();
    let mut most = 0;
    for _ in 0..200 {
        idle.push(TcpStream::connect(world.listen_address).expect("a connection"));
        most = most.max(open());
    }
    assert_eq!(world.submit("a1"), "+OK");
    assert!(most <= 56, "{most} descriptors");
    assert!(world.log().contains("code=evicted"));
}

/// curridabat-nuevo, recorded day of a crowd: a connection whose first packet is on its way is not closed for others
/// while one that has been answered can give way.
#[test]
fn a_first_packet_is_waited_for_while_others_can_give_way() {
    let mut world = Harness::new("crowd", |_, _| http_response("200 OK", "", ""));
    world.kill();
    world.config = world.config.replace(r#""sockets": 1024"#, r#""sockets": 56"#);
    world.start();
    let ping = "*1\r\n$4\r\nPING\r\n";
    let mut first = TcpStream::connect(world.listen_address).expect("a connection");
    sleep(Duration::from_millis(2500));
    let used: Vec<TcpStream> = (0..40)
        .map(|_| {
            let mut stream = TcpStream::connect(world.listen_address).expect("a connection");
            stream
                .write_all(ping.as_bytes())
                .and_then(|()| stream.read_exact(&mut [0; 7]))
                .expect("an answer");
            stream
        })
        .collect();
    first.write_all(ping.as_bytes()).expect("room");
    let mut word = [0; 7];
    first.read_exact(&mut word).expect("an answer");
    assert_eq!((&word, used.len()), (b"+PONG\r\n", 40));
    assert!(world.log().contains("code=evicted answers=1"));
}

#[test]
fn a_faulty_configuration_is_one_line_with_the_key() {
    for (from, to, line) in [
        (r#""call_slots": 8"#, r#""call_slots": "x""#, "settings: expected a whole number in call_slots"),
        (r#""listen": "127.0.0.1:6379""#, r#""listen": "here""#, "listen: expected ADDRESS:PORT, not here"),
        (r#""sockets": 1024"#, r#""sockets": 20"#, "limits: expected at least 48 in sockets"),
        (r#""cold_ms": 10000"#, r#""cold_ms": 0"#, "settings: expected more than 0 in cold_ms"),
    ] {
        let file = std::env::temp_dir().join(format!("sailcart-{}-config", std::process::id()));
        let state = std::env::temp_dir().to_str().expect("a plain path").to_owned();
        fs::write(&file, CONFIG.replace("examples/state", &state).replace(from, to)).expect("a file");
        let mut command = Command::new(env!("CARGO_BIN_EXE_sailcart"));
        let run =
            command.arg("check").arg("--config").arg(&file).stdin(Stdio::null()).output().expect("a run");
        assert_eq!(String::from_utf8_lossy(&run.stderr).trim_end(), format!("sailcart: {line}"));
        assert!(!run.status.success());
    }
}
