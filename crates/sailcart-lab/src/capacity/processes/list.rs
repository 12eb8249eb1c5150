//! Measures what a list of a given size costs a sender: memory, processor time, bytes, and the pauses that
//! its clients see.

use std::path::Path;
use std::time::{Duration, Instant};

use super::client::{PauseStats, Pinger};
use super::discovery::{DestinationIndex, DiscoveryStub, EndpointAddresses, ListRead};
use super::sender_process::SenderProcess;
use crate::capacity::series::{Measurements, Quantity};
use crate::capacity::sizes::Sizes;
use crate::experiment::LabError;

/// Maximum time in which a list must be read or refused.
const LIST_READ_TIMEOUT: Duration = Duration::from_secs(40);
/// Pauses are measured from this long before a full list is published until this long after it is read.
const PAUSE_MARGIN: Duration = Duration::from_millis(250);
/// Rate of changes at the planned size: 440,000 destinations, 1.9% of which are down, for ten minutes each.
const CHANGES_PER_SECOND: u32 = 28;
/// Number of destinations that are removed in sequence before the first of them becomes ready again.
const DOWN_DESTINATIONS: usize = 14;

/// The quantities that cannot be measured if the sender refuses the list.
const LIST_QUANTITIES: [Quantity; 14] = [
    Quantity::ListMemory,
    Quantity::ListPeakMemory,
    Quantity::ListBytes,
    Quantity::ListReadTime,
    Quantity::ListReadProcessor,
    Quantity::ListStartToReady,
    Quantity::ListIdleProcessor,
    Quantity::ListChangeProcessor,
    Quantity::ListChangeBytes,
    Quantity::ListChangesPerResponse,
    Quantity::ListReadPauseMax,
    Quantity::ListReadPauseP99,
    Quantity::ListChangePauseMax,
    Quantity::ListChangePauseP99,
];

/// A sender process that has read a list of one size.
struct LoadedSender<'a> {
    sender: SenderProcess,
    discovery: DiscoveryStub,
    destinations: usize,
    sizes: &'a Sizes,
}

/// Measures one sender with a list of this many destinations.
pub fn measure(
    program: &Path,
    destinations: usize,
    sizes: &Sizes,
    measurements: &mut Measurements,
) -> Result<(), LabError> {
    let discovery = DiscoveryStub::open(destinations, EndpointAddresses::Unreachable);
    let discovery = discovery.map_err(|error| LabError(format!("discovery: {error}")))?;
    let sender = SenderProcess::start(program, discovery.address)?;
    if discovery.wait_full_list_read(LIST_READ_TIMEOUT) == ListRead::Refused {
        record_refused(&LIST_QUANTITIES, destinations, measurements);
        return Ok(());
    }
    let loaded = LoadedSender { sender, discovery, destinations, sizes };
    loaded.measure_idle(measurements)?;
    loaded.measure_changes(measurements)?;
    loaded.measure_change_pauses(measurements)?;
    loaded.measure_read(measurements)?;
    loaded.measure_read_pauses(measurements)
}

fn record_refused(quantities: &[Quantity], destinations: usize, measurements: &mut Measurements) {
    quantities.iter().for_each(|quantity| measurements.record_refused(*quantity, destinations));
}

impl LoadedSender<'_> {
    fn measure_idle(&self, measurements: &mut Measurements) -> Result<(), LabError> {
        let mut record = |quantity, value| measurements.record(quantity, self.destinations, value);
        record(Quantity::ListStartToReady, self.sender.start_to_ready.as_secs_f64());
        record(Quantity::ListMemory, self.sender.resident_bytes()?);
        record(Quantity::ListBytes, self.discovery.full_list_bytes().unwrap_or(0) as f64);
        record(Quantity::ListIdleProcessor, idle_cores(&self.sender, self.sizes.idle_span)?);
        Ok(())
    }

    /// Measures what changes cost in addition to the processor use of the idle sender.
    fn measure_changes(&self, measurements: &mut Measurements) -> Result<(), LabError> {
        let idle_cores = measurements.last_value(Quantity::ListIdleProcessor).unwrap_or_default();
        let (seconds_before, version) = (self.sender.processor_seconds()?, self.discovery.version());
        let start = Instant::now();
        let Some(changes) = self.publish_changes(self.sizes.change_span) else {
            let quantities =
                [Quantity::ListChangeProcessor, Quantity::ListChangeBytes, Quantity::ListChangesPerResponse];
            record_refused(&quantities, self.destinations, measurements);
            return Ok(());
        };
        let seconds =
            self.sender.processor_seconds()? - seconds_before - idle_cores * start.elapsed().as_secs_f64();
        let totals = self.discovery.changes_after(version);
        let mut record = |quantity, value: f64| measurements.record(quantity, self.destinations, value);
        record(Quantity::ListChangeProcessor, seconds.max(0.0) / changes as f64);
        record(Quantity::ListChangeBytes, totals.bytes as f64 / changes as f64);
        record(Quantity::ListChangesPerResponse, changes as f64 / totals.responses.max(1) as f64);
        Ok(())
    }

    fn measure_change_pauses(&self, measurements: &mut Measurements) -> Result<(), LabError> {
        let pinger = Pinger::start(self.sender.listen_address);
        let is_current = self.publish_changes(self.sizes.pause_span).is_some();
        let pauses = pinger.stop()?;
        let quantities = [Quantity::ListChangePauseMax, Quantity::ListChangePauseP99];
        self.record_pauses(quantities, is_current.then_some(pauses), measurements);
        Ok(())
    }

    fn measure_read(&self, measurements: &mut Measurements) -> Result<(), LabError> {
        let seconds_before = self.sender.processor_seconds()?;
        let list_read = self.publish_full_list();
        let seconds = self.sender.processor_seconds()? - seconds_before;
        let ListRead::Read(read_time) = list_read else {
            let quantities = [Quantity::ListReadTime, Quantity::ListReadProcessor, Quantity::ListPeakMemory];
            record_refused(&quantities, self.destinations, measurements);
            return Ok(());
        };
        let mut record = |quantity, value| measurements.record(quantity, self.destinations, value);
        record(Quantity::ListReadTime, read_time.as_secs_f64());
        record(Quantity::ListReadProcessor, seconds);
        record(Quantity::ListPeakMemory, self.sender.peak_resident_bytes()?);
        Ok(())
    }

    fn measure_read_pauses(&self, measurements: &mut Measurements) -> Result<(), LabError> {
        let pinger = Pinger::start(self.sender.listen_address);
        std::thread::sleep(PAUSE_MARGIN);
        let list_read = self.publish_full_list();
        std::thread::sleep(PAUSE_MARGIN);
        let pauses = pinger.stop()?;
        let quantities = [Quantity::ListReadPauseMax, Quantity::ListReadPauseP99];
        self.record_pauses(quantities, (list_read != ListRead::Refused).then_some(pauses), measurements);
        Ok(())
    }

    fn record_pauses(
        &self,
        quantities: [Quantity; 2],
        pauses: Option<PauseStats>,
        measurements: &mut Measurements,
    ) {
        let Some(pauses) = pauses else {
            return record_refused(&quantities, self.destinations, measurements);
        };
        let [max, p99] = quantities;
        measurements.record(max, self.destinations, pauses.max.as_secs_f64());
        measurements.record(p99, self.destinations, pauses.p99.as_secs_f64());
    }

    /// Publishes changes at a steady rate and waits until the sender has the last one. Returns the number of
    /// changes, or `None` if the sender did not get the last one in time.
    fn publish_changes(&self, span: Duration) -> Option<usize> {
        let (start, interval) = (Instant::now(), Duration::from_secs(1) / CHANGES_PER_SECOND);
        let count = (span.as_secs_f64() / interval.as_secs_f64()) as usize;
        // The step spreads the changes over the list, so that each destination is visited in turn.
        let step = (self.destinations / DOWN_DESTINATIONS).max(1);
        for index in 0..count {
            let due = start + interval * index as u32;
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            let destination = DestinationIndex(
                (index % DOWN_DESTINATIONS * step + index / (2 * DOWN_DESTINATIONS)) % self.destinations,
            );
            self.discovery.publish_change(destination, index / DOWN_DESTINATIONS % 2 == 1);
        }
        self.discovery.wait_current(LIST_READ_TIMEOUT).then_some(count)
    }

    /// Publishes the full list again and waits until it is read or refused.
    fn publish_full_list(&self) -> ListRead {
        self.discovery.publish_full_list();
        self.discovery.wait_full_list_read(LIST_READ_TIMEOUT)
    }
}

/// Share of a core that the sender uses when it has no work.
fn idle_cores(sender: &SenderProcess, span: Duration) -> Result<f64, LabError> {
    let (seconds_before, start) = (sender.processor_seconds()?, Instant::now());
    std::thread::sleep(span);
    Ok((sender.processor_seconds()? - seconds_before) / start.elapsed().as_secs_f64())
}
