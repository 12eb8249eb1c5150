//! An endpoint or the platform writes a copy of an earlier response on a connection that is kept alive, where the
//! sender may read it as the response to its next request.

use std::collections::{HashMap, HashSet};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

#[allow(dead_code)] // other tests use the rest of it
mod common;

use common::harness::Harness;
use common::{Call, Platform, http_response, list_entry, send_command, submit, submit_command_for_key};

/// Longer than any expected wait in these tests.
const READ_TIMEOUT: Duration = Duration::from_secs(12);
const UNREPEATABLE: (&str, &str) = (r#""repeat": "dedup""#, r#""repeat": "fragile""#);
const OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
const OK_WITH_REPORT: &str = "HTTP/1.1 200 OK\r\nX-Load-Report: x0=0.5,x1=25\r\nContent-Length: 0\r\n\r\n";
const UNAVAILABLE: &str = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
const NO_CONTENT: &str = "HTTP/1.1 204 No Content\r\n\r\n";
/// How long the endpoints of the report took to respond.
const RESPONSE_TIME: Duration = Duration::from_millis(79);

/// A connection of an endpoint that follows a script.
struct Peer {
    reader: BufReader<TcpStream>,
    ids: Arc<Mutex<Vec<String>>>,
}

impl Peer {
    /// Reads one call and returns the id of its packet; `None` if the connection has ended.
    fn read_call(&mut self) -> Option<String> {
        let mut id = String::new();
        let mut length = 0;
        loop {
            let mut line = String::new();
            if self.reader.read_line(&mut line).ok()? == 0 {
                return None;
            }
            match line.trim_end().split_once(": ") {
                Some(("X-Call-Id", value)) => id = value.to_owned(),
                Some(("Content-Length", value)) => length = value.parse().ok()?,
                None if line == "\r\n" => break,
                _ => {}
            }
        }
        self.reader.read_exact(&mut vec![0; length]).ok()?;
        self.ids.lock().expect("mutex is not poisoned").push(id.clone());
        Some(id)
    }

    fn write(&mut self, bytes: &str) {
        // The sender may have closed the connection; what it has not read is lost, as with any endpoint.
        let _ = self.reader.get_mut().write_all(bytes.as_bytes());
    }

    /// Responds 200 to all further calls.
    fn respond_ok(mut self) {
        while self.read_call().is_some() {
            self.write(OK_WITH_REPORT);
        }
    }
}

/// An endpoint that follows a script.
struct ScriptedEndpoint {
    address: SocketAddr,
    /// The packets of all calls, in order of arrival.
    ids: Arc<Mutex<Vec<String>>>,
}

impl ScriptedEndpoint {
    /// `script` serves the first connection; the others respond 200.
    fn start(script: impl FnOnce(Peer) + Send + 'static) -> ScriptedEndpoint {
        let script = Mutex::new(Some(script));
        Self::start_all(move |peer| {
            let script = script.lock().expect("mutex is not poisoned").take();
            match script {
                Some(script) => script(peer),
                None => peer.respond_ok(),
            }
        })
    }

    /// `script` serves each connection.
    fn start_all(script: impl Fn(Peer) + Send + Sync + 'static) -> ScriptedEndpoint {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind a listener");
        let address = listener.local_addr().expect("read the local address");
        let ids = Arc::new(Mutex::new(Vec::new()));
        let all_ids = ids.clone();
        thread::spawn(move || {
            let script = Arc::new(script);
            for stream in listener.incoming().flatten() {
                stream.set_nodelay(true).expect("set TCP_NODELAY");
                stream.set_read_timeout(Some(READ_TIMEOUT)).expect("set the read timeout");
                let peer = Peer { reader: BufReader::new(stream), ids: all_ids.clone() };
                let script = script.clone();
                thread::spawn(move || script(peer));
            }
        });
        ScriptedEndpoint { address, ids }
    }

    fn calls_with(&self, id: &str) -> usize {
        self.ids.lock().expect("mutex is not poisoned").iter().filter(|other| *other == id).count()
    }
}

/// Starts a sender whose only endpoint is `endpoint`.
fn start_sender(scenario: &str, endpoint: &ScriptedEndpoint, changes: &[(&str, &str)]) -> Harness {
    let mut harness = Harness::new(scenario, |_, _| http_response("200 OK", "", ""));
    if !changes.is_empty() {
        harness.restart_with(changes);
    }
    harness.platform.set_list(&[list_entry("f", endpoint.address, 7, "Ready")]);
    harness.wait_until("the list change", |harness| harness.log().contains("discovery: version 2"));
    harness
}

/// Submits a packet with a patience in milliseconds.
fn submit_with_patience(harness: &Harness, id: &str, patience_ms: u32) {
    let fields = format!("c=notice,t=acme,d={patience_ms},k={id},dest=7");
    let reply = submit(harness.listen_address, id, &fields, "hello");
    assert_eq!(reply.expect("the sender replies"), "+OK");
}

fn has_notice(harness: &Harness, id: &str) -> bool {
    harness.notices().iter().any(|notice| notice.contains(id))
}

/// Two channels by which a script and its test wait for each other.
fn rendezvous() -> (Sender<()>, Receiver<()>) {
    channel()
}

/// The number of calls with a2, which is refused behind `copy`, once it has been repeated or ended by a notice.
fn calls_with_a_refused_packet(scenario: &str, true_ok: &'static str, copy: &'static str) -> usize {
    let endpoint = ScriptedEndpoint::start(move |mut peer| {
        peer.read_call();
        peer.write(true_ok);
        if peer.read_call().is_some() {
            peer.write(copy);
            thread::sleep(RESPONSE_TIME);
            peer.write(UNAVAILABLE);
        }
        peer.respond_ok();
    });
    let harness = start_sender(scenario, &endpoint, &[]);
    submit_with_patience(&harness, "a1", 8000);
    harness.wait_until("the first call", |_| endpoint.calls_with("a1") == 1);
    harness.wait_until("its outcome", |harness| harness.log().contains("packet a1 from"));
    submit_with_patience(&harness, "a2", 8000);
    harness.wait_until("a repeat or a notice", |harness| {
        endpoint.calls_with("a2") == 2 || has_notice(harness, "a2")
    });
    endpoint.calls_with("a2")
}

#[test]
fn a_copy_of_the_previous_200_behind_a_call_does_not_lose_its_refused_packet() {
    assert_eq!(calls_with_a_refused_packet("copy-200", OK, OK), 2, "repeated in time");
}

#[test]
fn a_refused_packet_is_repeated_where_no_copy_is_written() {
    assert_eq!(calls_with_a_refused_packet("no-copy", OK, ""), 2);
}

#[test]
fn the_response_displaced_by_a_copy_does_not_end_the_next_call() {
    let (submit_next, may_submit) = rendezvous();
    let endpoint = ScriptedEndpoint::start(move |mut peer| {
        peer.read_call();
        peer.write(OK);
        peer.read_call();
        peer.write(OK);
        submit_next.send(()).expect("the test waits");
        thread::sleep(RESPONSE_TIME);
        peer.write(OK_WITH_REPORT);
        if peer.read_call().is_some() {
            thread::sleep(RESPONSE_TIME);
            peer.write(UNAVAILABLE);
        }
        peer.respond_ok();
    });
    let harness = start_sender("copy-chain", &endpoint, &[]);
    for id in ["a1", "a2"] {
        submit_with_patience(&harness, id, 6000);
        harness.wait_until("the call", |_| endpoint.calls_with(id) == 1);
        harness.wait_until("its outcome", |harness| harness.log().contains(&format!("packet {id} from")));
    }
    may_submit.recv_timeout(READ_TIMEOUT).expect("the copy was written");
    submit_with_patience(&harness, "a3", 6000);
    harness.wait_until("a3 is delivered or its end is told", |harness| {
        let delivered_elsewhere =
            endpoint.calls_with("a3") == 1 && !harness.log().contains("packet a3: written on connection=1 ");
        endpoint.calls_with("a3") == 2 || delivered_elsewhere || has_notice(harness, "a3")
    });
}

#[test]
fn a_copy_of_a_refusal_does_not_execute_an_unrepeatable_packet_twice() {
    let endpoint = ScriptedEndpoint::start(|mut peer| {
        peer.read_call();
        peer.write(UNAVAILABLE);
        while peer.read_call().is_some() {
            peer.write(UNAVAILABLE);
            thread::sleep(RESPONSE_TIME);
            peer.write(OK);
        }
    });
    let harness = start_sender("copy-refusal", &endpoint, &[UNREPEATABLE]);
    submit_with_patience(&harness, "a1", 4000);
    harness.wait_until("the packet is called again", |_| endpoint.calls_with("a1") >= 2);
    // Everything after the first call may have executed the packet.
    thread::sleep(Duration::from_secs(4));
    assert_eq!(endpoint.calls_with("a1"), 2, "{}", harness.log());
}

/// A platform that writes a copy of its first 204 behind the second call with notices on a connection, and
/// refuses that call. Returns its address and the lines of the calls that it acknowledged.
fn start_platform_with_copies(list: String) -> (SocketAddr, Arc<Mutex<Vec<String>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a listener");
    let address = listener.local_addr().expect("read the local address");
    let acknowledged = Arc::new(Mutex::new(Vec::new()));
    let lines = acknowledged.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (list, lines) = (list.clone(), lines.clone());
            thread::spawn(move || serve_platform_connection(stream, &list, &lines));
        }
    });
    (address, acknowledged)
}

fn serve_platform_connection(mut stream: TcpStream, list: &str, acknowledged: &Mutex<Vec<String>>) {
    let Ok(reader) = stream.try_clone() else { return };
    let mut reader = BufReader::new(reader);
    let mut notice_calls = 0;
    while let Some(call) = Call::read(&mut reader) {
        let response = if call.start.starts_with("GET ") {
            thread::sleep(Duration::from_millis(200));
            http_response("200 OK", "", list).expect("an HTTP response")
        } else if notice_calls == 1 {
            notice_calls += 1;
            if stream.write_all(NO_CONTENT.as_bytes()).is_err() {
                return;
            }
            thread::sleep(RESPONSE_TIME);
            UNAVAILABLE.to_owned()
        } else {
            notice_calls += 1;
            let body = String::from_utf8_lossy(&call.body).into_owned();
            acknowledged.lock().expect("mutex is not poisoned").extend(body.lines().map(str::to_owned));
            NO_CONTENT.to_owned()
        };
        if stream.write_all(response.as_bytes()).is_err() {
            return;
        }
    }
}

#[test]
fn a_copy_of_an_acknowledgement_does_not_lose_the_notices_of_another_call() {
    let mut harness = Harness::new("copy-204", |_, _| http_response("200 OK", "", ""));
    let entry = list_entry("e", harness.endpoint_address, 7, "Terminating");
    let list = format!(r#"{{"generation":1,"reset":true,"instances":[{entry}]}}"#);
    let (platform, acknowledged) = start_platform_with_copies(list);
    let discovery = harness.discovery_address.to_string();
    harness.restart_with(&[(&discovery, &platform.to_string()), (r#""aim_ms": 3000"#, r#""aim_ms": 500"#)]);
    let is_acknowledged = |id: &str| {
        acknowledged.lock().expect("mutex is not poisoned").iter().any(|line: &String| line.contains(id))
    };
    for id in ["a1", "a2", "a3"] {
        submit_with_patience(&harness, id, 20_000);
        harness.wait_until("the notice", |_| is_acknowledged(id));
    }
}

/// How a copy is written.
#[derive(Clone, Copy, Debug)]
enum CopyForm {
    Whole,
    Twice,
    InTwoParts,
    WithNoise,
    /// In one write with the response that it displaces.
    WithNextResponse,
}

/// What an endpoint did with each packet.
#[derive(Default)]
struct Tally {
    executions: HashMap<String, usize>,
    /// Delivered, or over for the endpoint.
    ended: HashSet<String>,
    responses: usize,
}

impl Tally {
    /// Draws the response to a call: mostly a delivery, sometimes a refusal.
    fn respond(&mut self, id: &str, first_on_connection: Option<&'static str>) -> &'static str {
        self.responses += 1;
        let response = first_on_connection.unwrap_or(match self.responses % 3 {
            0 => OK_WITH_REPORT,
            1 => UNAVAILABLE,
            _ => OK,
        });
        let status = &response[9..12];
        if matches!(status, "200" | "204" | "500") {
            *self.executions.entry(id.to_owned()).or_default() += 1;
        }
        if matches!(status, "200" | "410") {
            self.ended.insert(id.to_owned());
        }
        response
    }
}

/// Responds `first` to the first call, and a copy of the previous response before its own to each other.
fn serve_with_copies(mut peer: Peer, first: &'static str, form: CopyForm, tally: &Mutex<Tally>) {
    let respond = |id: &str, first: Option<&'static str>| {
        tally.lock().expect("mutex is not poisoned").respond(id, first)
    };
    let Some(id) = peer.read_call() else { return };
    let mut previous = respond(&id, Some(first));
    peer.write(previous);
    while let Some(id) = peer.read_call() {
        match form {
            CopyForm::Whole => peer.write(previous),
            CopyForm::Twice => peer.write(&previous.repeat(2)),
            CopyForm::WithNoise => peer.write(&format!("{previous}noise")),
            CopyForm::InTwoParts => {
                peer.write(&previous[..20]);
                thread::sleep(Duration::from_millis(30));
                peer.write(&previous[20..]);
            }
            CopyForm::WithNextResponse => {}
        }
        thread::sleep(RESPONSE_TIME);
        let response = respond(&id, None);
        match form {
            CopyForm::WithNextResponse => peer.write(&format!("{previous}{response}")),
            _ => peer.write(response),
        }
        previous = response;
    }
}

/// Sends packets to an endpoint that writes copies, and returns what is wrong with their ends.
fn faults_with_copies(first: &'static str, form: CopyForm, changes: &[(&str, &str)]) -> Vec<String> {
    let tally = Arc::new(Mutex::new(Tally::default()));
    let endpoint_tally = tally.clone();
    let endpoint = ScriptedEndpoint::start_all(move |peer| {
        serve_with_copies(peer, first, form, &endpoint_tally);
    });
    let scenario = format!("copies-{}-{}-{form:?}-{}", &first[9..12], first.len(), changes.len());
    let harness = start_sender(&scenario, &endpoint, changes);
    let ids: Vec<String> = (0..8).map(|number| format!("p{number}")).collect();
    for id in &ids {
        submit_with_patience(&harness, id, 2500);
        thread::sleep(Duration::from_millis(150));
    }
    // The patience of the last packet, the 300 ms within which its end is told, and time for a slow machine.
    thread::sleep(Duration::from_millis(2500 + 300 + 700));
    let tally = tally.lock().expect("mutex is not poisoned");
    let mut faults = Vec::new();
    for id in &ids {
        if !tally.ended.contains(id) && !has_notice(&harness, id) {
            faults.push(format!("{scenario}: {id} has no end\n{}", harness.log()));
        }
        let executions = tally.executions.get(id).copied().unwrap_or(0);
        if changes.contains(&UNREPEATABLE) && executions > 1 {
            faults.push(format!("{scenario}: {id} was executed {executions} times\n{}", harness.log()));
        }
    }
    faults
}

const FIRST_RESPONSES: [&str; 9] = [
    OK,
    OK_WITH_REPORT,
    NO_CONTENT,
    "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 429 Too Many Requests\r\nRetry-After: 0.1\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n",
    UNAVAILABLE,
    "HTTP/1.1 504 Gateway Timeout\r\nContent-Length: 0\r\n\r\n",
];
const FORMS: [CopyForm; 5] =
    [CopyForm::Whole, CopyForm::Twice, CopyForm::InTwoParts, CopyForm::WithNoise, CopyForm::WithNextResponse];

/// Runs all combinations of responses and forms, some at a time.
fn all_faults_with_copies(changes: &'static [(&'static str, &'static str)]) -> Vec<String> {
    let mut faults = Vec::new();
    for form in FORMS {
        let runs =
            FIRST_RESPONSES.map(|first| thread::spawn(move || faults_with_copies(first, form, changes)));
        faults.extend(runs.into_iter().flat_map(|run| run.join().expect("the run does not panic")));
    }
    faults
}

#[test]
fn copies_of_any_response_in_any_form_lose_no_packet() {
    let faults = all_faults_with_copies(&[]);
    assert!(faults.is_empty(), "{} faults\n{}", faults.len(), faults.join("\n"));
}

#[test]
fn copies_of_any_response_in_any_form_lose_no_unrepeatable_packet_and_execute_none_twice() {
    let faults = all_faults_with_copies(&[UNREPEATABLE]);
    assert!(faults.is_empty(), "{} faults\n{}", faults.len(), faults.join("\n"));
}

/// Makes the sender expect extra responses: the endpoint's connection gets one after the call with `id`.
fn provoke_extra_response(harness: &Harness, endpoint: &ScriptedEndpoint, id: &str) {
    submit_with_patience(harness, id, 8000);
    harness.wait_until("the call", |_| endpoint.calls_with(id) == 1);
    harness.wait_until("the extra response", |harness| harness.log().contains("responses: extra=1 "));
}

/// An endpoint that writes an extra response on its first connection; `script` serves the others.
fn start_after_extra_response(script: impl Fn(Peer) + Send + Sync + 'static) -> ScriptedEndpoint {
    let connections = AtomicUsize::new(0);
    ScriptedEndpoint::start_all(move |mut peer| {
        if connections.fetch_add(1, Ordering::SeqCst) > 0 {
            return script(peer);
        }
        peer.read_call();
        peer.write(OK);
        thread::sleep(Duration::from_millis(20));
        peer.write(OK);
        while peer.read_call().is_some() {}
    })
}

#[test]
fn a_delivery_in_doubt_whose_response_never_comes_ends_with_a_notice_at_its_deadline() {
    let endpoint = start_after_extra_response(move |mut peer| {
        peer.read_call();
        peer.write(OK);
        peer.read_call();
        peer.write(OK);
        // The copy is all that this call gets.
        while peer.read_call().is_some() {}
    });
    let harness = start_sender("copy-hang", &endpoint, &[]);
    provoke_extra_response(&harness, &endpoint, "a1");
    for id in ["a2", "a3"] {
        let submitted_at = Instant::now();
        submit_with_patience(&harness, id, 2000);
        harness.wait_until("the call", |_| endpoint.calls_with(id) == 1);
        harness.wait_until("its outcome", |harness| harness.log().contains(&format!("packet {id} from")));
        if id == "a3" {
            harness.wait_until("the notice", |harness| has_notice(harness, "a3"));
            assert!(submitted_at.elapsed() < Duration::from_millis(2300), "{:?}", submitted_at.elapsed());
        }
    }
    assert!(!has_notice(&harness, "a2"), "the first response on a connection is certain");
}

#[test]
fn a_kill_between_a_copy_and_the_displaced_refusal_does_not_lose_the_packet() {
    let (copy_written, may_kill) = rendezvous();
    let copy_written = Mutex::new(copy_written);
    let endpoint = start_after_extra_response(move |mut peer| {
        peer.read_call();
        peer.write(OK);
        if peer.read_call().as_deref() == Some("a3") {
            peer.write(OK);
            copy_written.lock().expect("mutex is not poisoned").send(()).expect("the test waits");
            thread::sleep(Duration::from_secs(1));
            peer.write(UNAVAILABLE);
        }
        while peer.read_call().is_some() {}
    });
    let mut harness = start_sender("copy-kill", &endpoint, &[]);
    provoke_extra_response(&harness, &endpoint, "a1");
    submit_with_patience(&harness, "a2", 8000);
    harness.wait_until("the outcome", |harness| harness.log().contains("packet a2 from"));
    submit_with_patience(&harness, "a3", 8000);
    may_kill.recv_timeout(READ_TIMEOUT).expect("the copy was written");
    harness.wait_until("the outcome", |harness| harness.log().contains("packet a3 from"));
    harness.kill();
    harness.start();
    harness.wait_until("a repeat or a notice", |harness| {
        endpoint.calls_with("a3") == 2 || has_notice(harness, "a3")
    });
}

/// Starts a sender and submits a packet, `a1`, that gets the first response on the connection.
fn start_with_first_response(scenario: &str, endpoint: &ScriptedEndpoint) -> Harness {
    let harness = start_sender(scenario, endpoint, &[]);
    submit_with_patience(&harness, "a1", 8000);
    harness.wait_until("its outcome", |harness| harness.log().contains("packet a1 from"));
    harness
}

/// Submits a packet whose call gets a copy of an earlier 200, and waits for its outcome.
fn submit_for_copy(harness: &Harness, id: &str, patience_ms: u32) {
    submit_with_patience(harness, id, patience_ms);
    harness.wait_until("its outcome", |harness| harness.log().contains(&format!("packet {id} from")));
}

// Guards against losing a packet that the first copy of a process reports as delivered, by what follows the copy.
#[test]
fn a_refusal_behind_the_first_copy_that_is_read_as_the_next_call_s_response_loses_no_packet() {
    const REFUSALS: [&str; 5] = [
        "HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 429 Too Many Requests\r\nRetry-After: 0.2\r\nContent-Length: 0\r\n\r\n",
        UNAVAILABLE,
        "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 504 Gateway Timeout\r\nContent-Length: 0\r\n\r\n",
    ];
    thread::scope(|scope| {
        for (number, refusal) in REFUSALS.into_iter().enumerate() {
            scope.spawn(move || {
                let endpoint = ScriptedEndpoint::start(move |mut peer| {
                    peer.read_call();
                    peer.write(OK);
                    peer.read_call();
                    peer.write(OK);
                    peer.read_call();
                    peer.write(refusal);
                    while peer.read_call().is_some() {}
                });
                let harness = start_with_first_response(&format!("first-copy-{number}"), &endpoint);
                submit_for_copy(&harness, "a2", 3000);
                submit_with_patience(&harness, "a3", 3000);
                harness.wait_until("a repeat of a2 or its notice", |harness| {
                    endpoint.calls_with("a2") == 2 || has_notice(harness, "a2")
                });
                harness.wait_until("a repeat of a3 or its notice", |harness| {
                    endpoint.calls_with("a3") == 2 || has_notice(harness, "a3")
                });
                assert!(!has_notice(&harness, "a1"), "the first response on a connection is certain");
            });
        }
    });
}

// Guards against losing a packet that the first copy of a process reports as delivered, where no response follows.
#[test]
fn the_first_copy_of_a_process_and_silence_or_a_close_behind_it_lose_no_packet() {
    for (scenario, closes) in [("first-copy-hang", false), ("first-copy-close", true)] {
        let endpoint = ScriptedEndpoint::start(move |mut peer| {
            peer.read_call();
            peer.write(OK);
            peer.read_call();
            peer.write(OK);
            while !closes && peer.read_call().is_some() {}
        });
        let harness = start_with_first_response(scenario, &endpoint);
        submit_for_copy(&harness, "a2", 2000);
        harness.wait_until("the notice", |harness| has_notice(harness, "a2"));
    }
}

// Guards against losing a packet that the first copy of a process reports as delivered, by a kill behind the copy.
#[test]
fn a_kill_behind_the_first_copy_of_a_process_loses_no_packet() {
    let endpoint = ScriptedEndpoint::start(move |mut peer| {
        peer.read_call();
        peer.write(OK);
        peer.read_call();
        peer.write(OK);
        while peer.read_call().is_some() {}
    });
    let mut harness = start_with_first_response("first-copy-kill", &endpoint);
    submit_for_copy(&harness, "a2", 8000);
    harness.kill();
    harness.start();
    harness.wait_until("a repeat or a notice", |harness| {
        endpoint.calls_with("a2") == 2 || has_notice(harness, "a2")
    });
}

// Guards against notices of more delivered packets than may have been displaced, and before their deadlines.
#[test]
fn of_packets_with_equal_responses_only_the_last_two_on_a_connection_get_a_notice_at_their_deadlines() {
    let endpoint = ScriptedEndpoint::start_all(|mut peer| {
        while peer.read_call().is_some() {
            peer.write(OK);
        }
    });
    let harness = start_with_first_response("equal-responses", &endpoint);
    for id in ["a2", "a3", "a4", "a5", "a6"] {
        submit_for_copy(&harness, id, 2000);
    }
    let submitted_at = Instant::now();
    thread::sleep(Duration::from_millis(1500));
    assert_eq!(harness.notices(), [""; 0], "before the deadlines");
    harness.wait_until("the notices", |harness| has_notice(harness, "a5") && has_notice(harness, "a6"));
    assert!(submitted_at.elapsed() < Duration::from_millis(2350), "{:?}", submitted_at.elapsed());
    assert!(["a1", "a2", "a3", "a4"].iter().all(|id| !has_notice(&harness, id)), "{:?}", harness.notices());
    assert_eq!(endpoint.ids.lock().expect("mutex is not poisoned").len(), 6, "each packet was sent once");
}

#[test]
fn the_wait_in_a_displaced_response_is_heeded() {
    const RETRY_AFTER: Duration = Duration::from_millis(2000);
    const WAIT: &str = "HTTP/1.1 429 Too Many Requests\r\nRetry-After: 2.0\r\nContent-Length: 0\r\n\r\n";
    let (wait_written, may_submit) = rendezvous();
    let endpoint = ScriptedEndpoint::start(move |mut peer| {
        peer.read_call();
        peer.write(OK);
        peer.read_call();
        peer.write(OK);
        thread::sleep(RESPONSE_TIME);
        peer.write(WAIT);
        wait_written.send(()).expect("the test waits");
        while peer.read_call().is_some() {}
    });
    let harness = start_sender("copy-wait", &endpoint, &[]);
    for id in ["a1", "a2"] {
        submit_with_patience(&harness, id, 8000);
        harness.wait_until("its outcome", |harness| harness.log().contains(&format!("packet {id} from")));
    }
    may_submit.recv_timeout(READ_TIMEOUT).expect("the wait was written");
    let told_at = Instant::now();
    harness.wait_until("the sender reads it", |harness| harness.log().contains("responses: extra=1 "));
    submit_with_patience(&harness, "a3", 8000);
    harness.wait_until("a2 and a3 are called", |_| {
        endpoint.calls_with("a2") == 2 && endpoint.calls_with("a3") == 1
    });
    assert!(told_at.elapsed() >= RETRY_AFTER, "called after {:?}", told_at.elapsed());
}

#[test]
fn a_copy_of_a_list_of_another_call_s_packets_is_skipped() {
    let batches = (r#""kind_batch": [1]"#, r#""kind_batch": [3]"#);
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a listener");
    let address = listener.local_addr().expect("read the local address");
    let calls = Arc::new(Mutex::new(Vec::<String>::new()));
    let endpoint_calls = calls.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let calls = endpoint_calls.clone();
            thread::spawn(move || serve_batches(stream, &calls));
        }
    });
    let mut harness = Harness::new("copy-batch", |_, _| http_response("200 OK", "", ""));
    harness.restart_with(&[batches, (r#""period_ms": 5"#, r#""period_ms": 200"#)]);
    harness.platform.set_list(&[list_entry("f", address, 7, "Ready")]);
    harness.wait_until("the list change", |harness| harness.log().contains("discovery: version 2"));
    for ids in [["a1", "a2"], ["b1", "b2"], ["c1", "c2"]] {
        let submissions = ids.map(|id| {
            let address = harness.listen_address;
            let fields = format!("c=notice,t=acme,d=8000,k={id},dest=7");
            thread::spawn(move || submit(address, id, &fields, "hello").expect("the sender replies"))
        });
        for submission in submissions {
            assert_eq!(submission.join().expect("no panic"), "+OK");
        }
        harness.wait_until_store_shows("0 packets not completed");
    }
    assert_eq!(harness.notices(), [""; 0]);
    let calls = calls.lock().expect("mutex is not poisoned");
    assert_eq!(calls.len(), 3, "each packet was sent once: {calls:?}");
}

/// Accepts all packets of each call with several, and writes a copy of the list before it first.
fn serve_batches(mut stream: TcpStream, calls: &Mutex<Vec<String>>) {
    let Ok(reader) = stream.try_clone() else { return };
    let mut reader = BufReader::new(reader);
    let mut previous: Option<String> = None;
    while let Some(call) = Call::read(&mut reader) {
        let body = String::from_utf8_lossy(&call.body).into_owned();
        let ids = ["a1", "a2", "b1", "b2", "c1", "c2"].into_iter().filter(|id| body.contains(id));
        let states: Vec<String> = ids.map(|id| format!(r#"{{"id":"{id}","state":"accepted"}}"#)).collect();
        let response = http_response("200 OK", "", &format!("[{}]", states.join(",")));
        let response = response.expect("an HTTP response");
        calls.lock().expect("mutex is not poisoned").push(body);
        if let Some(copy) = previous.replace(response.clone()) {
            let _ = stream.write_all(copy.as_bytes());
            thread::sleep(RESPONSE_TIME);
        }
        if stream.write_all(response.as_bytes()).is_err() {
            return;
        }
    }
}

#[test]
fn the_wait_in_a_refusal_in_doubt_is_heeded_while_the_doubt_lasts() {
    const RETRY_AFTER: Duration = Duration::from_millis(1000);
    const WAIT: &str = "HTTP/1.1 429 Too Many Requests\r\nRetry-After: 1.0\r\nContent-Length: 0\r\n\r\n";
    let (wait_written, may_submit) = channel();
    let endpoint = ScriptedEndpoint::start(move |mut peer| {
        // The second refusal equals the first, so it is in doubt.
        for _ in 0..2 {
            peer.read_call();
            peer.write(WAIT);
            wait_written.send(Instant::now()).expect("the test waits");
        }
        peer.respond_ok();
    });
    let harness = start_sender("doubtful-wait", &endpoint, &[]);
    submit_with_patience(&harness, "a1", 8000);
    may_submit.recv_timeout(READ_TIMEOUT).expect("the first wait");
    let second_wait = may_submit.recv_timeout(READ_TIMEOUT).expect("the second wait");
    submit_with_patience(&harness, "a2", 8000);
    harness.wait_until("a2 is called", |_| endpoint.calls_with("a2") == 1);
    assert!(second_wait.elapsed() >= RETRY_AFTER, "called after {:?}", second_wait.elapsed());
}

#[test]
fn a_round_for_a_delivery_in_doubt_does_not_displace_the_round_in_which_a_packet_expires() {
    const SOFT_LIMIT: Duration = Duration::from_secs(3);
    let endpoint = ScriptedEndpoint::start(|mut peer| {
        while peer.read_call().is_some() {
            peer.write(OK);
        }
    });
    let many_senders = (r#""balancers": 1"#, r#""balancers": 24"#);
    let harness = start_sender("doubt-round", &endpoint, &[many_senders]);
    harness.platform.set_list(&[
        list_entry("f", endpoint.address, 7, "Ready"),
        list_entry("g", harness.endpoint_address, 8, "Terminating"),
    ]);
    harness.wait_until("the list change", |harness| harness.log().contains("discovery: version 3"));
    let submitted_at = Instant::now();
    // Its destination has no endpoint, so it is dismissed after the soft limit.
    let reply = submit(harness.listen_address, "b1", "c=notice,t=acme,d=20000,k=b1,dest=8", "hello");
    assert_eq!(reply.expect("the sender replies"), "+OK");
    for id in ["a1", "a2"] {
        submit_with_patience(&harness, id, 20_000);
        harness.wait_until("its outcome", |harness| harness.log().contains(&format!("packet {id} from")));
    }
    harness.wait_until("the notice", |harness| has_notice(harness, "b1"));
    let elapsed = submitted_at.elapsed();
    assert!(elapsed < SOFT_LIMIT + Duration::from_millis(300), "told after {elapsed:?}");
}

const IN_ORDER: (&str, &str) = (r#""repeat": "dedup""#, r#""fifo_by_key": true, "repeat": "fragile""#);

/// Submits a packet of a key whose packets go in order.
fn submit_in_order(harness: &Harness, id: &str, patience_ms: u32) {
    let fields = format!("c=notice,t=acme,d={patience_ms},k={id},dest=7");
    let command = submit_command_for_key("00000000000000aa", id, &fields, "hello");
    assert_eq!(send_command(harness.listen_address, &command).expect("the sender replies"), "+OK");
}

#[test]
fn a_copy_does_not_let_the_next_packet_of_a_key_overtake_the_one_that_it_hides() {
    const CALLS_BEFORE: usize = 10;
    let response = |number: usize| {
        format!("HTTP/1.1 200 OK\r\nX-Load-Report: x0=0.5,x1={number}\r\nContent-Length: 0\r\n\r\n")
    };
    let endpoint = ScriptedEndpoint::start(move |mut peer| {
        for number in 1..=CALLS_BEFORE {
            peer.read_call();
            peer.write(&response(number));
        }
        // The copy, with noise, is all that the next call gets.
        peer.read_call();
        peer.write(&format!("{}noise", response(CALLS_BEFORE)));
        while peer.read_call().is_some() {}
    });
    let harness = start_sender("copy-order", &endpoint, &[IN_ORDER]);
    for number in 1..=CALLS_BEFORE {
        let id = format!("a{number:02}");
        let fields = format!("c=notice,t=acme,d=8000,k={id},dest=7");
        let reply = submit(harness.listen_address, &id, &fields, "hello");
        assert_eq!(reply.expect("the sender replies"), "+OK");
        harness.wait_until("its outcome", |harness| harness.log().contains(&format!("packet {id} from")));
    }
    submit_in_order(&harness, "b2", 4000);
    harness.wait_until("its outcome", |harness| harness.log().contains("packet b2 from"));
    assert!(harness.log().contains("packet b2: written on connection=1 "), "{}", harness.log());
    thread::sleep(Duration::from_millis(300));
    submit_in_order(&harness, "b3", 20_000);
    harness.wait_until("b3 is called", |_| endpoint.calls_with("b3") == 1);
    assert!(has_notice(&harness, "b2"), "b3 was sent before the end of b2\n{}", harness.log());
}

#[test]
fn a_packet_in_order_goes_on_a_new_connection_where_all_responses_are_equal() {
    let endpoint = ScriptedEndpoint::start_all(|mut peer| {
        while peer.read_call().is_some() {
            peer.write(OK);
        }
    });
    let harness = start_sender("order-new", &endpoint, &[IN_ORDER]);
    for id in ["a1", "a2", "a3"] {
        submit_in_order(&harness, id, 8000);
        harness.wait_until("its outcome", |harness| harness.log().contains(&format!("packet {id} from")));
    }
    let on_new_connection = harness.log().lines().filter(|line| line.contains(" calls=0")).count();
    assert_eq!(on_new_connection, 3, "{}", harness.log());
}

/// A discovery that writes a copy of the previous response on a connection before each further one.
fn start_discovery_with_copies(platform: Arc<Platform>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a listener");
    let address = listener.local_addr().expect("read the local address");
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let platform = platform.clone();
            thread::spawn(move || {
                let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
                let mut previous = String::new();
                while let Some(call) = Call::read(&mut reader) {
                    let _ = stream.write_all(previous.as_bytes());
                    previous = platform.reply(&call).expect("a response");
                    if stream.write_all(previous.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

#[test]
fn copies_of_lists_delay_no_change_by_six_seconds_and_undo_none() {
    const MAX_LIST_DELAY: Duration = Duration::from_secs(6);
    let mut harness = Harness::new("copy-list", |_, _| http_response("200 OK", "", ""));
    let discovery = start_discovery_with_copies(harness.platform.clone());
    let old_discovery = harness.discovery_address.to_string();
    harness.restart_with(&[(&old_discovery, &discovery.to_string())]);
    let entry = |state| list_entry("e", harness.endpoint_address, 7, state);
    for (round, (state, accepted)) in
        [("Terminating", false), ("Ready", true), ("Terminating", false), ("Ready", true)].iter().enumerate()
    {
        harness.platform.set_list(&[entry(state)]);
        let changed_at = Instant::now();
        let version = format!("discovery: version {}, 1 entries", round + 2);
        harness.wait_until("the list change", |harness| harness.log().contains(&version));
        assert!(changed_at.elapsed() < MAX_LIST_DELAY, "{:?}", changed_at.elapsed());
        // Time for copies of the list before to arrive and be put in force, if they could be.
        thread::sleep(Duration::from_millis(700));
        let id = format!("p{round}");
        submit_with_patience(&harness, &id, 20_000);
        thread::sleep(Duration::from_millis(300));
        assert_eq!(harness.received_ids().contains(&id), *accepted, "{}", harness.log());
        if !accepted {
            harness.wait_until("its end", |harness| has_notice(harness, &id));
        }
    }
}
