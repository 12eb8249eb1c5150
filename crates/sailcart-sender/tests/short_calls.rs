//! Reads and writes that are cut short while no new report of the kernel follows, and waits that are interrupted: nobody waits for bytes
//! that are there.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

#[allow(dead_code)] // other tests use the rest of it
mod peer;

use peer::world::World;
use peer::{answer, command};
use sailcart_shim::{FaultCounter, Setting};

/// A fifth of the reads takes at most forty bytes, a fifth of the writes is cut anywhere.
#[test]
fn nobody_waits_for_bytes_that_are_there() {
    const PACKETS: usize = 200;
    /// The listed rate of the destination is 50 a second, and the hold is smaller than all of them.
    const PACE: Duration = Duration::from_millis(21);
    let (world, page) = World::under_faults("short-calls", |_, _| {
        answer("200 OK", "X-Some: header of an answer\r\n", "and a body")
    });
    for (setting, value) in [
        (Setting::ShortReadPerMille, 200),
        (Setting::ShortReadMaxBytes, 40),
        (Setting::ShortWritePerMille, 200),
        (Setting::WaitInterruptedPerMille, 100),
    ] {
        page.set(setting, value).expect("a page");
    }
    let mut client = TcpStream::connect(world.listen).expect("a connection");
    client.set_read_timeout(Some(Duration::from_secs(5))).expect("a time-out");
    for number in 0..PACKETS {
        let id = format!("p{number}");
        let words = command(&id, &format!("c=notice,t=acme,d=8000,k={id},dest=7"), &"body".repeat(50));
        let start = Instant::now();
        client.write_all(words.as_bytes()).expect("room");
        let mut answer = [0; 5];
        client.read_exact(&mut answer).expect("an answer");
        assert_eq!(&answer, b"+OK\r\n");
        let took = start.elapsed();
        assert!(took < Duration::from_millis(400), "packet {number} answered after {took:?}");
        std::thread::sleep(PACE);
    }
    world.until("all calls", |world| world.came().len() >= PACKETS);
    assert_eq!(world.came().len(), PACKETS, "none was sent again");
    assert_eq!(world.notices(), [""; 0]);
    for counter in [FaultCounter::ShortRead, FaultCounter::ShortWrite, FaultCounter::WaitInterrupted] {
        assert!(page.count(counter) > 20, "{counter:?}: {}", page.count(counter));
    }
}
