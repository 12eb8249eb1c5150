//! Points in time that stay valid across restarts of the process.
//!
//! The wall clock may be stepped at any moment, so intervals are measured on the machine's monotonic clock.
//! It keeps running from one process to the next until the machine reboots, which shows in the kernel's
//! boot id.

use std::fmt::{self, Display};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};

/// The file from which the kernel's boot id, a random UUID, is read.
const BOOT_ID_PATH: &str = "/proc/sys/kernel/random/boot_id";
/// Number of leading hexadecimal digits of the UUID that make up a [`BootId`].
const BOOT_ID_HEX_DIGITS: usize = 16;

/// Identifies one boot of the machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BootId(pub u64);

impl Display for BootId {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// A reading of the monotonic clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Uptime {
    pub boot: BootId,
    /// Time since an unspecified point of that boot.
    pub since_boot: Duration,
}

/// A point in time that a later process can interpret too.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Moment {
    /// Wall clock time since the Unix epoch: for people, and for comparison across a reboot.
    pub unix: Duration,
    /// `None` if the kernel reports no boot id, and in records of earlier formats.
    pub uptime: Option<Uptime>,
}

/// Where one moment lies relative to another, with the clock by which it was measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Distance {
    /// Measured on the monotonic clock, so exact.
    Monotonic(Span),
    /// Measured on the wall clock, which may have been stepped in between.
    WallClock(Span),
}

/// A signed interval, seen from now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Span {
    /// In the past.
    Ago(Duration),
    /// In the future.
    Ahead(Duration),
}

impl Span {
    fn between(now: Duration, at: Duration) -> Span {
        if at > now { Span::Ahead(at - now) } else { Span::Ago(now - at) }
    }
}

impl Moment {
    /// A moment that is known by the wall clock only.
    pub fn by_wall_clock(unix: Duration) -> Moment {
        Moment { unix, uptime: None }
    }

    /// The present, read from both clocks.
    pub fn now(boot: Option<BootId>) -> Moment {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let uptime = boot.zip(uptime()).map(|(boot, since_boot)| Uptime { boot, since_boot });
        Moment { unix, uptime }
    }

    /// The moment `span` after this one.
    pub fn later(self, span: Duration) -> Moment {
        let uptime =
            self.uptime.map(|uptime| Uptime { since_boot: uptime.since_boot.saturating_add(span), ..uptime });
        Moment { unix: self.unix.saturating_add(span), uptime }
    }

    /// The moment `span` before this one.
    pub fn earlier(self, span: Duration) -> Moment {
        let uptime =
            self.uptime.map(|uptime| Uptime { since_boot: uptime.since_boot.saturating_sub(span), ..uptime });
        Moment { unix: self.unix.saturating_sub(span), uptime }
    }

    /// Where `other` lies relative to this moment.
    pub fn distance(self, other: Moment) -> Distance {
        match (self.uptime, other.uptime) {
            (Some(now), Some(at)) if now.boot == at.boot => {
                Distance::Monotonic(Span::between(now.since_boot, at.since_boot))
            }
            _ => Distance::WallClock(Span::between(self.unix, other.unix)),
        }
    }
}

/// The monotonic clock: time since an unspecified point of the machine's boot. `None` if it cannot be read.
pub fn uptime() -> Option<Duration> {
    clock_gettime(ClockId::CLOCK_MONOTONIC).ok().map(Duration::from)
}

/// The id of the machine's current boot; `None` if the kernel reports none.
pub fn boot_id() -> Option<BootId> {
    let text = std::fs::read_to_string(BOOT_ID_PATH).ok()?;
    let digits: String = text.chars().filter(char::is_ascii_hexdigit).take(BOOT_ID_HEX_DIGITS).collect();
    let complete = digits.len() == BOOT_ID_HEX_DIGITS;
    u64::from_str_radix(&digits, 16).ok().filter(|_| complete).map(BootId)
}
