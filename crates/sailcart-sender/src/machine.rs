//! Faults of the machine that a sender runs on, told apart from those of its peers. Running out of descriptors, ports or memory on the
//! way to an endpoint says nothing of that endpoint.

use std::io;

use nix::errno::Errno;

/// Errors of `socket(2)`, `connect(2)` and `accept(2)` that speak of this machine, or of a moment, and never of the peer.
const OWN: [Errno; 10] = [
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

/// Whether a connection that did not come up failed for a reason of this machine.
pub fn is_own_fault(fault: &io::Error) -> bool {
    fault.raw_os_error().is_some_and(|number| OWN.contains(&Errno::from_raw(number)))
}
