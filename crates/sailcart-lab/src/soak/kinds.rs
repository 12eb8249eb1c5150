//! The kinds of trouble that a soak overlaps, and what each is made of.

use std::fmt::{self, Display};

/// A kind of trouble. Some strike peers, some the life of a sender's process, some its machine, some a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SoakKind {
    /// Endpoints take calls and answer none.
    Silent,
    /// Calls run and their answers never come.
    AnswerLost,
    /// Connections break behind a call's last byte.
    ResetAfter,
    /// Answers that cannot be read.
    Spoilt,
    /// Endpoints drain, are gone, and others come at their addresses.
    Replace,
    /// Discovery says nothing.
    ListSilent,
    /// Clients that send what cannot be read.
    BadClients,
    /// SIGKILL, again and again.
    Kill,
    /// SIGTERM, one sender after the other, and SIGHUP in the same instant.
    Stop,
    /// SIGHUP.
    Reload,
    /// SIGSTOP and SIGCONT: a sender is held up for an eighth of a second, again and again.
    Pause,
    /// Writes, cuts and syncs of the state folder fail in windows.
    Folder,
    /// Reads and writes on sockets are cut short, waits are interrupted, broken connections show other numbers.
    ShortCalls,
    /// accept, socket and connect fail for a moment.
    OwnFaults,
    /// The wall clock is stepped, back and forth.
    Clock,
    /// The link of clients: delayed, trickled, cut, reset, half-closed.
    ClientLink,
    /// The link to discovery and the receiver of notices: the same, and silent one way.
    PlatformLink,
    /// The link to endpoints: delayed, trickled, calls cut before their last byte.
    EndpointLink,
}

impl SoakKind {
    /// Every kind.
    pub const ALL: [SoakKind; 18] = [
        SoakKind::Silent,
        SoakKind::AnswerLost,
        SoakKind::ResetAfter,
        SoakKind::Spoilt,
        SoakKind::Replace,
        SoakKind::ListSilent,
        SoakKind::BadClients,
        SoakKind::Kill,
        SoakKind::Stop,
        SoakKind::Reload,
        SoakKind::Pause,
        SoakKind::Folder,
        SoakKind::ShortCalls,
        SoakKind::OwnFaults,
        SoakKind::Clock,
        SoakKind::ClientLink,
        SoakKind::PlatformLink,
        SoakKind::EndpointLink,
    ];

    /// Its name in tables and on the command line.
    pub fn word(self) -> &'static str {
        match self {
            SoakKind::Silent => "silent",
            SoakKind::AnswerLost => "answer-lost",
            SoakKind::ResetAfter => "reset-after",
            SoakKind::Spoilt => "spoilt",
            SoakKind::Replace => "replace",
            SoakKind::ListSilent => "list-silent",
            SoakKind::BadClients => "bad-clients",
            SoakKind::Kill => "kill",
            SoakKind::Stop => "stop",
            SoakKind::Reload => "reload",
            SoakKind::Pause => "pause",
            SoakKind::Folder => "folder",
            SoakKind::ShortCalls => "short-calls",
            SoakKind::OwnFaults => "own-faults",
            SoakKind::Clock => "clock",
            SoakKind::ClientLink => "client-link",
            SoakKind::PlatformLink => "platform-link",
            SoakKind::EndpointLink => "endpoint-link",
        }
    }

    /// The kind of this name.
    pub fn named(word: &str) -> Option<SoakKind> {
        SoakKind::ALL.into_iter().find(|kind| kind.word() == word)
    }
}

impl Display for SoakKind {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        to.write_str(self.word())
    }
}
