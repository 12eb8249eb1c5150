//! Implements [`Host`] for [`HostState`]: each decision of a round is recorded there and carried out at the
//! end of the round.

use std::time::{Duration, Instant};

use sailcart::{EndpointId, Host, PacketId};
use sailcart_store::Files;

use super::host_state::HostState;
use crate::memory::Notice;
use crate::wire::call::{self, CallPacket};

impl<F: Files> Host for HostState<F> {
    fn dispatch(&mut self, packet: PacketId, endpoint: EndpointId, timeout: Duration) {
        match self.dispatches.iter_mut().find(|(other, _)| *other == endpoint) {
            Some((_, dispatches)) => dispatches.push((packet, timeout)),
            None => self.dispatches.push((endpoint, vec![(packet, timeout)])),
        }
    }

    fn entry_bytes(&self, packet: PacketId) -> usize {
        self.ledger.packet(packet).map_or(0, |packet| call::entry_bytes(&CallPacket::of(packet)))
    }

    fn cancel(&mut self, packet: PacketId, _: u32) {
        if let Some(cancelled) = self.in_flight.get(&packet) {
            cancelled.notify_one();
        }
    }

    fn dismiss(&mut self, packet: PacketId, retry_after: Option<Duration>) {
        self.complete_undelivered(packet, Notice::Dismissed(retry_after));
    }

    fn scrap(&mut self, packet: PacketId) {
        self.complete_undelivered(packet, Notice::Scrapped);
    }

    fn close_idle(&mut self, endpoint: EndpointId) {
        self.endpoints_to_close.push((endpoint, "asked"));
    }

    /// Does nothing: the `platform` module watches the list on its own.
    fn request_list(&mut self) {}

    fn wake(&mut self, after: Duration) {
        if let Some(at) = Instant::now().checked_add(after) {
            self.scheduled_rounds.schedule(at);
        }
    }
}
