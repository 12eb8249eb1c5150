//! Measurements of sender processes over loopback.

pub mod client;
mod connections;
pub mod discovery;
mod endpoint;
mod http;
mod list;
mod packets;
pub mod sender_process;

use std::path::Path;

use super::series::Gathered;
use super::sizes::Sizes;
use crate::experiment::Fault;

/// Measures everything that needs sender processes; one process at a time.
pub fn measure(program: &Path, sizes: &Sizes, gathered: &mut Gathered) -> Result<(), Fault> {
    for destinations in &sizes.destinations {
        list::measure(program, *destinations, sizes, gathered)?;
    }
    packets::held(program, sizes, gathered)?;
    packets::delivered(program, sizes, gathered)?;
    packets::ended(program, sizes, gathered)?;
    connections::clients(program, sizes, gathered)?;
    connections::endpoints(program, sizes, gathered)
}
