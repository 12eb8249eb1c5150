//! One HTTP answer read from a socket.

use std::io;
use std::time::Duration;

use bytes::{Buf, BytesMut};
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::wire::http::{self, Extent, Head};

/// An answer, as far as it has come.
#[derive(Default)]
pub struct Reply {
    /// As its first line tells.
    pub status: Option<u16>,
    pub head: Option<Head>,
    pub body: Vec<u8>,
    /// It came whole.
    pub whole: bool,
}

impl Reply {
    /// Whether another call can go on the same connection.
    pub fn keeps(&self) -> bool {
        self.whole && self.head.as_ref().is_some_and(|head| !head.close)
    }
}

/// Reads one answer, with a body of a certain size at most, which has `rest` to come whole from its first byte on.
/// What has come so far stands in `reply`, also when this fails or is given up.
pub async fn read(stream: &mut TcpStream, most: usize, rest: Duration, reply: &mut Reply) -> io::Result<()> {
    let mut buffer = BytesMut::new();
    loop {
        if buffer.is_empty() {
            more(stream, &mut buffer).await?;
        }
        let whole = timeout(rest, one(stream, &mut buffer, most, reply)).await;
        // Those below 200 stand in front, the answer proper is yet to come.
        if whole.unwrap_or_else(|_| Err(malformed("slow")))? >= 200 {
            // Bytes that nobody asked for would be taken for the next answer.
            reply.whole = buffer.is_empty();
            return Ok(());
        }
    }
}

/// An answer's status, once it has come whole.
async fn one(
    stream: &mut TcpStream,
    buffer: &mut BytesMut,
    most: usize,
    reply: &mut Reply,
) -> io::Result<u16> {
    let head = loop {
        if let Some((status, _)) = http::status(buffer).map_err(malformed)? {
            reply.status = Some(status);
        }
        match http::head(buffer).map_err(malformed)? {
            Some((head, used)) => {
                buffer.advance(used);
                break head;
            }
            None => more(stream, buffer).await?,
        }
    };
    let (status, extent) = (head.status, head.extent);
    reply.head = Some(head);
    match extent {
        Extent::Unreadable => return Err(malformed("expected a length")),
        Extent::Length(length) if length > most => return Err(malformed("too large")),
        Extent::Length(length) => {
            while buffer.len() < length {
                more(stream, buffer).await?;
            }
            reply.body = buffer.split_to(length).to_vec();
        }
        Extent::Chunks => chunks(stream, buffer, most, &mut reply.body).await?,
        Extent::Rest => {
            while stream.read_buf(buffer).await? > 0 {
                if buffer.len() > most {
                    return Err(malformed("too large"));
                }
            }
            reply.body = buffer.split().to_vec();
        }
    }
    Ok(status)
}

async fn chunks(
    stream: &mut TcpStream,
    buffer: &mut BytesMut,
    most: usize,
    body: &mut Vec<u8>,
) -> io::Result<()> {
    loop {
        let read = http::chunk(buffer, most - body.len()).map_err(malformed)?;
        let Some((chunk, used)) = read else {
            if buffer.len() > 2 * most {
                return Err(malformed("too large"));
            }
            more(stream, buffer).await?;
            continue;
        };
        let last = chunk.is_empty();
        body.extend_from_slice(chunk);
        buffer.advance(used);
        if last {
            return Ok(());
        }
    }
}

async fn more(stream: &mut TcpStream, buffer: &mut BytesMut) -> io::Result<()> {
    match stream.read_buf(buffer).await? {
        0 => Err(io::ErrorKind::UnexpectedEof.into()),
        _ => Ok(()),
    }
}

fn malformed(words: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, words)
}
