//! `sailcart.toml`: what is wrong with one is told at once, and where; what is in force, and where it came from.

use std::path::Path;
use std::process::{Command, Output};

const EXAMPLE: &str = include_str!("../../../examples/sailcart.toml");

/// The program on a file, with a variable set.
fn run(words: &[&str], text: &str, variable: Option<(&str, &str)>) -> (Option<i32>, String) {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("sailcart.toml");
    let state = folder.path().to_str().expect("a plain path");
    std::fs::write(&file, text.replace("examples/state", state)).expect("a file");
    let Output { status, stdout, stderr } = program(words, &file, variable);
    (status.code(), String::from_utf8_lossy(&[stdout, stderr].concat()).into_owned())
}

fn program(words: &[&str], file: &Path, variable: Option<(&str, &str)>) -> Output {
    let mut run = Command::new(env!("CARGO_BIN_EXE_sailcart"));
    run.args(words).arg("--config").arg(file).envs(variable).output().expect("a run")
}

#[test]
fn ten_faults_are_told_at_once_with_their_places() {
    let faulty = EXAMPLE
        .replace("name = \"n1\"", "nam = \"n1\"")
        .replace("127.0.0.1:6379", "127.0.0.1")
        .replace("\"192 MB\"", "\"many\"")
        .replace("slots = 8", "slots = \"8\"")
        .replace("hold = 100", "hold = -1")
        .replace("retry_after = \"2s\"", "retry_after = \"2 bananas\"")
        .replace("cold_from = 0.3", "cold_form = 0.3")
        .replace(
            "destination = 7\nkind = \"plain\"\nrate = 50.0\n\n[[cat",
            "destination = 7\nrate = 50.0\n\n[[cat",
        )
        .replace("\"deduplicated\"", "\"twice\"")
        .replace("quota = 20.0", "quota = true");
    let (status, said) = run(&["check"], &faulty, None);
    assert_eq!(status, Some(1), "{said}");
    let told: Vec<&str> = said.lines().map(|line| line.split(".toml: ").nth(1).expect("a place")).collect();
    // The name is missing too, as it has another key.
    let expected = [
        "line 1, column 1: name: expected it",
        "line 2, column 1: nam: unknown key; is name meant?",
        "line 3, column 10: listen: expected ADDRESS:PORT, not \"127.0.0.1\"",
        "line 7, column 10: limits.memory: expected a size as \"64 MiB\", not \"many\"",
        "line 11, column 9: senders.slots: expected a whole number",
        "line 12, column 8: senders.hold: expected a whole number from 0",
        "line 13, column 15: senders.retry_after: expected a time as \"3s\" or \"250ms\", not \"2 bananas\"",
        "line 16, column 1: rules.cold_form: unknown key; is cold_from meant?",
        "line 31, column 1: source.endpoints.1.kind: expected it",
        "line 39, column 10: categories.0.repeat: expected one of idempotent, deduplicated, unrepeatable, not twice",
        "line 47, column 9: customers.0.quota: expected a number",
    ];
    assert_eq!(told, expected);
}

#[test]
fn what_does_not_agree_is_told_with_its_place() {
    let category =
        &EXAMPLE[EXAMPLE.find("[[categories]]").expect("one")..EXAMPLE.find("[[customers]]").expect("one")];
    let twice = EXAMPLE.replace("[[customers]]", &format!("{category}\n[[customers]]"));
    let (status, said) = run(&["check"], &twice, None);
    assert!(status == Some(1) && said.contains("categories.1.name: notice is there twice"), "{said}");
    let unknown = EXAMPLE.replace("kind = \"plain\"\nrate", "kind = \"large\"\nrate");
    let (_, said) = run(&["check"], &unknown, None);
    assert_eq!(said.matches("no kind large").count(), 2, "{said}");
    // A section of a part that is not there: nobody shall believe that it is on.
    let (_, said) = run(&["check"], &format!("{EXAMPLE}\n[members]\nport = 1\n"), None);
    assert!(said.contains("members: unknown key"), "{said}");
}

#[test]
fn what_is_in_force_says_where_it_came_from() {
    let (status, said) = run(&["config", "show"], EXAMPLE, Some(("ROUTER_LISTEN", "127.0.0.2:7000")));
    assert_eq!(status, Some(0), "{said}");
    for line in [
        "name = \"n1\"  # from the file",
        "listen = \"127.0.0.2:7000\"  # from ROUTER_LISTEN",
        "senders.dispatches = 6  # default",
        "limits.sockets = 1024  # default",
        "categories.0.patience = \"24s\"  # from the file",
    ] {
        assert!(said.lines().any(|other| other == line), "{line} in\n{said}");
    }
}

#[test]
fn wrong_use_is_two_and_a_missing_file_one() {
    let run = |words: &[&str]| {
        let output =
            Command::new(env!("CARGO_BIN_EXE_sailcart")).args(words).env_remove("ROUTER_CONFIG").output();
        output.expect("a run").status.code()
    };
    assert_eq!(run(&["serv"]), Some(2));
    assert_eq!(run(&["check", "--confg", "x"]), Some(2));
    assert_eq!(run(&["check"]), Some(1));
    assert_eq!(run(&["check", "--config", "nowhere.toml"]), Some(1));
    assert_eq!(run(&["config", "schema"]), Some(0));
    assert_eq!(run(&["man"]), Some(0));
    assert_eq!(run(&["completions", "bash"]), Some(0));
}
