//! The division of the memory limit.

use std::time::Duration;

use sailcart::memory_budget::{IncompleteCommand, MemoryBudget, ProcessLimits, input_to_discard};

const MB: u64 = 1_000_000;

// Guards against shares that together exceed the memory for which a process is killed.
#[test]
fn the_shares_add_up_within_every_limit_that_a_deployment_may_have() {
    for memory_mb in 32..=192 {
        for descriptors in [256, 512, 768, 1024] {
            for (slots, disk_mb) in [(2, 1), (8, 3), (20, 3)] {
                let limits = ProcessLimits {
                    memory_bytes: memory_mb * MB,
                    disk_bytes: disk_mb * MB,
                    descriptors,
                    slots,
                };
                let budget = MemoryBudget::new(limits);
                assert!(budget.total() <= limits.memory_bytes, "{limits:?} {budget:?}");
                assert!(budget.shares().iter().all(|(_, bytes)| *bytes > 0), "{limits:?} {budget:?}");
            }
        }
    }
}

/// Chooses among commands with these numbers, milliseconds of silence, and milliseconds since their first bytes.
fn chosen(commands: &[(u8, u64, u64)]) -> Option<u8> {
    let commands = commands.iter().map(|&(id, silent_ms, received_ms)| IncompleteCommand {
        id,
        silent_for: Duration::from_millis(silent_ms),
        received_for: Duration::from_millis(received_ms),
    });
    input_to_discard(commands)
}

#[test]
fn the_input_of_the_client_that_was_silent_for_longest_is_discarded() {
    assert_eq!(chosen(&[(1, 120, 1_900), (2, 900, 1_000), (3, 0, 1_950)]), Some(2));
    assert_eq!(chosen(&[]), None);
}

// Guards against the command of a client that sends without pauses being discarded because the sender reads it late.
#[test]
fn of_clients_that_have_hardly_paused_the_one_that_began_first_loses_its_input() {
    assert_eq!(chosen(&[(1, 0, 1_500), (2, 30, 40), (3, 8, 900)]), Some(1));
    assert_eq!(chosen(&[(1, 99, 100), (2, 0, 0), (3, 100, 101)]), Some(3));
}
