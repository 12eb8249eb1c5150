//! One row of the model: the need, the budget, and the mechanism that meets the need.

use serde::{Deserialize, Serialize};

use crate::capacity::fit::round_to_six_digits;
use crate::capacity::series::{Basis, Estimate};
use crate::capacity::unit::Unit;

/// The part of the system that a row is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Area {
    Directory,
    Learning,
    Backlog,
    Deduplication,
    Configuration,
    Membership,
    Connections,
    Delivery,
    Start,
    OrdinaryDay,
    ZoneLoss,
    RegionsApart,
}

impl Area {
    /// The name on the page.
    pub fn page_name(self) -> &'static str {
        match self {
            Area::Directory => "directory",
            Area::Learning => "health and limits",
            Area::Backlog => "backlog",
            Area::Deduplication => "deduplication",
            Area::Configuration => "configuration",
            Area::Membership => "membership",
            Area::Connections => "connections",
            Area::Delivery => "delivery",
            Area::Start => "start",
            Area::OrdinaryDay => "ordinary day",
            Area::ZoneLoss => "zone lost",
            Area::RegionsApart => "regions apart",
        }
    }
}

/// Who has to meet the need.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    Sender,
    /// One of the machines reserved for control.
    Control,
    /// A receiver of packets.
    Endpoint,
    /// All senders together.
    Fleet,
}

impl Role {
    /// The name on the page.
    pub fn page_name(self) -> &'static str {
        match self {
            Role::Sender => "sender",
            Role::Control => "control machine",
            Role::Endpoint => "endpoint",
            Role::Fleet => "fleet",
        }
    }
}

/// The resource that is needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Resource {
    Memory,
    Processor,
    Messages,
    Disk,
    Time,
    Descriptors,
    State,
}

impl Resource {
    /// The name on the page.
    pub fn page_name(self) -> &'static str {
        match self {
            Resource::Memory => "memory",
            Resource::Processor => "processor",
            Resource::Messages => "messages",
            Resource::Disk => "disk",
            Resource::Time => "time",
            Resource::Descriptors => "descriptors",
            Resource::State => "state",
        }
    }
}

/// The mechanism that meets the need in the current version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mechanism {
    /// Implemented in this file.
    Exists(String),
    /// Not implemented; describes what would be required.
    Missing(String),
}

impl Mechanism {
    /// A mechanism that is implemented in a file.
    pub fn exists(file: &str) -> Self {
        Mechanism::Exists(file.to_owned())
    }

    /// A mechanism that is not implemented.
    pub fn missing(description: &str) -> Self {
        Mechanism::Missing(description.to_owned())
    }
}

/// A need at the planned size, compared with its budget.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    pub area: Area,
    pub role: Role,
    pub resource: Resource,
    /// What the resource is needed for.
    #[serde(rename = "what")]
    pub description: String,
    /// Unit of need and budget.
    pub unit: Unit,
    /// `None` if a quantity it depends on was not measured.
    pub need: Option<f64>,
    /// What is available, in the same unit.
    pub budget: f64,
    /// Need divided by budget; the budget is met up to 1.
    pub factor: Option<f64>,
    pub basis: Basis,
    pub mechanism: Mechanism,
    /// The quantities and inputs that need and budget are computed from.
    #[serde(rename = "from")]
    pub derivation: String,
}

/// The part of a row that identifies it, without its figures.
pub struct RowLabel {
    pub area: Area,
    pub role: Role,
    pub resource: Resource,
    pub description: &'static str,
    pub unit: Unit,
}

impl RowLabel {
    /// Completes the row with its figures.
    pub fn row(self, need: Option<Estimate>, budget: f64, mechanism: Mechanism, derivation: &str) -> Row {
        let RowLabel { area, role, resource, description, unit } = self;
        let value = need.map(|need| round_to_six_digits(need.value));
        Row {
            area,
            role,
            resource,
            description: description.to_owned(),
            unit,
            need: value,
            budget: round_to_six_digits(budget),
            factor: value.map(|value| round_to_six_digits(value / budget)),
            basis: need.map_or(Basis::NotMeasured, |need| need.basis),
            mechanism,
            derivation: derivation.to_owned(),
        }
    }
}

impl Row {
    /// Whether the need is within the budget; `None` without a need.
    pub fn within_budget(&self) -> Option<bool> {
        self.factor.map(|factor| factor <= 1.0)
    }
}
