//! What connections cost one sender, from clients and to endpoints.

use std::path::Path;

use super::client::{Client, Put};
use super::discovery::{Directory, Listed, Places};
use super::endpoint::Endpoint;
use super::packets::{fault, wait_answered};
use super::sender_process::SenderProcess;
use crate::capacity::series::{Gathered, Quantity};
use crate::capacity::sizes::Sizes;
use crate::experiment::Fault;

const DESTINATIONS: usize = 20;

/// Idle connections from clients, each after one `PING`.
pub fn clients(program: &Path, sizes: &Sizes, gathered: &mut Gathered) -> Result<(), Fault> {
    let directory = Directory::open(DESTINATIONS, Places::Nowhere).map_err(fault("discovery"))?;
    let sender = SenderProcess::start(program, directory.address)?;
    let mut open = Vec::new();
    for size in sizes.clients.iter().copied() {
        while open.len() < size {
            let mut client = Client::connect(sender.listen).map_err(fault("client"))?;
            client.ping().map_err(fault("client"))?;
            open.push(client);
        }
        gathered.add(Quantity::ClientMemory, size, sender.resident()?);
    }
    Ok(())
}

/// Idle connections to endpoints, each after one packet.
pub fn endpoints(program: &Path, sizes: &Sizes, gathered: &mut Gathered) -> Result<(), Fault> {
    let endpoint = Endpoint::open().map_err(fault("endpoint"))?;
    let most = sizes.endpoints.iter().copied().max().unwrap_or(1);
    let directory = Directory::open(most, Places::At(endpoint.address)).map_err(fault("discovery"))?;
    let sender = SenderProcess::start(program, directory.address)?;
    let mut client = Client::connect(sender.listen).map_err(fault("client"))?;
    let mut taken = 0;
    for size in sizes.endpoints.iter().copied() {
        let put = |number: usize| Put { id: number as u64 + 1, destination: Listed(number), body: 16 };
        let packets: Vec<Put> = (taken..size).map(put).collect();
        client.put_all(&packets).map_err(fault("packets"))?;
        taken = size;
        wait_answered(&endpoint, taken)?;
        gathered.add(Quantity::EndpointMemory, endpoint.connections(), sender.resident()?);
    }
    Ok(())
}
