//! HTTP/1.1 as the lab's side speaks it: calls are read whole, within bounds; heads are parsed by `httparse`.

use std::io;

use tokio::io::{AsyncRead, AsyncReadExt};

const MOST_HEAD: usize = 8 * 1024;
const MOST_BODY: usize = 1024 * 1024;

pub struct Call {
    pub method: String,
    pub path: String,
    pub id: Option<String>,
    pub mark: Option<String>,
    pub body: Vec<u8>,
}

/// Bytes read and not used yet.
#[derive(Default)]
pub struct Inbox {
    bytes: Vec<u8>,
}

struct Head {
    call: Call,
    length: usize,
    end: usize,
}

impl Inbox {
    /// Whether a call has begun to come.
    pub fn begun(&self) -> bool {
        !self.bytes.is_empty()
    }

    /// The next call's head, before its body is read; `None` when the peer has gone between calls.
    async fn head(&mut self, from: &mut (impl AsyncRead + Unpin)) -> io::Result<Option<Head>> {
        loop {
            if let Some(head) = parse(&self.bytes)? {
                return Ok(Some(head));
            }
            if self.bytes.len() > MOST_HEAD {
                return Err(wrong("a head too large"));
            }
            if from.read_buf(&mut self.bytes).await? == 0 {
                return if self.bytes.is_empty() {
                    Ok(None)
                } else {
                    Err(io::ErrorKind::UnexpectedEof.into())
                };
            }
        }
    }

    /// The next call, whole; `None` when the peer has gone.
    pub async fn call(&mut self, from: &mut (impl AsyncRead + Unpin)) -> io::Result<Option<Call>> {
        let Some(Head { mut call, length, end }) = self.head(from).await? else { return Ok(None) };
        if length > MOST_BODY {
            return Err(wrong("a body too large"));
        }
        while self.bytes.len() < end + length {
            if from.read_buf(&mut self.bytes).await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        let rest = self.bytes.split_off(end + length);
        call.body = self.bytes.split_off(end);
        self.bytes = rest;
        Ok(Some(call))
    }
}

fn wrong(words: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, words.to_owned())
}

fn parse(bytes: &[u8]) -> io::Result<Option<Head>> {
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut read = httparse::Request::new(&mut headers);
    let status = read.parse(bytes).map_err(|e| wrong(&e.to_string()))?;
    let httparse::Status::Complete(end) = status else { return Ok(None) };
    let value = |name: &str| {
        let header = read.headers.iter().find(|header| header.name.eq_ignore_ascii_case(name));
        header.map(|header| String::from_utf8_lossy(header.value).into_owned())
    };
    let length = value("Content-Length").map_or(Ok(0), |text| text.parse());
    let call = Call {
        method: read.method.unwrap_or_default().to_owned(),
        path: read.path.unwrap_or_default().to_owned(),
        id: value("X-Call-Id"),
        mark: value("Idempotency-Key"),
        body: Vec::new(),
    };
    Ok(Some(Head { call, length: length.map_err(|_| wrong("a length that is no number"))?, end }))
}

pub fn answer(status: &str, headers: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

/// One without a body, as 204 asks for.
pub fn bare(status: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status}\r\n\r\n").into_bytes()
}
