//! A sender process: writes its configuration, starts, kills and restarts it, and reads its costs from
//! procfs.

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
use crate::experiment::LabError;

/// `limits.memory_mb` of every measurement. This limit and the next two are far above the defaults, so that
/// the sender reaches none of them.
pub const MEMORY_LIMIT_MB: u64 = 4096;
const DISK_LIMIT_MB: u64 = 1024;
const SOCKET_LIMIT: u64 = 16_000;
/// Number of senders that the settings state.
const FLEET_SENDERS: u64 = 2600;
/// Subcommand with which the lab starts itself as a child process that then executes the sender.
const EXEC_SENDER_SUBCOMMAND: &str = "keep";
const READY_TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// The only category of every measurement; its packets wait for a day.
pub const CATEGORY: &str = "c0";
const DAY_MS: u64 = 24 * 3600 * 1000;

/// A sender process with a temporary folder for its configuration, log and state. It is killed on drop.
pub struct SenderProcess {
    program: PathBuf,
    config: PathBuf,
    child: Child,
    /// The address at which it listens for clients.
    pub listen_address: SocketAddr,
    /// Time from the last start to the first `PONG`.
    pub start_to_ready: Duration,
    folder: TempDir,
    /// Processor seconds of each thread of the current process, as last read.
    thread_seconds: RefCell<BTreeMap<i32, f64>>,
}

fn io_error(part: &str) -> impl Fn(std::io::Error) -> LabError {
    move |error| LabError(format!("{part}: {error}"))
}

fn settings() -> Value {
    json!({
        "balancers": FLEET_SENDERS, "period_ms": 5.0, "weights": "none", "over_share_worth": 1.0,
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
    /// Starts a sender in a new temporary folder and waits until it answers `PING`. The error contains the
    /// end of the sender's log if it exits or is not ready in time.
    pub fn start(program: &Path, discovery: SocketAddr) -> Result<Self, LabError> {
        let folder = tempfile::Builder::new().prefix("sailcart-capacity").tempdir();
        let folder = folder.map_err(io_error("folder"))?;
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).map_err(io_error("listen"))?;
        let listen_address = listener.local_addr().map_err(io_error("listen"))?;
        drop(listener);
        let state = folder.path().join("state");
        std::fs::create_dir(&state).map_err(io_error("folder"))?;
        let config = folder.path().join("config.json");
        let text = json!({
            "name": "measured", "listen": listen_address.to_string(), "discovery": discovery.to_string(),
            "state": state, "seed": "1", "settings": settings(),
            "limits": {
                "cores": 1.0, "memory_mb": MEMORY_LIMIT_MB, "sockets": SOCKET_LIMIT, "disk_mb": DISK_LIMIT_MB
            },
        });
        std::fs::write(&config, text.to_string()).map_err(io_error("folder"))?;
        let child = spawn(program, &config)?;
        let (program, start_to_ready) = (program.to_owned(), Duration::ZERO);
        let mut sender = SenderProcess {
            program,
            config,
            child,
            listen_address,
            start_to_ready,
            folder,
            thread_seconds: RefCell::default(),
        };
        sender.wait_ready(Instant::now())?;
        Ok(sender)
    }

    /// Kills the process with SIGKILL and starts it again in the same folder.
    pub fn restart(&mut self) -> Result<(), LabError> {
        self.kill();
        self.thread_seconds.take();
        let started_at = Instant::now();
        self.child = spawn(&self.program, &self.config)?;
        self.wait_ready(started_at)
    }

    fn wait_ready(&mut self, started_at: Instant) -> Result<(), LabError> {
        while started_at.elapsed() < READY_TIMEOUT {
            if Client::connect(self.listen_address).and_then(|mut client| client.ping()).is_ok() {
                self.start_to_ready = started_at.elapsed();
                return Ok(());
            }
            if let Ok(Some(status)) = self.child.try_wait() {
                return Err(LabError(format!("the sender exited with {status}: {}", self.log_tail())));
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        Err(LabError(format!("the sender was not ready within {READY_TIMEOUT:?}: {}", self.log_tail())))
    }

    fn log_tail(&self) -> String {
        let log = std::fs::read_to_string(self.config.with_extension("log")).unwrap_or_default();
        log.lines().rev().take(3).collect::<Vec<_>>().join(" / ")
    }

    fn process(&self) -> Result<Process, LabError> {
        Process::new(self.child.id() as i32).map_err(|error| LabError(format!("procfs: {error}")))
    }

    /// Resident memory in bytes.
    pub fn resident_bytes(&self) -> Result<f64, LabError> {
        Ok(self.status()?.vmrss.unwrap_or(0) as f64 * 1024.0)
    }

    /// Peak resident memory since the start, in bytes.
    pub fn peak_resident_bytes(&self) -> Result<f64, LabError> {
        Ok(self.status()?.vmhwm.unwrap_or(0) as f64 * 1024.0)
    }

    fn status(&self) -> Result<procfs::process::Status, LabError> {
        self.process()?.status().map_err(|error| LabError(format!("procfs: {error}")))
    }

    /// Processor time since the start in seconds, as the scheduler accounts it to each thread. The time that
    /// a thread uses between the last read and its exit is missed. Without the scheduler's accounts, user and
    /// system time with the resolution of clock ticks.
    pub fn processor_seconds(&self) -> Result<f64, LabError> {
        let process = self.process()?;
        let tasks = process.tasks().map_err(|error| LabError(format!("procfs: {error}")))?;
        let mut thread_seconds = self.thread_seconds.borrow_mut();
        for task in tasks.flatten() {
            let path = format!("/proc/{}/task/{}/schedstat", task.pid, task.tid);
            let text = std::fs::read_to_string(path).unwrap_or_default();
            let nanoseconds = text.split(' ').next().and_then(|first| first.parse::<f64>().ok());
            thread_seconds.extend(nanoseconds.map(|nanoseconds| (task.tid, nanoseconds / 1e9)));
        }
        if thread_seconds.is_empty() {
            let stat = process.stat().map_err(|error| LabError(format!("procfs: {error}")))?;
            return Ok((stat.utime + stat.stime) as f64 / procfs::ticks_per_second() as f64);
        }
        Ok(thread_seconds.values().sum())
    }

    /// Total bytes of the files in the state folder.
    pub fn journal_bytes(&self) -> f64 {
        let files = std::fs::read_dir(self.folder.path().join("state"));
        let metadata = files.into_iter().flatten().flatten().filter_map(|file| file.metadata().ok());
        metadata.map(|file| file.len() as f64).sum()
    }

    fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for SenderProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Starts this program as a child that executes the sender, so that the kernel kills the sender when this
/// program ends.
fn spawn(program: &Path, config: &Path) -> Result<Child, LabError> {
    let lab = std::env::current_exe().map_err(io_error("keep"))?;
    let log = config.with_extension("log");
    let log = std::fs::OpenOptions::new().create(true).append(true).open(log).map_err(io_error("log"))?;
    let child = Command::new(lab)
        .arg(EXEC_SENDER_SUBCOMMAND)
        .arg(std::process::id().to_string())
        .arg(program)
        .args(["serve".as_ref(), "--config".as_ref(), config.as_os_str()])
        .env("RUST_LOG", "warn")
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(log)
        .spawn();
    child.map_err(io_error("sender"))
}
