//! The cases, one module each.

mod batch_size;
mod burst;
mod restart_ask;
mod restart_list;
mod stall_drain;
mod wait_forgotten;

use std::path::Path;

use stand2::world::{World, COULD_NOT_RUN};

pub fn run(case: &str, root: &Path, folder: &Path) -> ! {
    let world = World::new(root, folder);
    match case {
        "burst" => burst::run(world),
        "batch-size" => batch_size::run(world),
        "restart-ask" => restart_ask::run(world),
        "restart-list" => restart_list::run(world),
        "stall-drain" => stall_drain::run(world),
        "wait-forgotten" => wait_forgotten::run(world),
        _ => world.end(COULD_NOT_RUN, "there is no such case"),
    }
}
