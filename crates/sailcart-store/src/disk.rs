//! The store's files in a folder of the operating system.

use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Write};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

use crate::files::Files;

/// The file that a process locks to own the folder. Nothing is ever written to it.
const LOCK_FILE: &str = "lock";

/// [`Files`] in a folder of the operating system, locked through a lock file.
pub struct Disk {
    folder: PathBuf,
    lock: Option<File>,
}

impl Disk {
    /// Accesses the files of a folder, which must exist.
    pub fn new(folder: &Path) -> Self {
        Disk { folder: folder.to_owned(), lock: None }
    }
}

impl Files for Disk {
    type File = File;

    fn lock(&mut self) -> io::Result<()> {
        let path = self.folder.join(LOCK_FILE);
        // An existing lock file is only opened, which also works on a full disk.
        let lock = match OpenOptions::new().write(true).open(&path) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => File::create(&path)?,
            other => other?,
        };
        match lock.try_lock() {
            Err(TryLockError::WouldBlock) => Err(io::ErrorKind::WouldBlock.into()),
            // On a file system without lock support the folder stays unlocked.
            Ok(()) | Err(TryLockError::Error(_)) => {
                self.lock = Some(lock);
                Ok(())
            }
        }
    }

    fn list(&mut self) -> io::Result<Vec<(String, u64)>> {
        let mut listing = Vec::new();
        for entry in fs::read_dir(&self.folder)? {
            let entry = entry?;
            let metadata = entry.metadata()?;
            if let (true, Ok(name)) = (metadata.is_file(), entry.file_name().into_string()) {
                listing.push((name, metadata.len()));
            }
        }
        listing.sort();
        Ok(listing)
    }

    fn create(&mut self, name: &str) -> io::Result<File> {
        OpenOptions::new().read(true).append(true).create_new(true).open(self.folder.join(name))
    }

    fn open(&mut self, name: &str) -> io::Result<File> {
        OpenOptions::new().read(true).append(true).open(self.folder.join(name))
    }

    fn read_at(&mut self, file: &File, offset: u64, buffer: &mut [u8]) -> io::Result<usize> {
        file.read_at(buffer, offset)
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
