//! Lets connections process their input in turns, one connection at a time, so that input never keeps the other tasks
//! of the process from running. How much a turn processes is decided in `sailcart::input_share`.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Instant;

use sailcart::input_share::{InputShare, commands_at_once};
use tokio::sync::{Semaphore, SemaphorePermit};
use tokio::task::yield_now;

use crate::exchange::Exchange;

/// The turns of all connections.
pub struct InputTurns {
    /// Held by the connection that processes input. Waiting connections get it in the order in which they came.
    processing: Semaphore,
    /// Number of connections that process input or wait for it.
    waiting: Cell<usize>,
    share: Cell<InputShare>,
    exchange: Rc<Exchange>,
}

impl InputTurns {
    /// Turns between the rounds of this exchange.
    pub fn new(exchange: Rc<Exchange>) -> Self {
        InputTurns {
            processing: Semaphore::new(1),
            waiting: Cell::new(0),
            share: Cell::new(InputShare::default()),
            exchange,
        }
    }

    /// Waits until a connection may process input. Cancel safe, but a connection that starts anew is the last again.
    pub async fn next(&self) -> InputTurn<'_> {
        let waiting = Waiting::new(&self.waiting);
        let permit = self.processing.acquire().await.ok();
        if self.share.get().is_used_up() {
            // The other tasks run first, and what has arrived meanwhile is noticed.
            yield_now().await;
            self.share.set(InputShare::default());
        }
        while self.exchange.round_begins() {
            yield_now().await;
        }
        InputTurn {
            turns: self,
            max_commands: commands_at_once(self.waiting.get()),
            _waiting: waiting,
            _permit: permit,
        }
    }
}

/// Counts a connection as waiting until it is dropped.
struct Waiting<'a>(&'a Cell<usize>);

impl<'a> Waiting<'a> {
    fn new(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        Waiting(count)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Permits one connection to process input.
pub struct InputTurn<'a> {
    turns: &'a InputTurns,
    max_commands: usize,
    _waiting: Waiting<'a>,
    _permit: Option<SemaphorePermit<'a>>,
}

impl InputTurn<'_> {
    /// Calls `process` with the number of commands that it may process; it returns their number and a result.
    pub fn process<T>(&mut self, process: impl FnOnce(usize) -> (usize, T)) -> T {
        let started_at = Instant::now();
        let (commands, result) = process(self.max_commands);
        let mut share = self.turns.share.get();
        share.record(commands, started_at.elapsed());
        self.turns.share.set(share);
        result
    }
}
