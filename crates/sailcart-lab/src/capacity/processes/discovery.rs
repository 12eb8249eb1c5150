//! A stub of discovery that serves one large list, in full or as changes. It has its own threads, so that
//! building and sending the list does not delay the clients that measure pauses. The protocol is described in
//! `docs/protocol.md`.

use std::fmt::Write as _;
use std::io::{self, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use super::http;

/// Index of a destination in the stub's list, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DestinationIndex(pub usize);

/// The addresses and lifecycle of a list's endpoints.
#[derive(Clone, Copy, Debug)]
pub enum EndpointAddresses {
    /// Each endpoint has its own address, at which nothing listens: nothing is delivered.
    Unreachable,
    /// All endpoints have the same address.
    Shared(SocketAddr),
    /// All endpoints are draining: packets for them are held.
    Draining,
}

/// The port of endpoints at which nothing listens (discard).
const CLOSED_PORT: u16 = 9;

/// A response that contains a list.
#[derive(Clone, Copy, Debug)]
pub struct ListResponse {
    pub version: u64,
    /// Whether it contains the full list, not only changes.
    pub full: bool,
    /// Bytes of request and response.
    pub bytes: usize,
    /// When writing of the response started.
    pub started_at: Instant,
}

/// Totals of the responses that contained changes.
#[derive(Clone, Copy, Debug, Default)]
pub struct ChangeTotals {
    pub responses: usize,
    /// Bytes of requests and responses.
    pub bytes: usize,
}

/// A request for the list.
#[derive(Clone, Copy, Debug)]
struct ListRequest {
    received_at: Instant,
    /// The version that the sender has, if any.
    from_version: Option<u64>,
}

/// Whether the sender read a full list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListRead {
    /// The list was read: the time from the first byte of the response to the next request, which names its
    /// version.
    Read(Duration),
    /// The sender did not accept the list.
    Refused,
}

#[derive(Default)]
struct State {
    version: u64,
    /// The version of the last full list, which `changes` are based on.
    full_version: u64,
    /// Entries of the changes after `full_version`, one for each version.
    changes: Vec<String>,
    responses: Vec<ListResponse>,
    requests: Vec<ListRequest>,
}

struct Shared {
    addresses: EndpointAddresses,
    /// The entries of the full list, joined with commas.
    entries: String,
    state: Mutex<State>,
    state_changed: Condvar,
}

/// The stub; its threads run until the process exits.
pub struct DiscoveryStub {
    shared: Arc<Shared>,
    pub address: SocketAddr,
}

fn entry(addresses: EndpointAddresses, destination: DestinationIndex, ready: bool) -> String {
    let index = destination.0;
    let address = match addresses {
        EndpointAddresses::Shared(address) => address,
        EndpointAddresses::Unreachable | EndpointAddresses::Draining => {
            let [_, a, b, c] = (index as u32 + 1).to_be_bytes();
            SocketAddr::from((Ipv4Addr::new(127, a, b, c), CLOSED_PORT))
        }
    };
    let lifecycle = match addresses {
        EndpointAddresses::Draining => "Terminating",
        _ if ready => "Ready",
        _ => "Gone",
    };
    format!(
        "{{\"cell\":{index},\"hostPort\":\"{address}\",\"instanceId\":\"e-{index}\",\
         \"lifecycle\":\"{lifecycle}\",\"machineType\":\"k0\",\"startedAtMs\":0,\"weight\":1.0,\"zone\":\"z\"}}"
    )
}

impl DiscoveryStub {
    /// Opens a stub with version 1 of a list of this many destinations.
    pub fn open(destinations: usize, addresses: EndpointAddresses) -> io::Result<Self> {
        let mut entries = String::new();
        for index in 0..destinations {
            let comma = if index == 0 { "" } else { "," };
            let _ = write!(entries, "{comma}{}", entry(addresses, DestinationIndex(index), true));
        }
        let state = State { version: 1, full_version: 1, ..State::default() };
        let shared =
            Arc::new(Shared { addresses, entries, state: Mutex::new(state), state_changed: Condvar::new() });
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        let listener_shared = shared.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = listener_shared.clone();
                std::thread::spawn(move || shared.serve_connection(stream));
            }
        });
        Ok(DiscoveryStub { shared, address })
    }

    /// Publishes a change: one destination becomes ready, or is removed.
    pub fn publish_change(&self, destination: DestinationIndex, ready: bool) {
        let mut state = self.shared.state();
        state.version += 1;
        state.changes.push(entry(self.shared.addresses, destination, ready));
        self.shared.state_changed.notify_all();
    }

    /// Publishes the full list as a new version.
    pub fn publish_full_list(&self) {
        let mut state = self.shared.state();
        state.version += 1;
        state.full_version = state.version;
        state.changes.clear();
        self.shared.state_changed.notify_all();
    }

    /// The current version of the list.
    pub fn version(&self) -> u64 {
        self.shared.state().version
    }

    /// Bytes of the last full list that was sent, with its request.
    pub fn full_list_bytes(&self) -> Option<usize> {
        self.shared
            .state()
            .responses
            .iter()
            .rev()
            .find(|response| response.full)
            .map(|response| response.bytes)
    }

    /// Totals of the responses that contained changes after a version.
    pub fn changes_after(&self, version: u64) -> ChangeTotals {
        let state = self.shared.state();
        let responses =
            state.responses.iter().filter(|response| !response.full && response.version > version);
        let mut totals = ChangeTotals::default();
        for response in responses {
            totals.responses += 1;
            totals.bytes += response.bytes;
        }
        totals
    }

    /// Waits until the sender has the current version, that is, requests the versions after it.
    pub fn wait_current(&self, timeout: Duration) -> bool {
        let version = self.version();
        let is_current =
            |state: &State| state.requests.iter().any(|request| request.from_version == Some(version));
        self.shared.wait(timeout, is_current)
    }

    /// Waits until the current version, sent as a full list, was read or refused. A list that was sent
    /// several times without being accepted counts as refused.
    pub fn wait_full_list_read(&self, timeout: Duration) -> ListRead {
        const MAX_ATTEMPTS: usize = 3;
        let version = self.version();
        let of_version = |response: &&ListResponse| response.full && response.version == version;
        let is_current =
            |state: &State| state.requests.iter().any(|request| request.from_version == Some(version));
        let finished = |state: &State| {
            is_current(state) || state.responses.iter().filter(of_version).count() >= MAX_ATTEMPTS
        };
        self.shared.wait(timeout, finished);
        let state = self.shared.state();
        let next_request = state.requests.iter().find(|request| request.from_version == Some(version));
        let read_time = next_request.and_then(|next| {
            let response = state
                .responses
                .iter()
                .rev()
                .filter(of_version)
                .find(|response| response.started_at < next.received_at)?;
            Some(next.received_at - response.started_at)
        });
        read_time.map_or(ListRead::Refused, ListRead::Read)
    }
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn wait(&self, timeout: Duration, condition: impl Fn(&State) -> bool) -> bool {
        let waited = self.state_changed.wait_timeout_while(self.state(), timeout, |state| !condition(state));
        let (state, _) = waited.unwrap_or_else(PoisonError::into_inner);
        condition(&state)
    }

    /// Serves one connection until either side closes it.
    fn serve_connection(&self, stream: TcpStream) {
        let _ = self.serve_requests(stream);
    }

    fn serve_requests(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = http::read_request(&mut reader)? {
            if request.method == "POST" {
                writer.write_all(http::NO_CONTENT)?;
            } else {
                self.send_list(&request, &mut writer)?;
            }
        }
        Ok(())
    }

    fn send_list(&self, request: &http::Request, writer: &mut TcpStream) -> io::Result<()> {
        let (received_at, from_version) = (Instant::now(), request.query_number("from"));
        self.state().requests.push(ListRequest { received_at, from_version });
        self.state_changed.notify_all();
        let hold = Duration::from_millis(request.query_number("hold_ms").unwrap_or(0));
        if let Some(from_version) = from_version {
            self.wait(hold, |state| state.version != from_version);
        }
        let (version, changes) = {
            let state = self.state();
            let base = from_version.filter(|from| (state.full_version..=state.version).contains(from));
            let changes = base.map(|base| state.changes[(base - state.full_version) as usize..].join(","));
            (state.version, changes)
        };
        let full = changes.is_none();
        let entries = changes.as_deref().unwrap_or(&self.entries);
        let open = format!("{{\"generation\":{version},\"reset\":{full},\"instances\":[");
        let close = "]}";
        let head = http::response_head(open.len() + entries.len() + close.len());
        let bytes = request.bytes + head.len() + open.len() + entries.len() + close.len();
        self.state().responses.push(ListResponse { version, full, bytes, started_at: Instant::now() });
        self.state_changed.notify_all();
        if full {
            for part in [&*head, &*open, entries, close] {
                writer.write_all(part.as_bytes())?;
            }
            return Ok(());
        }
        writer.write_all([&*head, &*open, entries, close].concat().as_bytes())
    }
}
