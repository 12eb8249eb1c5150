//! Start: the log is read, and either stands as a whole or is refused. Only what a crash explains is mended: a torn
//! end of the last segment, a segment or a manifest that was being made, files that the manifest has left behind.

use crate::fault::Fault;
use crate::files::{Files, read_most};
use crate::frame::Found;
use crate::index::Place;
use crate::manifest;
use crate::segment::{self, HEAD, Step, Walk, number};
use crate::store::{Room, Segment, Store, Sync, blocks};

/// What was found at a start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Standing {
    pub keys: usize,
    pub segments: usize,
    pub bytes: u64,
    pub records: u64,
    /// Bytes of a torn end that were cut: their record never counted.
    pub cut: u64,
}

pub(crate) fn open<F: Files>(mut files: F, room: Room) -> Result<(Store<F>, Standing), Fault> {
    files.lock().map_err(|fault| match fault.kind() {
        std::io::ErrorKind::WouldBlock => Fault::InUse,
        _ => Fault::io("locking", "lock")(fault),
    })?;
    let mut store = Store::new(files, room);
    let standing = read(&mut store, true)?;
    Ok((store, standing))
}

/// Reads a folder without changing it: what stands in it, or the first fault.
///
/// # Errors
/// As for [`Store::open`]; a folder without a store has none to read and is [`Fault::Missing`].
pub fn check<F: Files>(files: F, each: &mut dyn FnMut(&[u8], &[u8])) -> Result<Standing, Fault> {
    let mut store = Store::new(files, Room { bytes: u64::MAX / 2, sync: Sync::None });
    let standing = read(&mut store, false)?;
    let keys: Vec<Vec<u8>> = store.keys(&[], None).map(<[u8]>::to_vec).collect();
    for key in keys {
        if let Some(value) = store.get(&key)? {
            each(&key, &value);
        }
    }
    Ok(standing)
}

fn read<F: Files>(store: &mut Store<F>, mend: bool) -> Result<Standing, Fault> {
    let there = store.files.list().map_err(Fault::io("listing", "the folder"))?;
    let mut numbers: Vec<(u64, u64)> =
        there.iter().filter_map(|(name, length)| Some((number(name)?, *length))).collect();
    numbers.sort();
    let Some(first) = manifest::read(&mut store.files, &there)? else {
        return begin(store, &numbers, mend);
    };
    let (left, kept): (Vec<_>, Vec<_>) = numbers.into_iter().partition(|(number, _)| *number < first);
    for (number, _) in left.into_iter().filter(|_| mend) {
        let name = segment::name(number);
        store.files.remove(&name).map_err(Fault::io("removing", &name))?;
    }
    for (expected, (number, _)) in (first..).zip(&kept) {
        if *number != expected {
            return Err(Fault::Missing { file: segment::name(expected) });
        }
    }
    if kept.is_empty() {
        return Err(Fault::Missing { file: segment::name(first) });
    }
    let mut standing = Standing::default();
    let mut before = None;
    for (at, (number, length)) in kept.iter().enumerate() {
        let last = at + 1 == kept.len();
        before = one(store, &mut standing, (*number, *length), before, last, mend)?;
    }
    standing.keys = store.len();
    standing.segments = store.segments.len();
    standing.bytes = store.segments.values().map(|segment| blocks(segment.length)).sum();
    Ok(standing)
}

/// A folder without a manifest is new, or its first start was cut short: then no record stands in it.
fn begin<F: Files>(store: &mut Store<F>, there: &[(u64, u64)], mend: bool) -> Result<Standing, Fault> {
    let begun = there.iter().all(|(number, length)| *number == 1 && *length <= HEAD as u64);
    if !begun || !mend {
        return Err(Fault::Missing { file: manifest::NAME.to_owned() });
    }
    let name = segment::name(1);
    if !there.is_empty() {
        store.files.remove(&name).map_err(Fault::io("removing", &name))?;
    }
    let mut file = store.files.create(&name).map_err(Fault::io("creating", &name))?;
    let head = segment::head(1, 0);
    crate::files::append_all(&mut store.files, &mut file, &head).map_err(Fault::io("writing", &name))?;
    let durable = store.room.sync != Sync::None;
    if durable {
        store.files.sync(&file).map_err(Fault::io("syncing", &name))?;
    }
    manifest::write(&mut store.files, 1, durable)?;
    store.segments.insert(1, Segment { file, length: HEAD as u64 });
    Ok(Standing { segments: 1, bytes: blocks(HEAD as u64), ..Standing::default() })
}

/// Reads one segment into the index. Tells its length, for the next one's head to agree with.
fn one<F: Files>(
    store: &mut Store<F>,
    standing: &mut Standing,
    (number, length): (u64, u64),
    before: Option<u64>,
    last: bool,
    mend: bool,
) -> Result<Option<u64>, Fault> {
    let name = segment::name(number);
    let mut file = store.files.open(&name).map_err(Fault::io("opening", &name))?;
    let mut head = [0u8; HEAD];
    let read = read_most(&mut store.files, &file, 0, &mut head).map_err(Fault::io("reading", &name))?;
    // A new segment whose head was being written; the one before it is whole.
    let torn_head = last
        && before.is_some()
        && (read < HEAD || (loses(store) && segment::read_head(&head, number).is_err()));
    if torn_head {
        if !mend {
            standing.cut += length;
            return Ok(before);
        }
        store.files.truncate(&mut file, 0).map_err(Fault::io("cutting", &name))?;
        let whole = segment::head(number, before.unwrap_or(0));
        crate::files::append_all(&mut store.files, &mut file, &whole).map_err(Fault::io("writing", &name))?;
        standing.cut += length;
        store.segments.insert(number, Segment { file, length: HEAD as u64 });
        return Ok(Some(HEAD as u64));
    }
    let told = segment::read_head(&head[..read], number)?;
    if before.is_some_and(|before| before != told) {
        let file = segment::name(number - 1);
        let expected = "as many bytes as the next segment tells";
        return Err(Fault::Damaged { file, offset: before.unwrap_or(0), expected });
    }
    let mut walk = Walk::new(HEAD as u64, length);
    let end = loop {
        match walk.next(&mut store.files, &file).map_err(Fault::io("reading", &name))? {
            Step::Frame(at) => {
                let place = Place { segment: number, offset: at, length: (walk.offset - at) as u32, nth: 0 };
                store.recovered(walk.body(at), place);
                standing.records += 1;
            }
            Step::End => break walk.offset,
            Step::Stuck(found) => {
                tail(store, &file, (number, length), walk.offset, &found, last)?;
                standing.cut += length - walk.offset;
                if mend {
                    let cut = store.files.truncate(&mut file, walk.offset);
                    cut.map_err(Fault::io("cutting", &name))?;
                }
                break walk.offset;
            }
        }
    };
    store.segments.insert(number, Segment { file, length: end });
    Ok(Some(end))
}

/// Whether this store is meant for machines that lose power: then an unsynced end may hold anything.
fn loses<F: Files>(store: &Store<F>) -> bool {
    store.room.sync != Sync::None
}

/// Whether what the walk got stuck at is a torn end, and not damage.
fn tail<F: Files>(
    store: &mut Store<F>,
    file: &F::File,
    (number, length): (u64, u64),
    at: u64,
    found: &Found,
    last: bool,
) -> Result<(), Fault> {
    let name = segment::name(number);
    let expected = match found {
        Found::Damaged(expected) => expected,
        _ => "a whole record",
    };
    let damaged = Fault::Damaged { file: name.clone(), offset: at, expected };
    // Writes come in order: what a killed process leaves is short, never changed. Lost power may change it.
    if !last || (!loses(store) && *found != Found::Short) {
        return Err(damaged);
    }
    let rest = segment::find(&mut store.files, file, at + 1, length).map_err(Fault::io("reading", &name))?;
    match rest {
        // A whole record behind it: it was no end.
        Some(_) => Err(damaged),
        None => Ok(()),
    }
}
