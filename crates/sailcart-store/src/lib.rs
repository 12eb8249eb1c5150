//! A small embedded store for what must outlive a process: keys and values in a segmented, append-only log, an index
//! in memory that is read from the log at every start, compaction in bounded steps, and recovery that restores a
//! consistent state or refuses. It knows nothing of packets, and has no thread and no clock of its own.
//!
//! [`Store::open`] recovers; [`Store::write`] appends several changes as one; [`Store::step`] does a bounded part of
//! compaction, and every write does its share. All file work goes through [`Files`]. The format stands in
//! `docs/store.md`.

mod compaction;
mod disk;
mod fault;
mod files;
mod frame;
mod index;
mod manifest;
mod recovery;
mod room;
mod salvage;
mod segment;
mod segmented_log;
mod store;

pub use disk::Disk;
pub use fault::Fault;
pub use files::Files;
pub use frame::{Change, MOST_KEY};
pub use recovery::{Standing, check};
pub use room::{Room, Sync};
pub use salvage::{Salvaged, salvage};
pub use store::{Effort, Store};
