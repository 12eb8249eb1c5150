//! The manifest, a file that names the first segment in use. It is replaced by an atomic rename; segments
//! with lower numbers are obsolete.

use crate::error::StoreError;
use crate::files::{Files, append_all, read_available};
use crate::segment::FORMAT_VERSION;

pub(crate) const FILE_NAME: &str = "manifest";
const TEMPORARY_FILE_NAME: &str = "manifest.new";
const MAGIC: &[u8; 15] = b"sailcart store ";
const MANIFEST_BYTES: usize = 15 + 4 + 8 + 4;

/// Reads the number of the first segment in use; `None` if there is no manifest.
pub(crate) fn read<F: Files>(files: &mut F, listing: &[(String, u64)]) -> Result<Option<u64>, StoreError> {
    if !listing.iter().any(|(name, _)| name == FILE_NAME) {
        return Ok(None);
    }
    let file = files.open(FILE_NAME).map_err(StoreError::io("opening", FILE_NAME))?;
    let mut bytes = [0u8; MANIFEST_BYTES + 1];
    let length = read_available(files, &file, 0, &mut bytes).map_err(StoreError::io("reading", FILE_NAME))?;
    let damaged = |offset, expected| StoreError::Damaged { file: FILE_NAME.to_owned(), offset, expected };
    let bytes = bytes.get(..MANIFEST_BYTES).filter(|_| length == MANIFEST_BYTES);
    let bytes = bytes.ok_or(damaged(length as u64, "31 bytes"))?;
    if &bytes[..15] != MAGIC {
        return Err(damaged(0, "a manifest of this store"));
    }
    let checksum = crc32fast::hash(&bytes[..MANIFEST_BYTES - 4]).to_be_bytes();
    if checksum != bytes[MANIFEST_BYTES - 4..] {
        return Err(damaged(MANIFEST_BYTES as u64 - 4, "the checksum of the preceding bytes"));
    }
    let version = u32::from_be_bytes([bytes[15], bytes[16], bytes[17], bytes[18]]);
    if version > FORMAT_VERSION {
        return Err(StoreError::NewerVersion {
            file: FILE_NAME.to_owned(),
            found: version,
            supported: FORMAT_VERSION,
        });
    }
    let mut first_segment = [0u8; 8];
    first_segment.copy_from_slice(&bytes[19..27]);
    Ok(Some(u64::from_be_bytes(first_segment)))
}

/// Replaces the manifest. With `durable`, the new one survives a power loss once this returns.
pub(crate) fn write<F: Files>(files: &mut F, first_segment: u64, durable: bool) -> Result<(), StoreError> {
    let mut bytes = Vec::with_capacity(MANIFEST_BYTES);
    bytes.extend_from_slice(MAGIC);
    bytes.extend_from_slice(&FORMAT_VERSION.to_be_bytes());
    bytes.extend_from_slice(&first_segment.to_be_bytes());
    bytes.extend_from_slice(&crc32fast::hash(&bytes).to_be_bytes());
    match files.remove(TEMPORARY_FILE_NAME) {
        Err(error) if error.kind() != std::io::ErrorKind::NotFound => {
            return Err(StoreError::io("removing", TEMPORARY_FILE_NAME)(error));
        }
        _ => {}
    }
    let mut file =
        files.create(TEMPORARY_FILE_NAME).map_err(StoreError::io("creating", TEMPORARY_FILE_NAME))?;
    append_all(files, &mut file, &bytes).map_err(StoreError::io("writing", TEMPORARY_FILE_NAME))?;
    if durable {
        files.sync(&file).map_err(StoreError::io("syncing", TEMPORARY_FILE_NAME))?;
    }
    files.rename(TEMPORARY_FILE_NAME, FILE_NAME).map_err(StoreError::io("renaming", TEMPORARY_FILE_NAME))?;
    if durable {
        files.sync_folder().map_err(StoreError::io("syncing", "the folder"))?;
    }
    Ok(())
}
