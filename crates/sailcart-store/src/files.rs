//! All file work, so that tests can put a folder in its place that fails on purpose.

use std::io;

/// One folder. Names are plain file names in it.
pub trait Files {
    /// An open file.
    type File;

    /// Keeps other processes out for as long as `self` lives; [`io::ErrorKind::WouldBlock`] if one is in.
    fn lock(&mut self) -> io::Result<()>;
    /// Every file, with its length.
    fn list(&mut self) -> io::Result<Vec<(String, u64)>>;
    /// A new, empty file, which must not be there yet.
    fn create(&mut self, name: &str) -> io::Result<Self::File>;
    /// An existing file, to be read and appended to.
    fn open(&mut self, name: &str) -> io::Result<Self::File>;
    /// Reads at an offset; perhaps only a first part, whose length it tells, and 0 at the end.
    fn read_at(&mut self, file: &Self::File, offset: u64, into: &mut [u8]) -> io::Result<usize>;
    /// Writes at the end; perhaps only a first part, whose length it tells.
    fn append(&mut self, file: &mut Self::File, bytes: &[u8]) -> io::Result<usize>;
    /// Cuts a file to a length.
    fn truncate(&mut self, file: &mut Self::File, length: u64) -> io::Result<()>;
    /// What was written to the file outlives the power.
    fn sync(&mut self, file: &Self::File) -> io::Result<()>;
    /// Which files there are outlives the power.
    fn sync_folder(&mut self) -> io::Result<()>;
    /// Puts one file in the place of another, as one step.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file.
    fn remove(&mut self, name: &str) -> io::Result<()>;
}

/// Writes all, in as many parts as it takes.
pub(crate) fn append_all<F: Files>(files: &mut F, file: &mut F::File, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        match files.append(file, bytes) {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(written) => bytes = &bytes[written..],
            Err(fault) if fault.kind() == io::ErrorKind::Interrupted => {}
            Err(fault) => return Err(fault),
        }
    }
    Ok(())
}

/// Reads as much as there is, up to the length asked for.
pub(crate) fn read_most<F: Files>(
    files: &mut F,
    file: &F::File,
    offset: u64,
    into: &mut [u8],
) -> io::Result<usize> {
    let mut read = 0;
    while read < into.len() {
        match files.read_at(file, offset + read as u64, &mut into[read..]) {
            Ok(0) => break,
            Ok(more) => read += more,
            Err(fault) if fault.kind() == io::ErrorKind::Interrupted => {}
            Err(fault) => return Err(fault),
        }
    }
    Ok(read)
}
