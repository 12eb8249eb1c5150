//! A sender and what it meets, all on loopback.

use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

use sailcart_shim::ControlPage;

use super::{Call, Platform, SubmitReply, entry, listen, put, say};

pub const CONFIG: &str = include_str!("../../../../examples/config.json");

static WORLDS: AtomicU8 = AtomicU8::new(0);

/// A sender and what it meets.
pub struct World {
    pub folder: PathBuf,
    pub config: String,
    pub listen: SocketAddr,
    pub sender: Option<Child>,
    pub discovery: SocketAddr,
    pub platform: Arc<Platform>,
    pub endpoint: SocketAddr,
    /// Ids of the packets that came, in order.
    pub came: Arc<Mutex<Vec<String>>>,
    /// Where set, the sender's next lives run under this page of faults.
    pub page: Option<Arc<ControlPage>>,
}

impl World {
    /// The one endpoint answers the n-th call, from 0, with what `reply` makes of it.
    pub fn new(story: &str, reply: impl Fn(usize, &Call) -> SubmitReply + Send + Sync + 'static) -> World {
        let folder = std::env::temp_dir().join(format!("sailcart-{}-{story}", std::process::id()));
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).expect("a folder");
        let came = Arc::new(Mutex::new(Vec::new()));
        let own = came.clone();
        let endpoint = listen("127.0.0.1:0", move |call| {
            let number = {
                let mut came = own.lock().expect("no panic");
                came.push(call.header("X-Call-Id").to_owned());
                came.len() - 1
            };
            reply(number, call)
        });
        let (discovery, platform) = Platform::start("127.0.0.1:0");
        platform.list(&[entry("e", endpoint, 7, "Ready")]);
        // An address of this story's own: nobody else takes the port while the sender is down.
        let own = format!("127.83.1.{}:0", 1 + WORLDS.fetch_add(1, Ordering::Relaxed));
        let free = TcpListener::bind(own).and_then(|socket| socket.local_addr());
        let listen = free.expect("a free address");
        let state = folder.to_str().expect("a plain path");
        let config = CONFIG
            .replace("127.0.0.1:6379", &listen.to_string())
            .replace(r#""name": "n1","#, r#""name": "n1", "seed": "5eed","#)
            .replace("127.0.0.1:8500", &discovery.to_string())
            .replace("examples/state", state);
        let mut world =
            World { folder, config, listen, sender: None, discovery, platform, endpoint, came, page: None };
        world.start();
        // A story that changes the list or discovery begins with a sender that knows the first list.
        world.until("the first list", |world| world.log().contains("discovery: version 1, 1 entries"));
        world
    }

    pub fn start(&mut self) {
        let file = self.folder.join("config.json");
        fs::write(&file, &self.config).expect("a configuration");
        let log = fs::OpenOptions::new().append(true).create(true).open(self.folder.join("log"));
        let mut command = Command::new(env!("CARGO_BIN_EXE_sailcart"));
        command.arg("serve").arg("--config").arg(file).env("RUST_LOG", "debug").stderr(log.expect("a log"));
        if let Some(page) = &self.page {
            command.envs(page.environment(sailcart_shim::build_preload_library().expect("the shim")));
        }
        self.sender = Some(command.spawn().expect("the sender starts"));
        self.until("the sender is ready", |world| say(world.listen, "*1\r\n$4\r\nPING\r\n").is_ok());
    }

    /// The same with a sender that runs under a page of faults, and knows the list.
    pub fn under_faults(
        story: &str,
        reply: impl Fn(usize, &Call) -> SubmitReply + Send + Sync + 'static,
    ) -> (World, Arc<ControlPage>) {
        let mut world = World::new(story, reply);
        let page = world.with_faults();
        world.kill();
        world.start();
        world.until("the list", |world| world.log().matches("discovery: version 1").count() == 2);
        (world, page)
    }

    /// The sender's next lives run under a page of faults; none are set yet.
    pub fn with_faults(&mut self) -> Arc<ControlPage> {
        let page = Arc::new(ControlPage::new(&self.folder.join("shim-page")).expect("a page"));
        self.page = Some(page.clone());
        page
    }

    pub fn until(&self, what: &str, check: impl Fn(&World) -> bool) {
        let start = Instant::now();
        while !check(self) {
            assert!(start.elapsed() < Duration::from_secs(10), "not seen: {what}\n{}", self.log());
            sleep(Duration::from_millis(5));
        }
    }

    /// Bytes of the sender's memory, as the system counts them: `VmRSS` now, `VmHWM` at the most.
    pub fn memory(&self, field: &str) -> usize {
        let pid = self.sender.as_ref().expect("a sender").id();
        let status = fs::read_to_string(format!("/proc/{pid}/status")).expect("its status");
        let line = status.lines().find(|line| line.starts_with(field)).expect("a line");
        let kilobytes: usize = line.split_whitespace().nth(1).and_then(|word| word.parse().ok()).expect("kB");
        kilobytes * 1024
    }

    pub fn log(&self) -> String {
        fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }

    pub fn put(&self, id: &str) -> String {
        put(self.listen, id, &format!("c=notice,t=acme,d=8000,k={id},dest=7"), "hello").expect("an answer")
    }

    pub fn came(&self) -> Vec<String> {
        self.came.lock().expect("no panic").clone()
    }

    pub fn notices(&self) -> Vec<String> {
        self.platform.notices.lock().expect("no panic").clone()
    }

    /// SIGHUP, with another configuration in the file.
    pub fn reload(&self, config: &str) {
        fs::write(self.folder.join("config.json"), config).expect("a configuration");
        self.signal("-HUP");
    }

    pub fn signal(&self, signal: &str) {
        let pid = self.sender.as_ref().expect("a sender").id().to_string();
        assert!(Command::new("kill").args([signal, &pid]).status().expect("a signal").success());
    }

    pub fn kill(&mut self) {
        let mut sender = self.sender.take().expect("a sender");
        sender.kill().and_then(|()| sender.wait()).expect("the sender ends");
    }

    /// Kills the sender and starts it anew with each `(from, to)` of its configuration replaced.
    pub fn restart_with(&mut self, changes: &[(&str, &str)]) {
        self.kill();
        for (from, to) in changes {
            assert!(self.config.contains(from), "{from}");
            self.config = self.config.replace(from, to);
        }
        self.start();
    }

    /// Until the process has ended by itself.
    pub fn ended(&mut self) {
        assert!(self.sender.take().expect("a sender").wait().expect("an end").success());
    }

    /// SIGTERM, until the process has ended by itself; tells how long it took.
    pub fn terminate(&mut self) -> Duration {
        let start = Instant::now();
        self.signal("-TERM");
        self.ended();
        start.elapsed()
    }
}

impl Drop for World {
    fn drop(&mut self) {
        if self.sender.is_some() {
            self.kill();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}
