//! A sender that receives large, truncated, malformed or endless destination lists: the last valid list stays
//! in force, packets are dispatched meanwhile, and memory is bounded.

use std::fs;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::Command;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

#[allow(dead_code)] // the other items are used by other tests
mod common;

use common::harness::{CONFIG, Harness};
use common::{http_response, list_entry, submit};

/// Prefix of the path of requests for changes after a version.
const WATCH_PATH: &str = "/v1/servers?from=";
/// Path of requests for the full list.
const FULL_LIST_PATH: &str = "/v1/servers";

/// A request for the list.
#[derive(Clone, Debug)]
struct ListRequest {
    received_at: Instant,
    path: String,
}

/// A discovery server whose responses are written by the test.
struct Discovery {
    address: SocketAddr,
    requests: Arc<Mutex<Vec<ListRequest>>>,
}

impl Discovery {
    /// `reply` is passed the number of a request, from 0, and its path, and writes the response. If it fails,
    /// the connection is closed.
    fn start(
        reply: impl Fn(usize, &str, &mut TcpStream) -> io::Result<()> + Send + Sync + 'static,
    ) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind to a free port");
        let address = listener.local_addr().expect("read the local address");
        let requests = Arc::new(Mutex::new(Vec::new()));
        let (request_log, reply) = (requests.clone(), Arc::new(reply));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (requests, reply) = (request_log.clone(), reply.clone());
                thread::spawn(move || serve_connection(stream, &requests, &*reply));
            }
        });
        Discovery { address, requests }
    }

    fn requests(&self) -> Vec<ListRequest> {
        self.requests.lock().expect("mutex is not poisoned").clone()
    }
}

fn serve_connection(
    mut stream: TcpStream,
    requests: &Mutex<Vec<ListRequest>>,
    reply: &dyn Fn(usize, &str, &mut TcpStream) -> io::Result<()>,
) {
    let Ok(read_half) = stream.try_clone() else { return };
    let mut lines = BufReader::new(read_half).lines().map_while(Result::ok);
    while let Some(request_line) = lines.next() {
        while lines.next().is_some_and(|line| !line.is_empty()) {}
        let path = request_line.split(' ').nth(1).unwrap_or_default().to_owned();
        let number = {
            let mut requests = requests.lock().expect("mutex is not poisoned");
            requests.push(ListRequest { received_at: Instant::now(), path: path.clone() });
            requests.len() - 1
        };
        if reply(number, &path, &mut stream).is_err() {
            return;
        }
    }
}

fn list(version: u64, full: bool, entries: &str) -> String {
    format!(r#"{{"generation":{version},"reset":{full},"instances":[{entries}]}}"#)
}

/// Writes a complete response with a Content-Length.
fn respond(stream: &mut TcpStream, body: &str) -> io::Result<()> {
    stream.write_all(http_response("200 OK", "", body).unwrap_or_default().as_bytes())
}

/// Responds to a watch without changes, at the end of its wait.
fn respond_unchanged(stream: &mut TcpStream, path: &str, version: u64) -> io::Result<()> {
    let wait_ms = path.split("hold_ms=").nth(1).and_then(|value| value.parse().ok()).unwrap_or(0);
    sleep(Duration::from_millis(wait_ms));
    respond(stream, &list(version, false, ""))
}

/// The entry of the n-th of many endpoints. Nothing listens at their addresses.
fn numbered_entry(number: usize) -> String {
    let address = SocketAddr::from(([127, 9, (number / 250) as u8, (number % 250) as u8], 9));
    list_entry(&format!("many-{number}"), address, 8 + number as u64 % 100, "Ready")
}

fn numbered_entries(numbers: std::ops::Range<usize>) -> String {
    numbers.map(numbered_entry).collect::<Vec<_>>().join(",")
}

fn write_chunk(stream: &mut TcpStream, bytes: &str) -> io::Result<()> {
    stream.write_all(format!("{:x}\r\n{bytes}\r\n", bytes.len()).as_bytes())
}

/// Writes a full list of `count` entries in chunks, with the version last.
fn respond_with_many(stream: &mut TcpStream, version: u64, count: usize) -> io::Result<()> {
    stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
    write_chunk(stream, r#"{"instances":["#)?;
    for first in (0..count).step_by(500) {
        let comma = if first > 0 { "," } else { "" };
        write_chunk(stream, &format!("{comma}{}", numbered_entries(first..count.min(first + 500))))?;
    }
    write_chunk(stream, &format!(r#"],"reset":true,"generation":{version}}}"#))?;
    stream.write_all(b"0\r\n\r\n")
}

/// Starts a sender with another discovery server and this memory limit.
fn start_with_list_server(name: &str, discovery: &Discovery, memory_mb: u32) -> Harness {
    let mut harness = Harness::new(name, |_, _| http_response("200 OK", "", ""));
    harness.kill();
    let limit = format!(r#""memory_mb": {memory_mb}"#);
    let config = harness.config.replace(r#""memory_mb": 192"#, &limit);
    harness.config = config.replace(&harness.discovery_address.to_string(), &discovery.address.to_string());
    assert!(harness.config.contains(&limit));
    fs::write(harness.folder.join("log"), "").expect("empty the log");
    harness.start();
    harness
}

/// Address of the harness's endpoint, once it is known.
type Endpoint = Arc<Mutex<Option<SocketAddr>>>;

/// The entry of the harness's endpoint. Waits for its address, as the discovery server starts before it is
/// known.
fn wait_for_first_entry(endpoint: &Endpoint, destination: u64) -> String {
    let start = Instant::now();
    loop {
        if let Some(address) = *endpoint.lock().expect("mutex is not poisoned") {
            return list_entry("e", address, destination, "Ready");
        }
        assert!(start.elapsed() < Duration::from_secs(10), "the endpoint address was not set");
        sleep(Duration::from_millis(1));
    }
}

fn put_to(harness: &Harness, id: &str, destination: u64) -> String {
    let fields = format!("c=notice,t=acme,d=8000,k={id},dest={destination}");
    submit(harness.listen_address, id, &fields, "hello").expect("the sender replies")
}

/// Submits a packet and waits for its delivery.
fn assert_delivered(harness: &Harness, id: &str, destination: u64) {
    assert_eq!(put_to(harness, id, destination), "+OK");
    harness
        .wait_until("the call has arrived", |harness| harness.received_ids().iter().any(|came| came == id));
}

fn count_in_log(harness: &Harness, text: &str) -> usize {
    harness.log().matches(text).count()
}

/// Switches a sender that has its first list to another discovery server.
fn switch_discovery(harness: &mut Harness, discovery: &Discovery) {
    harness.config =
        harness.config.replace(&harness.discovery_address.to_string(), &discovery.address.to_string());
    harness.reload(&harness.config);
}

/// A list is truncated in the middle, once with a Content-Length and once within a chunk. None of it takes
/// effect, and the last valid list stays in force.
#[test]
fn a_truncated_list_changes_nothing() {
    let mut harness = Harness::new("cut", |_, _| http_response("200 OK", "", ""));
    let first_entry = list_entry("e", harness.endpoint_address, 7, "Ready");
    let continued = Arc::new(AtomicBool::new(false));
    let continue_now = continued.clone();
    let discovery = Discovery::start(move |number, path, stream| match number {
        0 => respond(stream, &list(5, true, &first_entry)),
        1 => {
            let response =
                http_response("200 OK", "", &list(6, true, &numbered_entries(0..2000))).unwrap_or_default();
            stream.write_all(&response.as_bytes()[..response.len() / 2])?;
            Err(io::ErrorKind::BrokenPipe.into())
        }
        2 => {
            stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
            write_chunk(
                stream,
                &format!(r#"{{"generation":7,"reset":true,"instances":[{}"#, numbered_entries(0..2000)),
            )?;
            Err(io::ErrorKind::BrokenPipe.into())
        }
        _ if !continue_now.load(Ordering::SeqCst) => respond_unchanged(stream, path, 5),
        _ => respond(stream, &list(8, true, &first_entry)),
    });
    switch_discovery(&mut harness, &discovery);
    harness.wait_until("both truncated lists were sent", |_| discovery.requests().len() > 3);
    assert_eq!(count_in_log(&harness, "code=no_list"), 1, "one log line for the outage");
    assert!(
        discovery.requests()[1..4].iter().all(|request| request.path.starts_with(WATCH_PATH)),
        "the version is unchanged"
    );
    assert_delivered(&harness, "a1", 7);
    assert_eq!(
        put_to(&harness, "a2", 8),
        "-ERR unknown destination",
        "no entry of the truncated list takes effect"
    );
    continued.store(true, Ordering::SeqCst);
    harness.wait_until("the next valid list is in force", |harness| {
        harness.log().contains("discovery: version 8, 1 entries")
    });
    assert!(
        !harness.log().contains("discovery: version 6") && !harness.log().contains("discovery: version 7")
    );
}

/// A body with two documents, and one with a duplicate member, are rejected as malformed.
#[test]
fn a_list_with_duplicate_documents_or_members_changes_nothing() {
    let harness = Harness::new("doubled", |_, _| http_response("200 OK", "", ""));
    let other = list(9, true, &numbered_entries(0..100));
    let malformed_bodies = [other.repeat(2), other.replace(r#""reset""#, r#""instances":[],"reset""#)];
    for (index, malformed_body) in malformed_bodies.into_iter().enumerate() {
        *harness.platform.next_list_response.lock().expect("mutex is not poisoned") = Some(malformed_body);
        // A watch in flight reports the change first, and the request after it receives the malformed body.
        // Without a watch in flight the next request receives it.
        harness.platform.set_list(&[list_entry("e", harness.endpoint_address, 7, "Ready")]);
        let version = format!("discovery: version {}, 1 entries", index + 2);
        harness.wait_until("the full list after the malformed one is in force", |harness| {
            let log = harness.log();
            let log_parts: Vec<&str> = log.split("code=no_list").collect();
            log_parts.len() == index + 2 && log_parts[index + 1].contains(&version)
        });
        assert_delivered(&harness, &format!("a{index}"), 7);
    }
    assert!(!harness.log().contains("discovery: version 9"));
    assert_eq!(put_to(&harness, "b1", 8), "-ERR unknown destination");
}

/// A sender limited to 16 MB, which is enough for 31,250 endpoints, is sent a list of a million. The list is
/// rejected while it is read, one line is logged, and the last valid list stays in force. The list is
/// requested again after growing delays of at least a second. Held in memory completely, the list would take
/// 200 MB.
#[test]
fn a_list_of_a_million_endpoints_is_rejected_in_bounded_memory() {
    let (endpoint, list_fits) = (Endpoint::default(), Arc::new(AtomicBool::new(false)));
    let (endpoint_address, send_fitting_list) = (endpoint.clone(), list_fits.clone());
    let discovery = Discovery::start(move |number, _, stream| match number {
        0 => respond(stream, &list(1, true, &wait_for_first_entry(&endpoint_address, 7))),
        _ if send_fitting_list.load(Ordering::SeqCst) => {
            respond(stream, &list(3, true, &wait_for_first_entry(&endpoint_address, 9)))
        }
        _ => respond_with_many(stream, 2, 1_000_000),
    });
    let mut harness = Harness::new("million", |_, _| http_response("200 OK", "", ""));
    *endpoint.lock().expect("mutex is not poisoned") = Some(harness.endpoint_address);
    harness.kill();
    let config = harness.config.replace(r#""memory_mb": 192"#, r#""memory_mb": 16"#);
    harness.config = config.replace(&harness.discovery_address.to_string(), &discovery.address.to_string());
    harness.start();
    harness.wait_until("the list is rejected", |harness| {
        harness.log().contains("discovery: code=list_too_large")
    });
    let start = Instant::now();
    let mut sent = 0;
    while discovery.requests().len() < 4 {
        assert_delivered(&harness, &format!("a{sent}"), 7);
        sent += 1;
        assert!(
            start.elapsed() < Duration::from_secs(20),
            "expected four requests: {:?}",
            discovery.requests()
        );
        sleep(Duration::from_millis(50));
    }
    list_fits.store(true, Ordering::SeqCst); // the response in progress may still be too large
    let requests = discovery.requests();
    for pair in requests[1..].windows(2) {
        let delay = pair[1].received_at - pair[0].received_at;
        assert!(delay >= Duration::from_secs(1), "requested again after {delay:?}");
    }
    assert_eq!(count_in_log(&harness, "code=list_too_large"), 1, "one log line for the outage");
    assert_eq!(count_in_log(&harness, "code=no_list"), 0);
    let peak_memory = harness.memory("VmHWM");
    println!("{peak_memory} bytes at the peak");
    assert!(peak_memory < 48_000_000, "{peak_memory} bytes");
    let start = Instant::now();
    while !harness.log().contains("discovery: version 3, 1 entries") {
        assert!(start.elapsed() < Duration::from_secs(20), "expected the list that fits to be accepted");
        sleep(Duration::from_millis(50));
    }
    assert_delivered(&harness, "b1", 9);
}

/// The full list that is requested after a malformed one is too large. Changes after the last valid list are
/// still received, and the full list is requested again.
#[test]
fn changes_are_received_while_the_full_list_is_too_large() {
    let (endpoint, change_sent) = (Endpoint::default(), Arc::new(AtomicBool::new(false)));
    let (endpoint_address, change_is_sent) = (endpoint.clone(), change_sent.clone());
    let discovery = Discovery::start(move |number, path, stream| match number {
        0 => respond(stream, &list(1, true, &wait_for_first_entry(&endpoint_address, 7))),
        1 => respond(stream, "{}"),
        _ if path == FULL_LIST_PATH => respond_with_many(stream, 3, 1_000_000),
        _ if !change_is_sent.swap(true, Ordering::SeqCst) => {
            let change = list_entry(
                "f",
                endpoint_address.lock().expect("mutex is not poisoned").expect("endpoint address is set"),
                9,
                "Ready",
            );
            respond(stream, &list(2, false, &change))
        }
        _ => respond_unchanged(stream, path, 2),
    });
    let mut harness = Harness::new("meanwhile", |_, _| http_response("200 OK", "", ""));
    *endpoint.lock().expect("mutex is not poisoned") = Some(harness.endpoint_address);
    harness.kill();
    let config = harness.config.replace(r#""memory_mb": 192"#, r#""memory_mb": 4"#);
    harness.config = config.replace(&harness.discovery_address.to_string(), &discovery.address.to_string());
    harness.start();
    harness.wait_until("the change is in force", |harness| {
        harness.log().contains("discovery: version 2, 1 entries")
    });
    assert_delivered(&harness, "a1", 9);
    assert_delivered(&harness, "a2", 7);
    let full_requests = || {
        discovery.requests().into_iter().filter(|request| request.path == FULL_LIST_PATH).collect::<Vec<_>>()
    };
    harness.wait_until("the full list is requested again", |_| full_requests().len() > 2);
    let requests = full_requests();
    let delays = [
        requests[1].received_at - requests[0].received_at,
        requests[2].received_at - requests[1].received_at,
    ];
    assert!(delays.iter().all(|delay| *delay >= Duration::from_secs(1)), "{delays:?}");
    let all_requests = discovery.requests();
    let watches = all_requests
        .iter()
        .filter(|request| {
            request.path.starts_with(WATCH_PATH) && request.received_at > requests[0].received_at
        })
        .count();
    assert!(watches >= 2, "watches continue: {all_requests:?}");
    assert_eq!(
        count_in_log(&harness, "code=list_too_large"),
        1,
        "one log line, although changes were received"
    );
}

/// The start does not wait for a list that fits.
#[test]
fn clients_are_served_if_the_first_list_is_too_large() {
    let discovery = Discovery::start(|_, _, stream| respond_with_many(stream, 2, 1_000_000));
    let harness = start_with_list_server("start", &discovery, 4);
    harness.wait_until("the list is rejected", |harness| {
        harness.log().contains("discovery: code=list_too_large")
    });
    assert_eq!(harness.submit("a1"), "+OK", "without a list, no destination is rejected as unknown");
}

/// Starts a discovery server whose second list repeats this entry without end. Returns the number of bytes
/// written when the list was rejected.
fn bytes_written_until_rejected(name: &str, entry_text: &str) -> usize {
    let mut harness = Harness::new(name, |_, _| http_response("200 OK", "", ""));
    let (first_entry, written) =
        (list_entry("e", harness.endpoint_address, 7, "Ready"), Arc::new(AtomicUsize::new(0)));
    let (byte_counter, batch) = (written.clone(), entry_text.repeat(200));
    let discovery = Discovery::start(move |number, _, stream| {
        if number == 0 {
            return respond(stream, &list(1, true, &first_entry));
        }
        // Without a length and chunks, the body lasts until the connection closes.
        stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n{\"generation\":2,\"reset\":true,\"instances\":[")?;
        loop {
            stream.write_all(batch.as_bytes())?;
            byte_counter.fetch_add(batch.len(), Ordering::SeqCst);
        }
    });
    harness.kill();
    let config = harness.config.replace(r#""memory_mb": 192"#, r#""memory_mb": 1"#);
    harness.config = config.replace(&harness.discovery_address.to_string(), &discovery.address.to_string());
    harness.start();
    harness.wait_until("the list is rejected", |harness| {
        harness.log().contains("discovery: code=list_too_large")
    });
    let written = written.load(Ordering::SeqCst);
    assert_delivered(&harness, "a1", 7);
    written
}

/// Number of endpoints that a memory limit of 1 MB allows, as printed by `sailcart check`.
const MAX_ENDPOINTS: usize = 1_953;

/// An endless list that names no endpoint is rejected by its size: 4,096 bytes for each endpoint that is
/// allowed.
#[test]
fn an_endless_list_is_rejected() {
    let written = bytes_written_until_rejected("endless", &" ".repeat(160));
    assert!(written > MAX_ENDPOINTS * 4_096, "rejected after only {written} bytes");
}

/// An endless list that repeats one endpoint is rejected earlier, as the number of staged entries is limited.
#[test]
fn an_endless_list_of_one_endpoint_is_rejected() {
    let entry_text = format!("{},", numbered_entry(1));
    let written = bytes_written_until_rejected("doubles", &entry_text);
    assert!(written > MAX_ENDPOINTS * entry_text.len(), "rejected after only {written} bytes");
    assert!(written < MAX_ENDPOINTS * 4_096, "rejected only after {written} bytes");
}

/// A list that arrives a byte at a time is abandoned at the time limit of its request. The limit covers the
/// whole request and does not start again with each byte.
#[test]
fn a_list_that_arrives_too_slowly_is_abandoned() {
    let mut harness = Harness::new("dribbles", |_, _| http_response("200 OK", "", ""));
    let first_entry = list_entry("e", harness.endpoint_address, 7, "Ready");
    let discovery = Discovery::start(move |number, path, stream| match number {
        0 => respond(stream, &list(1, true, &first_entry)),
        1 => {
            stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 9000\r\n\r\n")?;
            (0..9000).try_for_each(|_| {
                sleep(Duration::from_millis(10));
                stream.write_all(b" ")
            })
        }
        _ => respond_unchanged(stream, path, 1),
    });
    switch_discovery(&mut harness, &discovery);
    harness.wait_until("the next request", |_| discovery.requests().len() > 2);
    let requests = discovery.requests();
    let elapsed = requests[2].received_at - requests[1].received_at;
    assert!(elapsed < Duration::from_secs(6), "abandoned after {elapsed:?}");
    assert_eq!(count_in_log(&harness, "code=no_list"), 1);
    assert_delivered(&harness, "a1", 7);
}

/// An oversized entry is skipped with a log line of its own. The rest of the list takes effect.
#[test]
fn an_oversized_entry_does_not_hide_others() {
    let harness = Harness::new("sixty", |_, _| http_response("200 OK", "", ""));
    let oversized_entry = list_entry("l", harness.endpoint_address, 8, "Ready")
        .replace('{', &format!(r#"{{"x":"{}","#, "x".repeat(60_000)));
    let entries = [
        list_entry("e", harness.endpoint_address, 7, "Ready"),
        oversized_entry,
        list_entry("f", harness.endpoint_address, 9, "Ready"),
    ];
    harness.platform.set_list(&entries);
    harness.wait_until("the list is in force", |harness| {
        harness.log().contains("discovery: version 2, 2 entries")
    });
    assert_eq!(count_in_log(&harness, "discovery: code=entry_too_large"), 1);
    assert_delivered(&harness, "a1", 7);
    assert_delivered(&harness, "a2", 9);
    assert_eq!(put_to(&harness, "a3", 8), "-ERR unknown destination");
}

/// The first few malformed entries are logged one by one, and the number of all of them is logged.
#[test]
fn malformed_entries_are_counted() {
    let harness = Harness::new("unread", |_, _| http_response("200 OK", "", ""));
    let mut entries = vec![r#"{"instanceId":"no address"}"#.to_owned(); 1000];
    entries.push(list_entry("e", harness.endpoint_address, 7, "Ready"));
    harness.platform.set_list(&entries);
    harness.wait_until("the list is in force", |harness| {
        harness.log().contains("discovery: version 2, 1 entries")
    });
    assert!(harness.log().contains("discovery: code=entry 1000 entries skipped"));
    assert_eq!(count_in_log(&harness, "code=entry"), 4);
    assert_delivered(&harness, "a1", 7);
}

/// Each list names other endpoints. Guards against memory being retained for the endpoints of earlier
/// lists.
#[test]
fn names_that_change_with_each_list_retain_no_memory() {
    let harness = Harness::new("changing", |_, _| http_response("200 OK", "", ""));
    let mut peak_after_six = 0;
    for index in 0..16 {
        let names: String = (0..2000)
            .map(|number| {
                numbered_entry(number).replace("many-", &format!("{index}-of-many-{number}-")) + ","
            })
            .collect();
        harness.platform.set_list(&[names + &list_entry("e", harness.endpoint_address, 7, "Ready")]);
        let version = format!("discovery: version {}, 2001 entries", index + 2);
        harness.wait_until("the list is in force", |harness| harness.log().contains(&version));
        if index == 5 {
            peak_after_six = harness.memory("VmHWM");
        }
    }
    let peak_after_sixteen = harness.memory("VmHWM");
    println!("{peak_after_six} bytes at the peak after six lists, {peak_after_sixteen} after sixteen");
    // At 192 bytes per endpoint, ten more lists of 2,001 endpoints would retain 3.8 MB.
    assert!(
        peak_after_sixteen < peak_after_six + 2_000_000,
        "{peak_after_six} bytes after six lists, {peak_after_sixteen} after sixteen"
    );
    assert_delivered(&harness, "a1", 7);
}

/// A list of 20,000 endpoints is sent. The second half follows only when twenty more packets were accepted,
/// or after two seconds. Guards against clients that wait while a list is read.
#[test]
fn clients_are_answered_while_a_large_list_is_received() {
    let mut harness = Harness::new("throughout", |_, _| http_response("200 OK", "", ""));
    let first_entry = list_entry("e", harness.endpoint_address, 7, "Ready");
    let reply_count = Arc::new(AtomicUsize::new(0));
    let (replied, enough_replies) = (reply_count.clone(), Arc::new(AtomicBool::new(false)));
    let has_enough_replies = enough_replies.clone();
    let discovery = Discovery::start(move |number, path, stream| match number {
        0 => respond(stream, &list(1, true, &first_entry)),
        1 => {
            let body = list(2, true, &format!("{first_entry},{}", numbered_entries(0..20_000)));
            let response = http_response("200 OK", "", &body).unwrap_or_default();
            let (front, back) = response.as_bytes().split_at(response.len() / 2);
            stream.write_all(front)?;
            let replied_before = replied.load(Ordering::SeqCst);
            let start = Instant::now();
            while replied.load(Ordering::SeqCst) < replied_before + 20
                && start.elapsed() < Duration::from_secs(2)
            {
                sleep(Duration::from_millis(1));
            }
            has_enough_replies.store(replied.load(Ordering::SeqCst) >= replied_before + 20, Ordering::SeqCst);
            stream.write_all(back)
        }
        _ => respond_unchanged(stream, path, 2),
    });
    switch_discovery(&mut harness, &discovery);
    harness.wait_until("the first list is in force", |harness| {
        harness.log().contains("discovery: version 1, 1 entries")
    });
    let mut sent = 0;
    let mut slowest_reply = Duration::ZERO;
    while !harness.log().contains("discovery: version 2, 20001 entries") {
        let start = Instant::now();
        assert_eq!(put_to(&harness, &format!("a{sent}"), 7), "+OK");
        slowest_reply = slowest_reply.max(start.elapsed());
        reply_count.fetch_add(1, Ordering::SeqCst);
        sent += 1;
        assert!(sent < 5000, "{}", harness.log());
    }
    println!("{sent} replies, the slowest after {slowest_reply:?}");
    assert!(
        enough_replies.load(Ordering::SeqCst),
        "expected replies while the list was received, {sent} in all"
    );
    assert!(slowest_reply < Duration::from_secs(2), "the slowest reply took {slowest_reply:?}");
    assert_delivered(&harness, "b1", 7);
}

/// The address of discovery changes while a list is received. None of that list takes effect, and the list of
/// the new server comes into force.
#[test]
fn a_change_of_discovery_discards_a_partly_received_list() {
    let mut harness = Harness::new("midst", |_, _| http_response("200 OK", "", ""));
    let first_entry = list_entry("e", harness.endpoint_address, 7, "Ready");
    let half_sent = Arc::new(AtomicBool::new(false));
    let (listed_entry, half_is_sent) = (first_entry.clone(), half_sent.clone());
    let old_discovery = Discovery::start(move |number, _, stream| {
        if number == 0 {
            return respond(stream, &list(4, true, &listed_entry));
        }
        let response =
            http_response("200 OK", "", &list(5, true, &numbered_entries(0..2000))).unwrap_or_default();
        stream.write_all(&response.as_bytes()[..response.len() / 2])?;
        half_is_sent.store(true, Ordering::SeqCst);
        loop {
            thread::park();
        }
    });
    let new_discovery = Discovery::start(move |number, path, stream| match number {
        0 => respond(stream, &list(2, true, &first_entry)),
        _ => respond_unchanged(stream, path, 2),
    });
    switch_discovery(&mut harness, &old_discovery);
    harness.wait_until("half of the list was sent", |_| half_sent.load(Ordering::SeqCst));
    harness.config =
        harness.config.replace(&old_discovery.address.to_string(), &new_discovery.address.to_string());
    harness.reload(&harness.config);
    harness.wait_until("the new list is in force", |harness| {
        harness.log().contains("discovery: version 2, 1 entries")
    });
    assert_eq!(new_discovery.requests()[0].path, FULL_LIST_PATH);
    assert_delivered(&harness, "a1", 7);
    assert_eq!(put_to(&harness, "a2", 8), "-ERR unknown destination");
}

#[test]
fn check_prints_the_endpoint_limit() {
    let folder = tempfile::tempdir().expect("temporary folder");
    let file = folder.path().join("config.json");
    let state = folder.path().to_str().expect("UTF-8 path");
    for (memory_mb, max_endpoints) in [("192", 375_000), ("32", 23_232), ("16", 31_250)] {
        let config = CONFIG.replace("examples/state", state);
        let config = config.replace(r#""memory_mb": 192"#, &format!(r#""memory_mb": {memory_mb}"#));
        fs::write(&file, config).expect("write the file");
        let result =
            Command::new(env!("CARGO_BIN_EXE_sailcart")).arg("check").arg("--config").arg(&file).output();
        let output = String::from_utf8_lossy(&result.expect("run sailcart").stdout).into_owned();
        assert!(
            output.contains(&format!("{max_endpoints} endpoints listed by discovery at most")),
            "{output}"
        );
    }
}
