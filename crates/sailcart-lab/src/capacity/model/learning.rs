//! What senders learn of health and limits by their own calls, and what it costs to deliver.

use super::row::{Area, Mechanism, Resource, Role, Row, Subject};
use super::{Model, assumed, computed};
use crate::capacity::series::Quantity;
use crate::capacity::unit::Unit;

pub fn rows(model: &Model) -> Vec<Row> {
    let inputs = model.inputs;
    let seen = |what| Subject {
        area: Area::Learning,
        role: Role::Sender,
        resource: Resource::Time,
        what,
        unit: Unit::Seconds,
    };
    let placement = "placement of destinations on senders: who learns for whom";
    let missing = || Mechanism::missing(placement);
    let even = inputs.destinations / inputs.sender_rate();
    let median = inputs.senders / inputs.rate_of_rank(inputs.destinations / 2.0);
    let delivery = |what| Subject {
        area: Area::Delivery,
        role: Role::Sender,
        resource: Resource::Processor,
        what,
        unit: Unit::Cores,
    };
    let module = model.at(Quantity::HollowPacket, inputs.destinations);
    vec![
        seen("from one own call to a destination to the next, even traffic").row(
            computed(even),
            inputs.learn_within_s,
            missing(),
            "destinations x senders / events_per_s; learn_within_s",
        ),
        seen("the same for the destination of middle rank").row(
            assumed(median),
            inputs.learn_within_s,
            missing(),
            "senders / rate of the rank by zipf; learn_within_s",
        ),
        seen("the same, were each destination placed on few senders").row(
            assumed(even * inputs.owners / inputs.senders),
            inputs.learn_within_s,
            missing(),
            "destinations x owners / events_per_s; learn_within_s",
        ),
        delivery("events of an ordinary second").row(
            model.at(Quantity::DeliveryProcessor, inputs.sender_rate()),
            inputs.sender_core_share,
            Mechanism::exists("crates/sailcart-sender/src/exchange/"),
            "delivery-processor at events_per_s / senders, beside a list of 20; sender_core_share",
        ),
        delivery("the module's part, with the whole list").row(
            super::times(module, inputs.sender_rate()),
            inputs.sender_core_share,
            Mechanism::exists("src/control.rs"),
            "hollow-packet at destinations x events_per_s / senders; sender_core_share",
        ),
    ]
}
