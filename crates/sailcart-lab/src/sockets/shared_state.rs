//! The state that all parts of a run on sockets share: its clock, the model of the receivers, the watcher,
//! the tally, and every submission by packet id.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use sailcart::{EndpointId, PacketId};
use tokio::time::Instant;

use crate::events::EventLog;
use crate::experiment::{Mode, Repeat};
use crate::plan::{Plan, PlannedPacketId, SenderId};
use crate::policies::PolicyName;
use crate::receivers::{CallPacket, Receivers};
use crate::results::tally::{Counter, Tally};
use crate::results::{Cost, Outcome};
use crate::watcher::{CallId, CompletionKind, Observation, SubmittedPacket, UpstreamId, Watcher};

/// One submission of a packet. Each further submission of the same packet has an id of its own.
pub struct Submission {
    pub planned_packet: PlannedPacketId,
    pub sender: SenderId,
    /// How often the packet had been resubmitted after a dismissal; 0 until the first dismissal.
    pub resubmissions: u32,
    pub accepted: bool,
    pub completion: Option<CompletionKind>,
}

/// The state of one run.
pub struct SharedState {
    pub plan: Rc<Plan>,
    start: Cell<Instant>,
    pub receivers: RefCell<Receivers>,
    watcher: RefCell<Watcher>,
    pub tally: RefCell<Tally>,
    log: RefCell<EventLog>,
    submissions: RefCell<Vec<Submission>>,
    next_call: Cell<u64>,
    /// Number of submissions that have not completed.
    incomplete: Cell<usize>,
    /// Set if this process plays only the receivers or only the clients. A packet in a call is then
    /// identified by its idempotency key or id alone, and gets the number of a planned packet here when it is
    /// first seen.
    external_packets: Option<RefCell<HashMap<String, PlannedPacketId>>>,
    /// Dismissed packets that the clients are to submit again: planned packet, the new value of
    /// `resubmissions`, and the time since the start of the experiment.
    pub pending_resubmissions: RefCell<Vec<(PlannedPacketId, u32, Duration)>>,
}

impl SharedState {
    /// For a run in which this process plays clients and receivers.
    pub fn new(plan: Plan, log: EventLog) -> Rc<SharedState> {
        Rc::new(Self::build(plan, log, None))
    }

    /// For a run in which this process plays only the receivers or only the clients.
    pub fn standalone(plan: Plan) -> Rc<SharedState> {
        Rc::new(Self::build(plan, EventLog::default(), Some(RefCell::default())))
    }

    fn build(
        plan: Plan,
        log: EventLog,
        external_packets: Option<RefCell<HashMap<String, PlannedPacketId>>>,
    ) -> SharedState {
        SharedState {
            receivers: RefCell::new(Receivers::new(&plan)),
            watcher: RefCell::new(Watcher::new(&plan.experiment.rules)),
            tally: RefCell::new(Tally::new(&plan)),
            log: RefCell::new(log),
            plan: Rc::new(plan),
            start: Cell::new(Instant::now()),
            submissions: RefCell::default(),
            next_call: Cell::new(0),
            incomplete: Cell::new(0),
            external_packets,
            pending_resubmissions: RefCell::default(),
        }
    }

    /// Makes the present moment the start of the experiment.
    pub fn start_clock(&self) {
        self.start.set(Instant::now());
    }

    /// Time since the start of the experiment.
    pub fn now(&self) -> Duration {
        self.start.get().elapsed()
    }

    /// The instant at a time since the start of the experiment.
    pub fn instant(&self, at: Duration) -> Instant {
        self.start.get() + at
    }

    /// Writes an event to the log and reports it to the watcher.
    pub fn observe(&self, observation: Observation) {
        let now = self.now();
        self.log.borrow_mut().write(now, &observation);
        self.watcher.borrow_mut().observe(now, &observation);
    }

    /// The upstream of an endpoint: the unit that has a limit of its own.
    pub fn upstream(&self, endpoint: EndpointId) -> UpstreamId {
        UpstreamId(self.receivers.borrow().upstream(endpoint))
    }

    /// The number of a new call.
    pub fn next_call(&self) -> CallId {
        self.next_call.set(self.next_call.get() + 1);
        CallId(self.next_call.get())
    }

    /// Records a submission. The id that it returns is also the packet's id on the wire.
    pub fn record_submission(
        &self,
        planned_packet: PlannedPacketId,
        sender: SenderId,
        resubmissions: u32,
    ) -> PacketId {
        let mut submissions = self.submissions.borrow_mut();
        let packet = PacketId(submissions.len() as u64);
        submissions.push(Submission {
            planned_packet,
            sender,
            resubmissions,
            accepted: false,
            completion: None,
        });
        drop(submissions);
        let planned = &self.plan.planned_packets[planned_packet.0];
        self.tally.borrow_mut().increment(Counter::Submitted);
        self.tally.borrow_mut().adjust_held(planned.destination, true);
        self.incomplete.set(self.incomplete.get() + 1);
        self.observe(Observation::Submitted(SubmittedPacket::new(
            &self.plan,
            packet,
            planned_packet,
            sender,
        )));
        packet
    }

    /// The sender has accepted the packet.
    pub fn record_acceptance(&self, packet: PacketId) {
        let newly_accepted = {
            let mut submissions = self.submissions.borrow_mut();
            let submission = &mut submissions[packet.0 as usize];
            !std::mem::replace(&mut submission.accepted, true)
        };
        if newly_accepted {
            self.observe(Observation::Accepted(packet));
        }
    }

    /// The client got no usable reply and abandons this submission.
    pub fn record_abandonment(&self, packet: PacketId) {
        self.mark_completed(packet, CompletionKind::Dismissed);
        self.observe(Observation::Abandoned(packet));
    }

    /// Marks a submission as completed; true if it had not been.
    fn mark_completed(&self, packet: PacketId, completion: CompletionKind) -> bool {
        let mut submissions = self.submissions.borrow_mut();
        let submission = &mut submissions[packet.0 as usize];
        let first = submission.completion.is_none();
        submission.completion.get_or_insert(completion);
        if first {
            let destination = self.plan.planned_packets[submission.planned_packet.0].destination;
            self.tally.borrow_mut().adjust_held(destination, false);
            self.incomplete.set(self.incomplete.get() - 1);
        }
        first
    }

    /// The completion of a packet was reported to its client or by a notice. A dismissed packet may be
    /// submitted again, after `wait` at the earliest.
    pub fn record_completion(&self, packet: PacketId, completion: CompletionKind, wait: Duration) {
        if packet.0 as usize >= self.submissions.borrow().len() {
            return self.tally.borrow_mut().increment(Counter::UnmatchedCalls);
        }
        let first = self.mark_completed(packet, completion);
        self.observe(Observation::Completed(packet, completion));
        let (planned_packet, resubmissions) = {
            let submissions = self.submissions.borrow();
            (submissions[packet.0 as usize].planned_packet, submissions[packet.0 as usize].resubmissions)
        };
        match completion {
            CompletionKind::Done => {
                let after = self.now().saturating_sub(self.plan.planned_packets[planned_packet.0].at);
                self.tally.borrow_mut().record_delivery(planned_packet, after);
            }
            CompletionKind::Dismissed => self.tally.borrow_mut().increment(Counter::Dismissed),
            CompletionKind::Scrapped => self.tally.borrow_mut().increment(Counter::Scrapped),
        }
        let load = &self.plan.experiment.load;
        if completion == CompletionKind::Dismissed && first && resubmissions < load.again {
            let delay = load.pause.mul_f64(1.0 + (packet.0 % 50) as f64 / 100.0).max(wait);
            let at = self.now() + delay;
            if at < self.plan.resubmission_deadline(planned_packet) {
                self.pending_resubmissions.borrow_mut().push((planned_packet, resubmissions + 1, at));
            }
        }
    }

    /// The packet with this id on the wire; `None` if no client of this run submitted it. With external
    /// clients every hexadecimal number counts as the id of a packet.
    pub fn find_packet(&self, id: &str) -> Option<PacketId> {
        let number = u64::from_str_radix(id, 16).ok()?;
        if self.external_packets.is_some() {
            return Some(PacketId(number));
        }
        (number < self.submissions.borrow().len() as u64).then_some(PacketId(number))
    }

    /// The sender that the packet was submitted to; the first sender for a packet of an external client.
    pub fn sender(&self, packet: PacketId) -> SenderId {
        self.submissions.borrow().get(packet.0 as usize).map_or(SenderId(0), |submission| submission.sender)
    }

    /// The packet as the model of the receivers sees it.
    pub fn call_packet(&self, packet: PacketId, idempotency_key: Option<&str>) -> CallPacket {
        if let Some(external_packets) = &self.external_packets {
            // Only the idempotency key or the id shows which submissions belong to the same packet.
            let mut external_packets = external_packets.borrow_mut();
            let next = PlannedPacketId(external_packets.len());
            let packet_name = idempotency_key.map_or_else(|| format!("id {}", packet.0), str::to_owned);
            let memory = self.plan.experiment.categories.iter().filter_map(|c| c.memory).max();
            let repeat = if idempotency_key.is_some() { Repeat::Deduplicated } else { Repeat::Idempotent };
            let memory = if idempotency_key.is_some() { memory.unwrap_or_default() } else { Duration::ZERO };
            return CallPacket {
                planned_packet: *external_packets.entry(packet_name).or_insert(next),
                repeat,
                memory,
            };
        }
        CallPacket::new(&self.plan, self.submissions.borrow()[packet.0 as usize].planned_packet)
    }

    /// Reports a failed connection for each sender with incomplete packets for one of these endpoints. The
    /// lab cannot observe a connection attempt that fails, so it assumes that each such sender has made one.
    pub fn record_failed_connections(&self, upstream: UpstreamId, endpoints: &[EndpointId]) {
        let mut senders: Vec<SenderId> = Vec::new();
        for submission in
            self.submissions.borrow().iter().filter(|submission| submission.completion.is_none())
        {
            let destination = self.plan.planned_packets[submission.planned_packet.0].destination;
            if endpoints.iter().any(|endpoint| self.plan.endpoint(*endpoint).destination == destination) {
                senders.push(submission.sender);
            }
        }
        senders.sort();
        senders.dedup();
        for sender in senders {
            self.observe(Observation::ConnectionFailed { sender, upstream });
        }
    }

    /// Whether every submission has completed and none is to be repeated.
    pub fn is_settled(&self) -> bool {
        self.incomplete.get() == 0 && self.pending_resubmissions.borrow().is_empty()
    }

    /// The counts so far as one line of text.
    pub fn progress_line(&self) -> String {
        self.tally.borrow().progress_line()
    }

    /// Ends the checks of the watcher and returns the result of the run.
    pub fn finish(&self, mode: Mode, policy: PolicyName, cost: Vec<Cost>) -> Outcome {
        let mut watcher = self.watcher.borrow_mut();
        if self.external_packets.is_none() {
            watcher.finish(self.plan.end());
        }
        self.log.borrow_mut().finish();
        let tally = self.tally.replace(Tally::new(&self.plan));
        tally.into_outcome(&self.plan, mode, policy, &watcher, cost)
    }
}
