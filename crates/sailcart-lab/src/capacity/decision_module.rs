//! Measures the decision module alone, with a simulated clock and a host that executes nothing. Many
//! instances fit into one process, so the module's memory and times are measured apart from sockets and
//! journal.

use std::time::{Duration, Instant};

use sailcart::{
    Category, CategoryId, DestinationId, EndpointId, Host, Kind, KindId, ListEntry, Outcome, Packet,
    PacketId, RecoveryProfile, Repeat, RouteId, Sender, Settings,
};

use super::scaling::CountsVisits;
use super::scaling::{DestinationIndex, ScalingSubject};
use super::series::{Measurements, Quantity};
use super::sizes::Sizes;
use crate::experiment::LabError;

/// Number of senders that the module's settings state.
const FLEET_SENDERS: usize = 2600;
/// Packets a second of one sender at the planned size.
const PACKETS_PER_SECOND: u64 = 123;
/// Simulated duration of a call, and the step of the simulated clock.
const CALL_DURATION: Duration = Duration::from_millis(20);
/// Maximum number of changes or rounds over which a time is averaged.
const MAX_REPETITIONS: usize = 200;
/// Maximum time for these repetitions.
const MAX_REPETITION_TIME: Duration = Duration::from_secs(2);
/// Approximate number of destinations in all modules that exist at the same time for one size.
const TOTAL_DESTINATIONS: usize = 10_000;
/// Maximum number of modules that exist at the same time for one size.
const MAX_MODULES: usize = 500;
/// Step from one destination to the next, which visits all of them in an order without a pattern. It is
/// prime, so it has no factor in common with any of the sizes.
const DESTINATION_STRIDE: u64 = 7_368_787;

/// Records the dispatches of one round and discards all other requests of the module.
#[derive(Default)]
struct RecordingHost {
    dispatched: Vec<PacketId>,
}

impl Host for RecordingHost {
    fn dispatch(&mut self, packet: PacketId, _: EndpointId, _: Duration) {
        self.dispatched.push(packet);
    }

    fn cancel(&mut self, _: PacketId, _: u32) {}

    fn dismiss(&mut self, _: PacketId, _: Option<Duration>) {}

    fn scrap(&mut self, _: PacketId) {}

    fn close_idle(&mut self, _: EndpointId) {}

    fn request_list(&mut self) {}

    fn wake(&mut self, _: Duration) {}
}

/// One decision module with a simulated clock.
pub struct DecisionModule {
    sender: Sender,
    host: RecordingHost,
    now: Duration,
    next_packet_id: u64,
}

fn settings() -> Settings {
    let category = Category {
        repeat: Repeat::Idempotent,
        in_order: false,
        soft_limit: Duration::from_secs(1),
        patience: Duration::from_secs(60),
        credit: 1.0,
        min_credit_share: 0.5,
    };
    Settings {
        senders: FLEET_SENDERS,
        slots: 64,
        max_held: 100_000,
        max_dispatches: 6,
        can_cancel: true,
        connect_timeout: Duration::from_secs(1),
        categories: vec![category],
        over_quota_credit_share: 1.0,
        kinds: vec![Kind { per_route_limits: false, max_batch: 1 }],
        recovery: RecoveryProfile {
            initial_capacity_share: 0.3,
            warm_up: Duration::from_secs(10),
            overload_factor: 1.5,
        },
        ..Settings::default()
    }
}

fn list_entry(index: u64, live: bool) -> ListEntry {
    ListEntry {
        endpoint: EndpointId(index as u32),
        route: RouteId(index),
        destination: DestinationId(index),
        kind: KindId(0),
        live,
        rate: 1.0,
    }
}

impl Default for DecisionModule {
    fn default() -> Self {
        let (sender, host) = (Sender::new(settings(), 1), RecordingHost::default());
        DecisionModule { sender, host, now: Duration::ZERO, next_packet_id: 0 }
    }
}

impl DecisionModule {
    fn advance(&mut self, span: Duration) {
        self.now += span;
    }

    fn accept_packet(&mut self, destination: DestinationIndex) {
        let id = PacketId(self.next_packet_id);
        self.next_packet_id += 1;
        let packet = Packet {
            id,
            destination: DestinationId(destination.0),
            category: CategoryId(0),
            customer: None,
            key: None,
            deadline: self.now + Duration::from_secs(60),
            dispatches: 0,
            possibly_executed_at: None,
            accepted_by_previous_process: false,
        };
        self.sender.accept(self.now, packet);
    }

    /// Completes all calls in flight successfully.
    fn complete_calls(&mut self) {
        for id in std::mem::take(&mut self.host.dispatched) {
            self.sender.record_outcome(self.now, id, CALL_DURATION, Outcome::Done, true);
        }
    }

    fn decide(&mut self) {
        self.sender.decide(self.now, &mut self.host);
    }

    /// Applies a full list that was built beforehand.
    fn apply_list(&mut self, entries: &[ListEntry]) {
        self.sender.update_list(self.now, true, entries);
    }
}

impl ScalingSubject for DecisionModule {
    fn apply_full_list(&mut self, destinations: u64) {
        let entries: Vec<ListEntry> = (0..destinations).map(|index| list_entry(index, true)).collect();
        self.apply_list(&entries);
    }

    fn apply_change(&mut self, destination: DestinationIndex, live: bool) {
        self.sender.update_list(self.now, false, &[list_entry(destination.0, live)]);
    }

    fn run_round(&mut self, busy: &[DestinationIndex]) {
        self.advance(CALL_DURATION);
        busy.iter().for_each(|destination| self.accept_packet(*destination));
        self.decide();
        self.advance(CALL_DURATION);
        self.complete_calls();
    }
}

impl CountsVisits for DecisionModule {
    fn entries_visited(&self) -> u64 {
        self.sender.entries_visited()
    }
}

/// Measures the module at every size. The modules of all sizes exist until the last one is measured, so that
/// memory freed by one size is not reused, and thereby missed, at another.
pub fn measure(sizes: &Sizes, measurements: &mut Measurements) -> Result<(), LabError> {
    let mut retained = Vec::new();
    for size in sizes.module_destinations.iter().copied() {
        retained.push(measure_size(size, sizes, measurements)?);
    }
    Ok(())
}

fn resident_bytes() -> Result<f64, LabError> {
    let status = procfs::process::Process::myself().and_then(|process| process.status());
    let status = status.map_err(|error| LabError(format!("procfs: {error}")))?;
    Ok(status.vmrss.unwrap_or(0) as f64 * 1024.0)
}

fn measure_size(
    size: usize,
    sizes: &Sizes,
    measurements: &mut Measurements,
) -> Result<Vec<DecisionModule>, LabError> {
    let entries: Vec<ListEntry> = (0..size as u64).map(|index| list_entry(index, true)).collect();
    let count = (TOTAL_DESTINATIONS / size.max(1)).clamp(1, MAX_MODULES);
    let bytes_before = resident_bytes()?;
    let mut modules: Vec<DecisionModule> = (0..count).map(|_| DecisionModule::default()).collect();
    modules.iter_mut().for_each(|module| module.apply_list(&entries));
    measurements.record(Quantity::ModuleMemory, size, (resident_bytes()? - bytes_before) / count as f64);
    let Some(module) = modules.first_mut() else { return Ok(modules) };

    let visited_before = module.entries_visited();
    let mut changes = 0;
    let seconds = mean_seconds(|index| {
        module.advance(CALL_DURATION);
        let destination = DestinationIndex(index as u64 / 2 * DESTINATION_STRIDE % size as u64);
        module.apply_change(destination, index % 2 == 1);
        changes += 1;
    });
    measurements.record(Quantity::ModuleChange, size, seconds);
    measurements.record(
        Quantity::ModuleVisitsPerChange,
        size,
        (module.entries_visited() - visited_before) as f64 / f64::from(changes),
    );
    let seconds = mean_seconds(|_| {
        module.advance(CALL_DURATION);
        module.decide();
    });
    measurements.record(Quantity::ModuleEmptyRound, size, seconds);
    let bytes_before = resident_bytes()?;
    measurements.record(Quantity::ModulePacket, size, mean_packet_seconds(module, size as u64, sizes));
    let added_bytes = (resident_bytes()? - bytes_before).max(0.0);
    let list_bytes = measurements.last_value(Quantity::ModuleMemory).unwrap_or_default();
    measurements.record(Quantity::ModuleMemoryAfterPackets, size, list_bytes + added_bytes);
    Ok(modules)
}

fn mean_seconds(mut operation: impl FnMut(usize)) -> f64 {
    let (start, mut completed) = (Instant::now(), 0);
    while completed < MAX_REPETITIONS && start.elapsed() < MAX_REPETITION_TIME {
        operation(completed);
        completed += 1;
    }
    start.elapsed().as_secs_f64() / completed.max(1) as f64
}

/// Sends packets to all destinations in turn, with one clock step for each packet. Returns the mean real time
/// of a packet in seconds.
fn mean_packet_seconds(module: &mut DecisionModule, size: u64, sizes: &Sizes) -> f64 {
    let packets = PACKETS_PER_SECOND * sizes.module_span.as_secs();
    let (start, mut completed) = (Instant::now(), 0);
    while completed < packets && start.elapsed() < sizes.max_module_time {
        module.advance(Duration::from_secs(1) / PACKETS_PER_SECOND as u32);
        module.complete_calls();
        module.accept_packet(DestinationIndex(completed * DESTINATION_STRIDE % size));
        module.decide();
        completed += 1;
    }
    start.elapsed().as_secs_f64() / completed.max(1) as f64
}
