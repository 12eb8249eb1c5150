//! Capacity: the shape of a sender's work as its list grows, by counts and bytes; the model; the page in `docs`.

use std::alloc::System;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::PathBuf;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use sailcart_lab::capacity::decision_module::Hollow;
use sailcart_lab::capacity::fit::{Fit, Point};
use sailcart_lab::capacity::model::{self, Inputs, Row};
use sailcart_lab::capacity::page;
use sailcart_lab::capacity::processes::discovery::{Directory, Listed as Line, Places};
use sailcart_lab::capacity::report::{Measured, Report};
use sailcart_lab::capacity::scaling::{self, ByteBound, Counted, Driven, Grows, Listed, Work};
use sailcart_lab::capacity::series::{Basis, Quantity, Series};
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Every test here holds it: the allocator counts for the whole process.
static ALONE: Mutex<()> = Mutex::new(());

fn alone() -> MutexGuard<'static, ()> {
    ALONE.lock().unwrap_or_else(PoisonError::into_inner)
}

const SMALL: u64 = 20;
const LARGE: u64 = 20_000;

/// Bytes that stand after an act and did not before.
fn bytes_kept<T>(act: impl FnOnce() -> T) -> (T, u64) {
    let region = Region::new(ALLOCATOR);
    let kept = act();
    let change = region.change();
    (kept, change.bytes_allocated.saturating_sub(change.bytes_deallocated) as u64)
}

fn growth<D: Counted>(make: impl Fn() -> D) -> Vec<Grows> {
    let [small, large] = [SMALL, LARGE].map(|destinations| scaling::work(&mut make(), destinations));
    scaling::grows(&small, &large)
}

fn fat<D: Driven>(make: impl Fn() -> D, bound: ByteBound) -> Option<Grows> {
    let (_kept, bytes) = bytes_kept(|| {
        let mut driven = make();
        driven.whole(LARGE);
        driven
    });
    scaling::too_large(bytes, LARGE, bound)
}

/// A small table that does only what it must.
#[derive(Default)]
struct Table {
    live: BTreeMap<u64, bool>,
    visited: u64,
}

impl Driven for Table {
    fn whole(&mut self, destinations: u64) {
        self.live = (0..destinations).map(|number| (number, true)).collect();
        self.visited += destinations;
    }

    fn change(&mut self, listed: Listed, live: bool) {
        self.live.insert(listed.0, live);
        self.visited += 1;
    }

    fn round(&mut self, busy: &[Listed]) {
        self.visited += busy.len() as u64;
    }
}

impl Counted for Table {
    fn visited(&self) -> u64 {
        self.visited
    }
}

/// Wrong on purpose: hands the whole list in at every change.
struct WholeAtEachChange<D>(D, u64);

impl<D: Driven> Driven for WholeAtEachChange<D> {
    fn whole(&mut self, destinations: u64) {
        self.1 = destinations;
        self.0.whole(destinations);
    }

    fn change(&mut self, listed: Listed, live: bool) {
        self.0.whole(self.1);
        self.0.change(listed, live);
    }

    fn round(&mut self, busy: &[Listed]) {
        self.0.round(busy);
    }
}

impl<D: Counted> Counted for WholeAtEachChange<D> {
    fn visited(&self) -> u64 {
        self.0.visited()
    }
}

/// Wrong on purpose: asks every destination in every round whether there is something to do.
struct AllAtEachRound<D>(D, u64);

impl<D: Driven> Driven for AllAtEachRound<D> {
    fn whole(&mut self, destinations: u64) {
        self.1 = destinations;
        self.0.whole(destinations);
    }

    fn change(&mut self, listed: Listed, live: bool) {
        self.0.change(listed, live);
    }

    fn round(&mut self, busy: &[Listed]) {
        for number in 0..self.1 {
            self.0.change(Listed(number), true);
        }
        self.0.round(busy);
    }
}

impl<D: Counted> Counted for AllAtEachRound<D> {
    fn visited(&self) -> u64 {
        self.0.visited()
    }
}

/// Wrong on purpose: keeps a record of fixed size for each destination, as if each had traffic.
struct FatEntries<D>(D, Vec<[u8; 2048]>);

impl<D: Driven> Driven for FatEntries<D> {
    fn whole(&mut self, destinations: u64) {
        self.0.whole(destinations);
        self.1 = (0..destinations).map(|_| [0; 2048]).collect();
    }

    fn change(&mut self, listed: Listed, live: bool) {
        self.0.change(listed, live);
    }

    fn round(&mut self, busy: &[Listed]) {
        self.0.round(busy);
    }
}

mod shape_of_a_small_table {
    use super::*;

    /// A number and whether it is live, in a tree.
    const BOUND: ByteBound = ByteBound(64);

    #[test]
    fn one_that_does_only_what_it_must_passes() {
        let _alone = alone();
        assert_eq!(growth(Table::default), []);
        assert_eq!(fat(Table::default, BOUND), None);
    }

    #[test]
    fn one_that_takes_the_whole_list_at_each_change_is_caught() {
        let _alone = alone();
        assert_eq!(growth(|| WholeAtEachChange(Table::default(), 0)), [Grows::Change]);
    }

    #[test]
    fn one_that_asks_all_at_each_round_is_caught() {
        let _alone = alone();
        let found = growth(|| AllAtEachRound(Table::default(), 0));
        assert_eq!(found, [Grows::EmptyRound, Grows::BusyRound]);
    }

    #[test]
    fn one_that_keeps_a_fat_entry_is_caught() {
        let _alone = alone();
        assert_eq!(fat(|| FatEntries(Table::default(), Vec::new()), BOUND), Some(Grows::Bytes));
    }

    #[test]
    fn twice_the_work_is_let_pass_and_more_is_not() {
        let small = Work { destinations: SMALL, change: 10, empty_round: 10, busy_round: 10 };
        let large = Work { destinations: LARGE, change: 20, empty_round: 21, busy_round: 20 };
        assert_eq!(scaling::grows(&small, &large), [Grows::EmptyRound]);
    }
}

/// The decision module itself.
mod shape_of_the_sender {
    use super::*;

    /// The allocator counts between 60 and 70 for 20,000 destinations of one endpoint each, listed in ascending order. What is
    /// planned for leaves 290 to the whole sender: 128 MB for 440,000.
    const BOUND: ByteBound = ByteBound(70);

    #[test]
    fn a_listed_destination_takes_no_more_bytes_than_its_bound() {
        let _alone = alone();
        assert_eq!(fat(Hollow::default, BOUND), None);
    }

    #[test]
    fn a_fat_entry_beside_it_is_caught() {
        let _alone = alone();
        assert_eq!(fat(|| FatEntries(Hollow::default(), Vec::new()), BOUND), Some(Grows::Bytes));
    }

    #[test]
    fn a_change_and_a_round_look_at_as_much_whether_20_or_20_000_are_listed() {
        let _alone = alone();
        assert_eq!(growth(Hollow::default), []);
    }

    #[test]
    fn the_whole_list_at_each_change_is_caught() {
        let _alone = alone();
        assert_eq!(growth(|| WholeAtEachChange(Hollow::default(), 0)), [Grows::Change]);
    }
}

mod slopes {
    use super::*;

    fn point(size: f64, value: Option<f64>) -> Point {
        Point { size, value }
    }

    #[test]
    fn a_line_is_found_and_what_was_refused_is_passed_over() {
        let points =
            [point(0.0, Some(5.0)), point(10.0, Some(25.0)), point(20.0, Some(45.0)), point(40.0, None)];
        let fit = Fit::of(&points).expect("three points");
        assert!((fit.slope - 2.0).abs() < 1e-9 && (fit.intercept - 5.0).abs() < 1e-9);
        assert!(fit.largest_residual < 1e-9);
    }

    #[test]
    fn the_largest_residual_is_told() {
        let points = [point(0.0, Some(0.0)), point(1.0, Some(3.0)), point(2.0, Some(0.0))];
        assert!((Fit::of(&points).expect("three points").largest_residual - 2.0).abs() < 1e-9);
    }

    #[test]
    fn one_size_is_no_line() {
        assert_eq!(Fit::of(&[point(5.0, Some(1.0)), point(5.0, Some(2.0))]), None);
        assert_eq!(Fit::of(&[]), None);
    }
}

mod planned_size {
    use super::*;

    fn series(quantity: Quantity, points: &[(f64, f64)]) -> Series {
        let points: Vec<Point> =
            points.iter().map(|(size, value)| Point { size: *size, value: Some(*value) }).collect();
        let fit = Fit::of(&points);
        Series { quantity, command: String::new(), date: String::new(), points, fit }
    }

    fn measured(series: Vec<Series>) -> Measured {
        let text = String::new;
        Measured { date: text(), command: text(), program: text(), machine: text(), series }
    }

    fn find<'a>(rows: &'a [Row], what: &str) -> &'a Row {
        rows.iter().find(|row| row.what == what).expect("the row is there")
    }

    #[test]
    fn a_slope_is_carried_on_beyond_the_largest_size_and_called_so() {
        let list = series(Quantity::ListMemory, &[(0.0, 4e6), (100_000.0, 68e6)]);
        let rows = model::rows(&measured(vec![list]), &Inputs::default());
        let row = find(&rows, "resident with the list");
        assert_eq!(row.basis, Basis::Extrapolated);
        assert!((row.need.expect("a figure") - (4e6 + 440_000.0 * 640.0)).abs() < 1.0);
        assert!(row.kept() == Some(false), "285.6 MB are not within 128 MB");
    }

    #[test]
    fn a_measured_point_at_the_size_goes_before_the_line() {
        let list = series(Quantity::ListMemory, &[(0.0, 4e6), (100_000.0, 68e6), (440_000.0, 100e6)]);
        let rows = model::rows(&measured(vec![list]), &Inputs::default());
        let row = find(&rows, "resident with the list");
        assert_eq!((row.basis, row.need, row.kept()), (Basis::Measured, Some(100e6), Some(true)));
    }

    #[test]
    fn without_a_slope_there_is_no_figure_and_it_is_said() {
        let rows = model::rows(&measured(Vec::new()), &Inputs::default());
        let row = find(&rows, "resident with the list");
        assert_eq!((row.basis, row.need, row.factor), (Basis::NotMeasured, None, None));
    }

    #[test]
    fn what_passes_its_budget_comes_first() {
        let rows = model::rows(&measured(Vec::new()), &Inputs::default());
        let factors: Vec<f64> = rows.iter().filter_map(|row| row.factor).collect();
        assert!(factors.len() > 10 && factors.is_sorted_by(|a, b| a >= b));
    }

    #[test]
    fn the_list_changes_28_times_a_second() {
        let inputs = Inputs::default();
        assert!((inputs.list_changes_per_s() - 27.87).abs() < 0.01);
        assert!((inputs.sender_rate() - 123.0).abs() < 0.1);
    }

    #[test]
    fn an_input_that_nobody_knows_is_refused_by_name() {
        let folder = tempfile::tempdir().expect("a folder");
        let file = folder.path().join("capacity.toml");
        std::fs::write(&file, "senders = 10.0\nsender = 3.0\n").expect("written");
        let fault = Inputs::read(&file).expect_err("refused");
        assert!(fault.0.contains("`sender`"), "{}", fault.0);
        std::fs::write(&file, "senders = 10.0\n").expect("written");
        let inputs = Inputs::read(&file).expect("read");
        assert_eq!((inputs.senders, inputs.zones), (10.0, 7.0));
    }
}

mod stand_in_for_discovery {
    use super::*;

    fn ask(directory: &Directory, path: &str) -> serde_json::Value {
        let mut stream = TcpStream::connect(directory.address).expect("connected");
        stream.set_read_timeout(Some(Duration::from_secs(10))).expect("set");
        write!(stream, "GET {path} HTTP/1.1\r\nHost: h\r\n\r\n").expect("asked");
        let mut bytes = Vec::new();
        let body = loop {
            let mut some = [0; 4096];
            let count = stream.read(&mut some).expect("answered");
            bytes.extend_from_slice(&some[..count]);
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
    fn it_tells_the_whole_list_and_then_changes() {
        let _alone = alone();
        let directory = Directory::open(3, Places::Nowhere).expect("open");
        let whole = ask(&directory, "/v1/servers");
        assert_eq!((&whole["generation"], &whole["reset"]), (&1.into(), &true.into()));
        assert_eq!(whole["instances"].as_array().map(Vec::len), Some(3));
        directory.change(Line(2), false);
        let news = ask(&directory, "/v1/servers?from=1&hold_ms=5000");
        assert_eq!((&news["generation"], &news["reset"]), (&2.into(), &false.into()));
        let entry = &news["instances"][0];
        assert_eq!((&entry["cell"], &entry["lifecycle"]), (&2.into(), &"Gone".into()));
        let nothing = ask(&directory, "/v1/servers?from=2&hold_ms=1");
        assert_eq!(nothing["instances"], serde_json::json!([]));
    }
}

/// What stands in `docs` is what the run's JSON gives.
mod the_page {
    use super::*;

    const MOST_BYTES: u64 = 200_000;

    fn docs(name: &str) -> PathBuf {
        PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../docs").join(name)
    }

    #[test]
    fn it_is_made_of_the_json_beside_it() {
        let _alone = alone();
        let report = Report::read(&docs("capacity.json")).expect("the JSON of a run");
        let page = std::fs::read_to_string(docs("CAPACITY.md")).expect("the page");
        assert!(
            page == page::page(&report),
            "made anew by: sailcart-lab capacity --from docs/capacity.json ..."
        );
    }

    #[test]
    fn its_rows_are_what_the_model_makes_of_what_was_measured() {
        let _alone = alone();
        let report = Report::read(&docs("capacity.json")).expect("the JSON of a run");
        let rows = model::rows(&report.measured, &report.inputs);
        assert_eq!(report.rows.len(), rows.len());
        for (written, made) in report.rows.iter().zip(&rows) {
            assert_eq!(written, made);
        }
    }

    #[test]
    fn its_json_is_small() {
        let bytes = std::fs::metadata(docs("capacity.json")).expect("the JSON").len();
        assert!(bytes < MOST_BYTES, "{bytes}");
    }
}
