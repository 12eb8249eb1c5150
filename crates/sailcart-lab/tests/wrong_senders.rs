//! One deliberately wrong sender for each rule: the watcher catches it by that rule and by no other, and the module
//! breaks none on the same day.

mod common;

use std::time::Duration;

use common::{broken, plan, play, play_with};
use sailcart::{Category, EndpointId, Host, ListEntry, Outcome, Packet, PacketId, Repeat, Sender, Settings};
use sailcart_lab::plan::Plan;
use sailcart_lab::policies::{Baseline, OracleView, Policy, PolicyName};
use sailcart_lab::watcher::Rule;

/// The module, with something kept from it or something done behind its back.
struct Wrong {
    inner: Sender,
    deaf_to: fn(&Packet) -> bool,
    drains_unheard: bool,
    /// Packets ended in a round are dispatched once more in the next.
    after_end: bool,
    ended: Vec<PacketId>,
    last: Option<EndpointId>,
}

impl Wrong {
    fn new(terms: &Settings, seed: u64) -> Self {
        let inner = Sender::new(terms.clone(), seed);
        Wrong {
            inner,
            deaf_to: |_| false,
            drains_unheard: false,
            after_end: false,
            ended: vec![],
            last: None,
        }
    }
}

/// Notes the module's ends on their way.
struct Noting<'a> {
    host: &'a mut dyn Host,
    ended: Vec<PacketId>,
    last: &'a mut Option<EndpointId>,
}

impl Host for Noting<'_> {
    fn dispatch(&mut self, packet: PacketId, endpoint: EndpointId, time_out: Duration) {
        *self.last = Some(endpoint);
        self.host.dispatch(packet, endpoint, time_out);
    }
    fn cancel(&mut self, packet: PacketId, dispatch: u32) {
        self.host.cancel(packet, dispatch);
    }
    fn dismiss(&mut self, packet: PacketId, retry_after: Option<Duration>) {
        self.ended.push(packet);
        self.host.dismiss(packet, retry_after);
    }
    fn scrap(&mut self, packet: PacketId) {
        self.ended.push(packet);
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

impl Policy for Wrong {
    fn update_list(&mut self, now: Duration, whole: bool, lines: &[ListEntry]) {
        let heard = |line: &&ListEntry| line.live || !self.drains_unheard;
        let lines: Vec<ListEntry> = lines.iter().filter(heard).cloned().collect();
        Sender::update_list(&mut self.inner, now, whole, &lines);
    }
    fn accept(&mut self, now: Duration, packet: Packet) {
        if !(self.deaf_to)(&packet) {
            Sender::accept(&mut self.inner, now, packet);
        }
    }
    fn record_outcome(
        &mut self,
        now: Duration,
        id: PacketId,
        elapsed: Duration,
        outcome: Outcome,
        over: bool,
    ) {
        Sender::record_outcome(&mut self.inner, now, id, elapsed, outcome, over);
    }
    fn may_still_dispatch(&self, now: Duration, id: PacketId) -> bool {
        Sender::may_still_dispatch(&self.inner, now, id) || self.after_end
    }
    fn decide(&mut self, now: Duration, _: &dyn OracleView, host: &mut dyn Host) {
        if let Some(endpoint) = self.last.filter(|_| self.after_end) {
            for packet in std::mem::take(&mut self.ended) {
                host.dispatch(packet, endpoint, Duration::from_secs(1));
            }
        }
        let mut noting = Noting { host, ended: vec![], last: &mut self.last };
        self.inner.decide(now, &mut noting);
        let ended = noting.ended;
        // A little later than what may cross on the way.
        if self.after_end && !ended.is_empty() {
            self.ended.extend(ended);
        }
    }
}

/// The wrong sender breaks this rule alone; the module, on the same day, none.
fn caught(plan: &Plan, rule: Rule, wrong: &dyn Fn(u64) -> Box<dyn Policy>) {
    assert_eq!(broken(&play(plan, PolicyName::Sailcart)), vec![], "the module on the same day");
    let outcome = play_with(plan, wrong);
    assert_eq!(broken(&outcome), vec![rule]);
    let breach = &outcome.breaches[0];
    assert_eq!((breach.rule, breach.events.len()), (rule, 3), "{breach:?}");
    assert!(rule == Rule::Return || breach.packet.is_some(), "the packet is named: {breach:?}");
}

/// A careful client otherwise, told other terms than those that hold.
fn misled(plan: &Plan, change: fn(&mut Category)) -> impl Fn(u64) -> Box<dyn Policy> {
    let mut terms = plan.terms.clone();
    terms.categories.iter_mut().for_each(change);
    move |seed| Box::new(Baseline::new(PolicyName::Backoff, terms.clone(), seed))
}

#[test]
fn one_that_never_ends_a_packet() {
    let plan = plan(&[], "");
    let terms = plan.terms.clone();
    caught(&plan, Rule::OneEnd, &move |seed| {
        Box::new(Wrong { deaf_to: |packet| packet.id.0 % 40 == 7, ..Wrong::new(&terms, seed) })
    });
}

#[test]
fn one_that_sends_a_packet_after_its_end() {
    // Packets end while all is refused; the rounds that clients' packets bring later send them once more.
    let troubles = "[[troubles]]\nkind = \"silent\"\nat = \"2s\"\nfor = \"10s\"\n";
    let plan = plan(&[("LOAD", "again = 0")], troubles);
    let terms = plan.terms.clone();
    let late =
        move |seed| -> Box<dyn Policy> { Box::new(Wrong { after_end: true, ..Wrong::new(&terms, seed) }) };
    let outcome = play_with(&plan, &late);
    assert!(broken(&outcome).contains(&Rule::OneEnd), "{:?}", outcome.rules);
    assert!(outcome.breaches.iter().any(|breach| breach.events[1].contains("ended as")));
}

#[test]
fn one_that_repeats_what_may_not_be_repeated() {
    let troubles = "[[troubles]]\nkind = \"answer-lost\"\nat = \"2s\"\nfor = \"10s\"\nshare = 0.3\n";
    let plan = plan(&[("CATEGORY", "repeat = \"unrepeatable\"")], troubles);
    caught(&plan, Rule::NoDouble, &misled(&plan, |category| category.repeat = Repeat::Idempotent));
}

#[test]
fn one_that_repeats_beyond_the_memory_of_a_key() {
    let troubles = "[[troubles]]\nkind = \"answer-lost\"\nat = \"2s\"\nfor = \"10s\"\nshare = 0.4\n";
    let plan = plan(&[("CATEGORY", "repeat = \"deduplicated\"\nmemory = \"3s\"")], troubles);
    let long = |category: &mut Category| {
        category.repeat = Repeat::Deduplicated { memory: Duration::from_secs(60) };
    };
    caught(&plan, Rule::NoDouble, &misled(&plan, long));
}

#[test]
fn one_that_goes_on_at_an_endpoint_that_drains() {
    let troubles = "[[troubles]]\nkind = \"drain\"\nat = \"5s\"\nfor = \"20s\"\nendpoint = 0\n";
    let plan = plan(&[], troubles);
    let terms = plan.terms.clone();
    caught(&plan, Rule::Drains, &move |seed| {
        Box::new(Wrong { drains_unheard: true, ..Wrong::new(&terms, seed) })
    });
}

#[test]
fn one_that_pushes_a_returning_destination_over() {
    let troubles = "[[troubles]]\nkind = \"refuse\"\nat = \"4s\"\nfor = \"6s\"\n\
        [rules]\ncold_from = 0.1\nfall_multiple = 1.2\n";
    let plan = plan(&[("LOAD", "clumped = 0.0"), ("DESTINATION", "spread = 0.1")], troubles);
    caught(&plan, Rule::Return, &misled(&plan, |_| {}));
}

#[test]
fn one_that_keeps_no_order() {
    let plan = plan(&[("CATEGORY", "repeat = \"idempotent\"\nin_order = true"), ("LOAD", "keys = 4")], "");
    caught(&plan, Rule::Order, &misled(&plan, |category| category.in_order = false));
}

#[test]
fn one_that_heeds_no_wait() {
    let limit = "limit = { by = \"span\", rate = 10.0, span = \"2s\", tells = 1.0 }";
    let plan = plan(&[("DESTINATION", limit)], "");
    caught(&plan, Rule::Waits, &misled(&plan, |_| {}));
}
