//! Units, and how figures are written for people.

use serde::{Deserialize, Serialize};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Unit {
    Bytes,
    BytesPerSecond,
    Seconds,
    /// Share of one processor core.
    Cores,
    /// A plain number of things.
    Count,
    CountPerSecond,
}

const THOUSANDS: [&str; 5] = ["", "k", "M", "G", "T"];

/// Below this, figures are written with an exponent.
const SMALL: f64 = 0.001;

/// Three significant digits.
fn three_digits(value: f64) -> String {
    if value != 0.0 && value.abs() < SMALL {
        return format!("{value:.2e}");
    }
    let digits = if value == 0.0 { 0 } else { value.abs().log10().floor() as i32 };
    let decimals = (2 - digits).clamp(0, 5) as usize;
    format!("{value:.decimals$}")
}

/// With a prefix for each factor of a thousand.
fn with_prefix(value: f64, unit: &str) -> String {
    let (mut scaled, mut step) = (value, 0);
    while scaled.abs() >= 999.5 && step + 1 < THOUSANDS.len() {
        scaled /= 1000.0;
        step += 1;
    }
    let text = format!("{} {}{unit}", three_digits(scaled), THOUSANDS[step]);
    text.trim_end().to_owned()
}

fn span(seconds: f64) -> String {
    match seconds.abs() {
        0.0 => "0 s".to_owned(),
        s if s < 0.999_5e-6 => format!("{} ns", three_digits(seconds * 1e9)),
        s if s < 0.999_5e-3 => format!("{} µs", three_digits(seconds * 1e6)),
        s if s < 0.999_5 => format!("{} ms", three_digits(seconds * 1e3)),
        s if s < 600.0 => format!("{} s", three_digits(seconds)),
        s if s < 36_000.0 => format!("{} min", three_digits(seconds / 60.0)),
        s if s < 864_000.0 => format!("{} h", three_digits(seconds / 3600.0)),
        _ => format!("{} days", three_digits(seconds / 86_400.0)),
    }
}

impl Unit {
    /// A figure of this unit for people.
    pub fn show(self, value: f64) -> String {
        match self {
            Unit::Bytes => with_prefix(value, "B"),
            Unit::BytesPerSecond => with_prefix(value, "B/s"),
            Unit::Seconds => span(value),
            Unit::Cores => format!("{} cores", three_digits(value)),
            Unit::Count => with_prefix(value, ""),
            Unit::CountPerSecond => with_prefix(value, "/s"),
        }
    }
}

/// A factor of need to budget for people.
pub fn show_factor(factor: f64) -> String {
    if factor >= 1000.0 { with_prefix(factor, "") } else { three_digits(factor) }
}
