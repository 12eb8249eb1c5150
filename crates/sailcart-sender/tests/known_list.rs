//! The destination list in the configuration. It may be as large as a list of discovery; it is checked before
//! anything starts, and its text is freed once the list is in force.

use std::fs;
use std::net::TcpListener;
use std::process::Command;

#[allow(dead_code)] // the other items are used by other tests
mod common;

use common::harness::Harness;
use common::{http_response, list_entry};

const CONFIG: &str = include_str!("../../../examples/config.json");
const EMPTY_LIST: &str = r#"{ "generation": 0, "reset": true, "instances": [] }"#;
const ENTRY_COUNT: usize = 100_000;

/// Runs `sailcart check` on the example with another list. Returns whether it succeeded, and its output.
fn check(known_list: &str) -> (bool, String) {
    let folder = tempfile::tempdir().expect("temporary folder");
    let file = folder.path().join("config.json");
    let state = folder.path().to_str().expect("UTF-8 path");
    assert!(CONFIG.contains(EMPTY_LIST));
    let config = CONFIG.replace(EMPTY_LIST, known_list).replace("examples/state", state);
    fs::write(&file, config).expect("write the file");
    let result =
        Command::new(env!("CARGO_BIN_EXE_sailcart")).arg("check").arg("--config").arg(&file).output();
    let result = result.expect("run sailcart");
    (result.status.success(), String::from_utf8_lossy(&[result.stdout, result.stderr].concat()).into_owned())
}

fn numbered_entry(number: usize) -> String {
    let address = ([127, 9, (number / 250 % 250) as u8, (number % 250) as u8], 9).into();
    list_entry(&format!("many-{number}"), address, 8 + number as u64, "Ready")
}

#[test]
fn an_invalid_list_is_reported_with_its_key() {
    let invalid_lists = [
        (
            r#"{ "generation": -1, "reset": true, "instances": [] }"#,
            "known: expected a whole number in generation",
        ),
        (r#"{ "generation": 1, "reset": 0, "instances": [] }"#, "known: expected true or false in reset"),
        (r#"{ "generation": 1, "reset": true, "instances": {} }"#, "known: expected an array in instances"),
        (r#"{ "generation": 1, "reset": true }"#, "known: expected instances"),
        (r#"[]"#, "known: expected an object"),
        (r#"{ "generation": 1, "reset": true, "instances": [ }"#, "expected JSON"),
        (r#"{ "generation": 1, "#, "expected JSON"),
    ];
    for (known_list, expected_text) in invalid_lists {
        let (valid, output) = check(known_list);
        assert!(!valid && output.contains(expected_text), "{known_list}: {output}");
    }
}

#[test]
fn the_entries_of_a_valid_list_are_counted() {
    let valid_entry = numbered_entry(0);
    let malformed_entry = r#"{"instanceId": "x"}"#;
    let lists = [
        (EMPTY_LIST.to_owned(), "0 endpoints known"),
        (
            format!(
                r#"{{ "instances": [{valid_entry}, {malformed_entry}], "reset": true, "generation": 3 }}"#
            ),
            "1 endpoints known",
        ),
        // Of two lists the last one counts, as for any duplicate member.
        (
            format!(r#"{EMPTY_LIST}, "known": {{"generation":3,"reset":true,"instances":[{valid_entry}]}}"#),
            "1 endpoints known",
        ),
    ];
    for (known_list, expected_text) in lists {
        let (valid, output) = check(&known_list);
        assert!(valid && output.contains(expected_text), "{known_list}: {output}");
    }
}

/// If discovery cannot be reached, packets are dispatched by the list in the configuration from the first one
/// on. Two copies of the list as JSON values, as there were before, would take 200 MB; in force it takes at
/// most 192 bytes per endpoint.
#[test]
fn a_sender_starts_with_a_large_list_and_frees_its_text() {
    let mut harness = Harness::new("known", |_, _| http_response("200 OK", "", ""));
    harness.kill();
    let entries: Vec<String> = (0..ENTRY_COUNT).map(numbered_entry).collect();
    let reachable_entry = list_entry("e", harness.endpoint_address, 7, "Ready");
    let members =
        format!(r#""generation": 5, "reset": true, "instances": [{reachable_entry},{}]"#, entries.join(","));
    let unused_address = TcpListener::bind("127.83.2.1:0")
        .and_then(|socket| socket.local_addr())
        .expect("read the local address");
    let config = harness.config.replace(r#""generation": 0, "reset": true, "instances": []"#, &members);
    assert!(config.len() > members.len());
    harness.config = config.replace(&harness.discovery_address.to_string(), &unused_address.to_string());
    fs::write(harness.folder.join("log"), "").expect("empty the log");
    harness.start();
    assert_eq!(harness.submit("a1"), "+OK");
    harness.wait_until("the call has arrived", |harness| harness.received_ids() == ["a1"]);
    let (resident, peak) = (harness.memory("VmRSS"), harness.memory("VmHWM"));
    let directory_bytes = ENTRY_COUNT * 192;
    assert!(resident < directory_bytes + 16_000_000, "{resident} bytes resident");
    assert!(peak < members.len() + directory_bytes + 32_000_000, "{peak} bytes at the peak");
}
