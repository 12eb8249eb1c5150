//! The files of a folder that is seldom used: none of them stays open between two operations, so that they take no file
//! descriptors from connections.

use std::io;
use std::path::Path;

use sailcart_store::{Disk, Files};

/// [`Files`] that opens a file for each operation. The folder is not locked: whoever uses it must be the only one.
pub struct ClosedFiles {
    disk: Disk,
}

impl ClosedFiles {
    /// Accesses the files of a folder, which must exist.
    pub fn new(folder: &Path) -> Self {
        ClosedFiles { disk: Disk::new(folder) }
    }
}

impl Files for ClosedFiles {
    /// The name of the file.
    type File = String;

    fn lock(&mut self) -> io::Result<()> {
        Ok(())
    }

    fn list(&mut self) -> io::Result<Vec<(String, u64)>> {
        self.disk.list()
    }

    fn create(&mut self, name: &str) -> io::Result<String> {
        self.disk.create(name).map(|_| name.to_owned())
    }

    fn open(&mut self, name: &str) -> io::Result<String> {
        self.disk.open(name).map(|_| name.to_owned())
    }

    fn read_at(&mut self, file: &String, offset: u64, buffer: &mut [u8]) -> io::Result<usize> {
        let opened = self.disk.open(file)?;
        self.disk.read_at(&opened, offset, buffer)
    }

    fn append(&mut self, file: &mut String, bytes: &[u8]) -> io::Result<usize> {
        let mut opened = self.disk.open(file)?;
        self.disk.append(&mut opened, bytes)
    }

    fn truncate(&mut self, file: &mut String, length: u64) -> io::Result<()> {
        let mut opened = self.disk.open(file)?;
        self.disk.truncate(&mut opened, length)
    }

    fn sync(&mut self, file: &String) -> io::Result<()> {
        let opened = self.disk.open(file)?;
        self.disk.sync(&opened)
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        self.disk.sync_folder()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.disk.rename(from, to)
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.disk.remove(name)
    }
}
