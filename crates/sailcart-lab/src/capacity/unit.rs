//! Units, and how values are formatted for people.

use serde::{Deserialize, Serialize};

/// The unit of a measured or computed value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Unit {
    Bytes,
    BytesPerSecond,
    Seconds,
    /// Share of one processor core.
    Cores,
    /// A dimensionless number.
    Count,
    CountPerSecond,
}

/// Prefixes for factors of a thousand.
const SI_PREFIXES: [&str; 5] = ["", "k", "M", "G", "T"];

/// Values below this are written with an exponent.
const MIN_DECIMAL_VALUE: f64 = 0.001;

fn three_significant_digits(value: f64) -> String {
    if value != 0.0 && value.abs() < MIN_DECIMAL_VALUE {
        return format!("{value:.2e}");
    }
    let exponent = if value == 0.0 { 0 } else { value.abs().log10().floor() as i32 };
    let decimals = (2 - exponent).clamp(0, 5) as usize;
    format!("{value:.decimals$}")
}

/// Formats with a prefix for each factor of a thousand.
fn with_si_prefix(value: f64, unit: &str) -> String {
    let (mut scaled, mut prefix) = (value, 0);
    while scaled.abs() >= 999.5 && prefix + 1 < SI_PREFIXES.len() {
        scaled /= 1000.0;
        prefix += 1;
    }
    let text = format!("{} {}{unit}", three_significant_digits(scaled), SI_PREFIXES[prefix]);
    text.trim_end().to_owned()
}

fn format_seconds(seconds: f64) -> String {
    match seconds.abs() {
        0.0 => "0 s".to_owned(),
        s if s < 0.999_5e-6 => format!("{} ns", three_significant_digits(seconds * 1e9)),
        s if s < 0.999_5e-3 => format!("{} µs", three_significant_digits(seconds * 1e6)),
        s if s < 0.999_5 => format!("{} ms", three_significant_digits(seconds * 1e3)),
        s if s < 600.0 => format!("{} s", three_significant_digits(seconds)),
        s if s < 36_000.0 => format!("{} min", three_significant_digits(seconds / 60.0)),
        s if s < 864_000.0 => format!("{} h", three_significant_digits(seconds / 3600.0)),
        _ => format!("{} days", three_significant_digits(seconds / 86_400.0)),
    }
}

impl Unit {
    /// Formats a value of this unit with three significant digits.
    pub fn format(self, value: f64) -> String {
        match self {
            Unit::Bytes => with_si_prefix(value, "B"),
            Unit::BytesPerSecond => with_si_prefix(value, "B/s"),
            Unit::Seconds => format_seconds(value),
            Unit::Cores => format!("{} cores", three_significant_digits(value)),
            Unit::Count => with_si_prefix(value, ""),
            Unit::CountPerSecond => with_si_prefix(value, "/s"),
        }
    }
}

/// Formats a ratio of need to budget.
pub fn format_factor(factor: f64) -> String {
    if factor >= 1000.0 { with_si_prefix(factor, "") } else { three_significant_digits(factor) }
}
