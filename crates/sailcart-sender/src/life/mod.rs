//! The life cycle of the process: start, recovery, reload and stop.

pub mod recovery;
pub mod reload;
pub mod start;
pub mod stop;
