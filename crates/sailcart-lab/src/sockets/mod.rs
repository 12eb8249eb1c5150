//! The sender itself on loopback, in real time: the lab starts, kills and restarts `sailcart serve`, and plays
//! receivers, discovery, the receiver of notices and clients after the published protocol.

mod clients;
mod discovery;
mod http;
mod process;
mod protocol;
mod receiver;
mod shared;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, sleep_until};

use crate::events::Log;
use crate::experiment::{Fault, Mode, TroubleKind};
use crate::plan::{Plan, SenderId};
use crate::policies::PolicyName;
use crate::results::Outcome;
use process::SenderProcesses;
pub use process::keep;
use shared::SharedState;

/// How long all senders may take to answer their first `PING`.
const READY: Duration = Duration::from_secs(10);
/// How long a sender may take to end once it is told.
const STOPPING: Duration = Duration::from_secs(4);
/// From a sender's end to its next start.
const RESTART: Duration = Duration::from_millis(600);
const LOOK: Duration = Duration::from_millis(100);

fn fault(what: &str) -> impl Fn(std::io::Error) -> Fault + '_ {
    move |e| Fault(format!("{what}: {e}"))
}

/// Plays an experiment with sender processes. `program` is the sender's; the one beside this program without it.
pub fn run(
    plan: &Plan,
    log: Log,
    program: Option<&Path>,
    progress: &mut dyn FnMut(Duration),
) -> Result<Outcome, Fault> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(fault("runtime"))?;
    let program = process::find(program)?;
    LocalSet::new().block_on(&runtime, play(plan.clone(), log, program, progress))
}

async fn play(
    plan: Plan,
    log: Log,
    program: PathBuf,
    progress: &mut dyn FnMut(Duration),
) -> Result<Outcome, Fault> {
    let shared = SharedState::new(plan, log);
    let plan = shared.plan.clone();
    let addresses = receiver::open(&shared).await.map_err(fault("receivers"))?;
    let discovery = discovery::open(&shared, &addresses).await.map_err(fault("discovery"))?;
    let processes = SenderProcesses::new(&shared, program, &discovery, &addresses).await?;
    for sender in 0..plan.experiment.senders.count {
        processes.start(SenderId(sender)).await?;
    }
    for sender in 0..plan.experiment.senders.count {
        processes.ready(SenderId(sender), READY).await?;
    }
    shared.begin();
    receiver::troubles(&shared);
    spawn_local(processes.clone().watch());
    let clients = clients::Clients::new(&shared, &processes);
    spawn_local(clients.clone().hand_all_in());
    lives(&shared, &processes);
    if let Some(struck) = plan.struck.iter().find(|s| s.trouble.kind == TroubleKind::BadClients) {
        spawn_local(clients::rude(shared.clone(), processes.clone(), struck.clone()));
    }
    let (span, end) = (plan.experiment.span, plan.end());
    let mut sampled = Duration::ZERO;
    while shared.now() < end && !(shared.now() > span && shared.settled()) {
        sleep(LOOK).await;
        progress(shared.now());
        if shared.now() >= sampled {
            sampled += Duration::from_secs(1);
            shared.tally.borrow_mut().sample(shared.now());
            processes.sample();
        }
    }
    let cost = processes.end().await;
    Ok(shared.finish(Mode::Sockets, PolicyName::Sailcart, cost))
}

/// Kills, restarts in waves and reloads, each at its time.
fn lives(shared: &Rc<SharedState>, processes: &Rc<SenderProcesses>) {
    for struck in shared.plan.struck.iter().filter(|struck| struck.trouble.kind == TroubleKind::Kill) {
        for (at, sender, down) in struck.deaths(RESTART) {
            let (processes, due) = (processes.clone(), shared.instant(at));
            spawn_local(async move {
                sleep_until(due).await;
                processes.restart(sender, None, down).await;
            });
        }
    }
    for struck in &shared.plan.struck {
        let wave = match struck.trouble.kind {
            TroubleKind::Roll => struck.trouble.count.unwrap_or(1).max(1),
            TroubleKind::Reload => struck.senders.len().max(1),
            _ => continue,
        };
        let waves = struck.senders.len().div_ceil(wave) as u32;
        for (at, senders) in struck.senders.chunks(wave).enumerate() {
            let begins = match struck.trouble.kind {
                TroubleKind::Roll => struck.from + (struck.until - struck.from) * at as u32 / waves,
                _ => struck.from,
            };
            for sender in senders.iter().copied() {
                let (processes, due) = (processes.clone(), shared.instant(begins));
                let kind = struck.trouble.kind;
                spawn_local(async move {
                    sleep_until(due).await;
                    match kind {
                        TroubleKind::Reload => processes.reload(sender),
                        _ => processes.restart(sender, Some(STOPPING), RESTART).await,
                    }
                });
            }
        }
    }
}

/// The receivers alone, with discovery for one sender at a fixed address, until this process ends: for trying a
/// sender by hand. Prints what is needed to start one, and what comes.
pub fn receivers(plan: &Plan, discovery: SocketAddr, sender: SocketAddr, folder: &Path) -> Result<(), Fault> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(fault("runtime"))?;
    let alone = async {
        let shared = SharedState::alone(plan.clone());
        let addresses = receiver::open(&shared).await.map_err(fault("receivers"))?;
        let own = discovery::open_at(&shared, &addresses, discovery).await.map_err(fault("discovery"))?;
        let state = folder.join("state");
        std::fs::create_dir_all(&state).map_err(fault("folder"))?;
        let config = protocol::config(&shared.plan, SenderId(0), sender, own, &state, &addresses);
        let file = folder.join("config.json");
        std::fs::write(&file, config.to_string()).map_err(fault("folder"))?;
        shared.begin();
        receiver::troubles(&shared);
        println!("{} endpoints, discovery and notices at {own}", shared.plan.places.len());
        println!("start a sender: sailcart serve --config {}", file.display());
        let mut told = String::new();
        loop {
            sleep(Duration::from_secs(1)).await;
            let words = shared.standing();
            if words != told {
                println!("{words}");
                told = words;
            }
        }
    };
    LocalSet::new().block_on(&runtime, alone)
}

/// The load alone, at a sender that runs already.
pub fn load(plan: &Plan, to: SocketAddr, progress: &mut dyn FnMut(Duration)) -> Result<Outcome, Fault> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(fault("runtime"))?;
    let play = async {
        let shared = SharedState::alone(plan.clone());
        let processes = SenderProcesses::elsewhere(&shared, to);
        processes.ready(SenderId(0), READY).await?;
        shared.begin();
        let clients = clients::Clients::new(&shared, &processes);
        spawn_local(clients.clone().hand_all_in());
        let end = shared.instant(shared.plan.experiment.span + Duration::from_secs(1));
        while Instant::now() < end {
            sleep(LOOK).await;
            progress(shared.now());
        }
        Ok(shared.finish(Mode::Sockets, PolicyName::Sailcart, Vec::new()))
    };
    LocalSet::new().block_on(&runtime, play)
}
