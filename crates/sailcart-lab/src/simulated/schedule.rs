//! What is known ahead of a run: load, changes of the list, troubles of senders and receivers, samples.

use std::time::Duration;

use super::event::Event;
use super::queue::Queue;
use super::world::World;
use crate::experiment::TroubleKind;
use crate::plan::{OriginId, Plan, SenderId, Struck};
use crate::receivers::TroubleSchedule;

/// A sender that stops as told lets calls come back for so long.
const STOPPING: Duration = Duration::from_secs(3);
/// From a sender's end to its being ready again.
const RESTART: Duration = Duration::from_millis(600);

impl World<'_> {
    /// Puts all that is known ahead into the queue.
    pub fn schedule(&mut self) {
        self.schedule_load();
        self.schedule_list_changes();
        self.schedule_sender_troubles();
        self.schedule_outages();
        self.schedule_samples();
    }

    fn schedule_load(&mut self) {
        for (at, origin) in self.plan.origins.iter().enumerate() {
            self.queue.push(origin.at, Event::HandIn { origin: OriginId(at), tries: 0 });
        }
    }

    fn schedule_list_changes(&mut self) {
        for sender in (0..self.senders.len()).map(SenderId) {
            for (nth, change) in self.plan.changes.iter().enumerate() {
                let at = self.plan.told_at(change, sender);
                self.queue.push(at, Event::ListChange { sender, change: nth });
            }
        }
    }

    fn schedule_sender_troubles(&mut self) {
        for struck in &self.plan.struck {
            match struck.trouble.kind {
                TroubleKind::Kill => schedule_kills(struck, &mut self.queue),
                TroubleKind::Roll => schedule_rolling_restart(struck, &mut self.queue),
                _ => {}
            }
        }
    }

    fn schedule_outages(&mut self) {
        let plan: &Plan = self.plan;
        let troubles = TroubleSchedule::new(plan);
        for place in &plan.places {
            let gate = self.gate(place.endpoint);
            for (from, _) in troubles.outages(place.endpoint) {
                self.queue.push(from, Event::OutageFrom(gate));
            }
        }
    }

    fn schedule_samples(&mut self) {
        for second in 0..self.plan.end().as_secs() {
            self.queue.push(Duration::from_secs(second), Event::Sample);
        }
    }
}

/// Senders die and start again.
fn schedule_kills(struck: &Struck, queue: &mut Queue<Event>) {
    for (at, sender, down) in struck.deaths(RESTART) {
        queue.push(at, Event::Kill(sender));
        queue.push(at + down, Event::Start(sender));
    }
}

/// Senders are stopped as told and started again, some at a time.
fn schedule_rolling_restart(struck: &Struck, queue: &mut Queue<Event>) {
    let wave = struck.trouble.count.unwrap_or(1).max(1);
    let waves = struck.senders.len().div_ceil(wave) as u32;
    for (at, senders) in struck.senders.chunks(wave).enumerate() {
        let begins = struck.from + (struck.until - struck.from) * at as u32 / waves;
        for sender in senders {
            queue.push(begins, Event::StopTaking(*sender));
            queue.push(begins + STOPPING, Event::Kill(*sender));
            queue.push(begins + STOPPING + RESTART, Event::Start(*sender));
        }
    }
}
