//! A reusable connection to the platform, whose address may change when the configuration is reloaded.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use sailcart::response_doubt::ConnectionChoice;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};

use crate::deadline::until;
use crate::local_errors;
use crate::response::{self, BodySink, Response, TimeLimit};
use crate::socket::Socket;

/// A call was abandoned because a reload changed the platform's address.
///
/// Distinct from [`io::ErrorKind::Interrupted`], which system calls return too: after an address change the
/// caller goes on without a backoff.
#[derive(Debug, thiserror::Error)]
#[error("the platform's address has changed")]
pub(super) struct AddressChangedError;

/// Whether a call failed with [`AddressChangedError`].
pub(super) fn is_address_change(error: &io::Error) -> bool {
    error.get_ref().is_some_and(|inner| inner.is::<AddressChangedError>())
}

/// The platform's current address, updated by reloads.
pub type AddressReceiver = watch::Receiver<SocketAddr>;

/// A connection to the platform that is opened by the first call and kept alive between calls.
pub(super) struct Connection {
    pub(super) address_receiver: AddressReceiver,
    /// The open connection while no call is using it.
    pub(super) stream: Option<Socket>,
    /// Limits the time for connecting alone; the response has a limit of its own.
    pub(super) connect_timeout: Duration,
    /// Which connections may carry a call.
    pub(super) choice: ConnectionChoice,
}

impl Connection {
    pub(super) fn address(&self) -> SocketAddr {
        *self.address_receiver.borrow()
    }

    /// Sends one call and reads its response.
    ///
    /// If the address changes meanwhile, the call fails at once with [`AddressChangedError`] instead of
    /// waiting for a response from the old address, and the next call goes to the new one.
    pub(super) async fn call<S: BodySink>(
        &mut self,
        bytes: &[u8],
        limits: ResponseLimits,
        sink: &mut S,
    ) -> Result<Response, S::Error> {
        let (mut address_receiver, old_address) = (self.address_receiver.clone(), self.address());
        tokio::select! {
            biased;
            Ok(()) = address_receiver.changed() => {
                self.disconnect(old_address);
                Err(io::Error::other(AddressChangedError).into())
            }
            response = self.call_current_address(bytes, limits, sink) => response,
        }
    }

    /// Waits for `delay` before the next call. Returns early, with true, if the address changes meanwhile.
    pub(super) async fn wait_for_address_change(&mut self, delay: Duration) -> bool {
        let old_address = self.address();
        tokio::select! {
            () = sleep(delay) => return false,
            Ok(()) = self.address_receiver.changed() => {}
        }
        self.disconnect(old_address);
        true
    }

    fn disconnect(&mut self, old_address: SocketAddr) {
        self.address_receiver.mark_unchanged();
        self.stream = None;
        log::info!("platform {old_address}: connection ended, code=moved");
    }

    /// Sends one call and reads its response within the limits, connecting first if necessary. A connection
    /// on which no complete response arrived is closed.
    async fn call_current_address<S: BodySink>(
        &mut self,
        bytes: &[u8],
        limits: ResponseLimits,
        sink: &mut S,
    ) -> Result<Response, S::Error> {
        let ResponseLimits { base_time, min_bytes_per_second, max_body_bytes } = limits;
        let time_limit = TimeLimit { started_at: Instant::now(), base_time, min_bytes_per_second };
        let mut stream =
            until(time_limit.started_at + base_time, self.send(bytes)).await.map_err(io::Error::from)??;
        let response = response::read_to_sink(&mut stream, max_body_bytes, time_limit, sink).await?;
        if response.is_reusable() {
            stream.clear_read_readiness();
            self.stream = Some(stream);
        } else {
            log::info!("platform {}: connection ended, code=answer_closes", self.address());
        }
        Ok(response)
    }

    /// Sends a call on the idle connection or a new one, and returns the connection.
    async fn send(&mut self, bytes: &[u8]) -> io::Result<Socket> {
        let mut stream = self.connect().await?;
        stream.write_all(bytes).await?;
        Ok(stream)
    }

    /// Returns the idle connection if it may carry a call, otherwise a new one. Where this machine is short of
    /// sockets, the idle connection is better than none.
    async fn connect(&mut self) -> io::Result<Socket> {
        let (idle, address) = (self.stream.take(), self.address());
        let mut idle = idle.filter(|stream| has_no_input(stream, address));
        if self.choice == ConnectionChoice::Any
            && let Some(stream) = idle.take()
        {
            return Ok(stream);
        }
        let connected = timeout(self.connect_timeout, TcpStream::connect(address)).await?;
        match (connected, idle) {
            (Ok(stream), _) => stream.set_nodelay(true).map(|()| Socket(stream)),
            (Err(error), Some(stream)) if local_errors::is_local_error(&error) => Ok(stream),
            (Err(error), _) => Err(error),
        }
    }

    /// Closes the idle connection: what was received on it last may belong to another call.
    pub(super) fn close(&mut self, code: &str) {
        if self.stream.take().is_some() {
            log::info!("platform {}: connection ended, code={code}", self.address());
        }
    }
}

/// Whether nothing lies unread on an idle connection, neither bytes that no call is waiting for nor its end.
fn has_no_input(stream: &Socket, address: SocketAddr) -> bool {
    let is_quiet = stream.is_quiet();
    if !is_quiet {
        log::info!("platform {address}: connection ended, code=peer_closed");
    }
    is_quiet
}

/// Bounds on the response to a call.
#[derive(Clone, Copy)]
pub(super) struct ResponseLimits {
    /// Time for the call and its response, connecting included. A large body has more by
    /// `min_bytes_per_second`.
    pub(super) base_time: Duration,
    /// In bytes per second, as in [`TimeLimit`].
    pub(super) min_bytes_per_second: Option<u32>,
    pub(super) max_body_bytes: usize,
}
