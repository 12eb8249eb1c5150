//! The `sailcart-lab` program in sockets mode, with sender processes.

use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Path of the sender program, which is built if it does not exist.
fn sender_program() -> PathBuf {
    let lab = Path::new(env!("CARGO_BIN_EXE_sailcart-lab"));
    let path = lab.with_file_name("sailcart");
    if !path.is_file() {
        let mut build = Command::new(env!("CARGO"));
        build.args(["build", "-p", "sailcart-sender", "--bin", "sailcart"]);
        assert!(build.status().expect("cargo").success());
    }
    path
}

fn lab(arguments: &[&str], out: &Path) -> Command {
    let mut lab = Command::new(env!("CARGO_BIN_EXE_sailcart-lab"));
    lab.args(arguments).arg("--out").arg(out).arg("--sender").arg(sender_program());
    lab.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped());
    lab
}

/// Ids of the running processes with this parent.
fn children(parent: u32) -> Vec<i32> {
    let all = procfs::process::all_processes().expect("processes").flatten();
    let stats = all.filter_map(|process| process.stat().ok());
    stats.filter(|stat| stat.ppid == parent as i32 && stat.state != 'Z').map(|stat| stat.pid).collect()
}

fn is_running(pid: i32) -> bool {
    let stat = procfs::process::Process::new(pid).and_then(|process| process.stat());
    stat.is_ok_and(|stat| stat.state != 'Z')
}

fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + Duration::from_secs(15);
    while !condition() {
        assert!(Instant::now() < deadline, "{what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn senders_end_when_the_lab_is_killed() {
    let out = tempfile::tempdir().expect("a folder");
    let arguments = ["run", "calm", "--mode", "sockets"];
    let mut run: Child = lab(&arguments, out.path()).spawn().expect("the lab");
    wait_until("senders start", || children(run.id()).len() == 3);
    let senders = children(run.id());
    run.kill().expect("a kill");
    run.wait().expect("its end");
    wait_until("senders end with the lab", || senders.iter().all(|pid| !is_running(*pid)));
}

#[test]
fn a_short_experiment_with_a_kill_violates_no_rule_and_writes_its_report() {
    let out = tempfile::tempdir().expect("a folder");
    let arguments = [
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
    let run = lab(&arguments, out.path()).output().expect("the lab");
    let (stdout, stderr) = (String::from_utf8_lossy(&run.stdout), String::from_utf8_lossy(&run.stderr));
    assert_eq!(run.status.code(), Some(0), "{stdout}{stderr}");
    let page = std::fs::read_to_string(out.path().join("report.html")).expect("a page");
    assert!(page.contains("<svg") && page.contains("sender 2"), "charts, and the cost of each sender");
}

/// Kills senders a hundred times, so that the kills interrupt writes at many points. No accepted packet is
/// lost and none is executed twice.
#[test]
fn a_hundred_kills_under_load_lose_and_repeat_nothing() {
    let out = tempfile::tempdir().expect("a folder");
    let bounds = "bounds=[\"breaches = 0\", \"crashes = 0\", \"kills >= 100\"]";
    let run = lab(&["run", "kills", "--set", bounds], out.path()).output().expect("the lab");
    let (stdout, stderr) = (String::from_utf8_lossy(&run.stdout), String::from_utf8_lossy(&run.stderr));
    assert_eq!(run.status.code(), Some(0), "{stdout}{stderr}");
}

#[test]
fn a_missed_bound_exits_with_1_and_an_invalid_setting_with_2() {
    let out = tempfile::tempdir().expect("a folder");
    let status = |arguments: &[&str]| lab(arguments, out.path()).output().expect("the lab").status.code();
    assert_eq!(status(&["run", "calm", "--set", "bounds=[\"credit > 2\"]"]), Some(1));
    assert_eq!(status(&["run", "calm", "--set", "load.rate=none"]), Some(2));
    assert_eq!(status(&["run", "calm", "--set", "bounds=[\"credit > 0.9\"]"]), Some(0));
}
