//! Measures the figures of `docs/store.md` for this store, `redb` and `fjall`: the three writes for one
//! packet, packet after packet, in a store that holds a number of other packets, and the time that a start
//! takes. `cargo run --release -p sailcart-store --example measure -- own|redb|fjall|...|fill|start`; without
//! an argument it lists all of them.

use std::path::Path;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use sailcart_store::{Change, Disk, Store, StoreOptions, SyncPolicy};

/// A value with the stored size of a packet.
const PACKET_VALUE: [u8; 250] = [7; 250];
/// A value with the stored size of a packet's dispatch state.
const DISPATCH_STATE_VALUE: [u8; 30] = [8; 30];

/// A store under measurement. Each change takes effect at once.
trait MeasuredStore {
    fn put(&mut self, key: &[u8], value: &[u8]);
    fn delete(&mut self, key: &[u8]);
    /// Bytes written by the caller and by compaction, if the store reports them.
    fn written_bytes(&self) -> Option<(u64, u64)> {
        None
    }
}

/// This crate's store.
struct OwnStore(Store<Disk>);

/// This crate's store, synced after every hundred changes; the second field counts them.
struct GroupCommit<'a>(&'a mut OwnStore, u32);

impl GroupCommit<'_> {
    fn count_change(&mut self) {
        self.1 += 1;
        if self.1.is_multiple_of(100) {
            self.0.0.sync().expect("a sync");
        }
    }
}

impl MeasuredStore for GroupCommit<'_> {
    fn put(&mut self, key: &[u8], value: &[u8]) {
        self.0.put(key, value);
        self.count_change();
    }
    fn delete(&mut self, key: &[u8]) {
        self.0.delete(key);
        self.count_change();
    }
    fn written_bytes(&self) -> Option<(u64, u64)> {
        self.0.written_bytes()
    }
}

impl MeasuredStore for OwnStore {
    fn put(&mut self, key: &[u8], value: &[u8]) {
        self.0.write(&[Change::Put(key, value)]).expect("room");
    }
    fn delete(&mut self, key: &[u8]) {
        self.0.write(&[Change::Delete(key)]).expect("room");
    }
    fn written_bytes(&self) -> Option<(u64, u64)> {
        let stats = self.0.stats();
        Some((stats.written_bytes, stats.compacted_bytes))
    }
}

const TABLE: redb::TableDefinition<&[u8], &[u8]> = redb::TableDefinition::new("all");

/// A `redb` database and the durability of its transactions.
struct Redb(redb::Database, redb::Durability);

impl Redb {
    fn in_transaction(&self, change: impl FnOnce(&mut redb::Table<&[u8], &[u8]>)) {
        let mut transaction = self.0.begin_write().expect("a transaction");
        transaction.set_durability(self.1);
        change(&mut transaction.open_table(TABLE).expect("a table"));
        transaction.commit().expect("a commit");
    }
}

impl MeasuredStore for Redb {
    fn put(&mut self, key: &[u8], value: &[u8]) {
        self.in_transaction(|table| drop(table.insert(key, value).expect("room")));
    }
    fn delete(&mut self, key: &[u8]) {
        self.in_transaction(|table| drop(table.remove(key).expect("there")));
    }
}

/// A `fjall` keyspace with its partition, and how each change is made durable, if at all.
struct Fjall(fjall::Keyspace, fjall::PartitionHandle, Option<fjall::PersistMode>);

impl MeasuredStore for Fjall {
    fn put(&mut self, key: &[u8], value: &[u8]) {
        self.1.insert(key, value).expect("room");
        self.2.iter().for_each(|mode| self.0.persist(*mode).expect("a sync"));
    }
    fn delete(&mut self, key: &[u8]) {
        self.1.remove(key).expect("room");
        self.2.iter().for_each(|mode| self.0.persist(*mode).expect("a sync"));
    }
}

fn open_own(folder: &Path, capacity_bytes: u64, sync: SyncPolicy) -> OwnStore {
    OwnStore(Store::open(Disk::new(folder), StoreOptions { capacity_bytes, sync }).expect("a store").0)
}

/// Total size in bytes of the files in a folder and its subfolders.
fn folder_size(folder: &Path) -> u64 {
    let entries = std::fs::read_dir(folder).expect("a folder").flatten();
    let sizes = entries.map(|entry| match entry.metadata() {
        Ok(metadata) if metadata.is_dir() => folder_size(&entry.path()),
        Ok(metadata) => metadata.len(),
        Err(_) => 0,
    });
    sizes.sum()
}

/// Peak resident memory of this process in MB.
fn peak_memory_mb() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("a status");
    let line = status.lines().find(|line| line.starts_with("VmHWM")).expect("a line");
    line.split_whitespace().nth(1).and_then(|kb| kb.parse::<f64>().ok()).expect("kB") / 1000.0
}

/// Writes and deletes packet after packet for a duration, in a store that holds `held` other packets, and
/// prints the throughput, latencies, file sizes and memory.
fn append(name: &str, store: &mut dyn MeasuredStore, folder: &Path, held: u64, duration: Duration) {
    (0..held).for_each(|key| store.put(&key.to_be_bytes(), &PACKET_VALUE));
    let mut all_latencies = Histogram::<u64>::new(3).expect("bounds");
    let (mut without_compaction, mut with_compaction) = (all_latencies.clone(), all_latencies.clone());
    let (start, mut key) = (Instant::now(), held);
    while start.elapsed() < duration {
        let key_bytes = key.to_be_bytes();
        for write in 0..3 {
            let compacted = store.written_bytes().map(|(_, compacted)| compacted);
            let start = Instant::now();
            match write {
                0 => store.put(&key_bytes, &PACKET_VALUE),
                1 => store.put(&key_bytes, &DISPATCH_STATE_VALUE),
                _ => store.delete(&key_bytes),
            }
            let latency_ns = start.elapsed().as_nanos() as u64;
            all_latencies.record(latency_ns).expect("in bounds");
            let unchanged = compacted == store.written_bytes().map(|(_, compacted)| compacted);
            let latencies = if unchanged { &mut without_compaction } else { &mut with_compaction };
            latencies.record(latency_ns).expect("in bounds");
        }
        key += 1;
    }
    for (label, latencies) in [("not carrying", &without_compaction), ("carrying", &with_compaction)]
        .into_iter()
        .filter(|(_, latencies)| !latencies.is_empty())
    {
        let us = |quantile| latencies.value_at_quantile(quantile) as f64 / 1000.0;
        let (p50, p99, p999, max) = (us(0.5), us(0.99), us(0.999), latencies.max() as f64 / 1e6);
        println!(
            "  {label}: {} changes, p50 {p50:.1}, p99 {p99:.1}, p99.9 {p999:.1} us, max {max:.2} ms",
            latencies.len()
        );
    }
    let us = |quantile| all_latencies.value_at_quantile(quantile) as f64 / 1000.0;
    let write_amplification = store.written_bytes().map_or("-".to_owned(), |(written, compacted)| {
        format!("{:.2}", (written + compacted) as f64 / written.max(1) as f64)
    });
    println!(
        "| {name} | {held} | {:.0} | {:.1} | {:.1} | {:.1} | {:.2} | {write_amplification} | {:.1} | {:.0} |",
        all_latencies.len() as f64 / start.elapsed().as_secs_f64(),
        us(0.5),
        us(0.99),
        us(0.999),
        all_latencies.max() as f64 / 1e6,
        folder_size(folder) as f64 / 1e6,
        peak_memory_mb()
    );
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let temporary_folder = tempfile::tempdir().expect("a folder");
    let measured_folder = temporary_folder.path();
    let (duration, held) = (Duration::from_secs(3), 3_000);
    match arguments.get(1).map(String::as_str) {
        Some("own") => append(
            "own, none",
            &mut open_own(measured_folder, 3_000_000, SyncPolicy::None),
            measured_folder,
            held,
            duration,
        ),
        Some("own-each") => append(
            "own, each",
            &mut open_own(measured_folder, 3_000_000, SyncPolicy::EachWrite),
            measured_folder,
            held,
            duration,
        ),
        Some("own-every") => {
            let mut own =
                open_own(measured_folder, 3_000_000, SyncPolicy::Interval(Duration::from_millis(5)));
            // Group commit: one sync for each hundred changes.
            append("own, every 100 changes", &mut GroupCommit(&mut own, 0), measured_folder, held, duration);
        }
        Some("own-large") => append(
            "own, none, 1 GB",
            &mut open_own(measured_folder, 1_000_000_000, SyncPolicy::None),
            measured_folder,
            300_000,
            duration * 3,
        ),
        Some(which @ ("redb" | "redb-each")) => {
            let is_synced = which == "redb-each";
            let durability = if is_synced { redb::Durability::Immediate } else { redb::Durability::None };
            let database = redb::Database::create(measured_folder.join("redb")).expect("a database");
            append(which, &mut Redb(database, durability), measured_folder, held, duration);
        }
        Some(which @ ("fjall" | "fjall-each")) => {
            let keyspace = fjall::Config::new(measured_folder).open().expect("a keyspace");
            let partition = keyspace.open_partition("all", Default::default()).expect("a partition");
            let mode = (which == "fjall-each").then_some(fjall::PersistMode::SyncData);
            append(which, &mut Fjall(keyspace, partition, mode), measured_folder, held, duration);
        }
        Some("fill") => {
            let bytes = arguments[2].parse::<u64>().expect("bytes");
            let folder = Path::new(&arguments[3]);
            let mut store = open_own(folder, bytes * 2, SyncPolicy::None);
            let mut key = 0u64;
            while store.0.used_bytes() < bytes {
                store.put(&key.to_be_bytes(), &[9; 1000]);
                key += 1;
            }
        }
        Some("start") => {
            let (bytes, folder) = (arguments[2].parse::<u64>().expect("bytes"), Path::new(&arguments[3]));
            let start = Instant::now();
            let (store, summary) = Store::open(
                Disk::new(folder),
                StoreOptions { capacity_bytes: bytes * 2, sync: SyncPolicy::None },
            )
            .expect("a store");
            let seconds = start.elapsed().as_secs_f64();
            let mb = summary.total_segment_bytes as f64 / 1e6;
            println!(
                "| {mb:.0} MB | {} | {seconds:.3} s | {:.0} MB/s | {:.1} MB |",
                store.len(),
                mb / seconds,
                peak_memory_mb()
            );
        }
        _ => eprintln!(
            "own|own-each|own-every|own-large|redb|redb-each|fjall|fjall-each, fill BYTES FOLDER, start BYTES FOLDER"
        ),
    }
}
