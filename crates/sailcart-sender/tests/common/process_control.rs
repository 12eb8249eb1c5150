//! Observes and ends the sender process from outside: reads its state directory, starts it with a descriptor
//! limit, and ends it at a chosen write through a file-size limit.

use std::fs::{self, OpenOptions};
use std::os::unix::process::ExitStatusExt;
use std::process::Command;

use sailcart_sender::inspect;

use super::harness::Harness;

/// The signal that ends a process at its first write beyond the file-size limit, without cleanup like
/// SIGKILL.
const SIGXFSZ: i32 = 25;
/// The part of the store summary that shows that no packet and no notice is pending.
const NOTHING_PENDING: &str = "0 packets not completed, 0 pending notices";

impl Harness {
    /// The contents of the state directory as text; empty if it cannot be read.
    pub fn store_summary(&self) -> String {
        inspect::show(&self.folder).unwrap_or_default()
    }

    /// Waits until the summary of the state directory contains `text`.
    pub fn wait_until_store_shows(&self, text: &str) {
        self.wait_until(text, |harness| harness.store_summary().contains(text));
    }

    /// Starts the process without waiting until it is ready, optionally with a limit on open descriptors.
    pub fn spawn_sender(&mut self, descriptors: Option<u32>) {
        let file = self.folder.join("config.json");
        fs::write(&file, &self.config).expect("write the configuration file");
        let log = OpenOptions::new().append(true).create(true).open(self.folder.join("log"));
        let limit = descriptors.map_or("unlimited".to_owned(), |max_descriptors| max_descriptors.to_string());
        let script = match descriptors {
            Some(_) => r#"ulimit -n "$0" && exec "$@""#,
            None => r#"exec "$@""#,
        };
        let mut command = Command::new("sh");
        command.args(["-c", script, &limit, env!("CARGO_BIN_EXE_sailcart"), "serve", "--config"]);
        command.arg(file).env("RUST_LOG", "debug").stderr(log.expect("open the log"));
        if let Some(page) = &self.control_page {
            command.envs(
                page.environment(sailcart_shim::build_preload_library().expect("the shim library is built")),
            );
        }
        self.sender = Some(command.spawn().expect("start the sender process"));
    }

    /// Size in bytes of the only segment of the journal.
    pub fn segment_bytes(&self) -> u64 {
        let segment = fs::metadata(self.folder.join("segment-0000000000000001"));
        segment.expect("read the metadata of the segment").len()
    }

    pub fn log_bytes(&self) -> u64 {
        fs::metadata(self.folder.join("log")).expect("read the metadata of the log").len()
    }

    /// Lets the kernel end the process at its first write beyond `bytes` in any file.
    pub fn limit_file_size(&self, bytes: u64) {
        let pid = self.sender.as_ref().expect("the sender is running").id().to_string();
        let limit = format!("--fsize={bytes}:unlimited");
        let set = Command::new("prlimit").args(["--pid", &pid, &limit, "--core=0:0"]).status();
        assert!(set.expect("run prlimit").success());
    }

    /// Waits until the process has been ended by the file-size limit.
    pub fn wait_for_file_size_signal(&mut self) {
        let ended = self.sender.take().expect("the sender is running").wait().expect("wait for the process");
        assert_eq!(ended.signal(), Some(SIGXFSZ), "{}", self.log());
    }

    /// Waits until no packet and no notice is pending, restarts the sender and checks that it neither repeats
    /// a call nor sends a notice.
    pub fn assert_nothing_pending_after_restart(&mut self) {
        self.wait_until_store_shows(NOTHING_PENDING);
        let baseline = (self.received_ids(), self.notices());
        self.kill();
        let previous_starts = self.log().matches("recovery: ").count();
        self.start();
        let last = self
            .log()
            .lines()
            .filter(|line| line.contains("recovery: "))
            .nth(previous_starts)
            .map(str::to_owned);
        assert!(last.is_some_and(|line| line.contains("recovery: 0 packets, 0 notices")), "{}", self.log());
        assert_eq!(self.submit("last"), "+OK");
        self.wait_until("a call after the restart", |harness| {
            harness.received_ids().len() > baseline.0.len()
        });
        let mut received = self.received_ids();
        let later = received.split_off(baseline.0.len());
        assert_eq!(received, baseline.0);
        // More than one call if the endpoint replies with a retryable error.
        assert!(later.iter().all(|id| id == "last"), "{later:?}");
        assert_eq!(self.notices(), baseline.1);
    }
}
