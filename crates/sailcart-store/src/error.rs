//! Errors of the store, with messages and codes that an operator can act on.

use std::io;

/// Why an operation of the store failed. Names the file concerned, if there is one.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// File contents that no crash can explain. Nothing was changed.
    #[error(
        "{file} at byte {offset}: expected {expected}; the file is damaged, see `sailcart store salvage`"
    )]
    Damaged { file: String, offset: u64, expected: &'static str },
    /// A file of the folder is missing.
    #[error("{file}: missing from the store folder; see `sailcart store salvage`")]
    MissingFile { file: String },
    /// The file has a later format version than this code supports.
    #[error("{file}: written by a newer version (format {found}); this one reads formats up to {supported}")]
    NewerVersion { file: String, found: u32, supported: u32 },
    /// Another process has locked the folder.
    #[error("the store folder is in use by another process")]
    InUse,
    /// The write would exceed the capacity of the store. Sizes in bytes.
    #[error("store is full: {needed} bytes needed, {available} available")]
    Full { needed: u64, available: u64 },
    /// A key or a write is larger than the store allows at any time. Sizes in bytes.
    #[error("key or write of {size} bytes exceeds the maximum of {max} bytes")]
    TooLarge { size: u64, max: u64 },
    /// A sync failed: data written since the last successful sync may be in effect, and may not survive a
    /// power loss until it has been rewritten.
    #[error(
        "syncing {file}: {source}; data written since the last successful sync will be rewritten to new files"
    )]
    SyncFailed { file: String, source: io::Error },
    /// A file operation failed; `operation` names it.
    #[error("{operation} {file}: {source}")]
    Io { operation: &'static str, file: String, source: io::Error },
}

impl StoreError {
    pub(crate) fn io(operation: &'static str, file: &str) -> impl FnOnce(io::Error) -> StoreError {
        let file = file.to_owned();
        move |source| StoreError::Io { operation, file, source }
    }

    /// Whether space ran out, either by the store's own capacity or on the disk.
    pub fn is_full(&self) -> bool {
        match self {
            StoreError::Full { .. } => true,
            StoreError::Io { source, .. } => source.kind() == io::ErrorKind::StorageFull,
            _ => false,
        }
    }

    /// Turns a failed sync of earlier writes into an I/O error, because nothing of the current write was
    /// written.
    pub(crate) fn into_not_written(self) -> StoreError {
        match self {
            StoreError::SyncFailed { file, source } => StoreError::Io { operation: "syncing", file, source },
            other => other,
        }
    }

    /// A short, stable code for log lines.
    pub fn code(&self) -> &'static str {
        match self {
            StoreError::Damaged { .. } => "damaged",
            StoreError::MissingFile { .. } => "file_missing",
            StoreError::NewerVersion { .. } => "newer_version",
            StoreError::InUse => "in_use",
            StoreError::TooLarge { .. } => "too_large",
            StoreError::SyncFailed { .. } => "not_synced",
            _ if self.is_full() => "disk_full",
            _ => "disk_fault",
        }
    }
}

impl From<StoreError> for io::Error {
    fn from(error: StoreError) -> io::Error {
        let kind = match &error {
            _ if error.is_full() => io::ErrorKind::StorageFull,
            StoreError::InUse => io::ErrorKind::WouldBlock,
            StoreError::Damaged { .. } | StoreError::MissingFile { .. } | StoreError::NewerVersion { .. } => {
                io::ErrorKind::InvalidData
            }
            StoreError::Io { source, .. } | StoreError::SyncFailed { source, .. } => source.kind(),
            _ => io::ErrorKind::Other,
        };
        io::Error::new(kind, error)
    }
}
