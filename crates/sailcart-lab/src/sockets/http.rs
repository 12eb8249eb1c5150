//! The server side of HTTP/1.1 for the lab's endpoints and discovery agents: reads complete calls within size
//! limits and formats responses. Heads are parsed by `httparse`.

use std::io;

use tokio::io::{AsyncRead, AsyncReadExt};

/// A larger head of a call is rejected.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// A larger body of a call is rejected.
const MAX_BODY_BYTES: usize = 1024 * 1024;

/// One HTTP request.
pub struct Call {
    pub method: String,
    pub path: String,
    /// The header `X-Call-Id`.
    pub call_id: Option<String>,
    /// The header `Idempotency-Key`.
    pub idempotency_key: Option<String>,
    pub body: Vec<u8>,
}

/// Reads calls from one connection; holds the bytes that were received and belong to no complete call yet.
#[derive(Default)]
pub struct CallReader {
    buffer: Vec<u8>,
}

/// A parsed head. `call` has an empty body.
struct Head {
    call: Call,
    body_bytes: usize,
    head_bytes: usize,
}

impl CallReader {
    /// Whether a part of the next call has been received.
    pub fn has_partial_call(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Reads the head of the next call; `None` if the peer closed the connection between two calls.
    async fn read_head(&mut self, stream: &mut (impl AsyncRead + Unpin)) -> io::Result<Option<Head>> {
        loop {
            if let Some(head) = parse_head(&self.buffer)? {
                return Ok(Some(head));
            }
            if self.buffer.len() > MAX_HEAD_BYTES {
                return Err(invalid_data("head of a call larger than 8 KiB"));
            }
            if stream.read_buf(&mut self.buffer).await? == 0 {
                return if self.buffer.is_empty() {
                    Ok(None)
                } else {
                    Err(io::ErrorKind::UnexpectedEof.into())
                };
            }
        }
    }

    /// Reads the next call with its body; `None` if the peer closed the connection between two calls.
    ///
    /// # Errors
    /// `InvalidData` if the call is malformed or too large, `UnexpectedEof` if the peer closed within it, or
    /// the error of the read.
    pub async fn read_call(&mut self, stream: &mut (impl AsyncRead + Unpin)) -> io::Result<Option<Call>> {
        let Some(Head { mut call, body_bytes, head_bytes }) = self.read_head(stream).await? else {
            return Ok(None);
        };
        if body_bytes > MAX_BODY_BYTES {
            return Err(invalid_data("body of a call larger than 1 MiB"));
        }
        while self.buffer.len() < head_bytes + body_bytes {
            if stream.read_buf(&mut self.buffer).await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        let remaining = self.buffer.split_off(head_bytes + body_bytes);
        call.body = self.buffer.split_off(head_bytes);
        self.buffer = remaining;
        Ok(Some(call))
    }
}

fn invalid_data(message: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, message.to_owned())
}

fn parse_head(bytes: &[u8]) -> io::Result<Option<Head>> {
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut request = httparse::Request::new(&mut headers);
    let status = request.parse(bytes).map_err(|error| invalid_data(&error.to_string()))?;
    let httparse::Status::Complete(head_bytes) = status else { return Ok(None) };
    let header_value = |name: &str| {
        let header = request.headers.iter().find(|header| header.name.eq_ignore_ascii_case(name));
        header.map(|header| String::from_utf8_lossy(header.value).into_owned())
    };
    let body_bytes = header_value("Content-Length").map_or(Ok(0), |text| text.parse());
    let call = Call {
        method: request.method.unwrap_or_default().to_owned(),
        path: request.path.unwrap_or_default().to_owned(),
        call_id: header_value("X-Call-Id"),
        idempotency_key: header_value("Idempotency-Key"),
        body: Vec::new(),
    };
    Ok(Some(Head {
        call,
        body_bytes: body_bytes.map_err(|_| invalid_data("Content-Length is not a number"))?,
        head_bytes,
    }))
}

/// A response with a body and its length. `headers` is empty or consists of complete lines.
pub fn response(status: &str, headers: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

/// A response without body and Content-Length, as status 204 requires.
pub fn bodiless_response(status: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status}\r\n\r\n").into_bytes()
}
