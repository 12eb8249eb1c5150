//! A TCP connection that does not rely on short reads and writes to detect the end of readiness.
//!
//! The kernel reports a socket once, when it becomes ready. Tokio takes a read or write shorter than its
//! buffer for the end of readiness, as `epoll(7)` allows, and waits for the next report; that report never
//! comes if the call was cut short for another reason. Here only `EAGAIN` ends readiness. Trade-off: one more
//! system call for each wait.

use std::io::{self, ErrorKind};
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;

/// Bounds the bytes that one read requests, as so much of the buffer is zeroed for each read.
const MAX_READ_BYTES: usize = 16 * 1024;

/// A TCP connection.
#[derive(Debug)]
pub struct Socket(pub TcpStream);

impl Socket {
    /// Clears read readiness after a complete response, so that the next read waits for a new report instead
    /// of making a system call that finds nothing. Must be used only if the peer sends nothing more until the
    /// next request.
    pub fn clear_read_readiness(&self) {
        // Ends readiness as a read that returns `EAGAIN` would. That the peer has closed its side stays
        // known.
        let ended = self.0.try_io(Interest::READABLE, || io::Result::<()>::Err(ErrorKind::WouldBlock.into()));
        debug_assert!(ended.is_err());
    }

    /// Whether a read would wait: neither bytes nor the end of the connection have been received. Asks the
    /// kernel, as the runtime learns of input only when it polls.
    pub fn is_quiet(&self) -> bool {
        loop {
            match SockRef::from(&self.0).peek(&mut [MaybeUninit::uninit()]) {
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                result => return result.is_err_and(|error| error.kind() == ErrorKind::WouldBlock),
            }
        }
    }

    /// Waits until a read may find something.
    pub async fn readable(&self) -> io::Result<()> {
        self.0.readable().await
    }

    /// Reads without waiting. Returns [`ErrorKind::WouldBlock`] if there is nothing to read.
    pub fn try_read(&self, buffer: &mut [u8]) -> io::Result<usize> {
        loop {
            match self.0.try_read(buffer) {
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                result => return result,
            }
        }
    }

    /// Splits the connection into halves that can be used concurrently.
    pub fn split(&mut self) -> (ReadHalf<'_>, WriteHalf<'_>) {
        (ReadHalf(&self.0), WriteHalf(&self.0))
    }
}

/// The read half of a [`Socket`].
pub struct ReadHalf<'a>(&'a TcpStream);

/// The write half of a [`Socket`].
pub struct WriteHalf<'a>(&'a TcpStream);

fn poll_read(stream: &TcpStream, context: &mut Context, buffer: &mut ReadBuf) -> Poll<io::Result<()>> {
    let length = buffer.remaining().min(MAX_READ_BYTES);
    loop {
        ready!(stream.poll_read_ready(context))?;
        match stream.try_read(buffer.initialize_unfilled_to(length)) {
            Ok(read) => {
                buffer.advance(read);
                return Poll::Ready(Ok(()));
            }
            Err(error) if is_transient(&error) => {}
            Err(error) => return Poll::Ready(Err(error)),
        }
    }
}

fn poll_write(stream: &TcpStream, context: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
    loop {
        ready!(stream.poll_write_ready(context))?;
        match stream.try_write(bytes) {
            Err(error) if is_transient(&error) => {}
            result => return Poll::Ready(result),
        }
    }
}

/// Whether the system call is to be repeated, at once or when the socket is reported ready.
fn is_transient(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted)
}

impl AsyncRead for Socket {
    fn poll_read(self: Pin<&mut Self>, context: &mut Context, buffer: &mut ReadBuf) -> Poll<io::Result<()>> {
        poll_read(&self.0, context, buffer)
    }
}

impl AsyncRead for ReadHalf<'_> {
    fn poll_read(self: Pin<&mut Self>, context: &mut Context, buffer: &mut ReadBuf) -> Poll<io::Result<()>> {
        poll_read(self.0, context, buffer)
    }
}

impl AsyncWrite for Socket {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        poll_write(&self.0, context, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(context)
    }
}

impl AsyncWrite for WriteHalf<'_> {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        poll_write(self.0, context, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    /// Does nothing: the write direction is shut down together with the whole connection.
    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}
