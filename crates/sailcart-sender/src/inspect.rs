//! What stands in a state folder, in words, and salvage by hand. None of it changes the folder that it reads.

use std::fmt::Write;
use std::path::Path;
use std::time::Duration;

use sailcart_store::{Change, Disk, Fault, Room, Standing, Store, Sync};

use crate::memory::moment::{Distance, Moment, Span, boot_id};
use crate::memory::records::{Form, Record, key, read, write_stand};
use crate::memory::{Notice, Stand};

/// A sender that runs may retire a segment under the reader's hands: it looks again.
const LOOKS: usize = 5;

fn records(folder: &Path) -> Result<(Standing, Vec<Record>, usize), String> {
    let mut looks = 0;
    loop {
        let (mut all, mut unknown) = (Vec::new(), 0);
        looks += 1;
        let found = sailcart_store::check(Disk::new(folder), &mut |key, value| match read(key, value) {
            Some(record) => all.push(record),
            None => unknown += 1,
        });
        match found {
            Ok(standing) => return Ok((standing, all, unknown)),
            Err(Fault::Missing { .. } | Fault::Io { .. } | Fault::Damaged { .. }) if looks < LOOKS => {}
            Err(fault) => return Err(format!("{}: code={} {fault}", folder.display(), fault.code())),
        }
    }
}

/// One line: that it can be read, and what is in it.
pub fn check(folder: &Path) -> Result<String, String> {
    let (standing, records, unknown) = records(folder)?;
    let count = |of: fn(&Record) -> bool| records.iter().filter(|record| of(record)).count();
    let mut line = format!(
        "{}: sound; {} packets not over, {} notices owed, {} ids remembered; {} segments, {} bytes, {} records",
        folder.display(),
        count(|record| matches!(record, Record::Packet(_))),
        count(|record| matches!(record, Record::Owed(..))),
        count(|record| matches!(record, Record::Over(..))),
        standing.segments,
        standing.bytes,
        standing.records
    );
    if standing.cut > 0 {
        let _ = write!(line, "; {} bytes of a torn end, which the next start cuts", standing.cut);
    }
    if unknown > 0 {
        return Err(format!(
            "{}: {unknown} records of a form that this version does not know",
            folder.display()
        ));
    }
    Ok(line)
}

/// A line for each packet that is not over and each notice that is owed.
pub fn show(folder: &Path) -> Result<String, String> {
    let (_, records, _) = records(folder)?;
    let now = Moment::now(boot_id());
    let mut text = String::new();
    for record in &records {
        match record {
            Record::Packet(packet) => {
                let (Distance::Sure(span) | Distance::Unsure(span)) = now.distance(packet.ends);
                let left = match span {
                    Span::Ahead(left) => left.as_secs_f64(),
                    Span::Ago(over) => -over.as_secs_f64(),
                };
                let _ = write!(
                    text,
                    "packet {}: category {}, destination {}, {} bytes, {left:.1} s left",
                    packet.id,
                    packet.category,
                    packet.destination.0,
                    packet.body.len()
                );
                let stand = records.iter().find_map(|other| match other {
                    Record::Stand(id, stand) if *id == packet.number => Some(stand),
                    _ => None,
                });
                let stand = stand.copied().unwrap_or_default();
                let _ = write!(text, ", {} dispatches", stand.dispatches);
                if stand.out.is_some() {
                    text.push_str(", one is out");
                }
                text.push_str(if stand.doubt.or(stand.out).is_some() { ", may have run\n" } else { "\n" });
            }
            Record::Owed(_, name, notice) => {
                let _ = writeln!(text, "notice owed for {name}: {}", words(notice));
            }
            Record::Stand(..) | Record::Over(..) => {}
        }
    }
    text.push_str(&check(folder)?);
    Ok(text)
}

fn words(notice: &Notice) -> String {
    match notice {
        Notice::Scrapped => "scrapped".to_owned(),
        Notice::Dismissed(None) => "dismissed".to_owned(),
        Notice::Dismissed(Some(wait)) => format!("dismissed, to come again after {wait:?}"),
    }
}

/// Copies what can be read into a new folder, and says what is given up.
pub fn salvage(folder: &Path, new: &Path) -> Result<String, String> {
    std::fs::create_dir(new)
        .map_err(|fault| format!("{}: expected a folder to make: {fault}", new.display()))?;
    let bytes: u64 = {
        let entries = std::fs::read_dir(folder).map_err(|fault| format!("{}: {fault}", folder.display()))?;
        entries.flatten().filter_map(|entry| entry.metadata().ok()).map(|data| data.len()).sum()
    };
    // Room for all of it, whatever part of it counts.
    let room = Room { bytes: bytes.saturating_mul(4).max(1 << 20), sync: Sync::Every(Duration::ZERO) };
    let said = |fault: Fault| format!("code={} {fault}", fault.code());
    let (mut store, _) = Store::open(Disk::new(new), room).map_err(said)?;
    let salvaged = sailcart_store::salvage(Disk::new(folder), &mut store).map_err(said)?;
    if !salvaged.given_up.is_empty() {
        doubt_all(&mut store).map_err(said)?;
    }
    store.sync().map_err(said)?;
    let mut text = format!("{}: {} records saved into {}\n", folder.display(), salvaged.keys, new.display());
    for (file, from, length) in &salvaged.given_up {
        let _ = match length {
            0 => writeln!(text, "given up: {file}, which is gone"),
            _ => writeln!(text, "given up: {file}, {length} bytes from byte {from} on"),
        };
    }
    text.push_str(if salvaged.given_up.is_empty() {
        "nothing was given up"
    } else {
        "the end of a packet may be among it: each packet saved counts as one that may have run, so that a sender on\n\
         the new folder repeats only what may be repeated, and ends the others"
    });
    Ok(text)
}

/// A dispatch of an unknown time: so long before a packet's end that no destination remembers its key.
const LONG_AGO: Duration = Duration::from_secs(24 * 3600);

/// Guards against a second effect where the record of the first is among what was given up.
fn doubt_all(store: &mut Store<Disk>) -> Result<(), Fault> {
    let keys: Vec<Vec<u8>> = store.keys(&[], None).map(<[u8]>::to_vec).collect();
    for name in keys {
        let Some(value) = store.get(&name)? else { continue };
        let Some(Record::Packet(packet)) = read(&name, &value) else { continue };
        let stand = store.get(&key(Form::Stand, packet.number))?;
        let stand = stand.and_then(|value| read(&key(Form::Stand, packet.number), &value));
        let stand = match stand {
            Some(Record::Stand(_, stand)) => stand,
            _ => Stand::default(),
        };
        let doubt = Some(Moment::by_wall_clock(packet.ends.unix.saturating_sub(LONG_AGO)));
        let value = write_stand(&Stand { dispatches: stand.dispatches.max(1), doubt, out: None });
        store.write(&[Change::Put(&key(Form::Stand, packet.number), &value)])?;
    }
    Ok(())
}
