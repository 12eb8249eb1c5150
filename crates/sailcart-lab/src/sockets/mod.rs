//! The sender itself on loopback, in real time: the lab starts, kills and restarts `sailcart serve`, and plays
//! receivers, discovery, the receiver of notices and clients after the published protocol.

mod clients;
mod discovery;
mod endpoints;
mod http;
mod machine_troubles;
mod process;
mod protocol;
mod shared;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, sleep_until};

use crate::events::Log;
use crate::experiment::{Fault, Mode, TroubleKind};
use crate::plan::{Plan, SenderId, chance};
use crate::policies::PolicyName;
use crate::results::Outcome;
use crate::soak::machine::{MachineTrouble, needs_links};
use crate::soak::proxy::Proxy;
use machine_troubles::{Links, Rig};
pub use process::keep;
use process::{Ground, SenderProcesses};
use shared::SharedState;

/// How long all senders may take to answer their first `PING`.
const READY: Duration = Duration::from_secs(10);
/// How long a sender may take to end once it is told.
const STOPPING: Duration = Duration::from_secs(4);
/// From a sender's end to its next start.
const RESTART: Duration = Duration::from_millis(600);
const LOOK: Duration = Duration::from_millis(100);
/// Streams of chance of the links, one for each.
const CLIENT_LINKS: u64 = 1000;
const PLATFORM_LINKS: u64 = 2000;
const ENDPOINT_LINKS: u64 = 3000;

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
    LocalSet::new().block_on(&runtime, play(plan.clone(), log, program, Strain::default(), progress))
}

/// What a soak adds: files that are kept, and troubles of machines and links.
#[derive(Clone, Copy, Default)]
struct Strain<'a> {
    ground: Ground<'a>,
    machine: &'a [MachineTrouble],
}

/// Plays a run of a soak, with its files in this folder.
pub fn soak(
    plan: &Plan,
    log: Log,
    program: Option<&Path>,
    folder: &Path,
    machine: &[MachineTrouble],
) -> Result<Outcome, Fault> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(fault("runtime"))?;
    let program = process::find(program)?;
    let strain = Strain { ground: Ground { folder: Some(folder), faults: true }, machine };
    LocalSet::new().block_on(&runtime, play(plan.clone(), log, program, strain, &mut |_| {}))
}

async fn play(
    plan: Plan,
    log: Log,
    program: PathBuf,
    strain: Strain<'_>,
    progress: &mut dyn FnMut(Duration),
) -> Result<Outcome, Fault> {
    let shared = SharedState::new(plan, log);
    let plan = shared.plan.clone();
    let addresses = endpoints::open(&shared).await.map_err(fault("receivers"))?;
    let proxied = needs_links(strain.machine);
    let endpoints = if proxied { endpoint_links(&shared, &addresses).await? } else { Vec::new() };
    // By sender, where each has links of its own; one for all else.
    let lists: Vec<Rc<[SocketAddr]>> = match endpoints.is_empty() {
        true => vec![addresses.clone()],
        false => endpoints.iter().map(|links| links.iter().map(|link| link.address).collect()).collect(),
    };
    let mut discovery = discovery::open(&shared, &lists).await.map_err(fault("discovery"))?;
    let platform = if proxied { platform_links(&shared, &mut discovery).await? } else { Vec::new() };
    let processes = SenderProcesses::new(&shared, program, &discovery, &lists, strain.ground).await?;
    let mut links = Vec::new();
    for (sender, (endpoints, platform)) in endpoints.into_iter().zip(platform).enumerate() {
        let sender = SenderId(sender);
        let rng = chance(plan.seed, CLIENT_LINKS + sender.0 as u64);
        let clients = Proxy::open(processes.listens(sender), false, rng).await.map_err(fault("proxy"))?;
        processes.put_front(sender, clients.address);
        links.push(Links { clients, platform, endpoints });
    }
    for sender in 0..plan.experiment.senders.count {
        processes.start(SenderId(sender)).await?;
    }
    for sender in 0..plan.experiment.senders.count {
        processes.ready(SenderId(sender), READY).await?;
    }
    shared.begin();
    endpoints::troubles(&shared);
    Rc::new(Rig { shared: shared.clone(), processes: processes.clone(), links }).strike(strain.machine);
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

/// For each sender a link to every address.
async fn endpoint_links(
    shared: &Rc<SharedState>,
    addresses: &[SocketAddr],
) -> Result<Vec<Vec<Rc<Proxy>>>, Fault> {
    let mut all = Vec::new();
    for sender in 0..shared.plan.experiment.senders.count as u64 {
        let mut links: Vec<Rc<Proxy>> = Vec::new();
        for (at, address) in addresses.iter().enumerate() {
            // Those of a replaced endpoint's address stand there already.
            let same = addresses[..at].iter().position(|other| other == address);
            let link = match same {
                Some(same) => links[same].clone(),
                None => {
                    let rng = chance(
                        shared.plan.seed,
                        ENDPOINT_LINKS + sender * addresses.len() as u64 + at as u64,
                    );
                    Proxy::open(*address, true, rng).await.map_err(fault("proxy"))?
                }
            };
            links.push(link);
        }
        all.push(links);
    }
    Ok(all)
}

/// For each sender a link to discovery, at which it is reached from then on.
async fn platform_links(
    shared: &Rc<SharedState>,
    discovery: &mut [SocketAddr],
) -> Result<Vec<Rc<Proxy>>, Fault> {
    let mut links = Vec::new();
    for (sender, address) in discovery.iter_mut().enumerate() {
        let rng = chance(shared.plan.seed, PLATFORM_LINKS + sender as u64);
        let link = Proxy::open(*address, false, rng).await.map_err(fault("proxy"))?;
        *address = link.address;
        links.push(link);
    }
    Ok(links)
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
        let addresses = endpoints::open(&shared).await.map_err(fault("receivers"))?;
        let own = discovery::open_at(&shared, &addresses, discovery).await.map_err(fault("discovery"))?;
        let state = folder.join("state");
        std::fs::create_dir_all(&state).map_err(fault("folder"))?;
        let config = protocol::config(&shared.plan, SenderId(0), sender, own, &state, &addresses);
        let file = folder.join("config.json");
        std::fs::write(&file, config.to_string()).map_err(fault("folder"))?;
        shared.begin();
        endpoints::troubles(&shared);
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
