//! Measures what the records of a packet cost while a number of other packets stays in the ledger.
//!
//!     cargo run --release -p sailcart-sender --example ledger

use std::time::{Duration, Instant};

use sailcart::DestinationId;
use sailcart_sender::memory::Packet;
use sailcart_sender::memory::ledger::Ledger;
use sailcart_sender::memory::moment::Moment;

const CAPACITY_BYTES: u64 = 3_000_000;
const HELD_PACKETS: u64 = 1_500;

fn packet(ledger: &Ledger) -> Packet {
    let number = ledger.next_number();
    Packet {
        number,
        id: format!("{:016x}", number.0).into(),
        category: "notice".into(),
        customer: Some("acme".into()),
        idempotency_key: Some(format!("{:016x}", number.0).into()),
        order_key: None,
        destination: DestinationId(7),
        deadline: Moment::by_wall_clock(Duration::from_secs(1_764_000_000)),
        body: vec![b'x'; 200].into(),
    }
}

fn main() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let mut ledger = Ledger::open(folder.path(), CAPACITY_BYTES, 1000, sailcart_store::SyncPolicy::None)
        .expect("the ledger opens");
    for _ in 0..HELD_PACKETS {
        let packet = packet(&ledger);
        ledger.accept(packet).expect("the packet fits");
    }
    let mut times = Vec::new();
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(3) {
        let packet = packet(&ledger);
        let number = packet.number;
        let mut timed = |operation: &mut dyn FnMut()| {
            let start = Instant::now();
            operation();
            times.push(start.elapsed());
        };
        let mut packet = Some(packet);
        timed(&mut || ledger.accept(packet.take().expect("called once")).expect("the packet fits"));
        timed(&mut || {
            ledger
                .record_dispatch(&[number], Moment::by_wall_clock(Duration::from_secs(1_764_000_000)))
                .expect("the record fits");
        });
        timed(&mut || ledger.complete(number));
    }
    let rate = times.len() as f64 / start.elapsed().as_secs_f64();
    times.sort();
    let us = |fraction: f64| times[((times.len() - 1) as f64 * fraction) as usize].as_secs_f64() * 1e6;
    println!(
        "{rate:.0} records/s, p50 {:.1}, p99 {:.1}, p99.9 {:.1}, max {:.0} us",
        us(0.5),
        us(0.99),
        us(0.999),
        us(1.0)
    );
}
