//! Accepts packets: those that clients submit, and those that a previous process left in the journal.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;
use std::time::Duration;

use sailcart::{CategoryId, CustomerId, DestinationId, KeyId, PacketId};
use sailcart_store::Files;
use tokio::sync::oneshot;

use super::host_state::HostState;
use super::{Exchange, Inner};
use crate::memory::{Notice, Packet};
use crate::wire::Put;

/// The reply to the submission of a packet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SubmitReply {
    /// The packet is in the journal and will be dispatched.
    Accepted,
    /// Rejected; it may be submitted again, after this wait if one is given.
    Dismissed(Option<Duration>),
    /// Failed for good.
    Scrapped,
    /// Rejected, as its `category`, `customer` or `destination` is unknown.
    Unknown(&'static str),
}

impl From<Notice> for SubmitReply {
    fn from(notice: Notice) -> Self {
        match notice {
            Notice::Dismissed(wait) => SubmitReply::Dismissed(wait),
            Notice::Scrapped => SubmitReply::Scrapped,
        }
    }
}

/// Sends a reply to all clients that wait for it. Those that have disconnected meanwhile are ignored.
pub(super) fn reply_all(clients: Vec<oneshot::Sender<SubmitReply>>, reply: SubmitReply) {
    for client in clients {
        let _ = client.send(reply);
    }
}

/// Derives the id of a key by hashing. Two keys with the same id merely wait for each other, whereas a table
/// of all keys would grow without bound.
pub(super) fn key_id(key: &str) -> KeyId {
    let mut hasher = DefaultHasher::new();
    key.hash(&mut hasher);
    KeyId(hasher.finish())
}

impl<F: Files> Exchange<F> {
    /// Packets that are not completed, in the order in which they were accepted.
    pub fn uncompleted_packets(&self) -> Vec<Rc<Packet>> {
        self.inner.borrow().host.ledger.uncompleted_packets()
    }

    /// Restores a packet that a previous process accepted, by passing it to the sender. A packet with names
    /// that are no longer in the settings is scrapped.
    pub fn restore(&self, packet: &Packet) {
        let Inner { sender, host, .. } = &mut *self.inner.borrow_mut();
        match host.sender_packet(packet) {
            Ok(restored) => {
                let now = host.clock.now();
                // The previous process's clock may have been wrong: the time left is never longer than the
                // category's patience.
                let max = now.saturating_add(host.patience_by_category[restored.category.0]);
                sender.accept(
                    now,
                    sailcart::Packet {
                        deadline: restored.deadline.min(max),
                        accepted_by_previous_process: true,
                        ..restored
                    },
                );
            }
            Err(unknown) => {
                log::warn!("packet {} scrapped, code=unknown_{unknown}", packet.id);
                host.queue_notice(packet.number, Notice::Scrapped);
            }
        }
        self.round_requested.notify_one();
    }

    /// Submits a packet. The reply arrives with the next round whose records are written.
    pub fn submit(&self, put: &Put) -> oneshot::Receiver<SubmitReply> {
        let (client, reply) = oneshot::channel();
        let inner = &mut *self.inner.borrow_mut();
        match inner.accept(put) {
            Ok(number) => {
                inner.host.waiting_clients.entry(number).or_default().push(client);
                self.round_requested.notify_one();
            }
            Err(immediate) => reply_all(vec![client], immediate),
        }
        reply
    }
}

impl<F: Files> Inner<F> {
    /// Returns the number of the packet whose reply the client waits for, or the reply if it is known at
    /// once.
    fn accept(&mut self, put: &Put) -> Result<PacketId, SubmitReply> {
        let Inner { sender, host, stopped } = self;
        if let Some(number) = host.ledger.number_of(put.id) {
            // A duplicate submission on another connection gets the same reply as the first.
            return if host.waiting_clients.contains_key(&number) {
                Ok(number)
            } else {
                Err(SubmitReply::Accepted)
            };
        }
        // A packet resubmitted after its completion must not be dispatched again under the same id.
        if let Some(failure) = host.ledger.completed(put.id) {
            return Err(failure.map_or(SubmitReply::Accepted, SubmitReply::from));
        }
        if *stopped {
            return Err(SubmitReply::Dismissed(host.max_retry_after));
        }
        let now = host.clock.now();
        let packet = host.to_packet(put, now);
        let accepted = host.sender_packet(&packet).map_err(SubmitReply::Unknown)?;
        if host.has_current_list && !host.directory.knows(accepted.destination) {
            return Err(SubmitReply::Unknown("destination"));
        }
        host.ledger.accept(packet).map_err(|error| {
            log::debug!("packet {} dismissed, code=journal {error}", put.id);
            SubmitReply::Dismissed(host.max_retry_after)
        })?;
        let number = accepted.id;
        log::debug!(
            "packet {}: taken as {}, order key {:?}, patience {:?}",
            put.id,
            number.0,
            put.order_key,
            put.patience
        );
        sender.accept(now, accepted);
        Ok(number)
    }
}

impl<F: Files> HostState<F> {
    /// Copies a submitted packet out of the connection's buffer, and numbers it.
    fn to_packet(&self, put: &Put, now: Duration) -> Packet {
        Packet {
            number: self.ledger.next_number(),
            id: put.id.into(),
            category: put.category.into(),
            customer: put.customer.map(Into::into),
            idempotency_key: put.idempotency_key.map(Into::into),
            order_key: put.order_key.map(Into::into),
            destination: DestinationId(put.destination),
            deadline: self.clock.to_moment(now.saturating_add(put.patience)),
            body: put.body.into(),
        }
    }

    /// The category of a packet, if the settings contain it.
    pub(super) fn category(&self, packet: &Packet) -> Option<CategoryId> {
        self.names.categories.get(&*packet.category).copied().map(CategoryId)
    }

    /// Converts a packet for the sender. Fails with the kind of the first name that the settings do not
    /// contain.
    pub(super) fn sender_packet(&mut self, packet: &Packet) -> Result<sailcart::Packet, &'static str> {
        let state = self.ledger.dispatch_state(packet.number);
        let category = self.names.categories.get(&*packet.category).ok_or("category")?;
        let customer = match &packet.customer {
            None => None,
            Some(name) => Some(*self.names.customers.get(&**name).ok_or("customer")?),
        };
        Ok(sailcart::Packet {
            id: packet.number,
            destination: packet.destination,
            category: CategoryId(*category),
            customer: customer.map(CustomerId),
            key: packet.order_key.as_deref().map(key_id),
            deadline: self.clock.deadline(packet.deadline),
            dispatches: state.dispatches,
            possibly_executed_at: state
                .possibly_executed_at
                .or(state.in_flight_since)
                .map(|sent_at| self.clock.dispatch_time(sent_at)),
            accepted_by_previous_process: false,
        })
    }
}
