//! The quantities measured at several sizes, and the line fitted through the points of each.

use serde::{Deserialize, Serialize};

use super::fit::{Fit, Point, round_to_six_digits};
use super::unit::Unit;

/// A measured quantity. The names in JSON are part of `docs/capacity.json` and of the page.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Quantity {
    ListMemory,
    ListPeakMemory,
    ListBytes,
    ListReadTime,
    ListReadProcessor,
    ListStartToReady,
    #[serde(rename = "list-rest")]
    ListIdleProcessor,
    ListChangeProcessor,
    ListChangeBytes,
    #[serde(rename = "list-changes-together")]
    ListChangesPerResponse,
    #[serde(rename = "list-read-pause-most")]
    ListReadPauseMax,
    ListReadPauseP99,
    #[serde(rename = "list-change-pause-most")]
    ListChangePauseMax,
    ListChangePauseP99,
    HeldMemory,
    HeldJournal,
    HeldRecovery,
    ClientMemory,
    EndpointMemory,
    #[serde(rename = "ended-memory")]
    CompletedMemory,
    #[serde(rename = "ended-journal")]
    CompletedJournal,
    DeliveryProcessor,
    #[serde(rename = "hollow-memory")]
    ModuleMemory,
    #[serde(rename = "hollow-memory-after-packets")]
    ModuleMemoryAfterPackets,
    #[serde(rename = "hollow-change")]
    ModuleChange,
    #[serde(rename = "hollow-empty-round")]
    ModuleEmptyRound,
    #[serde(rename = "hollow-packet")]
    ModulePacket,
    #[serde(rename = "hollow-visits-per-change")]
    ModuleVisitsPerChange,
}

/// How a quantity is presented.
#[derive(Clone, Copy, Debug)]
pub struct QuantityLabel {
    pub title: &'static str,
    /// Unit of the values.
    pub unit: Unit,
    /// What one unit of size is.
    pub size_unit: &'static str,
}

/// Size unit of the quantities that depend on the list.
const LISTED: &str = "listed destination";

impl Quantity {
    /// All quantities, in the order of the report.
    pub const ALL: [Quantity; 28] = [
        Quantity::ListMemory,
        Quantity::ListPeakMemory,
        Quantity::ListBytes,
        Quantity::ListReadTime,
        Quantity::ListReadProcessor,
        Quantity::ListStartToReady,
        Quantity::ListIdleProcessor,
        Quantity::ListChangeProcessor,
        Quantity::ListChangeBytes,
        Quantity::ListChangesPerResponse,
        Quantity::ListReadPauseMax,
        Quantity::ListReadPauseP99,
        Quantity::ListChangePauseMax,
        Quantity::ListChangePauseP99,
        Quantity::HeldMemory,
        Quantity::HeldJournal,
        Quantity::HeldRecovery,
        Quantity::ClientMemory,
        Quantity::EndpointMemory,
        Quantity::CompletedMemory,
        Quantity::CompletedJournal,
        Quantity::DeliveryProcessor,
        Quantity::ModuleMemory,
        Quantity::ModuleMemoryAfterPackets,
        Quantity::ModuleChange,
        Quantity::ModuleEmptyRound,
        Quantity::ModulePacket,
        Quantity::ModuleVisitsPerChange,
    ];

    /// Title and units of the quantity.
    pub fn label(self) -> QuantityLabel {
        let label = |title, unit, size_unit| QuantityLabel { title, unit, size_unit };
        match self {
            Quantity::ListMemory => label("resident memory with the list", Unit::Bytes, LISTED),
            Quantity::ListPeakMemory => {
                label("peak resident memory, a second whole list read", Unit::Bytes, LISTED)
            }
            Quantity::ListBytes => label("bytes of a whole list", Unit::Bytes, LISTED),
            Quantity::ListReadTime => {
                label("time from a whole list's first byte to the next watch", Unit::Seconds, LISTED)
            }
            Quantity::ListReadProcessor => {
                label("processor time to read a whole list", Unit::Seconds, LISTED)
            }
            Quantity::ListStartToReady => {
                label("from the start of the process to its first PONG", Unit::Seconds, LISTED)
            }
            Quantity::ListIdleProcessor => label("processor at rest", Unit::Cores, LISTED),
            Quantity::ListChangeProcessor => {
                label("processor time per change of the list", Unit::Seconds, LISTED)
            }
            Quantity::ListChangeBytes => label("bytes per change, both directions", Unit::Bytes, LISTED),
            Quantity::ListChangesPerResponse => {
                label("changes in one answer: over 1 where the sender falls behind", Unit::Count, LISTED)
            }
            Quantity::ListReadPauseMax => {
                label("longest PING while a whole list is read", Unit::Seconds, LISTED)
            }
            Quantity::ListReadPauseP99 => label("p99 of PING meanwhile", Unit::Seconds, LISTED),
            Quantity::ListChangePauseMax => label("longest PING while changes come", Unit::Seconds, LISTED),
            Quantity::ListChangePauseP99 => label("p99 of PING while changes come", Unit::Seconds, LISTED),
            Quantity::HeldMemory => label("resident memory with held packets", Unit::Bytes, "held packet"),
            Quantity::HeldJournal => label("journal with held packets", Unit::Bytes, "held packet"),
            Quantity::HeldRecovery => {
                label("from the start of the process to its first PONG", Unit::Seconds, "held packet")
            }
            Quantity::ClientMemory => {
                label("resident memory with clients connected", Unit::Bytes, "client connection")
            }
            Quantity::EndpointMemory => label(
                "resident memory with idle connections to endpoints, one ended id each",
                Unit::Bytes,
                "endpoint connection",
            ),
            Quantity::CompletedMemory => {
                label("resident memory with remembered ids of ended packets", Unit::Bytes, "ended packet")
            }
            Quantity::CompletedJournal => label("journal after ended packets", Unit::Bytes, "ended packet"),
            Quantity::DeliveryProcessor => {
                label("processor while packets are delivered", Unit::Cores, "packet a second")
            }
            Quantity::ModuleMemory => label("module: resident memory of one list", Unit::Bytes, LISTED),
            Quantity::ModuleMemoryAfterPackets => {
                label("module: the same after packets over all destinations", Unit::Bytes, LISTED)
            }
            Quantity::ModuleChange => label("module: time per change", Unit::Seconds, LISTED),
            Quantity::ModuleEmptyRound => label("module: time per empty round", Unit::Seconds, LISTED),
            Quantity::ModulePacket => {
                label("module: time per packet taken, dispatched and over", Unit::Seconds, LISTED)
            }
            Quantity::ModuleVisitsPerChange => {
                label("module: table entries visited per change", Unit::Count, LISTED)
            }
        }
    }
}

/// The values of a quantity at several sizes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Series {
    pub quantity: Quantity,
    /// The command line of the run that measured it.
    pub command: String,
    /// When the run started, in UTC.
    pub date: String,
    pub points: Vec<Point>,
    /// The line through the points; `None` for fewer than two different sizes.
    pub fit: Option<Fit>,
}

/// How a value at some size was obtained, from the most to the least reliable. The order decides the basis of
/// a combined value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Basis {
    /// Measured at this size, or interpolated between measured sizes.
    Measured,
    /// Computed from the model's inputs alone, none of which is assumed.
    Computed,
    /// Extrapolated along the fitted line beyond the largest measured size.
    Extrapolated,
    /// Computed from an assumed input, one that was not measured.
    Assumed,
    /// Not measured, and no value is assumed in its place.
    NotMeasured,
}

impl Basis {
    /// The name on the page.
    pub fn page_name(self) -> &'static str {
        match self {
            Basis::Measured => "measured",
            Basis::Computed => "computed",
            Basis::Extrapolated => "extrapolated",
            Basis::Assumed => "assumed",
            Basis::NotMeasured => "not measured",
        }
    }
}

/// A value and how it was obtained.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    pub value: f64,
    pub basis: Basis,
}

impl Series {
    /// The largest size that has a value; 0 without any.
    pub fn largest_size(&self) -> f64 {
        let measured = self.points.iter().filter(|point| point.value.is_some());
        measured.map(|point| point.size).fold(0.0, f64::max)
    }

    /// The value at a size: that of the point at this size, otherwise that of the fitted line. `None` without
    /// a line.
    pub fn estimate_at(&self, size: f64) -> Option<Estimate> {
        let at_size = self.points.iter().find(|point| point.size == size);
        if let Some(value) = at_size.and_then(|point| point.value) {
            return Some(Estimate { value, basis: Basis::Measured });
        }
        let basis = if size <= self.largest_size() { Basis::Measured } else { Basis::Extrapolated };
        self.fit.map(|fit| Estimate { value: fit.value_at(size), basis })
    }
}

/// Collects points during a run.
#[derive(Debug, Default)]
pub struct Measurements {
    points: Vec<(Quantity, Point)>,
}

impl Measurements {
    /// Records a value at a size.
    pub fn record(&mut self, quantity: Quantity, size: usize, value: f64) {
        self.points.push((quantity, Point { size: size as f64, value: Some(round_to_six_digits(value)) }));
    }

    /// Records that the sender refused this size.
    pub fn record_refused(&mut self, quantity: Quantity, size: usize) {
        self.points.push((quantity, Point { size: size as f64, value: None }));
    }

    /// The value that was recorded last for a quantity; `None` if that size was refused or there is none.
    pub fn last_value(&self, quantity: Quantity) -> Option<f64> {
        self.points.iter().rev().find(|(other, _)| *other == quantity)?.1.value
    }

    /// The series of all quantities that have points.
    pub fn to_series(&self, command: &str, date: &str) -> Vec<Series> {
        let series_of = |quantity: Quantity| {
            let matching = self.points.iter().filter(|(other, _)| *other == quantity);
            let points: Vec<Point> = matching.map(|(_, point)| *point).collect();
            let fit = Fit::least_squares(&points);
            let (command, date) = (command.to_owned(), date.to_owned());
            (!points.is_empty()).then_some(Series { quantity, command, date, points, fit })
        };
        Quantity::ALL.into_iter().filter_map(series_of).collect()
    }
}
