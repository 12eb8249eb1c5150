//! What the destination list says, as compact as it can be kept: a destination that is listed and has no traffic costs one entry
//! here, and nothing elsewhere. State, no decision.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::collections::btree_map::Entry;
use std::iter;

use crate::host::{DestinationId, EndpointId, KindId, Listing};

/// A live endpoint of a destination, as last listed.
#[derive(Clone, Copy)]
struct ListedEndpoint {
    rate: f64,
    id: EndpointId,
    kind: u32,
}

/// The live endpoints of a destination, the one last listed at the end. Most destinations have one.
struct ListedDestination {
    first: ListedEndpoint,
    #[expect(
        clippy::box_collection,
        reason = "eight bytes less in each of several hundred thousand entries"
    )]
    others: Option<Box<Vec<ListedEndpoint>>>,
}

impl ListedDestination {
    fn endpoints(&self) -> impl Iterator<Item = &ListedEndpoint> {
        iter::once(&self.first).chain(self.others.iter().flat_map(|others| others.iter()))
    }

    /// Takes one endpoint out; `false` where it is the only one.
    fn take_out(&mut self, id: EndpointId) -> bool {
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

    /// Puts one endpoint last, anew if it is known.
    fn put_last(&mut self, endpoint: ListedEndpoint) {
        if self.take_out(endpoint.id) {
            self.others.get_or_insert_default().push(endpoint);
        } else {
            self.first = endpoint;
        }
    }
}

/// The list as told so far: which endpoints of which destinations are live.
#[derive(Default)]
pub struct Directory {
    destinations: BTreeMap<DestinationId, ListedDestination>,
    visited: Cell<u64>,
}

impl Directory {
    /// Entries looked at since the directory was made.
    pub fn visited(&self) -> u64 {
        self.visited.get()
    }

    fn count(&self) {
        self.visited.set(self.visited.get() + 1);
    }

    /// Whether a destination has a live endpoint.
    pub fn lists(&self, id: DestinationId) -> bool {
        self.count();
        self.destinations.contains_key(&id)
    }

    /// Forgets all, as a whole list does that is about to be noted.
    pub fn clear(&mut self) {
        self.destinations.clear();
    }

    /// Notes a line: its endpoint becomes the one last listed of its destination or, where it is not live, goes.
    pub fn note(&mut self, line: &Listing) {
        self.count();
        let kind = u32::try_from(line.kind.0).unwrap_or(u32::MAX);
        let told = ListedEndpoint { rate: line.rate, id: line.endpoint, kind };
        match self.destinations.entry(line.destination) {
            Entry::Occupied(mut known) if line.live => known.get_mut().put_last(told),
            Entry::Occupied(mut known) => {
                if !known.get_mut().take_out(line.endpoint) {
                    known.remove();
                }
            }
            Entry::Vacant(place) if line.live => {
                place.insert(ListedDestination { first: told, others: None });
            }
            Entry::Vacant(_) => {}
        }
    }

    /// A destination's live endpoints, in the order in which they were last listed.
    pub fn lines(&self, id: DestinationId) -> Vec<Listing> {
        self.count();
        let endpoints = self.destinations.get(&id).into_iter().flat_map(ListedDestination::endpoints);
        endpoints.map(|endpoint| endpoint.line(id)).collect()
    }
}

impl ListedEndpoint {
    fn line(&self, destination: DestinationId) -> Listing {
        let kind = KindId(self.kind as usize);
        Listing { endpoint: self.id, destination, kind, live: true, rate: self.rate }
    }
}
