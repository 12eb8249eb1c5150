//! A small HTTP/1.1 server: one thread for each connection, keep-alive, bodies by Content-Length.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Instant;

pub struct Request {
    pub connection: u64,
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Length of the body as the head states it.
    pub length: usize,
    pub first_byte: Instant,
    pub last_byte: Instant,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers.find(|(other, _)| other.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }
}

/// What a handler does with a request.
pub enum Answer {
    /// Writes these bytes and keeps the connection.
    Write(Vec<u8>),
    /// Writes these bytes and closes the connection.
    WriteAndClose(Vec<u8>),
    /// Closes the connection.
    Close,
}

pub fn response(status: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let head = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}

pub type Handler = Arc<dyn Fn(Request) -> Answer + Send + Sync>;

/// A server on a free port of 127.0.0.1.
pub struct Server {
    pub address: SocketAddr,
    closing: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// Starts a server that accepts connections.
    pub fn start(handler: Handler) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").expect("no free port");
        Self::on(listener, handler)
    }

    pub fn on(listener: TcpListener, handler: Handler) -> Server {
        let address = listener.local_addr().expect("no address");
        let closing = Arc::new(AtomicBool::new(false));
        let streams = Arc::new(Mutex::new(Vec::new()));
        let (stop, open) = (closing.clone(), streams.clone());
        std::thread::spawn(move || {
            let connections = AtomicU64::new(0);
            for stream in listener.incoming() {
                if stop.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                let _ = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    open.lock().unwrap().push(copy);
                }
                let number = connections.fetch_add(1, Ordering::SeqCst) + 1;
                let handler = handler.clone();
                std::thread::spawn(move || serve(stream, number, handler));
            }
        });
        Server { address, closing, streams }
    }

    /// Accepts no further connections, and ends those that are open. The port is closed.
    pub fn close(&self) {
        self.closing.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }
}

fn serve(mut stream: TcpStream, connection: u64, handler: Handler) {
    let mut buffer: Vec<u8> = Vec::new();
    loop {
        let Some(request) = read_request(&mut stream, &mut buffer, connection) else { return };
        match handler(request) {
            Answer::Write(bytes) => {
                if stream.write_all(&bytes).is_err() {
                    return;
                }
            }
            Answer::WriteAndClose(bytes) => {
                let _ = stream.write_all(&bytes);
                let _ = stream.shutdown(std::net::Shutdown::Both);
                return;
            }
            Answer::Close => {
                let _ = stream.shutdown(std::net::Shutdown::Both);
                return;
            }
        }
    }
}

fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>, connection: u64) -> Option<Request> {
    let mut first_byte = (!buffer.is_empty()).then(Instant::now);
    let end = loop {
        if let Some(end) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            break end;
        }
        fill(stream, buffer)?;
        first_byte.get_or_insert_with(Instant::now);
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    buffer.drain(..end + 4);
    let mut lines = head.split("\r\n");
    let mut first_line = lines.next()?.split(' ');
    let (method, path) = (first_line.next()?.to_owned(), first_line.next()?.to_owned());
    let header = |line: &str| line.split_once(':').map(|(n, v)| (n.trim().to_owned(), v.trim().to_owned()));
    let headers: Vec<(String, String)> = lines.filter_map(header).collect();
    let length = headers.iter().find(|(name, _)| name.eq_ignore_ascii_case("Content-Length"));
    let length: usize = length.map_or(0, |(_, value)| value.parse().unwrap_or(0));
    while buffer.len() < length {
        fill(stream, buffer)?;
    }
    let body = buffer.drain(..length).collect();
    Some(Request {
        connection,
        method,
        path,
        headers,
        body,
        length,
        first_byte: first_byte?,
        last_byte: Instant::now(),
    })
}

fn fill(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<()> {
    let mut piece = [0; 16 * 1024];
    match stream.read(&mut piece) {
        Ok(0) | Err(_) => None,
        Ok(length) => {
            buffer.extend_from_slice(&piece[..length]);
            Some(())
        }
    }
}
