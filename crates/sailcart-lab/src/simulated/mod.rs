//! Runs an experiment in simulated time: hundreds of senders on one event queue, each with its own seed and
//! no shared state. The same seed gives the same result, byte for byte.
//!
//! `world` holds the state; `schedule` puts the events known in advance into the `queue`. The other modules
//! each handle one concern: `clients` submit packets, `processes` starts and kills senders, `rounds` runs
//! their decisions, `dispatching` sends calls over `connections`, `reception` is the receiving side, and
//! `outcomes` completes calls.

mod call;
mod clients;
mod connections;
mod dispatching;
mod event;
mod outcomes;
mod processes;
mod queue;
mod reception;
mod rounds;
mod schedule;
mod sender;
mod submission;
mod world;

use std::time::Duration;

use sailcart::Outcome as CallOutcome;

use crate::events::EventLog;
use crate::experiment::Mode;
use crate::plan::{Plan, SenderId};
use crate::policies::{self, PolicyName};
use crate::results::Outcome;
use crate::watcher::Observation;
use event::Event;
use world::{MakePolicy, World};

/// Minimum simulated time between two progress reports.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(200);

/// Runs an experiment and returns its outcome. `progress` is called with the simulated time at intervals.
pub fn run(plan: &Plan, policy: PolicyName, log: EventLog, progress: &mut dyn FnMut(Duration)) -> Outcome {
    run_with(plan, policy, log, progress, &|seed| policies::start(policy, &plan.settings, seed))
}

/// Like [`run`], with senders made by `make_policy`. Tests use it to run faulty senders.
pub fn run_with(
    plan: &Plan,
    policy: PolicyName,
    log: EventLog,
    progress: &mut dyn FnMut(Duration),
    make_policy: &MakePolicy,
) -> Outcome {
    let mut world = World::new(plan, log, make_policy);
    world.schedule();
    for sender in 0..world.senders.len() {
        world.start_sender(SenderId(sender));
    }
    world.run_until_end(progress);
    world.tally.into_outcome(plan, Mode::Virtual, policy, &world.watcher, Vec::new())
}

impl World<'_> {
    /// Handles all events up to the end of the plan.
    fn run_until_end(&mut self, progress: &mut dyn FnMut(Duration)) {
        let end = self.plan.end();
        let mut last_progress = Duration::ZERO;
        while let Some((at, event)) = self.queue.pop().filter(|(at, _)| *at <= end) {
            self.now = at;
            self.handle(event);
            if at > last_progress + PROGRESS_INTERVAL {
                last_progress = at;
                progress(at);
            }
        }
        self.watcher.finish(end);
        self.log.finish();
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Submit { planned_packet, resubmissions } => self.submit(planned_packet, resubmissions),
            Event::Round { sender, process_number } => self.run_round(sender, process_number),
            Event::Connected(call) => self.on_connected(call),
            Event::ConnectFailed(call) => self.finish_call(call, CallOutcome::NoConnection),
            Event::Arrived(call) => self.on_arrived(call),
            Event::Answered(call) => self.on_answered(call),
            Event::AbortCall(call, outcome) => self.abort_call(call, outcome),
            Event::ListChange { sender, change } => self.apply_list_change(sender, change),
            Event::StopAccepting(sender) => self.senders[sender.0].accepting = false,
            Event::Kill(sender) => self.kill_sender(sender),
            Event::Start(sender) => self.start_sender(sender),
            Event::OutageStarted(upstream) => self.observe(Observation::OutageStarted(upstream)),
            Event::Sample => self.sample(),
        }
    }

    /// Samples the counters and closes expired connections, once a second.
    fn sample(&mut self) {
        self.tally.sample(self.now);
        self.close_expired();
    }
}
