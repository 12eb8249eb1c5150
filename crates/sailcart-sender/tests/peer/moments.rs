//! Moments of a sender's life as they are seen from outside: a record in its folder, a limit that the kernel keeps for it.

use std::fs::{self, OpenOptions};
use std::os::unix::process::ExitStatusExt;
use std::process::Command;

use sailcart_sender::inspect;

use super::world::World;

/// The signal that ends a process at its first write beyond the limit of a file's size, as suddenly as SIGKILL.
const SIGXFSZ: i32 = 25;
/// What is taken on and not over, where that is nothing.
const NOTHING_OWED: &str = "0 packets not completed, 0 pending notices";

impl World {
    /// What stands in the state folder, in words.
    pub fn folder_shows(&self) -> String {
        inspect::show(&self.folder).unwrap_or_default()
    }

    /// Until these words tell of what stands in the state folder.
    pub fn until_folder_shows(&self, words: &str) {
        self.until(words, |world| world.folder_shows().contains(words));
    }

    /// Starts the process and waits for nothing. A limit of its open descriptors may be set before.
    pub fn launch(&mut self, descriptors: Option<u32>) {
        let file = self.folder.join("config.json");
        fs::write(&file, &self.config).expect("a configuration");
        let log = OpenOptions::new().append(true).create(true).open(self.folder.join("log"));
        let limit = descriptors.map_or("unlimited".to_owned(), |most| most.to_string());
        let script = match descriptors {
            Some(_) => r#"ulimit -n "$0" && exec "$@""#,
            None => r#"exec "$@""#,
        };
        let mut command = Command::new("sh");
        command.args(["-c", script, &limit, env!("CARGO_BIN_EXE_sailcart"), "serve", "--config"]);
        command.arg(file).env("RUST_LOG", "debug").stderr(log.expect("a log"));
        if let Some(page) = &self.page {
            command.envs(page.environment(sailcart_shim::build_preload_library().expect("the shim")));
        }
        self.sender = Some(command.spawn().expect("the sender starts"));
    }

    /// Bytes of the only segment of the journal.
    pub fn segment_bytes(&self) -> u64 {
        let segment = fs::metadata(self.folder.join("segment-0000000000000001"));
        segment.expect("a segment").len()
    }

    pub fn log_bytes(&self) -> u64 {
        fs::metadata(self.folder.join("log")).expect("a log").len()
    }

    /// The process ends at its next write beyond this size of a file.
    pub fn end_at_write_beyond(&self, bytes: u64) {
        let pid = self.sender.as_ref().expect("a sender").id().to_string();
        let limit = format!("--fsize={bytes}:unlimited");
        let set = Command::new("prlimit").args(["--pid", &pid, &limit, "--core=0:0"]).status();
        assert!(set.expect("prlimit").success());
    }

    /// Until the process has ended at that write.
    pub fn ended_at_write(&mut self) {
        let ended = self.sender.take().expect("a sender").wait().expect("an end");
        assert_eq!(ended.signal(), Some(SIGXFSZ), "{}", self.log());
    }

    /// Until nothing is owed any more, also for the life after that: none of its calls or notices follows.
    pub fn over_for_good(&mut self) {
        self.until_folder_shows(NOTHING_OWED);
        let before = (self.came(), self.notices());
        self.kill();
        let lives = self.log().matches("recovery: ").count();
        self.start();
        let last =
            self.log().lines().filter(|line| line.contains("recovery: ")).nth(lives).map(str::to_owned);
        assert!(last.is_some_and(|line| line.contains("recovery: 0 packets, 0 notices")), "{}", self.log());
        assert_eq!(self.put("last"), "+OK");
        self.until("a call of the last life", |world| world.came().len() > before.0.len());
        let mut came = self.came();
        let more = came.split_off(before.0.len());
        assert_eq!(came, before.0);
        assert!(more.iter().all(|id| id == "last"), "{more:?}"); // which may go again, where it is answered so
        assert_eq!(self.notices(), before.1);
    }
}
