//! Rows for what senders learn about health and limits from their own calls, and for the cost of delivery.

use super::row::{Area, Mechanism, Resource, Role, Row, RowLabel};
use super::{Model, assumed, computed};
use crate::capacity::series::Quantity;
use crate::capacity::unit::Unit;

pub fn rows(model: &Model) -> Vec<Row> {
    let inputs = model.inputs;
    let time_to_learn = |description| RowLabel {
        area: Area::Learning,
        role: Role::Sender,
        resource: Resource::Time,
        description,
        unit: Unit::Seconds,
    };
    let placement = "placement of destinations on senders: who learns for whom";
    let missing = || Mechanism::missing(placement);
    let even_interval_s = inputs.destinations / inputs.events_per_s_per_sender();
    let median_interval_s = inputs.senders / inputs.events_per_s_of_rank(inputs.destinations / 2.0);
    let delivery = |description| RowLabel {
        area: Area::Delivery,
        role: Role::Sender,
        resource: Resource::Processor,
        description,
        unit: Unit::Cores,
    };
    let module_seconds = model.estimate_at(Quantity::ModulePacket, inputs.destinations);
    vec![
        time_to_learn("from one own call to a destination to the next, even traffic").row(
            computed(even_interval_s),
            inputs.learn_within_s,
            missing(),
            "destinations x senders / events_per_s; learn_within_s",
        ),
        time_to_learn("the same for the destination of middle rank").row(
            assumed(median_interval_s),
            inputs.learn_within_s,
            missing(),
            "senders / rate of the rank by zipf; learn_within_s",
        ),
        time_to_learn("the same, were each destination placed on few senders").row(
            assumed(even_interval_s * inputs.owners / inputs.senders),
            inputs.learn_within_s,
            missing(),
            "destinations x owners / events_per_s; learn_within_s",
        ),
        delivery("events of an ordinary second").row(
            model.estimate_at(Quantity::DeliveryProcessor, inputs.events_per_s_per_sender()),
            inputs.sender_core_share,
            Mechanism::exists("crates/sailcart-sender/src/exchange/"),
            "delivery-processor at events_per_s / senders, beside a list of 20; sender_core_share",
        ),
        delivery("the module's part, with the whole list").row(
            super::scaled(module_seconds, inputs.events_per_s_per_sender()),
            inputs.sender_core_share,
            Mechanism::exists("src/control.rs"),
            "hollow-packet at destinations x events_per_s / senders; sender_core_share",
        ),
    ]
}
