//! Which segment is the first that counts. It is put in place by one rename; what stands before it is left over.

use crate::fault::Fault;
use crate::files::{Files, append_all, read_most};
use crate::segment::VERSION;

pub(crate) const NAME: &str = "manifest";
const NEW: &str = "manifest.new";
const HEAD: &[u8; 15] = b"sailcart store ";
const SIZE: usize = 15 + 4 + 8 + 4;

/// The first segment; `None` where there is no manifest.
pub(crate) fn read<F: Files>(files: &mut F, there: &[(String, u64)]) -> Result<Option<u64>, Fault> {
    if !there.iter().any(|(name, _)| name == NAME) {
        return Ok(None);
    }
    let file = files.open(NAME).map_err(Fault::io("opening", NAME))?;
    let mut bytes = [0u8; SIZE + 1];
    let length = read_most(files, &file, 0, &mut bytes).map_err(Fault::io("reading", NAME))?;
    let damaged = |offset, expected| Fault::Damaged { file: NAME.to_owned(), offset, expected };
    let bytes = bytes.get(..SIZE).filter(|_| length == SIZE);
    let bytes = bytes.ok_or(damaged(length as u64, "31 bytes"))?;
    if &bytes[..15] != HEAD {
        return Err(damaged(0, "a manifest of this store"));
    }
    let sum = crc32fast::hash(&bytes[..SIZE - 4]).to_be_bytes();
    if sum != bytes[SIZE - 4..] {
        return Err(damaged(SIZE as u64 - 4, "the checksum of what stands before"));
    }
    let version = u32::from_be_bytes([bytes[15], bytes[16], bytes[17], bytes[18]]);
    if version > VERSION {
        return Err(Fault::Newer { file: NAME.to_owned(), found: version, known: VERSION });
    }
    let mut first = [0u8; 8];
    first.copy_from_slice(&bytes[19..27]);
    Ok(Some(u64::from_be_bytes(first)))
}

/// Puts a manifest in place. With `durable` it outlives the power.
pub(crate) fn write<F: Files>(files: &mut F, first: u64, durable: bool) -> Result<(), Fault> {
    let mut bytes = Vec::with_capacity(SIZE);
    bytes.extend_from_slice(HEAD);
    bytes.extend_from_slice(&VERSION.to_be_bytes());
    bytes.extend_from_slice(&first.to_be_bytes());
    bytes.extend_from_slice(&crc32fast::hash(&bytes).to_be_bytes());
    match files.remove(NEW) {
        Err(fault) if fault.kind() != std::io::ErrorKind::NotFound => {
            return Err(Fault::io("removing", NEW)(fault));
        }
        _ => {}
    }
    let mut file = files.create(NEW).map_err(Fault::io("creating", NEW))?;
    append_all(files, &mut file, &bytes).map_err(Fault::io("writing", NEW))?;
    if durable {
        files.sync(&file).map_err(Fault::io("syncing", NEW))?;
    }
    files.rename(NEW, NAME).map_err(Fault::io("renaming", NEW))?;
    if durable {
        files.sync_folder().map_err(Fault::io("syncing", "the folder"))?;
    }
    Ok(())
}
