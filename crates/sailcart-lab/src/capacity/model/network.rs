//! Connections and descriptors.

use super::row::{Area, Mechanism, Resource, Role, Row, Subject};
use super::{Model, assumed, sum};
use crate::capacity::series::Quantity;
use crate::capacity::unit::Unit;

const POOL: &str = "crates/sailcart-sender/src/memory/pool.rs";

pub fn rows(model: &Model) -> Vec<Row> {
    let inputs = model.inputs;
    let about = |role, resource, what, unit| Subject { area: Area::Connections, role, resource, what, unit };
    let rate = inputs.sender_rate();
    // Even traffic over so many destinations: hardly a call meets a connection that still stands.
    let per_pair = rate / inputs.destinations;
    let idle = inputs.destinations * (1.0 - (-per_pair * inputs.idle_keep_s).exp());
    let out = rate * inputs.answer_s;
    let fresh = (-per_pair * inputs.idle_keep_s).exp();
    let busiest = inputs.rate_of_rank(1.0);
    let at_busiest = inputs.senders * (1.0 - (-busiest / inputs.senders * inputs.idle_keep_s).exp());
    let at_mean = inputs.events_per_s / inputs.destinations * inputs.idle_keep_s;
    let placement = "placement of destinations on senders: few senders call one endpoint";
    vec![
        about(Role::Sender, Resource::Descriptors, "clients, calls out and idle connections", Unit::Count).row(
            assumed(inputs.clients_per_sender + out + idle),
            inputs.sender_default_sockets,
            Mechanism::exists(POOL),
            "clients_per_sender + rate x answer_s + destinations met in idle_keep_s; sender_default_sockets",
        ),
        about(Role::Sender, Resource::Memory, "the same", Unit::Bytes).row(
            sum(
                model.added(Quantity::ClientMemory, inputs.clients_per_sender),
                model.added(Quantity::EndpointMemory, out + idle),
            ),
            inputs.sender_default_bytes,
            Mechanism::exists(POOL),
            "client-memory's and endpoint-memory's slopes x the same; sender_default_bytes",
        ),
        about(Role::Sender, Resource::Messages, "calls that open a connection, of all", Unit::Count).row(
            assumed(fresh),
            0.5,
            Mechanism::missing(placement),
            "exp(-rate / destinations x idle_keep_s), even traffic; half counts as the budget",
        ),
        about(Role::Endpoint, Resource::Descriptors, "connections at a usual endpoint", Unit::Count).row(
            assumed(at_mean),
            inputs.endpoint_connections,
            Mechanism::missing(placement),
            "events_per_s / destinations x idle_keep_s; endpoint_connections",
        ),
        about(Role::Endpoint, Resource::Descriptors, "connections at the busiest endpoint", Unit::Count).row(
            assumed(at_busiest),
            inputs.endpoint_connections,
            Mechanism::missing(placement),
            "senders that call it within idle_keep_s, by zipf; endpoint_connections",
        ),
    ]
}
