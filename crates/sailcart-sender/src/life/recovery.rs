//! Recovery: restores what the previous process left unfinished, before any client is accepted.

use crate::config::known::KnownList;
use crate::exchange::Exchange;

/// Puts the last known list in force first, so that each packet finds its destination, then resumes the
/// packets and pending notices of the journal.
pub fn recover(exchange: &Exchange, known: &KnownList) {
    exchange.take_over(known.summary().whole, known.entries());
    let packets = exchange.unended();
    for packet in &packets {
        exchange.take_back(packet);
    }
    let notices = exchange.owed(|pending| pending.count());
    log::info!("recovery: {} packets, {notices} notices", packets.len());
}
