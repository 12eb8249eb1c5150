//! The laboratory: measures the sender and checks that it follows its rules.
//!
//! An experiment (`experiment`) is turned into a plan (`plan`) and run either with the `sailcart` crate in
//! simulated time (`simulated`) or with sender processes (`sockets`). Both modes use the same receivers
//! (`receivers`) and the same watcher (`watcher`), which detects violations of the rules; `results` evaluates
//! a run. `capacity` measures how a sender's costs grow. `soak` overlaps troubles of peers, processes,
//! machines and links. The sender does not depend on this crate.

pub mod capacity;
pub mod events;
pub mod experiment;
pub mod plan;
pub mod policies;
pub mod receivers;
pub mod results;
pub mod run;
pub mod shipped;
pub mod simulated;
pub mod soak;
pub mod sockets;
pub mod watcher;
