//! Stand-ins for what a sender meets, after its published protocol: endpoints, discovery and the platform.
//! Threads and blocking sockets; the tests use them too.

pub mod delayed_connect;
pub mod harness;
pub mod process_control;

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A call as it came.
pub struct Call {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Call {
    pub fn header(&self, name: &str) -> &str {
        self.headers.iter().find(|(other, _)| other.eq_ignore_ascii_case(name)).map_or("", |(_, value)| value)
    }

    fn read(stream: &mut impl BufRead) -> Option<Call> {
        let mut line = || {
            let mut line = String::new();
            (stream.read_line(&mut line).ok()? > 0).then(|| line.trim_end().to_owned())
        };
        let start = line()?;
        let mut headers = Vec::new();
        while let Some((name, value)) = line()?.split_once(':') {
            headers.push((name.to_owned(), value.trim().to_owned()));
        }
        let mut call = Call { start, headers, body: Vec::new() };
        call.body.resize(call.header("Content-Length").parse().unwrap_or(0), 0);
        stream.read_exact(&mut call.body).ok().map(|()| call)
    }
}

/// What a peer writes; without one it closes the connection.
pub type HttpReply = Option<String>;

pub fn http_response(status: &str, headers: &str, body: &str) -> HttpReply {
    Some(format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len()))
}

/// Listens, one thread a connection, and answers each call with what `reply` makes of it.
pub fn serve_http(address: &str, reply: impl Fn(&Call) -> HttpReply + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind(address).expect("a free address");
    let address = listener.local_addr().expect("an address");
    let reply = Arc::new(reply);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let reply = reply.clone();
            thread::spawn(move || serve_connection(stream, &*reply));
        }
    });
    address
}

fn serve_connection(mut stream: TcpStream, reply: &dyn Fn(&Call) -> HttpReply) {
    let Ok(reading) = stream.try_clone() else { return };
    let mut reading = BufReader::new(reading);
    while let Some(call) = Call::read(&mut reading) {
        let Some(answer) = reply(&call) else { return };
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

/// Discovery and the receiver of notices.
#[derive(Default)]
pub struct Platform {
    list: Mutex<(u64, String)>,
    changed: Condvar,
    /// Watches that wait for a change; counted while the list is held.
    open_watches: AtomicUsize,
    pub notices: Mutex<Vec<String>>,
    /// Takes no notices while this is set.
    pub reject_notices: AtomicBool,
    /// Takes notices and acknowledges none while this is set.
    pub withhold_acknowledgements: AtomicBool,
    /// Turns calls for the list away while this is set.
    pub overloaded: AtomicBool,
    /// Calls that it turned away.
    pub rejected_list_requests: AtomicUsize,
    /// What the next call for the list is answered, in place of the list.
    pub next_list_response: Mutex<Option<String>>,
    /// Calls for the list that came.
    pub list_requests: AtomicUsize,
    /// Calls for the list are read and never answered while this is set; those that came then stay so.
    pub unresponsive: AtomicBool,
    /// Watches that came before the n-th call stay silent for good.
    pub ignore_watches_before: AtomicUsize,
    /// Each answer with a list takes this long.
    pub list_delay: Mutex<Duration>,
}

impl Platform {
    pub fn start(address: &str) -> (SocketAddr, Arc<Platform>) {
        let platform = Arc::new(Platform::default());
        let own = platform.clone();
        (serve_http(address, move |call| own.reply(call)), platform)
    }

    /// Puts another list in the place of the old one; watches are told.
    pub fn set_list(&self, entries: &[String]) {
        let mut list = self.list.lock().expect("no panic");
        *list = (list.0 + 1, entries.join(","));
        self.changed.notify_all();
    }

    /// The same, and the call after the watch that hears of it is answered with `slip`. Waits for a watch: a call that is on its way
    /// before would take the slip.
    pub fn set_list_and_next_response(&self, entries: &[String], slip: String) {
        let start = Instant::now();
        loop {
            let mut list = self.list.lock().expect("no panic");
            if self.open_watches.load(Ordering::SeqCst) > 0 {
                *self.next_list_response.lock().expect("no panic") = Some(slip);
                *list = (list.0 + 1, entries.join(","));
                return self.changed.notify_all();
            }
            drop(list);
            assert!(start.elapsed() < Duration::from_secs(20), "no watch came");
            thread::sleep(Duration::from_millis(1));
        }
    }

    fn reply(&self, call: &Call) -> HttpReply {
        if call.start.starts_with("POST /status ") {
            if self.reject_notices.load(Ordering::Relaxed) {
                return None;
            }
            let lines = String::from_utf8_lossy(&call.body);
            self.notices.lock().expect("no panic").extend(lines.lines().map(str::to_owned));
            if self.withhold_acknowledgements.load(Ordering::SeqCst) {
                hold_forever();
            }
            return Some("HTTP/1.1 204 No Content\r\n\r\n".to_owned());
        }
        let number = self.list_requests.fetch_add(1, Ordering::SeqCst);
        if self.unresponsive.load(Ordering::SeqCst) {
            hold_forever();
        }
        thread::sleep(*self.list_delay.lock().expect("no panic"));
        if self.overloaded.load(Ordering::Relaxed) {
            self.rejected_list_requests.fetch_add(1, Ordering::Relaxed);
            return http_response("503 Service Unavailable", "", "");
        }
        if let Some(slip) = self.next_list_response.lock().expect("no panic").take() {
            return http_response("200 OK", "", &slip);
        }
        let query = |name: &str| {
            let (_, after) = call.start.split_once(name)?;
            after.split(['&', ' ']).next()?.parse::<u64>().ok()
        };
        let hold = Duration::from_millis(query("hold_ms=").unwrap_or(0));
        let list = self.list.lock().expect("no panic");
        let from = query("from=");
        self.open_watches.fetch_add(1, Ordering::SeqCst);
        let waited = self.changed.wait_timeout_while(list, hold, |list| Some(list.0) == from);
        let waited = waited.expect("no panic").0;
        self.open_watches.fetch_sub(1, Ordering::SeqCst);
        if number < self.ignore_watches_before.load(Ordering::SeqCst)
            || self.unresponsive.load(Ordering::SeqCst)
        {
            drop(waited);
            hold_forever();
        }
        let (version, entries) = &*waited;
        let (whole, entries) = if Some(*version) == from { (false, "") } else { (true, entries.as_str()) };
        let list = format!(r#"{{"generation":{version},"reset":{whole},"instances":[{entries}]}}"#);
        http_response("200 OK", "", &list)
    }
}

/// The connection stays open, and nothing comes on it any more.
fn hold_forever() -> ! {
    loop {
        thread::park();
    }
}

/// A line of the list.
pub fn list_entry(name: &str, address: SocketAddr, destination: u64, state: &str) -> String {
    format!(
        r#"{{"instanceId":"{name}","hostPort":"{address}","zone":"z","machineType":"k","cell":{destination},
        "lifecycle":"{state}","weight":50.0,"startedAtMs":0}}"#
    )
}

/// The command that hands in a packet about nothing.
pub fn submit_command(id: &str, fields: &str, body: &str) -> String {
    submit_command_for_key("0000000000000000", id, fields, body)
}

pub fn submit_command_for_key(about: &str, id: &str, fields: &str, body: &str) -> String {
    let words = ["MSG.PUT", about, id, fields, body];
    let bulk = |word: &&str| format!("${}\r\n{word}\r\n", word.len());
    format!("*{}\r\n{}", words.len(), words.iter().map(bulk).collect::<String>())
}

/// Hands in one packet as a client does; tells the sender's answer.
pub fn submit(sender: SocketAddr, id: &str, fields: &str, body: &str) -> std::io::Result<String> {
    send_command(sender, &submit_command(id, fields, body))
}

/// Says something on a connection of its own; tells the first line of the answer.
pub fn send_command(sender: SocketAddr, words: &str) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(sender)?;
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    stream.write_all(words.as_bytes())?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line)?;
    Ok(line.trim_end().to_owned())
}
