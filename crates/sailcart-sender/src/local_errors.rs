//! Distinguishes local errors, those of this machine, from errors of its peers. If file descriptors, ports or
//! memory run out while connecting to an endpoint, that says nothing about the endpoint.

use std::io;

use nix::errno::Errno;

/// Errors of `socket(2)`, `connect(2)` and `accept(2)` that have a local or transient cause, and never the
/// peer.
const LOCAL_ERRORS: [Errno; 10] = [
    Errno::EMFILE,
    Errno::ENFILE,
    Errno::ENOBUFS,
    Errno::ENOMEM,
    Errno::EADDRNOTAVAIL,
    Errno::EADDRINUSE,
    Errno::ENETUNREACH,
    Errno::ENETDOWN,
    Errno::EINTR,
    Errno::EAGAIN,
];

/// Whether a connection could not be established because of a local error.
pub fn is_local_error(error: &io::Error) -> bool {
    error.raw_os_error().is_some_and(|number| LOCAL_ERRORS.contains(&Errno::from_raw(number)))
}
