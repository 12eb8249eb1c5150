//! A sender with a static endpoint list in its configuration file, without a platform.

#[allow(dead_code)]
mod common;

use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

use common::{http_response, send_command, serve_http, submit};

const EXAMPLE: &str = include_str!("../../../examples/sailcart.toml");

/// Log filter without the modules that log each connection: the file-size limit below applies to the log as
/// well.
const LOG_FILTER: &str = "info,sailcart_sender::clients=off,sailcart_sender::endpoints=off";
/// File-size limit in bytes at which the disk is full: more than the log grows to, and less than the journal.
const FULL_DISK_BYTES: u64 = 4096;

struct StaticListHarness {
    folder: tempfile::TempDir,
    sender_address: SocketAddr,
    sender: Child,
    delivered: Arc<Mutex<Vec<String>>>,
    config: String,
}

impl StaticListHarness {
    /// Destination 7 has an endpoint that replies, destination 8 one where nothing listens.
    fn new() -> StaticListHarness {
        let delivered = Arc::new(Mutex::new(Vec::new()));
        let recorded = delivered.clone();
        let endpoint = serve_http("127.0.0.1:0", move |call| {
            recorded.lock().expect("mutex is not poisoned").push(call.header("X-Call-Id").to_owned());
            http_response("200 OK", "", "")
        });
        let free_address = |address: &str| {
            let listener = TcpListener::bind(address).expect("bind to a free port");
            listener.local_addr().expect("read the local address")
        };
        let (sender_address, closed_address) = (free_address("127.84.1.1:0"), free_address("127.84.1.2:0"));
        let folder = tempfile::tempdir().expect("temporary folder");
        let config = EXAMPLE
            .replace("examples/state", folder.path().to_str().expect("UTF-8 path"))
            .replace("127.0.0.1:6379", &sender_address.to_string())
            .replace("127.0.0.1:7001", &endpoint.to_string())
            .replace("127.0.0.1:7002\"\ndestination = 7", &format!("{closed_address}\"\ndestination = 8"))
            .replace("soft_limit = \"3s\"", "soft_limit = \"400ms\"");
        let file = folder.path().join("sailcart.toml");
        fs::write(&file, &config).expect("write the file");
        let log = fs::File::create(folder.path().join("log")).expect("create the log");
        let mut command = Command::new(env!("CARGO_BIN_EXE_sailcart"));
        // SIGXFSZ is ignored in the shell and so in the sender: a write beyond the file-size limit fails with
        // an error and does not end the process.
        command = {
            let mut shell = Command::new("sh");
            shell.args(["-c", "trap '' XFSZ; exec \"$@\"", "sh"]).arg(command.get_program());
            shell
        };
        let sender = command
            .arg("serve")
            .arg("--config")
            .arg(file)
            .env("RUST_LOG", LOG_FILTER)
            .stderr(log)
            .spawn()
            .expect("start the sender");
        let harness = StaticListHarness { folder, sender_address, sender, delivered, config };
        harness.until("the sender is ready", |harness| {
            send_command(harness.sender_address, "*1\r\n$4\r\nPING\r\n").is_ok()
        });
        harness
    }

    fn until(&self, event: &str, condition: impl Fn(&StaticListHarness) -> bool) {
        let start = Instant::now();
        while !condition(self) {
            assert!(start.elapsed() < Duration::from_secs(10), "not seen: {event}\n{}", self.log());
            sleep(Duration::from_millis(5));
        }
    }

    fn log(&self) -> String {
        fs::read_to_string(self.folder.path().join("log")).unwrap_or_default()
    }

    fn put(&self, id: &str, destination: u64) -> String {
        submit(self.sender_address, id, &format!("c=notice,t=acme,d=8000,k={id},dest={destination}"), "hello")
            .expect("the sender replies")
    }

    fn delivered(&self) -> Vec<String> {
        self.delivered.lock().expect("mutex is not poisoned").clone()
    }

    /// Replaces the configuration file and sends SIGHUP.
    fn reload(&self, config: &str) {
        fs::write(self.folder.path().join("sailcart.toml"), config).expect("write the file");
        let pid = self.sender.id().to_string();
        assert!(Command::new("kill").args(["-HUP", &pid]).status().expect("run kill").success());
    }
}

impl Drop for StaticListHarness {
    fn drop(&mut self) {
        let _ = self.sender.kill();
        let _ = self.sender.wait();
    }
}

#[test]
fn packets_are_delivered_by_the_list_in_the_file() {
    let harness = StaticListHarness::new();
    assert_eq!(harness.put("a1", 7), "+OK");
    harness.until("the packet is delivered", |harness| harness.delivered() == ["a1"]);
    assert!(harness.put("a2", 9).starts_with("-ERR"), "a destination that is not listed");
}

#[test]
fn packets_held_for_a_removed_destination_are_dismissed() {
    let harness = StaticListHarness::new();
    assert_eq!(harness.put("b1", 8), "+OK");
    let start = harness.config.find("[[source.endpoints]]\nname = \"e-2\"").expect("section in the example");
    let end = harness.config.find("[[categories]]").expect("section in the example");
    harness.reload(&[&harness.config[..start], &harness.config[end..]].concat());
    harness.until("the new list is in force", |harness| {
        harness.log().contains("1 endpoints listed, code=listed")
    });
    harness.until("the dismissal is logged", |harness| {
        harness.log().contains("packet b1: ended, code=dismissed")
    });
    assert_eq!(harness.put("b2", 7), "+OK");
    harness.until("other packets are delivered", |harness| harness.delivered() == ["b2"]);
}

#[test]
fn a_truncated_file_changes_nothing() {
    let harness = StaticListHarness::new();
    harness.reload(&harness.config[..harness.config.len() / 2]);
    harness.until("the file is rejected", |harness| {
        harness.log().contains("the old configuration stays in force, code=faulty")
    });
    assert_eq!(harness.put("c1", 7), "+OK");
    harness.until("the packet is delivered", |harness| harness.delivered() == ["c1"]);
}

/// The disk is full for a while, simulated by the file-size limit of the process (`prlimit --fsize`). Clients
/// are answered -BUSY until a write succeeds, and the failure is logged once.
#[test]
fn clients_are_answered_busy_while_the_disk_is_full_and_one_failure_is_logged() {
    let harness = StaticListHarness::new();
    let segment = harness.folder.path().join("segment-0000000000000001");
    let mut first_packets = Vec::new();
    while fs::metadata(&segment).expect("segment metadata").len() <= FULL_DISK_BYTES {
        first_packets.push(format!("a{}", first_packets.len()));
        assert_eq!(harness.put(&first_packets[first_packets.len() - 1], 7), "+OK");
    }
    let set_file_size_limit = |bytes: &str| {
        let arguments = ["--pid", &harness.sender.id().to_string(), &format!("--fsize={bytes}:unlimited")];
        assert!(Command::new("prlimit").args(arguments).status().expect("run prlimit").success());
    };
    harness.until("all packets are delivered", |harness| harness.delivered().len() == first_packets.len());
    sleep(Duration::from_millis(100)); // lets their completions be written
    set_file_size_limit(&FULL_DISK_BYTES.to_string());
    for id in ["d2", "d3", "d4"] {
        assert!(harness.put(id, 7).starts_with("-BUSY"), "{}", harness.log());
    }
    set_file_size_limit("unlimited");
    assert_eq!(harness.put("d5", 7), "+OK");
    harness.until("other packets are delivered", |harness| {
        harness.delivered().last().is_some_and(|id| id == "d5")
    });
    assert_eq!(harness.delivered().len(), first_packets.len() + 1, "rejected packets are not dispatched");
    let log = harness.log();
    assert_eq!(log.matches("no packet is accepted until a write succeeds").count(), 1, "{log}");
    assert_eq!(log.matches("code=written_again").count(), 1, "{log}");
}
