//! The lab as a program, with the sender's own processes.

use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// The sender's program, built if it is not there.
fn sender() -> PathBuf {
    let lab = Path::new(env!("CARGO_BIN_EXE_sailcart-lab"));
    let path = lab.with_file_name("sailcart");
    if !path.is_file() {
        let mut build = Command::new(env!("CARGO"));
        build.args(["build", "-p", "sailcart-sender", "--bin", "sailcart"]);
        assert!(build.status().expect("cargo").success());
    }
    path
}

fn lab(words: &[&str], out: &Path) -> Command {
    let mut lab = Command::new(env!("CARGO_BIN_EXE_sailcart-lab"));
    lab.args(words).arg("--out").arg(out).arg("--sender").arg(sender());
    lab.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped());
    lab
}

/// Processes whose parent is this one.
fn children(parent: u32) -> Vec<i32> {
    let all = procfs::process::all_processes().expect("processes").flatten();
    let stats = all.filter_map(|process| process.stat().ok());
    stats.filter(|stat| stat.ppid == parent as i32 && stat.state != 'Z').map(|stat| stat.pid).collect()
}

fn alive(pid: i32) -> bool {
    let stat = procfs::process::Process::new(pid).and_then(|process| process.stat());
    stat.is_ok_and(|stat| stat.state != 'Z')
}

fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + Duration::from_secs(15);
    while !holds() {
        assert!(Instant::now() < end, "{what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn no_sender_outlives_a_lab_that_is_killed() {
    let out = tempfile::tempdir().expect("a folder");
    let words = ["run", "calm", "--mode", "sockets"];
    let mut run: Child = lab(&words, out.path()).spawn().expect("the lab");
    wait_until("senders start", || children(run.id()).len() == 3);
    let senders = children(run.id());
    run.kill().expect("a kill");
    run.wait().expect("its end");
    wait_until("senders end with it", || senders.iter().all(|pid| !alive(*pid)));
}

#[test]
fn a_short_day_with_a_kill_keeps_the_rules_and_its_end_is_told() {
    let out = tempfile::tempdir().expect("a folder");
    let words = [
        "run",
        "rolling-restarts",
        "--mode",
        "sockets",
        "--set",
        "span=6s",
        "--set",
        "troubles.0.at=1s",
        "--set",
        "troubles.0.for=2s",
        "--set",
        "troubles.0.senders=[0]",
        "--set",
        "troubles.1.at=3s",
        "--set",
        "troubles.1.for=1s",
        "--set",
        "bounds=[\"breaches = 0\", \"crashes = 0\", \"delivered >= 150\"]",
    ];
    let run = lab(&words, out.path()).output().expect("the lab");
    let (said, faults) = (String::from_utf8_lossy(&run.stdout), String::from_utf8_lossy(&run.stderr));
    assert_eq!(run.status.code(), Some(0), "{said}{faults}");
    let page = std::fs::read_to_string(out.path().join("report.html")).expect("a page");
    assert!(page.contains("<svg") && page.contains("sender 2"), "pictures, and what each sender cost");
}

/// A hundred moments: whatever was being written then, nothing taken is lost and nothing is done twice.
#[test]
fn a_hundred_kills_under_load_lose_and_double_nothing() {
    let out = tempfile::tempdir().expect("a folder");
    let bounds = "bounds=[\"breaches = 0\", \"crashes = 0\", \"kills >= 100\"]";
    let run = lab(&["run", "kills", "--set", bounds], out.path()).output().expect("the lab");
    let (said, faults) = (String::from_utf8_lossy(&run.stdout), String::from_utf8_lossy(&run.stderr));
    assert_eq!(run.status.code(), Some(0), "{said}{faults}");
}

#[test]
fn a_bound_missed_is_status_one_and_a_wrong_file_two() {
    let out = tempfile::tempdir().expect("a folder");
    let status = |words: &[&str]| lab(words, out.path()).output().expect("the lab").status.code();
    assert_eq!(status(&["run", "calm", "--set", "bounds=[\"credit > 2\"]"]), Some(1));
    assert_eq!(status(&["run", "calm", "--set", "load.rate=none"]), Some(2));
    assert_eq!(status(&["run", "calm", "--set", "bounds=[\"credit > 0.9\"]"]), Some(0));
}
