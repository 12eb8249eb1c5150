//! Receives destination lists: stages a list while it is read, and applies it to the directory and the sender
//! in steps.

use std::borrow::Borrow;
use std::net::SocketAddr;

use sailcart::DestinationId;
use sailcart_store::Files;
use sailcart_terms::Names;
use tokio::task::yield_now;

use super::directory::{EndpointEntry, EndpointSpec};
use super::staged::{ListTooLarge, StagedList};
use super::update::{NamedChange, Step, Update};
use super::{Exchange, Inner};
use crate::memory::list_record::{EndpointChange, ListRecord, LiveEndpoint};
use crate::wire::discovery::Entry;

impl<F: Files> Exchange<F> {
    /// Begins to stage a list. At most `max_endpoints` endpoints may be live once it is in force. Only one
    /// list is staged at a time: an older one that is not fully applied yet is superseded.
    pub fn stage(&self, max_endpoints: usize) -> StagedList {
        StagedList::new(&mut self.inner.borrow_mut().host.directory, max_endpoints)
    }

    /// Adds entries in the order in which they are read. The cost is proportional to their number; only
    /// entries that differ from the directory take memory.
    ///
    /// # Errors
    /// Fails as soon as the list itself names more live endpoints than are allowed. Whether the endpoints
    /// that an incremental list adds fit together with those already in the directory is known only at its
    /// end, from [`fits`](Self::fits).
    pub fn add_entries(&self, staged: &mut StagedList, entries: Vec<Entry>) -> Result<(), ListTooLarge> {
        entries.iter().try_for_each(|entry| self.add_entry(staged, entry))
    }

    /// Checks whether a list that was read to its end may be applied, as a `full` list or as an incremental
    /// one.
    ///
    /// # Errors
    /// Fails if more endpoints than are allowed would be live.
    pub fn fits(&self, staged: &StagedList, full: bool) -> Result<(), ListTooLarge> {
        staged.fits(&self.inner.borrow().host.directory, full)
    }

    /// Applies a list; a `full` one replaces all earlier lists. A large list is applied in steps, and the
    /// task yields between them.
    ///
    /// The decision module receives only what differs, also from a full list. A list that does not
    /// [fit](Self::fits) is rejected with a log message. The future must not be dropped before it completes:
    /// the steps applied by then would stay in force.
    pub async fn apply(&self, staged: StagedList, full: bool) {
        let Some(mut update) = self.begin_update(staged, full) else { return };
        while !self.apply_step(&mut update) {
            yield_now().await;
        }
        self.inner.borrow_mut().host.has_current_list = true;
    }

    /// Applies, without yielding, the list that was known before this process started.
    pub fn apply_known_list<E: Borrow<Entry>>(&self, full: bool, entries: impl IntoIterator<Item = E>) {
        let mut staged = self.stage(usize::MAX);
        let added = entries.into_iter().try_for_each(|entry| self.add_entry(&mut staged, entry.borrow()));
        if let Err(error) = added {
            return log::error!("list: rejected, code=too_large {error}");
        }
        let Some(mut update) = self.begin_update(staged, full) else { return };
        while !self.apply_step(&mut update) {}
    }

    /// Applies a list in the same way, and treats it as current: the list of the sender's own configuration.
    pub fn apply_current_list<E: Borrow<Entry>>(&self, full: bool, entries: impl IntoIterator<Item = E>) {
        self.apply_known_list(full, entries);
        self.inner.borrow_mut().host.has_current_list = true;
    }

    /// Records the lists that are put in force from now on.
    pub fn record_lists(&self, record: ListRecord) {
        *self.list_record.borrow_mut() = Some(record);
    }

    /// Records that this version of the list is in force, as served by `discovery`.
    pub fn record_list_version(&self, version: u64, discovery: SocketAddr) {
        if let Some(record) = &mut *self.list_record.borrow_mut() {
            record.record_version(version, discovery);
        }
    }

    /// Records changes of the list. They are in force already: a process that is killed before the record was told of
    /// them only just now.
    fn record_changes(&self, changes: Vec<NamedChange>, names: &Names) {
        let Some(record) = &mut *self.list_record.borrow_mut() else { return };
        let kind_name = |number: u16| {
            let mut kinds = names.kinds.iter();
            kinds.find(|(_, kind)| **kind == usize::from(number)).map(|(name, _)| name.clone())
        };
        record.record(changes.into_iter().map(|change| {
            let live = change.live.and_then(|(spec, rate)| {
                let kind = kind_name(spec.kind)?;
                Some(LiveEndpoint { address: spec.address, destination: spec.destination.0, kind, rate })
            });
            EndpointChange { name: change.name.into(), live }
        }));
    }

    fn add_entry(&self, staged: &mut StagedList, entry: &Entry) -> Result<(), ListTooLarge> {
        let host = &mut self.inner.borrow_mut().host;
        let kind = host.names.kinds.get(&entry.kind).and_then(|kind| u16::try_from(*kind).ok());
        let Some(kind) = kind else {
            staged.log_unknown_kind(&entry.name, &entry.kind);
            return staged.skip_entry(&mut host.directory, &entry.name);
        };
        let spec =
            EndpointSpec { address: entry.address, destination: DestinationId(entry.destination), kind };
        let listed = EndpointEntry { name: &entry.name, spec, live: entry.live, rate: entry.rate };
        staged.add(&mut host.directory, &listed)
    }

    fn begin_update(&self, staged: StagedList, full: bool) -> Option<Update> {
        let host = &self.inner.borrow().host;
        if !staged.is_latest(&host.directory) {
            log::error!("list: abandoned as a newer one is being read, code=superseded");
            return None;
        }
        staged.log_unknown_kind_count();
        let fits = staged.fits(&host.directory, full);
        if let Err(error) = fits {
            log::error!("list: rejected, code=too_large {error}");
        }
        fits.ok().map(|()| Update::new(staged, full, &host.directory, host.clock.now()))
    }

    /// Performs one step of an update and passes its changes to the decision module. Returns true once the
    /// list is in force.
    fn apply_step(&self, update: &mut Update) -> bool {
        let Inner { sender, host, .. } = &mut *self.inner.borrow_mut();
        let (list_entries, last) = match update.step(&mut host.directory) {
            Step::Searched => return false,
            Step::Changes(list_entries) => (list_entries, false),
            Step::Last(list_entries) => (list_entries, true),
        };
        self.record_changes(update.take_changes(), &host.names);
        let removed = list_entries.iter().filter(|list_entry| !list_entry.live);
        host.endpoints_to_close.extend(removed.map(|list_entry| (list_entry.endpoint, "unlisted")));
        sender.update_list(host.clock.now(), false, &list_entries);
        self.round_requested.notify_one();
        last
    }
}
