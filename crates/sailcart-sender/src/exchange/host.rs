//! The [`Host`] that carries out what the sender decides: each decision is noted at the desk, and goes out at the end
//! of the round.

use std::time::{Duration, Instant};

use sailcart::{EndpointId, Host, PacketId};

use super::desk::Desk;
use crate::memory::Notice;

impl Host for Desk {
    fn dispatch(&mut self, packet: PacketId, endpoint: EndpointId, time_out: Duration) {
        match self.sending.iter_mut().find(|(other, _)| *other == endpoint) {
            Some((_, sending)) => sending.push((packet, time_out)),
            None => self.sending.push((endpoint, vec![(packet, time_out)])),
        }
    }

    fn cancel(&mut self, packet: PacketId, _: u32) {
        if let Some(called_off) = self.out.get(&packet) {
            called_off.notify_one();
        }
    }

    fn dismiss(&mut self, packet: PacketId, retry_after: Option<Duration>) {
        self.end(packet, Notice::Dismissed(retry_after));
    }

    fn scrap(&mut self, packet: PacketId) {
        self.end(packet, Notice::Scrapped);
    }

    fn close_idle(&mut self, endpoint: EndpointId) {
        self.closing.push((endpoint, "asked"));
    }

    /// `platform` keeps a watch open by itself.
    fn ask_list(&mut self) {}

    fn wake(&mut self, after: Duration) {
        if let Some(at) = Instant::now().checked_add(after) {
            self.wakes.ask(at);
        }
    }
}
