//! Benchmark of the writes for one packet, in a folder of the capacity that the platform uses:
//! `cargo bench -p sailcart-store`.

use divan::{Bencher, black_box};
use sailcart_store::{Change, Disk, Store, StoreOptions, SyncPolicy};

fn main() {
    divan::main();
}

/// Writes and deletes the records of an accepted, dispatched and completed packet of 200 bytes, in a store
/// that holds `held` other packets.
#[divan::bench(args = [0, 1_000, 5_000])]
fn packet(bencher: Bencher, held: u64) {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let options = StoreOptions { capacity_bytes: 3_000_000, sync: SyncPolicy::None };
    let (mut store, _) = Store::open(Disk::new(folder.path()), options).expect("the store opens");
    for key in 0..held {
        store.write(&[Change::Put(&key.to_be_bytes(), &[7; 250])]).expect("the write succeeds");
    }
    let mut next_key = held;
    bencher.bench_local(|| {
        let key = next_key.to_be_bytes();
        store.write(&[Change::Put(&key, &[7; 250])]).expect("the write succeeds");
        store.write(&[Change::Put(black_box(&key), &[8; 30])]).expect("the write succeeds");
        store.write(&[Change::Delete(&key)]).expect("the write succeeds");
        next_key += 1;
    });
}
