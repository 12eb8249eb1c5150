//! The format of log lines: the wall clock time for people, and the machine's monotonic clock, which orders the
//! lines of all senders on a machine also where the wall clock was stepped.

use std::io::{self, Write};
use std::time::SystemTime;

use env_logger::fmt::Formatter;
use log::Record;

use crate::memory::moment::uptime;

/// Writes one line, such as `[2026-12-04T05:03:33.687Z 83.542627 INFO  target] message`. The second number is
/// the monotonic clock in seconds.
///
/// # Errors
/// The error of the output.
pub fn write_line(output: &mut Formatter, record: &Record) -> io::Result<()> {
    // The wall clock is for people only; nothing is computed from it.
    let wall_clock = humantime::format_rfc3339_millis(SystemTime::now());
    let uptime = uptime().unwrap_or_default().as_secs_f64();
    writeln!(output, "[{wall_clock} {uptime:.6} {:<5} {}] {}", record.level(), record.target(), record.args())
}
