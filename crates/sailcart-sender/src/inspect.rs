//! Describes the contents of a state folder as text, and salvages a damaged one. Nothing here changes the
//! folder that it reads.

use std::fmt::Write;
use std::path::Path;
use std::time::Duration;

use sailcart_store::{Change, Disk, RecoverySummary, Store, StoreError, StoreOptions, SyncPolicy};

use crate::memory::moment::{Distance, Moment, Span, boot_id};
use crate::memory::records::{Record, RecordKind, decode, encode_dispatch_state, key};
use crate::memory::{DispatchState, Notice};

/// How many times the folder is read before an error is reported: a running sender may retire a segment
/// during the read.
const MAX_READ_ATTEMPTS: usize = 5;

/// Reads all records. Returns the store's summary, the decoded records, and the number of unknown ones.
fn read_records(folder: &Path) -> Result<(RecoverySummary, Vec<Record>, usize), String> {
    let mut attempts = 0;
    loop {
        let (mut records, mut unknown) = (Vec::new(), 0);
        attempts += 1;
        let checked = sailcart_store::check(Disk::new(folder), &mut |key, value| match decode(key, value) {
            Some(record) => records.push(record),
            None => unknown += 1,
        });
        match checked {
            Ok(summary) => return Ok((summary, records, unknown)),
            Err(StoreError::MissingFile { .. } | StoreError::Io { .. } | StoreError::Damaged { .. })
                if attempts < MAX_READ_ATTEMPTS => {}
            Err(error) => return Err(format!("{}: code={} {error}", folder.display(), error.code())),
        }
    }
}

/// Checks that a state folder is readable, and summarizes its contents in one line.
///
/// # Errors
/// A message for the operator: the folder is damaged, or contains records that this version does not know.
pub fn check(folder: &Path) -> Result<String, String> {
    let (summary, records, unknown) = read_records(folder)?;
    let count = |matches: fn(&Record) -> bool| records.iter().filter(|record| matches(record)).count();
    let mut line = format!(
        "{}: sound; {} packets not completed, {} pending notices, {} ids remembered; {} segments, {} bytes, {} records",
        folder.display(),
        count(|record| matches!(record, Record::Packet(_))),
        count(|record| matches!(record, Record::PendingNotice(..))),
        count(|record| matches!(record, Record::Completed(..))),
        summary.segments,
        summary.total_segment_bytes,
        summary.frames
    );
    if summary.torn_bytes > 0 {
        let _ = write!(
            line,
            "; {} bytes of a torn write at the end, which the next start truncates",
            summary.torn_bytes
        );
    }
    if unknown > 0 {
        return Err(format!(
            "{}: {unknown} records of a kind that this version does not know",
            folder.display()
        ));
    }
    Ok(line)
}

/// Describes each packet that has not completed and each pending notice in a line of its own, followed by
/// the line of [`check`].
///
/// # Errors
/// As [`check`].
pub fn show(folder: &Path) -> Result<String, String> {
    let (_, records, _) = read_records(folder)?;
    let now = Moment::now(boot_id());
    let mut text = String::new();
    for record in &records {
        match record {
            Record::Packet(packet) => {
                let (Distance::Monotonic(span) | Distance::WallClock(span)) = now.distance(packet.deadline);
                let seconds_left = match span {
                    Span::Ahead(left) => left.as_secs_f64(),
                    Span::Ago(past) => -past.as_secs_f64(),
                };
                let _ = write!(
                    text,
                    "packet {}: category {}, destination {}, {} bytes, {seconds_left:.1} s left",
                    packet.id,
                    packet.category,
                    packet.destination.0,
                    packet.body.len()
                );
                let state = records.iter().find_map(|other| match other {
                    Record::DispatchState(number, state) if *number == packet.number => Some(state),
                    _ => None,
                });
                let state = state.copied().unwrap_or_default();
                let _ = write!(text, ", {} dispatches", state.dispatches);
                if state.in_flight_since.is_some() {
                    text.push_str(", one in flight");
                }
                text.push_str(if state.possibly_executed_at.or(state.in_flight_since).is_some() {
                    ", possibly executed\n"
                } else {
                    "\n"
                });
            }
            Record::PendingNotice(_, id, notice) => {
                let _ = writeln!(text, "pending notice for {id}: {}", describe(notice));
            }
            Record::DispatchState(..) | Record::Completed(..) => {}
        }
    }
    text.push_str(&check(folder)?);
    Ok(text)
}

fn describe(notice: &Notice) -> String {
    match notice {
        Notice::Scrapped => "scrapped".to_owned(),
        Notice::Dismissed(None) => "dismissed".to_owned(),
        Notice::Dismissed(Some(wait)) => format!("dismissed, may be submitted again after {wait:?}"),
    }
}

/// Copies the readable records of a damaged folder into a new one, and reports what was lost.
///
/// # Errors
/// A message for the operator: `new` cannot be created, or a file operation failed.
pub fn salvage(folder: &Path, new: &Path) -> Result<String, String> {
    std::fs::create_dir(new)
        .map_err(|error| format!("{}: cannot create the new folder: {error}", new.display()))?;
    let bytes: u64 = {
        let entries = std::fs::read_dir(folder).map_err(|error| format!("{}: {error}", folder.display()))?;
        entries.flatten().filter_map(|entry| entry.metadata().ok()).map(|data| data.len()).sum()
    };
    // Enough for all records, however many of them are still valid.
    let options = StoreOptions {
        capacity_bytes: bytes.saturating_mul(4).max(1 << 20),
        sync: SyncPolicy::Interval(Duration::ZERO),
    };
    let with_code = |error: StoreError| format!("code={} {error}", error.code());
    let (mut store, _) = Store::open(Disk::new(new), options).map_err(with_code)?;
    let salvaged = sailcart_store::salvage(Disk::new(folder), &mut store).map_err(with_code)?;
    if !salvaged.unreadable_ranges.is_empty() {
        mark_all_possibly_executed(&mut store).map_err(with_code)?;
    }
    store.sync().map_err(with_code)?;
    let mut text =
        format!("{}: {} records saved into {}\n", folder.display(), salvaged.copied_keys, new.display());
    for (file, from, length) in &salvaged.unreadable_ranges {
        let _ = match length {
            0 => writeln!(text, "given up: {file}, which is missing"),
            _ => writeln!(text, "given up: {file}, {length} bytes from byte {from} on"),
        };
    }
    text.push_str(if salvaged.unreadable_ranges.is_empty() {
        "nothing was given up"
    } else {
        "the completion of a packet may be among it: each packet saved counts as possibly executed, so that a sender\n\
         on the new folder dispatches only those again that may be repeated, and scraps the others"
    });
    Ok(text)
}

/// How long before a packet's deadline its dispatch is assumed to have been sent, if that time is unknown:
/// longer than any destination remembers an idempotency key.
const ASSUMED_DISPATCH_LEAD: Duration = Duration::from_secs(24 * 3600);

/// Marks each packet as possibly executed. Prevents a second execution where the record of the first
/// dispatch is among what was lost.
fn mark_all_possibly_executed(store: &mut Store<Disk>) -> Result<(), StoreError> {
    let keys: Vec<Vec<u8>> = store.keys(&[], None).map(<[u8]>::to_vec).collect();
    for packet_key in keys {
        let Some(value) = store.get(&packet_key)? else { continue };
        let Some(Record::Packet(packet)) = decode(&packet_key, &value) else { continue };
        let state = store.get(&key(RecordKind::DispatchState, packet.number))?;
        let state = state.and_then(|value| decode(&key(RecordKind::DispatchState, packet.number), &value));
        let state = match state {
            Some(Record::DispatchState(_, state)) => state,
            _ => DispatchState::default(),
        };
        let possibly_executed_at =
            Some(Moment::by_wall_clock(packet.deadline.unix.saturating_sub(ASSUMED_DISPATCH_LEAD)));
        let value = encode_dispatch_state(&DispatchState {
            dispatches: state.dispatches.max(1),
            possibly_executed_at,
            in_flight_since: None,
        });
        store.write(&[Change::Put(&key(RecordKind::DispatchState, packet.number), &value)])?;
    }
    Ok(())
}
