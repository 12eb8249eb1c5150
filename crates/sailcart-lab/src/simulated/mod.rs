//! The module in simulated time: hundreds of senders on one event queue, each with its own seed and sharing
//! nothing. The same seed gives the same result, to the byte.
//!
//! `world` holds the state; `schedule` puts into the `queue` what is known ahead. The rest is what happens, by
//! concern: `clients` hand packets in, `lives` starts and kills senders, `rounds` lets them decide, `dispatching`
//! sends their calls over `connections`, `reception` is the receivers' side, and `outcomes` brings calls back.

mod call;
mod clients;
mod connections;
mod dispatching;
mod event;
mod lives;
mod outcomes;
mod queue;
mod reception;
mod rounds;
mod schedule;
mod sender;
mod submission;
mod world;

use std::time::Duration;

use sailcart::Outcome as CallOutcome;

use crate::events::Log;
use crate::experiment::Mode;
use crate::plan::{Plan, SenderId};
use crate::policies::{self, PolicyName};
use crate::results::Outcome;
use crate::watcher::Seen;
use event::Event;
use world::{MakePolicy, World};

/// How much simulated time passes at least from one word on progress to the next.
const PROGRESS: Duration = Duration::from_millis(200);

/// Plays an experiment; tells what came of it. `progress` hears the simulated time, now and then.
pub fn run(plan: &Plan, policy: PolicyName, log: Log, progress: &mut dyn FnMut(Duration)) -> Outcome {
    run_with(plan, policy, log, progress, &|seed| policies::start(policy, &plan.terms, seed))
}

/// The same with senders of one's own making, as tests do with wrong ones.
pub fn run_with(
    plan: &Plan,
    policy: PolicyName,
    log: Log,
    progress: &mut dyn FnMut(Duration),
    make_policy: &MakePolicy,
) -> Outcome {
    let mut world = World::new(plan, log, make_policy);
    world.schedule();
    for sender in 0..world.senders.len() {
        world.start(SenderId(sender));
    }
    world.play(progress);
    world.tally.outcome(plan, Mode::Virtual, policy, &world.watcher, Vec::new())
}

impl World<'_> {
    /// Lets everything happen that is due before the plan's end.
    fn play(&mut self, progress: &mut dyn FnMut(Duration)) {
        let end = self.plan.end();
        let mut told = Duration::ZERO;
        while let Some((at, event)) = self.queue.pop().filter(|(at, _)| *at <= end) {
            self.now = at;
            self.handle(event);
            if at > told + PROGRESS {
                told = at;
                progress(at);
            }
        }
        self.watcher.finish(end);
        self.log.finish();
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::HandIn { origin, tries } => self.hand_in(origin, tries),
            Event::Round { sender, life } => self.round(sender, life),
            Event::Connected(call) => self.connected(call),
            Event::NotConnected(call) => self.finish(call, CallOutcome::NoConnection),
            Event::Arrived(call) => self.arrived(call),
            Event::Answered(call) => self.answered(call),
            Event::GiveUp(call, outcome) => self.give_up(call, outcome),
            Event::ListChange { sender, change } => self.list_change(sender, change),
            Event::StopTaking(sender) => self.senders[sender.0].taking = false,
            Event::Kill(sender) => self.kill(sender),
            Event::Start(sender) => self.start(sender),
            Event::OutageFrom(gate) => self.see(Seen::OutageFrom(gate)),
            Event::Sample => self.sample(),
        }
    }

    /// Once a second.
    fn sample(&mut self) {
        self.tally.sample(self.now);
        self.close_expired();
    }
}
