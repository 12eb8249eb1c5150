//! A sender and what it meets, all on loopback.

use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

use sailcart_shim::Page;

use super::{Call, HttpReply, Platform, list_entry, send_command, serve_http, submit};

pub const CONFIG: &str = include_str!("../../../../examples/config.json");

static HARNESS_COUNT: AtomicU8 = AtomicU8::new(0);

/// A sender and what it meets.
pub struct Harness {
    pub folder: PathBuf,
    pub config: String,
    pub listen_address: SocketAddr,
    pub sender: Option<Child>,
    pub discovery_address: SocketAddr,
    pub platform: Arc<Platform>,
    pub endpoint_address: SocketAddr,
    /// Ids of the packets that came, in order.
    pub received_ids: Arc<Mutex<Vec<String>>>,
    /// Where set, the sender's next lives run under this page of faults.
    pub control_page: Option<Arc<Page>>,
}

impl Harness {
    /// The one endpoint answers the n-th call, from 0, with what `reply` makes of it.
    pub fn new(story: &str, reply: impl Fn(usize, &Call) -> HttpReply + Send + Sync + 'static) -> Harness {
        let folder = std::env::temp_dir().join(format!("sailcart-{}-{story}", std::process::id()));
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).expect("a folder");
        let received_ids = Arc::new(Mutex::new(Vec::new()));
        let own = received_ids.clone();
        let endpoint_address = serve_http("127.0.0.1:0", move |call| {
            let number = {
                let mut came = own.lock().expect("no panic");
                came.push(call.header("X-Call-Id").to_owned());
                came.len() - 1
            };
            reply(number, call)
        });
        let (discovery_address, platform) = Platform::start("127.0.0.1:0");
        platform.set_list(&[list_entry("e", endpoint_address, 7, "Ready")]);
        // An address of this story's own: nobody else takes the port while the sender is down.
        let own = format!("127.83.1.{}:0", 1 + HARNESS_COUNT.fetch_add(1, Ordering::Relaxed));
        let free = TcpListener::bind(own).and_then(|socket| socket.local_addr());
        let listen_address = free.expect("a free address");
        let state = folder.to_str().expect("a plain path");
        let config = CONFIG
            .replace("127.0.0.1:6379", &listen_address.to_string())
            .replace(r#""name": "n1","#, r#""name": "n1", "seed": "5eed","#)
            .replace("127.0.0.1:8500", &discovery_address.to_string())
            .replace("examples/state", state);
        let mut world = Harness {
            folder,
            config,
            listen_address,
            sender: None,
            discovery_address,
            platform,
            endpoint_address,
            received_ids,
            control_page: None,
        };
        world.start();
        // A story that changes the list or discovery begins with a sender that knows the first list.
        world.wait_until("the first list", |world| world.log().contains("discovery: version 1, 1 entries"));
        world
    }

    pub fn start(&mut self) {
        let file = self.folder.join("config.json");
        fs::write(&file, &self.config).expect("a configuration");
        let log = fs::OpenOptions::new().append(true).create(true).open(self.folder.join("log"));
        let mut command = Command::new(env!("CARGO_BIN_EXE_sailcart"));
        command.arg("serve").arg("--config").arg(file).env("RUST_LOG", "debug").stderr(log.expect("a log"));
        if let Some(page) = &self.control_page {
            command.envs(page.environment(sailcart_shim::library().expect("the shim")));
        }
        self.sender = Some(command.spawn().expect("the sender starts"));
        self.wait_until("the sender is ready", |world| {
            send_command(world.listen_address, "*1\r\n$4\r\nPING\r\n").is_ok()
        });
    }

    /// The same with a sender that runs under a page of faults, and knows the list.
    pub fn with_fault_injection(
        story: &str,
        reply: impl Fn(usize, &Call) -> HttpReply + Send + Sync + 'static,
    ) -> (Harness, Arc<Page>) {
        let mut world = Harness::new(story, reply);
        let page = world.attach_control_page();
        world.kill();
        world.start();
        world.wait_until("the list", |world| world.log().matches("discovery: version 1").count() == 2);
        (world, page)
    }

    /// The sender's next lives run under a page of faults; none are set yet.
    pub fn attach_control_page(&mut self) -> Arc<Page> {
        let page = Arc::new(Page::new(&self.folder.join("shim-page")).expect("a page"));
        self.control_page = Some(page.clone());
        page
    }

    pub fn wait_until(&self, what: &str, check: impl Fn(&Harness) -> bool) {
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

    pub fn submit(&self, id: &str) -> String {
        submit(self.listen_address, id, &format!("c=notice,t=acme,d=8000,k={id},dest=7"), "hello")
            .expect("an answer")
    }

    pub fn received_ids(&self) -> Vec<String> {
        self.received_ids.lock().expect("no panic").clone()
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
    pub fn wait_for_exit(&mut self) {
        assert!(self.sender.take().expect("a sender").wait().expect("an end").success());
    }

    /// SIGTERM, until the process has ended by itself; tells how long it took.
    pub fn terminate(&mut self) -> Duration {
        let start = Instant::now();
        self.signal("-TERM");
        self.wait_for_exit();
        start.elapsed()
    }
}

impl Drop for Harness {
    fn drop(&mut self) {
        if self.sender.is_some() {
            self.kill();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}
