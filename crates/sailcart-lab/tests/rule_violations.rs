//! One deliberately faulty sender for each rule: the watcher detects the violation of that rule and of no
//! other, and the decision module violates none in the same experiment.

mod common;

use std::time::Duration;

use common::{plan, run, run_with_policy, violated_rules};
use sailcart::{Category, EndpointId, Host, ListEntry, Outcome, Packet, PacketId, Repeat, Sender, Settings};
use sailcart_lab::plan::Plan;
use sailcart_lab::policies::{Baseline, OracleView, Policy, PolicyName};
use sailcart_lab::watcher::Rule;

/// The decision module behind a layer that withholds input from it or makes calls of its own.
struct FaultySender {
    module: Sender,
    ignores_packet: fn(&Packet) -> bool,
    ignores_drains: bool,
    /// Dispatches packets that were completed in a round again in the next one.
    repeats_after_completion: bool,
    completed: Vec<PacketId>,
    last_endpoint: Option<EndpointId>,
}

impl FaultySender {
    fn new(settings: &Settings, seed: u64) -> Self {
        let module = Sender::new(settings.clone(), seed);
        FaultySender {
            module,
            ignores_packet: |_| false,
            ignores_drains: false,
            repeats_after_completion: false,
            completed: vec![],
            last_endpoint: None,
        }
    }
}

/// Records the packets that the module completes, and passes all requests on to the host.
struct RecordingHost<'a> {
    host: &'a mut dyn Host,
    completed: Vec<PacketId>,
    last_endpoint: &'a mut Option<EndpointId>,
}

impl Host for RecordingHost<'_> {
    fn dispatch(&mut self, packet: PacketId, endpoint: EndpointId, timeout: Duration) {
        *self.last_endpoint = Some(endpoint);
        self.host.dispatch(packet, endpoint, timeout);
    }
    fn cancel(&mut self, packet: PacketId, dispatch: u32) {
        self.host.cancel(packet, dispatch);
    }
    fn dismiss(&mut self, packet: PacketId, retry_after: Option<Duration>) {
        self.completed.push(packet);
        self.host.dismiss(packet, retry_after);
    }
    fn scrap(&mut self, packet: PacketId) {
        self.completed.push(packet);
        self.host.scrap(packet);
    }
    fn close_idle(&mut self, endpoint: EndpointId) {
        self.host.close_idle(endpoint);
    }
    fn request_list(&mut self) {
        self.host.request_list();
    }

    fn wake(&mut self, after: Duration) {
        self.host.wake(after);
    }
}

impl Policy for FaultySender {
    fn update_list(&mut self, now: Duration, full: bool, entries: &[ListEntry]) {
        let is_visible = |entry: &&ListEntry| entry.live || !self.ignores_drains;
        let entries: Vec<ListEntry> = entries.iter().filter(is_visible).cloned().collect();
        Sender::update_list(&mut self.module, now, full, &entries);
    }
    fn accept(&mut self, now: Duration, packet: Packet) {
        if !(self.ignores_packet)(&packet) {
            Sender::accept(&mut self.module, now, packet);
        }
    }
    fn record_outcome(
        &mut self,
        now: Duration,
        id: PacketId,
        elapsed: Duration,
        outcome: Outcome,
        completed: bool,
    ) {
        Sender::record_outcome(&mut self.module, now, id, elapsed, outcome, completed);
    }
    fn may_still_dispatch(&self, now: Duration, id: PacketId) -> bool {
        Sender::may_still_dispatch(&self.module, now, id) || self.repeats_after_completion
    }
    fn decide(&mut self, now: Duration, _: &dyn OracleView, host: &mut dyn Host) {
        if let Some(endpoint) = self.last_endpoint.filter(|_| self.repeats_after_completion) {
            for packet in std::mem::take(&mut self.completed) {
                host.dispatch(packet, endpoint, Duration::from_secs(1));
            }
        }
        let mut recording_host =
            RecordingHost { host, completed: vec![], last_endpoint: &mut self.last_endpoint };
        self.module.decide(now, &mut recording_host);
        let completed = recording_host.completed;
        // They are dispatched in the next round, so the calls and the completions do not just cross in
        // transit.
        if self.repeats_after_completion && !completed.is_empty() {
            self.completed.extend(completed);
        }
    }
}

/// Asserts that the faulty sender violates this rule alone, and the decision module none in the same
/// experiment.
fn assert_detected(plan: &Plan, rule: Rule, new_faulty_policy: &dyn Fn(u64) -> Box<dyn Policy>) {
    assert_eq!(
        violated_rules(&run(plan, PolicyName::Sailcart)),
        vec![],
        "the decision module in the same experiment"
    );
    let outcome = run_with_policy(plan, new_faulty_policy);
    assert_eq!(violated_rules(&outcome), vec![rule]);
    let violation = &outcome.violations[0];
    assert_eq!((violation.rule, violation.events.len()), (rule, 3), "{violation:?}");
    assert!(
        rule == Rule::Return || violation.packet.is_some(),
        "the violation names the packet: {violation:?}"
    );
}

/// The backoff policy with settings that differ from those of the experiment.
fn misconfigured(plan: &Plan, change: fn(&mut Category)) -> impl Fn(u64) -> Box<dyn Policy> {
    let mut settings = plan.settings.clone();
    settings.categories.iter_mut().for_each(change);
    move |seed| Box::new(Baseline::new(PolicyName::Backoff, settings.clone(), seed))
}

#[test]
fn a_packet_that_is_never_completed_is_detected() {
    let plan = plan(&[], "");
    let settings = plan.settings.clone();
    assert_detected(&plan, Rule::OneEnd, &move |seed| {
        Box::new(FaultySender {
            ignores_packet: |packet| packet.id.0 % 40 == 7,
            ..FaultySender::new(&settings, seed)
        })
    });
}

#[test]
fn a_packet_sent_after_its_completion_is_detected() {
    // Packets are completed while no endpoint answers; later rounds, caused by new packets, dispatch them
    // again.
    let troubles = "[[troubles]]\nkind = \"silent\"\nat = \"2s\"\nfor = \"10s\"\n";
    let plan = plan(&[("LOAD", "again = 0")], troubles);
    let settings = plan.settings.clone();
    let new_faulty_policy = move |seed| -> Box<dyn Policy> {
        Box::new(FaultySender { repeats_after_completion: true, ..FaultySender::new(&settings, seed) })
    };
    let outcome = run_with_policy(&plan, &new_faulty_policy);
    assert!(violated_rules(&outcome).contains(&Rule::OneEnd), "{:?}", outcome.rules);
    assert!(outcome.violations.iter().any(|violation| violation.events[1].contains("ended as")));
}

#[test]
fn a_repeated_unrepeatable_packet_is_detected() {
    let troubles = "[[troubles]]\nkind = \"answer-lost\"\nat = \"2s\"\nfor = \"10s\"\nshare = 0.3\n";
    let plan = plan(&[("CATEGORY", "repeat = \"unrepeatable\"")], troubles);
    assert_detected(
        &plan,
        Rule::NoDouble,
        &misconfigured(&plan, |category| category.repeat = Repeat::Idempotent),
    );
}

#[test]
fn a_packet_repeated_after_the_deduplication_memory_is_detected() {
    let troubles = "[[troubles]]\nkind = \"answer-lost\"\nat = \"2s\"\nfor = \"10s\"\nshare = 0.4\n";
    let plan = plan(&[("CATEGORY", "repeat = \"deduplicated\"\nmemory = \"3s\"")], troubles);
    let longer_memory = |category: &mut Category| {
        category.repeat = Repeat::Deduplicated { memory: Duration::from_secs(60) };
    };
    assert_detected(&plan, Rule::NoDouble, &misconfigured(&plan, longer_memory));
}

#[test]
fn a_call_to_a_draining_endpoint_is_detected() {
    let troubles = "[[troubles]]\nkind = \"drain\"\nat = \"5s\"\nfor = \"20s\"\nendpoint = 0\n";
    let plan = plan(&[], troubles);
    let settings = plan.settings.clone();
    assert_detected(&plan, Rule::Drains, &move |seed| {
        Box::new(FaultySender { ignores_drains: true, ..FaultySender::new(&settings, seed) })
    });
}

#[test]
fn overload_of_a_recovering_destination_is_detected() {
    let troubles = "[[troubles]]\nkind = \"refuse\"\nat = \"4s\"\nfor = \"6s\"\n\
        [rules]\ncold_from = 0.1\nfall_multiple = 1.2\n";
    let plan = plan(&[("LOAD", "clumped = 0.0"), ("DESTINATION", "spread = 0.1")], troubles);
    assert_detected(&plan, Rule::Return, &misconfigured(&plan, |_| {}));
}

#[test]
fn packets_of_a_key_out_of_order_are_detected() {
    let plan = plan(&[("CATEGORY", "repeat = \"idempotent\"\nin_order = true"), ("LOAD", "keys = 4")], "");
    assert_detected(&plan, Rule::Order, &misconfigured(&plan, |category| category.in_order = false));
}

#[test]
fn an_ignored_retry_after_wait_is_detected() {
    let limit = "limit = { by = \"span\", rate = 10.0, span = \"2s\", tells = 1.0 }";
    let plan = plan(&[("DESTINATION", limit)], "");
    assert_detected(&plan, Rule::Waits, &misconfigured(&plan, |_| {}));
}
