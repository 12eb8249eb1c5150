//! An embedded key-value store for state that must survive the process: a segmented, append-only log, an
//! in-memory index that is rebuilt from the log at every start, incremental compaction, and recovery that
//! either restores a consistent state or refuses to open. The store knows nothing of packets and has no
//! threads and no clock.
//!
//! [`Store::open`] recovers a folder, [`Store::write`] appends several changes atomically, and
//! [`Store::compact`] runs one bounded step of compaction; every write also runs such a step where compaction
//! is due. All file access goes through [`Files`]. The on-disk format is described in `docs/store.md`.

mod compaction;
mod disk;
mod error;
mod files;
mod frame;
mod index;
mod manifest;
mod options;
mod recovery;
mod salvage;
mod segment;
mod segmented_log;
mod store;

pub use disk::Disk;
pub use error::StoreError;
pub use files::Files;
pub use frame::{Change, MAX_KEY_BYTES};
pub use options::{StoreOptions, SyncPolicy};
pub use recovery::{RecoverySummary, check};
pub use salvage::{SalvageReport, salvage};
pub use store::{Store, StoreStats};
