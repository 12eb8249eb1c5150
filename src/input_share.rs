//! Decides how much of the clients' input is processed before everything else has its turn again: deadlines, notices,
//! replies, lists and calls go before new input. Also decides when input is read before anything is sent.
//!
//! The process works in turns. In each, whatever else is due runs once, and then input up to the share of a turn.
//! Connections with input take part in the order in which they came, each with its part of that share.

use std::time::Duration;

/// Commands of all connections that one turn processes.
const COMMANDS_PER_TURN: usize = 512;
/// Commands of one connection that are processed at once.
const MAX_COMMANDS_AT_ONCE: usize = 64;
/// Time for commands in one turn: less than it takes to process that many on a slow machine.
const TIME_PER_TURN: Duration = Duration::from_millis(2);

/// How long ago input may have been read when a call's first byte is sent.
const MAX_INPUT_AGE: Duration = Duration::from_millis(5);

/// Whether input is read before a call's first byte is sent, if it was read so long ago: the process may have stood
/// still since, and a drain or a wait may have been told.
pub fn must_read_input(age: Duration) -> bool {
    age >= MAX_INPUT_AGE
}

/// Number of commands of one connection that are processed at once, if so many connections have input that waits.
pub fn commands_at_once(waiting_connections: usize) -> usize {
    (COMMANDS_PER_TURN / waiting_connections.max(1)).clamp(1, MAX_COMMANDS_AT_ONCE)
}

/// The input that the present turn has processed.
#[derive(Clone, Copy, Debug, Default)]
pub struct InputShare {
    commands: usize,
    time: Duration,
}

impl InputShare {
    /// Records commands that were processed, and the time that they took.
    pub fn record(&mut self, commands: usize, time: Duration) {
        self.commands += commands;
        self.time += time;
    }

    /// Whether no more input is processed in this turn.
    pub fn is_used_up(&self) -> bool {
        self.commands >= COMMANDS_PER_TURN || self.time >= TIME_PER_TURN
    }
}
