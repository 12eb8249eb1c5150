//! Log lines about calls, and the codes of the reasons for which connections end.

use std::fmt::{self, Display};
use std::io;
use std::time::Instant;

use crate::outgoing::Call;
use crate::response::Response;

/// The packets of a call in a log line.
pub(super) struct PacketIds<'a>(pub(super) &'a Call);

impl Display for PacketIds<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str("packet")?;
        self.0.packets.iter().try_for_each(|packet| write!(formatter, " {}", packet.id))
    }
}

/// What was received in response to a call, in a log line. Times are counted from its first byte.
pub(super) struct ResponseSummary<'a>(pub(super) &'a Response, pub(super) &'a Call);

impl Display for ResponseSummary<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        let ResponseSummary(response, call) = self;
        let sent_at = call.sent_at.get().unwrap_or(call.started_at);
        let since_sent = |at: Instant| at.saturating_duration_since(sent_at);
        match response.first_byte_at.map(since_sent) {
            None => write!(formatter, "nothing within {:?}", sent_at.elapsed()),
            Some(first_byte) => write!(
                formatter,
                "status={:?} first_byte={first_byte:?} until={:?} unread={}",
                response.status.unwrap_or_default(),
                sent_at.elapsed(),
                response.bytes_after
            ),
        }
    }
}

/// The reason for which a connection ends, in the log.
pub(super) fn log_code(error: &io::Error) -> &'static str {
    match error.kind() {
        io::ErrorKind::TimedOut => "timed_out",
        io::ErrorKind::Interrupted => "called_off",
        io::ErrorKind::InvalidData => "malformed",
        io::ErrorKind::UnexpectedEof => "peer_closed",
        _ => "reset",
    }
}
