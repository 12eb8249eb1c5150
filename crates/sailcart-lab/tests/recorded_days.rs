//! The calls that the module makes on shipped days are those on record. A change that is meant to alter no decision leaves
//! `recorded_days.txt` as it is; one that alters some writes it anew with `RECORD=1` and says so in its commit.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fmt::Write;
use std::rc::Rc;
use std::time::Duration;

use crc32fast::Hasher;
use sailcart::{EndpointId, Host, LimitReport, ListEntry, Outcome, Packet, PacketId, Sender};
use sailcart_lab::events::Log;
use sailcart_lab::experiment::read_text;
use sailcart_lab::plan::Plan;
use sailcart_lab::policies::{OracleView, Policy, PolicyName};
use sailcart_lab::{shipped, simulated};

const ON_RECORD: &str = include_str!("recorded_days.txt");
/// Days, and what of them is set otherwise so that they play in a moment.
const DAYS: &[(&str, &[&str])] = &[
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

/// What all senders of a day asked for, in order.
#[derive(Default)]
struct Calls {
    count: u64,
    digest: Hasher,
}

impl Calls {
    fn note(&mut self, words: std::fmt::Arguments) {
        self.count += 1;
        self.digest.update(format!("{words}\n").as_bytes());
    }
}

/// The module, with each of its calls noted.
struct Recorded {
    inner: Sender,
    seed: u64,
    calls: Rc<RefCell<Calls>>,
    dispatched_to: BTreeSet<EndpointId>,
}

struct Noting<'a> {
    host: &'a mut dyn Host,
    now: Duration,
    seed: u64,
    calls: &'a RefCell<Calls>,
    dispatched_to: &'a mut BTreeSet<EndpointId>,
}

impl Noting<'_> {
    fn note(&self, words: std::fmt::Arguments) {
        self.calls.borrow_mut().note(format_args!("{} {:?} {words}", self.seed, self.now));
    }
}

impl Host for Noting<'_> {
    fn dispatch(&mut self, packet: PacketId, endpoint: EndpointId, time_out: Duration) {
        self.dispatched_to.insert(endpoint);
        self.note(format_args!("dispatch {} {} {time_out:?}", packet.0, endpoint.0));
        self.host.dispatch(packet, endpoint, time_out);
    }
    fn cancel(&mut self, packet: PacketId, dispatch: u32) {
        self.note(format_args!("cancel {} {dispatch}", packet.0));
        self.host.cancel(packet, dispatch);
    }
    fn dismiss(&mut self, packet: PacketId, retry_after: Option<Duration>) {
        self.note(format_args!("dismiss {} {retry_after:?}", packet.0));
        self.host.dismiss(packet, retry_after);
    }
    fn scrap(&mut self, packet: PacketId) {
        self.note(format_args!("scrap {}", packet.0));
        self.host.scrap(packet);
    }
    /// Of an endpoint that was never called no connection can be idle.
    fn close_idle(&mut self, endpoint: EndpointId) {
        if self.dispatched_to.contains(&endpoint) {
            self.note(format_args!("close {}", endpoint.0));
        }
        self.host.close_idle(endpoint);
    }
    fn request_list(&mut self) {
        self.note(format_args!("ask"));
        self.host.request_list();
    }
    fn wake(&mut self, after: Duration) {
        self.note(format_args!("wake {after:?}"));
        self.host.wake(after);
    }
}

impl Policy for Recorded {
    fn update_list(&mut self, now: Duration, whole: bool, lines: &[ListEntry]) {
        self.inner.update_list(now, whole, lines);
    }
    fn accept(&mut self, now: Duration, packet: Packet) {
        self.inner.accept(now, packet);
    }
    fn record_outcome(
        &mut self,
        now: Duration,
        id: PacketId,
        elapsed: Duration,
        outcome: Outcome,
        over: bool,
    ) {
        self.inner.record_outcome(now, id, elapsed, outcome, over);
    }
    fn record_report(&mut self, id: PacketId, report: LimitReport) {
        self.inner.record_report(id, report);
    }
    fn may_still_dispatch(&self, now: Duration, id: PacketId) -> bool {
        self.inner.may_still_dispatch(now, id)
    }
    fn decide(&mut self, now: Duration, _: &dyn OracleView, host: &mut dyn Host) {
        let Recorded { inner, seed, calls, dispatched_to } = self;
        inner.decide(now, &mut Noting { host, now, seed: *seed, calls, dispatched_to });
    }
}

/// One line: the day, how many calls its senders made, and their digest.
fn record(day: &str, set: &[&str]) -> String {
    let (_, text) = shipped::ALL.iter().find(|(name, _)| *name == day).expect("a shipped day");
    let set: Vec<String> = set.iter().map(|&words| words.to_owned()).collect();
    let plan = Plan::new(read_text(text, &set).expect("a sound experiment"), 1).expect("a sound experiment");
    let calls = Rc::new(RefCell::new(Calls::default()));
    let make = |seed| -> Box<dyn Policy> {
        let inner = Sender::new(plan.terms.clone(), seed);
        Box::new(Recorded { inner, seed, calls: calls.clone(), dispatched_to: BTreeSet::new() })
    };
    simulated::run_with(&plan, PolicyName::Sailcart, Log::default(), &mut |_| {}, &make);
    let calls = calls.borrow();
    format!("{day} {} {:08x}", calls.count, calls.digest.clone().finalize())
}

#[test]
fn the_calls_on_shipped_days_are_those_on_record() {
    let mut now = String::new();
    for (day, set) in DAYS {
        let _ = writeln!(now, "{}", record(day, set));
    }
    if std::env::var_os("RECORD").is_some() {
        let file = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/recorded_days.txt");
        std::fs::write(file, &now).expect("a file to write");
    }
    assert_eq!(now, ON_RECORD, "calls differ from those on record");
}
