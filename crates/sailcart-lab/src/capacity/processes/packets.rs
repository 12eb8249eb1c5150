//! What packets cost one sender: held, brought back by a new start, delivered, and remembered once they are over.

use std::path::Path;
use std::time::{Duration, Instant};

use super::client::{Client, Put};
use super::discovery::{Directory, Listed, Places};
use super::endpoint::Endpoint;
use super::sender_process::SenderProcess;
use crate::capacity::series::{Gathered, Quantity};
use crate::capacity::sizes::Sizes;
use crate::experiment::Fault;

/// Bytes of a packet's body; the model's `event_bytes` has to be near it.
pub const BODY: usize = 1024;
const DESTINATIONS: usize = 20;
const LOOK: Duration = Duration::from_millis(5);
const DELIVERED: Duration = Duration::from_secs(30);

pub fn fault(what: &str) -> impl Fn(std::io::Error) -> Fault {
    move |error| Fault(format!("{what}: {error}"))
}

fn puts(ids: std::ops::Range<usize>, body: usize) -> Vec<Put> {
    let put = |id: usize| Put { id: id as u64 + 1, destination: Listed(id % DESTINATIONS), body };
    ids.map(put).collect()
}

/// Waits until the endpoint has answered so many calls.
pub fn wait_answered(endpoint: &Endpoint, count: usize) -> Result<(), Fault> {
    let began = Instant::now();
    while endpoint.answered() < count {
        if began.elapsed() > DELIVERED {
            return Err(Fault(format!("{} of {count} packets delivered", endpoint.answered())));
        }
        std::thread::sleep(LOOK);
    }
    Ok(())
}

/// A sender whose destinations share one endpoint, and a client of it.
struct Delivering {
    endpoint: Endpoint,
    /// Stands as long as the sender follows it.
    _directory: Directory,
    sender: SenderProcess,
    client: Client,
}

impl Delivering {
    fn start(program: &Path) -> Result<Self, Fault> {
        let endpoint = Endpoint::open().map_err(fault("endpoint"))?;
        let places = Places::At(endpoint.address);
        let directory = Directory::open(DESTINATIONS, places).map_err(fault("discovery"))?;
        let sender = SenderProcess::start(program, directory.address)?;
        let client = Client::connect(sender.listen).map_err(fault("client"))?;
        Ok(Delivering { endpoint, _directory: directory, sender, client })
    }
}

/// Packets held for destinations without a live endpoint, then a kill and a new start.
pub fn held(program: &Path, sizes: &Sizes, gathered: &mut Gathered) -> Result<(), Fault> {
    let directory = Directory::open(DESTINATIONS, Places::Draining).map_err(fault("discovery"))?;
    let mut sender = SenderProcess::start(program, directory.address)?;
    let mut taken = 0;
    for size in sizes.held.iter().copied() {
        let mut client = Client::connect(sender.listen).map_err(fault("client"))?;
        client.put_all(&puts(taken..size, BODY)).map_err(fault("held packets"))?;
        taken = size;
        gathered.add(Quantity::HeldJournal, size, sender.journal());
        gathered.add(Quantity::HeldMemory, size, sender.resident()?);
        sender.restart()?;
        gathered.add(Quantity::HeldRecovery, size, sender.ready.as_secs_f64());
    }
    Ok(())
}

/// Processor at several rates of delivered packets.
pub fn delivered(program: &Path, sizes: &Sizes, gathered: &mut Gathered) -> Result<(), Fault> {
    let Delivering { endpoint, _directory, sender, mut client } = Delivering::start(program)?;
    let mut taken = 0;
    for rate in sizes.rates.iter().copied() {
        let (before, began) = (sender.processor()?, Instant::now());
        let first = taken;
        while began.elapsed() < sizes.delivery {
            let due = first + (began.elapsed().as_secs_f64() * rate as f64) as usize;
            client.put_all(&puts(taken..due, BODY)).map_err(fault("packets"))?;
            taken = due.max(taken);
            std::thread::sleep(LOOK);
        }
        wait_answered(&endpoint, taken)?;
        let (span, spent) = (began.elapsed().as_secs_f64(), sender.processor()? - before);
        let done = (taken - first) as f64 / span;
        gathered.add(Quantity::DeliveryProcessor, done.round() as usize, spent / span);
    }
    Ok(())
}

/// Packets that are over, and whose ids are remembered.
pub fn ended(program: &Path, sizes: &Sizes, gathered: &mut Gathered) -> Result<(), Fault> {
    let Delivering { endpoint, _directory, sender, mut client } = Delivering::start(program)?;
    let mut taken = 0;
    for size in sizes.ended.iter().copied() {
        client.put_all(&puts(taken..size, 16)).map_err(fault("ended packets"))?;
        taken = size;
        wait_answered(&endpoint, taken)?;
        gathered.add(Quantity::EndedMemory, size, sender.resident()?);
        gathered.add(Quantity::EndedJournal, size, sender.journal());
    }
    Ok(())
}
