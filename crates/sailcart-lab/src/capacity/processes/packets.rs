//! Measures what packets cost a sender: held, recovered at a restart, delivered, and remembered after
//! completion.

use std::path::Path;
use std::time::{Duration, Instant};

use super::client::{Client, PutCommand};
use super::discovery::{DestinationIndex, DiscoveryStub, EndpointAddresses};
use super::endpoint::EndpointStub;
use super::sender_process::SenderProcess;
use crate::capacity::series::{Measurements, Quantity};
use crate::capacity::sizes::Sizes;
use crate::experiment::LabError;

/// Bytes of a packet's body. The model's input `event_bytes` must be close to it.
pub const BODY_BYTES: usize = 1024;
const DESTINATIONS: usize = 20;
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Maximum time until the last submitted packet is delivered.
const DELIVERY_TIMEOUT: Duration = Duration::from_secs(30);

/// Converts an I/O error into a [`LabError`] that names the part that failed.
pub fn io_error(part: &str) -> impl Fn(std::io::Error) -> LabError {
    move |error| LabError(format!("{part}: {error}"))
}

fn put_commands(ids: std::ops::Range<usize>, body_bytes: usize) -> Vec<PutCommand> {
    let command = |id: usize| PutCommand {
        id: id as u64 + 1,
        destination: DestinationIndex(id % DESTINATIONS),
        body_bytes,
    };
    ids.map(command).collect()
}

/// Waits until the endpoint has answered this many calls. The error states how many it did answer in time.
pub fn wait_for_calls(endpoint: &EndpointStub, count: usize) -> Result<(), LabError> {
    let start = Instant::now();
    while endpoint.answered_calls() < count {
        if start.elapsed() > DELIVERY_TIMEOUT {
            return Err(LabError(format!("{} of {count} packets delivered", endpoint.answered_calls())));
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    Ok(())
}

/// A sender whose destinations share one endpoint, with a client.
struct DeliveryHarness {
    endpoint: EndpointStub,
    /// Retained for as long as the sender uses it.
    _discovery: DiscoveryStub,
    sender: SenderProcess,
    client: Client,
}

impl DeliveryHarness {
    fn start(program: &Path) -> Result<Self, LabError> {
        let endpoint = EndpointStub::open().map_err(io_error("endpoint"))?;
        let addresses = EndpointAddresses::Shared(endpoint.address);
        let discovery = DiscoveryStub::open(DESTINATIONS, addresses).map_err(io_error("discovery"))?;
        let sender = SenderProcess::start(program, discovery.address)?;
        let client = Client::connect(sender.listen_address).map_err(io_error("client"))?;
        Ok(DeliveryHarness { endpoint, _discovery: discovery, sender, client })
    }
}

/// Measures packets held for destinations without a live endpoint, then kills the sender and measures the
/// restart.
pub fn measure_held(program: &Path, sizes: &Sizes, measurements: &mut Measurements) -> Result<(), LabError> {
    let discovery =
        DiscoveryStub::open(DESTINATIONS, EndpointAddresses::Draining).map_err(io_error("discovery"))?;
    let mut sender = SenderProcess::start(program, discovery.address)?;
    let mut submitted = 0;
    for size in sizes.held_packets.iter().copied() {
        let mut client = Client::connect(sender.listen_address).map_err(io_error("client"))?;
        client.submit_all(&put_commands(submitted..size, BODY_BYTES)).map_err(io_error("held packets"))?;
        submitted = size;
        measurements.record(Quantity::HeldJournal, size, sender.journal_bytes());
        measurements.record(Quantity::HeldMemory, size, sender.resident_bytes()?);
        sender.restart()?;
        measurements.record(Quantity::HeldRecovery, size, sender.start_to_ready.as_secs_f64());
    }
    Ok(())
}

/// Measures processor use while packets are delivered, at several rates.
pub fn measure_delivery(
    program: &Path,
    sizes: &Sizes,
    measurements: &mut Measurements,
) -> Result<(), LabError> {
    let DeliveryHarness { endpoint, _discovery, sender, mut client } = DeliveryHarness::start(program)?;
    let mut submitted = 0;
    for rate in sizes.packets_per_second.iter().copied() {
        let (seconds_before, start) = (sender.processor_seconds()?, Instant::now());
        let first = submitted;
        while start.elapsed() < sizes.delivery_span {
            let due = first + (start.elapsed().as_secs_f64() * rate as f64) as usize;
            client.submit_all(&put_commands(submitted..due, BODY_BYTES)).map_err(io_error("packets"))?;
            submitted = due.max(submitted);
            std::thread::sleep(POLL_INTERVAL);
        }
        wait_for_calls(&endpoint, submitted)?;
        let (span, processor_seconds) =
            (start.elapsed().as_secs_f64(), sender.processor_seconds()? - seconds_before);
        let measured_rate = (submitted - first) as f64 / span;
        measurements.record(
            Quantity::DeliveryProcessor,
            measured_rate.round() as usize,
            processor_seconds / span,
        );
    }
    Ok(())
}

/// Measures completed packets, whose ids the sender remembers.
pub fn measure_completed(
    program: &Path,
    sizes: &Sizes,
    measurements: &mut Measurements,
) -> Result<(), LabError> {
    let DeliveryHarness { endpoint, _discovery, sender, mut client } = DeliveryHarness::start(program)?;
    let mut submitted = 0;
    for size in sizes.completed_packets.iter().copied() {
        client.submit_all(&put_commands(submitted..size, 16)).map_err(io_error("completed packets"))?;
        submitted = size;
        wait_for_calls(&endpoint, submitted)?;
        measurements.record(Quantity::CompletedMemory, size, sender.resident_bytes()?);
        measurements.record(Quantity::CompletedJournal, size, sender.journal_bytes());
    }
    Ok(())
}
