//! The sender processes: starts, stops, kills, reloads and measures them. None outlives the lab: each child
//! asks the kernel to kill it when its parent ends, before it executes the sender.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;

use nix::sys::prctl::set_pdeathsig;
use nix::sys::signal::{Signal, kill};
use nix::unistd::{Pid, getppid};
use sailcart_shim::{ControlPage, Setting};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::time::{Instant, sleep, timeout};

use super::protocol;
use super::shared_state::SharedState;
use crate::experiment::LabError;
use crate::plan::SenderId;
use crate::results::Cost;
use crate::results::tally::Counter;
use crate::watcher::Observation;

/// Subcommand with which the lab starts itself as a child process that then executes the sender.
pub const EXEC_SENDER_SUBCOMMAND: &str = "keep";
/// Interval at which the lab checks whether a process has exited or answers `PING`.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// A sender that is killed during its start is killed after a multiple of this time.
const START_KILL_STEP: Duration = Duration::from_millis(3);
/// Number of multiples of [`START_KILL_STEP`], from 0, that are used in turn.
const START_KILL_STEPS: u32 = 12;
/// The signals that stop a sender in a soak, in turn: a reload at the same moment, several before, and a second
/// request to stop.
const STOP_SIGNALS: [&[Signal]; 4] = [
    &[Signal::SIGTERM, Signal::SIGHUP],
    &[Signal::SIGHUP, Signal::SIGHUP, Signal::SIGHUP, Signal::SIGTERM],
    &[Signal::SIGTERM, Signal::SIGTERM],
    &[Signal::SIGTERM],
];

/// Path of the sender's program: the given one, or else `sailcart` in the folder of this program or the one
/// above.
///
/// # Errors
/// If there is no such file.
pub fn find_program(given: Option<&Path>) -> Result<PathBuf, LabError> {
    let beside_this_program = || {
        let own = std::env::current_exe().ok()?;
        // The program of a test is one folder deeper.
        own.ancestors().skip(1).take(2).map(|folder| folder.join("sailcart")).find(|path| path.is_file())
    };
    let path = given.map(Path::to_path_buf).or_else(beside_this_program);
    path.filter(|path| path.is_file()).ok_or_else(|| {
        let message =
            "--sender: sender program not found; build it with cargo build --release -p sailcart-sender";
        LabError(message.to_owned())
    })
}

/// Replaces this process by the program and has it killed when the process `parent` ends. Returns only on an
/// error.
pub fn exec_sender(parent: i32, program: &Path, arguments: &[String]) -> io::Error {
    if let Err(error) = set_pdeathsig(Signal::SIGKILL) {
        return error.into();
    }
    // The parent may have ended before the signal was set.
    if getppid() != Pid::from_raw(parent) {
        return io::Error::other("the lab that started this process has ended");
    }
    std::process::Command::new(program).args(arguments).exec()
}

/// One sender, across restarts.
struct SenderProcess {
    listen_address: SocketAddr,
    config_path: PathBuf,
    child: RefCell<Option<Child>>,
    /// Whether clients choose this sender: set once it has answered `PING`, cleared when it is stopped,
    /// killed or has crashed.
    accepting: Cell<bool>,
    /// It has been started and not been stopped or killed by the lab: an exit is a crash.
    expected_running: Cell<bool>,
    /// Seconds of processor time of the previous processes, and of this one when last measured; the peak of
    /// resident memory in MB and the maximum number of open descriptors, of all of them.
    usage: RefCell<(f64, f64, f64, usize)>,
    /// Address at which clients reach it, if not its own.
    proxy_address: Cell<Option<SocketAddr>>,
    /// The control page of the shim, if it runs under it.
    control_page: Option<ControlPage>,
}

/// All senders of a run.
pub struct SenderProcesses {
    shared: Rc<SharedState>,
    program: PathBuf,
    processes: Vec<SenderProcess>,
    /// Number of starts after a kill in a soak.
    starts_after_kill: Cell<u64>,
    /// Number of stops by a signal.
    stops: Cell<usize>,
    /// Holds configurations, journals and logs, and is removed at the end of the run; `None` if a folder was
    /// given.
    _temporary_folder: Option<tempfile::TempDir>,
}

/// Where the sender processes keep their files, and whether they run under the shim.
#[derive(Clone, Copy, Default)]
pub struct ProcessOptions<'a> {
    /// Folder that is kept after the run; a temporary folder if `None`.
    pub folder: Option<&'a Path>,
    /// Loads the fault-injecting shim into the processes.
    pub inject_faults: bool,
}

impl SenderProcesses {
    /// Chooses an address for each sender and writes its configuration. `addresses` holds the addresses of
    /// the endpoints, as one list per sender or one list for all. Starts no process.
    pub async fn new(
        shared: &Rc<SharedState>,
        program: PathBuf,
        discovery: &[SocketAddr],
        addresses: &[Rc<[SocketAddr]>],
        options: ProcessOptions<'_>,
    ) -> Result<Rc<SenderProcesses>, LabError> {
        let temporary_folder = match options.folder {
            Some(_) => None,
            None => Some(
                tempfile::Builder::new()
                    .prefix("sailcart-lab")
                    .tempdir()
                    .map_err(super::error_context("folder"))?,
            ),
        };
        let given = options.folder.or(temporary_folder.as_ref().map(tempfile::TempDir::path));
        let folder =
            given.unwrap_or(Path::new(".")).canonicalize().map_err(super::error_context("folder"))?;
        let mut processes = Vec::new();
        for (sender, discovery_address) in discovery.iter().enumerate() {
            let bind_address = format!("127.9.{}.{}:0", sender / 250, sender % 250 + 1);
            let listener =
                std::net::TcpListener::bind(&bind_address).map_err(super::error_context("senders"))?;
            let listen_address = listener.local_addr().map_err(super::error_context("senders"))?;
            drop(listener);
            let state = folder.join(format!("state-{sender}"));
            std::fs::create_dir(&state).map_err(super::error_context("folder"))?;
            let config_path = folder.join(format!("sender-{sender}.json"));
            let addresses = &addresses[sender % addresses.len()];
            let text = protocol::sender_config(
                &shared.plan,
                SenderId(sender),
                listen_address,
                *discovery_address,
                &state,
                addresses,
            );
            std::fs::write(&config_path, text.to_string()).map_err(super::error_context("folder"))?;
            let mut process = SenderProcess::new(listen_address, config_path);
            if options.inject_faults {
                let control_page = ControlPage::new(&folder.join(format!("page-{sender}")))
                    .map_err(super::error_context("page"))?;
                control_page.set(Setting::Seed, sender as i64).map_err(super::error_context("page"))?;
                process.control_page = Some(control_page);
            }
            processes.push(process);
        }
        let (starts_after_kill, stops) = (Cell::new(0), Cell::new(0));
        Ok(Rc::new(SenderProcesses {
            shared: shared.clone(),
            program,
            processes,
            starts_after_kill,
            stops,
            _temporary_folder: temporary_folder,
        }))
    }

    /// A single sender at this address that the lab has not started.
    pub fn external(shared: &Rc<SharedState>, address: SocketAddr) -> Rc<SenderProcesses> {
        let processes = vec![SenderProcess::new(address, PathBuf::new())];
        Rc::new(SenderProcesses {
            shared: shared.clone(),
            program: PathBuf::new(),
            processes,
            starts_after_kill: Cell::new(0),
            stops: Cell::new(0),
            _temporary_folder: None,
        })
    }

    /// The address at which clients reach a sender.
    pub fn address(&self, sender: SenderId) -> SocketAddr {
        self.processes[sender.0].proxy_address.get().unwrap_or(self.processes[sender.0].listen_address)
    }

    /// The address that a sender listens on.
    pub fn listen_address(&self, sender: SenderId) -> SocketAddr {
        self.processes[sender.0].listen_address
    }

    /// Makes clients reach a sender at the address of a proxy.
    pub fn set_proxy_address(&self, sender: SenderId, proxy_address: SocketAddr) {
        self.processes[sender.0].proxy_address.set(Some(proxy_address));
    }

    /// The control page of the shim that a sender runs under, if any.
    pub fn control_page(&self, sender: SenderId) -> Option<&ControlPage> {
        self.processes[sender.0].control_page.as_ref()
    }

    /// Pauses a sender with `SIGSTOP` or resumes it with `SIGCONT`.
    pub fn set_paused(&self, sender: SenderId, paused: bool) {
        if let Some(pid) = self.pid(sender) {
            let _ = kill(pid, if paused { Signal::SIGSTOP } else { Signal::SIGCONT });
        }
    }

    /// The senders that accept packets now.
    pub fn accepting(&self) -> Vec<SenderId> {
        (0..self.processes.len())
            .filter(|index| self.processes[*index].accepting.get())
            .map(SenderId)
            .collect()
    }

    /// Starts a sender; does not wait until it is ready.
    pub async fn start(&self, sender: SenderId) -> Result<(), LabError> {
        let process = &self.processes[sender.0];
        let lab_program = std::env::current_exe().map_err(super::error_context("keep"))?;
        let log = process.config_path.with_extension("log");
        let log = std::fs::OpenOptions::new().create(true).append(true).open(log);
        let log = log.map_err(super::error_context("folder"))?;
        let mut command = Command::new(lab_program);
        command
            .arg(EXEC_SENDER_SUBCOMMAND)
            .arg(std::process::id().to_string())
            .arg(&self.program)
            .args(["serve".as_ref(), "--config".as_ref(), process.config_path.as_os_str()])
            .env("RUST_LOG", if process.control_page.is_some() { "debug" } else { "info" })
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .kill_on_drop(true);
        if let Some(control_page) = &process.control_page {
            command.envs(
                control_page.environment(
                    sailcart_shim::build_preload_library().map_err(super::error_context("shim"))?,
                ),
            );
        }
        let child = command.spawn();
        *process.child.borrow_mut() = Some(child.map_err(super::error_context("sender"))?);
        process.expected_running.set(true);
        Ok(())
    }

    /// Waits until a sender answers `PING`.
    ///
    /// # Errors
    /// If it does not within this time; the message holds the last lines of its log.
    pub async fn wait_until_ready(&self, sender: SenderId, within: Duration) -> Result<(), LabError> {
        let (process, deadline) = (&self.processes[sender.0], Instant::now() + within);
        while Instant::now() < deadline {
            if let Ok(Ok(())) = timeout(Duration::from_secs(1), ping(process.listen_address)).await {
                process.accepting.set(true);
                return Ok(());
            }
            sleep(POLL_INTERVAL).await;
        }
        let log = std::fs::read_to_string(process.config_path.with_extension("log")).unwrap_or_default();
        let last_lines: Vec<&str> = log.lines().rev().take(3).collect();
        Err(LabError(format!(
            "sender {} does not answer PING at {}; end of its log, last line first: {}",
            sender.0,
            process.listen_address,
            last_lines.join(" / ")
        )))
    }

    fn pid(&self, sender: SenderId) -> Option<Pid> {
        let id = self.processes[sender.0].child.borrow().as_ref()?.id()?;
        Some(Pid::from_raw(id as i32))
    }

    /// Makes a sender read its configuration again.
    pub fn reload(&self, sender: SenderId) {
        if let Some(pid) = self.pid(sender) {
            let _ = kill(pid, Signal::SIGHUP);
        }
    }

    /// Restarts a sender: stops it, within `stop_within` if that is set, or else kills it, and starts it
    /// again after `downtime`.
    pub async fn restart(&self, sender: SenderId, stop_within: Option<Duration>, downtime: Duration) {
        let process = &self.processes[sender.0];
        let Some(pid) = self.pid(sender) else { return };
        if !process.expected_running.replace(false) {
            return; // another restart is in progress
        }
        self.shared.tally.borrow_mut().increment(Counter::Kills);
        self.measure(sender);
        self.shared.observe(Observation::SenderDown(sender));
        if let Some(within) = stop_within {
            let stops = self.stops.replace(self.stops.get() + 1);
            let series = if process.control_page.is_some() {
                STOP_SIGNALS[stops % STOP_SIGNALS.len()]
            } else {
                &[Signal::SIGTERM]
            };
            for signal in series {
                let _ = kill(pid, *signal);
            }
            sleep(Duration::from_millis(300)).await;
            process.accepting.set(false);
            self.wait_for_exit(sender, within).await;
        }
        process.accepting.set(false);
        let _ = kill(pid, Signal::SIGKILL);
        self.wait_for_exit(sender, Duration::from_secs(1)).await;
        *process.child.borrow_mut() = None;
        process.accumulate_cpu_time();
        sleep(downtime).await;
        if stop_within.is_none() && process.control_page.is_some() {
            self.kill_during_start(sender).await;
        }
        match self.start(sender).await {
            Ok(()) if self.wait_until_ready(sender, Duration::from_secs(10)).await.is_ok() => {
                // Another restart may have begun meanwhile, and the process that answered is being stopped.
                if process.expected_running.get() {
                    self.shared.observe(Observation::SenderUp(sender));
                }
            }
            _ => self.shared.tally.borrow_mut().increment(Counter::Crashes),
        }
    }

    /// In a soak, every third process that follows a kill is killed again during its start. The delay from
    /// start to kill increases by [`START_KILL_STEP`] each time and returns to zero after
    /// [`START_KILL_STEPS`] times.
    async fn kill_during_start(&self, sender: SenderId) {
        let count = self.starts_after_kill.replace(self.starts_after_kill.get() + 1);
        if !count.is_multiple_of(3) || self.start(sender).await.is_err() {
            return;
        }
        self.processes[sender.0].expected_running.set(false); // so that the exit does not count as a crash
        sleep(START_KILL_STEP * (count as u32 / 3 % START_KILL_STEPS)).await;
        if let Some(pid) = self.pid(sender) {
            let _ = kill(pid, Signal::SIGKILL);
        }
        self.wait_for_exit(sender, Duration::from_secs(1)).await;
        *self.processes[sender.0].child.borrow_mut() = None;
    }

    /// Restarts a sender that has exited by itself.
    async fn restart_crashed(&self, sender: SenderId) {
        let process = &self.processes[sender.0];
        process.expected_running.set(false);
        process.accepting.set(false);
        self.shared.observe(Observation::SenderDown(sender));
        *process.child.borrow_mut() = None;
        process.accumulate_cpu_time();
        sleep(super::RESTART_DELAY).await;
        if self.start(sender).await.is_ok()
            && self.wait_until_ready(sender, Duration::from_secs(10)).await.is_ok()
        {
            self.shared.observe(Observation::SenderUp(sender));
        }
    }

    /// Waits until the process has exited, but no longer than `within`.
    async fn wait_for_exit(&self, sender: SenderId, within: Duration) {
        let deadline = Instant::now() + within;
        while Instant::now() < deadline {
            let has_exited = match &mut *self.processes[sender.0].child.borrow_mut() {
                Some(child) => !matches!(child.try_wait(), Ok(None)),
                None => true,
            };
            if has_exited {
                return;
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Counts and restarts senders that exit although the lab has not stopped them.
    pub async fn restart_crashed_senders(self: Rc<Self>) {
        loop {
            sleep(Duration::from_millis(100)).await;
            for (index, process) in
                self.processes.iter().enumerate().filter(|(_, process)| process.expected_running.get())
            {
                let exit_status = match &mut *process.child.borrow_mut() {
                    Some(child) => child.try_wait().ok().flatten(),
                    None => None,
                };
                if let Some(status) = exit_status {
                    log::error!("sender {index}: code=crashed {status}");
                    self.shared.tally.borrow_mut().increment(Counter::Crashes);
                    self.restart_crashed(SenderId(index)).await;
                }
            }
        }
    }

    /// Updates the resource usage of a sender.
    fn measure(&self, sender: SenderId) {
        let Some(pid) = self.pid(sender) else { return };
        let Ok(process) = procfs::process::Process::new(pid.as_raw()) else { return };
        let mut usage = self.processes[sender.0].usage.borrow_mut();
        if let Ok(stat) = process.stat() {
            usage.1 = (stat.utime + stat.stime) as f64 / procfs::ticks_per_second() as f64;
        }
        if let Ok(status) = process.status() {
            usage.2 = usage.2.max(status.vmhwm.unwrap_or(0) as f64 / 1000.0);
        }
        if let Ok(count) = process.fd_count() {
            usage.3 = usage.3.max(count);
        }
    }

    /// Updates the resource usage of all senders.
    pub fn sample(&self) {
        (0..self.processes.len()).for_each(|sender| self.measure(SenderId(sender)));
    }

    /// Stops all senders. Returns the resource usage of each and of the lab itself.
    pub async fn stop_all(&self) -> Vec<Cost> {
        self.sample();
        for (index, process) in self.processes.iter().enumerate() {
            process.expected_running.set(false);
            if let Some(pid) = self.pid(SenderId(index)) {
                let _ = kill(pid, Signal::SIGTERM);
            }
        }
        let mut cost = Vec::new();
        for (index, process) in self.processes.iter().enumerate() {
            self.wait_for_exit(SenderId(index), super::STOP_TIMEOUT).await;
            *process.child.borrow_mut() = None; // kills the process if it still runs
            let (previous_cpu_s, current_cpu_s, memory_mb, descriptors) = *process.usage.borrow();
            cost.push(Cost {
                process: format!("sender {index}"),
                cpu_s: previous_cpu_s + current_cpu_s,
                memory_mb,
                descriptors,
            });
        }
        if let Ok(own) = procfs::process::Process::myself() {
            let cpu_seconds =
                own.stat().map_or(0.0, |s| (s.utime + s.stime) as f64 / procfs::ticks_per_second() as f64);
            let memory_mb = own.status().ok().and_then(|s| s.vmhwm).unwrap_or(0) as f64 / 1000.0;
            let descriptors = own.fd_count().unwrap_or(0);
            cost.push(Cost { process: "the lab".to_owned(), cpu_s: cpu_seconds, memory_mb, descriptors });
        }
        cost
    }
}

impl SenderProcess {
    fn new(listen_address: SocketAddr, config_path: PathBuf) -> Self {
        SenderProcess {
            listen_address,
            config_path,
            child: RefCell::new(None),
            accepting: Cell::new(false),
            expected_running: Cell::new(false),
            usage: RefCell::new((0.0, 0.0, 0.0, 0)),
            proxy_address: Cell::new(None),
            control_page: None,
        }
    }

    /// Adds the processor time of the process that has ended to that of the previous ones.
    fn accumulate_cpu_time(&self) {
        let mut usage = self.usage.borrow_mut();
        usage.0 += std::mem::take(&mut usage.1);
    }
}

async fn ping(address: SocketAddr) -> io::Result<()> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(b"*1\r\n$4\r\nPING\r\n").await?;
    let mut answer = [0u8; 7];
    stream.read_exact(&mut answer).await?;
    if answer.starts_with(b"+PONG") { Ok(()) } else { Err(io::ErrorKind::InvalidData.into()) }
}
