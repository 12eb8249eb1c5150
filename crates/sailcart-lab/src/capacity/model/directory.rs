//! Rows for the list of destinations: the full list, its changes, and the start of senders.

use super::row::{Area, Mechanism, Resource, Role, Row, RowLabel};
use super::{Model, scaled, sum};
use crate::capacity::series::Quantity;
use crate::capacity::unit::Unit;

const LIST_FILES: &str = "crates/sailcart-sender/src/platform/";
const MODULE_FILE: &str = "src/listing.rs";

pub fn rows(model: &Model) -> Vec<Row> {
    [state(model), changes(model), pauses(model), starts(model), control(model)].concat()
}

fn label(role: Role, resource: Resource, description: &'static str, unit: Unit) -> RowLabel {
    RowLabel { area: Area::Directory, role, resource, description, unit }
}

fn state(model: &Model) -> Vec<Row> {
    let (inputs, destinations) = (model.inputs, model.inputs.destinations);
    let budget = inputs.sender_control_bytes;
    let memory = |description| label(Role::Sender, Resource::Memory, description, Unit::Bytes);
    vec![
        memory("resident with the list").row(
            model.estimate_at(Quantity::ListMemory, destinations),
            budget,
            Mechanism::exists(MODULE_FILE),
            "list-memory at destinations",
        ),
        memory("peak while a whole list is read").row(
            model.estimate_at(Quantity::ListPeakMemory, destinations),
            budget,
            Mechanism::exists(LIST_FILES),
            "list-peak-memory at destinations",
        ),
        memory("the module's part of it").row(
            model.estimate_at(Quantity::ModuleMemory, destinations),
            budget,
            Mechanism::exists(MODULE_FILE),
            "hollow-memory at destinations",
        ),
    ]
}

fn changes(model: &Model) -> Vec<Row> {
    let (inputs, destinations) = (model.inputs, model.inputs.destinations);
    let changes_per_s = inputs.list_changes_per_s();
    let processor = |description| label(Role::Sender, Resource::Processor, description, Unit::Cores);
    let idle_cores = model.estimate_at(Quantity::ListIdleProcessor, destinations);
    let change_cores = scaled(model.estimate_at(Quantity::ListChangeProcessor, destinations), changes_per_s);
    let module_cores = scaled(model.estimate_at(Quantity::ModuleChange, destinations), changes_per_s);
    let change_bytes_per_s =
        scaled(model.estimate_at(Quantity::ListChangeBytes, destinations), changes_per_s);
    let changes = "2 x destinations x down_share / outage_s changes a second";
    vec![
        processor("changes of the list, and rest").row(
            sum(change_cores, idle_cores),
            inputs.sender_control_cores,
            Mechanism::exists(MODULE_FILE),
            &format!("list-change-processor and list-rest at destinations; {changes}"),
        ),
        processor("rest alone").row(
            idle_cores,
            inputs.sender_control_cores,
            Mechanism::exists(LIST_FILES),
            "list-rest at destinations",
        ),
        processor("the module's part of changes").row(
            module_cores,
            inputs.sender_control_cores,
            Mechanism::exists(MODULE_FILE),
            &format!("hollow-change at destinations; {changes}"),
        ),
        label(Role::Sender, Resource::Messages, "changes of the list", Unit::BytesPerSecond).row(
            change_bytes_per_s,
            inputs.sender_control_bytes_per_s,
            Mechanism::missing("fewer destinations to each sender, or smaller changes"),
            &format!("list-change-bytes at destinations; {changes}"),
        ),
    ]
}

fn pauses(model: &Model) -> Vec<Row> {
    let (inputs, destinations) = (model.inputs, model.inputs.destinations);
    let pause = |description| label(Role::Sender, Resource::Time, description, Unit::Seconds);
    vec![
        pause("longest pause while a whole list is read").row(
            model.estimate_at(Quantity::ListReadPauseMax, destinations),
            inputs.pause_s,
            Mechanism::exists(LIST_FILES),
            "list-read-pause-most at destinations; pause_s",
        ),
        pause("longest pause while changes come").row(
            model.estimate_at(Quantity::ListChangePauseMax, destinations),
            inputs.pause_s,
            Mechanism::exists(MODULE_FILE),
            "list-change-pause-most at destinations; pause_s",
        ),
    ]
}

fn starts(model: &Model) -> Vec<Row> {
    let (inputs, destinations) = (model.inputs, model.inputs.destinations);
    let start = |resource, description, unit| RowLabel {
        area: Area::Start,
        role: Role::Sender,
        resource,
        description,
        unit,
    };
    let list_bytes = model.estimate_at(Quantity::ListBytes, destinations);
    let restarts_per_sender_per_day = inputs.restarts_per_day / inputs.senders;
    vec![
        start(Resource::Time, "the whole list at the bytes a second for control", Unit::Seconds).row(
            scaled(list_bytes, 1.0 / inputs.sender_control_bytes_per_s),
            inputs.ready_s,
            Mechanism::missing("a list of its own part only, or one kept from the life before"),
            "list-bytes at destinations / sender_control_bytes_per_s; ready_s",
        ),
        start(Resource::Messages, "whole lists, mean over a day of restarts", Unit::BytesPerSecond).row(
            scaled(list_bytes, restarts_per_sender_per_day / 86_400.0),
            inputs.sender_control_bytes_per_s,
            Mechanism::exists(LIST_FILES),
            "list-bytes at destinations; restarts_per_day / senders",
        ),
        start(Resource::Time, "start to ready with the list, nothing held", Unit::Seconds).row(
            model.estimate_at(Quantity::ListStartToReady, destinations),
            inputs.ready_s,
            Mechanism::exists("crates/sailcart-sender/src/life/start.rs"),
            "list-start-to-ready at destinations; ready_s",
        ),
    ]
}

/// Rows for the platform's control machines. They are not part of this project: bytes are measured, processor
/// time is assumed.
fn control(model: &Model) -> Vec<Row> {
    let (inputs, destinations) = (model.inputs, model.inputs.destinations);
    let share_of_machine = 1.0 / inputs.control_machines;
    let list_bytes = model.estimate_at(Quantity::ListBytes, destinations);
    let messages_per_s = inputs.list_changes_per_s() * inputs.senders * share_of_machine;
    let at_once = |senders: f64| scaled(list_bytes, senders * share_of_machine / inputs.ready_s);
    let control_messages = |area, description| RowLabel {
        area,
        role: Role::Control,
        resource: Resource::Messages,
        description,
        unit: Unit::BytesPerSecond,
    };
    let platform_mechanism =
        || Mechanism::missing("discovery at that size: the platform's, not measured here");
    vec![
        label(Role::Control, Resource::Processor, "changes of the list to all senders", Unit::Cores).row(
            super::assumed(messages_per_s * inputs.control_message_s),
            inputs.control_machine_cores,
            platform_mechanism(),
            "changes a second x senders / control_machines x control_message_s",
        ),
        label(Role::Control, Resource::Memory, "the directory", Unit::Bytes).row(
            scaled(list_bytes, inputs.control_copies),
            inputs.control_machine_bytes,
            platform_mechanism(),
            "list-bytes at destinations x control_copies",
        ),
        control_messages(Area::Directory, "changes of the list to all senders").row(
            scaled(model.estimate_at(Quantity::ListChangeBytes, destinations), messages_per_s),
            inputs.control_machine_bytes_per_s,
            platform_mechanism(),
            "list-change-bytes; changes a second x senders / control_machines",
        ),
        control_messages(Area::Start, "whole lists to a zone that starts at once").row(
            at_once(inputs.senders_per_zone()),
            inputs.control_machine_bytes_per_s,
            platform_mechanism(),
            "list-bytes at destinations x senders / zones / control_machines / ready_s",
        ),
        control_messages(Area::Start, "whole lists to all senders that start at once").row(
            at_once(inputs.senders),
            inputs.control_machine_bytes_per_s,
            platform_mechanism(),
            "list-bytes at destinations x senders / control_machines / ready_s",
        ),
    ]
}
