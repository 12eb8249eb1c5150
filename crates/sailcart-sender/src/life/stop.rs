//! Stop: no new packets are accepted, outstanding work is finished as far as time allows, and the process
//! exits before it is killed. Whatever is unfinished by then is in the journal, and the log reports how
//! much it was.

use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::clients::Clients;
use crate::exchange::Exchange;

/// How long after the signal clients may still open connections. After that they connect elsewhere, but
/// continue to use the connections they have for as long as these stay open.
const LATE_CONNECTION_TIME: Duration = Duration::from_millis(400);
/// How long a stop may take: the process is killed 3.7 s after the signal at the earliest.
const MAX_STOP_TIME: Duration = Duration::from_millis(3200);
/// The part of [`MAX_STOP_TIME`] reserved for connections that wait in the listener's accept queue.
const ACCEPT_QUEUE_RESERVE: Duration = Duration::from_millis(400);
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// How much work is unfinished.
#[derive(PartialEq, Default)]
struct Outstanding {
    /// In flight.
    packets: usize,
    connections: usize,
    notices: usize,
    /// Groups of journal changes that could not be written to the state folder.
    unwritten: usize,
}

impl Outstanding {
    fn now(exchange: &Exchange, clients: &Clients) -> Self {
        Outstanding {
            packets: exchange.packets_in_flight(),
            connections: clients.open_connections(),
            notices: exchange.due_notices(),
            unwritten: exchange.unwritten_groups(),
        }
    }
}

/// Stops the exchange and the clients' connections, and returns when the process may exit. `accepting` is
/// the task that accepts connections.
pub async fn stop(exchange: &Exchange, clients: &Rc<Clients>, accepting: JoinHandle<TcpListener>) {
    let start = Instant::now();
    exchange.stop_accepting_packets();
    sleep(LATE_CONNECTION_TIME).await;
    clients.close_when_idle();
    while Outstanding::now(exchange, clients) != Outstanding::default()
        && start.elapsed() < MAX_STOP_TIME - ACCEPT_QUEUE_RESERVE
    {
        sleep(POLL_INTERVAL).await;
    }
    exchange.reply_unsynced();
    clients.stop_accepting();
    if let Err(error) = drain_accept_queue(clients, accepting, start).await {
        log::warn!("clients: code=not_accepted {error}");
    }
    exchange.log_doubtful_responses();
    let Outstanding { packets, connections, notices, unwritten } = Outstanding::now(exchange, clients);
    log::info!(
        "{packets} packets still out, {connections} connections still open, {notices} notices still owed, {unwritten} changes unwritten, {} violations",
        exchange.violations()
    );
}

/// Serves and closes the connections in the accept queue like the others until there are none left or time
/// is up, then closes the listener.
async fn drain_accept_queue(
    clients: &Rc<Clients>,
    accepting: JoinHandle<TcpListener>,
    start: Instant,
) -> io::Result<()> {
    let Ok(listener) = accepting.await else { return Ok(()) };
    let listener = listener.into_std()?;
    while start.elapsed() < MAX_STOP_TIME {
        if clients.accept_queued(&listener) && clients.open_connections() == 0 {
            break;
        }
        sleep(POLL_INTERVAL).await;
    }
    Ok(())
}
