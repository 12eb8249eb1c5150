//! Recovery: restores what the previous process left unfinished, before any client is accepted.

use std::net::SocketAddr;
use std::path::Path;

use sailcart::starting_list::{StartingList, starting_list};
use sailcart_store::Files;

use crate::config::known_list::KnownList;
use crate::exchange::Exchange;
use crate::memory::list_record::{Header, ListRecord, Recovered};
use crate::wire::discovery::Entry;

/// Where the lists that were in force are recorded.
pub struct ListRecordOptions<'a> {
    pub state_folder: &'a Path,
    pub capacity_bytes: u64,
    /// The discovery whose lists are recorded.
    pub discovery: SocketAddr,
}

/// Puts the last known list in force, so that each packet finds its destination: that of the configuration, or the newer
/// one that the previous process recorded. Returns the version since which discovery is asked for changes. From then on
/// the lists in force are recorded.
pub fn recover_list<F: Files>(
    exchange: &Exchange<F>,
    known_list: &KnownList,
    options: &ListRecordOptions,
) -> u64 {
    let ListRecordOptions { state_folder, capacity_bytes, discovery } = options;
    let summary = known_list.summary();
    let opened = ListRecord::open(state_folder, *capacity_bytes, *discovery, known_list.identity());
    let (mut record, recovered) = match opened {
        Ok(opened) => opened,
        Err(error) => {
            log::warn!("list: code=not_recorded {error}; a restart will go by the list of the configuration");
            exchange.apply_known_list(summary.full, known_list.entries());
            return summary.version;
        }
    };
    let recorded = recovered.header.map(|header| header.list);
    let (version, is_recorded) = match (starting_list(known_list.identity(), recorded), &recovered.header) {
        (StartingList::Recorded { changes_since }, Some(header)) => {
            log_recorded_list(header, &recovered, summary.version);
            exchange.apply_known_list(summary.full, recorded_entries(known_list, &recovered));
            record.resume(header);
            (changes_since, true)
        }
        _ => {
            exchange.apply_known_list(summary.full, known_list.entries());
            let restarted = record.restart();
            if let Err(error) = &restarted {
                log::warn!("list: code=not_recorded {error}");
            }
            (summary.version, restarted.is_ok())
        }
    };
    if is_recorded {
        exchange.record_lists(record);
    }
    version
}

/// Resumes the packets and pending notices of the journal.
pub fn recover_packets<F: Files>(exchange: &Exchange<F>) {
    let packets = exchange.uncompleted_packets();
    for packet in &packets {
        exchange.restore(packet);
    }
    let notices = exchange.pending_notices(|pending| pending.count());
    log::info!("recovery: {} packets, {notices} notices", packets.len());
}

fn log_recorded_list(header: &Header, recovered: &Recovered, configured_version: u64) {
    log::info!(
        "list: code=from_record version {} of {:.1?} ago, {} endpoints changed since version {configured_version} of \
         the configuration, complete={}",
        header.list.version,
        header.age(),
        recovered.endpoints.len(),
        header.list.complete,
    );
}

/// The entries of the configuration, of which those with a recorded change count as draining, then the recorded ones.
fn recorded_entries<'a>(
    known_list: &'a KnownList,
    recovered: &'a Recovered,
) -> impl Iterator<Item = Entry> + 'a {
    let configured = known_list.entries().map(|entry| {
        let live = entry.live && !recovered.endpoints.contains_key(&entry.name);
        Entry { live, ..entry }
    });
    let recorded = recovered.endpoints.iter().filter_map(|(name, live)| {
        let live = live.as_ref()?;
        Some(Entry {
            name: name.clone(),
            address: live.address,
            kind: live.kind.clone(),
            destination: live.destination,
            live: true,
            rate: live.rate,
        })
    });
    configured.chain(recorded)
}
