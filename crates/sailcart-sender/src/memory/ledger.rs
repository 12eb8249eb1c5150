//! The ledger: accepted packets, pending notices and recently completed ids, each backed by the journal.
//!
//! An action whose record must be on disk first is refused while the state folder cannot be written. What
//! has already happened is recorded as soon as the folder can be written again. Until then it is reported
//! only where a later process, which would not find the record, cannot contradict the report.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::io;
use std::path::Path;
use std::rc::Rc;

use sailcart::PacketId;
use sailcart_store::{Change, Disk, Files, Store, StoreError, StoreOptions, SyncPolicy};

use super::backlog::{Backlog, ChangeGroup, OwnedChange};
use super::format1;
use super::moment::Moment;
use super::records::{self, Record, RecordKind, key};
use super::{DispatchState, Execution, Notice, Packet};

struct HeldPacket {
    packet: Rc<Packet>,
    dispatch_state: DispatchState,
}

/// A notice that the platform has not acknowledged.
struct PendingNotice {
    id: Box<str>,
    notice: Notice,
    /// After the packet's deadline no process dispatches it again. `None` for a notice of a previous
    /// process, whose record is on disk.
    deadline: Option<Moment>,
    /// Sent only once the packet's deadline has passed: it may have been delivered.
    waits_for_deadline: bool,
}

/// The most recently completed packets by the id that the client chose.
#[derive(Default)]
struct CompletedIds {
    /// The notice that the client received in place of an acceptance; `None` if the packet was accepted.
    rejections: HashMap<Box<str>, Option<Notice>>,
    order: VecDeque<Box<str>>,
    max_ids: usize,
}

impl CompletedIds {
    fn insert(&mut self, client_id: &str, rejection: Option<Notice>) {
        if self.rejections.insert(client_id.into(), rejection).is_none() {
            self.order.push_back(client_id.into());
        }
        while self.order.len() > self.max_ids {
            self.order.pop_front().and_then(|first| self.rejections.remove(&first));
        }
    }
}

/// The ids of completed packets may use this fraction (one sixteenth) of the journal's capacity.
const COMPLETED_IDS_CAPACITY_DIVISOR: u64 = 16;
/// Approximate size of a completed id in the journal.
const COMPLETED_ID_BYTES: u64 = 96;

/// Accepted packets, pending notices and completed ids, in memory and in the journal.
pub struct Ledger<F: Files = Disk> {
    store: Store<F>,
    held: BTreeMap<PacketId, HeldPacket>,
    pending_notices: BTreeMap<PacketId, PendingNotice>,
    numbers_by_id: HashMap<Box<str>, PacketId>,
    completed_ids: CompletedIds,
    /// Completed packets whose ids are in the store, oldest first.
    stored_completed: VecDeque<PacketId>,
    max_stored_completed: usize,
    next_number: u64,
    /// Capacity of the store set aside for further records of the accepted packets.
    reserved_bytes: u64,
    /// Changes that have happened and could not be written yet.
    backlog: Backlog,
    /// Writes are failing, and this has been logged.
    write_failure_logged: bool,
    /// The last submitted packet did not fit, and this has been logged.
    no_space_logged: bool,
}

/// A dispatch of this process whose record is in the journal. Only such a dispatch has an outcome to record.
#[derive(Clone, Copy, Debug)]
pub struct RecordedDispatch {
    sent_at: Moment,
}

impl RecordedDispatch {
    /// The state of its packet once it has completed, from the state while it was in flight.
    pub fn state_after(self, in_flight: DispatchState, execution: Execution) -> DispatchState {
        in_flight.after_outcome(self.sent_at, execution)
    }
}

impl Ledger {
    /// Opens the journal in `folder`, migrates a journal of format 1, and restores what they contain.
    ///
    /// The folder may take up to `capacity_bytes`. Up to `max_completed` completed ids are remembered in
    /// memory; across a restart only as many of them as fit into a sixteenth of the capacity.
    ///
    /// # Errors
    /// The errors of [`Store::open`]; a record of an unknown kind; a journal file in the folder that is not
    /// of format 1.
    pub fn open(
        folder: &Path,
        capacity_bytes: u64,
        max_completed: usize,
        sync: SyncPolicy,
    ) -> io::Result<Self> {
        let options = StoreOptions { capacity_bytes, sync };
        let mut ledger = Ledger::restore(Disk::new(folder), options, max_completed).map_err(|error| {
            if error.kind() == io::ErrorKind::WouldBlock {
                let message = format!("{} is in use by another sender", folder.display());
                return io::Error::new(io::ErrorKind::WouldBlock, message);
            }
            error
        })?;
        ledger.migrate_format1(folder)?;
        Ok(ledger)
    }
}

impl<F: Files> Ledger<F> {
    /// Opens the journal in a folder's `files` and restores what it contains.
    ///
    /// # Errors
    /// The errors of [`Store::open`], as [`io::ErrorKind::WouldBlock`] if another process has the folder open; a
    /// record of an unknown kind.
    pub fn restore(files: F, options: StoreOptions, max_completed: usize) -> io::Result<Self> {
        let opened = Store::open(files, options);
        let (store, recovered) = opened.map_err(|error| match error {
            StoreError::InUse => io::ErrorKind::WouldBlock.into(),
            other => io::Error::from(other),
        })?;
        if recovered.torn_bytes > 0 {
            log::warn!(
                "journal: code=torn truncated {} bytes at the end, read {} records",
                recovered.torn_bytes,
                recovered.frames
            );
        }
        let completed_ids_capacity = options.capacity_bytes / COMPLETED_IDS_CAPACITY_DIVISOR;
        let max_stored_completed = max_completed.min((completed_ids_capacity / COMPLETED_ID_BYTES) as usize);
        let mut ledger = Ledger {
            store,
            held: BTreeMap::new(),
            pending_notices: BTreeMap::new(),
            numbers_by_id: HashMap::new(),
            completed_ids: CompletedIds { max_ids: max_completed, ..CompletedIds::default() },
            stored_completed: VecDeque::new(),
            max_stored_completed,
            next_number: 0,
            reserved_bytes: 0,
            backlog: Backlog::default(),
            write_failure_logged: false,
            no_space_logged: false,
        };
        ledger.load_records()?;
        Ok(ledger)
    }

    /// Keys are ordered by record kind, so each packet is read before its dispatch state and its notice.
    fn load_records(&mut self) -> io::Result<()> {
        let keys: Vec<Box<[u8]>> = self.store.keys(&[], None).map(Box::from).collect();
        for key in keys {
            let Some(value) = self.store.get(&key)? else { continue };
            let record = records::decode(&key, &value);
            match record.ok_or_else(|| unknown_record(&key))? {
                Record::Packet(packet) => self.insert(packet),
                Record::DispatchState(number, state) => {
                    self.held.entry(number).and_modify(|held| held.dispatch_state = state);
                }
                Record::PendingNotice(number, client_id, notice) => {
                    self.completed_ids.insert(&client_id, None);
                    self.next_number = self.next_number.max(number.0 + 1);
                    self.pending_notices.insert(
                        number,
                        PendingNotice { id: client_id, notice, deadline: None, waits_for_deadline: false },
                    );
                }
                Record::Completed(number, client_id, rejection) => {
                    self.completed_ids.insert(&client_id, rejection);
                    self.next_number = self.next_number.max(number.0 + 1);
                    self.stored_completed.push_back(number);
                }
            }
        }
        Ok(())
    }

    /// Migrates a journal of format 1. No new packet is accepted before all of its records are on disk in
    /// the store, so that a start that was interrupted half-way can repeat the migration.
    fn migrate_format1(&mut self, folder: &Path) -> io::Result<()> {
        let Some(records) = format1::read(folder)? else { return Ok(()) };
        let count = records.len();
        for record in records {
            match record {
                format1::Record::Accepted(packet) => self.accept(packet)?,
                format1::Record::DispatchState(number, state) => self.update_dispatch_state(number, state),
                format1::Record::PendingNotice(number, _, notice) => {
                    self.complete_with_notice(number, notice)
                }
                format1::Record::Completed(number) => {
                    self.complete(number);
                    self.acknowledge_notices(&[number]);
                }
            }
        }
        self.write_backlog()?;
        self.store.sync()?;
        format1::remove(folder)?;
        log::info!("journal: code=carried_over {count} records of format 1");
        Ok(())
    }

    fn insert(&mut self, packet: Packet) {
        self.reserved_bytes += Self::reservation(&packet);
        self.next_number = self.next_number.max(packet.number.0 + 1);
        self.numbers_by_id.insert(packet.id.clone(), packet.number);
        let held = HeldPacket { packet: Rc::new(packet), dispatch_state: DispatchState::default() };
        self.held.insert(held.packet.number, held);
    }

    fn remove(&mut self, number: PacketId, rejection: Option<Notice>) -> Option<HeldPacket> {
        let removed = self.held.remove(&number)?;
        self.completed_ids.insert(&removed.packet.id, rejection);
        self.reserved_bytes -= Self::reservation(&removed.packet);
        self.numbers_by_id.remove(&removed.packet.id);
        Some(removed)
    }

    /// Bytes that the further records of a packet may take: its dispatch state, its notice and its
    /// completion.
    fn reservation(packet: &Packet) -> u64 {
        let (moment, notice) = (packet.deadline, Notice::Dismissed(Some(Default::default())));
        let state = DispatchState {
            possibly_executed_at: Some(moment),
            in_flight_since: Some(moment),
            dispatches: 0,
        };
        let live_size = |kind, value: &[u8]| Store::<F>::live_size(&key(kind, packet.number), value);
        live_size(RecordKind::DispatchState, &records::encode_dispatch_state(&state))
            + live_size(RecordKind::PendingNotice, &records::encode_pending_notice(&packet.id, &notice))
            + live_size(RecordKind::Completed, &records::encode_completed(&packet.id, Some(&notice)))
    }

    /// The number for the next packet to be accepted.
    pub fn next_number(&self) -> PacketId {
        PacketId(self.next_number)
    }

    /// The number of an accepted packet that has not completed.
    pub fn number_of(&self, client_id: &str) -> Option<PacketId> {
        self.numbers_by_id.get(client_id).copied()
    }

    /// Whether a packet with this id has completed, as far as that is remembered. The inner value is the
    /// notice that its client received in place of an acceptance, if any.
    pub fn completed(&self, client_id: &str) -> Option<Option<Notice>> {
        self.completed_ids.rejections.get(client_id).copied()
    }

    /// An accepted packet that has not completed.
    pub fn packet(&self, number: PacketId) -> Option<&Rc<Packet>> {
        self.held.get(&number).map(|held| &held.packet)
    }

    /// The dispatch state of an accepted packet that has not completed.
    pub fn dispatch_state(&self, number: PacketId) -> DispatchState {
        self.held.get(&number).map(|held| held.dispatch_state).unwrap_or_default()
    }

    /// All accepted packets that have not completed, in order of acceptance.
    pub fn uncompleted_packets(&self) -> Vec<Rc<Packet>> {
        self.held.values().map(|held| held.packet.clone()).collect()
    }

    fn fits(&self, required_bytes: u64) -> bool {
        self.store.live_bytes() + self.reserved_bytes + required_bytes
            <= self.store.options().max_live_bytes()
    }

    /// Accepts a packet and records it.
    ///
    /// # Errors
    /// [`io::ErrorKind::StorageFull`] if the packet with all its further records does not fit; otherwise
    /// the error of the write. The packet is not accepted then.
    pub fn accept(&mut self, packet: Packet) -> io::Result<()> {
        let (key, value) = (key(RecordKind::Packet, packet.number), records::encode_packet(&packet));
        let required = Store::<F>::live_size(&key, &value) + Self::reservation(&packet);
        if !self.fits(required) {
            if !std::mem::replace(&mut self.no_space_logged, true) {
                log::warn!(
                    "journal: code=no_room for more packets; new ones are dismissed until others complete"
                );
            }
            return Err(io::ErrorKind::StorageFull.into());
        }
        match self.write_after_backlog(&[Change::Put(&key, &value)]) {
            // After a failed sync the record may be on disk, so the packet is accepted. Its client is
            // informed with the commit that makes the record durable.
            Ok(()) | Err(StoreError::SyncFailed { .. }) => {}
            Err(error) => return Err(error.into()),
        }
        if std::mem::take(&mut self.no_space_logged) {
            log::info!("journal: code=room_again");
        }
        self.insert(packet);
        Ok(())
    }

    /// Records that a call with these packets is about to be sent, in one atomic write.
    ///
    /// # Errors
    /// The record could not be written or, where records have to survive a power loss, could not be synced.
    /// The call must not be sent then.
    pub fn record_dispatch(&mut self, numbers: &[PacketId], at: Moment) -> io::Result<RecordedDispatch> {
        let held: Vec<PacketId> =
            numbers.iter().copied().filter(|number| self.held.contains_key(number)).collect();
        let old_states: Vec<_> = held.iter().map(|number| (*number, self.dispatch_state(*number))).collect();
        let new_states: Vec<_> =
            old_states.iter().map(|(number, old)| (*number, old.after_dispatch(at))).collect();
        let records = new_states.iter().map(|(number, state)| {
            (key(RecordKind::DispatchState, *number), records::encode_dispatch_state(state))
        });
        let records: Vec<_> = records.collect();
        let changes: Vec<_> = records.iter().map(|(key, value)| Change::Put(key, value)).collect();
        let written = self.write_after_backlog(&changes);
        let may_be_stored = matches!(written, Ok(()) | Err(StoreError::SyncFailed { .. }));
        let synced = written.and_then(|()| self.sync());
        if synced.is_ok() {
            new_states.into_iter().for_each(|(number, state)| self.set_dispatch_state(number, state));
        } else if may_be_stored {
            // The record may be valid although the call is not sent: overwrite it.
            old_states.into_iter().for_each(|(number, state)| self.update_dispatch_state(number, state));
        }
        Ok(synced.map(|()| RecordedDispatch { sent_at: at })?)
    }

    /// Records that a dispatch completed without completing its packet.
    pub fn record_outcome(&mut self, number: PacketId, dispatch: RecordedDispatch, execution: Execution) {
        let old = self.dispatch_state(number);
        let state = dispatch.state_after(old, execution);
        if state != old {
            self.update_dispatch_state(number, state);
        }
    }

    /// Sets the state in memory only.
    fn set_dispatch_state(&mut self, number: PacketId, state: DispatchState) {
        self.held.entry(number).and_modify(|held| held.dispatch_state = state);
    }

    /// Sets the state and records it.
    fn update_dispatch_state(&mut self, number: PacketId, state: DispatchState) {
        if self.held.contains_key(&number) {
            self.set_dispatch_state(number, state);
            let change = OwnedChange::Put(
                key(RecordKind::DispatchState, number),
                records::encode_dispatch_state(&state),
            );
            self.write_or_defer(ChangeGroup { packet: number, changes: vec![change] });
        }
    }

    /// Completes a packet for which no notice is needed.
    pub fn complete(&mut self, number: PacketId) {
        if let Some(removed) = self.remove(number, None) {
            self.record_completion(number, &removed.packet.id);
        }
    }

    fn record_completion(&mut self, number: PacketId, client_id: &str) {
        let changes = self.completion_changes(number, client_id, None);
        self.push_stored_completed(number);
        self.write_or_defer(ChangeGroup { packet: number, changes });
    }

    /// Completes a packet whose client has received no reply yet. The client must receive `rejection` after
    /// the next [`commit`](Self::commit) that succeeds.
    ///
    /// Returns false and changes nothing if the completion cannot be recorded: the next process would find
    /// the packet accepted.
    #[must_use]
    pub fn complete_rejected(&mut self, number: PacketId, rejection: Notice) -> bool {
        let Some(client_id) = self.held.get(&number).map(|held| held.packet.id.clone()) else { return true };
        let changes = self.completion_changes(number, &client_id, Some(rejection));
        let written =
            self.write_after_backlog(&changes.iter().map(OwnedChange::as_change).collect::<Vec<_>>());
        // After a failed sync the record may be on disk; the client is informed once it is known to be.
        let may_be_stored = matches!(written, Ok(()) | Err(StoreError::SyncFailed { .. }));
        if may_be_stored {
            self.remove(number, Some(rejection));
            self.push_stored_completed(number);
        }
        may_be_stored
    }

    /// The changes that remove all records of a packet. Its id stays in the store for a while, so that a
    /// packet resubmitted after a restart is recognized; the oldest such id makes space for it.
    fn completion_changes(
        &self,
        number: PacketId,
        client_id: &str,
        rejection: Option<Notice>,
    ) -> Vec<OwnedChange> {
        let removals = [RecordKind::Packet, RecordKind::DispatchState, RecordKind::PendingNotice]
            .map(|kind| OwnedChange::Delete(key(kind, number)));
        let mut changes = Vec::from(removals);
        if self.stored_completed.len() >= self.max_stored_completed {
            changes.extend(
                self.stored_completed
                    .front()
                    .map(|first| OwnedChange::Delete(key(RecordKind::Completed, *first))),
            );
        }
        if self.max_stored_completed > 0 {
            changes.push(OwnedChange::Put(
                key(RecordKind::Completed, number),
                records::encode_completed(client_id, rejection.as_ref()),
            ));
        }
        changes
    }

    /// Applies to `stored_completed` what [`completion_changes`](Self::completion_changes) does in the store.
    fn push_stored_completed(&mut self, number: PacketId) {
        if self.stored_completed.len() >= self.max_stored_completed {
            self.stored_completed.pop_front();
        }
        if self.max_stored_completed > 0 {
            self.stored_completed.push_back(number);
        }
    }

    /// Completes a packet and records its notice as pending.
    pub fn complete_with_notice(&mut self, number: PacketId, notice: Notice) {
        self.complete_with(number, notice, false);
    }

    /// Completes a packet that may have been delivered, and records its notice as pending. It may be sent once
    /// the packet's deadline has passed, or by a later process.
    pub fn complete_with_notice_at_deadline(&mut self, number: PacketId, notice: Notice) {
        self.complete_with(number, notice, true);
    }

    fn complete_with(&mut self, number: PacketId, notice: Notice, waits_for_deadline: bool) {
        let Some(removed) = self.remove(number, None) else { return };
        let client_id = removed.packet.id.clone();
        let removals = [RecordKind::Packet, RecordKind::DispatchState]
            .map(|kind| OwnedChange::Delete(key(kind, number)));
        let mut changes = Vec::from(removals);
        changes.push(OwnedChange::Put(
            key(RecordKind::PendingNotice, number),
            records::encode_pending_notice(&client_id, &notice),
        ));
        self.next_number = self.next_number.max(number.0 + 1);
        let deadline = Some(removed.packet.deadline);
        self.pending_notices
            .insert(number, PendingNotice { id: client_id, notice, deadline, waits_for_deadline });
        self.write_or_defer(ChangeGroup { packet: number, changes });
    }

    /// The notices that the platform has not acknowledged, without those that wait for the deadline of a
    /// packet that may have been delivered.
    pub fn due_notices(&self, has_passed: impl Fn(Moment) -> bool) -> usize {
        let is_due = |pending: &&PendingNotice| {
            !pending.waits_for_deadline || pending.deadline.is_none_or(&has_passed)
        };
        self.pending_notices.values().filter(is_due).count()
    }

    /// Takes back a packet's notice that waits for its deadline, so that it can be dispatched again. Both are
    /// recorded before this returns.
    ///
    /// # Errors
    /// Those of [`accept`](Self::accept). The packet stays completed then.
    pub fn reopen(&mut self, packet: &Packet, state: DispatchState) -> io::Result<()> {
        let number = packet.number;
        let (value, state_value) = (records::encode_packet(packet), records::encode_dispatch_state(&state));
        let packet_key = key(RecordKind::Packet, number);
        if !self.fits(Store::<F>::live_size(&packet_key, &value) + Self::reservation(packet)) {
            return Err(io::ErrorKind::StorageFull.into());
        }
        let changes = [
            OwnedChange::Put(packet_key, value),
            OwnedChange::Put(key(RecordKind::DispatchState, number), state_value),
            OwnedChange::Delete(key(RecordKind::PendingNotice, number)),
            OwnedChange::Delete(key(RecordKind::Completed, number)),
        ];
        let written =
            self.write_after_backlog(&changes.iter().map(OwnedChange::as_change).collect::<Vec<_>>());
        if let Err(error) = written {
            // After a failed sync the records may be on disk: they are removed again.
            let removals = [RecordKind::Packet, RecordKind::DispatchState]
                .map(|kind| OwnedChange::Delete(key(kind, number)));
            self.write_or_defer(ChangeGroup { packet: number, changes: removals.into() });
            return Err(error.into());
        }
        self.pending_notices.remove(&number);
        self.insert(packet.clone());
        self.set_dispatch_state(number, state);
        Ok(())
    }

    /// All notices that the platform has not acknowledged.
    pub fn pending_notices(&self) -> impl Iterator<Item = (PacketId, &str, Notice)> {
        self.pending_notices.iter().map(|(number, pending)| (*number, &*pending.id, pending.notice))
    }

    /// The pending notices that may be sent: those whose completion is on disk, and those whose packet's
    /// deadline has passed, since no process dispatches such a packet again.
    pub fn sendable_notices(
        &self,
        has_passed: impl Fn(Moment) -> bool,
    ) -> impl Iterator<Item = (PacketId, &str, Notice)> {
        let all_recorded = self.is_recorded();
        let may_be_sent = move |number: &PacketId, pending: &PendingNotice| match pending.deadline {
            None => true,
            Some(deadline) if pending.waits_for_deadline => has_passed(deadline),
            Some(deadline) => {
                all_recorded
                    || has_passed(deadline)
                    || !(self.store.needs_sync() || self.backlog.contains(*number))
            }
        };
        let sendable =
            self.pending_notices.iter().filter(move |(number, pending)| may_be_sent(number, pending));
        sendable.map(|(number, pending)| (*number, &*pending.id, pending.notice))
    }

    /// Records that the platform has acknowledged the notices of these packets. Returns those packets that may
    /// have been delivered.
    pub fn acknowledge_notices(&mut self, numbers: &[PacketId]) -> Vec<PacketId> {
        let mut possibly_delivered = Vec::new();
        for number in numbers {
            if let Some(pending) = self.pending_notices.remove(number) {
                possibly_delivered.extend(pending.waits_for_deadline.then_some(*number));
                self.record_completion(*number, &pending.id);
            }
        }
        possibly_delivered
    }

    /// Withdraws the notices of these packets that wait for the deadline: the packets were delivered.
    pub fn withdraw_notices_at_deadline(&mut self, numbers: &[PacketId]) {
        for number in numbers {
            if self.pending_notices.get(number).is_some_and(|pending| pending.waits_for_deadline) {
                self.acknowledge_notices(&[*number]);
            }
        }
    }

    /// Whether any pending notice does not wait for the deadline of a packet that may have been delivered.
    pub fn has_notice_to_send(&self) -> bool {
        self.pending_notices.values().any(|pending| !pending.waits_for_deadline)
    }

    /// Whether everything that has happened is in the journal and synced as the settings require.
    pub fn is_recorded(&self) -> bool {
        self.backlog.is_empty() && !self.store.needs_sync()
    }

    /// The number of change groups that could not be written yet.
    pub fn unwritten_groups(&self) -> usize {
        self.backlog.len()
    }

    /// Writes as much of the backlog as possible, then syncs the store if the journal has to survive a
    /// power loss. A round's replies are sent only after this has succeeded.
    ///
    /// # Errors
    /// The sync failed. Nothing written since the last successful sync may be reported until a later call
    /// succeeds.
    pub fn commit(&mut self) -> io::Result<()> {
        // On failure the rest of the backlog waits for the next call; the failure has been logged.
        let _unwritten = self.write_backlog();
        Ok(self.sync()?)
    }

    fn sync(&mut self) -> Result<(), StoreError> {
        let synced = if self.store.needs_sync() { self.store.sync() } else { return Ok(()) };
        self.log_write_health(&synced);
        synced
    }

    /// Writes changes that must be on disk before the action they describe. The backlog goes first, to keep
    /// the order.
    fn write_after_backlog(&mut self, changes: &[Change]) -> Result<(), StoreError> {
        self.write_backlog()?;
        self.write(changes)
    }

    /// Writes changes that follow from past events, or appends them to the backlog if that fails.
    fn write_or_defer(&mut self, group: ChangeGroup) {
        // After a failure the next call that succeeds writes the rest of the backlog.
        let backlog_written = self.write_backlog().is_ok();
        if !backlog_written || self.write(&group.as_changes()).is_err() {
            self.backlog.push(group);
        }
    }

    fn write_backlog(&mut self) -> Result<(), StoreError> {
        while let Some(group) = self.backlog.first() {
            let written = self.store.write(&group.as_changes());
            self.log_write_health(&written);
            written?;
            self.backlog.remove_first();
        }
        Ok(())
    }

    fn write(&mut self, changes: &[Change]) -> Result<(), StoreError> {
        let written = self.store.write(changes);
        self.log_write_health(&written);
        written
    }

    /// Logs one line when writes begin to fail, and one when they succeed again.
    fn log_write_health(&mut self, written: &Result<(), StoreError>) {
        match written {
            Err(error) if !std::mem::replace(&mut self.write_failure_logged, true) => {
                log::error!(
                    "journal: code={} {error}; no packet is accepted until a write succeeds",
                    error.code()
                );
            }
            Ok(()) if std::mem::take(&mut self.write_failure_logged) => {
                log::info!("journal: code=written_again waiting={}", self.backlog.len());
            }
            _ => {}
        }
    }
}

fn unknown_record(key: &[u8]) -> io::Error {
    let message = format!("a record of a kind that this version does not know ({:?})", key.first());
    io::Error::new(io::ErrorKind::InvalidData, message)
}
