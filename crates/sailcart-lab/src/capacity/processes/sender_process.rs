//! One sender process: configured, started, killed, started again, and read through procfs.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use procfs::process::Process;
use serde_json::{Value, json};
use tempfile::TempDir;

use super::client::Client;
use crate::experiment::Fault;

/// Of the configuration under which everything is measured: far above the defaults, so that no limit is met.
pub const MEMORY_MB: u64 = 4096;
const DISK_MB: u64 = 1024;
const SOCKETS: u64 = 16_000;
/// The fleet that the settings tell of.
const SENDERS: u64 = 2600;
/// The word on the command line by which the lab starts itself as a sender's keeper.
const KEEP: &str = "keep";
const READY: Duration = Duration::from_secs(60);
const LOOK: Duration = Duration::from_millis(2);
/// The one category of every measurement, whose packets wait for a day.
pub const CATEGORY: &str = "c0";
const DAY_MS: u64 = 24 * 3600 * 1000;

pub struct SenderProcess {
    program: PathBuf,
    config: PathBuf,
    child: Child,
    pub listen: SocketAddr,
    /// From the last start to the first `PONG`.
    pub ready: Duration,
    folder: TempDir,
    /// Seconds of processor time of each thread of this life, as last seen.
    spent: RefCell<BTreeMap<i32, f64>>,
}

fn fault(what: &str) -> impl Fn(std::io::Error) -> Fault {
    move |error| Fault(format!("{what}: {error}"))
}

fn settings() -> Value {
    json!({
        "balancers": SENDERS, "period_ms": 5.0, "weights": "none", "over_share_worth": 1.0,
        "kinds": ["k0"], "customers": [],
        "lanes": [{
            "name": CATEGORY, "repeat": "retryable", "group": "all", "dedup_window_ms": 0.0,
            "fifo_by_key": false, "aim_ms": DAY_MS as f64 / 4.0, "hard_limit_ms": DAY_MS as f64,
            "gain": 1.0, "late_share": 0.5,
        }],
        "domain": {"call_slots": 256, "kind_batch": [1], "own_limits": [false], "late": "line"},
        "bounds": {
            "max_open": 2_000_000, "send_cap": 6, "cancel": true, "connect_timeout_ms": 1000.0,
            "idle_close_ms": 3_600_000.0, "retry_after": false, "max_retry_after_ms": 0.0,
        },
        "rules": {"cold_from": 0.3, "cold_ms": 10000.0, "fall_multiple": 1.5, "settle_after_doubt_ms": 0.0},
    })
}

impl SenderProcess {
    /// Starts one with a folder of its own and waits until it answers `PING`.
    pub fn start(program: &Path, discovery: SocketAddr) -> Result<Self, Fault> {
        let folder = tempfile::Builder::new().prefix("sailcart-capacity").tempdir();
        let folder = folder.map_err(fault("folder"))?;
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).map_err(fault("listen"))?;
        let listen = listener.local_addr().map_err(fault("listen"))?;
        drop(listener);
        let state = folder.path().join("state");
        std::fs::create_dir(&state).map_err(fault("folder"))?;
        let config = folder.path().join("config.json");
        let text = json!({
            "name": "measured", "listen": listen.to_string(), "discovery": discovery.to_string(),
            "state": state, "seed": "1", "settings": settings(),
            "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS, "disk_mb": DISK_MB},
        });
        std::fs::write(&config, text.to_string()).map_err(fault("folder"))?;
        let child = spawn(program, &config)?;
        let (program, ready) = (program.to_owned(), Duration::ZERO);
        let mut sender =
            SenderProcess { program, config, child, listen, ready, folder, spent: RefCell::default() };
        sender.wait_ready(Instant::now())?;
        Ok(sender)
    }

    /// Kills the process without warning and starts it again on its folder.
    pub fn restart(&mut self) -> Result<(), Fault> {
        self.end();
        self.spent.take();
        let began = Instant::now();
        self.child = spawn(&self.program, &self.config)?;
        self.wait_ready(began)
    }

    fn wait_ready(&mut self, began: Instant) -> Result<(), Fault> {
        while began.elapsed() < READY {
            if Client::connect(self.listen).and_then(|mut client| client.ping()).is_ok() {
                self.ready = began.elapsed();
                return Ok(());
            }
            if let Ok(Some(status)) = self.child.try_wait() {
                return Err(Fault(format!("the sender ended with {status}: {}", self.last_words())));
            }
            std::thread::sleep(LOOK);
        }
        Err(Fault(format!("the sender was not ready in {READY:?}: {}", self.last_words())))
    }

    fn last_words(&self) -> String {
        let log = std::fs::read_to_string(self.config.with_extension("log")).unwrap_or_default();
        log.lines().rev().take(3).collect::<Vec<_>>().join(" / ")
    }

    fn process(&self) -> Result<Process, Fault> {
        Process::new(self.child.id() as i32).map_err(|error| Fault(format!("procfs: {error}")))
    }

    /// Resident memory in bytes.
    pub fn resident(&self) -> Result<f64, Fault> {
        Ok(self.status()?.vmrss.unwrap_or(0) as f64 * 1024.0)
    }

    /// The most that resident memory has been, in bytes.
    pub fn peak(&self) -> Result<f64, Fault> {
        Ok(self.status()?.vmhwm.unwrap_or(0) as f64 * 1024.0)
    }

    fn status(&self) -> Result<procfs::process::Status, Fault> {
        self.process()?.status().map_err(|error| Fault(format!("procfs: {error}")))
    }

    /// Seconds of processor time since the start, by the scheduler's account of each thread. What a thread spends after
    /// the last look before its end is not seen; where there is no such account, user and system time in ticks.
    pub fn processor(&self) -> Result<f64, Fault> {
        let process = self.process()?;
        let tasks = process.tasks().map_err(|error| Fault(format!("procfs: {error}")))?;
        let mut spent = self.spent.borrow_mut();
        for task in tasks.flatten() {
            let path = format!("/proc/{}/task/{}/schedstat", task.pid, task.tid);
            let text = std::fs::read_to_string(path).unwrap_or_default();
            let nanoseconds = text.split(' ').next().and_then(|first| first.parse::<f64>().ok());
            spent.extend(nanoseconds.map(|nanoseconds| (task.tid, nanoseconds / 1e9)));
        }
        if spent.is_empty() {
            let stat = process.stat().map_err(|error| Fault(format!("procfs: {error}")))?;
            return Ok((stat.utime + stat.stime) as f64 / procfs::ticks_per_second() as f64);
        }
        Ok(spent.values().sum())
    }

    /// Bytes of the files in the state folder.
    pub fn journal(&self) -> f64 {
        let files = std::fs::read_dir(self.folder.path().join("state"));
        let lengths = files.into_iter().flatten().flatten().filter_map(|file| file.metadata().ok());
        lengths.map(|file| file.len() as f64).sum()
    }

    fn end(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for SenderProcess {
    fn drop(&mut self) {
        self.end();
    }
}

/// Starts the sender through this program, so that it ends with it.
fn spawn(program: &Path, config: &Path) -> Result<Child, Fault> {
    let lab = std::env::current_exe().map_err(fault("keep"))?;
    let log = config.with_extension("log");
    let log = std::fs::OpenOptions::new().create(true).append(true).open(log).map_err(fault("log"))?;
    let child = Command::new(lab)
        .arg(KEEP)
        .arg(std::process::id().to_string())
        .arg(program)
        .args(["serve".as_ref(), "--config".as_ref(), config.as_os_str()])
        .env("RUST_LOG", "warn")
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(log)
        .spawn();
    child.map_err(fault("sender"))
}
