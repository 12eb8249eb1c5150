//! Controls the fault-injecting shim. A test or the lab writes the settings to a control page, a file of
//! [`PAGE_BYTES`] bytes. The library `sailcart-shim-preload`, loaded into the process under test, maps that
//! file and reads them at every call, so faults can be switched on and off while the process runs.
//!
//! The settings cover only failures that the man pages of the calls document, in states in which the kernel
//! could return them.

use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;
use std::time::Duration;

/// Size of the control page in bytes.
pub const PAGE_BYTES: usize = 4096;
/// Environment variable that holds the path of the control page.
pub const PAGE_PATH_VARIABLE: &str = "SAILCART_SHIM";
/// Size of one setting or counter in bytes.
const WORD_BYTES: usize = 8;
/// Index of the first counter on the control page; settings use the words before it.
const FIRST_COUNTER_INDEX: usize = 64;

/// A setting; the value is its index on the control page. A setting of 0 injects no fault. Shares of calls
/// are in thousandths.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(usize)]
pub enum Setting {
    /// Seed of the library's random number generator.
    Seed = 0,
    /// Error number with which writes to regular files fail.
    FileWriteErrno = 1,
    /// If not 0, half of the bytes are written before a write to a file fails.
    FilePartialWrite = 2,
    /// Error number with which `fsync` and `fdatasync` fail.
    FileSyncErrno = 3,
    /// Error number with which `ftruncate` of a regular file fails.
    FileTruncateErrno = 4,
    /// Error number with which creating, renaming and removing files fails.
    DirectoryUpdateErrno = 5,
    /// Milliseconds from the start of one window of file faults to the next; 0 for file faults without
    /// interruption.
    FileFaultPeriodMs = 6,
    /// Milliseconds in each period during which file calls fail.
    FileFaultWindowMs = 7,
    /// Share of reads from TCP sockets that are short.
    ShortReadPerMille = 8,
    /// Maximum number of bytes that a short read returns.
    ShortReadMaxBytes = 9,
    /// Share of writes to TCP sockets that are short.
    ShortWritePerMille = 10,
    /// Error number with which `accept4` fails.
    AcceptErrno = 11,
    /// Share of `accept4` calls that fail.
    AcceptPerMille = 12,
    /// Error number with which `socket` fails for TCP.
    SocketErrno = 13,
    /// Share of `socket` calls for TCP that fail.
    SocketPerMille = 14,
    /// Error number with which `connect` fails for TCP.
    ConnectErrno = 15,
    /// Share of `connect` calls for TCP that fail.
    ConnectPerMille = 16,
    /// Share of waits in `epoll_wait` that are interrupted.
    WaitInterruptedPerMille = 17,
    /// Error number that calls on a reset connection return in place of `ECONNRESET`.
    ConnectionResetErrno = 18,
    /// Milliseconds by which the wall clock is stepped; negative values step it back.
    WallClockStepMs = 19,
    /// Share of writes to TCP sockets that are delayed.
    WriteDelayPerMille = 20,
    /// Length of such a delay in milliseconds.
    WriteDelayMs = 21,
}

/// A counter of injected faults; the value is its index on the control page.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(usize)]
pub enum FaultCounter {
    /// Writes to regular files that failed or were shortened.
    FileWrite = FIRST_COUNTER_INDEX,
    /// Failed `fsync` and `fdatasync` calls.
    FileSync,
    /// Failed `ftruncate` calls.
    FileTruncate,
    /// Files that were not created, renamed or removed.
    DirectoryUpdate,
    /// Short reads from TCP sockets.
    ShortRead,
    /// Short writes to TCP sockets.
    ShortWrite,
    /// Failed `accept4` calls.
    Accept,
    /// Failed `socket` calls.
    Socket,
    /// Failed `connect` calls.
    Connect,
    /// Interrupted `epoll_wait` calls.
    WaitInterrupted,
    /// Calls that returned another error number in place of `ECONNRESET`.
    ConnectionReset,
    /// Delayed writes to TCP sockets.
    WriteDelay,
}

/// Error numbers that callers pass to [`ControlPage`].
pub use libc::{
    EADDRNOTAVAIL, ECONNABORTED, EHOSTUNREACH, EINTR, EIO, EMFILE, ENETUNREACH, ENFILE, ENOBUFS, ENOSPC,
    ETIMEDOUT,
};

/// The control page of the processes that are started with its [`environment`](ControlPage::environment).
#[derive(Debug)]
pub struct ControlPage {
    path: PathBuf,
    file: File,
}

impl ControlPage {
    /// Creates the file with all settings and counters at 0; an existing file is overwritten.
    pub fn new(path: &Path) -> io::Result<ControlPage> {
        let file = OpenOptions::new().read(true).write(true).create(true).truncate(true).open(path)?;
        file.write_all_at(&[0; PAGE_BYTES], 0)?;
        Ok(ControlPage { path: path.to_owned(), file })
    }

    /// Changes one setting. It applies from the next call of the process under test.
    pub fn set(&self, setting: Setting, value: i64) -> io::Result<()> {
        self.file.write_all_at(&value.to_ne_bytes(), (setting as usize * WORD_BYTES) as u64)
    }

    /// Makes a share of calls, in thousandths, fail with an error number.
    pub fn fail_share(&self, errno: (Setting, i32), per_mille: (Setting, i64)) -> io::Result<()> {
        self.set(errno.0, errno.1.into())?;
        self.set(per_mille.0, per_mille.1)
    }

    /// Makes file calls (write, sync, truncate, create, rename, remove) fail with this error number; 0 ends
    /// the failures. Half of the bytes of a failing write are written first.
    pub fn fail_files(&self, errno: i32) -> io::Result<()> {
        for setting in [
            Setting::FileWriteErrno,
            Setting::FileTruncateErrno,
            Setting::DirectoryUpdateErrno,
            Setting::FileSyncErrno,
        ] {
            self.set(setting, errno.into())?;
        }
        self.set(Setting::FilePartialWrite, 1)
    }

    /// Limits file faults to a window at the start of each period. A period of zero removes the limit.
    pub fn set_file_fault_windows(&self, window: Duration, period: Duration) -> io::Result<()> {
        self.set(Setting::FileFaultWindowMs, window.as_millis() as i64)?;
        self.set(Setting::FileFaultPeriodMs, period.as_millis() as i64)
    }

    /// Resets all settings, and with them the step of the wall clock. The counters keep their values.
    pub fn clear(&self) -> io::Result<()> {
        self.file.write_all_at(&[0; (Setting::WriteDelayMs as usize + 1) * WORD_BYTES], 0)
    }

    /// Number of injected faults of one kind; 0 if the page cannot be read.
    pub fn count(&self, counter: FaultCounter) -> u64 {
        let mut value = [0; WORD_BYTES];
        match self.file.read_exact_at(&mut value, (counter as usize * WORD_BYTES) as u64) {
            Ok(()) => u64::from_ne_bytes(value),
            Err(_) => 0,
        }
    }

    /// Environment variables that load the library into a process and name this control page.
    pub fn environment(&self, library: &Path) -> [(&'static str, PathBuf); 2] {
        [("LD_PRELOAD", library.to_owned()), (PAGE_PATH_VARIABLE, self.path.clone())]
    }
}

/// Path of the preload library. The first call in a process has cargo build it.
///
/// # Errors
/// If cargo cannot build the library.
pub fn build_preload_library() -> io::Result<&'static Path> {
    static LIBRARY: OnceLock<Result<PathBuf, String>> = OnceLock::new();
    let built = LIBRARY.get_or_init(|| build().map_err(|error| error.to_string()));
    built.as_deref().map_err(|message| io::Error::other(message.clone()))
}

fn build() -> io::Result<PathBuf> {
    let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let package = Path::new(env!("CARGO_MANIFEST_DIR")).join("../sailcart-shim-preload");
    let target = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../target/shim");
    let mut command = Command::new(cargo);
    command.args(["build", "--quiet", "--locked", "--target-dir"]).arg(&target).current_dir(package);
    if !command.status()?.success() {
        return Err(io::Error::other("cargo failed to build sailcart-shim-preload"));
    }
    target.join("debug/libsailcart_shim_preload.so").canonicalize()
}
