//! Mock peers of a sender that implement its published protocol: endpoints, discovery and the platform.
//! They use threads and blocking sockets.

pub mod delayed_connect;
pub mod harness;
pub mod process_control;

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A received HTTP request.
pub struct Call {
    /// The request line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Call {
    /// The value of a header, or an empty string without it.
    pub fn header(&self, name: &str) -> &str {
        self.headers.iter().find(|(other, _)| other.eq_ignore_ascii_case(name)).map_or("", |(_, value)| value)
    }

    /// Reads one request; `None` if the connection ends before it is complete.
    pub fn read(stream: &mut impl BufRead) -> Option<Call> {
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

/// The response that a mock server writes; on `None` it closes the connection instead.
pub type HttpReply = Option<String>;

/// A response with a `Content-Length`; each line of `headers` ends with CRLF.
pub fn http_response(status: &str, headers: &str, body: &str) -> HttpReply {
    Some(format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len()))
}

/// A 200 that differs from all others, as that of a server that writes a date or an id.
pub fn numbered_ok(number: usize) -> HttpReply {
    http_response("200 OK", &format!("X-Number: {number}\r\n"), "")
}

/// Starts an HTTP server with one thread per connection that replies to each call with `reply(call)`.
/// Returns its address.
pub fn serve_http(address: &str, reply: impl Fn(&Call) -> HttpReply + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind(address).expect("bind a listener");
    let address = listener.local_addr().expect("read the local address");
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
    let Ok(reader) = stream.try_clone() else { return };
    let mut reader = BufReader::new(reader);
    while let Some(call) = Call::read(&mut reader) {
        let Some(answer) = reply(&call) else { return };
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

/// Mock platform: discovery and the receiver of notices.
#[derive(Default)]
pub struct Platform {
    /// Generation and entries.
    list: Mutex<(u64, String)>,
    changed: Condvar,
    /// Number of watches that wait for a change; updated under the lock of `list`.
    open_watches: AtomicUsize,
    /// Received notices, one JSON text each.
    pub notices: Mutex<Vec<String>>,
    /// While set, connections that carry notices are closed without a response.
    pub reject_notices: AtomicBool,
    /// While set, notices are received and never acknowledged.
    pub withhold_acknowledgements: AtomicBool,
    /// While set, list requests are answered with 503.
    pub overloaded: AtomicBool,
    /// Number of list requests that were answered with 503.
    pub rejected_list_requests: AtomicUsize,
    /// The response body for the next list request, in place of the list.
    pub next_list_response: Mutex<Option<String>>,
    /// Number of list requests received.
    pub list_requests: AtomicUsize,
    /// While set, list requests are read and never answered, also not after it is reset.
    pub unresponsive: AtomicBool,
    /// Watches that were received before the n-th list request are never answered.
    pub ignore_watches_before: AtomicUsize,
    /// Delay before each response to a list request.
    pub list_delay: Mutex<Duration>,
}

impl Platform {
    /// Starts the mock server at `address`; returns the address that it is bound to.
    pub fn start(address: &str) -> (SocketAddr, Arc<Platform>) {
        let platform = Arc::new(Platform::default());
        let handler = platform.clone();
        (serve_http(address, move |call| handler.reply(call)), platform)
    }

    /// Replaces the list under a new generation and wakes the watches.
    pub fn set_list(&self, entries: &[String]) {
        let mut list = self.list.lock().expect("mutex is not poisoned");
        *list = (list.0 + 1, entries.join(","));
        self.changed.notify_all();
    }

    /// Like [`Platform::set_list`]; the list request that follows the woken watch gets `response`. Waits for
    /// an open watch first, since a request that is already under way would otherwise get `response`.
    pub fn set_list_and_next_response(&self, entries: &[String], response: String) {
        let start = Instant::now();
        loop {
            let mut list = self.list.lock().expect("mutex is not poisoned");
            if self.open_watches.load(Ordering::SeqCst) > 0 {
                *self.next_list_response.lock().expect("mutex is not poisoned") = Some(response);
                *list = (list.0 + 1, entries.join(","));
                return self.changed.notify_all();
            }
            drop(list);
            assert!(start.elapsed() < Duration::from_secs(20), "no watch within 20 s");
            thread::sleep(Duration::from_millis(1));
        }
    }

    pub fn reply(&self, call: &Call) -> HttpReply {
        if call.start.starts_with("POST /status ") {
            if self.reject_notices.load(Ordering::Relaxed) {
                return None;
            }
            let lines = String::from_utf8_lossy(&call.body);
            self.notices.lock().expect("mutex is not poisoned").extend(lines.lines().map(str::to_owned));
            if self.withhold_acknowledgements.load(Ordering::SeqCst) {
                block_forever();
            }
            return Some("HTTP/1.1 204 No Content\r\n\r\n".to_owned());
        }
        let number = self.list_requests.fetch_add(1, Ordering::SeqCst);
        if self.unresponsive.load(Ordering::SeqCst) {
            block_forever();
        }
        thread::sleep(*self.list_delay.lock().expect("mutex is not poisoned"));
        if self.overloaded.load(Ordering::Relaxed) {
            self.rejected_list_requests.fetch_add(1, Ordering::Relaxed);
            return http_response("503 Service Unavailable", "", "");
        }
        if let Some(response) = self.next_list_response.lock().expect("mutex is not poisoned").take() {
            return http_response("200 OK", "", &response);
        }
        let query = |name: &str| {
            let (_, after) = call.start.split_once(name)?;
            after.split(['&', ' ']).next()?.parse::<u64>().ok()
        };
        let hold = Duration::from_millis(query("hold_ms=").unwrap_or(0));
        let list = self.list.lock().expect("mutex is not poisoned");
        let from = query("from=");
        self.open_watches.fetch_add(1, Ordering::SeqCst);
        let list_now = self.changed.wait_timeout_while(list, hold, |list| Some(list.0) == from);
        let list_now = list_now.expect("mutex is not poisoned").0;
        self.open_watches.fetch_sub(1, Ordering::SeqCst);
        if number < self.ignore_watches_before.load(Ordering::SeqCst)
            || self.unresponsive.load(Ordering::SeqCst)
        {
            drop(list_now);
            block_forever();
        }
        let (generation, entries) = &*list_now;
        let (reset, entries) = if Some(*generation) == from { (false, "") } else { (true, entries.as_str()) };
        let list = format!(r#"{{"generation":{generation},"reset":{reset},"instances":[{entries}]}}"#);
        http_response("200 OK", "", &list)
    }
}

/// Blocks the thread, which leaves the connection open without any response.
fn block_forever() -> ! {
    loop {
        thread::park();
    }
}

/// One entry of a list, as JSON.
pub fn list_entry(name: &str, address: SocketAddr, destination: u64, state: &str) -> String {
    format!(
        r#"{{"instanceId":"{name}","hostPort":"{address}","zone":"z","machineType":"k","cell":{destination},
        "lifecycle":"{state}","weight":50.0,"startedAtMs":0}}"#
    )
}

/// The MSG.PUT command for a packet without an ordering key.
pub fn submit_command(id: &str, fields: &str, body: &str) -> String {
    submit_command_for_key("0000000000000000", id, fields, body)
}

/// The MSG.PUT command for a packet with an ordering key in hexadecimal; all zeros mean none.
pub fn submit_command_for_key(key: &str, id: &str, fields: &str, body: &str) -> String {
    let arguments = ["MSG.PUT", key, id, fields, body];
    let bulk_string = |argument: &&str| format!("${}\r\n{argument}\r\n", argument.len());
    format!("*{}\r\n{}", arguments.len(), arguments.iter().map(bulk_string).collect::<String>())
}

/// Submits one packet on a connection of its own; returns the first line of the reply.
pub fn submit(sender: SocketAddr, id: &str, fields: &str, body: &str) -> std::io::Result<String> {
    send_command(sender, &submit_command(id, fields, body))
}

/// Writes `command` on a connection of its own; returns the first line of the reply. Fails if there is none
/// within 5 s.
pub fn send_command(sender: SocketAddr, command: &str) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(sender)?;
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    stream.write_all(command.as_bytes())?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line)?;
    Ok(line.trim_end().to_owned())
}
