//! Start: the journal is read and taken over, then clients are let in.

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
use crate::config::{Mandate, Source};
use crate::endpoints::Endpoints;
use crate::exchange::Exchange;
use crate::life::reload::{Follows, Read, reload};
use crate::life::{recovery, stop};
use crate::machine;
use crate::memory::ledger::Ledger;
use crate::memory::pool::Pool;
use crate::platform;
use crate::rhythm::Rhythm;

/// How long a port that is in use is waited for.
const LONGEST_BIND: Duration = Duration::from_secs(4);

/// How long a start waits for a socket that this machine does not have, and the pause between two tries.
const LONGEST_OWN_FAULT: Duration = Duration::from_secs(25);
const OWN_FAULT_PAUSE: Duration = Duration::from_millis(25);

/// Runs a sender on this thread until it is told to end.
pub fn serve(mandate: Mandate, read: Read) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let ended = LocalSet::new().block_on(&runtime, run(mandate, read));
    runtime.shutdown_background(); // a configuration that is being read holds no stop up
    ended
}

async fn run(mandate: Mandate, read: Read) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let hang_up = signal(SignalKind::hangup())?; // from here on it no longer ends the process
    let ledger =
        Ledger::open(&mandate.state, mandate.bounds.journal, mandate.bounds.ended, mandate.bounds.sync);
    let ledger = ledger.map_err(|e| name("state", e))?;
    let (terms, known, bounds) = (mandate.terms, mandate.known, mandate.bounds);
    // Before the peer, by more than a call takes to get there: one that crosses its close is lost.
    let pool = Pool::new(mandate.carriage.idle_close * 7 / 8, bounds.idle);
    let endpoints = Rc::new(Endpoints::new(pool, terms.connect_time_out));
    let asked = terms.list_asked;
    let exchange = Rc::new(Exchange::new(terms, mandate.seed, mandate.names, ledger));
    recovery::recover(&exchange, &known);
    let follows = match mandate.source {
        Source::Platform(discovery) => {
            let (moves, place) = watch::channel(discovery);
            let (heard, first) = oneshot::channel();
            let (version, rhythm) = (known.summary().version, Rhythm::new(asked, mandate.seed));
            drop(known); // it may be large
            let follower =
                platform::Follower::new(place.clone(), version, rhythm, bounds.listed, exchange.clone());
            spawn_local(follower.follow(heard));
            spawn_local(platform::notify(place, exchange.clone()));
            if asked.is_none() {
                // What an agent has counts as told from the first moment on: the list of the life before may name endpoints
                // that drained since. A silent agent is waited for no longer than one call.
                let _ = first.await;
            }
            Follows::Discovery(moves)
        }
        Source::Static => {
            exchange.take_over_as_told(known.summary().whole, known.entries());
            drop(known);
            spawn_local(platform::note(exchange.clone()));
            Follows::Listed(exchange.clone())
        }
    };
    spawn_local(reload(hang_up, mandate.file, read, follows));
    spawn_local(endpoints.clone().sweep());
    spawn_local(exchange.clone().rounds(mandate.carriage.round, endpoints.clone()));
    let listener = bind(mandate.listen).await.map_err(|e| name("listen", e))?;
    log::info!("{} listens on {}", mandate.name, mandate.listen);
    let clients = Clients::new(exchange.clone(), bounds.clients);
    let accepting = spawn_local(clients.clone().accept(listener));
    tokio::select! {
        _ = terminate.recv() => log::info!("{} stops, code=sigterm", mandate.name),
        _ = interrupt.recv() => log::info!("{} stops, code=sigint", mandate.name),
    }
    stop::stop(&exchange, &clients, accepting).await;
    endpoints.close_all("stopping");
    log::info!("{} ends", mandate.name);
    Ok(())
}

/// The life before may not have let go of its port yet, and the machine may be out of sockets for a moment. Nine in ten have ten
/// seconds to be ready.
async fn bind(listen: SocketAddr) -> io::Result<TcpListener> {
    let start = Instant::now();
    let mut told = None;
    loop {
        let fault = match TcpListener::bind(listen).await {
            Ok(listener) => return Ok(listener),
            Err(fault) => fault,
        };
        let (code, longest, pause) = match fault.kind() {
            io::ErrorKind::AddrInUse => ("in_use", LONGEST_BIND, LONGEST_BIND / 16),
            // An address that is not this machine's will not become so.
            io::ErrorKind::AddrNotAvailable => return Err(fault),
            _ if machine::is_own_fault(&fault) => ("own_fault", LONGEST_OWN_FAULT, OWN_FAULT_PAUSE),
            _ => return Err(fault),
        };
        if start.elapsed() >= longest {
            return Err(fault);
        }
        if told.replace(code) != Some(code) {
            log::warn!("{listen} is waited for, code={code} {fault}");
        }
        sleep(pause).await;
    }
}

/// Names the key whose value could not be used.
fn name(key: &str, fault: io::Error) -> io::Error {
    io::Error::new(fault.kind(), format!("{key}: {fault}"))
}
