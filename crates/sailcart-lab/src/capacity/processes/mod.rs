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

use super::series::Measurements;
use super::sizes::Sizes;
use crate::experiment::LabError;

/// Performs all measurements that need sender processes, one process at a time.
pub fn measure(program: &Path, sizes: &Sizes, measurements: &mut Measurements) -> Result<(), LabError> {
    for destinations in &sizes.destinations {
        list::measure(program, *destinations, sizes, measurements)?;
    }
    packets::measure_held(program, sizes, measurements)?;
    packets::measure_delivery(program, sizes, measurements)?;
    packets::measure_completed(program, sizes, measurements)?;
    connections::measure_clients(program, sizes, measurements)?;
    connections::measure_endpoints(program, sizes, measurements)
}
