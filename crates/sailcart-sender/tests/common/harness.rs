//! The test harness: a sender process together with mock discovery, platform and endpoint, all on loopback.

use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

use sailcart_shim::ControlPage;

use super::{Call, HttpReply, Platform, list_entry, send_command, serve_http, submit};

pub const CONFIG: &str = include_str!("../../../../examples/config.json");

static HARNESS_COUNT: AtomicU8 = AtomicU8::new(0);

/// Anonymous memory of a process, in bytes.
pub fn anonymous_memory(process: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process}/status")).expect("read the status");
    let line = status.lines().find(|line| line.starts_with("RssAnon:")).expect("the kernel reports RssAnon");
    let kilobytes: u64 = line.split_whitespace().nth(1).and_then(|text| text.parse().ok()).expect("a number");
    kilobytes * 1024
}

/// Anonymous memory of a process and size of its state folder, in bytes.
pub fn memory_in_use(process: u32, folder: &Path) -> u64 {
    let files = fs::read_dir(folder).expect("list the folder").flatten();
    let is_state =
        |entry: &fs::DirEntry| !["log", "config.json"].contains(&&*entry.file_name().to_string_lossy());
    let sizes = files.filter(is_state).filter_map(|entry| entry.metadata().ok());
    anonymous_memory(process) + sizes.map(|metadata| metadata.len().div_ceil(512) * 512).sum::<u64>()
}

/// A sender process and the mock servers that it talks to. Dropping it kills the process and deletes its
/// folder.
pub struct Harness {
    /// Holds the configuration, the log and the state of the sender.
    pub folder: PathBuf,
    pub config: String,
    /// Where the sender accepts clients.
    pub listen_address: SocketAddr,
    pub sender: Option<Child>,
    pub discovery_address: SocketAddr,
    pub platform: Arc<Platform>,
    pub endpoint_address: SocketAddr,
    /// Ids of the packets that the endpoint received, in order of arrival; a repeated call appears again.
    pub received_ids: Arc<Mutex<Vec<String>>>,
    /// If set, the sender is started with fault injection under this control page.
    pub control_page: Option<Arc<ControlPage>>,
    /// The level of the sender's log from its next start on.
    pub log_level: &'static str,
}

impl Harness {
    /// Starts a sender with one endpoint, which replies to the n-th call, counted from 0, with `reply(n,
    /// call)`. `scenario` names the folder and must be unique in the test program.
    pub fn new(scenario: &str, reply: impl Fn(usize, &Call) -> HttpReply + Send + Sync + 'static) -> Harness {
        let folder = std::env::temp_dir().join(format!("sailcart-{}-{scenario}", std::process::id()));
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).expect("create the folder");
        let received_ids = Arc::new(Mutex::new(Vec::new()));
        let ids = received_ids.clone();
        let endpoint_address = serve_http("127.0.0.1:0", move |call| {
            let number = {
                let mut ids = ids.lock().expect("mutex is not poisoned");
                ids.push(call.header("X-Call-Id").to_owned());
                ids.len() - 1
            };
            reply(number, call)
        });
        let (discovery_address, platform) = Platform::start("127.0.0.1:0");
        platform.set_list(&[list_entry("e", endpoint_address, 7, "Ready")]);
        // A loopback address of its own, so that no other test takes the port while the sender is down.
        let address = format!("127.83.1.{}:0", 1 + HARNESS_COUNT.fetch_add(1, Ordering::Relaxed));
        let free = TcpListener::bind(address).and_then(|socket| socket.local_addr());
        let listen_address = free.expect("bind a listener");
        let state = folder.to_str().expect("the path is UTF-8");
        let config = CONFIG
            .replace("127.0.0.1:6379", &listen_address.to_string())
            .replace(r#""name": "n1","#, r#""name": "n1", "seed": "5eed","#)
            .replace("127.0.0.1:8500", &discovery_address.to_string())
            .replace("examples/state", state);
        let mut harness = Harness {
            folder,
            config,
            listen_address,
            sender: None,
            discovery_address,
            platform,
            endpoint_address,
            received_ids,
            control_page: None,
            log_level: "debug",
        };
        harness.start();
        // The sender must have the first list before a test changes the list or discovery.
        harness.wait_until("the first list", |harness| {
            harness.log().contains("discovery: version 1, 1 entries")
        });
        harness
    }

    /// Starts the sender with the current configuration and waits until it replies to a PING.
    pub fn start(&mut self) {
        let file = self.folder.join("config.json");
        fs::write(&file, &self.config).expect("write the configuration file");
        let log = fs::OpenOptions::new().append(true).create(true).open(self.folder.join("log"));
        let mut command = Command::new(env!("CARGO_BIN_EXE_sailcart"));
        command
            .arg("serve")
            .arg("--config")
            .arg(file)
            .env("RUST_LOG", self.log_level)
            .stderr(log.expect("open the log"));
        if let Some(page) = &self.control_page {
            command.envs(
                page.environment(sailcart_shim::build_preload_library().expect("the shim library is built")),
            );
        }
        self.sender = Some(command.spawn().expect("start the sender process"));
        self.wait_until("the sender is ready", |harness| {
            send_command(harness.listen_address, "*1\r\n$4\r\nPING\r\n").is_ok()
        });
    }

    /// Like [`Harness::new`], with a sender that runs with fault injection and has the list.
    pub fn with_fault_injection(
        scenario: &str,
        reply: impl Fn(usize, &Call) -> HttpReply + Send + Sync + 'static,
    ) -> (Harness, Arc<ControlPage>) {
        let mut harness = Harness::new(scenario, reply);
        let page = harness.attach_control_page();
        harness.kill();
        harness.start();
        harness.wait_until("the list", |harness| harness.log().matches("discovery: version 1").count() == 2);
        (harness, page)
    }

    /// Enables fault injection from the next start of the sender on; the control page sets no faults yet.
    pub fn attach_control_page(&mut self) -> Arc<ControlPage> {
        let page =
            Arc::new(ControlPage::new(&self.folder.join("shim-page")).expect("create the control page"));
        self.control_page = Some(page.clone());
        page
    }

    /// Polls `check` until it holds; fails after 10 s with `what` and the log.
    pub fn wait_until(&self, what: &str, check: impl Fn(&Harness) -> bool) {
        let start = Instant::now();
        while !check(self) {
            assert!(
                start.elapsed() < Duration::from_secs(10),
                "not seen within 10 s: {what}\n{}",
                self.log()
            );
            sleep(Duration::from_millis(5));
        }
    }

    /// Resident memory of the sender in bytes, from `/proc`: `VmRSS` is the current size, `VmHWM` the peak.
    pub fn memory(&self, field: &str) -> usize {
        let pid = self.sender.as_ref().expect("the sender is running").id();
        let status = fs::read_to_string(format!("/proc/{pid}/status")).expect("read /proc/PID/status");
        let line = status.lines().find(|line| line.starts_with(field)).expect("the status has the field");
        let kilobytes: usize =
            line.split_whitespace().nth(1).and_then(|word| word.parse().ok()).expect("a size in kB");
        kilobytes * 1024
    }

    pub fn log(&self) -> String {
        fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }

    /// Submits a packet to destination 7 with a patience of 8 s; returns the reply.
    pub fn submit(&self, id: &str) -> String {
        submit(self.listen_address, id, &format!("c=notice,t=acme,d=8000,k={id},dest=7"), "hello")
            .expect("the sender replies")
    }

    pub fn received_ids(&self) -> Vec<String> {
        self.received_ids.lock().expect("mutex is not poisoned").clone()
    }

    pub fn notices(&self) -> Vec<String> {
        self.platform.notices.lock().expect("mutex is not poisoned").clone()
    }

    /// Writes another configuration to the file and sends SIGHUP.
    pub fn reload(&self, config: &str) {
        fs::write(self.folder.join("config.json"), config).expect("write the configuration file");
        self.signal("-HUP");
    }

    pub fn signal(&self, signal: &str) {
        let pid = self.sender.as_ref().expect("the sender is running").id().to_string();
        assert!(Command::new("kill").args([signal, &pid]).status().expect("run kill").success());
    }

    pub fn kill(&mut self) {
        let mut sender = self.sender.take().expect("the sender is running");
        sender.kill().and_then(|()| sender.wait()).expect("kill the sender");
    }

    /// Kills the sender and restarts it with each `(from, to)` replaced in its configuration.
    pub fn restart_with(&mut self, changes: &[(&str, &str)]) {
        self.kill();
        for (from, to) in changes {
            assert!(self.config.contains(from), "{from}");
            self.config = self.config.replace(from, to);
        }
        self.start();
    }

    /// Waits until the process has exited with status 0.
    pub fn wait_for_exit(&mut self) {
        assert!(
            self.sender
                .take()
                .expect("the sender is running")
                .wait()
                .expect("wait for the process")
                .success()
        );
    }

    /// Sends SIGTERM and waits for the process to exit; returns the time that it took.
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
