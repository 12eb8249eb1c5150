//! Preload library of the fault-injecting shim. It interposes the functions of the C library that a sender
//! calls, and makes them fail as set on the control page of `sailcart-shim`. This is the only crate of the
//! project that uses `unsafe`; it is loaded only into processes under test.
//!
//! It injects only what the man page of each call documents. A short read or write is a result that the
//! kernel could have returned: `epoll(7)` leaves it to the program whether it takes a short read as the sign
//! of a drained socket.

mod calls;
mod page;
