//! How much input of clients is processed before everything else has its turn.

use std::time::Duration;

use sailcart::input_share::{InputShare, commands_at_once};
use sailcart::memory_budget::chunks_for_input;

/// Guards against one connection, or many, taking all of the time of a process.
#[test]
fn the_more_connections_wait_the_fewer_commands_each_may_process() {
    let at_once = [0, 1, 8, 64, 512, 10_000].map(commands_at_once);
    assert!(at_once.is_sorted_by(|more, fewer| more >= fewer), "{at_once:?}");
    assert!(at_once.iter().all(|commands| (1..=64).contains(commands)), "{at_once:?}");
    let cycle = commands_at_once(300) * 300;
    assert!(cycle <= 512, "{cycle} commands until each of 300 connections had its turn");
}

#[test]
fn a_turn_ends_by_the_number_of_commands_or_by_their_time() {
    let mut cheap = InputShare::default();
    let turns = (0..).take_while(|_| {
        cheap.record(64, Duration::from_micros(1));
        !cheap.is_used_up()
    });
    assert_eq!(turns.count(), 7);
    let mut expensive = InputShare::default();
    expensive.record(1, Duration::from_millis(3));
    assert!(expensive.is_used_up());
}

/// Guards against clients that send at full speed leaving no memory for the command of another.
#[test]
fn the_first_chunk_of_each_connection_is_reserved() {
    let total = 1000;
    assert_eq!(chunks_for_input(total, total, 0, false), total);
    assert_eq!(chunks_for_input(300, total, 300, true), 0, "the rest is for those without input");
    assert_eq!(chunks_for_input(300, total, 300, false), 1);
    assert_eq!(chunks_for_input(1, total, 5000, false), 1);
    assert_eq!(chunks_for_input(0, total, 5000, false), 0);
    assert_eq!(chunks_for_input(700, total, 5000, true), 200, "at most half is reserved");
}
