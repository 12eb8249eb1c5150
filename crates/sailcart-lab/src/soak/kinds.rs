//! The kinds of trouble that a soak test combines.

use std::fmt::{self, Display};

/// A kind of trouble. It affects peers, the process of a sender, the machine of a sender, or a network link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SoakKind {
    /// Endpoints accept calls and never answer.
    Silent,
    /// Calls are executed and their answers are lost.
    AnswerLost,
    /// Connections break after the last byte of a call.
    ResetAfter,
    /// Answers are malformed.
    Malformed,
    /// Endpoints drain and are removed, and others start at their addresses.
    Replace,
    /// Discovery does not answer.
    DiscoverySilent,
    /// Clients send malformed input.
    BadClients,
    /// Senders get SIGKILL repeatedly.
    Kill,
    /// Senders get SIGTERM, one after the other, and SIGHUP at the same time.
    Stop,
    /// Senders get SIGHUP, which reloads their configuration.
    Reload,
    /// Senders get SIGSTOP and SIGCONT: they are stopped for about an eighth of a second, repeatedly.
    Pause,
    /// Writing, truncating and syncing files of the state folder fails, periodically or without interruption.
    Folder,
    /// Reads and writes on sockets are short, waits are interrupted, and broken connections return other
    /// error numbers.
    ShortCalls,
    /// `accept`, `socket` and `connect` fail temporarily with local errors.
    LocalErrors,
    /// The wall clock is stepped, and back at the end.
    Clock,
    /// The link from clients: delayed, sent in small writes, cut, reset or half-closed.
    ClientLink,
    /// The link to discovery and the receiver of notices: the same, or nothing arrives in one direction.
    PlatformLink,
    /// The link to endpoints: delayed, sent in small writes, or calls are cut before their last byte.
    EndpointLink,
    /// Endpoints, or discovery and the receiver of notices, write copies of earlier responses.
    ExtraResponses,
}

impl SoakKind {
    /// All kinds.
    pub const ALL: [SoakKind; 19] = [
        SoakKind::Silent,
        SoakKind::AnswerLost,
        SoakKind::ResetAfter,
        SoakKind::Malformed,
        SoakKind::Replace,
        SoakKind::DiscoverySilent,
        SoakKind::BadClients,
        SoakKind::Kill,
        SoakKind::Stop,
        SoakKind::Reload,
        SoakKind::Pause,
        SoakKind::Folder,
        SoakKind::ShortCalls,
        SoakKind::LocalErrors,
        SoakKind::Clock,
        SoakKind::ClientLink,
        SoakKind::PlatformLink,
        SoakKind::EndpointLink,
        SoakKind::ExtraResponses,
    ];

    /// The name in tables and on the command line.
    pub fn name(self) -> &'static str {
        match self {
            SoakKind::Silent => "silent",
            SoakKind::AnswerLost => "answer-lost",
            SoakKind::ResetAfter => "reset-after",
            SoakKind::Malformed => "spoilt",
            SoakKind::Replace => "replace",
            SoakKind::DiscoverySilent => "list-silent",
            SoakKind::BadClients => "bad-clients",
            SoakKind::Kill => "kill",
            SoakKind::Stop => "stop",
            SoakKind::Reload => "reload",
            SoakKind::Pause => "pause",
            SoakKind::Folder => "folder",
            SoakKind::ShortCalls => "short-calls",
            SoakKind::LocalErrors => "own-faults",
            SoakKind::Clock => "clock",
            SoakKind::ClientLink => "client-link",
            SoakKind::PlatformLink => "platform-link",
            SoakKind::EndpointLink => "endpoint-link",
            SoakKind::ExtraResponses => "extra-responses",
        }
    }

    /// The kind with this name.
    pub fn from_name(name: &str) -> Option<SoakKind> {
        SoakKind::ALL.into_iter().find(|kind| kind.name() == name)
    }
}

impl Display for SoakKind {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str(self.name())
    }
}
