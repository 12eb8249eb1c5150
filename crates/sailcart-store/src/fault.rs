//! What can go wrong, told so that an operator can act on it.

use std::io;

/// Why the store could not do what was asked; each says which file, where there is one.
#[derive(Debug, thiserror::Error)]
pub enum Fault {
    /// Bytes that no crash explains. Nothing was changed.
    #[error(
        "{file} at byte {offset}: expected {expected}; the file is damaged, see `sailcart store salvage`"
    )]
    Damaged { file: String, offset: u64, expected: &'static str },
    /// A file of the folder is gone.
    #[error("{file}: expected it beside the others; see `sailcart store salvage`")]
    Missing { file: String },
    /// Written by a version that this one does not know.
    #[error("{file}: written by a newer version ({found}), this one reads up to {known}")]
    Newer { file: String, found: u32, known: u32 },
    /// Another process has the folder.
    #[error("in use by another process")]
    InUse,
    /// The change does not fit into the room that the folder may take.
    #[error("no room: {wanted} bytes wanted, {left} left")]
    Full { wanted: u64, left: u64 },
    /// The change is larger than any that fits.
    #[error("a change of {wanted} bytes; {most} are the most that this room allows")]
    TooLarge { wanted: u64, most: u64 },
    /// A sync failed: what was written since the last one may count, and may not outlive the power until it is written anew.
    #[error("syncing {file}: {source}; what was written since the last sync is written anew")]
    Unsure { file: String, source: io::Error },
    /// The operating system failed; `doing` says at what.
    #[error("{doing} {file}: {source}")]
    Io { doing: &'static str, file: String, source: io::Error },
}

impl Fault {
    pub(crate) fn io(doing: &'static str, file: &str) -> impl FnOnce(io::Error) -> Fault {
        let file = file.to_owned();
        move |source| Fault::Io { doing, file, source }
    }

    /// For want of room, by this store's reckoning or the disk's.
    pub fn is_full(&self) -> bool {
        match self {
            Fault::Full { .. } => true,
            Fault::Io { source, .. } => source.kind() == io::ErrorKind::StorageFull,
            _ => false,
        }
    }

    /// A failed sync of what went before: of the change that was asked for now nothing is written.
    pub(crate) fn unwritten(self) -> Fault {
        match self {
            Fault::Unsure { file, source } => Fault::Io { doing: "syncing", file, source },
            other => other,
        }
    }

    /// A short word for logs.
    pub fn code(&self) -> &'static str {
        match self {
            Fault::Damaged { .. } => "damaged",
            Fault::Missing { .. } => "file_missing",
            Fault::Newer { .. } => "newer_version",
            Fault::InUse => "in_use",
            Fault::TooLarge { .. } => "too_large",
            Fault::Unsure { .. } => "not_synced",
            _ if self.is_full() => "disk_full",
            _ => "disk_fault",
        }
    }
}

impl From<Fault> for io::Error {
    fn from(fault: Fault) -> io::Error {
        let kind = match &fault {
            _ if fault.is_full() => io::ErrorKind::StorageFull,
            Fault::InUse => io::ErrorKind::WouldBlock,
            Fault::Damaged { .. } | Fault::Missing { .. } | Fault::Newer { .. } => io::ErrorKind::InvalidData,
            Fault::Io { source, .. } | Fault::Unsure { source, .. } => source.kind(),
            _ => io::ErrorKind::Other,
        };
        io::Error::new(kind, fault)
    }
}
