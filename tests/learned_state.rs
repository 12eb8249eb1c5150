//! What was learned about a destination outlasts its endpoints: all short sequences of what may happen around a told
//! wait, judged by the wait and by the slow start behind it.

#[allow(dead_code)]
mod harness;

use std::thread;
use std::time::Duration;

use harness::{Harness, list_entry, ms, settings};
use sailcart::*;

/// What happens next.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// The endpoints leave the list, or drain.
    EndpointsGo,
    /// An endpoint of a new name is listed.
    NewEndpointComes,
    /// An endpoint of the first one's name is listed; its address may be another.
    OldEndpointComes,
    /// Packets are submitted.
    PacketsHeld,
    /// All packets end.
    PacketsEnd,
    /// Time passes: less than the warm-up, or more. The list is confirmed without a change.
    TimePasses(Duration),
    /// The whole list comes again, as after a reload.
    WholeList,
}

const STEPS: [Step; 8] = [
    Step::EndpointsGo,
    Step::NewEndpointComes,
    Step::OldEndpointComes,
    Step::PacketsHeld,
    Step::PacketsEnd,
    Step::TimePasses(span(300)),
    Step::TimePasses(span(5500)),
    Step::WholeList,
];
const WARM_UP: Duration = span(5000);
/// Number of steps behind the told wait.
const LENGTH: u32 = 5;
const FIRST_ENDPOINT: u32 = 100;

const fn span(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// One deployment in which a sequence is played.
#[derive(Clone, Copy, Debug)]
struct Setup {
    wait: Duration,
    per_route_limits: bool,
    senders: usize,
}

struct Play {
    setup: Setup,
    harness: Harness,
    /// The listed endpoints, each with its route.
    listed: Vec<(u32, u32)>,
    next_endpoint: u32,
    wait_ends_at: Duration,
    /// The route that told the wait.
    waiting_route: u32,
    /// The route of each endpoint ever listed, by its number from the first one on.
    routes: Vec<u32>,
    packets: Vec<u64>,
}

impl Play {
    /// A sender that has just been told to wait.
    fn new(setup: Setup) -> Play {
        let settings = Settings {
            senders: setup.senders,
            kinds: vec![Kind { per_route_limits: setup.per_route_limits, max_batch: 1 }],
            recovery: RecoveryProfile { warm_up: WARM_UP, ..settings().recovery },
            ..settings()
        };
        let mut play = Play {
            setup,
            harness: Harness::new(settings, 0, 0, 8.0),
            listed: Vec::new(),
            next_endpoint: FIRST_ENDPOINT,
            wait_ends_at: Duration::ZERO,
            waiting_route: FIRST_ENDPOINT,
            routes: Vec::new(),
            packets: Vec::new(),
        };
        play.list(FIRST_ENDPOINT);
        let packet = play.harness.submit(1, 0, 0, None)[0];
        play.harness.run_round();
        play.harness.complete(packet, Outcome::Full(Some(setup.wait)));
        play.wait_ends_at = play.harness.now + setup.wait;
        play.packets.push(packet);
        play
    }

    fn entry(endpoint: u32, route: u32, live: bool) -> ListEntry {
        ListEntry { route: RouteId(route.into()), ..list_entry(endpoint, 0, 0, 8.0, live) }
    }

    fn list(&mut self, route: u32) {
        let endpoint = self.next_endpoint;
        self.next_endpoint += 1;
        self.routes.push(route);
        self.listed.push((endpoint, route));
        self.harness.update_list(false, &[Self::entry(endpoint, route, true)]);
    }

    /// Performs a step and a round, and returns the rule that was broken.
    fn perform(&mut self, step: Step) -> Option<&'static str> {
        match step {
            Step::EndpointsGo => {
                let gone: Vec<_> = self
                    .listed
                    .drain(..)
                    .map(|(endpoint, route)| Self::entry(endpoint, route, false))
                    .collect();
                self.harness.update_list(false, &gone);
            }
            Step::NewEndpointComes => self.list(self.next_endpoint),
            Step::OldEndpointComes if self.listed.iter().any(|(_, route)| *route == FIRST_ENDPOINT) => {}
            Step::OldEndpointComes => self.list(FIRST_ENDPOINT),
            Step::PacketsHeld => self.packets.extend(self.harness.submit(4, 0, 0, None)),
            Step::PacketsEnd => {
                self.harness.complete_all(Outcome::Done);
                for packet in std::mem::take(&mut self.packets) {
                    self.harness.sender.withdraw(self.harness.now, PacketId(packet));
                }
            }
            Step::TimePasses(passed) => {
                self.harness.now += passed;
                self.harness.update_list(false, &[]);
            }
            Step::WholeList => {
                let listed = self.listed.iter();
                let entries: Vec<_> =
                    listed.map(|(endpoint, route)| Self::entry(*endpoint, *route, true)).collect();
                self.harness.update_list(true, &entries);
            }
        }
        let before = self.harness.host.in_flight.clone();
        self.harness.run_round();
        let dispatched = self.harness.host.in_flight.iter().filter(|(id, _)| !before.contains_key(id));
        let bound = dispatched.filter(|(_, (endpoint, _))| {
            let route = self.routes[(endpoint.0 - FIRST_ENDPOINT) as usize];
            !self.setup.per_route_limits || route == self.waiting_route
        });
        let (now, calls) = (self.harness.now, bound.count());
        let is_long = self.setup.wait > settings().categories[0].soft_limit;
        if calls > 0 && now < self.wait_ends_at {
            return Some("a call during a wait");
        }
        // One call at a time: while cold it handles half of eight calls per second.
        if calls > 1 && is_long && now < self.wait_ends_at + WARM_UP && self.setup.senders == 1 {
            return Some("more than one call at once to a destination that may be cold");
        }
        None
    }
}

/// Plays all sequences of a length; returns the first that breaks a rule.
fn first_broken(setup: Setup) -> Option<String> {
    let count = STEPS.len().pow(LENGTH);
    (0..count).find_map(|number| {
        let steps: Vec<Step> =
            (0..LENGTH).map(|at| STEPS[number / STEPS.len().pow(at) % STEPS.len()]).collect();
        let mut play = Play::new(setup);
        let broken = steps.iter().find_map(|step| play.perform(*step));
        broken.map(|rule| format!("{setup:?} {steps:?}: {rule}"))
    })
}

/// Guards against a wait, or the slow start behind it, that is forgotten with the last endpoint of a destination.
#[test]
fn a_told_wait_and_its_slow_start_outlast_the_endpoints() {
    let waits = [ms(1500), ms(4000), ms(14_000)];
    let setups = waits.into_iter().flat_map(|wait| {
        [(false, 1), (true, 1), (false, 300)].map(|(per_route_limits, senders)| Setup {
            wait,
            per_route_limits,
            senders,
        })
    });
    let broken: Vec<String> = thread::scope(|scope| {
        let plays: Vec<_> = setups.map(|setup| scope.spawn(move || first_broken(setup))).collect();
        plays.into_iter().filter_map(|play| play.join().expect("no panic")).collect()
    });
    assert!(broken.is_empty(), "{broken:#?}");
}

/// Guards against a wait in a late response that is lost since its endpoint has left the list.
#[test]
fn a_wait_that_a_departed_endpoint_still_tells_is_heeded() {
    let mut harness = Harness::new(settings(), 1, 0, 8.0);
    harness.submit(1, 0, 0, None);
    harness.run_round();
    harness.complete_all(Outcome::Done);
    harness.update_list(false, &[list_entry(0, 0, 0, 8.0, false)]);
    harness.now += ms(100);
    harness.sender.record_extra_response(harness.now, EndpointId(0), Some(ms(30_000)));
    harness.now += ms(20_000);
    harness.update_list(false, &[list_entry(1, 0, 0, 8.0, true)]);
    harness.submit(1, 0, 0, None);
    harness.run_round();
    assert_eq!(harness.in_flight(), Vec::<u64>::new(), "its wait lasts ten seconds longer");
    harness.now += ms(10_000);
    harness.advance(1000);
    assert_eq!(harness.in_flight().len(), 1, "the wait has ended");
}

/// Guards against what was learned of destinations that come and go piling up, and against waits being forgotten first.
#[test]
fn what_is_kept_of_destinations_that_come_and_go_is_bounded() {
    let mut harness = Harness::new(settings(), 0, 0, 8.0);
    let mut come_and_go = |destination: u32, outcome: Outcome| {
        harness.update_list(false, &[list_entry(destination, destination, 0, 8.0, true)]);
        let packet = harness.submit(1, destination.into(), 0, None)[0];
        harness.run_round();
        harness.complete(packet, outcome);
        harness.sender.withdraw(harness.now, PacketId(packet));
        harness.update_list(false, &[list_entry(destination, destination, 0, 8.0, false)]);
        harness.advance(1);
        assert!(harness.sender.active_destinations() <= 1, "{}", harness.sender.active_destinations());
        assert!(harness.sender.unused_upstreams() <= 4096, "{}", harness.sender.unused_upstreams());
    };
    come_and_go(0, Outcome::Full(Some(Duration::from_secs(600))));
    for destination in 1..20_000 {
        come_and_go(destination, Outcome::Done);
    }
    harness.update_list(false, &[list_entry(50_000, 0, 0, 8.0, true)]);
    let early = harness.submit(1, 0, 0, None)[0];
    harness.run_round();
    assert!(!harness.in_flight().contains(&early), "its wait is kept before what was merely learned");
}
