//! The requests that the decision module makes of its host in the shipped experiments must match a recording.
//! A change that is not meant to alter decisions leaves `recorded_days.txt` as it is. A change that alters
//! some regenerates the file with `RECORD=1` and says so in its commit.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fmt::Write;
use std::rc::Rc;
use std::time::Duration;

use crc32fast::Hasher;
use sailcart::{EndpointId, Host, LimitReport, ListEntry, Outcome, Packet, PacketId, Sender};
use sailcart_lab::events::EventLog;
use sailcart_lab::experiment::read_text;
use sailcart_lab::plan::Plan;
use sailcart_lab::policies::{OracleView, Policy, PolicyName};
use sailcart_lab::{shipped, simulated};

const RECORDED_LINES: &str = include_str!("recorded_days.txt");
/// Shipped experiments, with the settings that are overridden to shorten their run.
const EXPERIMENTS: &[(&str, &[&str])] = &[
    ("calm", &[]),
    ("hang", &[]),
    ("answer-lost", &[]),
    ("rolling-restarts", &[]),
    ("drains", &[]),
    ("hot-destination", &[]),
    ("limits-overload", &[]),
    ("limits-lowered", &[]),
    ("herd", &[]),
    ("cold-return", &[]),
    ("spoilt", &[]),
    ("grown", &["span=6s", "load.rate=400", "senders.count=60", "troubles.0.at=1s", "troubles.0.for=2s"]),
];

/// Number and digest of the requests that all senders of an experiment make, in order.
#[derive(Default)]
struct Requests {
    count: u64,
    digest: Hasher,
}

impl Requests {
    fn record(&mut self, request: std::fmt::Arguments) {
        self.count += 1;
        self.digest.update(format!("{request}\n").as_bytes());
    }
}

/// The decision module with a recording of its requests.
struct RecordedModule {
    module: Sender,
    seed: u64,
    requests: Rc<RefCell<Requests>>,
    dispatched_to: BTreeSet<EndpointId>,
}

/// Records the requests of the module and passes them on to the host.
struct RecordingHost<'a> {
    host: &'a mut dyn Host,
    now: Duration,
    seed: u64,
    requests: &'a RefCell<Requests>,
    dispatched_to: &'a mut BTreeSet<EndpointId>,
}

impl RecordingHost<'_> {
    fn record(&self, request: std::fmt::Arguments) {
        self.requests.borrow_mut().record(format_args!("{} {:?} {request}", self.seed, self.now));
    }
}

impl Host for RecordingHost<'_> {
    fn dispatch(&mut self, packet: PacketId, endpoint: EndpointId, timeout: Duration) {
        self.dispatched_to.insert(endpoint);
        self.record(format_args!("dispatch {} {} {timeout:?}", packet.0, endpoint.0));
        self.host.dispatch(packet, endpoint, timeout);
    }
    fn cancel(&mut self, packet: PacketId, dispatch: u32) {
        self.record(format_args!("cancel {} {dispatch}", packet.0));
        self.host.cancel(packet, dispatch);
    }
    fn dismiss(&mut self, packet: PacketId, retry_after: Option<Duration>) {
        self.record(format_args!("dismiss {} {retry_after:?}", packet.0));
        self.host.dismiss(packet, retry_after);
    }
    fn scrap(&mut self, packet: PacketId) {
        self.record(format_args!("scrap {}", packet.0));
        self.host.scrap(packet);
    }
    /// Requests for endpoints that were never called are not recorded, because no connection to them can be
    /// idle.
    fn close_idle(&mut self, endpoint: EndpointId) {
        if self.dispatched_to.contains(&endpoint) {
            self.record(format_args!("close {}", endpoint.0));
        }
        self.host.close_idle(endpoint);
    }
    fn request_list(&mut self) {
        self.record(format_args!("ask"));
        self.host.request_list();
    }
    fn wake(&mut self, after: Duration) {
        self.record(format_args!("wake {after:?}"));
        self.host.wake(after);
    }
}

impl Policy for RecordedModule {
    fn update_list(&mut self, now: Duration, full: bool, entries: &[ListEntry]) {
        self.module.update_list(now, full, entries);
    }
    fn accept(&mut self, now: Duration, packet: Packet) {
        self.module.accept(now, packet);
    }
    fn record_outcome(
        &mut self,
        now: Duration,
        id: PacketId,
        elapsed: Duration,
        outcome: Outcome,
        completed: bool,
    ) {
        self.module.record_outcome(now, id, elapsed, outcome, completed);
    }
    fn record_report(&mut self, id: PacketId, report: LimitReport) {
        self.module.record_report(id, report);
    }
    fn may_still_dispatch(&self, now: Duration, id: PacketId) -> bool {
        self.module.may_still_dispatch(now, id)
    }
    fn decide(&mut self, now: Duration, _: &dyn OracleView, host: &mut dyn Host) {
        let RecordedModule { module, seed, requests, dispatched_to } = self;
        module.decide(now, &mut RecordingHost { host, now, seed: *seed, requests, dispatched_to });
    }
}

/// One line of the recording: the experiment, the number of requests, and their digest.
fn digest_line(experiment: &str, overrides: &[&str]) -> String {
    let (_, text) = shipped::ALL.iter().find(|(name, _)| *name == experiment).expect("a shipped experiment");
    let overrides: Vec<String> = overrides.iter().map(|&request| request.to_owned()).collect();
    let plan =
        Plan::new(read_text(text, &overrides).expect("a valid experiment"), 1).expect("a valid experiment");
    let requests = Rc::new(RefCell::new(Requests::default()));
    let new_policy = |seed| -> Box<dyn Policy> {
        let module = Sender::new(plan.settings.clone(), seed);
        Box::new(RecordedModule { module, seed, requests: requests.clone(), dispatched_to: BTreeSet::new() })
    };
    simulated::run_with(&plan, PolicyName::Sailcart, EventLog::default(), &mut |_| {}, &new_policy);
    let requests = requests.borrow();
    format!("{experiment} {} {:08x}", requests.count, requests.digest.clone().finalize())
}

#[test]
fn host_requests_match_the_recorded_ones() {
    let mut lines = String::new();
    for (experiment, overrides) in EXPERIMENTS {
        let _ = writeln!(lines, "{}", digest_line(experiment, overrides));
    }
    if std::env::var_os("RECORD").is_some() {
        let file = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/recorded_days.txt");
        std::fs::write(file, &lines).expect("a file to write");
    }
    assert_eq!(lines, RECORDED_LINES, "requests differ from the recording");
}
