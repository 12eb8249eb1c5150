//! The destination list, stored compactly: a listed destination without traffic costs one entry here and
//! nothing elsewhere. This module decides nothing.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::collections::btree_map::Entry;
use std::iter;

use crate::host::{DestinationId, EndpointId, KindId, ListEntry, RouteId};

/// A live endpoint of a destination, as last listed.
#[derive(Clone, Copy)]
struct ListedEndpoint {
    /// Calls per second from all senders.
    rate: f64,
    id: EndpointId,
    kind: u32,
}

/// The live endpoints of a destination, the most recently listed one last. Most destinations have one.
struct ListedDestination {
    first: ListedEndpoint,
    #[expect(
        clippy::box_collection,
        reason = "saves eight bytes in each of several hundred thousand entries"
    )]
    others: Option<Box<Vec<ListedEndpoint>>>,
}

impl ListedDestination {
    fn endpoints(&self) -> impl Iterator<Item = &ListedEndpoint> {
        iter::once(&self.first).chain(self.others.iter().flat_map(|others| others.iter()))
    }

    /// Removes an endpoint if it is listed. Returns `false`, and removes nothing, if it is the only one.
    fn remove(&mut self, id: EndpointId) -> bool {
        let Some(others) = &mut self.others else { return self.first.id != id };
        others.retain(|other| other.id != id);
        if self.first.id == id {
            self.first = others.remove(0);
        }
        if others.is_empty() {
            self.others = None;
        }
        true
    }

    /// Puts an endpoint last. An older entry of the same endpoint is replaced.
    fn push(&mut self, endpoint: ListedEndpoint) {
        if self.remove(endpoint.id) {
            self.others.get_or_insert_default().push(endpoint);
        } else {
            self.first = endpoint;
        }
    }
}

/// The live endpoints of all listed destinations.
#[derive(Default)]
pub struct DestinationList {
    destinations: BTreeMap<DestinationId, ListedDestination>,
    /// The routes of those endpoints that have limits of their own. No other needs its route.
    routes: BTreeMap<EndpointId, RouteId>,
    visited: Cell<u64>,
}

impl DestinationList {
    /// Number of entries accessed since the list was created.
    pub fn visited(&self) -> u64 {
        self.visited.get()
    }

    fn count_visit(&self) {
        self.visited.set(self.visited.get() + 1);
    }

    /// Whether a destination has a live endpoint.
    pub fn contains(&self, id: DestinationId) -> bool {
        self.count_visit();
        self.destinations.contains_key(&id)
    }

    /// Removes all entries, before a full snapshot is applied.
    pub fn clear(&mut self) {
        self.destinations.clear();
        self.routes.clear();
    }

    /// Applies an entry: a live endpoint is put last in its destination, any other is removed. Its route is stored if
    /// it has limits of its own.
    pub fn apply(&mut self, entry: &ListEntry, has_own_limits: bool) {
        self.count_visit();
        if entry.live && has_own_limits {
            self.routes.insert(entry.endpoint, entry.route);
        } else {
            self.routes.remove(&entry.endpoint);
        }
        let kind = u32::try_from(entry.kind.0).unwrap_or(u32::MAX);
        let endpoint = ListedEndpoint { rate: entry.rate, id: entry.endpoint, kind };
        match self.destinations.entry(entry.destination) {
            Entry::Occupied(mut destination) if entry.live => destination.get_mut().push(endpoint),
            Entry::Occupied(mut destination) => {
                if !destination.get_mut().remove(entry.endpoint) {
                    destination.remove();
                }
            }
            Entry::Vacant(vacant) if entry.live => {
                vacant.insert(ListedDestination { first: endpoint, others: None });
            }
            Entry::Vacant(_) => {}
        }
    }

    /// The entries of a destination's live endpoints, in the order in which they were last listed.
    pub fn entries(&self, id: DestinationId) -> Vec<ListEntry> {
        self.count_visit();
        let endpoints = self.destinations.get(&id).into_iter().flat_map(ListedDestination::endpoints);
        let route = |endpoint: &ListedEndpoint| self.routes.get(&endpoint.id).copied();
        endpoints.map(|endpoint| endpoint.entry(id, route(endpoint).unwrap_or_default())).collect()
    }
}

impl ListedEndpoint {
    fn entry(&self, destination: DestinationId, route: RouteId) -> ListEntry {
        let kind = KindId(self.kind as usize);
        ListEntry { endpoint: self.id, route, destination, kind, live: true, rate: self.rate }
    }
}
