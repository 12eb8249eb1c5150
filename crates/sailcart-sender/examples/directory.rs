//! What listed endpoints cost: `cargo run --release -p sailcart-sender --example directory`. Memory as the kernel counts it, and
//! time for a first list, the same list again, and changes.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sailcart::DestinationId;
use sailcart_sender::exchange::directory::{Directory, Line, Place};
use sailcart_sender::exchange::staged::StagedList;
use sailcart_sender::exchange::update::{Step, Update};

const LISTED: u32 = 440_000;
const MOST: usize = 500_000;
/// A news has the changes of a second; so many news are a day.
const CHANGES: u32 = 28;
const NEWS: u32 = 86_400;

/// A line of the process's status, in kB.
fn status(name: &str) -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix(name)).unwrap_or_default();
    line.trim_matches(|c: char| !c.is_ascii_digit()).parse().unwrap_or(f64::NAN)
}

fn add(directory: &mut Directory, staged: &mut StagedList, number: u32, version: u32, live: bool) {
    let [_, a, b, c] = number.to_be_bytes();
    let address = SocketAddr::from(([10, a, b, c], 1024 + (version % 60_000) as u16));
    let place = Place { address, destination: DestinationId(u64::from(number)), kind: 0 };
    let name = format!("endpoint-{number:08}");
    staged.add(directory, &Line { name: &name, place, live, rate: 50.0 }).expect("room");
}

/// How long each step took.
fn commit(directory: &mut Directory, staged: StagedList, whole: bool, now: Duration) -> Vec<Duration> {
    let mut steps = Vec::new();
    let mut update = Update::new(staged, whole, directory, now);
    loop {
        let start = Instant::now();
        let step = update.step(directory);
        steps.push(start.elapsed());
        if matches!(step, Step::Last(_)) {
            return steps;
        }
    }
}

fn spread(times: &mut [Duration]) -> String {
    times.sort();
    let at = |share: f64| times[((times.len() - 1) as f64 * share) as usize];
    format!("p50 {:?}, p99 {:?}, p99.9 {:?}, longest {:?}", at(0.5), at(0.99), at(0.999), at(1.0))
}

/// Memory beside what the process had before, in kB.
fn memory(directory: &Directory, before: f64, what: &str) {
    let each = |bytes: f64| bytes / f64::from(LISTED);
    println!(
        "{what}: {} listed, allocated {:.1} bytes each, resident {:.1} bytes each, at most {:.1} MB above the start",
        directory.len(),
        each(directory.bytes() as f64),
        each((status("VmRSS:") - before) * 1024.0),
        (status("VmHWM:") - before) / 1024.0
    );
}

fn main() {
    let mut directory = Directory::new();
    let before = status("VmRSS:");
    for what in ["first list", "the same again"] {
        let start = Instant::now();
        let mut staged = StagedList::new(&mut directory, MOST);
        for number in 0..LISTED {
            add(&mut directory, &mut staged, number, 0, true);
        }
        let (read, differences) = (start.elapsed(), staged.differences());
        let start = Instant::now();
        let mut steps = commit(&mut directory, staged, true, Duration::ZERO);
        println!(
            "{what}: {differences} differ, read in {read:?}, in force in {:?}, {} steps, {}",
            start.elapsed(),
            steps.len(),
            spread(&mut steps)
        );
    }
    memory(&directory, before, "after the lists");

    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let (mut times, visited) = (Vec::with_capacity(NEWS as usize), directory.visited());
    times.resize(NEWS as usize, Duration::ZERO);
    let before = before + f64::from(NEWS) * size_of::<Duration>() as f64 / 1024.0;
    let mut drained = Vec::new();
    for news in 1..=NEWS {
        let start = Instant::now();
        let mut staged = StagedList::new(&mut directory, MOST);
        for change in 0..CHANGES {
            let number = rng.random_range(0..LISTED);
            match (change % 4, drained.len()) {
                (0, ..1000) => {
                    drained.push(number);
                    add(&mut directory, &mut staged, number, 0, false);
                }
                (1, 1..) => {
                    let back = drained.swap_remove(rng.random_range(0..drained.len()));
                    add(&mut directory, &mut staged, back, news, true);
                }
                _ => add(&mut directory, &mut staged, number, news, true),
            }
        }
        commit(&mut directory, staged, false, Duration::from_secs(news.into()));
        times[news as usize - 1] = start.elapsed();
    }
    let (total, changes) = (times.iter().sum::<Duration>(), f64::from(NEWS) * f64::from(CHANGES));
    println!(
        "{NEWS} news of {CHANGES} changes: {:.2} us and {:.1} visits a change; a news {}",
        total.as_secs_f64() * 1e6 / changes,
        (directory.visited() - visited) as f64 / changes,
        spread(&mut times)
    );
    memory(&directory, before, "after them");
}
