//! Start: the journal is recovered, the list of endpoints is put in force, then clients are accepted.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{oneshot, watch};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;

use crate::clients::Clients;
use crate::config::{SenderConfig, Source};
use crate::endpoints::Endpoints;
use crate::exchange::Exchange;
use crate::life::recovery::{self, ListRecordOptions};
use crate::life::reload::{ReadConfig, ReloadTarget, reload};
use crate::life::stop;
use crate::local_errors;
use crate::memory::ledger::Ledger;
use crate::memory::pool::Pool;
use crate::platform;
use crate::polling::PollingSchedule;

/// How long a start waits for a port that is in use.
const MAX_PORT_WAIT: Duration = Duration::from_secs(4);

/// How long a start retries after local errors, such as a lack of sockets, and the delay between attempts.
const MAX_LOCAL_ERROR_WAIT: Duration = Duration::from_secs(25);
const LOCAL_ERROR_DELAY: Duration = Duration::from_millis(25);

/// Runs a sender on this thread until SIGTERM or SIGINT. `read` reads the configuration again at each reload.
///
/// # Errors
/// The start failed: the state folder cannot be opened, or the listening socket cannot be bound.
pub fn serve(config: SenderConfig, read: ReadConfig) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let result = LocalSet::new().block_on(&runtime, run(config, read));
    runtime.shutdown_background(); // does not wait for a reload that is still reading the configuration
    result
}

async fn run(config: SenderConfig, read: ReadConfig) -> io::Result<()> {
    let mut sigterm = signal(SignalKind::terminate())?;
    let mut sigint = signal(SignalKind::interrupt())?;
    let sighup = signal(SignalKind::hangup())?; // from here on it no longer terminates the process
    let ledger = Ledger::open(
        &config.state_folder,
        config.limits.max_journal_bytes,
        config.limits.max_completed_ids,
        config.limits.sync,
    );
    let ledger = ledger.map_err(|e| with_key("state", e))?;
    let (settings, known_list, limits) = (config.settings, config.known_list, config.limits);
    // An eighth before the endpoint closes the connection, which is longer than a call takes to reach it: a
    // call that crosses the endpoint's close is lost.
    let pool = Pool::new(config.host_settings.idle_close * 7 / 8, limits.max_idle_connections);
    let max_settling = limits.memory.max_extra_responses();
    let endpoints = Rc::new(Endpoints::new(pool, settings.connect_timeout, max_settling));
    let max_list_staleness = settings.max_list_staleness;
    let exchange = Exchange::new(settings, config.seed, config.names, ledger);
    exchange.limit_unconfirmed_deliveries(limits.memory.unconfirmed_deliveries);
    let exchange = Rc::new(exchange);
    let changes_since = match config.source {
        Source::Platform(discovery) => {
            let options = ListRecordOptions {
                state_folder: &config.state_folder,
                capacity_bytes: limits.max_list_record_bytes,
                discovery,
            };
            recovery::recover_list(&exchange, &known_list, &options)
        }
        Source::Static => {
            exchange.apply_current_list(known_list.summary().full, known_list.entries());
            known_list.summary().version
        }
    };
    drop(known_list); // it may be large
    recovery::recover_packets(&exchange);
    let reload_target = match config.source {
        Source::Platform(discovery) => {
            let (address_sender, address_receiver) = watch::channel(discovery);
            let (first_call_completed, first_call) = oneshot::channel();
            let schedule = PollingSchedule::new(max_list_staleness, config.seed);
            let follower = platform::Follower::new(
                address_receiver.clone(),
                changes_since,
                schedule,
                limits.max_listed_endpoints,
                exchange.clone(),
            );
            spawn_local(follower.follow(first_call_completed));
            spawn_local(platform::send_notices(address_receiver, exchange.clone()));
            if max_list_staleness.is_none() {
                // The sender must know the agent's current list from its start on, and the list of the
                // previous process may contain endpoints that have drained since. If the agent does not
                // respond, the start waits for one call at most.
                let _ = first_call.await;
            }
            ReloadTarget::DiscoveryAddress(address_sender)
        }
        Source::Static => {
            spawn_local(platform::log_notices(exchange.clone()));
            ReloadTarget::EndpointList(exchange.clone())
        }
    };
    spawn_local(reload(sighup, config.file, read, reload_target));
    spawn_local(endpoints.clone().sweep(exchange.clone()));
    spawn_local(exchange.clone().run_rounds(config.host_settings.min_round_interval, endpoints.clone()));
    let listener = bind(config.listen).await.map_err(|e| with_key("listen", e))?;
    log::info!("{} listens on {}", config.name, config.listen);
    let clients = Clients::new(exchange.clone(), &limits);
    let accepting = spawn_local(clients.clone().accept(listener));
    tokio::select! {
        _ = sigterm.recv() => log::info!("{} stops, code=sigterm", config.name),
        _ = sigint.recv() => log::info!("{} stops, code=sigint", config.name),
    }
    stop::stop(&exchange, &clients, accepting).await;
    endpoints.close_all("stopping");
    log::info!("{} ends", config.name);
    Ok(())
}

/// Binds the listening socket. Retries while the previous process may still hold the port, or while this
/// machine is short of sockets. Nine in ten senders must be ready within ten seconds.
async fn bind(listen: SocketAddr) -> io::Result<TcpListener> {
    let start = Instant::now();
    let mut logged_code = None;
    loop {
        let error = match TcpListener::bind(listen).await {
            Ok(listener) => return Ok(listener),
            Err(error) => error,
        };
        let (code, max_wait, retry_delay) = match error.kind() {
            io::ErrorKind::AddrInUse => ("in_use", MAX_PORT_WAIT, MAX_PORT_WAIT / 16),
            // Permanent: the address belongs to no interface of this machine.
            io::ErrorKind::AddrNotAvailable => return Err(error),
            _ if local_errors::is_local_error(&error) => {
                ("own_fault", MAX_LOCAL_ERROR_WAIT, LOCAL_ERROR_DELAY)
            }
            _ => return Err(error),
        };
        if start.elapsed() >= max_wait {
            return Err(error);
        }
        if logged_code.replace(code) != Some(code) {
            log::warn!("cannot listen on {listen} yet, retrying, code={code} {error}");
        }
        sleep(retry_delay).await;
    }
}

/// Adds the configuration key whose value caused the error.
fn with_key(key: &str, error: io::Error) -> io::Error {
    io::Error::new(error.kind(), format!("{key}: {error}"))
}
