//! Runs experiments in real time with processes of the sender itself, on loopback. The lab starts, kills and
//! restarts `sailcart serve`, and acts as the receivers, the discovery service, the receiver of notices and
//! the clients, according to the published protocol.

mod clients;
mod discovery;
mod endpoints;
mod http;
mod machine_troubles;
mod process;
mod protocol;
mod shared_state;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, sleep_until};

use crate::events::EventLog;
use crate::experiment::{LabError, Mode, TroubleKind};
use crate::plan::{Plan, SenderId, seeded_rng};
use crate::policies::PolicyName;
use crate::results::Outcome;
use crate::soak::machine::{MachineTrouble, needs_links};
use crate::soak::proxy::Proxy;
use machine_troubles::{Links, TroubleTargets};
pub use process::exec_sender;
use process::{ProcessOptions, SenderProcesses};
use shared_state::SharedState;

/// Maximum time for a sender to answer its first `PING` at the start of a run.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum time for a sender to exit after `SIGTERM`.
const STOP_TIMEOUT: Duration = Duration::from_secs(4);
/// Time from the exit of a sender to its next start.
const RESTART_DELAY: Duration = Duration::from_millis(600);
/// Interval at which a run checks whether it is finished.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// First of the streams of random numbers for the links between clients and senders; each link uses a stream
/// of its own.
const FIRST_CLIENT_LINK_STREAM: u64 = 1000;
/// First of the streams for the links between senders and the platform.
const FIRST_PLATFORM_LINK_STREAM: u64 = 2000;
/// First of the streams for the links between senders and endpoints.
const FIRST_ENDPOINT_LINK_STREAM: u64 = 3000;

/// Converts an I/O error; `what` names what failed.
fn error_context(what: &str) -> impl Fn(std::io::Error) -> LabError + '_ {
    move |error| LabError(format!("{what}: {error}"))
}

/// Runs an experiment with sender processes. `program` is the sender's; if `None`, the one in the folder of
/// this program.
///
/// # Errors
/// If the sender's program is not found, a socket or file cannot be opened, or a sender does not start.
pub fn run(
    plan: &Plan,
    log: EventLog,
    program: Option<&Path>,
    progress: &mut dyn FnMut(Duration),
) -> Result<Outcome, LabError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(error_context("runtime"))?;
    let program = process::find_program(program)?;
    LocalSet::new().block_on(&runtime, run_plan(plan.clone(), log, program, SoakOptions::default(), progress))
}

/// What a soak adds to a run: options of the processes, and troubles of machines and links.
#[derive(Clone, Copy, Default)]
struct SoakOptions<'a> {
    process_options: ProcessOptions<'a>,
    machine_troubles: &'a [MachineTrouble],
}

/// Runs one experiment of a soak. Its files stay in `folder`; the senders run under the fault-injecting shim.
///
/// # Errors
/// As [`run`].
pub fn run_soak_experiment(
    plan: &Plan,
    log: EventLog,
    program: Option<&Path>,
    folder: &Path,
    machine_troubles: &[MachineTrouble],
) -> Result<Outcome, LabError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(error_context("runtime"))?;
    let program = process::find_program(program)?;
    let soak_options = SoakOptions {
        process_options: ProcessOptions { folder: Some(folder), inject_faults: true },
        machine_troubles,
    };
    LocalSet::new().block_on(&runtime, run_plan(plan.clone(), log, program, soak_options, &mut |_| {}))
}

async fn run_plan(
    plan: Plan,
    log: EventLog,
    program: PathBuf,
    soak_options: SoakOptions<'_>,
    progress: &mut dyn FnMut(Duration),
) -> Result<Outcome, LabError> {
    let shared = SharedState::new(plan, log);
    let plan = shared.plan.clone();
    let addresses = endpoints::open_all(&shared).await.map_err(error_context("receivers"))?;
    let needs_proxies = needs_links(soak_options.machine_troubles);
    let endpoint_proxies =
        if needs_proxies { open_endpoint_proxies(&shared, &addresses).await? } else { Vec::new() };
    // One list of endpoint addresses per sender if each has proxies of its own, otherwise one list for all.
    let endpoint_addresses: Vec<Rc<[SocketAddr]>> = match endpoint_proxies.is_empty() {
        true => vec![addresses.clone()],
        false => endpoint_proxies
            .iter()
            .map(|proxies| proxies.iter().map(|proxy| proxy.address).collect())
            .collect(),
    };
    let mut discovery =
        discovery::start_all(&shared, &endpoint_addresses).await.map_err(error_context("discovery"))?;
    let platform_proxies =
        if needs_proxies { open_platform_proxies(&shared, &mut discovery).await? } else { Vec::new() };
    let processes =
        SenderProcesses::new(&shared, program, &discovery, &endpoint_addresses, soak_options.process_options)
            .await?;
    let mut links = Vec::new();
    for (sender, (endpoint_proxies, platform_proxy)) in
        endpoint_proxies.into_iter().zip(platform_proxies).enumerate()
    {
        let sender = SenderId(sender);
        let rng = seeded_rng(plan.seed, FIRST_CLIENT_LINK_STREAM + sender.0 as u64);
        let client_proxy = Proxy::open(processes.listen_address(sender), false, rng)
            .await
            .map_err(error_context("proxy"))?;
        processes.set_proxy_address(sender, client_proxy.address);
        links.push(Links { client_proxy, platform_proxy, endpoint_proxies });
    }
    for sender in 0..plan.experiment.senders.count {
        processes.start(SenderId(sender)).await?;
    }
    for sender in 0..plan.experiment.senders.count {
        processes.wait_until_ready(SenderId(sender), READY_TIMEOUT).await?;
    }
    shared.start_clock();
    endpoints::report_outages(&shared);
    Rc::new(TroubleTargets { shared: shared.clone(), processes: processes.clone(), links })
        .schedule(soak_options.machine_troubles);
    spawn_local(processes.clone().restart_crashed_senders());
    let clients = clients::Clients::new(&shared, &processes);
    spawn_local(clients.clone().submit_all());
    schedule_restarts(&shared, &processes);
    if let Some(scheduled) =
        plan.scheduled_troubles.iter().find(|s| s.trouble.kind == TroubleKind::BadClients)
    {
        spawn_local(clients::send_malformed_input(shared.clone(), processes.clone(), scheduled.clone()));
    }
    let (span, end) = (plan.experiment.span, plan.end());
    let mut next_sample = Duration::ZERO;
    while shared.now() < end && !(shared.now() > span && shared.is_settled()) {
        sleep(POLL_INTERVAL).await;
        progress(shared.now());
        if shared.now() >= next_sample {
            next_sample += Duration::from_secs(1);
            shared.tally.borrow_mut().sample(shared.now());
            processes.sample();
        }
    }
    let cost = processes.stop_all().await;
    Ok(shared.finish(Mode::Sockets, PolicyName::Sailcart, cost))
}

/// Opens a proxy to every endpoint address, for each sender.
async fn open_endpoint_proxies(
    shared: &Rc<SharedState>,
    addresses: &[SocketAddr],
) -> Result<Vec<Vec<Rc<Proxy>>>, LabError> {
    let mut proxies_by_sender = Vec::new();
    for sender in 0..shared.plan.experiment.senders.count as u64 {
        let mut proxies: Vec<Rc<Proxy>> = Vec::new();
        for (index, address) in addresses.iter().enumerate() {
            // An endpoint that replaces another at the same address uses the proxy that exists.
            let existing = addresses[..index].iter().position(|other| other == address);
            let proxy = match existing {
                Some(existing) => proxies[existing].clone(),
                None => {
                    let rng = seeded_rng(
                        shared.plan.seed,
                        FIRST_ENDPOINT_LINK_STREAM + sender * addresses.len() as u64 + index as u64,
                    );
                    Proxy::open(*address, true, rng).await.map_err(error_context("proxy"))?
                }
            };
            proxies.push(proxy);
        }
        proxies_by_sender.push(proxies);
    }
    Ok(proxies_by_sender)
}

/// Opens a proxy to discovery for each sender and replaces the address of discovery by that of the proxy.
async fn open_platform_proxies(
    shared: &Rc<SharedState>,
    discovery: &mut [SocketAddr],
) -> Result<Vec<Rc<Proxy>>, LabError> {
    let mut proxies = Vec::new();
    for (sender, address) in discovery.iter_mut().enumerate() {
        let rng = seeded_rng(shared.plan.seed, FIRST_PLATFORM_LINK_STREAM + sender as u64);
        let proxy = Proxy::open(*address, false, rng).await.map_err(error_context("proxy"))?;
        *address = proxy.address;
        proxies.push(proxy);
    }
    Ok(proxies)
}

/// Schedules the kills, the restarts in waves and the reloads of the plan.
fn schedule_restarts(shared: &Rc<SharedState>, processes: &Rc<SenderProcesses>) {
    for scheduled in
        shared.plan.scheduled_troubles.iter().filter(|scheduled| scheduled.trouble.kind == TroubleKind::Kill)
    {
        for (at, sender, downtime) in scheduled.sender_kills(RESTART_DELAY) {
            let (processes, start_at) = (processes.clone(), shared.instant(at));
            spawn_local(async move {
                sleep_until(start_at).await;
                processes.restart(sender, None, downtime).await;
            });
        }
    }
    for scheduled in &shared.plan.scheduled_troubles {
        let wave_size = match scheduled.trouble.kind {
            TroubleKind::Roll => scheduled.trouble.count.unwrap_or(1).max(1),
            TroubleKind::Reload => scheduled.senders.len().max(1),
            _ => continue,
        };
        let waves = scheduled.senders.len().div_ceil(wave_size) as u32;
        for (wave, senders) in scheduled.senders.chunks(wave_size).enumerate() {
            let wave_start = match scheduled.trouble.kind {
                TroubleKind::Roll => {
                    scheduled.from + (scheduled.until - scheduled.from) * wave as u32 / waves
                }
                _ => scheduled.from,
            };
            for sender in senders.iter().copied() {
                let (processes, start_at) = (processes.clone(), shared.instant(wave_start));
                let kind = scheduled.trouble.kind;
                spawn_local(async move {
                    sleep_until(start_at).await;
                    match kind {
                        TroubleKind::Reload => processes.reload(sender),
                        _ => processes.restart(sender, Some(STOP_TIMEOUT), RESTART_DELAY).await,
                    }
                });
            }
        }
    }
}

/// Runs only the receivers, and discovery for one sender at a fixed address, until this process ends: for
/// manual tests of a sender. Prints the command that starts the sender, and once a second the counts if they
/// have changed.
///
/// # Errors
/// If a socket or file cannot be opened.
pub fn run_receivers(
    plan: &Plan,
    discovery: SocketAddr,
    sender: SocketAddr,
    folder: &Path,
) -> Result<(), LabError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(error_context("runtime"))?;
    let session = async {
        let shared = SharedState::standalone(plan.clone());
        let addresses = endpoints::open_all(&shared).await.map_err(error_context("receivers"))?;
        let discovery_address =
            discovery::start_at(&shared, &addresses, discovery).await.map_err(error_context("discovery"))?;
        let state = folder.join("state");
        std::fs::create_dir_all(&state).map_err(error_context("folder"))?;
        let config =
            protocol::sender_config(&shared.plan, SenderId(0), sender, discovery_address, &state, &addresses);
        let config_path = folder.join("config.json");
        std::fs::write(&config_path, config.to_string()).map_err(error_context("folder"))?;
        shared.start_clock();
        endpoints::report_outages(&shared);
        println!("{} endpoints; discovery and notices at {discovery_address}", shared.plan.endpoints.len());
        println!("start the sender with: sailcart serve --config {}", config_path.display());
        let mut last_printed = String::new();
        loop {
            sleep(Duration::from_secs(1)).await;
            let progress_line = shared.progress_line();
            if progress_line != last_printed {
                println!("{progress_line}");
                last_printed = progress_line;
            }
        }
    };
    LocalSet::new().block_on(&runtime, session)
}

/// Runs only the clients, against a sender that is already running.
///
/// # Errors
/// If the sender does not answer `PING`.
pub fn run_clients(
    plan: &Plan,
    to: SocketAddr,
    progress: &mut dyn FnMut(Duration),
) -> Result<Outcome, LabError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(error_context("runtime"))?;
    let session = async {
        let shared = SharedState::standalone(plan.clone());
        let processes = SenderProcesses::external(&shared, to);
        processes.wait_until_ready(SenderId(0), READY_TIMEOUT).await?;
        shared.start_clock();
        let clients = clients::Clients::new(&shared, &processes);
        spawn_local(clients.clone().submit_all());
        let end = shared.instant(shared.plan.experiment.span + Duration::from_secs(1));
        while Instant::now() < end {
            sleep(POLL_INTERVAL).await;
            progress(shared.now());
        }
        Ok(shared.finish(Mode::Sockets, PolicyName::Sailcart, Vec::new()))
    };
    LocalSet::new().block_on(&runtime, session)
}
