//! Reads a sender's HTTP requests for the stubs: a head with lines of bounded length, and a body of the
//! length that `Content-Length` states.

use std::io::{self, BufRead, Read};

/// Maximum length of one line of the head.
const MAX_HEAD_LINE_BYTES: u64 = 16 * 1024;
/// Maximum length of a body.
const MAX_BODY_BYTES: u64 = 4 * 1024 * 1024;

/// A request; its body is read and discarded.
pub struct Request {
    pub method: String,
    pub path: String,
    /// Bytes of head and body.
    pub bytes: usize,
}

/// Reads the next request of a connection. `None` if the peer closed the connection; an error of kind
/// `InvalidData` if `Content-Length` is not a number.
pub fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let (mut request_line, mut head_bytes, mut content_length) = (String::new(), 0, 0);
    loop {
        let mut line = String::new();
        let count = reader.by_ref().take(MAX_HEAD_LINE_BYTES).read_line(&mut line)?;
        if count == 0 {
            return Ok(None);
        }
        head_bytes += count;
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if request_line.is_empty() {
            request_line = line.to_owned();
        } else if let Some((name, value)) = line.split_once(':')
            && name.eq_ignore_ascii_case("content-length")
        {
            content_length = value.trim().parse().map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        }
    }
    let body_bytes =
        io::copy(&mut reader.by_ref().take(u64::min(content_length, MAX_BODY_BYTES)), &mut io::sink())?;
    let mut words = request_line.split(' ').map(str::to_owned);
    let (method, path) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
    Ok(Some(Request { method, path, bytes: head_bytes + body_bytes as usize }))
}

impl Request {
    /// The value of a query parameter, if it is present and a number.
    pub fn query_number(&self, name: &str) -> Option<u64> {
        let (_, query) = self.path.split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name)?.1.parse().ok()
    }
}

/// The head of a successful response with a JSON body of this many bytes.
pub fn response_head(body_bytes: usize) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {body_bytes}\r\n\r\n")
}

/// A response without a body.
pub const NO_CONTENT: &[u8] = b"HTTP/1.1 204 No Content\r\n\r\n";
