//! Partial reads and writes without a new readiness event from the kernel, and interrupted waits: available
//! bytes are read without delay.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

#[allow(dead_code)] // other tests use the rest of it
mod common;

use common::harness::Harness;
use common::{http_response, submit_command};
use sailcart_shim::{FaultCounter, Setting};

/// 20 % of the reads return at most 40 bytes, 20 % of the writes are shortened to a random length, and 10 %
/// of the waits are interrupted.
#[test]
fn partial_reads_and_writes_cause_no_stalls() {
    const PACKETS: usize = 200;
    /// Just below the listed rate of the destination, 50 per second: the capacity for held packets is less
    /// than [`PACKETS`].
    const SUBMIT_INTERVAL: Duration = Duration::from_millis(21);
    let (harness, control_page) = Harness::with_fault_injection("short-calls", |_, _| {
        http_response("200 OK", "X-Some: header of an answer\r\n", "and a body")
    });
    for (setting, value) in [
        (Setting::ShortReadPerMille, 200),
        (Setting::ShortReadMaxBytes, 40),
        (Setting::ShortWritePerMille, 200),
        (Setting::WaitInterruptedPerMille, 100),
    ] {
        control_page.set(setting, value).expect("write to the control page");
    }
    let mut client = TcpStream::connect(harness.listen_address).expect("establish a connection");
    client.set_read_timeout(Some(Duration::from_secs(5))).expect("set the read timeout");
    for number in 0..PACKETS {
        let id = format!("p{number}");
        let command =
            submit_command(&id, &format!("c=notice,t=acme,d=8000,k={id},dest=7"), &"body".repeat(50));
        let start = Instant::now();
        client.write_all(command.as_bytes()).expect("write to the socket");
        let mut reply = [0; 5];
        client.read_exact(&mut reply).expect("the sender replies");
        assert_eq!(&reply, b"+OK\r\n");
        let reply_time = start.elapsed();
        assert!(reply_time < Duration::from_millis(400), "reply to packet {number} after {reply_time:?}");
        std::thread::sleep(SUBMIT_INTERVAL);
    }
    harness.wait_until("all calls", |harness| harness.received_ids().len() >= PACKETS);
    assert_eq!(harness.received_ids().len(), PACKETS, "a packet was sent again");
    assert_eq!(harness.notices(), [""; 0]);
    for counter in [FaultCounter::ShortRead, FaultCounter::ShortWrite, FaultCounter::WaitInterrupted] {
        assert!(control_page.count(counter) > 20, "{counter:?}: {}", control_page.count(counter));
    }
}
