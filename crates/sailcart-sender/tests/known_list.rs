//! The destination list that a configuration brings: as large as discovery's, checked before anything starts, and gone from memory
//! once it is in force.

use std::fs;
use std::net::TcpListener;
use std::process::Command;

#[allow(dead_code)] // other tests use the rest of it
mod common;

use common::harness::Harness;
use common::{http_response, list_entry};

const CONFIG: &str = include_str!("../../../examples/config.json");
const EMPTY: &str = r#"{ "generation": 0, "reset": true, "instances": [] }"#;
const MANY: usize = 100_000;

/// What `sailcart check` says of the example with another list, and whether it found it good.
fn check(known: &str) -> (bool, String) {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("config.json");
    let state = folder.path().to_str().expect("a plain path");
    assert!(CONFIG.contains(EMPTY));
    let config = CONFIG.replace(EMPTY, known).replace("examples/state", state);
    fs::write(&file, config).expect("a file");
    let run = Command::new(env!("CARGO_BIN_EXE_sailcart")).arg("check").arg("--config").arg(&file).output();
    let run = run.expect("a run");
    (run.status.success(), String::from_utf8_lossy(&[run.stdout, run.stderr].concat()).into_owned())
}

fn line(number: usize) -> String {
    let address = ([127, 9, (number / 250 % 250) as u8, (number % 250) as u8], 9).into();
    list_entry(&format!("many-{number}"), address, 8 + number as u64, "Ready")
}

#[test]
fn a_faulty_list_is_told_with_its_key() {
    let faults = [
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
    for (known, words) in faults {
        let (good, said) = check(known);
        assert!(!good && said.contains(words), "{known}: {said}");
    }
}

#[test]
fn a_sound_list_is_counted() {
    let one = line(0);
    let odd = r#"{"instanceId": "x"}"#;
    let lists = [
        (EMPTY.to_owned(), "0 endpoints known"),
        (
            format!(r#"{{ "instances": [{one}, {odd}], "reset": true, "generation": 3 }}"#),
            "1 endpoints known",
        ),
        // Of two the last counts, as of any member.
        (
            format!(r#"{EMPTY}, "known": {{"generation":3,"reset":true,"instances":[{one}]}}"#),
            "1 endpoints known",
        ),
    ];
    for (known, words) in lists {
        let (good, said) = check(&known);
        assert!(good && said.contains(words), "{known}: {said}");
    }
}

/// Without a discovery in reach the list serves from the first packet on. Held as a value twice over, as it was, it would take
/// 200 MB; in force it takes 192 bytes an endpoint at most.
#[test]
fn a_large_list_starts_a_sender_and_does_not_stay_beside_the_directory() {
    let mut world = Harness::new("known", |_, _| http_response("200 OK", "", ""));
    world.kill();
    let lines: Vec<String> = (0..MANY).map(line).collect();
    let own = list_entry("e", world.endpoint_address, 7, "Ready");
    let known = format!(r#""generation": 5, "reset": true, "instances": [{own},{}]"#, lines.join(","));
    let nowhere =
        TcpListener::bind("127.83.2.1:0").and_then(|socket| socket.local_addr()).expect("an address");
    let config = world.config.replace(r#""generation": 0, "reset": true, "instances": []"#, &known);
    assert!(config.len() > known.len());
    world.config = config.replace(&world.discovery_address.to_string(), &nowhere.to_string());
    fs::write(world.folder.join("log"), "").expect("an empty log");
    world.start();
    assert_eq!(world.submit("a1"), "+OK");
    world.wait_until("the call", |world| world.received_ids() == ["a1"]);
    let (resident, most) = (world.memory("VmRSS"), world.memory("VmHWM"));
    let listed = MANY * 192;
    assert!(resident < listed + 16_000_000, "{resident} bytes resident");
    assert!(most < known.len() + listed + 32_000_000, "{most} bytes at the most");
}
