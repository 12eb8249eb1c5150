//! The platform's side: where the list of destinations comes from, and where notices go.

mod connection;
mod follower;
mod notices;
mod refused;

pub use connection::Place;
pub use follower::Follower;
pub use notices::{note, notify};
