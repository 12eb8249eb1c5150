//! What is measured at several sizes, and the slope of each.

use serde::{Deserialize, Serialize};

use super::fit::{Fit, Point, rounded};
use super::unit::Unit;

/// Every quantity that is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Quantity {
    ListMemory,
    ListPeakMemory,
    ListBytes,
    ListReadTime,
    ListReadProcessor,
    ListStartToReady,
    ListRest,
    ListChangeProcessor,
    ListChangeBytes,
    ListChangesTogether,
    ListReadPauseMost,
    ListReadPauseP99,
    ListChangePauseMost,
    ListChangePauseP99,
    HeldMemory,
    HeldJournal,
    HeldRecovery,
    ClientMemory,
    EndpointMemory,
    EndedMemory,
    EndedJournal,
    DeliveryProcessor,
    HollowMemory,
    HollowMemoryAfterPackets,
    HollowChange,
    HollowEmptyRound,
    HollowPacket,
    HollowVisitsPerChange,
}

/// How a quantity is named, and in what it is measured.
#[derive(Clone, Copy, Debug)]
pub struct Naming {
    pub title: &'static str,
    pub unit: Unit,
    /// What one step of size is.
    pub per: &'static str,
}

const LISTED: &str = "listed destination";

impl Quantity {
    pub const ALL: [Quantity; 28] = [
        Quantity::ListMemory,
        Quantity::ListPeakMemory,
        Quantity::ListBytes,
        Quantity::ListReadTime,
        Quantity::ListReadProcessor,
        Quantity::ListStartToReady,
        Quantity::ListRest,
        Quantity::ListChangeProcessor,
        Quantity::ListChangeBytes,
        Quantity::ListChangesTogether,
        Quantity::ListReadPauseMost,
        Quantity::ListReadPauseP99,
        Quantity::ListChangePauseMost,
        Quantity::ListChangePauseP99,
        Quantity::HeldMemory,
        Quantity::HeldJournal,
        Quantity::HeldRecovery,
        Quantity::ClientMemory,
        Quantity::EndpointMemory,
        Quantity::EndedMemory,
        Quantity::EndedJournal,
        Quantity::DeliveryProcessor,
        Quantity::HollowMemory,
        Quantity::HollowMemoryAfterPackets,
        Quantity::HollowChange,
        Quantity::HollowEmptyRound,
        Quantity::HollowPacket,
        Quantity::HollowVisitsPerChange,
    ];

    pub fn naming(self) -> Naming {
        let naming = |title, unit, per| Naming { title, unit, per };
        match self {
            Quantity::ListMemory => naming("resident memory with the list", Unit::Bytes, LISTED),
            Quantity::ListPeakMemory => {
                naming("peak resident memory, a second whole list read", Unit::Bytes, LISTED)
            }
            Quantity::ListBytes => naming("bytes of a whole list", Unit::Bytes, LISTED),
            Quantity::ListReadTime => {
                naming("time from a whole list's first byte to the next watch", Unit::Seconds, LISTED)
            }
            Quantity::ListReadProcessor => {
                naming("processor time to read a whole list", Unit::Seconds, LISTED)
            }
            Quantity::ListStartToReady => {
                naming("from the start of the process to its first PONG", Unit::Seconds, LISTED)
            }
            Quantity::ListRest => naming("processor at rest", Unit::Cores, LISTED),
            Quantity::ListChangeProcessor => {
                naming("processor time per change of the list", Unit::Seconds, LISTED)
            }
            Quantity::ListChangeBytes => naming("bytes per change, both directions", Unit::Bytes, LISTED),
            Quantity::ListChangesTogether => {
                naming("changes in one answer: over 1 where the sender falls behind", Unit::Count, LISTED)
            }
            Quantity::ListReadPauseMost => {
                naming("longest PING while a whole list is read", Unit::Seconds, LISTED)
            }
            Quantity::ListReadPauseP99 => naming("p99 of PING meanwhile", Unit::Seconds, LISTED),
            Quantity::ListChangePauseMost => naming("longest PING while changes come", Unit::Seconds, LISTED),
            Quantity::ListChangePauseP99 => naming("p99 of PING while changes come", Unit::Seconds, LISTED),
            Quantity::HeldMemory => naming("resident memory with held packets", Unit::Bytes, "held packet"),
            Quantity::HeldJournal => naming("journal with held packets", Unit::Bytes, "held packet"),
            Quantity::HeldRecovery => {
                naming("from the start of the process to its first PONG", Unit::Seconds, "held packet")
            }
            Quantity::ClientMemory => {
                naming("resident memory with clients connected", Unit::Bytes, "client connection")
            }
            Quantity::EndpointMemory => naming(
                "resident memory with idle connections to endpoints, one ended id each",
                Unit::Bytes,
                "endpoint connection",
            ),
            Quantity::EndedMemory => {
                naming("resident memory with remembered ids of ended packets", Unit::Bytes, "ended packet")
            }
            Quantity::EndedJournal => naming("journal after ended packets", Unit::Bytes, "ended packet"),
            Quantity::DeliveryProcessor => {
                naming("processor while packets are delivered", Unit::Cores, "packet a second")
            }
            Quantity::HollowMemory => naming("module: resident memory of one list", Unit::Bytes, LISTED),
            Quantity::HollowMemoryAfterPackets => {
                naming("module: the same after packets over all destinations", Unit::Bytes, LISTED)
            }
            Quantity::HollowChange => naming("module: time per change", Unit::Seconds, LISTED),
            Quantity::HollowEmptyRound => naming("module: time per empty round", Unit::Seconds, LISTED),
            Quantity::HollowPacket => {
                naming("module: time per packet taken, dispatched and over", Unit::Seconds, LISTED)
            }
            Quantity::HollowVisitsPerChange => {
                naming("module: table entries visited per change", Unit::Count, LISTED)
            }
        }
    }
}

/// A quantity at several sizes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Series {
    pub quantity: Quantity,
    /// The command by which it was measured.
    pub command: String,
    /// When, UTC.
    pub date: String,
    pub points: Vec<Point>,
    pub fit: Option<Fit>,
}

/// Where a figure at some size comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Basis {
    /// Measured at this size, or between two measured ones.
    Measured,
    /// Computed from the model's inputs alone, none of which is a guess.
    Computed,
    /// The straight line beyond the largest measured size.
    Extrapolated,
    /// From an input that nobody measured.
    Assumed,
    /// Nothing was measured, and nothing is assumed in its place.
    NotMeasured,
}

impl Basis {
    pub fn word(self) -> &'static str {
        match self {
            Basis::Measured => "measured",
            Basis::Computed => "computed",
            Basis::Extrapolated => "extrapolated",
            Basis::Assumed => "assumed",
            Basis::NotMeasured => "not measured",
        }
    }
}

/// A figure, and where it comes from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    pub value: f64,
    pub basis: Basis,
}

impl Series {
    pub fn largest(&self) -> f64 {
        let measured = self.points.iter().filter(|point| point.value.is_some());
        measured.map(|point| point.size).fold(0.0, f64::max)
    }

    /// The value at a size: the point there, the line through the points, or `None` without points.
    pub fn at(&self, size: f64) -> Option<Estimate> {
        let there = self.points.iter().find(|point| point.size == size);
        if let Some(value) = there.and_then(|point| point.value) {
            return Some(Estimate { value, basis: Basis::Measured });
        }
        let basis = if size <= self.largest() { Basis::Measured } else { Basis::Extrapolated };
        self.fit.map(|fit| Estimate { value: fit.at(size), basis })
    }
}

/// Gathers points while measurements go on.
#[derive(Debug, Default)]
pub struct Gathered {
    points: Vec<(Quantity, Point)>,
}

impl Gathered {
    pub fn add(&mut self, quantity: Quantity, size: usize, value: f64) {
        self.points.push((quantity, Point { size: size as f64, value: Some(rounded(value)) }));
    }

    /// The sender refused this size.
    pub fn refused(&mut self, quantity: Quantity, size: usize) {
        self.points.push((quantity, Point { size: size as f64, value: None }));
    }

    /// The value added last.
    pub fn last(&self, quantity: Quantity) -> Option<f64> {
        self.points.iter().rev().find(|(other, _)| *other == quantity)?.1.value
    }

    /// All series that have points.
    pub fn series(&self, command: &str, date: &str) -> Vec<Series> {
        let one = |quantity: Quantity| {
            let of_it = self.points.iter().filter(|(other, _)| *other == quantity);
            let points: Vec<Point> = of_it.map(|(_, point)| *point).collect();
            let fit = Fit::of(&points);
            let (command, date) = (command.to_owned(), date.to_owned());
            (!points.is_empty()).then_some(Series { quantity, command, date, points, fit })
        };
        Quantity::ALL.into_iter().filter_map(one).collect()
    }
}
