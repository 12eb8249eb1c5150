//! A connection to the platform, which a reload may move.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};

use crate::caller::{self, Reply, Sink, Term};
use crate::socket::Socket;

/// The platform is elsewhere since a reload, and a call was given up for it. Not [`io::ErrorKind::Interrupted`], which the system's own
/// calls return too: whoever hears of a move goes on without a pause.
#[derive(Debug, thiserror::Error)]
#[error("the platform has moved")]
pub(super) struct Moved;

/// Whether a call was given up as the platform has moved.
pub(super) fn is_move(fault: &io::Error) -> bool {
    fault.get_ref().is_some_and(|inner| inner.is::<Moved>())
}

/// Where the platform is: a reload may move it.
pub type Place = watch::Receiver<SocketAddr>;

/// A connection to the platform, opened when there is something to say.
pub(super) struct Wire {
    pub(super) place: Place,
    pub(super) stream: Option<Socket>,
    /// How long a connection may take to come up, whatever a call on it may wait for.
    pub(super) connect: Duration,
}

impl Wire {
    pub(super) fn address(&self) -> SocketAddr {
        *self.place.borrow()
    }

    /// One call and its answer. Guards against waiting at an address that has been left: what is out there ends
    /// at once, as [`Moved`], and the next call goes to the new one.
    pub(super) async fn call<S: Sink>(
        &mut self,
        bytes: &[u8],
        limits: Limits,
        sink: &mut S,
    ) -> Result<Reply, S::Fault> {
        let (mut place, left) = (self.place.clone(), self.address());
        tokio::select! {
            biased;
            Ok(()) = place.changed() => {
                self.leave(left);
                Err(io::Error::other(Moved).into())
            }
            reply = self.turn(bytes, limits, sink) => reply,
        }
    }

    /// A pause before the next call; true, and at once, where the platform moves meanwhile.
    pub(super) async fn moves_within(&mut self, pause: Duration) -> bool {
        let left = self.address();
        tokio::select! {
            () = sleep(pause) => return false,
            Ok(()) = self.place.changed() => {}
        }
        self.leave(left);
        true
    }

    fn leave(&mut self, left: SocketAddr) {
        self.place.mark_unchanged();
        self.stream = None;
        log::info!("platform {left}: connection ended, code=moved");
    }

    /// One call and its answer within a time, its connection included. One on which it did not come whole is closed.
    async fn turn<S: Sink>(&mut self, bytes: &[u8], limits: Limits, sink: &mut S) -> Result<Reply, S::Fault> {
        let Limits { within, least_rate, most } = limits;
        let term = Term { start: Instant::now(), within, least_rate };
        let mut stream = timeout(within, self.say(bytes)).await.map_err(io::Error::from)??;
        let reply = caller::hand_on(&mut stream, most, term, sink).await?;
        if reply.keeps() {
            stream.nothing_is_due();
            self.stream = Some(stream);
        } else {
            log::info!("platform {}: connection ended, code=answer_closes", self.address());
        }
        Ok(reply)
    }

    /// The connection on which the call has gone out.
    async fn say(&mut self, bytes: &[u8]) -> io::Result<Socket> {
        let (kept, address) = (self.stream.take(), self.address());
        let mut stream = match kept {
            Some(stream) => stream,
            None => Socket(timeout(self.connect, TcpStream::connect(address)).await??),
        };
        stream.0.set_nodelay(true)?;
        stream.write_all(bytes).await?;
        Ok(stream)
    }
}

/// What an answer may take.
#[derive(Clone, Copy)]
pub(super) struct Limits {
    /// From the call's first moment on.
    pub(super) within: Duration,
    /// As in [`Term`].
    pub(super) least_rate: Option<u32>,
    /// Bytes of its body at most.
    pub(super) most: usize,
}
