//! An endpoint: reads calls as the protocol page states them and keeps a record of them.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Instant;

use crate::http::{response, Answer, Request, Server};
use crate::json;
use crate::world::Record;

/// A call that an endpoint received.
#[derive(Clone, Debug)]
pub struct Call {
    pub endpoint: String,
    pub connection: u64,
    /// The messages that it names.
    pub ids: Vec<String>,
    pub key: Option<String>,
    pub length: usize,
    pub first_byte: Instant,
    pub last_byte: Instant,
}

pub type Calls = Arc<Mutex<Vec<Call>>>;

/// Starts an endpoint. `answer` decides what a call gets; it may sleep.
pub fn start(
    name: &str,
    record: Arc<Record>,
    calls: Calls,
    answer: impl Fn(&Call, &Request) -> Answer + Send + Sync + 'static,
) -> (Server, SocketAddr) {
    let name = name.to_owned();
    let handler = move |request: Request| -> Answer {
        let ids = match request.path.as_str() {
            "/receive" => request.header("X-Call-Id").map(str::to_owned).into_iter().collect(),
            _ => json::texts(&String::from_utf8_lossy(&request.body), "id"),
        };
        let call = Call {
            endpoint: name.clone(),
            connection: request.connection,
            ids,
            key: request.header("Idempotency-Key").map(str::to_owned),
            length: request.length,
            first_byte: request.first_byte,
            last_byte: request.last_byte,
        };
        record.log_at(
            call.first_byte,
            format!(
                "{name} connection {}: call {} {} ({} bytes)",
                call.connection,
                request.path,
                call.ids.join(" "),
                call.length
            ),
        );
        calls.lock().unwrap().push(call.clone());
        let answer = answer(&call, &request);
        let text = match &answer {
            Answer::Write(bytes) | Answer::WriteAndClose(bytes) => {
                String::from_utf8_lossy(bytes).replace("\r\n", " | ")
            }
            Answer::Close => "closes".to_owned(),
        };
        record.log(format!("{name} connection {}: {text}", call.connection));
        answer
    };
    let server = Server::start(Arc::new(handler));
    let address = server.address;
    (server, address)
}

/// 200 to a call with one message or, if it has more, with a list that accepts all of them.
pub fn accepted(call: &Call, request: &Request, headers: &str) -> Answer {
    if request.path == "/receive" {
        return Answer::Write(response("200 OK", headers, b""));
    }
    let entry = |id: &String| format!("{{\"id\":\"{id}\",\"state\":\"accepted\"}}");
    let entries: Vec<String> = call.ids.iter().map(entry).collect();
    Answer::Write(response("200 OK", headers, format!("[{}]", entries.join(",")).as_bytes()))
}

pub fn turned_away(wait: Option<f64>) -> Answer {
    let headers = wait.map(|wait| format!("Retry-After: {wait}\r\n")).unwrap_or_default();
    Answer::Write(response("429 Too Many Requests", &headers, b""))
}
