//! From the start of the process to its end.

pub mod recovery;
pub mod reload;
pub mod start;
pub mod stop;
