//! Points in time that outlive their process. A wall clock may be stepped at any moment, so a span between two of them stands on the
//! machine's monotonic clock, which runs on over processes until the machine itself starts anew; the kernel's boot id tells that.

use std::fmt::{self, Display};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};

/// Where the kernel tells the id of this start of the machine: a random UUID.
const BOOT_ID: &str = "/proc/sys/kernel/random/boot_id";
/// Hexadecimal digits of it that tell starts apart.
const BOOT_DIGITS: usize = 16;

/// One start of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BootId(pub u64);

impl Display for BootId {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        write!(to, "{:016x}", self.0)
    }
}

/// A time of the monotonic clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Uptime {
    pub boot: BootId,
    /// Since some point of that start.
    pub since: Duration,
}

/// A point in time that means the same to the next process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Moment {
    /// By the wall clock, since the Unix epoch: for people, and for a machine that was started anew.
    pub unix: Duration,
    /// `None` where the kernel tells no boot id, and in records of earlier formats.
    pub uptime: Option<Uptime>,
}

/// How far apart two moments are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Distance {
    /// By the monotonic clock: real time.
    Sure(Span),
    /// By the wall clock alone, which may have been stepped between.
    Unsure(Span),
}

/// Before or after, and by how much.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Span {
    /// It lies so long ago.
    Ago(Duration),
    /// It is so far ahead.
    Ahead(Duration),
}

impl Span {
    fn between(now: Duration, at: Duration) -> Span {
        if at > now { Span::Ahead(at - now) } else { Span::Ago(now - at) }
    }
}

impl Moment {
    /// A moment of the wall clock alone.
    pub fn by_wall_clock(unix: Duration) -> Moment {
        Moment { unix, uptime: None }
    }

    /// Now, on both clocks.
    pub fn now(boot: Option<BootId>) -> Moment {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let since = clock_gettime(ClockId::CLOCK_MONOTONIC).ok().map(Duration::from);
        let uptime = boot.zip(since).map(|(boot, since)| Uptime { boot, since });
        Moment { unix, uptime }
    }

    /// So much later.
    pub fn later(self, span: Duration) -> Moment {
        let uptime = self.uptime.map(|uptime| Uptime { since: uptime.since.saturating_add(span), ..uptime });
        Moment { unix: self.unix.saturating_add(span), uptime }
    }

    /// So much earlier.
    pub fn earlier(self, span: Duration) -> Moment {
        let uptime = self.uptime.map(|uptime| Uptime { since: uptime.since.saturating_sub(span), ..uptime });
        Moment { unix: self.unix.saturating_sub(span), uptime }
    }

    /// Where another moment lies, seen from this one.
    pub fn distance(self, other: Moment) -> Distance {
        match (self.uptime, other.uptime) {
            (Some(now), Some(at)) if now.boot == at.boot => {
                Distance::Sure(Span::between(now.since, at.since))
            }
            _ => Distance::Unsure(Span::between(self.unix, other.unix)),
        }
    }
}

/// The id of this start of the machine, unless the kernel tells none.
pub fn boot_id() -> Option<BootId> {
    let text = std::fs::read_to_string(BOOT_ID).ok()?;
    let digits: String = text.chars().filter(char::is_ascii_hexdigit).take(BOOT_DIGITS).collect();
    let whole = digits.len() == BOOT_DIGITS;
    u64::from_str_radix(&digits, 16).ok().filter(|_| whole).map(BootId)
}
