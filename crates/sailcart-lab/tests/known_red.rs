//! The form of `KNOWN-RED.txt`, as `.ci/known-red` checks it. Only lines that name no test of cargo's are used, so
//! that no test run lists the tests of another.

use std::fs;
use std::process::{Command, Output};

const SCRIPT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../.ci/known-red");
const CASE: &str = "lab run hang | 7 | one packet lost | issue 50";

/// Runs a copy of the script beside a list. Returns its output, and the arguments for the test harness.
fn check(list: &str) -> (Output, String) {
    let folder = tempfile::tempdir().expect("temporary folder");
    let script = folder.path().join(".ci/known-red");
    fs::create_dir(folder.path().join(".ci")).expect("folder of the script");
    fs::copy(SCRIPT, &script).expect("copy of the script");
    fs::write(folder.path().join("KNOWN-RED.txt"), list).expect("write the list");
    let arguments = folder.path().join("arguments");
    let output = Command::new("bash")
        .args(["-c", r#"exec bash "$0" 3>"$1""#])
        .args([script.as_os_str(), arguments.as_os_str()])
        .output()
        .expect("the script runs");
    (output, fs::read_to_string(arguments).expect("the arguments file exists"))
}

/// Asserts that the list is rejected with a message, and that no test would be skipped.
fn assert_rejected(list: &str, expected: &str) {
    let (output, arguments) = check(list);
    let message = String::from_utf8_lossy(&output.stderr);
    assert!(!output.status.success(), "accepted: {list}");
    assert!(message.contains(expected), "{message}");
    assert_eq!(arguments, "");
}

/// A case outside cargo's tests is printed whole, and skips no test.
#[test]
fn a_case_is_printed_and_skips_no_test() {
    let (output, arguments) = check(&format!("{CASE}\n"));
    assert!(output.status.success());
    assert_eq!(String::from_utf8_lossy(&output.stdout), format!("KNOWN RED, not a test: {CASE}\n"));
    assert_eq!(arguments, "");
}

/// Guards against a case that names no seed, observation or issue.
#[test]
fn empty_and_missing_fields_are_rejected() {
    assert_rejected("lab run hang | 7 | | issue 50\n", "a field is empty");
    assert_rejected("lab run hang | 7 | one packet lost | \n", "a field is empty");
    assert_rejected("lab run hang | issue 50\n", "expected 'test | cause | issue' or");
    assert_rejected(&format!("{CASE} | more\n"), "expected 'test | cause | issue' or");
}

#[test]
fn at_most_three_lines_are_accepted() {
    assert!(check(&format!("{CASE}\n").repeat(3)).0.status.success());
    assert_rejected(&format!("{CASE}\n").repeat(4), "4 lines, three at most");
}
