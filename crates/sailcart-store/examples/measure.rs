//! Figures for `docs/store.md`, this store beside `redb` and `fjall`: a packet's three records, one after the other,
//! with a number of packets that stay. `cargo run --release -p sailcart-store --example measure -- append|start`.

use std::path::Path;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use sailcart_store::{Change, Disk, Room, Store, Sync};

const VALUE: [u8; 250] = [7; 250];
const STAND: [u8; 30] = [8; 30];

/// What is measured: changes that count at once.
trait Kept {
    fn put(&mut self, key: &[u8], value: &[u8]);
    fn end(&mut self, key: &[u8]);
    fn written(&self) -> Option<(u64, u64)> {
        None
    }
}

struct Own(Store<Disk>);

/// Synced once for so many changes.
struct Grouped<'a>(&'a mut Own, u32);

impl Grouped<'_> {
    fn one_more(&mut self) {
        self.1 += 1;
        if self.1.is_multiple_of(100) {
            self.0.0.sync().expect("a sync");
        }
    }
}

impl Kept for Grouped<'_> {
    fn put(&mut self, key: &[u8], value: &[u8]) {
        self.0.put(key, value);
        self.one_more();
    }
    fn end(&mut self, key: &[u8]) {
        self.0.end(key);
        self.one_more();
    }
    fn written(&self) -> Option<(u64, u64)> {
        self.0.written()
    }
}

impl Kept for Own {
    fn put(&mut self, key: &[u8], value: &[u8]) {
        self.0.write(&[Change::Put(key, value)]).expect("room");
    }
    fn end(&mut self, key: &[u8]) {
        self.0.write(&[Change::End(key)]).expect("room");
    }
    fn written(&self) -> Option<(u64, u64)> {
        let effort = self.0.effort();
        Some((effort.written, effort.carried))
    }
}

const TABLE: redb::TableDefinition<&[u8], &[u8]> = redb::TableDefinition::new("all");

struct Redb(redb::Database, redb::Durability);

impl Redb {
    fn turn(&self, act: impl FnOnce(&mut redb::Table<&[u8], &[u8]>)) {
        let mut turn = self.0.begin_write().expect("a turn");
        turn.set_durability(self.1);
        act(&mut turn.open_table(TABLE).expect("a table"));
        turn.commit().expect("a commit");
    }
}

impl Kept for Redb {
    fn put(&mut self, key: &[u8], value: &[u8]) {
        self.turn(|table| drop(table.insert(key, value).expect("room")));
    }
    fn end(&mut self, key: &[u8]) {
        self.turn(|table| drop(table.remove(key).expect("there")));
    }
}

struct Fjall(fjall::Keyspace, fjall::PartitionHandle, Option<fjall::PersistMode>);

impl Kept for Fjall {
    fn put(&mut self, key: &[u8], value: &[u8]) {
        self.1.insert(key, value).expect("room");
        self.2.iter().for_each(|mode| self.0.persist(*mode).expect("a sync"));
    }
    fn end(&mut self, key: &[u8]) {
        self.1.remove(key).expect("room");
        self.2.iter().for_each(|mode| self.0.persist(*mode).expect("a sync"));
    }
}

fn own(folder: &Path, bytes: u64, sync: Sync) -> Own {
    Own(Store::open(Disk::new(folder), Room { bytes, sync }).expect("a store").0)
}

fn size(folder: &Path) -> u64 {
    let entries = std::fs::read_dir(folder).expect("a folder").flatten();
    let sizes = entries.map(|entry| match entry.metadata() {
        Ok(data) if data.is_dir() => size(&entry.path()),
        Ok(data) => data.len(),
        Err(_) => 0,
    });
    sizes.sum()
}

fn memory() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("a status");
    let line = status.lines().find(|line| line.starts_with("VmHWM")).expect("a line");
    line.split_whitespace().nth(1).and_then(|kb| kb.parse::<f64>().ok()).expect("kB") / 1000.0
}

/// Packets come and go beside so many that stay, for some seconds.
fn append(name: &str, kept: &mut dyn Kept, folder: &Path, held: u64, span: Duration) {
    (0..held).for_each(|key| kept.put(&key.to_be_bytes(), &VALUE));
    let mut all = Histogram::<u64>::new(3).expect("bounds");
    let (mut quiet, mut cleaning) = (all.clone(), all.clone());
    let (start, mut key) = (Instant::now(), held);
    while start.elapsed() < span {
        let name = key.to_be_bytes();
        for nth in 0..3 {
            let carried = kept.written().map(|(_, carried)| carried);
            let start = Instant::now();
            match nth {
                0 => kept.put(&name, &VALUE),
                1 => kept.put(&name, &STAND),
                _ => kept.end(&name),
            }
            let took = start.elapsed().as_nanos() as u64;
            all.record(took).expect("in bounds");
            let same = carried == kept.written().map(|(_, carried)| carried);
            let of = if same { &mut quiet } else { &mut cleaning };
            of.record(took).expect("in bounds");
        }
        key += 1;
    }
    for (what, of) in
        [("not carrying", &quiet), ("carrying", &cleaning)].into_iter().filter(|(_, of)| !of.is_empty())
    {
        let us = |quantile| of.value_at_quantile(quantile) as f64 / 1000.0;
        let (p50, p99, p999, max) = (us(0.5), us(0.99), us(0.999), of.max() as f64 / 1e6);
        println!(
            "  {what}: {} changes, p50 {p50:.1}, p99 {p99:.1}, p99.9 {p999:.1} us, max {max:.2} ms",
            of.len()
        );
    }
    let us = |quantile| all.value_at_quantile(quantile) as f64 / 1000.0;
    let amplified = kept.written().map_or("-".to_owned(), |(written, carried)| {
        format!("{:.2}", (written + carried) as f64 / written.max(1) as f64)
    });
    println!(
        "| {name} | {held} | {:.0} | {:.1} | {:.1} | {:.1} | {:.2} | {amplified} | {:.1} | {:.0} |",
        all.len() as f64 / start.elapsed().as_secs_f64(),
        us(0.5),
        us(0.99),
        us(0.999),
        all.max() as f64 / 1e6,
        size(folder) as f64 / 1e6,
        memory()
    );
}

fn main() {
    let words: Vec<String> = std::env::args().collect();
    let temp = tempfile::tempdir().expect("a folder");
    let at = temp.path();
    let (span, held) = (Duration::from_secs(3), 3_000);
    match words.get(1).map(String::as_str) {
        Some("own") => append("own, none", &mut own(at, 3_000_000, Sync::None), at, held, span),
        Some("own-each") => append("own, each", &mut own(at, 3_000_000, Sync::Each), at, held, span),
        Some("own-every") => {
            let mut own = own(at, 3_000_000, Sync::Every(Duration::from_millis(5)));
            // Group commit: one sync for each hundred changes.
            append("own, every 100 changes", &mut Grouped(&mut own, 0), at, held, span);
        }
        Some("own-large") => {
            append("own, none, 1 GB", &mut own(at, 1_000_000_000, Sync::None), at, 300_000, span * 3)
        }
        Some(which @ ("redb" | "redb-each")) => {
            let each = which == "redb-each";
            let durability = if each { redb::Durability::Immediate } else { redb::Durability::None };
            let base = redb::Database::create(at.join("redb")).expect("a base");
            append(which, &mut Redb(base, durability), at, held, span);
        }
        Some(which @ ("fjall" | "fjall-each")) => {
            let space = fjall::Config::new(at).open().expect("a space");
            let part = space.open_partition("all", Default::default()).expect("a part");
            let mode = (which == "fjall-each").then_some(fjall::PersistMode::SyncData);
            append(which, &mut Fjall(space, part, mode), at, held, span);
        }
        Some("fill") => {
            let bytes = words[2].parse::<u64>().expect("bytes");
            let folder = Path::new(&words[3]);
            let mut store = own(folder, bytes * 2, Sync::None);
            let mut key = 0u64;
            while store.0.used() < bytes {
                store.put(&key.to_be_bytes(), &[9; 1000]);
                key += 1;
            }
        }
        Some("start") => {
            let (bytes, folder) = (words[2].parse::<u64>().expect("bytes"), Path::new(&words[3]));
            let start = Instant::now();
            let (store, standing) =
                Store::open(Disk::new(folder), Room { bytes: bytes * 2, sync: Sync::None }).expect("a store");
            let took = start.elapsed().as_secs_f64();
            let mb = standing.bytes as f64 / 1e6;
            println!(
                "| {mb:.0} MB | {} | {took:.3} s | {:.0} MB/s | {:.1} MB |",
                store.len(),
                mb / took,
                memory()
            );
        }
        _ => eprintln!(
            "own|own-each|own-every|own-large|redb|redb-each|fjall|fjall-each, fill BYTES FOLDER, start BYTES FOLDER"
        ),
    }
}
