//! A stand-in for discovery: one large list, told whole or by changes, on threads of its own so that building and
//! sending it takes nothing from the clients that measure pauses. The protocol is that of `docs/protocol.md`.

use std::fmt::Write as _;
use std::io::{self, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use super::http;

/// A number of a destination in the stand-in's list, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listed(pub usize);

/// Where the endpoints of a list are.
#[derive(Clone, Copy, Debug)]
pub enum Places {
    /// Each at an address of its own, where nobody listens: nothing is delivered.
    Nowhere,
    /// All at one address.
    At(SocketAddr),
    /// All draining: packets for them are held.
    Draining,
}

/// The port of endpoints that nobody listens at.
const NO_PORT: u16 = 9;

/// One answer as it was told.
#[derive(Clone, Copy, Debug)]
pub struct Told {
    pub version: u64,
    pub whole: bool,
    /// Bytes of request and answer.
    pub bytes: usize,
    /// Before its first byte was written.
    pub began: Instant,
}

/// Answers that told changes, all together.
#[derive(Clone, Copy, Debug, Default)]
pub struct ToldChanges {
    pub answers: usize,
    /// Bytes of requests and answers.
    pub bytes: usize,
}

/// A call for the list as it came.
#[derive(Clone, Copy, Debug)]
struct Asked {
    at: Instant,
    from: Option<u64>,
}

/// How a whole list fared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reading {
    /// Taken: from its first byte to the next call, which names its version.
    Read(Duration),
    Refused,
}

#[derive(Default)]
struct State {
    version: u64,
    /// The version of the last whole list; changes since then follow it.
    base: u64,
    /// Lines of changes after `base`, one version each.
    changes: Vec<String>,
    told: Vec<Told>,
    asked: Vec<Asked>,
}

struct Shared {
    places: Places,
    /// The lines of the whole list, joined.
    lines: String,
    state: Mutex<State>,
    turned: Condvar,
}

pub struct Directory {
    shared: Arc<Shared>,
    pub address: SocketAddr,
}

fn line(places: Places, listed: Listed, ready: bool) -> String {
    let number = listed.0;
    let address = match places {
        Places::At(address) => address,
        Places::Nowhere | Places::Draining => {
            let [_, a, b, c] = (number as u32 + 1).to_be_bytes();
            SocketAddr::from((Ipv4Addr::new(127, a, b, c), NO_PORT))
        }
    };
    let lifecycle = match places {
        Places::Draining => "Terminating",
        _ if ready => "Ready",
        _ => "Gone",
    };
    format!(
        "{{\"cell\":{number},\"hostPort\":\"{address}\",\"instanceId\":\"e-{number}\",\
         \"lifecycle\":\"{lifecycle}\",\"machineType\":\"k0\",\"startedAtMs\":0,\"weight\":1.0,\"zone\":\"z\"}}"
    )
}

impl Directory {
    /// Opens one for so many destinations, with version 1.
    pub fn open(destinations: usize, places: Places) -> io::Result<Self> {
        let mut lines = String::new();
        for number in 0..destinations {
            let comma = if number == 0 { "" } else { "," };
            let _ = write!(lines, "{comma}{}", line(places, Listed(number), true));
        }
        let state = State { version: 1, base: 1, ..State::default() };
        let shared = Arc::new(Shared { places, lines, state: Mutex::new(state), turned: Condvar::new() });
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        let accepting = shared.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = accepting.clone();
                std::thread::spawn(move || shared.converse(stream));
            }
        });
        Ok(Directory { shared, address })
    }

    /// One destination goes, or comes back.
    pub fn change(&self, listed: Listed, ready: bool) {
        let mut state = self.shared.state();
        state.version += 1;
        state.changes.push(line(self.shared.places, listed, ready));
        self.shared.turned.notify_all();
    }

    /// Tells the whole list anew.
    pub fn whole(&self) {
        let mut state = self.shared.state();
        state.version += 1;
        state.base = state.version;
        state.changes.clear();
        self.shared.turned.notify_all();
    }

    pub fn version(&self) -> u64 {
        self.shared.state().version
    }

    /// Bytes of the last whole list.
    pub fn whole_bytes(&self) -> Option<usize> {
        self.shared.state().told.iter().rev().find(|told| told.whole).map(|told| told.bytes)
    }

    /// What was told after a version by changes.
    pub fn told_since(&self, version: u64) -> ToldChanges {
        let state = self.shared.state();
        let since = state.told.iter().filter(|told| !told.whole && told.version > version);
        let mut changes = ToldChanges::default();
        for told in since {
            changes.answers += 1;
            changes.bytes += told.bytes;
        }
        changes
    }

    /// Waits until the sender asks for what is newer than the present version.
    pub fn wait_known(&self, within: Duration) -> bool {
        let version = self.version();
        let known = |state: &State| state.asked.iter().any(|asked| asked.from == Some(version));
        self.shared.wait(within, known)
    }

    /// Waits until the present version, told as a whole list, was read or refused. A list that is told several times
    /// without being taken is refused.
    pub fn wait_read(&self, within: Duration) -> Reading {
        const TRIES: usize = 3;
        let version = self.version();
        let of_it = |told: &&Told| told.whole && told.version == version;
        let known = |state: &State| state.asked.iter().any(|asked| asked.from == Some(version));
        let done = |state: &State| known(state) || state.told.iter().filter(of_it).count() >= TRIES;
        self.shared.wait(within, done);
        let state = self.shared.state();
        let next = state.asked.iter().find(|asked| asked.from == Some(version));
        let read = next.and_then(|next| {
            let told = state.told.iter().rev().filter(of_it).find(|told| told.began < next.at)?;
            Some(next.at - told.began)
        });
        read.map_or(Reading::Refused, Reading::Read)
    }
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn wait(&self, within: Duration, met: impl Fn(&State) -> bool) -> bool {
        let waited = self.turned.wait_timeout_while(self.state(), within, |state| !met(state));
        let (state, _) = waited.unwrap_or_else(PoisonError::into_inner);
        met(&state)
    }

    /// Answers one connection until either side ends it.
    fn converse(&self, stream: TcpStream) {
        let _ = self.answer_all(stream);
    }

    fn answer_all(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = http::read(&mut reader)? {
            if request.method == "POST" {
                writer.write_all(http::NO_CONTENT)?;
            } else {
                self.tell(&request, &mut writer)?;
            }
        }
        Ok(())
    }

    fn tell(&self, request: &http::Request, writer: &mut TcpStream) -> io::Result<()> {
        let (at, from) = (Instant::now(), request.number("from"));
        self.state().asked.push(Asked { at, from });
        self.turned.notify_all();
        let hold = Duration::from_millis(request.number("hold_ms").unwrap_or(0));
        if let Some(from) = from {
            self.wait(hold, |state| state.version != from);
        }
        let (version, changes) = {
            let state = self.state();
            let known = from.filter(|from| (state.base..=state.version).contains(from));
            let changes = known.map(|known| state.changes[(known - state.base) as usize..].join(","));
            (state.version, changes)
        };
        let whole = changes.is_none();
        let lines = changes.as_deref().unwrap_or(&self.lines);
        let open = format!("{{\"generation\":{version},\"reset\":{whole},\"instances\":[");
        let close = "]}";
        let head = http::head(open.len() + lines.len() + close.len());
        let bytes = request.bytes + head.len() + open.len() + lines.len() + close.len();
        self.state().told.push(Told { version, whole, bytes, began: Instant::now() });
        self.turned.notify_all();
        if whole {
            for part in [&*head, &*open, lines, close] {
                writer.write_all(part.as_bytes())?;
            }
            return Ok(());
        }
        writer.write_all([&*head, &*open, lines, close].concat().as_bytes())
    }
}
