//! The state of a client's connection.

use std::cell::{Cell, RefCell};
use std::time::{Duration, Instant};

use sailcart::memory_budget::IncompleteCommand;
use tokio::sync::Notify;
use tokio::task::yield_now;

use crate::client_input::PendingInput;

/// State of an open connection that the tasks of other connections use.
pub(super) struct Connection {
    /// Something was received on it.
    pub(super) has_received: Cell<bool>,
    /// When it became idle; `None` while a command is being received or waits for its reply, and once it is
    /// closing.
    pub(super) idle_since: Cell<Option<Instant>>,
    /// Number of commands rejected because they name something unknown.
    pub(super) rejected_commands: Cell<u64>,
    /// When the first byte of the command that is being received arrived.
    pub(super) command_started_at: Cell<Option<Instant>>,
    pub(super) opened_at: Instant,
    /// Signalled to close the connection as soon as it is idle.
    pub(super) close_requested: Notify,
    pub(super) input: RefCell<PendingInput>,
    /// Signalled when the input was discarded.
    pub(super) input_discarded: Notify,
    /// Something may have arrived that waits for its turn to be read.
    pub(super) has_unread_input: Cell<bool>,
    /// Signalled when it was read, or nothing had arrived.
    pub(super) unread_input_checked: Notify,
}

impl Connection {
    /// A connection that was just opened.
    pub(super) fn new() -> Self {
        Connection {
            has_received: Cell::new(false),
            idle_since: Cell::new(Some(Instant::now())),
            rejected_commands: Cell::new(0),
            command_started_at: Cell::new(None),
            opened_at: Instant::now(),
            close_requested: Notify::new(),
            input: RefCell::default(),
            input_discarded: Notify::new(),
            has_unread_input: Cell::new(false),
            unread_input_checked: Notify::new(),
        }
    }

    /// The command of which a part has been received.
    pub(super) fn incomplete_command(&self) -> IncompleteCommand<&Self> {
        let silent_for =
            if self.has_unread_input.get() { Duration::ZERO } else { self.input.borrow().silent_for() };
        let received_for = self.command_started_at.get().map_or(Duration::ZERO, |start| start.elapsed());
        IncompleteCommand { id: self, silent_for, received_for }
    }

    /// Waits until whatever has arrived was read.
    pub(super) async fn nothing_unread(&self) {
        yield_now().await; // what has arrived by now is noticed first
        while self.has_unread_input.get() {
            self.unread_input_checked.notified().await;
        }
    }
}
