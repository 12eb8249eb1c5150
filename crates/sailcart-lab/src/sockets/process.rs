//! Sender processes: started, stopped, killed, told to reload, and measured. None outlives the lab: each asks the
//! kernel to be killed with its parent before it becomes the sender.

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
use sailcart_shim::{Page, Word};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::time::{Instant, sleep, timeout};

use super::protocol;
use super::shared::SharedState;
use crate::experiment::Fault;
use crate::plan::SenderId;
use crate::results::Cost;
use crate::results::tally::Count;
use crate::watcher::Seen;

/// The word on the command line by which the lab starts itself as a sender's keeper.
pub const KEEP: &str = "keep";
const LOOK: Duration = Duration::from_millis(20);
/// From one moment of a start at which a sender is killed to the next, and how many there are.
const START_STEP: Duration = Duration::from_millis(3);
const START_STEPS: u32 = 12;

/// The sender's program.
pub fn find(given: Option<&Path>) -> Result<PathBuf, Fault> {
    let beside = || {
        let own = std::env::current_exe().ok()?;
        // A test's program stands one folder deeper.
        own.ancestors().skip(1).take(2).map(|folder| folder.join("sailcart")).find(|path| path.is_file())
    };
    let path = given.map(Path::to_path_buf).or_else(beside);
    path.filter(|path| path.is_file()).ok_or_else(|| {
        let words = "--sender: no sender's program; cargo build --release -p sailcart-sender makes one";
        Fault(words.to_owned())
    })
}

/// Becomes the program, to be killed when the process `parent` ends. Comes back only with a fault.
pub fn keep(parent: i32, program: &Path, words: &[String]) -> io::Error {
    if let Err(fault) = set_pdeathsig(Signal::SIGKILL) {
        return fault.into();
    }
    // The parent may have gone before that.
    if getppid() != Pid::from_raw(parent) {
        return io::Error::other("the lab has gone");
    }
    std::process::Command::new(program).args(words).exec()
}

struct SenderProcess {
    listen: SocketAddr,
    config: PathBuf,
    child: RefCell<Option<Child>>,
    /// Clients get through to it.
    taking: Cell<bool>,
    /// It is meant to be there.
    wanted: Cell<bool>,
    /// Of its earlier lives, and of this one as last seen.
    spent: RefCell<(f64, f64, f64, usize)>,
    /// Where clients reach it, if not at its own address.
    front: Cell<Option<SocketAddr>>,
    /// The page of faults that it runs under.
    page: Option<Page>,
}

pub struct SenderProcesses {
    shared: Rc<SharedState>,
    program: PathBuf,
    processes: Vec<SenderProcess>,
    /// Lives that followed a kill.
    killed: Cell<u64>,
    /// Configurations, journals and logs; gone with this run, but for a folder that was given.
    _folder: Option<tempfile::TempDir>,
}

/// Where processes have their files, and whether they run under pages of faults.
#[derive(Clone, Copy, Default)]
pub struct Ground<'a> {
    /// A folder to be kept; one that is gone with the run without it.
    pub folder: Option<&'a Path>,
    pub faults: bool,
}

impl SenderProcesses {
    pub async fn new(
        shared: &Rc<SharedState>,
        program: PathBuf,
        discovery: &[SocketAddr],
        addresses: &[Rc<[SocketAddr]>],
        ground: Ground<'_>,
    ) -> Result<Rc<SenderProcesses>, Fault> {
        let own = match ground.folder {
            Some(_) => None,
            None => Some(
                tempfile::Builder::new().prefix("sailcart-lab").tempdir().map_err(super::fault("folder"))?,
            ),
        };
        let given = ground.folder.or(own.as_ref().map(tempfile::TempDir::path));
        let folder = given.unwrap_or(Path::new(".")).canonicalize().map_err(super::fault("folder"))?;
        let mut processes = Vec::new();
        for (sender, own) in discovery.iter().enumerate() {
            let place = format!("127.9.{}.{}:0", sender / 250, sender % 250 + 1);
            let listener = std::net::TcpListener::bind(&place).map_err(super::fault("senders"))?;
            let listen = listener.local_addr().map_err(super::fault("senders"))?;
            drop(listener);
            let state = folder.join(format!("state-{sender}"));
            std::fs::create_dir(&state).map_err(super::fault("folder"))?;
            let config = folder.join(format!("sender-{sender}.json"));
            let addresses = &addresses[sender % addresses.len()];
            let text = protocol::config(&shared.plan, SenderId(sender), listen, *own, &state, addresses);
            std::fs::write(&config, text.to_string()).map_err(super::fault("folder"))?;
            let mut process = SenderProcess::new(listen, config);
            if ground.faults {
                let page = Page::new(&folder.join(format!("page-{sender}"))).map_err(super::fault("page"))?;
                page.set(Word::Seed, sender as i64).map_err(super::fault("page"))?;
                process.page = Some(page);
            }
            processes.push(process);
        }
        let killed = Cell::new(0);
        Ok(Rc::new(SenderProcesses { shared: shared.clone(), program, processes, killed, _folder: own }))
    }

    /// A sender that somebody else started.
    pub fn elsewhere(shared: &Rc<SharedState>, at: SocketAddr) -> Rc<SenderProcesses> {
        let processes = vec![SenderProcess::new(at, PathBuf::new())];
        Rc::new(SenderProcesses {
            shared: shared.clone(),
            program: PathBuf::new(),
            processes,
            killed: Cell::new(0),
            _folder: None,
        })
    }

    /// Where clients reach a sender.
    pub fn address(&self, sender: SenderId) -> SocketAddr {
        self.processes[sender.0].front.get().unwrap_or(self.processes[sender.0].listen)
    }

    /// The address that a sender listens on.
    pub fn listens(&self, sender: SenderId) -> SocketAddr {
        self.processes[sender.0].listen
    }

    /// From now on clients reach a sender there.
    pub fn put_front(&self, sender: SenderId, front: SocketAddr) {
        self.processes[sender.0].front.set(Some(front));
    }

    /// The page of faults that a sender runs under.
    pub fn page(&self, sender: SenderId) -> Option<&Page> {
        self.processes[sender.0].page.as_ref()
    }

    /// Holds a sender up, or lets it go on.
    pub fn hold(&self, sender: SenderId, up: bool) {
        if let Some(pid) = self.pid(sender) {
            let _ = kill(pid, if up { Signal::SIGSTOP } else { Signal::SIGCONT });
        }
    }

    /// Senders that clients would choose now.
    pub fn taking(&self) -> Vec<SenderId> {
        (0..self.processes.len()).filter(|at| self.processes[*at].taking.get()).map(SenderId).collect()
    }

    pub async fn start(&self, sender: SenderId) -> Result<(), Fault> {
        let process = &self.processes[sender.0];
        let lab = std::env::current_exe().map_err(super::fault("keep"))?;
        let log = process.config.with_extension("log");
        let log = std::fs::OpenOptions::new().create(true).append(true).open(log);
        let log = log.map_err(super::fault("folder"))?;
        let mut command = Command::new(lab);
        command
            .arg(KEEP)
            .arg(std::process::id().to_string())
            .arg(&self.program)
            .args(["serve".as_ref(), "--config".as_ref(), process.config.as_os_str()])
            .env("RUST_LOG", if process.page.is_some() { "debug" } else { "info" })
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .kill_on_drop(true);
        if let Some(page) = &process.page {
            command.envs(page.environment(sailcart_shim::library().map_err(super::fault("shim"))?));
        }
        let child = command.spawn();
        *process.child.borrow_mut() = Some(child.map_err(super::fault("sender"))?);
        process.wanted.set(true);
        Ok(())
    }

    /// Until it answers `PING`.
    pub async fn ready(&self, sender: SenderId, within: Duration) -> Result<(), Fault> {
        let (process, end) = (&self.processes[sender.0], Instant::now() + within);
        while Instant::now() < end {
            if let Ok(Ok(())) = timeout(Duration::from_secs(1), ping(process.listen)).await {
                process.taking.set(true);
                return Ok(());
            }
            sleep(LOOK).await;
        }
        let log = std::fs::read_to_string(process.config.with_extension("log")).unwrap_or_default();
        let last: Vec<&str> = log.lines().rev().take(3).collect();
        Err(Fault(format!("sender {} does not answer at {}: {}", sender.0, process.listen, last.join(" / "))))
    }

    fn pid(&self, sender: SenderId) -> Option<Pid> {
        let id = self.processes[sender.0].child.borrow().as_ref()?.id()?;
        Some(Pid::from_raw(id as i32))
    }

    pub fn reload(&self, sender: SenderId) {
        if let Some(pid) = self.pid(sender) {
            let _ = kill(pid, Signal::SIGHUP);
        }
    }

    /// Ends a sender, as told (within a time) or without warning, and starts it again after a while.
    pub async fn restart(&self, sender: SenderId, told: Option<Duration>, down: Duration) {
        let process = &self.processes[sender.0];
        let Some(pid) = self.pid(sender) else { return };
        if !process.wanted.replace(false) {
            return; // it is on its way back from another
        }
        self.shared.tally.borrow_mut().count(Count::Kills);
        self.measure(sender);
        self.shared.see(Seen::SenderDown(sender));
        if let Some(within) = told {
            let _ = kill(pid, Signal::SIGTERM);
            if process.page.is_some() {
                let _ = kill(pid, Signal::SIGHUP); // in the same instant
            }
            sleep(Duration::from_millis(300)).await;
            process.taking.set(false);
            self.ended(sender, within).await;
        }
        process.taking.set(false);
        let _ = kill(pid, Signal::SIGKILL);
        self.ended(sender, Duration::from_secs(1)).await;
        *process.child.borrow_mut() = None;
        process.end_life();
        sleep(down).await;
        if told.is_none() && process.page.is_some() {
            self.kill_in_its_start(sender).await;
        }
        match self.start(sender).await {
            Ok(()) if self.ready(sender, Duration::from_secs(10)).await.is_ok() => {
                self.shared.see(Seen::SenderUp(sender));
            }
            _ => self.shared.tally.borrow_mut().count(Count::Crashes),
        }
    }

    /// Of the lives in a soak that follow a kill, one in three is killed again within its start, at a moment that moves on.
    async fn kill_in_its_start(&self, sender: SenderId) {
        let count = self.killed.replace(self.killed.get() + 1);
        if !count.is_multiple_of(3) || self.start(sender).await.is_err() {
            return;
        }
        self.processes[sender.0].wanted.set(false); // its end is no crash
        sleep(START_STEP * (count as u32 / 3 % START_STEPS)).await;
        if let Some(pid) = self.pid(sender) {
            let _ = kill(pid, Signal::SIGKILL);
        }
        self.ended(sender, Duration::from_secs(1)).await;
        *self.processes[sender.0].child.borrow_mut() = None;
    }

    /// Starts a sender anew that ended by itself.
    async fn revive(&self, sender: SenderId) {
        let process = &self.processes[sender.0];
        process.wanted.set(false);
        process.taking.set(false);
        self.shared.see(Seen::SenderDown(sender));
        *process.child.borrow_mut() = None;
        process.end_life();
        sleep(super::RESTART).await;
        if self.start(sender).await.is_ok() && self.ready(sender, Duration::from_secs(10)).await.is_ok() {
            self.shared.see(Seen::SenderUp(sender));
        }
    }

    async fn ended(&self, sender: SenderId, within: Duration) {
        let end = Instant::now() + within;
        while Instant::now() < end {
            let ended = match &mut *self.processes[sender.0].child.borrow_mut() {
                Some(child) => !matches!(child.try_wait(), Ok(None)),
                None => true,
            };
            if ended {
                return;
            }
            sleep(LOOK).await;
        }
    }

    /// Counts senders that end without being told, and starts them again.
    pub async fn watch(self: Rc<Self>) {
        loop {
            sleep(Duration::from_millis(100)).await;
            for (at, process) in self.processes.iter().enumerate().filter(|(_, process)| process.wanted.get())
            {
                let ended = match &mut *process.child.borrow_mut() {
                    Some(child) => child.try_wait().ok().flatten(),
                    None => None,
                };
                if let Some(status) = ended {
                    log::error!("sender {at}: code=crashed {status}");
                    self.shared.tally.borrow_mut().count(Count::Crashes);
                    self.revive(SenderId(at)).await;
                }
            }
        }
    }

    fn measure(&self, sender: SenderId) {
        let Some(pid) = self.pid(sender) else { return };
        let Ok(process) = procfs::process::Process::new(pid.as_raw()) else { return };
        let mut spent = self.processes[sender.0].spent.borrow_mut();
        if let Ok(stat) = process.stat() {
            spent.1 = (stat.utime + stat.stime) as f64 / procfs::ticks_per_second() as f64;
        }
        if let Ok(status) = process.status() {
            spent.2 = spent.2.max(status.vmhwm.unwrap_or(0) as f64 / 1000.0);
        }
        if let Ok(count) = process.fd_count() {
            spent.3 = spent.3.max(count);
        }
    }

    pub fn sample(&self) {
        (0..self.processes.len()).for_each(|sender| self.measure(SenderId(sender)));
    }

    /// Ends all; what each cost, and the lab itself.
    pub async fn end(&self) -> Vec<Cost> {
        self.sample();
        for (at, process) in self.processes.iter().enumerate() {
            process.wanted.set(false);
            if let Some(pid) = self.pid(SenderId(at)) {
                let _ = kill(pid, Signal::SIGTERM);
            }
        }
        let mut cost = Vec::new();
        for (at, process) in self.processes.iter().enumerate() {
            self.ended(SenderId(at), super::STOPPING).await;
            *process.child.borrow_mut() = None; // killed if it has not ended
            let (before, now, memory_mb, descriptors) = *process.spent.borrow();
            cost.push(Cost { process: format!("sender {at}"), cpu_s: before + now, memory_mb, descriptors });
        }
        if let Ok(own) = procfs::process::Process::myself() {
            let cpu =
                own.stat().map_or(0.0, |s| (s.utime + s.stime) as f64 / procfs::ticks_per_second() as f64);
            let memory_mb = own.status().ok().and_then(|s| s.vmhwm).unwrap_or(0) as f64 / 1000.0;
            let descriptors = own.fd_count().unwrap_or(0);
            cost.push(Cost { process: "the lab".to_owned(), cpu_s: cpu, memory_mb, descriptors });
        }
        cost
    }
}

impl SenderProcess {
    fn new(listen: SocketAddr, config: PathBuf) -> Self {
        SenderProcess {
            listen,
            config,
            child: RefCell::new(None),
            taking: Cell::new(false),
            wanted: Cell::new(false),
            spent: RefCell::new((0.0, 0.0, 0.0, 0)),
            front: Cell::new(None),
            page: None,
        }
    }

    fn end_life(&self) {
        let mut spent = self.spent.borrow_mut();
        spent.0 += std::mem::take(&mut spent.1);
    }
}

async fn ping(at: SocketAddr) -> io::Result<()> {
    let mut stream = TcpStream::connect(at).await?;
    stream.write_all(b"*1\r\n$4\r\nPING\r\n").await?;
    let mut answer = [0u8; 7];
    stream.read_exact(&mut answer).await?;
    if answer.starts_with(b"+PONG") { Ok(()) } else { Err(io::ErrorKind::InvalidData.into()) }
}
