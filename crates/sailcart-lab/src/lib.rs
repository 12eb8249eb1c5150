//! The laboratory: what the sender is measured with. An experiment (`experiment`) is drawn out (`plan`) and played
//! with the module in simulated time (`simulated`) or with sender processes (`sockets`); the same receivers
//! (`receivers`) answer in both, the same watcher (`watcher`) sees whether a rule breaks, and `results` says what
//! came of it. `capacity` measures what a sender costs by size, `soak` overlaps troubles of peers, processes, machines and links. Nothing here is reachable from the sender.

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
