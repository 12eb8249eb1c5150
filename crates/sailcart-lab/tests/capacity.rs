//! Capacity measurements: how a sender's work grows with its list, in table entries and bytes; the model; the
//! discovery stub; and the page in `docs`.

use std::alloc::System;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::PathBuf;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use sailcart_lab::capacity::decision_module::DecisionModule;
use sailcart_lab::capacity::fit::{Fit, Point};
use sailcart_lab::capacity::model::{self, Inputs, Row};
use sailcart_lab::capacity::page;
use sailcart_lab::capacity::processes::discovery::{
    DestinationIndex as StubIndex, DiscoveryStub, EndpointAddresses,
};
use sailcart_lab::capacity::report::{MeasurementRun, Report};
use sailcart_lab::capacity::scaling::{
    self, CountsVisits, DestinationIndex, MaxBytesPerDestination, ScalingSubject, ScalingViolation, Work,
};
use sailcart_lab::capacity::series::{Basis, Quantity, Series};
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Held by the tests that measure allocations and by those that allocate much in parallel, because the
/// allocator counts for the entire process.
static ALLOCATOR_LOCK: Mutex<()> = Mutex::new(());

fn lock_allocator() -> MutexGuard<'static, ()> {
    ALLOCATOR_LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}

const FEW_DESTINATIONS: u64 = 20;
const MANY_DESTINATIONS: u64 = 20_000;

/// Runs an operation and returns its value with the bytes that are still allocated afterwards.
fn retained_bytes<T>(operation: impl FnOnce() -> T) -> (T, u64) {
    let region = Region::new(ALLOCATOR);
    let value = operation();
    let change = region.change();
    (value, change.bytes_allocated.saturating_sub(change.bytes_deallocated) as u64)
}

fn work_violations<D: CountsVisits>(new_subject: impl Fn() -> D) -> Vec<ScalingViolation> {
    let [small, large] = [FEW_DESTINATIONS, MANY_DESTINATIONS]
        .map(|destinations| scaling::measure_work(&mut new_subject(), destinations));
    scaling::work_violations(&small, &large)
}

fn byte_violation<D: ScalingSubject>(
    new_subject: impl Fn() -> D,
    bound: MaxBytesPerDestination,
) -> Option<ScalingViolation> {
    let (_subject, bytes) = retained_bytes(|| {
        let mut subject = new_subject();
        subject.apply_full_list(MANY_DESTINATIONS);
        subject
    });
    scaling::byte_violation(bytes, MANY_DESTINATIONS, bound)
}

/// A table that does only the necessary work.
#[derive(Default)]
struct MinimalTable {
    live: BTreeMap<u64, bool>,
    visited: u64,
}

impl ScalingSubject for MinimalTable {
    fn apply_full_list(&mut self, destinations: u64) {
        self.live = (0..destinations).map(|number| (number, true)).collect();
        self.visited += destinations;
    }

    fn apply_change(&mut self, destination: DestinationIndex, live: bool) {
        self.live.insert(destination.0, live);
        self.visited += 1;
    }

    fn run_round(&mut self, busy: &[DestinationIndex]) {
        self.visited += busy.len() as u64;
    }
}

impl CountsVisits for MinimalTable {
    fn entries_visited(&self) -> u64 {
        self.visited
    }
}

/// Deliberately faulty: applies the full list at every change.
struct FullListAtEachChange<D>(D, u64);

impl<D: ScalingSubject> ScalingSubject for FullListAtEachChange<D> {
    fn apply_full_list(&mut self, destinations: u64) {
        self.1 = destinations;
        self.0.apply_full_list(destinations);
    }

    fn apply_change(&mut self, destination: DestinationIndex, live: bool) {
        self.0.apply_full_list(self.1);
        self.0.apply_change(destination, live);
    }

    fn run_round(&mut self, busy: &[DestinationIndex]) {
        self.0.run_round(busy);
    }
}

impl<D: CountsVisits> CountsVisits for FullListAtEachChange<D> {
    fn entries_visited(&self) -> u64 {
        self.0.entries_visited()
    }
}

/// Deliberately faulty: visits every destination in every round.
struct AllDestinationsAtEachRound<D>(D, u64);

impl<D: ScalingSubject> ScalingSubject for AllDestinationsAtEachRound<D> {
    fn apply_full_list(&mut self, destinations: u64) {
        self.1 = destinations;
        self.0.apply_full_list(destinations);
    }

    fn apply_change(&mut self, destination: DestinationIndex, live: bool) {
        self.0.apply_change(destination, live);
    }

    fn run_round(&mut self, busy: &[DestinationIndex]) {
        for number in 0..self.1 {
            self.0.apply_change(DestinationIndex(number), true);
        }
        self.0.run_round(busy);
    }
}

impl<D: CountsVisits> CountsVisits for AllDestinationsAtEachRound<D> {
    fn entries_visited(&self) -> u64 {
        self.0.entries_visited()
    }
}

/// Deliberately faulty: allocates a large record for each destination, as if each had traffic.
struct LargeEntries<D>(D, Vec<[u8; 2048]>);

impl<D: ScalingSubject> ScalingSubject for LargeEntries<D> {
    fn apply_full_list(&mut self, destinations: u64) {
        self.0.apply_full_list(destinations);
        self.1 = (0..destinations).map(|_| [0; 2048]).collect();
    }

    fn apply_change(&mut self, destination: DestinationIndex, live: bool) {
        self.0.apply_change(destination, live);
    }

    fn run_round(&mut self, busy: &[DestinationIndex]) {
        self.0.run_round(busy);
    }
}

mod scaling_of_a_minimal_table {
    use super::*;

    /// Enough for an index and a flag in a tree.
    const MAX_BYTES: MaxBytesPerDestination = MaxBytesPerDestination(64);

    #[test]
    fn minimal_work_is_accepted() {
        let _guard = lock_allocator();
        assert_eq!(work_violations(MinimalTable::default), []);
        assert_eq!(byte_violation(MinimalTable::default, MAX_BYTES), None);
    }

    #[test]
    fn applying_the_full_list_at_each_change_is_detected() {
        let _guard = lock_allocator();
        assert_eq!(
            work_violations(|| FullListAtEachChange(MinimalTable::default(), 0)),
            [ScalingViolation::Change]
        );
    }

    #[test]
    fn visiting_all_destinations_in_each_round_is_detected() {
        let _guard = lock_allocator();
        let violations = work_violations(|| AllDestinationsAtEachRound(MinimalTable::default(), 0));
        assert_eq!(violations, [ScalingViolation::EmptyRound, ScalingViolation::BusyRound]);
    }

    #[test]
    fn oversized_entries_are_detected() {
        let _guard = lock_allocator();
        assert_eq!(
            byte_violation(|| LargeEntries(MinimalTable::default(), Vec::new()), MAX_BYTES),
            Some(ScalingViolation::Bytes)
        );
    }

    #[test]
    fn work_may_double_but_not_more() {
        let small = Work { destinations: FEW_DESTINATIONS, change: 10, empty_round: 10, busy_round: 10 };
        let large = Work { destinations: MANY_DESTINATIONS, change: 20, empty_round: 21, busy_round: 20 };
        assert_eq!(scaling::work_violations(&small, &large), [ScalingViolation::EmptyRound]);
    }
}

/// The decision module under the same checks.
mod scaling_of_the_decision_module {
    use super::*;

    /// The allocator counts between 60 and 70 bytes for each of 20,000 destinations with one endpoint each,
    /// listed in ascending order. The planned size allows 290 bytes for the whole sender: 128 MB for 440,000
    /// destinations.
    const MAX_BYTES: MaxBytesPerDestination = MaxBytesPerDestination(70);

    #[test]
    fn a_listed_destination_stays_within_its_byte_bound() {
        let _guard = lock_allocator();
        assert_eq!(byte_violation(DecisionModule::default, MAX_BYTES), None);
    }

    #[test]
    fn oversized_entries_beside_the_module_are_detected() {
        let _guard = lock_allocator();
        assert_eq!(
            byte_violation(|| LargeEntries(DecisionModule::default(), Vec::new()), MAX_BYTES),
            Some(ScalingViolation::Bytes)
        );
    }

    #[test]
    fn work_is_the_same_for_20_and_20_000_destinations() {
        let _guard = lock_allocator();
        assert_eq!(work_violations(DecisionModule::default), []);
    }

    #[test]
    fn applying_the_full_list_to_the_module_at_each_change_is_detected() {
        let _guard = lock_allocator();
        assert_eq!(
            work_violations(|| FullListAtEachChange(DecisionModule::default(), 0)),
            [ScalingViolation::Change]
        );
    }
}

mod line_fit {
    use super::*;

    fn point(size: f64, value: Option<f64>) -> Point {
        Point { size, value }
    }

    #[test]
    fn refused_sizes_are_ignored() {
        let points =
            [point(0.0, Some(5.0)), point(10.0, Some(25.0)), point(20.0, Some(45.0)), point(40.0, None)];
        let fit = Fit::least_squares(&points).expect("three points");
        assert!((fit.slope - 2.0).abs() < 1e-9 && (fit.intercept - 5.0).abs() < 1e-9);
        assert!(fit.largest_residual < 1e-9);
    }

    #[test]
    fn the_largest_residual_is_reported() {
        let points = [point(0.0, Some(0.0)), point(1.0, Some(3.0)), point(2.0, Some(0.0))];
        assert!((Fit::least_squares(&points).expect("three points").largest_residual - 2.0).abs() < 1e-9);
    }

    #[test]
    fn one_size_gives_no_line() {
        assert_eq!(Fit::least_squares(&[point(5.0, Some(1.0)), point(5.0, Some(2.0))]), None);
        assert_eq!(Fit::least_squares(&[]), None);
    }
}

mod model_at_the_planned_size {
    use super::*;

    fn series(quantity: Quantity, points: &[(f64, f64)]) -> Series {
        let points: Vec<Point> =
            points.iter().map(|(size, value)| Point { size: *size, value: Some(*value) }).collect();
        let fit = Fit::least_squares(&points);
        Series { quantity, command: String::new(), date: String::new(), points, fit }
    }

    fn run_with(series: Vec<Series>) -> MeasurementRun {
        let empty = String::new;
        MeasurementRun { date: empty(), command: empty(), program: empty(), machine: empty(), series }
    }

    fn find_row<'a>(rows: &'a [Row], description: &str) -> &'a Row {
        rows.iter().find(|row| row.description == description).expect("a row with this description")
    }

    #[test]
    fn values_beyond_the_largest_size_are_marked_extrapolated() {
        let list_memory = series(Quantity::ListMemory, &[(0.0, 4e6), (100_000.0, 68e6)]);
        let rows = model::rows(&run_with(vec![list_memory]), &Inputs::default());
        let row = find_row(&rows, "resident with the list");
        assert_eq!(row.basis, Basis::Extrapolated);
        assert!((row.need.expect("a need") - (4e6 + 440_000.0 * 640.0)).abs() < 1.0);
        assert!(row.within_budget() == Some(false), "285.6 MB exceed 128 MB");
    }

    #[test]
    fn a_measured_point_is_preferred_to_the_line() {
        let list_memory = series(Quantity::ListMemory, &[(0.0, 4e6), (100_000.0, 68e6), (440_000.0, 100e6)]);
        let rows = model::rows(&run_with(vec![list_memory]), &Inputs::default());
        let row = find_row(&rows, "resident with the list");
        assert_eq!((row.basis, row.need, row.within_budget()), (Basis::Measured, Some(100e6), Some(true)));
    }

    #[test]
    fn rows_without_measurements_have_no_need() {
        let rows = model::rows(&run_with(Vec::new()), &Inputs::default());
        let row = find_row(&rows, "resident with the list");
        assert_eq!((row.basis, row.need, row.factor), (Basis::NotMeasured, None, None));
    }

    #[test]
    fn rows_are_sorted_by_descending_factor() {
        let rows = model::rows(&run_with(Vec::new()), &Inputs::default());
        let factors: Vec<f64> = rows.iter().filter_map(|row| row.factor).collect();
        assert!(factors.len() > 10 && factors.is_sorted_by(|a, b| a >= b));
    }

    #[test]
    fn the_planned_size_has_28_list_changes_a_second() {
        let inputs = Inputs::default();
        assert!((inputs.list_changes_per_s() - 27.87).abs() < 0.01);
        assert!((inputs.events_per_s_per_sender() - 123.0).abs() < 0.1);
    }

    #[test]
    fn unknown_inputs_are_rejected_by_name() {
        let folder = tempfile::tempdir().expect("a folder");
        let file = folder.path().join("capacity.toml");
        std::fs::write(&file, "senders = 10.0\nsender = 3.0\n").expect("written");
        let error = Inputs::read(&file).expect_err("refused");
        assert!(error.0.contains("`sender`"), "{}", error.0);
        std::fs::write(&file, "senders = 10.0\n").expect("written");
        let inputs = Inputs::read(&file).expect("read");
        assert_eq!((inputs.senders, inputs.zones), (10.0, 7.0));
    }
}

mod discovery_stub {
    use super::*;

    fn request(discovery: &DiscoveryStub, path: &str) -> serde_json::Value {
        let mut stream = TcpStream::connect(discovery.address).expect("connected");
        stream.set_read_timeout(Some(Duration::from_secs(10))).expect("set");
        write!(stream, "GET {path} HTTP/1.1\r\nHost: h\r\n\r\n").expect("asked");
        let mut bytes = Vec::new();
        let body = loop {
            let mut chunk = [0; 4096];
            let read = stream.read(&mut chunk).expect("answered");
            bytes.extend_from_slice(&chunk[..read]);
            let text = String::from_utf8_lossy(&bytes).into_owned();
            let Some((head, body)) = text.split_once("\r\n\r\n") else { continue };
            let length = head.split("Content-Length: ").nth(1).expect("a length");
            if body.len() == length.trim().parse::<usize>().expect("a number") {
                break body.to_owned();
            }
        };
        serde_json::from_str(&body).expect("JSON")
    }

    #[test]
    fn it_sends_the_full_list_and_then_changes() {
        let _guard = lock_allocator();
        let discovery = DiscoveryStub::open(3, EndpointAddresses::Unreachable).expect("open");
        let full_list = request(&discovery, "/v1/servers");
        assert_eq!((&full_list["generation"], &full_list["reset"]), (&1.into(), &true.into()));
        assert_eq!(full_list["instances"].as_array().map(Vec::len), Some(3));
        discovery.publish_change(StubIndex(2), false);
        let changes = request(&discovery, "/v1/servers?from=1&hold_ms=5000");
        assert_eq!((&changes["generation"], &changes["reset"]), (&2.into(), &false.into()));
        let entry = &changes["instances"][0];
        assert_eq!((&entry["cell"], &entry["lifecycle"]), (&2.into(), &"Gone".into()));
        let no_changes = request(&discovery, "/v1/servers?from=2&hold_ms=1");
        assert_eq!(no_changes["instances"], serde_json::json!([]));
    }
}

/// The page and the JSON file in `docs` must match each other and the model.
mod docs_page {
    use super::*;

    const MAX_JSON_BYTES: u64 = 200_000;

    fn docs_path(name: &str) -> PathBuf {
        PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../docs").join(name)
    }

    #[test]
    fn the_page_matches_the_json() {
        let _guard = lock_allocator();
        let report = Report::read(&docs_path("capacity.json")).expect("a readable report");
        let page = std::fs::read_to_string(docs_path("CAPACITY.md")).expect("a readable page");
        assert!(
            page == page::render(&report),
            "stale; regenerate with: sailcart-lab capacity --from docs/capacity.json ..."
        );
    }

    #[test]
    fn the_rows_match_the_model() {
        let _guard = lock_allocator();
        let report = Report::read(&docs_path("capacity.json")).expect("a readable report");
        let rows = model::rows(&report.measured, &report.inputs);
        assert_eq!(report.rows.len(), rows.len());
        for (recorded, computed) in report.rows.iter().zip(&rows) {
            assert_eq!(recorded, computed);
        }
    }

    #[test]
    fn the_json_is_small() {
        let bytes = std::fs::metadata(docs_path("capacity.json")).expect("the JSON file").len();
        assert!(bytes < MAX_JSON_BYTES, "{bytes}");
    }
}
