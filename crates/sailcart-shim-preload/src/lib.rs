//! The preloaded half of the shim: the C library's entry points that a sender uses, each of which may fail as the control page of
//! `sailcart-shim` asks. The only place of the project where `unsafe` stands: it is loaded into processes under test alone.
//!
//! What it may do is what the man page of each call documents. A read or write that is cut short is one that the kernel could have
//! returned: `epoll(7)` leaves it to the program whether it takes a short read for a drained socket.

mod calls;
mod page;
