//! A folder of the operating system's.

use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Write};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

use crate::files::Files;

/// The name that other processes lock; never written to.
const LOCK: &str = "lock";

/// [`Files`] in a folder of the operating system.
pub struct Disk {
    folder: PathBuf,
    lock: Option<File>,
}

impl Disk {
    /// The files of a folder, which must be there.
    pub fn new(folder: &Path) -> Self {
        Disk { folder: folder.to_owned(), lock: None }
    }
}

impl Files for Disk {
    type File = File;

    fn lock(&mut self) -> io::Result<()> {
        let path = self.folder.join(LOCK);
        // One that is there is opened as it is, which a full disk allows.
        let lock = match OpenOptions::new().write(true).open(&path) {
            Err(fault) if fault.kind() == io::ErrorKind::NotFound => File::create(&path)?,
            other => other?,
        };
        match lock.try_lock() {
            Err(TryLockError::WouldBlock) => Err(io::ErrorKind::WouldBlock.into()),
            // A file system that knows no locks must do without.
            Ok(()) | Err(TryLockError::Error(_)) => {
                self.lock = Some(lock);
                Ok(())
            }
        }
    }

    fn list(&mut self) -> io::Result<Vec<(String, u64)>> {
        let mut all = Vec::new();
        for entry in fs::read_dir(&self.folder)? {
            let entry = entry?;
            let data = entry.metadata()?;
            if let (true, Ok(name)) = (data.is_file(), entry.file_name().into_string()) {
                all.push((name, data.len()));
            }
        }
        all.sort();
        Ok(all)
    }

    fn create(&mut self, name: &str) -> io::Result<File> {
        OpenOptions::new().read(true).append(true).create_new(true).open(self.folder.join(name))
    }

    fn open(&mut self, name: &str) -> io::Result<File> {
        OpenOptions::new().read(true).append(true).open(self.folder.join(name))
    }

    fn read_at(&mut self, file: &File, offset: u64, into: &mut [u8]) -> io::Result<usize> {
        file.read_at(into, offset)
    }

    fn append(&mut self, file: &mut File, bytes: &[u8]) -> io::Result<usize> {
        file.write(bytes)
    }

    fn truncate(&mut self, file: &mut File, length: u64) -> io::Result<()> {
        file.set_len(length)
    }

    fn sync(&mut self, file: &File) -> io::Result<()> {
        file.sync_data()
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        File::open(&self.folder)?.sync_all()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.folder.join(from), self.folder.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        fs::remove_file(self.folder.join(name))
    }
}
