//! The list of destinations: as a whole, by changes, and when senders start.

use super::row::{Area, Mechanism, Resource, Role, Row, Subject};
use super::{Model, sum, times};
use crate::capacity::series::Quantity;
use crate::capacity::unit::Unit;

const LIST: &str = "crates/sailcart-sender/src/platform/";
const MODULE: &str = "src/listing.rs";

pub fn rows(model: &Model) -> Vec<Row> {
    [state(model), changes(model), pauses(model), starts(model), control(model)].concat()
}

fn about(role: Role, resource: Resource, what: &'static str, unit: Unit) -> Subject {
    Subject { area: Area::Directory, role, resource, what, unit }
}

fn state(model: &Model) -> Vec<Row> {
    let (inputs, all) = (model.inputs, model.inputs.destinations);
    let budget = inputs.sender_control_bytes;
    let memory = |what| about(Role::Sender, Resource::Memory, what, Unit::Bytes);
    vec![
        memory("resident with the list").row(
            model.at(Quantity::ListMemory, all),
            budget,
            Mechanism::exists(MODULE),
            "list-memory at destinations",
        ),
        memory("peak while a whole list is read").row(
            model.at(Quantity::ListPeakMemory, all),
            budget,
            Mechanism::exists(LIST),
            "list-peak-memory at destinations",
        ),
        memory("the module's part of it").row(
            model.at(Quantity::HollowMemory, all),
            budget,
            Mechanism::exists(MODULE),
            "hollow-memory at destinations",
        ),
    ]
}

fn changes(model: &Model) -> Vec<Row> {
    let (inputs, all) = (model.inputs, model.inputs.destinations);
    let rate = inputs.list_changes_per_s();
    let processor = |what| about(Role::Sender, Resource::Processor, what, Unit::Cores);
    let rest = model.at(Quantity::ListRest, all);
    let spent = times(model.at(Quantity::ListChangeProcessor, all), rate);
    let module = times(model.at(Quantity::HollowChange, all), rate);
    let bytes = times(model.at(Quantity::ListChangeBytes, all), rate);
    let changes = "2 x destinations x down_share / outage_s changes a second";
    vec![
        processor("changes of the list, and rest").row(
            sum(spent, rest),
            inputs.sender_control_cores,
            Mechanism::exists(MODULE),
            &format!("list-change-processor and list-rest at destinations; {changes}"),
        ),
        processor("rest alone").row(
            rest,
            inputs.sender_control_cores,
            Mechanism::exists(LIST),
            "list-rest at destinations",
        ),
        processor("the module's part of changes").row(
            module,
            inputs.sender_control_cores,
            Mechanism::exists(MODULE),
            &format!("hollow-change at destinations; {changes}"),
        ),
        about(Role::Sender, Resource::Messages, "changes of the list", Unit::BytesPerSecond).row(
            bytes,
            inputs.sender_control_bytes_per_s,
            Mechanism::missing("fewer destinations to each sender, or smaller changes"),
            &format!("list-change-bytes at destinations; {changes}"),
        ),
    ]
}

fn pauses(model: &Model) -> Vec<Row> {
    let (inputs, all) = (model.inputs, model.inputs.destinations);
    let pause = |what| about(Role::Sender, Resource::Time, what, Unit::Seconds);
    vec![
        pause("longest pause while a whole list is read").row(
            model.at(Quantity::ListReadPauseMost, all),
            inputs.pause_s,
            Mechanism::exists(LIST),
            "list-read-pause-most at destinations; pause_s",
        ),
        pause("longest pause while changes come").row(
            model.at(Quantity::ListChangePauseMost, all),
            inputs.pause_s,
            Mechanism::exists(MODULE),
            "list-change-pause-most at destinations; pause_s",
        ),
    ]
}

fn starts(model: &Model) -> Vec<Row> {
    let (inputs, all) = (model.inputs, model.inputs.destinations);
    let start =
        |resource, what, unit| Subject { area: Area::Start, role: Role::Sender, resource, what, unit };
    let list = model.at(Quantity::ListBytes, all);
    let per_day = inputs.restarts_per_day / inputs.senders;
    vec![
        start(Resource::Time, "the whole list at the bytes a second for control", Unit::Seconds).row(
            times(list, 1.0 / inputs.sender_control_bytes_per_s),
            inputs.ready_s,
            Mechanism::missing("a list of its own part only, or one kept from the life before"),
            "list-bytes at destinations / sender_control_bytes_per_s; ready_s",
        ),
        start(Resource::Messages, "whole lists, mean over a day of restarts", Unit::BytesPerSecond).row(
            times(list, per_day / 86_400.0),
            inputs.sender_control_bytes_per_s,
            Mechanism::exists(LIST),
            "list-bytes at destinations; restarts_per_day / senders",
        ),
        start(Resource::Time, "start to ready with the list, nothing held", Unit::Seconds).row(
            model.at(Quantity::ListStartToReady, all),
            inputs.ready_s,
            Mechanism::exists("crates/sailcart-sender/src/life/start.rs"),
            "list-start-to-ready at destinations; ready_s",
        ),
    ]
}

/// The platform's side is not of this project: bytes are measured, processor is assumed.
fn control(model: &Model) -> Vec<Row> {
    let (inputs, all) = (model.inputs, model.inputs.destinations);
    let each = 1.0 / inputs.control_machines;
    let list = model.at(Quantity::ListBytes, all);
    let messages = inputs.list_changes_per_s() * inputs.senders * each;
    let at_once = |senders: f64| times(list, senders * each / inputs.ready_s);
    let sends = |area, what| Subject {
        area,
        role: Role::Control,
        resource: Resource::Messages,
        what,
        unit: Unit::BytesPerSecond,
    };
    let platform = || Mechanism::missing("discovery at that size: the platform's, not measured here");
    vec![
        about(Role::Control, Resource::Processor, "changes of the list to all senders", Unit::Cores).row(
            super::assumed(messages * inputs.control_message_s),
            inputs.control_machine_cores,
            platform(),
            "changes a second x senders / control_machines x control_message_s",
        ),
        about(Role::Control, Resource::Memory, "the directory", Unit::Bytes).row(
            times(list, inputs.control_copies),
            inputs.control_machine_bytes,
            platform(),
            "list-bytes at destinations x control_copies",
        ),
        sends(Area::Directory, "changes of the list to all senders").row(
            times(model.at(Quantity::ListChangeBytes, all), messages),
            inputs.control_machine_bytes_per_s,
            platform(),
            "list-change-bytes; changes a second x senders / control_machines",
        ),
        sends(Area::Start, "whole lists to a zone that starts at once").row(
            at_once(inputs.zone_senders()),
            inputs.control_machine_bytes_per_s,
            platform(),
            "list-bytes at destinations x senders / zones / control_machines / ready_s",
        ),
        sends(Area::Start, "whole lists to all senders that start at once").row(
            at_once(inputs.senders),
            inputs.control_machine_bytes_per_s,
            platform(),
            "list-bytes at destinations x senders / control_machines / ready_s",
        ),
    ]
}
