//! All interleavings of a few calls on one connection with a peer that answers, refuses or stays silent, and writes
//! up to two copies of its responses at any moment. At every moment, and so at a kill there, no packet may count
//! as delivered or as not executed unless its endpoint has written so.

use std::collections::VecDeque;
use std::time::Duration;

use sailcart::response_matching::{Attribution, Candidates, ResponseMatcher};

/// A response as its bytes tell it. Those with a number say something of their own.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Response {
    Delivered,
    DeliveredNumbered(usize),
    Refused,
    RefusedNumbered(usize),
}

impl Response {
    fn is_delivery(self) -> bool {
        matches!(self, Response::Delivered | Response::DeliveredNumbered(_))
    }

    fn fingerprint(self) -> u64 {
        match self {
            Response::Delivered => 1,
            Response::Refused => 2,
            Response::DeliveredNumbered(number) => 1000 + number as u64,
            Response::RefusedNumbered(number) => 2000 + number as u64,
        }
    }
}

/// What the sender holds of a packet whose call was sent.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Standing {
    InFlight,
    /// Completed without a notice.
    Delivered,
    /// Completed with a notice at its deadline.
    DeliveredOrNotified,
    /// To be dispatched again as if it had never been.
    NotExecuted,
    /// To be dispatched again only where that is harmless, or to be told as failed.
    PossiblyExecuted,
}

#[derive(Clone, Copy, Debug)]
struct Setup {
    max_calls: usize,
    /// Refusals in doubt wait for the response that a copy may have displaced.
    waits: bool,
    /// Each true response differs from all others.
    numbered: bool,
}

const MAX_COPIES: usize = 2;

#[derive(Clone)]
struct World {
    setup: Setup,
    matcher: ResponseMatcher<usize, Response>,
    standings: Vec<Standing>,
    /// What the peer has written in response to each call that it has handled.
    truths: Vec<Response>,
    /// Written by the peer, and not yet read.
    unread: VecDeque<Response>,
    copies: usize,
    in_flight: Option<usize>,
    /// A call whose refusal is in doubt, while the displaced response is awaited.
    undecided: Option<usize>,
    now: Duration,
    is_open: bool,
    has_extra: bool,
    history: Vec<String>,
}

impl World {
    fn new(setup: Setup) -> World {
        World {
            setup,
            matcher: ResponseMatcher::default(),
            standings: Vec::new(),
            truths: Vec::new(),
            unread: VecDeque::new(),
            copies: 0,
            in_flight: None,
            undecided: None,
            now: Duration::ZERO,
            is_open: true,
            has_extra: false,
            history: Vec::new(),
        }
    }

    fn after(&self, event: String, change: impl FnOnce(&mut World)) -> World {
        let mut next = self.clone();
        next.history.push(event);
        next.now += Duration::from_millis(1);
        change(&mut next);
        next
    }

    /// All worlds that one event makes of this one.
    fn successors(&self) -> Vec<World> {
        let mut worlds = Vec::new();
        let is_idle = self.in_flight.is_none() && self.undecided.is_none();
        if self.is_open && is_idle && !self.has_extra && self.standings.len() < self.setup.max_calls {
            worlds.push(self.after(format!("send {}", self.standings.len()), World::send));
        }
        if self.truths.len() < self.standings.len() {
            let number = self.truths.len();
            let responses = if self.setup.numbered {
                [Response::DeliveredNumbered(number), Response::RefusedNumbered(number)]
            } else {
                [Response::Delivered, Response::Refused]
            };
            for response in responses {
                worlds.push(self.after(format!("{response:?} for {number}"), |world| {
                    world.truths.push(response);
                    world.unread.push_back(response);
                }));
            }
        }
        if self.copies < MAX_COPIES {
            let mut written: Vec<Response> = Vec::new();
            self.truths.iter().for_each(|truth| {
                if !written.contains(truth) {
                    written.push(*truth);
                }
            });
            for response in written {
                worlds.push(self.after(format!("copy of {response:?}"), |world| {
                    world.copies += 1;
                    world.unread.push_back(response);
                }));
            }
        }
        if self.is_open && !self.unread.is_empty() {
            worlds.push(self.after("read".to_owned(), World::read));
        }
        if self.is_open && is_idle && self.matcher.awaits_response() {
            worlds.push(self.after("settle".to_owned(), |world| {
                let now = world.now;
                world.matcher.settle(now, Duration::ZERO);
            }));
        }
        if self.undecided.is_some() {
            worlds.push(self.after("no further response".to_owned(), |world| world.give_up()));
        }
        worlds
    }

    fn send(&mut self) {
        let call = self.standings.len();
        self.standings.push(Standing::InFlight);
        self.in_flight = Some(call);
        self.matcher.call_sent(call);
    }

    fn read(&mut self) {
        let Some(response) = self.unread.pop_front() else { return };
        let fingerprint = Some(response.fingerprint());
        let Some(call) = self.in_flight.take() else { return self.read_extra(response) };
        let attribution = self.matcher.response_received(self.now, fingerprint, response);
        let is_certain = attribution != Attribution::InDoubt;
        if response.is_delivery() {
            self.standings[call] =
                if is_certain { Standing::Delivered } else { Standing::DeliveredOrNotified };
            for confirmed in self.matcher.delivery_reported(call, attribution) {
                self.confirm(confirmed);
            }
            return;
        }
        self.matcher.refusal_reported();
        if is_certain {
            self.standings[call] = Standing::NotExecuted;
        } else {
            self.undecided = Some(call);
            if !self.setup.waits {
                self.give_up();
            }
        }
    }

    fn confirm(&mut self, call: usize) {
        if self.standings[call] == Standing::DeliveredOrNotified {
            self.standings[call] = Standing::Delivered;
        }
    }

    fn read_extra(&mut self, response: Response) {
        self.has_extra = true;
        let calls = self.matcher.extra_response_received(self.now, Some(response.fingerprint()), response);
        for Candidates { call, responses } in calls {
            let [response] = responses[..] else { continue };
            let is_open =
                self.undecided == Some(call) || self.standings[call] == Standing::DeliveredOrNotified;
            if !is_open {
                continue;
            }
            self.standings[call] =
                if response.is_delivery() { Standing::Delivered } else { Standing::NotExecuted };
            if self.undecided == Some(call) {
                self.undecided = None;
            }
        }
    }

    fn give_up(&mut self) {
        if let Some(call) = self.undecided.take() {
            self.standings[call] = Standing::PossiblyExecuted;
        }
        self.is_open = false;
    }

    fn check(&self) {
        for (call, standing) in self.standings.iter().enumerate() {
            let truth = self.truths.get(call).map(|truth| truth.is_delivery());
            let is_right = match standing {
                Standing::Delivered => truth == Some(true),
                Standing::NotExecuted => truth == Some(false),
                Standing::InFlight | Standing::DeliveredOrNotified | Standing::PossiblyExecuted => true,
            };
            assert!(is_right, "call {call} counts as {standing:?}: {:?} {:?}", self.setup, self.history);
        }
    }
}

fn explore(setup: Setup) -> usize {
    let mut worlds = vec![World::new(setup)];
    let mut explored = 0;
    while let Some(world) = worlds.pop() {
        world.check();
        explored += 1;
        worlds.extend(world.successors());
    }
    explored
}

// Guards against a packet that is lost or executed twice because a copy was read as another call's response.
#[test]
fn no_interleaving_of_calls_and_copies_settles_a_packet_by_another_call_s_response() {
    for waits in [false, true] {
        for numbered in [false, true] {
            let explored = explore(Setup { max_calls: 3, waits, numbered });
            assert!(explored > 1000, "{explored} states");
        }
    }
}

// Guards against the same on a connection with four calls, of which each outcome is checked at its end.
#[test]
fn no_order_of_responses_to_four_calls_confirms_a_delivery_that_was_refused() {
    let setup = Setup { max_calls: 4, waits: false, numbered: false };
    // Each response is read before the next call is sent, so the order in which they are written decides.
    let mut worlds = vec![World::new(setup)];
    while let Some(world) = worlds.pop() {
        world.check();
        let successors = world.successors().into_iter();
        worlds.extend(successors.filter(|next| {
            next.unread.len() <= 1 && next.history.last().is_none_or(|event| event != "settle")
        }));
    }
}
