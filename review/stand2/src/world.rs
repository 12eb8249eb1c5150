//! The surroundings of a sender: the record, discovery with the receiver of notices, clients, and the sender
//! itself, started with the command of the deploy file.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{response, Answer, Request, Server};
use crate::json;

/// Exit codes of a script.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

/// The senders that run, by process id.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all senders that still run, also one that stands still.
pub fn end_all() {
    for pid in RUNNING.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).drain(..) {
        let _ = Command::new("/bin/sh").args(["-c", &format!("kill -KILL {pid}")]).status();
    }
}

/// The record of a run: `record.txt` in the folder of the case.
pub struct Record {
    file: Mutex<File>,
    pub start: Instant,
}

impl Record {
    pub fn log(&self, text: impl AsRef<str>) {
        self.log_at(Instant::now(), text);
    }

    pub fn log_at(&self, at: Instant, text: impl AsRef<str>) {
        let line = format!("{:9.3} {}\n", self.seconds(at), text.as_ref());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.start).as_secs_f64()
    }
}

/// An endpoint in discovery's list.
#[derive(Clone)]
pub struct Instance {
    pub id: String,
    pub address: SocketAddr,
    pub kind: String,
    pub cell: u64,
    pub lifecycle: &'static str,
    pub weight: f64,
}

impl Instance {
    fn json(&self) -> String {
        format!(
            "{{\"instanceId\":\"{}\",\"hostPort\":\"{}\",\"zone\":\"a\",\"machineType\":\"{}\",\"cell\":{},\"lifecycle\":\"{}\",\"weight\":{:.3},\"startedAtMs\":0}}",
            self.id, self.address, self.kind, self.cell, self.lifecycle, self.weight
        )
    }
}

pub fn list(generation: u64, reset: bool, instances: &[Instance]) -> String {
    let entries: Vec<String> = instances.iter().map(Instance::json).collect();
    format!("{{\"generation\":{generation},\"reset\":{reset},\"instances\":[{}]}}", entries.join(","))
}

#[derive(Default)]
struct Listing {
    generation: u64,
    /// By instance: the generation of its last change, and the entry.
    entries: BTreeMap<String, (u64, Instance)>,
    /// When each generation was written to the sender for the first time.
    told: BTreeMap<u64, Instant>,
    silent: bool,
}

impl Listing {
    fn changed_since(&self, generation: u64) -> Vec<Instance> {
        let changed = self.entries.values().filter(|(at, _)| *at > generation);
        changed.map(|(_, instance)| instance.clone()).collect()
    }
}

/// The agent at `$ROUTER_DISCOVERY`: lists, watches and notices.
pub struct Agent {
    pub server: Server,
    listing: Arc<(Mutex<Listing>, Condvar)>,
    /// How long a call for a list travels, in milliseconds.
    delay_ms: Arc<AtomicU64>,
    /// Notices by message: when, and the line.
    pub notices: Arc<Mutex<Vec<(Instant, String, String)>>>,
}

impl Agent {
    pub fn start(record: Arc<Record>, instances: &[Instance]) -> Agent {
        let listing = Arc::new((Mutex::new(Listing::default()), Condvar::new()));
        let notices = Arc::new(Mutex::new(Vec::new()));
        let delay_ms = Arc::new(AtomicU64::new(0));
        let (shared, told, delay) = (listing.clone(), notices.clone(), delay_ms.clone());
        let handler = move |request: Request| -> Answer {
            if request.method == "POST" && request.path == "/status" {
                let now = Instant::now();
                for line in String::from_utf8_lossy(&request.body).lines() {
                    record.log(format!("notice {line}"));
                    for id in json::texts(line, "message") {
                        told.lock().unwrap().push((now, id, line.to_owned()));
                    }
                }
                return Answer::Write(response("204 No Content", "", b""));
            }
            sleep_ms(delay.load(Ordering::SeqCst));
            let body = answer_list(&shared, &request.path);
            record.log(format!("discovery {} -> {body}", request.path));
            Answer::Write(response("200 OK", "Content-Type: application/json\r\n", body.as_bytes()))
        };
        let server = Server::start(Arc::new(handler));
        let agent = Agent { server, listing, delay_ms, notices };
        agent.change(instances);
        agent
    }

    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Changes the entries of these instances. Returns the new generation.
    pub fn change(&self, instances: &[Instance]) -> u64 {
        let mut listing = self.listing.0.lock().unwrap();
        listing.generation += 1;
        let generation = listing.generation;
        for instance in instances {
            listing.entries.insert(instance.id.clone(), (generation, instance.clone()));
        }
        self.listing.1.notify_all();
        generation
    }

    /// From now on calls for lists travel for so long.
    pub fn set_delay_ms(&self, ms: u64) {
        self.delay_ms.store(ms, Ordering::SeqCst);
    }

    /// While it is silent, calls for lists get no answer.
    pub fn set_silent(&self, silent: bool) {
        self.listing.0.lock().unwrap().silent = silent;
        self.listing.1.notify_all();
    }

    /// When this generation was written to a sender for the first time.
    pub fn told_at(&self, generation: u64) -> Option<Instant> {
        let listing = self.listing.0.lock().unwrap();
        listing.told.range(generation..).map(|(_, at)| *at).min()
    }

    pub fn wait_told(&self, generation: u64, at_most: Duration) -> Option<Instant> {
        wait_for(at_most, || self.told_at(generation))
    }

    pub fn notice(&self, id: &str) -> Option<(Instant, String)> {
        let notices = self.notices.lock().unwrap();
        notices.iter().find(|(_, other, _)| other == id).map(|(at, _, line)| (*at, line.clone()))
    }
}

fn answer_list(shared: &(Mutex<Listing>, Condvar), path: &str) -> String {
    let value = |name: &str| -> Option<u64> {
        let query = path.split_once('?')?.1;
        query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
    };
    let (from, hold) = (value("from"), value("hold_ms").unwrap_or(0).min(60_000));
    let until = Instant::now() + Duration::from_millis(hold);
    let mut listing = shared.0.lock().unwrap();
    loop {
        let newer = from.is_none_or(|from| listing.generation > from);
        let now = Instant::now();
        if !listing.silent && (newer || now >= until) {
            let generation = listing.generation;
            listing.told.entry(generation).or_insert(now);
            return match from {
                Some(from) if from <= generation => list(generation, false, &listing.changed_since(from)),
                _ => list(generation, true, &listing.changed_since(0)),
            };
        }
        let wait = if listing.silent { Duration::from_secs(1) } else { until - now };
        listing = shared.1.wait_timeout(listing, wait).unwrap().0;
    }
}

/// What a case starts, and what it has to end.
pub struct World {
    pub root: PathBuf,
    pub temporary: PathBuf,
    pub record: Arc<Record>,
    pub trouble: bool,
}

impl World {
    /// `case` is the folder of the case. The folder for state is a new one.
    pub fn new(root: &Path, case: &Path) -> World {
        let file = File::create(case.join("record.txt")).expect("record.txt cannot be written");
        let record = Arc::new(Record { file: Mutex::new(file), start: Instant::now() });
        let unique = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().as_nanos();
        let name = format!("sailcart-review-{}-{unique}", std::process::id());
        let temporary = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&temporary).expect("no temporary folder");
        let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        record.log(if trouble { "run with the disruption" } else { "run without the disruption" });
        World { root: root.to_owned(), temporary, record, trouble }
    }

    /// Removes the temporary folder and ends the script.
    pub fn end(&self, code: i32, verdict: &str) -> ! {
        end_all();
        self.record.log(format!("verdict {code}: {verdict}"));
        println!("{verdict}");
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.temporary);
        }
        std::process::exit(code)
    }
}

/// A sender: one process, started with the command of the deploy file.
pub struct Sender {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    config: PathBuf,
    state: PathBuf,
    log: PathBuf,
    root: PathBuf,
    record: Arc<Record>,
    child: Option<Child>,
}

impl Sender {
    /// Writes the configuration. `settings` is the object of settings, `known` the list as last known.
    pub fn new(world: &World, name: &str, discovery: SocketAddr, settings: &str, known: &str) -> Sender {
        let port = TcpListener::bind("127.0.0.1:0").expect("no free port");
        let listen = port.local_addr().unwrap();
        drop(port);
        let state = world.temporary.join(format!("{name}-state"));
        std::fs::create_dir_all(&state).expect("no state folder");
        let config = world.temporary.join(format!("{name}.json"));
        let text = format!(
            "{{\"name\":\"{name}\",\"listen\":\"{listen}\",\"discovery\":\"{discovery}\",\"state\":\"{}\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024,\"disk_mb\":3}},\"known\":{known},\"settings\":{settings}}}",
            state.display()
        );
        std::fs::write(&config, text).expect("the configuration cannot be written");
        let log = world.temporary.join(format!("{name}.log"));
        let record = world.record.clone();
        let root = world.root.clone();
        Sender { name: name.to_owned(), listen, discovery, config, state, log, root, record, child: None }
    }

    /// Starts the process and waits until it answers PING.
    pub fn start(&mut self) -> bool {
        let deploy = std::fs::read_to_string(self.root.join("deploy/balancer.toml")).unwrap_or_default();
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = \"")?.split('"').next());
        let Some(run) = run else { return false };
        let Ok(log) = File::options().create(true).append(true).open(&self.log) else { return false };
        let errors = log.try_clone().unwrap();
        let child = Command::new("/bin/sh")
            .args(["-c", run])
            .current_dir(&self.root)
            .env("ROUTER_NAME", &self.name)
            .env("ROUTER_LISTEN", self.listen.to_string())
            .env("ROUTER_DISCOVERY", self.discovery.to_string())
            .env("ROUTER_STATE", &self.state)
            .env("ROUTER_CONFIG", &self.config)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        let Ok(child) = child else { return false };
        self.record.log(format!("sender {} started", self.name));
        RUNNING.lock().unwrap().push(child.id());
        self.child = Some(child);
        let ready = wait_for(Duration::from_secs(30), || {
            Client::connect(self.listen).and_then(|mut client| client.ping()).filter(|ready| *ready)
        });
        self.record.log(format!("sender {} ready: {}", self.name, ready.is_some()));
        ready.is_some()
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Sends a signal to the process that `run` started.
    pub fn signal(&self, signal: &str) {
        let pid = self.pid();
        if pid != 0 {
            self.record.log(format!("sender {}: SIG{signal}", self.name));
            let _ = Command::new("/bin/sh").args(["-c", &format!("kill -{signal} {pid}")]).status();
        }
    }

    /// SIGKILL, and waits for the end of the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            self.record.log(format!("sender {}: SIGKILL", self.name));
            RUNNING.lock().unwrap().retain(|pid| *pid != child.id());
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_none_or(|child| !matches!(child.try_wait(), Ok(None)))
    }

    /// Copies the sender's log to the record.
    pub fn copy_log(&self) {
        let mut text = String::new();
        if let Ok(mut file) = File::open(&self.log) {
            let _ = file.read_to_string(&mut text);
        }
        self.record.log(format!("log of sender {}:", self.name));
        for line in text.lines() {
            self.record.log(format!("  | {line}"));
        }
    }

    pub fn state_folder(&self) -> &Path {
        &self.state
    }
}

impl Drop for Sender {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A client's connection.
pub struct Client {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> Option<Client> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        Some(Client { stream, buffer: Vec::new() })
    }

    pub fn ping(&mut self) -> Option<bool> {
        self.stream.write_all(b"*1\r\n$4\r\nPING\r\n").ok()?;
        self.line().map(|line| line == "+PONG")
    }

    /// Hands in a message and returns the answer; `None` if there is none within the second that it waits.
    pub fn put(&mut self, key: &str, id: &str, fields: &str, body: &[u8]) -> Option<String> {
        let mut command = Vec::new();
        command.extend_from_slice(b"*5\r\n");
        for argument in [b"MSG.PUT", key.as_bytes(), id.as_bytes(), fields.as_bytes(), body] {
            command.extend_from_slice(format!("${}\r\n", argument.len()).as_bytes());
            command.extend_from_slice(argument);
            command.extend_from_slice(b"\r\n");
        }
        self.stream.write_all(&command).ok()?;
        self.line()
    }

    fn line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|window| window == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Some(line);
            }
            let mut piece = [0; 4096];
            match self.stream.read(&mut piece) {
                Ok(0) | Err(_) => return None,
                Ok(length) => self.buffer.extend_from_slice(&piece[..length]),
            }
        }
    }
}

/// Looks every 5 ms until there is a value or the time is over.
pub fn wait_for<T>(at_most: Duration, mut look: impl FnMut() -> Option<T>) -> Option<T> {
    let until = Instant::now() + at_most;
    loop {
        if let Some(found) = look() {
            return Some(found);
        }
        if Instant::now() >= until {
            return None;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// A message id of 16 hex digits.
pub fn id(number: u64) -> String {
    format!("{:016x}", 0x9b1f_03aa_0000_0000u64 + number)
}

pub const NO_KEY: &str = "0000000000000000";

pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}
