//! Rows for connections and file descriptors.

use super::row::{Area, Mechanism, Resource, Role, Row, RowLabel};
use super::{Model, assumed, sum};
use crate::capacity::series::Quantity;
use crate::capacity::unit::Unit;

const POOL_FILE: &str = "crates/sailcart-sender/src/memory/pool.rs";

pub fn rows(model: &Model) -> Vec<Row> {
    let inputs = model.inputs;
    let label = |role, resource, description, unit| RowLabel {
        area: Area::Connections,
        role,
        resource,
        description,
        unit,
    };
    let events_per_s = inputs.events_per_s_per_sender();
    // With even traffic over this many destinations, hardly any call finds a connection that is still open.
    let calls_per_s_per_destination = events_per_s / inputs.destinations;
    let idle_connections =
        inputs.destinations * (1.0 - (-calls_per_s_per_destination * inputs.idle_keep_s).exp());
    let calls_in_flight = events_per_s * inputs.answer_s;
    let new_connection_share = (-calls_per_s_per_destination * inputs.idle_keep_s).exp();
    let busiest_events_per_s = inputs.events_per_s_of_rank(1.0);
    let connections_at_busiest =
        inputs.senders * (1.0 - (-busiest_events_per_s / inputs.senders * inputs.idle_keep_s).exp());
    let connections_at_mean = inputs.events_per_s / inputs.destinations * inputs.idle_keep_s;
    let placement = "placement of destinations on senders: few senders call one endpoint";
    vec![
        label(Role::Sender, Resource::Descriptors, "clients, calls out and idle connections", Unit::Count).row(
            assumed(inputs.clients_per_sender + calls_in_flight + idle_connections),
            inputs.sender_default_sockets,
            Mechanism::exists(POOL_FILE),
            "clients_per_sender + rate x answer_s + destinations met in idle_keep_s; sender_default_sockets",
        ),
        label(Role::Sender, Resource::Memory, "the same", Unit::Bytes).row(
            sum(
                model.increment(Quantity::ClientMemory, inputs.clients_per_sender),
                model.increment(Quantity::EndpointMemory, calls_in_flight + idle_connections),
            ),
            inputs.sender_default_bytes,
            Mechanism::exists(POOL_FILE),
            "client-memory's and endpoint-memory's slopes x the same; sender_default_bytes",
        ),
        label(Role::Sender, Resource::Messages, "calls that open a connection, of all", Unit::Count).row(
            assumed(new_connection_share),
            0.5,
            Mechanism::missing(placement),
            "exp(-rate / destinations x idle_keep_s), even traffic; half counts as the budget",
        ),
        label(Role::Endpoint, Resource::Descriptors, "connections at a usual endpoint", Unit::Count).row(
            assumed(connections_at_mean),
            inputs.endpoint_connections,
            Mechanism::missing(placement),
            "events_per_s / destinations x idle_keep_s; endpoint_connections",
        ),
        label(Role::Endpoint, Resource::Descriptors, "connections at the busiest endpoint", Unit::Count).row(
            assumed(connections_at_busiest),
            inputs.endpoint_connections,
            Mechanism::missing(placement),
            "senders that call it within idle_keep_s, by zipf; endpoint_connections",
        ),
    ]
}
