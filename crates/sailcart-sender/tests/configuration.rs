//! `sailcart.toml`: `check` reports all errors at once with their positions, and `config show` prints the
//! values in force with their origins.

use std::path::Path;
use std::process::{Command, Output};

const EXAMPLE: &str = include_str!("../../../examples/sailcart.toml");

/// Runs the program on a file with this text and returns its exit code and output.
fn run(arguments: &[&str], text: &str, variable: Option<(&str, &str)>) -> (Option<i32>, String) {
    let folder = tempfile::tempdir().expect("temporary folder");
    let file = folder.path().join("sailcart.toml");
    let state = folder.path().to_str().expect("UTF-8 path");
    std::fs::write(&file, text.replace("examples/state", state)).expect("write the file");
    let Output { status, stdout, stderr } = run_on_file(arguments, &file, variable);
    (status.code(), String::from_utf8_lossy(&[stdout, stderr].concat()).into_owned())
}

fn run_on_file(arguments: &[&str], file: &Path, variable: Option<(&str, &str)>) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_sailcart"));
    command.args(arguments).arg("--config").arg(file).envs(variable).output().expect("run sailcart")
}

#[test]
fn all_errors_are_reported_at_once_with_their_positions() {
    let malformed = EXAMPLE
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
    let (status, output) = run(&["check"], &malformed, None);
    assert_eq!(status, Some(1), "{output}");
    let errors: Vec<&str> =
        output.lines().map(|line| line.split(".toml: ").nth(1).expect("the line names a position")).collect();
    // `name` is missing as well, as its key is misspelt.
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
    assert_eq!(errors, expected);
}

#[test]
fn inconsistent_settings_are_reported_with_their_positions() {
    let category = &EXAMPLE[EXAMPLE.find("[[categories]]").expect("section in the example")
        ..EXAMPLE.find("[[customers]]").expect("section in the example")];
    let duplicated = EXAMPLE.replace("[[customers]]", &format!("{category}\n[[customers]]"));
    let (status, output) = run(&["check"], &duplicated, None);
    assert!(status == Some(1) && output.contains("categories.1.name: notice is there twice"), "{output}");
    let unknown_kind = EXAMPLE.replace("kind = \"plain\"\nrate", "kind = \"large\"\nrate");
    let (_, output) = run(&["check"], &unknown_kind, None);
    assert_eq!(output.matches("no kind large").count(), 2, "{output}");
    // A section for a feature that does not exist is an error, so that nobody believes it is enabled.
    let (_, output) = run(&["check"], &format!("{EXAMPLE}\n[members]\nport = 1\n"), None);
    assert!(output.contains("members: unknown key"), "{output}");
}

#[test]
fn config_show_prints_the_origin_of_each_value() {
    let (status, output) = run(&["config", "show"], EXAMPLE, Some(("ROUTER_LISTEN", "127.0.0.2:7000")));
    assert_eq!(status, Some(0), "{output}");
    for line in [
        "name = \"n1\"  # from the file",
        "listen = \"127.0.0.2:7000\"  # from ROUTER_LISTEN",
        "senders.dispatches = 6  # default",
        "limits.sockets = 1024  # default",
        "categories.0.patience = \"24s\"  # from the file",
    ] {
        assert!(output.lines().any(|other| other == line), "{line} is missing in\n{output}");
    }
}

#[test]
fn exit_code_is_2_for_wrong_usage_and_1_for_a_missing_file() {
    let exit_code = |arguments: &[&str]| {
        let output =
            Command::new(env!("CARGO_BIN_EXE_sailcart")).args(arguments).env_remove("ROUTER_CONFIG").output();
        output.expect("run sailcart").status.code()
    };
    assert_eq!(exit_code(&["serv"]), Some(2));
    assert_eq!(exit_code(&["check", "--confg", "x"]), Some(2));
    assert_eq!(exit_code(&["check"]), Some(1));
    assert_eq!(exit_code(&["check", "--config", "nowhere.toml"]), Some(1));
    assert_eq!(exit_code(&["config", "schema"]), Some(0));
    assert_eq!(exit_code(&["man"]), Some(0));
    assert_eq!(exit_code(&["completions", "bash"]), Some(0));
}
