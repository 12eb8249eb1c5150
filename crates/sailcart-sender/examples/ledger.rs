//! What a packet costs in the ledger, beside so many that stay: `cargo run --release -p sailcart-sender --example ledger`.

use std::time::{Duration, Instant};

use sailcart::DestinationId;
use sailcart_sender::memory::Packet;
use sailcart_sender::memory::ledger::Ledger;
use sailcart_sender::memory::moment::Moment;

const ROOM: u64 = 3_000_000;
const HELD: u64 = 1_500;

fn packet(ledger: &Ledger) -> Packet {
    let number = ledger.next();
    Packet {
        number,
        id: format!("{:016x}", number.0).into(),
        category: "notice".into(),
        customer: Some("acme".into()),
        mark: Some(format!("{:016x}", number.0).into()),
        about: None,
        destination: DestinationId(7),
        ends: Moment::by_wall_clock(Duration::from_secs(1_764_000_000)),
        body: vec![b'x'; 200].into(),
    }
}

fn main() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut ledger = Ledger::open(folder.path(), ROOM, 1000, sailcart_store::Sync::None).expect("a ledger");
    for _ in 0..HELD {
        let packet = packet(&ledger);
        ledger.take(packet).expect("room");
    }
    let mut all = Vec::new();
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(3) {
        let packet = packet(&ledger);
        let id = packet.number;
        let mut timed = |act: &mut dyn FnMut()| {
            let start = Instant::now();
            act();
            all.push(start.elapsed());
        };
        let mut packet = Some(packet);
        timed(&mut || ledger.take(packet.take().expect("one")).expect("room"));
        timed(&mut || {
            ledger.sends(&[id], Moment::by_wall_clock(Duration::from_secs(1_764_000_000))).expect("room")
        });
        timed(&mut || ledger.over(id));
    }
    let rate = all.len() as f64 / start.elapsed().as_secs_f64();
    all.sort();
    let us = |part: f64| all[((all.len() - 1) as f64 * part) as usize].as_secs_f64() * 1e6;
    println!(
        "{rate:.0} records/s, p50 {:.1}, p99 {:.1}, p99.9 {:.1}, max {:.0} us",
        us(0.5),
        us(0.99),
        us(0.999),
        us(1.0)
    );
}
