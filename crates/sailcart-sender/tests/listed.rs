//! A sender on a list of its own, without a platform.

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

/// No line for each connection: the log is a file too.
const LOGGED: &str = "info,sailcart_sender::clients=off,sailcart_sender::endpoints=off";
/// More than the log grows to, and less than the journal.
const FULL: u64 = 4096;

struct World {
    folder: tempfile::TempDir,
    at: SocketAddr,
    sender: Child,
    came: Arc<Mutex<Vec<String>>>,
    text: String,
}

impl World {
    /// Destination 7 has an endpoint that answers, destination 8 one that is never there.
    fn new() -> World {
        let came = Arc::new(Mutex::new(Vec::new()));
        let own = came.clone();
        let there = serve_http("127.0.0.1:0", move |call| {
            own.lock().expect("no panic").push(call.header("X-Call-Id").to_owned());
            http_response("200 OK", "", "")
        });
        let free = |address: &str| {
            let listener = TcpListener::bind(address).expect("a free address");
            listener.local_addr().expect("an address")
        };
        let (at, closed) = (free("127.84.1.1:0"), free("127.84.1.2:0"));
        let folder = tempfile::tempdir().expect("a folder");
        let text = EXAMPLE
            .replace("examples/state", folder.path().to_str().expect("a plain path"))
            .replace("127.0.0.1:6379", &at.to_string())
            .replace("127.0.0.1:7001", &there.to_string())
            .replace("127.0.0.1:7002\"\ndestination = 7", &format!("{closed}\"\ndestination = 8"))
            .replace("soft_limit = \"3s\"", "soft_limit = \"400ms\"");
        let file = folder.path().join("sailcart.toml");
        fs::write(&file, &text).expect("a file");
        let log = fs::File::create(folder.path().join("log")).expect("a log");
        let mut command = Command::new(env!("CARGO_BIN_EXE_sailcart"));
        // Ignored here and so in the sender: a write beyond the process's limit of a file's size fails with an error.
        command = {
            let mut shell = Command::new("sh");
            shell.args(["-c", "trap '' XFSZ; exec \"$@\"", "sh"]).arg(command.get_program());
            shell
        };
        let sender = command
            .arg("serve")
            .arg("--config")
            .arg(file)
            .env("RUST_LOG", LOGGED)
            .stderr(log)
            .spawn()
            .expect("a sender");
        let world = World { folder, at, sender, came, text };
        world.until("it is ready", |world| send_command(world.at, "*1\r\n$4\r\nPING\r\n").is_ok());
        world
    }

    fn until(&self, what: &str, check: impl Fn(&World) -> bool) {
        let start = Instant::now();
        while !check(self) {
            assert!(start.elapsed() < Duration::from_secs(10), "not seen: {what}\n{}", self.log());
            sleep(Duration::from_millis(5));
        }
    }

    fn log(&self) -> String {
        fs::read_to_string(self.folder.path().join("log")).unwrap_or_default()
    }

    fn put(&self, id: &str, to: u64) -> String {
        submit(self.at, id, &format!("c=notice,t=acme,d=8000,k={id},dest={to}"), "hello").expect("an answer")
    }

    fn came(&self) -> Vec<String> {
        self.came.lock().expect("no panic").clone()
    }

    /// Another file, and the signal to read it.
    fn reload(&self, text: &str) {
        fs::write(self.folder.path().join("sailcart.toml"), text).expect("a file");
        let pid = self.sender.id().to_string();
        assert!(Command::new("kill").args(["-HUP", &pid]).status().expect("a signal").success());
    }
}

impl Drop for World {
    fn drop(&mut self) {
        let _ = self.sender.kill();
        let _ = self.sender.wait();
    }
}

#[test]
fn a_list_in_the_file_is_enough() {
    let world = World::new();
    assert_eq!(world.put("a1", 7), "+OK");
    world.until("it is delivered", |world| world.came() == ["a1"]);
    assert!(world.put("a2", 9).starts_with("-ERR"), "a destination that is not listed");
}

#[test]
fn a_list_that_loses_a_destination_ends_what_is_held_for_it() {
    let world = World::new();
    assert_eq!(world.put("b1", 8), "+OK");
    let lost = world.text.find("[[source.endpoints]]\nname = \"e-2\"").expect("one");
    let end = world.text.find("[[categories]]").expect("one");
    world.reload(&[&world.text[..lost], &world.text[end..]].concat());
    world.until("it is read", |world| world.log().contains("1 endpoints listed, code=listed"));
    world.until("its end is told", |world| world.log().contains("packet b1: ended, code=dismissed"));
    assert_eq!(world.put("b2", 7), "+OK");
    world.until("others go on", |world| world.came() == ["b2"]);
}

#[test]
fn a_file_half_written_changes_nothing() {
    let world = World::new();
    world.reload(&world.text[..world.text.len() / 2]);
    world.until("it is refused", |world| {
        world.log().contains("the old configuration stays in force, code=faulty")
    });
    assert_eq!(world.put("c1", 7), "+OK");
    world.until("it is delivered", |world| world.came() == ["c1"]);
}

/// A disk that takes no more bytes, and later does: by the limit that the kernel keeps for the process.
#[test]
fn a_disk_that_fails_is_told_once_and_clients_hear_busy_until_it_is_well() {
    let world = World::new();
    let segment = world.folder.path().join("segment-0000000000000001");
    let mut before = Vec::new();
    while fs::metadata(&segment).expect("a segment").len() <= FULL {
        before.push(format!("a{}", before.len()));
        assert_eq!(world.put(&before[before.len() - 1], 7), "+OK");
    }
    let limit = |bytes: &str| {
        let words = ["--pid", &world.sender.id().to_string(), &format!("--fsize={bytes}:unlimited")];
        assert!(Command::new("prlimit").args(words).status().expect("prlimit").success());
    };
    world.until("all have come", |world| world.came().len() == before.len());
    sleep(Duration::from_millis(100)); // and their ends are written
    limit(&FULL.to_string());
    for id in ["d2", "d3", "d4"] {
        assert!(world.put(id, 7).starts_with("-BUSY"), "{}", world.log());
    }
    limit("unlimited");
    assert_eq!(world.put("d5", 7), "+OK");
    world.until("others go on", |world| world.came().last().is_some_and(|id| id == "d5"));
    assert_eq!(world.came().len(), before.len() + 1, "what was turned away never went");
    let log = world.log();
    assert_eq!(log.matches("no packet is accepted until a write succeeds").count(), 1, "{log}");
    assert_eq!(log.matches("code=written_again").count(), 1, "{log}");
}
