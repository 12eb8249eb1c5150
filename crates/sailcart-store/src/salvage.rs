//! Salvage, which an operator starts manually when a folder cannot be opened: copies the readable part of a
//! damaged log into a new store and reports what could not be read. The damaged folder is not changed.

use crate::error::StoreError;
use crate::files::{Files, read_available};
use crate::frame::{self, Change};
use crate::index::{Index, Location};
use crate::manifest;
use crate::segment::{self, FrameReader, NextFrame, SEGMENT_HEADER_BYTES, SegmentFile};
use crate::store::Store;

/// What a salvage copied, and what it could not read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SalvageReport {
    /// Number of keys whose value was copied.
    pub copied_keys: usize,
    /// Ranges that could not be read, as file name, offset and length in bytes. The length is 0 for a missing
    /// file.
    pub unreadable_ranges: Vec<(String, u64, u64)>,
}

/// Reads all complete frames of a folder in order and writes the resulting values to an empty store. An
/// unreadable frame may have deleted a key, which then has a value again; the caller must allow for that.
///
/// # Errors
/// [`StoreError::Io`] if a file operation fails, and the errors of [`Store::write`] for the new store.
pub fn salvage<F: Files, G: Files>(
    mut source: F,
    target: &mut Store<G>,
) -> Result<SalvageReport, StoreError> {
    let listing = source.list().map_err(StoreError::io("listing", "the folder"))?;
    let mut segments = segment::segment_files(&listing);
    // If the manifest is unreadable, all segments are read: those before the first one in use hold no live
    // values.
    let first_segment = manifest::read(&mut source, &listing).ok().flatten().unwrap_or(0);
    segments.retain(|segment| segment.number >= first_segment);
    let (mut index, mut report) = (Index::default(), SalvageReport::default());
    for (previous, next) in segments.iter().zip(segments.iter().skip(1)) {
        if previous.number + 1 != next.number {
            report.unreadable_ranges.push((segment::file_name(previous.number + 1), 0, 0));
        }
    }
    for segment in segments {
        read_segment(&mut source, segment, &mut index, &mut report)?;
    }
    let locations: Vec<(Vec<u8>, Location)> =
        index.range(&[], None).filter_map(|key| Some((key.to_vec(), index.get(key)?))).collect();
    for (key, location) in locations {
        let name = segment::file_name(location.segment);
        let file = source.open(&name).map_err(StoreError::io("opening", &name))?;
        let mut bytes = vec![0; location.length as usize];
        read_available(&mut source, &file, location.offset, &mut bytes)
            .map_err(StoreError::io("reading", &name))?;
        let change = frame::decode_changes(&bytes[frame::HEADER_BYTES..])
            .nth(location.change_index as usize)
            .flatten();
        if let Some(change @ Change::Put(stored_key, _)) = change
            && stored_key == key.as_slice()
        {
            target.write(&[change])?;
            report.copied_keys += 1;
        }
    }
    Ok(report)
}

/// Reads one segment into the index, skipping what cannot be read.
fn read_segment<F: Files>(
    source: &mut F,
    SegmentFile { number, length }: SegmentFile,
    index: &mut Index,
    report: &mut SalvageReport,
) -> Result<(), StoreError> {
    let name = segment::file_name(number);
    let file = source.open(&name).map_err(StoreError::io("opening", &name))?;
    let mut reader = FrameReader::new((SEGMENT_HEADER_BYTES as u64).min(length), length);
    loop {
        match reader.next(source, &file).map_err(StoreError::io("reading", &name))? {
            NextFrame::Frame(frame_offset) => {
                for (change_index, change) in
                    frame::decode_changes(reader.body(frame_offset)).flatten().enumerate()
                {
                    let length = (reader.offset - frame_offset) as u32;
                    let location = Location {
                        segment: number,
                        offset: frame_offset,
                        length,
                        change_index: change_index as u32,
                    };
                    match change {
                        Change::Put(key, _) => index.put(key, location, 0, 0),
                        Change::Delete(key) => index.remove(key, 0),
                    }
                }
            }
            NextFrame::End => return Ok(()),
            NextFrame::Unreadable(_) => {
                let start = reader.offset;
                let next = segment::find_next_frame(source, &file, start + 1, length)
                    .map_err(StoreError::io("reading", &name))?;
                report.unreadable_ranges.push((name.clone(), start, next.unwrap_or(length) - start));
                match next {
                    Some(next) => reader = FrameReader::new(next, length),
                    None => return Ok(()),
                }
            }
        }
    }
}
