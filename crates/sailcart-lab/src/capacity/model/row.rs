//! One line of the table: what is needed, what there is, and what carries it.

use serde::{Deserialize, Serialize};

use crate::capacity::fit::rounded;
use crate::capacity::series::{Basis, Estimate};
use crate::capacity::unit::Unit;

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
    pub fn word(self) -> &'static str {
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

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    Sender,
    /// One of the machines set aside for control.
    Control,
    /// A receiver of packets.
    Endpoint,
    Fleet,
}

impl Role {
    pub fn word(self) -> &'static str {
        match self {
            Role::Sender => "sender",
            Role::Control => "control machine",
            Role::Endpoint => "endpoint",
            Role::Fleet => "fleet",
        }
    }
}

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
    pub fn word(self) -> &'static str {
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

/// What carries the need today.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mechanism {
    /// The file that has it.
    Exists(String),
    /// What would have to be built.
    Missing(String),
}

impl Mechanism {
    pub fn exists(file: &str) -> Self {
        Mechanism::Exists(file.to_owned())
    }

    pub fn missing(what: &str) -> Self {
        Mechanism::Missing(what.to_owned())
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    pub area: Area,
    pub role: Role,
    pub resource: Resource,
    pub what: String,
    pub unit: Unit,
    pub need: Option<f64>,
    pub budget: f64,
    /// Need over budget: kept up to 1.
    pub factor: Option<f64>,
    pub basis: Basis,
    pub mechanism: Mechanism,
    /// Which slopes and inputs it comes from.
    pub from: String,
}

/// What a row says before its figures.
pub struct Subject {
    pub area: Area,
    pub role: Role,
    pub resource: Resource,
    pub what: &'static str,
    pub unit: Unit,
}

impl Subject {
    pub fn row(self, need: Option<Estimate>, budget: f64, mechanism: Mechanism, from: &str) -> Row {
        let Subject { area, role, resource, what, unit } = self;
        let value = need.map(|need| rounded(need.value));
        Row {
            area,
            role,
            resource,
            what: what.to_owned(),
            unit,
            need: value,
            budget: rounded(budget),
            factor: value.map(|value| rounded(value / budget)),
            basis: need.map_or(Basis::NotMeasured, |need| need.basis),
            mechanism,
            from: from.to_owned(),
        }
    }
}

impl Row {
    pub fn kept(&self) -> Option<bool> {
        self.factor.map(|factor| factor <= 1.0)
    }
}
