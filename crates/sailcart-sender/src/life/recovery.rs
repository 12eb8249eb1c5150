//! Recovery: what an earlier life still owed comes back, before any client is let in.

use crate::config::known::KnownList;
use crate::exchange::Exchange;

/// The list comes first, so that a packet finds its destination.
pub fn recover(exchange: &Exchange, known: &KnownList) {
    exchange.take_over(known.summary().whole, known.entries());
    let packets = exchange.unended();
    for packet in &packets {
        exchange.take_back(packet);
    }
    let notices = exchange.owed(|owed| owed.count());
    log::info!("recovery: {} packets, {notices} notices", packets.len());
}
