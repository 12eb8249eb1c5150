//! A large configuration at SIGHUP: clients are answered while it is read.

use std::fmt::Write;
use std::time::{Duration, Instant};

#[allow(dead_code)] // other tests use the rest of it
mod common;

use common::harness::Harness;
use common::{http_response, list_entry, send_command};

/// Lines of the list that the configuration brings.
const LINES: usize = 100_000;

#[test]
fn clients_are_answered_while_a_large_configuration_is_read() {
    let mut world = Harness::new("large-reload", |_, _| http_response("200 OK", "", ""));
    let address = world.endpoint_address;
    let mut known = String::new();
    for number in 0..LINES {
        let comma = if number > 0 { "," } else { "" };
        let _ = write!(
            known,
            "{comma}{}",
            list_entry(&format!("k{number}"), address, 1000 + number as u64, "Ready")
        );
    }
    let large = world.config.replace(r#""instances": []"#, &format!(r#""instances": [{known}]"#));
    let moved = large.replace(&world.discovery_address.to_string(), "127.0.0.1:9");
    world.reload(&moved);
    let (start, mut longest) = (Instant::now(), Duration::ZERO);
    while !world.log().contains("reload: discovery at 127.0.0.1:9, code=moved") {
        let asked = Instant::now();
        assert_eq!(send_command(world.listen_address, "*1\r\n$4\r\nPING\r\n").expect("an answer"), "+PONG");
        longest = longest.max(asked.elapsed());
        assert!(start.elapsed() < Duration::from_secs(60), "it is read in the end");
    }
    assert!(longest < Duration::from_millis(200), "a PING took {longest:?}");
    world.kill();
}
