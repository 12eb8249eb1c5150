//! Reload of a large configuration on SIGHUP: the sender keeps replying to clients while it reads the file.

use std::fmt::Write;
use std::time::{Duration, Instant};

#[allow(dead_code)] // each test file uses a part of this module
mod common;

use common::harness::Harness;
use common::{http_response, list_entry, send_command};

/// Entries of the endpoint list in the reloaded configuration.
const ENTRIES: usize = 100_000;

/// A configuration with 100,000 entries takes long to parse; parsing it on the thread that serves clients
/// would delay their replies. No PING may take longer than 200 ms.
#[test]
fn clients_are_answered_during_a_large_reload() {
    let mut harness = Harness::new("large-reload", |_, _| http_response("200 OK", "", ""));
    let address = harness.endpoint_address;
    let mut instances = String::new();
    for number in 0..ENTRIES {
        let comma = if number > 0 { "," } else { "" };
        let _ = write!(
            instances,
            "{comma}{}",
            list_entry(&format!("k{number}"), address, 1000 + number as u64, "Ready")
        );
    }
    let large = harness.config.replace(r#""instances": []"#, &format!(r#""instances": [{instances}]"#));
    let moved = large.replace(&harness.discovery_address.to_string(), "127.0.0.1:9");
    harness.reload(&moved);
    let (start, mut longest) = (Instant::now(), Duration::ZERO);
    while !harness.log().contains("reload: discovery at 127.0.0.1:9, code=moved") {
        let ping_sent_at = Instant::now();
        assert_eq!(
            send_command(harness.listen_address, "*1\r\n$4\r\nPING\r\n").expect("the sender replies"),
            "+PONG"
        );
        longest = longest.max(ping_sent_at.elapsed());
        assert!(start.elapsed() < Duration::from_secs(60), "the configuration was not read within 60 s");
    }
    assert!(longest < Duration::from_millis(200), "a PING took {longest:?}");
    harness.kill();
}
