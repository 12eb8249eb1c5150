//! Reads the configuration of a sender, checks it and fills in defaults. No other module does any of this.
//!
//! A configuration is either `sailcart.toml` ([`document`]) or the platform's JSON. Both become the same JSON
//! structure, which is checked here.

pub mod document;
pub mod known_list;
pub mod show;
mod validation;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use sailcart::Settings;
use sailcart::memory_budget::{MemoryBudget, ProcessLimits};
use sailcart_store::SyncPolicy;
use sailcart_terms::{HostSettings, Names, ValueError, member, read_number, read_text};
use serde_json::Value;

use crate::config::known_list::KnownList;

/// The checked configuration of a sender.
pub struct SenderConfig {
    pub name: String,
    pub listen: SocketAddr,
    pub source: Source,
    /// The folder for data that must survive a restart.
    pub state_folder: PathBuf,
    /// Seed of the random number generator.
    pub seed: u64,
    /// The destination list in the configuration.
    pub known_list: KnownList,
    pub settings: Settings,
    pub names: Names,
    pub host_settings: HostSettings,
    pub limits: ResourceLimits,
    /// The file as written, without its list. A reload compares its keys with those of the new file.
    pub file: Value,
}

/// The source of the destination list, and the receiver of notices.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Source {
    /// The platform's discovery at this address.
    Platform(SocketAddr),
    /// The list in the configuration. Notices are written to the log.
    Static,
}

/// The shares of the process's resource limits.
#[derive(Debug, PartialEq)]
pub struct ResourceLimits {
    /// Maximum number of connections from clients.
    pub max_clients: usize,
    /// Maximum number of idle connections to endpoints.
    pub max_idle_connections: usize,
    /// Maximum size of the journal, in bytes.
    pub max_journal_bytes: u64,
    /// Maximum size of the record of the list in force, in bytes.
    pub max_list_record_bytes: u64,
    /// Number of completed packets whose ids are remembered.
    pub max_completed_ids: usize,
    /// Maximum number of endpoints in a list from discovery. A list with more is rejected.
    pub max_listed_endpoints: usize,
    /// When the journal is synced to disk, so that it survives a power loss.
    pub sync: SyncPolicy,
    /// The shares of the memory.
    pub memory: MemoryBudget,
}

/// File descriptors for everything except clients and endpoints: the standard streams, the poll, signals, the
/// listener, ten files of the journal, one of the record of the list in force, the connection to discovery (two
/// while one replaces the other), four connections for notices, and a configuration that is being read.
const RESERVED_DESCRIPTORS: usize = 32;
const BYTES_PER_MB: f64 = 1e6;
/// Memory for the remembered id of a completed packet, with its overhead, in bytes.
const BYTES_PER_COMPLETED_ID: u64 = 128;

/// Memory for a listed endpoint in the entire process, in bytes. Up to 180 are in use just after an index has
/// grown (`docs/CAPACITY.md`), with names of up to 24 bytes and IPv4 addresses.
const BYTES_PER_LISTED_ENDPOINT: u64 = 192;

/// Looks up an environment variable.
pub type Environment<'a> = &'a dyn Fn(&str) -> Option<String>;

/// Reads the configuration from `file`, or else from the file named by `ROUTER_CONFIG`. Environment variables
/// override its values.
pub fn read(file: Option<PathBuf>, environment: Environment) -> Result<SenderConfig, ValueError> {
    let path = file.or_else(|| environment("ROUTER_CONFIG").map(PathBuf::from));
    let path = path.ok_or("ROUTER_CONFIG: expected the path of a configuration file")?;
    let text =
        std::fs::read_to_string(&path).map_err(|e| format!("configuration {}: {e}", path.display()))?;
    if path.extension().is_some_and(|extension| extension == "toml") {
        let (file, known_list) = known_list::split_value(read_document(&path, &text)?.to_platform_json())?;
        return build_config(file, known_list, environment);
    }
    let (file, known_list) =
        known_list::split(text).map_err(|error| with_context(&path.display().to_string(), error))?;
    build_config(file, known_list, environment)
}

/// Reads a `sailcart.toml`. The error contains all errors of the file, one per line.
fn read_document(path: &Path, text: &str) -> Result<document::Document, ValueError> {
    validation::read(text).map_err(|errors| {
        let lines: Vec<String> = errors.iter().map(|error| format!("{}: {error}", path.display())).collect();
        ValueError(lines.join("\n"))
    })
}

/// The effective configuration as text, with the origin of each value. For the platform's JSON, a summary.
pub fn show_effective(file: Option<PathBuf>, environment: Environment) -> Result<String, ValueError> {
    let config = read(file.clone(), environment)?;
    let path = file.or_else(|| environment("ROUTER_CONFIG").map(PathBuf::from)).unwrap_or_default();
    if path.extension().is_none_or(|extension| extension != "toml") {
        return Ok(summary(&config));
    }
    let text = std::fs::read_to_string(&path).map_err(|e| format!("{}: {e}", path.display()))?;
    Ok(show::effective(&read_document(&path, &text)?, &text, environment))
}

/// Checks a configuration in the structure of the platform's JSON and adds the defaults.
fn build_config(
    file: Value,
    known_list: KnownList,
    environment: Environment,
) -> Result<SenderConfig, ValueError> {
    let value_of = |variable: &str, key: &str| -> Result<String, ValueError> {
        match environment(variable) {
            Some(text) => Ok(text),
            None => read_text(member(&file, key)?, key).map(str::to_owned),
        }
    };
    let settings_value = member(&file, "settings")?;
    let (settings, names) =
        sailcart_terms::read(settings_value).map_err(|error| with_context("settings", error))?;
    let host_settings = sailcart_terms::read_host_settings(settings_value)
        .map_err(|error| with_context("settings", error))?;
    let limits =
        read_limits(file.get("limits"), settings.slots).map_err(|error| with_context("limits", error))?;
    Ok(SenderConfig {
        name: value_of("ROUTER_NAME", "name")?,
        listen: parse_address("listen", &value_of("ROUTER_LISTEN", "listen")?)?,
        source: match file.get("static") {
            Some(Value::Bool(true)) => Source::Static,
            _ => Source::Platform(parse_address("discovery", &value_of("ROUTER_DISCOVERY", "discovery")?)?),
        },
        state_folder: existing_folder(&value_of("ROUTER_STATE", "state")?)?,
        seed: read_seed(file.get("seed"))?,
        known_list,
        settings,
        names,
        host_settings,
        limits,
        file,
    })
}

/// The part of a newer configuration that a running sender applies: the source of the destination list. A
/// changed address of discovery in the file overrides the environment variable, which cannot change while the
/// process runs. Other changes are logged and take effect at the next start.
pub fn reloaded_source(old: &Value, new: &SenderConfig) -> Result<Source, ValueError> {
    let file = &new.file;
    let needs_restart = |key: &&String| !["discovery", "seed"].contains(&key.as_str());
    for key in file.as_object().into_iter().flat_map(|file| file.keys()).filter(needs_restart) {
        if file.get(key) != old.get(key) {
            log::warn!("reload: {key} has changed and takes effect at the next start, code=next_start");
        }
    }
    match file.get("discovery") {
        Some(text) if old.get("discovery") != Some(text) => {
            Ok(Source::Platform(parse_address("discovery", read_text(text, "discovery")?)?))
        }
        _ => Ok(new.source),
    }
}

/// Prefixes the error with the part of the configuration that it is about.
fn with_context(part: &str, error: ValueError) -> ValueError {
    format!("{part}: {}", error.0).into()
}

fn parse_address(key: &str, text: &str) -> Result<SocketAddr, ValueError> {
    text.parse().map_err(|_| format!("{key}: expected ADDRESS:PORT, not {text}").into())
}

/// Fails if the folder doesn't exist.
fn existing_folder(text: &str) -> Result<PathBuf, ValueError> {
    let folder = Path::new(text);
    folder
        .is_dir()
        .then(|| folder.to_owned())
        .ok_or_else(|| format!("state: expected a folder at {text}").into())
}

/// Reads up to 16 hex digits. Without a value, the seed is the current time.
fn read_seed(value: Option<&Value>) -> Result<u64, ValueError> {
    let Some(value) = value else {
        let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        return Ok(now.unwrap_or(Duration::ZERO).as_nanos() as u64);
    };
    let text = read_text(value, "seed")?;
    u64::from_str_radix(text, 16)
        .map_err(|_| format!("seed: expected up to 16 hex digits, not {text}").into())
}

fn read_limits(limits: Option<&Value>, slots: usize) -> Result<ResourceLimits, ValueError> {
    let limit = |key: &str, default: f64| -> Result<f64, ValueError> {
        let value = limits.and_then(|limits| limits.get(key));
        let value = value.map_or(Ok(default), |value| read_number(value, key))?;
        if value > 0.0 { Ok(value) } else { Err(format!("expected more than 0 in {key}").into()) }
    };
    let (memory, disk) = (limit("memory_mb", 192.0)? * BYTES_PER_MB, limit("disk_mb", 3.0)? * BYTES_PER_MB);
    let sockets = limit("sockets", 1024.0)? as usize;
    let available = sockets.checked_sub(RESERVED_DESCRIPTORS + slots).filter(|available| *available >= 8);
    let available = available
        .ok_or_else(|| format!("expected at least {} in sockets", RESERVED_DESCRIPTORS + slots + 8))?;
    let memory = MemoryBudget::new(ProcessLimits {
        memory_bytes: memory as u64,
        disk_bytes: disk as u64,
        descriptors: sockets as u64,
        slots: slots as u64,
    });
    Ok(ResourceLimits {
        max_clients: available - available / 4,
        max_idle_connections: available / 4,
        max_journal_bytes: memory.journal,
        max_list_record_bytes: memory.list_record_files(),
        max_completed_ids: (memory.completed_ids / BYTES_PER_COMPLETED_ID) as usize,
        max_listed_endpoints: (memory.lists / BYTES_PER_LISTED_ENDPOINT) as usize,
        memory,
        sync: read_sync(limits.and_then(|limits| limits.get("sync")))?,
    })
}

/// Reads when to sync: after `each` record, or once per `round`. The default is `none`, as the platform's
/// folder needs no sync.
fn read_sync(value: Option<&Value>) -> Result<SyncPolicy, ValueError> {
    match value.map(|value| read_text(value, "sync")).transpose()? {
        None | Some("none") => Ok(SyncPolicy::None),
        Some("each") => Ok(SyncPolicy::EachWrite),
        Some("round") => Ok(SyncPolicy::Interval(Duration::ZERO)),
        Some(other) => Err(format!("expected none, each or round in sync, not {other}").into()),
    }
}

/// A summary of the configuration for people, as printed by `sailcart check`.
pub fn summary(config: &SenderConfig) -> String {
    let SenderConfig { name, listen, source, state_folder, settings, limits, known_list, .. } = config;
    let ResourceLimits { max_clients, max_idle_connections, max_journal_bytes, max_listed_endpoints, .. } =
        limits;
    let source = match source {
        Source::Platform(discovery) => format!("discovery at {discovery}"),
        Source::Static => "destinations listed in the configuration".to_owned(),
    };
    let shares = limits.memory.shares().map(|(share, bytes)| format!("{share} {bytes}"));
    format!(
        "{name}: listens on {listen}, {source}, state in {}\n\
         {} slots, {} packets held, {} categories, {} kinds, {} endpoints known\n\
         {max_clients} client connections, {max_idle_connections} idle connections to endpoints, \
         {max_journal_bytes} bytes of journal at most\n\
         {max_listed_endpoints} endpoints listed by discovery at most\n\
         memory, {} bytes in all: {}",
        state_folder.display(),
        settings.slots,
        settings.max_held,
        settings.categories.len(),
        settings.kinds.len(),
        known_list.summary().entries_read,
        limits.memory.total(),
        shares.join(", "),
    )
}
