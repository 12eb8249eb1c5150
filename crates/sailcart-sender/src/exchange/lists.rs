//! The destination list: what it tells the sender, and what is forgotten with it.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use sailcart::{DestinationId, EndpointId, KindId, Listing};

use super::desk::Desk;
use super::{Exchange, Within};
use crate::wire::discovery::{Entry, List};

/// A destination that was not listed for so long is not known any more.
const FORGOTTEN: Duration = Duration::from_secs(3600);

/// What an endpoint is; one of which any of this changes is another endpoint.
#[derive(PartialEq)]
pub(super) struct Place {
    pub(super) address: SocketAddr,
    pub(super) destination: DestinationId,
    pub(super) kind: usize,
}

impl Place {
    /// As the sender hears of it when it is no longer live.
    fn line(&self, endpoint: EndpointId, rate: f64) -> Listing {
        Listing { endpoint, destination: self.destination, kind: KindId(self.kind), live: false, rate }
    }
}

impl Exchange {
    /// The destination list as last known before this life.
    pub fn known(&self, list: &List) {
        let Within { sender, desk, .. } = &mut *self.within.borrow_mut();
        let lines = desk.listings(list);
        sender.list(desk.clock.now(), list.whole, &lines);
        self.bell.notify_one();
    }

    /// News of the destination list.
    pub fn list(&self, list: &List) {
        self.known(list);
        self.within.borrow_mut().desk.told = true;
    }
}

impl Desk {
    /// What a list tells the sender. What has left it is forgotten here, so that a new endpoint at an address
    /// that was in use, or a new place for an old name, inherits nothing.
    fn listings(&mut self, list: &List) -> Vec<Listing> {
        let mut lines = Vec::new();
        if list.whole {
            let listed: HashSet<&str> = list.entries.iter().map(|entry| &*entry.name).collect();
            let gone = self.endpoints.keys().filter(|name| !listed.contains(&***name));
            for name in gone.cloned().collect::<Vec<_>>() {
                self.forget(&name, &mut lines);
            }
        }
        for entry in &list.entries {
            self.read_entry(entry, &mut lines);
        }
        let now = self.clock.now();
        self.destinations.extend(self.places.values().map(|place| (place.destination, now)));
        self.destinations.retain(|_, listed| now.saturating_sub(*listed) < FORGOTTEN);
        lines
    }

    fn read_entry(&mut self, entry: &Entry, lines: &mut Vec<Listing>) {
        let Some(kind) = self.names.kinds.get(&entry.kind).copied() else {
            return log::warn!("list: endpoint {} passed over, unknown kind {}", entry.name, entry.kind);
        };
        let place = Place { address: entry.address, destination: DestinationId(entry.destination), kind };
        // Known also while all its endpoints drain: packets for it are no mistake of their clients.
        self.destinations.insert(place.destination, self.clock.now());
        let old = self.endpoints.get(&entry.name).copied();
        let same = old.filter(|id| self.places.get(id) == Some(&place));
        if !entry.live || same.is_none() {
            self.forget(&entry.name, lines);
        }
        if entry.live {
            let endpoint = same.unwrap_or(EndpointId(self.next_endpoint));
            self.next_endpoint += u32::from(same.is_none());
            let line = Listing { endpoint, live: true, ..place.line(endpoint, entry.rate) };
            log::debug!(
                "list: {} of destination {}, {} a second",
                entry.address,
                entry.destination,
                entry.rate
            );
            self.endpoints.insert(entry.name.clone(), endpoint);
            self.places.insert(endpoint, place);
            lines.push(line);
        }
    }

    /// An endpoint drains, is gone, or is another now.
    fn forget(&mut self, name: &str, lines: &mut Vec<Listing>) {
        let Some(endpoint) = self.endpoints.remove(name) else { return };
        self.closing.push((endpoint, "unlisted"));
        lines.extend(self.places.remove(&endpoint).map(|place| place.line(endpoint, 0.0)));
    }
}
