//! Events that are known before a run: load, changes of the list, troubles of senders and receivers, samples.

use std::time::Duration;

use super::event::Event;
use super::queue::Queue;
use super::world::World;
use crate::experiment::TroubleKind;
use crate::plan::{Plan, PlannedPacketId, ScheduledTrouble, SenderId};
use crate::receivers::TroubleSchedule;

/// Time that a sender has to complete its calls when it is stopped gracefully.
const STOP_TIMEOUT: Duration = Duration::from_secs(3);
/// Time from the end of a sender process until the next process of the sender is ready.
const RESTART_DELAY: Duration = Duration::from_millis(600);

impl World<'_> {
    /// Adds all events that are known in advance to the queue.
    pub fn schedule(&mut self) {
        self.schedule_load();
        self.schedule_list_changes();
        self.schedule_sender_troubles();
        self.schedule_outages();
        self.schedule_samples();
    }

    fn schedule_load(&mut self) {
        for (index, planned) in self.plan.planned_packets.iter().enumerate() {
            self.queue
                .push(planned.at, Event::Submit { planned_packet: PlannedPacketId(index), resubmissions: 0 });
        }
    }

    fn schedule_list_changes(&mut self) {
        for sender in (0..self.senders.len()).map(SenderId) {
            for (index, change) in self.plan.list_changes.iter().enumerate() {
                let at = self.plan.list_change_received_at(change, sender);
                self.queue.push(at, Event::ListChange { sender, change: index });
            }
        }
    }

    fn schedule_sender_troubles(&mut self) {
        for scheduled in &self.plan.scheduled_troubles {
            match scheduled.trouble.kind {
                TroubleKind::Kill => schedule_kills(scheduled, &mut self.queue),
                TroubleKind::Roll => schedule_rolling_restart(scheduled, &mut self.queue),
                _ => {}
            }
        }
    }

    fn schedule_outages(&mut self) {
        let plan: &Plan = self.plan;
        let troubles = TroubleSchedule::new(plan);
        for planned_endpoint in &plan.endpoints {
            let upstream = self.upstream(planned_endpoint.endpoint);
            for (from, _) in troubles.outages(planned_endpoint.endpoint) {
                self.queue.push(from, Event::OutageStarted(upstream));
            }
        }
    }

    fn schedule_samples(&mut self) {
        for second in 0..self.plan.end().as_secs() {
            self.queue.push(Duration::from_secs(second), Event::Sample);
        }
    }
}

/// Adds the kills of senders and their restarts.
fn schedule_kills(scheduled: &ScheduledTrouble, queue: &mut Queue<Event>) {
    for (at, sender, downtime) in scheduled.sender_kills(RESTART_DELAY) {
        queue.push(at, Event::Kill(sender));
        queue.push(at + downtime, Event::Start(sender));
    }
}

/// Adds graceful stops and restarts of senders, in waves of `count` senders.
fn schedule_rolling_restart(scheduled: &ScheduledTrouble, queue: &mut Queue<Event>) {
    let wave_size = scheduled.trouble.count.unwrap_or(1).max(1);
    let waves = scheduled.senders.len().div_ceil(wave_size) as u32;
    for (wave_index, senders) in scheduled.senders.chunks(wave_size).enumerate() {
        let starts_at = scheduled.from + (scheduled.until - scheduled.from) * wave_index as u32 / waves;
        for sender in senders {
            queue.push(starts_at, Event::StopAccepting(*sender));
            queue.push(starts_at + STOP_TIMEOUT, Event::Kill(*sender));
            queue.push(starts_at + STOP_TIMEOUT + RESTART_DELAY, Event::Start(*sender));
        }
    }
}
