//! Measures what connections cost a sender, from clients and to endpoints.

use std::path::Path;

use super::client::{Client, PutCommand};
use super::discovery::{DestinationIndex, DiscoveryStub, EndpointAddresses};
use super::endpoint::EndpointStub;
use super::packets::{io_error, wait_for_calls};
use super::sender_process::SenderProcess;
use crate::capacity::series::{Measurements, Quantity};
use crate::capacity::sizes::Sizes;
use crate::experiment::LabError;

const DESTINATIONS: usize = 20;

/// Measures memory with idle connections from clients, each after one `PING`.
pub fn measure_clients(
    program: &Path,
    sizes: &Sizes,
    measurements: &mut Measurements,
) -> Result<(), LabError> {
    let discovery =
        DiscoveryStub::open(DESTINATIONS, EndpointAddresses::Unreachable).map_err(io_error("discovery"))?;
    let sender = SenderProcess::start(program, discovery.address)?;
    let mut open_clients = Vec::new();
    for size in sizes.client_connections.iter().copied() {
        while open_clients.len() < size {
            let mut client = Client::connect(sender.listen_address).map_err(io_error("client"))?;
            client.ping().map_err(io_error("client"))?;
            open_clients.push(client);
        }
        measurements.record(Quantity::ClientMemory, size, sender.resident_bytes()?);
    }
    Ok(())
}

/// Measures memory with idle connections to endpoints, each after one packet.
pub fn measure_endpoints(
    program: &Path,
    sizes: &Sizes,
    measurements: &mut Measurements,
) -> Result<(), LabError> {
    let endpoint = EndpointStub::open().map_err(io_error("endpoint"))?;
    let max_size = sizes.endpoint_connections.iter().copied().max().unwrap_or(1);
    let discovery = DiscoveryStub::open(max_size, EndpointAddresses::Shared(endpoint.address))
        .map_err(io_error("discovery"))?;
    let sender = SenderProcess::start(program, discovery.address)?;
    let mut client = Client::connect(sender.listen_address).map_err(io_error("client"))?;
    let mut submitted = 0;
    for size in sizes.endpoint_connections.iter().copied() {
        let command = |index: usize| PutCommand {
            id: index as u64 + 1,
            destination: DestinationIndex(index),
            body_bytes: 16,
        };
        let packets: Vec<PutCommand> = (submitted..size).map(command).collect();
        client.submit_all(&packets).map_err(io_error("packets"))?;
        submitted = size;
        wait_for_calls(&endpoint, submitted)?;
        measurements.record(Quantity::EndpointMemory, endpoint.open_connections(), sender.resident_bytes()?);
    }
    Ok(())
}
