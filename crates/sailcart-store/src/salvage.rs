//! Salvage: by hand only, where a folder was refused. What can be read of a damaged log goes into a new folder, and
//! what is given up is told. The damaged folder stays as it is.

use crate::fault::Fault;
use crate::files::{Files, read_most};
use crate::frame::{self, Change};
use crate::index::{Index, Place};
use crate::manifest;
use crate::segment::{self, HEAD, Listed, Step, Walk};
use crate::store::Store;

/// What came over, and what did not.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Salvaged {
    /// Keys whose value came over.
    pub keys: usize,
    /// Stretches that could not be read: file, from, length.
    pub given_up: Vec<(String, u64, u64)>,
}

/// Reads all whole records of a folder, in order, and writes what counts by them into an empty store. A record that
/// is lost may have been an end: its key then stands for something again. Whoever uses what came over must reckon
/// with that.
///
/// # Errors
/// [`Fault::Io`] as the files fail, and what [`Store::write`] tells of the new folder.
pub fn salvage<F: Files, G: Files>(mut from: F, into: &mut Store<G>) -> Result<Salvaged, Fault> {
    let there = from.list().map_err(Fault::io("listing", "the folder"))?;
    let mut listed = segment::listed(&there);
    // A manifest that cannot be read leaves nothing out: segments before the first hold nothing that counts.
    let first = manifest::read(&mut from, &there).ok().flatten().unwrap_or(0);
    listed.retain(|segment| segment.number >= first);
    let (mut index, mut done) = (Index::default(), Salvaged::default());
    for (before, after) in listed.iter().zip(listed.iter().skip(1)) {
        if before.number + 1 != after.number {
            done.given_up.push((segment::name(before.number + 1), 0, 0));
        }
    }
    for segment in listed {
        read_segment(&mut from, segment, &mut index, &mut done)?;
    }
    let keys: Vec<(Vec<u8>, Place)> =
        index.range(&[], None).filter_map(|key| Some((key.to_vec(), index.get(key)?))).collect();
    for (key, place) in keys {
        let name = segment::name(place.segment);
        let file = from.open(&name).map_err(Fault::io("opening", &name))?;
        let mut bytes = vec![0; place.length as usize];
        read_most(&mut from, &file, place.offset, &mut bytes).map_err(Fault::io("reading", &name))?;
        let change = frame::changes(&bytes[frame::HEAD..]).nth(place.nth as usize).flatten();
        if let Some(change @ Change::Put(found, _)) = change
            && found == key.as_slice()
        {
            into.write(&[change])?;
            done.keys += 1;
        }
    }
    Ok(done)
}

/// Reads one segment into an index, past what cannot be read.
fn read_segment<F: Files>(
    from: &mut F,
    Listed { number, length }: Listed,
    index: &mut Index,
    done: &mut Salvaged,
) -> Result<(), Fault> {
    let name = segment::name(number);
    let file = from.open(&name).map_err(Fault::io("opening", &name))?;
    let mut walk = Walk::new((HEAD as u64).min(length), length);
    loop {
        match walk.next(from, &file).map_err(Fault::io("reading", &name))? {
            Step::Frame(at) => {
                for (nth, change) in frame::changes(walk.body(at)).flatten().enumerate() {
                    let length = (walk.offset - at) as u32;
                    let place = Place { segment: number, offset: at, length, nth: nth as u32 };
                    match change {
                        Change::Put(key, _) => index.put(key, place, 0, 0),
                        Change::End(key) => index.end(key, 0),
                    }
                }
            }
            Step::End => return Ok(()),
            Step::Stuck(_) => {
                let at = walk.offset;
                let next = segment::find(from, &file, at + 1, length).map_err(Fault::io("reading", &name))?;
                done.given_up.push((name.clone(), at, next.unwrap_or(length) - at));
                match next {
                    Some(next) => walk = Walk::new(next, length),
                    None => return Ok(()),
                }
            }
        }
    }
}
