//! A TCP connection that believes no short read or write. The kernel reports a socket once when it becomes ready; tokio takes a read or
//! write that is shorter than its buffer for the end of that (`epoll(7)` allows it), and waits for a report that never comes where the
//! call was cut short for another reason. Here only `EAGAIN` ends readiness, at the price of one more call for each wait.

use std::io::{self, ErrorKind};
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;

/// Bytes that one read asks for, at most: so many are cleared for it.
const MOST_READ: usize = 16 * 1024;

/// A connection.
#[derive(Debug)]
pub struct Socket(pub TcpStream);

impl Socket {
    /// All that was due on this connection has come, and what comes next is asked for first: so the next wait is for a new report, and
    /// costs no call that finds nothing. Not where the peer may go on by itself.
    pub fn nothing_is_due(&self) {
        // Ends readiness as a read that found nothing would; the end of the peer's side stays known.
        let ended = self.0.try_io(Interest::READABLE, || io::Result::<()>::Err(ErrorKind::WouldBlock.into()));
        debug_assert!(ended.is_err());
    }

    /// Both directions, to be used side by side.
    pub fn split(&mut self) -> (Reader<'_>, Writer<'_>) {
        (Reader(&self.0), Writer(&self.0))
    }
}

/// The side from which bytes come.
pub struct Reader<'a>(&'a TcpStream);

/// The side to which bytes go.
pub struct Writer<'a>(&'a TcpStream);

fn poll_read(stream: &TcpStream, context: &mut Context, into: &mut ReadBuf) -> Poll<io::Result<()>> {
    let length = into.remaining().min(MOST_READ);
    loop {
        ready!(stream.poll_read_ready(context))?;
        match stream.try_read(into.initialize_unfilled_to(length)) {
            Ok(read) => {
                into.advance(read);
                return Poll::Ready(Ok(()));
            }
            Err(fault) if is_no_end(&fault) => {}
            Err(fault) => return Poll::Ready(Err(fault)),
        }
    }
}

fn poll_write(stream: &TcpStream, context: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
    loop {
        ready!(stream.poll_write_ready(context))?;
        match stream.try_write(bytes) {
            Err(fault) if is_no_end(&fault) => {}
            written => return Poll::Ready(written),
        }
    }
}

/// The call is to be made again, at once or when the socket is reported ready.
fn is_no_end(fault: &io::Error) -> bool {
    matches!(fault.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted)
}

impl AsyncRead for Socket {
    fn poll_read(self: Pin<&mut Self>, context: &mut Context, into: &mut ReadBuf) -> Poll<io::Result<()>> {
        poll_read(&self.0, context, into)
    }
}

impl AsyncRead for Reader<'_> {
    fn poll_read(self: Pin<&mut Self>, context: &mut Context, into: &mut ReadBuf) -> Poll<io::Result<()>> {
        poll_read(self.0, context, into)
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

impl AsyncWrite for Writer<'_> {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        poll_write(self.0, context, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    /// This side ends with its connection.
    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}
