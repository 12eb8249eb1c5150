//! Stop: nothing new is taken, what is owed is paid as far as time allows, and the process ends before it is killed. What is not
//! over by then stands in the journal, and the log says what it was.

use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::clients::Clients;
use crate::exchange::Exchange;

/// New connections still come for this long after the signal; then clients go elsewhere, but use the ones they
/// have for as long as these stay open.
const LATE_COMERS: Duration = Duration::from_millis(400);
/// The kill comes 3.7 s after the signal at the soonest.
const LONGEST: Duration = Duration::from_millis(3200);
/// What those that waited in the listener's queue are left, out of that.
const LAST: Duration = Duration::from_millis(400);
const LOOK: Duration = Duration::from_millis(5);

/// What is still owed at a stop.
#[derive(PartialEq, Default)]
struct StillOwed {
    calls: usize,
    connections: usize,
    notices: usize,
    /// Changes that the state folder has not taken.
    unwritten: usize,
}

impl StillOwed {
    fn now(exchange: &Exchange, clients: &Clients) -> Self {
        StillOwed {
            calls: exchange.calls_out(),
            connections: clients.open(),
            notices: exchange.owed(|owed| owed.count()),
            unwritten: exchange.behind(),
        }
    }
}

pub async fn stop(exchange: &Exchange, clients: &Rc<Clients>, accepting: JoinHandle<TcpListener>) {
    let start = Instant::now();
    exchange.stop();
    sleep(LATE_COMERS).await;
    clients.hang_up();
    while StillOwed::now(exchange, clients) != StillOwed::default() && start.elapsed() < LONGEST - LAST {
        sleep(LOOK).await;
    }
    exchange.answer_unsynced();
    clients.stop_accepting();
    if let Err(fault) = empty(clients, accepting, start).await {
        log::warn!("clients: code=not_accepted {fault}");
    }
    let StillOwed { calls, connections, notices, unwritten } = StillOwed::now(exchange, clients);
    log::info!(
        "{calls} packets still out, {connections} connections still open, {notices} notices still owed, {unwritten} changes unwritten, {} violations",
        exchange.violations()
    );
}

/// Who waits in the queue is heard and ended like the others, until nobody does: then the listener goes.
async fn empty(clients: &Rc<Clients>, accepting: JoinHandle<TcpListener>, start: Instant) -> io::Result<()> {
    let Ok(listener) = accepting.await else { return Ok(()) };
    let listener = listener.into_std()?;
    while start.elapsed() < LONGEST {
        if clients.empty_queue(&listener) && clients.open() == 0 {
            break;
        }
        sleep(LOOK).await;
    }
    Ok(())
}
