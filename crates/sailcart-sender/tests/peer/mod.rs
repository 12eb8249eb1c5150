//! Stand-ins for what a sender meets, after its published protocol: endpoints, discovery and the platform.
//! Threads and blocking sockets; the tests use them too.

pub mod late;
pub mod moments;
pub mod world;

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
pub type SubmitReply = Option<String>;

pub fn answer(status: &str, headers: &str, body: &str) -> SubmitReply {
    Some(format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len()))
}

/// Listens, one thread a connection, and answers each call with what `reply` makes of it.
pub fn listen(address: &str, reply: impl Fn(&Call) -> SubmitReply + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind(address).expect("a free address");
    let address = listener.local_addr().expect("an address");
    let reply = Arc::new(reply);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let reply = reply.clone();
            thread::spawn(move || converse(stream, &*reply));
        }
    });
    address
}

fn converse(mut stream: TcpStream, reply: &dyn Fn(&Call) -> SubmitReply) {
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
    watching: AtomicUsize,
    pub notices: Mutex<Vec<String>>,
    /// Takes no notices while this is set.
    pub deaf: AtomicBool,
    /// Takes notices and acknowledges none while this is set.
    pub mute: AtomicBool,
    /// Turns calls for the list away while this is set.
    pub busy: AtomicBool,
    /// Calls that it turned away.
    pub turned_away: AtomicUsize,
    /// What the next call for the list is answered, in place of the list.
    pub slip: Mutex<Option<String>>,
    /// Calls for the list that came.
    pub asked: AtomicUsize,
    /// Calls for the list are read and never answered while this is set; those that came then stay so.
    pub silent: AtomicBool,
    /// Watches that came before the n-th call stay silent for good.
    pub deaf_before: AtomicUsize,
    /// Each answer with a list takes this long.
    pub slow: Mutex<Duration>,
}

impl Platform {
    pub fn start(address: &str) -> (SocketAddr, Arc<Platform>) {
        let platform = Arc::new(Platform::default());
        let own = platform.clone();
        (listen(address, move |call| own.reply(call)), platform)
    }

    /// Puts another list in the place of the old one; watches are told.
    pub fn list(&self, entries: &[String]) {
        let mut list = self.list.lock().expect("no panic");
        *list = (list.0 + 1, entries.join(","));
        self.changed.notify_all();
    }

    /// The same, and the call after the watch that hears of it is answered with `slip`. Waits for a watch: a call that is on its way
    /// before would take the slip.
    pub fn list_and_slip(&self, entries: &[String], slip: String) {
        let start = Instant::now();
        loop {
            let mut list = self.list.lock().expect("no panic");
            if self.watching.load(Ordering::SeqCst) > 0 {
                *self.slip.lock().expect("no panic") = Some(slip);
                *list = (list.0 + 1, entries.join(","));
                return self.changed.notify_all();
            }
            drop(list);
            assert!(start.elapsed() < Duration::from_secs(20), "no watch came");
            thread::sleep(Duration::from_millis(1));
        }
    }

    fn reply(&self, call: &Call) -> SubmitReply {
        if call.start.starts_with("POST /status ") {
            if self.deaf.load(Ordering::Relaxed) {
                return None;
            }
            let lines = String::from_utf8_lossy(&call.body);
            self.notices.lock().expect("no panic").extend(lines.lines().map(str::to_owned));
            if self.mute.load(Ordering::SeqCst) {
                hold_forever();
            }
            return Some("HTTP/1.1 204 No Content\r\n\r\n".to_owned());
        }
        let number = self.asked.fetch_add(1, Ordering::SeqCst);
        if self.silent.load(Ordering::SeqCst) {
            hold_forever();
        }
        thread::sleep(*self.slow.lock().expect("no panic"));
        if self.busy.load(Ordering::Relaxed) {
            self.turned_away.fetch_add(1, Ordering::Relaxed);
            return answer("503 Service Unavailable", "", "");
        }
        if let Some(slip) = self.slip.lock().expect("no panic").take() {
            return answer("200 OK", "", &slip);
        }
        let query = |name: &str| {
            let (_, after) = call.start.split_once(name)?;
            after.split(['&', ' ']).next()?.parse::<u64>().ok()
        };
        let hold = Duration::from_millis(query("hold_ms=").unwrap_or(0));
        let list = self.list.lock().expect("no panic");
        let from = query("from=");
        self.watching.fetch_add(1, Ordering::SeqCst);
        let waited = self.changed.wait_timeout_while(list, hold, |list| Some(list.0) == from);
        let waited = waited.expect("no panic").0;
        self.watching.fetch_sub(1, Ordering::SeqCst);
        if number < self.deaf_before.load(Ordering::SeqCst) || self.silent.load(Ordering::SeqCst) {
            drop(waited);
            hold_forever();
        }
        let (version, entries) = &*waited;
        let (whole, entries) = if Some(*version) == from { (false, "") } else { (true, entries.as_str()) };
        let list = format!(r#"{{"generation":{version},"reset":{whole},"instances":[{entries}]}}"#);
        answer("200 OK", "", &list)
    }
}

/// The connection stays open, and nothing comes on it any more.
fn hold_forever() -> ! {
    loop {
        thread::park();
    }
}

/// A line of the list.
pub fn entry(name: &str, address: SocketAddr, destination: u64, state: &str) -> String {
    format!(
        r#"{{"instanceId":"{name}","hostPort":"{address}","zone":"z","machineType":"k","cell":{destination},
        "lifecycle":"{state}","weight":50.0,"startedAtMs":0}}"#
    )
}

/// The command that hands in a packet about nothing.
pub fn command(id: &str, fields: &str, body: &str) -> String {
    command_about("0000000000000000", id, fields, body)
}

pub fn command_about(about: &str, id: &str, fields: &str, body: &str) -> String {
    let words = ["MSG.PUT", about, id, fields, body];
    let bulk = |word: &&str| format!("${}\r\n{word}\r\n", word.len());
    format!("*{}\r\n{}", words.len(), words.iter().map(bulk).collect::<String>())
}

/// Hands in one packet as a client does; tells the sender's answer.
pub fn put(sender: SocketAddr, id: &str, fields: &str, body: &str) -> std::io::Result<String> {
    say(sender, &command(id, fields, body))
}

/// Says something on a connection of its own; tells the first line of the answer.
pub fn say(sender: SocketAddr, words: &str) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(sender)?;
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    stream.write_all(words.as_bytes())?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line)?;
    Ok(line.trim_end().to_owned())
}
