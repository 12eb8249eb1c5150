//! Requests of a sender as the stand-ins read them: a head within bounds, and a body by its length.

use std::io::{self, BufRead, Read};

const MOST_HEAD: u64 = 16 * 1024;
const MOST_BODY: u64 = 4 * 1024 * 1024;

/// One request; its body is read and dropped.
pub struct Request {
    pub method: String,
    pub path: String,
    /// Bytes of head and body.
    pub bytes: usize,
}

/// The next request on a connection; `None` where the peer ended it between two.
pub fn read(from: &mut impl BufRead) -> io::Result<Option<Request>> {
    let (mut first, mut bytes, mut length) = (String::new(), 0, 0);
    loop {
        let mut line = String::new();
        let count = from.by_ref().take(MOST_HEAD).read_line(&mut line)?;
        if count == 0 {
            return Ok(None);
        }
        bytes += count;
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if first.is_empty() {
            first = line.to_owned();
        } else if let Some((name, value)) = line.split_once(':')
            && name.eq_ignore_ascii_case("content-length")
        {
            length = value.trim().parse().map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        }
    }
    let dropped = io::copy(&mut from.by_ref().take(u64::min(length, MOST_BODY)), &mut io::sink())?;
    let mut words = first.split(' ').map(str::to_owned);
    let (method, path) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
    Ok(Some(Request { method, path, bytes: bytes + dropped as usize }))
}

impl Request {
    /// A number in the query.
    pub fn number(&self, name: &str) -> Option<u64> {
        let (_, query) = self.path.split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name)?.1.parse().ok()
    }
}

/// The head of an answer with a JSON body of a length.
pub fn head(length: usize) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n")
}

pub const NO_CONTENT: &[u8] = b"HTTP/1.1 204 No Content\r\n\r\n";
