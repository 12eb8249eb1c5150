//! The one place where configuration is read, checked and given defaults.

pub mod document;
mod faults;
pub mod known;
pub mod show;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use sailcart::Terms;
use sailcart_store::Sync;
use sailcart_terms::{Carriage, Fault, Names, member, take_number, take_text};
use serde_json::Value;

use crate::config::known::KnownList;
use crate::wire::resp::MOST_COMMAND;

/// All that a sender is told at its start.
pub struct Mandate {
    pub name: String,
    pub listen: SocketAddr,
    pub source: Source,
    /// The folder that lasts.
    pub state: PathBuf,
    pub seed: u64,
    pub known: KnownList,
    pub terms: Terms,
    pub names: Names,
    pub carriage: Carriage,
    pub bounds: Bounds,
    /// The file as it was written, but for its list.
    pub file: Value,
}

/// Where the list of destinations comes from, and where notices go.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Source {
    Platform(SocketAddr),
    /// The list in the configuration; ends are lines of the log.
    Static,
}

/// The limits of the machine, shared out.
#[derive(Debug, PartialEq)]
pub struct Bounds {
    /// Connections from clients at most.
    pub clients: usize,
    /// Idle connections to endpoints at most.
    pub idle: usize,
    /// Bytes that the folder may hold.
    pub journal: u64,
    /// Packets remembered once they are over.
    pub ended: usize,
    /// Endpoints that discovery's list may bring. A list of more is refused.
    pub listed: usize,
    /// When the journal must outlive the machine's power.
    pub sync: Sync,
}

/// Descriptors for all but clients and endpoints: standard streams, the poll, signals, the listener, the
/// journal's ten files, discovery, perhaps twice while one connection replaces the other, four for notices, a
/// configuration that is being read.
const OWN_SOCKETS: usize = 32;
const MB: f64 = 1e6;
/// Bytes for an id that is remembered, and what stands around it.
const LONG_ID: f64 = 128.0;

/// Share of the memory for the endpoints that are listed.
const LISTED_SHARE: f64 = 3.0 / 8.0;
/// Bytes for an endpoint that is listed, in all of the process: 180 were the most that were measured, just after an index had
/// grown (`docs/CAPACITY.md`), with names of up to 24 bytes and IPv4 addresses.
const LISTED_COST: f64 = 192.0;

/// Where a value may come from beside the file.
pub type Environment<'a> = &'a dyn Fn(&str) -> Option<String>;

/// Reads the file that `ROUTER_CONFIG` or the command line names. What the environment tells goes before it.
pub fn read(file: Option<PathBuf>, environment: Environment) -> Result<Mandate, Fault> {
    let path = file.or_else(|| environment("ROUTER_CONFIG").map(PathBuf::from));
    let path = path.ok_or("ROUTER_CONFIG: expected the path of a configuration file")?;
    let text =
        std::fs::read_to_string(&path).map_err(|e| format!("configuration {}: {e}", path.display()))?;
    if path.extension().is_some_and(|ending| ending == "toml") {
        let (file, known) = known::take(document(&path, &text)?.as_platform())?;
        return check(file, known, environment);
    }
    let (file, known) = known::split(text).map_err(|fault| within(&path.display().to_string(), fault))?;
    check(file, known, environment)
}

/// Every fault of a `sailcart.toml`, a line each.
fn document(path: &Path, text: &str) -> Result<document::Document, Fault> {
    faults::read(text).map_err(|faults| {
        let lines: Vec<String> = faults.iter().map(|fault| format!("{}: {fault}", path.display())).collect();
        Fault(lines.join("\n"))
    })
}

/// What is in force and where each value came from.
pub fn in_force(file: Option<PathBuf>, environment: Environment) -> Result<String, Fault> {
    let mandate = read(file.clone(), environment)?;
    let path = file.or_else(|| environment("ROUTER_CONFIG").map(PathBuf::from)).unwrap_or_default();
    if path.extension().is_none_or(|ending| ending != "toml") {
        return Ok(summary(&mandate));
    }
    let text = std::fs::read_to_string(&path).map_err(|e| format!("{}: {e}", path.display()))?;
    Ok(show::in_force(&document(&path, &text)?, &text, environment))
}

fn check(file: Value, known: KnownList, environment: Environment) -> Result<Mandate, Fault> {
    let told = |variable: &str, key: &str| -> Result<String, Fault> {
        match environment(variable) {
            Some(text) => Ok(text),
            None => take_text(member(&file, key)?, key).map(str::to_owned),
        }
    };
    let settings = member(&file, "settings")?;
    let (terms, names) = sailcart_terms::read(settings).map_err(|fault| within("settings", fault))?;
    let carriage = sailcart_terms::read_carriage(settings).map_err(|fault| within("settings", fault))?;
    let bounds = bounds(file.get("limits"), terms.slots).map_err(|fault| within("limits", fault))?;
    Ok(Mandate {
        name: told("ROUTER_NAME", "name")?,
        listen: address("listen", &told("ROUTER_LISTEN", "listen")?)?,
        source: match file.get("static") {
            Some(Value::Bool(true)) => Source::Static,
            _ => Source::Platform(address("discovery", &told("ROUTER_DISCOVERY", "discovery")?)?),
        },
        state: folder(&told("ROUTER_STATE", "state")?)?,
        seed: seed(file.get("seed"))?,
        known,
        terms,
        names,
        carriage,
        bounds,
        file,
    })
}

/// What a running sender takes over of a newer configuration: where discovery is. What the file says of it
/// anew goes before the environment, which is as old as the process. The rest waits for the next start.
pub fn moved(old: &Value, new: &Mandate) -> Result<Source, Fault> {
    let file = &new.file;
    let live = |key: &&String| !["discovery", "seed"].contains(&key.as_str());
    for key in file.as_object().into_iter().flat_map(|file| file.keys()).filter(live) {
        if file.get(key) != old.get(key) {
            log::warn!("reload: {key} has changed, code=next_start");
        }
    }
    match file.get("discovery") {
        Some(text) if old.get("discovery") != Some(text) => {
            Ok(Source::Platform(address("discovery", take_text(text, "discovery")?)?))
        }
        _ => Ok(new.source),
    }
}

fn within(part: &str, fault: Fault) -> Fault {
    format!("{part}: {}", fault.0).into()
}

fn address(key: &str, text: &str) -> Result<SocketAddr, Fault> {
    text.parse().map_err(|_| format!("{key}: expected ADDRESS:PORT, not {text}").into())
}

fn folder(text: &str) -> Result<PathBuf, Fault> {
    let folder = Path::new(text);
    folder
        .is_dir()
        .then(|| folder.to_owned())
        .ok_or_else(|| format!("state: expected a folder at {text}").into())
}

/// Sixteen hex digits; without one, the time of day.
fn seed(value: Option<&Value>) -> Result<u64, Fault> {
    let Some(value) = value else {
        let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        return Ok(now.unwrap_or(Duration::ZERO).as_nanos() as u64);
    };
    let text = take_text(value, "seed")?;
    u64::from_str_radix(text, 16)
        .map_err(|_| format!("seed: expected up to 16 hex digits, not {text}").into())
}

fn bounds(limits: Option<&Value>, slots: usize) -> Result<Bounds, Fault> {
    let limit = |key: &str, default: f64| -> Result<f64, Fault> {
        let value = limits.and_then(|limits| limits.get(key));
        let value = value.map_or(Ok(default), |value| take_number(value, key))?;
        if value > 0.0 { Ok(value) } else { Err(format!("expected more than 0 in {key}").into()) }
    };
    let (memory, disk) = (limit("memory_mb", 192.0)? * MB, limit("disk_mb", 3.0)? * MB);
    let sockets = limit("sockets", 1024.0)? as usize;
    let left = sockets.checked_sub(OWN_SOCKETS + slots).filter(|left| *left >= 8);
    let left = left.ok_or_else(|| format!("expected at least {} in sockets", OWN_SOCKETS + slots + 8))?;
    // Each client may have a whole command under way; all of them together get half of the memory.
    let buffers = (memory / 2.0 / MOST_COMMAND as f64) as usize;
    Ok(Bounds {
        clients: (left - left / 4).min(buffers).max(1),
        idle: left / 4,
        // Files are counted as memory.
        journal: disk.min(memory / 4.0) as u64,
        ended: (memory / 64.0 / LONG_ID) as usize,
        listed: (memory * LISTED_SHARE / LISTED_COST) as usize,
        sync: sync(limits.and_then(|limits| limits.get("sync")))?,
    })
}

/// `none` without it, as the platform's folder needs no sync; `each` record, or once a `round`.
fn sync(value: Option<&Value>) -> Result<Sync, Fault> {
    match value.map(|value| take_text(value, "sync")).transpose()? {
        None | Some("none") => Ok(Sync::None),
        Some("each") => Ok(Sync::Each),
        Some("round") => Ok(Sync::Every(Duration::ZERO)),
        Some(other) => Err(format!("expected none, each or round in sync, not {other}").into()),
    }
}

/// How a configuration was understood, for a person.
pub fn summary(mandate: &Mandate) -> String {
    let Mandate { name, listen, source, state, terms, bounds, known, .. } = mandate;
    let Bounds { clients, idle, journal, listed, .. } = bounds;
    let source = match source {
        Source::Platform(discovery) => format!("discovery at {discovery}"),
        Source::Static => "destinations as listed".to_owned(),
    };
    format!(
        "{name}: listens on {listen}, {source}, state in {}\n\
         {} slots, {} packets held, {} categories, {} kinds, {} endpoints known\n\
         {clients} client connections, {idle} idle connections to endpoints, {journal} bytes of journal at most\n\
         {listed} endpoints listed by discovery at most",
        state.display(),
        terms.slots,
        terms.hold,
        terms.categories.len(),
        terms.kinds.len(),
        known.summary().read,
    )
}
