//! The connections to the platform: discovery, which serves the list of endpoints, and the receiver of
//! notices.

mod connection;
mod follower;
mod notices;
mod refused;

pub use connection::AddressReceiver;
pub use follower::Follower;
pub use notices::{log_notices, send_notices};
