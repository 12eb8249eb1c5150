//! Recovery: restores what the previous process left unfinished, before any client is accepted.

use sailcart_store::Files;

use crate::config::known_list::KnownList;
use crate::exchange::Exchange;

/// Puts the last known list in force first, so that each packet finds its destination, then resumes the
/// packets and pending notices of the journal.
pub fn recover<F: Files>(exchange: &Exchange<F>, known_list: &KnownList) {
    exchange.apply_known_list(known_list.summary().full, known_list.entries());
    let packets = exchange.uncompleted_packets();
    for packet in &packets {
        exchange.restore(packet);
    }
    let notices = exchange.pending_notices(|pending| pending.count());
    log::info!("recovery: {} packets, {notices} notices", packets.len());
}
