//! The file operations that the store needs, as a trait, so that tests can replace the folder by one that
//! injects failures.

use std::io;

/// The files of one folder. Names are plain file names in that folder.
pub trait Files {
    /// An open file.
    type File;

    /// Locks the folder against other processes for the lifetime of `self`. Returns
    /// [`io::ErrorKind::WouldBlock`] if another process holds the lock.
    fn lock(&mut self) -> io::Result<()>;
    /// Every file with its length in bytes.
    fn list(&mut self) -> io::Result<Vec<(String, u64)>>;
    /// Creates an empty file, which must not exist yet.
    fn create(&mut self, name: &str) -> io::Result<Self::File>;
    /// Opens an existing file for reading and appending.
    fn open(&mut self, name: &str) -> io::Result<Self::File>;
    /// Reads at an offset and returns the number of bytes read, which may be fewer than asked for; 0 at the
    /// end.
    fn read_at(&mut self, file: &Self::File, offset: u64, buffer: &mut [u8]) -> io::Result<usize>;
    /// Appends to the file and returns the number of bytes written, which may be fewer than given.
    fn append(&mut self, file: &mut Self::File, bytes: &[u8]) -> io::Result<usize>;
    /// Truncates a file to a length in bytes.
    fn truncate(&mut self, file: &mut Self::File, length: u64) -> io::Result<()>;
    /// Makes the contents of the file durable: they survive a power loss.
    fn sync(&mut self, file: &Self::File) -> io::Result<()>;
    /// Makes the folder's entries durable: created, renamed and removed files stay so after a power loss.
    fn sync_folder(&mut self) -> io::Result<()>;
    /// Atomically replaces one file by another.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file.
    fn remove(&mut self, name: &str) -> io::Result<()>;
}

/// Appends all bytes, in several calls if necessary.
pub(crate) fn append_all<F: Files>(files: &mut F, file: &mut F::File, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        match files.append(file, bytes) {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(written) => bytes = &bytes[written..],
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

/// Reads until the buffer is full or the file ends, and returns the number of bytes read.
pub(crate) fn read_available<F: Files>(
    files: &mut F,
    file: &F::File,
    offset: u64,
    buffer: &mut [u8],
) -> io::Result<usize> {
    let mut filled = 0;
    while filled < buffer.len() {
        match files.read_at(file, offset + filled as u64, &mut buffer[filled..]) {
            Ok(0) => break,
            Ok(read) => filled += read,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
    Ok(filled)
}
