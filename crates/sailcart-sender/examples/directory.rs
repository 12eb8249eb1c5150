//! Measures what listed endpoints cost: resident memory as the kernel reports it, and the time for a first
//! list, for the same list again, and for updates.
//!
//!     cargo run --release -p sailcart-sender --example directory

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sailcart::DestinationId;
use sailcart_sender::exchange::directory::{Directory, EndpointEntry, EndpointSpec};
use sailcart_sender::exchange::staged::StagedList;
use sailcart_sender::exchange::update::{Step, Update};

const ENDPOINTS: u32 = 440_000;
const MAX_ENDPOINTS: usize = 500_000;
/// An update has the changes of one second.
const CHANGES_PER_UPDATE: u32 = 28;
/// One day of updates.
const UPDATES: u32 = 86_400;

/// The value of a field of `/proc/self/status`, in kB.
fn status_kb(field: &str) -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix(field)).unwrap_or_default();
    line.trim_matches(|c: char| !c.is_ascii_digit()).parse().unwrap_or(f64::NAN)
}

fn add(directory: &mut Directory, staged: &mut StagedList, number: u32, version: u32, live: bool) {
    let [_, a, b, c] = number.to_be_bytes();
    let address = SocketAddr::from(([10, a, b, c], 1024 + (version % 60_000) as u16));
    let spec = EndpointSpec { address, destination: DestinationId(u64::from(number)), kind: 0 };
    let name = format!("endpoint-{number:08}");
    staged.add(directory, &EndpointEntry { name: &name, spec, live, rate: 50.0 }).expect("the list fits");
}

/// Puts a list in force. Returns the duration of each step.
fn commit(directory: &mut Directory, staged: StagedList, full: bool, now: Duration) -> Vec<Duration> {
    let mut steps = Vec::new();
    let mut update = Update::new(staged, full, directory, now);
    loop {
        let start = Instant::now();
        let step = update.step(directory);
        steps.push(start.elapsed());
        if matches!(step, Step::Last(_)) {
            return steps;
        }
    }
}

fn percentiles(times: &mut [Duration]) -> String {
    times.sort();
    let at = |fraction: f64| times[((times.len() - 1) as f64 * fraction) as usize];
    format!("p50 {:?}, p99 {:?}, p99.9 {:?}, longest {:?}", at(0.5), at(0.99), at(0.999), at(1.0))
}

/// Prints the memory in use beyond `baseline_kb`.
fn print_memory(directory: &Directory, baseline_kb: f64, phase: &str) {
    let per_endpoint = |bytes: f64| bytes / f64::from(ENDPOINTS);
    println!(
        "{phase}: {} endpoints, allocated {:.1} bytes each, resident {:.1} bytes each, peak {:.1} MB above the start",
        directory.len(),
        per_endpoint(directory.bytes() as f64),
        per_endpoint((status_kb("VmRSS:") - baseline_kb) * 1024.0),
        (status_kb("VmHWM:") - baseline_kb) / 1024.0
    );
}

fn main() {
    let mut directory = Directory::new();
    let baseline_kb = status_kb("VmRSS:");
    for phase in ["first list", "same list again"] {
        let start = Instant::now();
        let mut staged = StagedList::new(&mut directory, MAX_ENDPOINTS);
        for number in 0..ENDPOINTS {
            add(&mut directory, &mut staged, number, 0, true);
        }
        let (staged_in, differences) = (start.elapsed(), staged.differences());
        let start = Instant::now();
        let mut steps = commit(&mut directory, staged, true, Duration::ZERO);
        println!(
            "{phase}: {differences} differences, staged in {staged_in:?}, in force in {:?}, {} steps, {}",
            start.elapsed(),
            steps.len(),
            percentiles(&mut steps)
        );
    }
    print_memory(&directory, baseline_kb, "after the lists");

    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let (mut times, visited_before) = (Vec::with_capacity(UPDATES as usize), directory.visited());
    times.resize(UPDATES as usize, Duration::ZERO);
    let baseline_kb = baseline_kb + f64::from(UPDATES) * size_of::<Duration>() as f64 / 1024.0;
    let mut drained = Vec::new();
    for version in 1..=UPDATES {
        let start = Instant::now();
        let mut staged = StagedList::new(&mut directory, MAX_ENDPOINTS);
        for change in 0..CHANGES_PER_UPDATE {
            let number = rng.random_range(0..ENDPOINTS);
            match (change % 4, drained.len()) {
                (0, ..1000) => {
                    drained.push(number);
                    add(&mut directory, &mut staged, number, 0, false);
                }
                (1, 1..) => {
                    let returning = drained.swap_remove(rng.random_range(0..drained.len()));
                    add(&mut directory, &mut staged, returning, version, true);
                }
                _ => add(&mut directory, &mut staged, number, version, true),
            }
        }
        commit(&mut directory, staged, false, Duration::from_secs(version.into()));
        times[version as usize - 1] = start.elapsed();
    }
    let (total, changes) =
        (times.iter().sum::<Duration>(), f64::from(UPDATES) * f64::from(CHANGES_PER_UPDATE));
    println!(
        "{UPDATES} updates of {CHANGES_PER_UPDATE} changes: {:.2} us and {:.1} visits per change; per update {}",
        total.as_secs_f64() * 1e6 / changes,
        (directory.visited() - visited_before) as f64 / changes,
        percentiles(&mut times)
    );
    print_memory(&directory, baseline_kb, "after the updates");
}
