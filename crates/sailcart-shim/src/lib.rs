//! The control page of the fault-injecting shim: a file of [`PAGE_BYTES`] that a test or the laboratory writes and that the library
//! `sailcart-shim-preload`, loaded into the process under test, maps. Faults are switched on and off while that process runs.
//!
//! Only failures that the calls' man pages document, in states in which the kernel could return them, can be asked for.

use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;
use std::time::Duration;

/// The size of the control page.
pub const PAGE_BYTES: usize = 4096;
/// The environment variable that names the control page's file.
pub const VARIABLE: &str = "SAILCART_SHIM";
/// Bytes of one word.
const WORD_BYTES: usize = 8;
/// The first of the words in which the library counts the faults that it caused.
const FIRST_COUNT: usize = 64;

/// A kind of fault, with the words that set it. `PerMille` words hold the share of calls that fail, in thousandths.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(usize)]
pub enum Word {
    /// Seed of the library's random numbers.
    Seed = 0,
    /// Error number with which writes to regular files fail; 0 for none.
    FileWrite = 1,
    /// Other than 0: half of the bytes are written before a write fails.
    FileWriteHalf = 2,
    /// Error number with which `fsync` and `fdatasync` fail.
    FileSync = 3,
    /// Error number with which `ftruncate` of a regular file fails.
    FileTruncate = 4,
    /// Error number with which files are not created, renamed or removed.
    FileNames = 5,
    /// Milliseconds from one window of file faults to the next; 0: they last.
    FilePeriod = 6,
    /// Milliseconds of each period in which files fail.
    FileWindow = 7,
    /// Of reads from TCP sockets: cut short.
    ReadCut = 8,
    /// The most bytes of a read that is cut short.
    ReadCutMost = 9,
    /// Of writes to TCP sockets: cut short.
    WriteCut = 10,
    /// Error number with which `accept4` fails, and the share of calls.
    Accept = 11,
    AcceptPerMille = 12,
    /// Error number with which `socket` fails for TCP, and the share of calls.
    Socket = 13,
    SocketPerMille = 14,
    /// Error number with which `connect` fails for TCP, and the share of calls.
    Connect = 15,
    ConnectPerMille = 16,
    /// Of waits in `epoll_wait`: interrupted.
    WaitInterrupted = 17,
    /// Error number that broken connections show in place of `ECONNRESET`.
    Broken = 18,
    /// Milliseconds by which the wall clock is stepped, as a signed number.
    WallStep = 19,
    /// Of writes to TCP sockets: held up before they are carried out.
    Delay = 20,
    /// For how many milliseconds.
    DelayMs = 21,
}

/// What the library counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(usize)]
pub enum Count {
    FileWrite = FIRST_COUNT,
    FileSync,
    FileTruncate,
    FileNames,
    ReadCut,
    WriteCut,
    Accept,
    Socket,
    Connect,
    WaitInterrupted,
    Broken,
    Delay,
}

/// Error numbers that callers ask for.
pub use libc::{
    EADDRNOTAVAIL, ECONNABORTED, EHOSTUNREACH, EINTR, EIO, EMFILE, ENETUNREACH, ENFILE, ENOBUFS, ENOSPC,
    ETIMEDOUT,
};

/// A control page, and the commands that run under it.
#[derive(Debug)]
pub struct Page {
    path: PathBuf,
    file: File,
}

impl Page {
    /// A new page without faults.
    pub fn new(path: &Path) -> io::Result<Page> {
        let file = OpenOptions::new().read(true).write(true).create(true).truncate(true).open(path)?;
        file.write_all_at(&[0; PAGE_BYTES], 0)?;
        Ok(Page { path: path.to_owned(), file })
    }

    /// Sets one word; it counts from the process's next call on.
    pub fn set(&self, word: Word, value: i64) -> io::Result<()> {
        self.file.write_all_at(&value.to_ne_bytes(), (word as usize * WORD_BYTES) as u64)
    }

    /// Sets a share of calls, in thousandths, and the error number with which they fail.
    pub fn share(&self, errno: (Word, i32), per_mille: (Word, i64)) -> io::Result<()> {
        self.set(errno.0, errno.1.into())?;
        self.set(per_mille.0, per_mille.1)
    }

    /// Writes, cuts and names of files fail with this error number, after half of a write's bytes went down; 0 mends them.
    pub fn files_fail(&self, errno: i32) -> io::Result<()> {
        for word in [Word::FileWrite, Word::FileTruncate, Word::FileNames, Word::FileSync] {
            self.set(word, errno.into())?;
        }
        self.set(Word::FileWriteHalf, 1)
    }

    /// File faults come in windows of one length, in each period of another.
    pub fn windows(&self, window: Duration, period: Duration) -> io::Result<()> {
        self.set(Word::FileWindow, window.as_millis() as i64)?;
        self.set(Word::FilePeriod, period.as_millis() as i64)
    }

    /// No faults; the wall clock as it is.
    pub fn clear(&self) -> io::Result<()> {
        self.file.write_all_at(&[0; (Word::DelayMs as usize + 1) * WORD_BYTES], 0)
    }

    /// How many faults of a kind the library has caused.
    pub fn count(&self, count: Count) -> u64 {
        let mut word = [0; WORD_BYTES];
        match self.file.read_exact_at(&mut word, (count as usize * WORD_BYTES) as u64) {
            Ok(()) => u64::from_ne_bytes(word),
            Err(_) => 0,
        }
    }

    /// The variables under which a process is started so that it runs under this page.
    pub fn environment(&self, library: &Path) -> [(&'static str, PathBuf); 2] {
        [("LD_PRELOAD", library.to_owned()), (VARIABLE, self.path.clone())]
    }
}

/// The library, built by cargo where it is not there yet.
///
/// # Errors
/// Where cargo cannot build it.
pub fn library() -> io::Result<&'static Path> {
    static LIBRARY: OnceLock<Result<PathBuf, String>> = OnceLock::new();
    let built = LIBRARY.get_or_init(|| build().map_err(|fault| fault.to_string()));
    built.as_deref().map_err(|words| io::Error::other(words.clone()))
}

fn build() -> io::Result<PathBuf> {
    let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let package = Path::new(env!("CARGO_MANIFEST_DIR")).join("../sailcart-shim-preload");
    let target = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../target/shim");
    let mut command = Command::new(cargo);
    command.args(["build", "--quiet", "--locked", "--target-dir"]).arg(&target).current_dir(package);
    if !command.status()?.success() {
        return Err(io::Error::other("cargo did not build sailcart-shim-preload"));
    }
    target.join("debug/libsailcart_shim_preload.so").canonicalize()
}
