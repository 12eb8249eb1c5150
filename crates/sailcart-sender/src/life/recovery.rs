//! Recovery: what an earlier life still owed comes back, before any client is let in.

use crate::exchange::Exchange;
use crate::wire::discovery::List;

/// The list comes first, so that a packet finds its destination.
pub fn recover(exchange: &Exchange, known: &List) {
    exchange.known(known);
    let packets = exchange.unended();
    for packet in &packets {
        exchange.take_back(packet);
    }
    let notices = exchange.owed(|owed| owed.count());
    log::info!("recovery: {} packets, {notices} notices", packets.len());
}
