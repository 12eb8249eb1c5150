//! Appends of a packet's records on a folder of the platform's size: `cargo bench -p sailcart-store`.

use divan::{Bencher, black_box};
use sailcart_store::{Change, Disk, Room, Store, Sync};

fn main() {
    divan::main();
}

/// A packet of 200 bytes taken, sent and over, beside so many that stay.
#[divan::bench(args = [0, 1_000, 5_000])]
fn packet(bencher: Bencher, held: u64) {
    let folder = tempfile::tempdir().expect("a folder");
    let room = Room { bytes: 3_000_000, sync: Sync::None };
    let (mut store, _) = Store::open(Disk::new(folder.path()), room).expect("a store");
    for key in 0..held {
        store.write(&[Change::Put(&key.to_be_bytes(), &[7; 250])]).expect("room");
    }
    let mut next = held;
    bencher.bench_local(|| {
        let key = next.to_be_bytes();
        store.write(&[Change::Put(&key, &[7; 250])]).expect("room");
        store.write(&[Change::Put(black_box(&key), &[8; 30])]).expect("room");
        store.write(&[Change::End(&key)]).expect("room");
        next += 1;
    });
}
