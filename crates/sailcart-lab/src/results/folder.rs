//! A result's folder: `result.json`, which programs read, and `report.html`, which people do.

use std::path::Path;
use std::{fs, io};

use super::outcome::{Outcome, VERSION};
use super::report;

impl Outcome {
    /// Reads a folder's result.
    ///
    /// # Errors
    /// [`io::ErrorKind::InvalidData`] for one that cannot be read or is of another [`VERSION`], and what the file
    /// system tells.
    pub fn read(folder: &Path) -> io::Result<Outcome> {
        let path = folder.join("result.json");
        let text = fs::read_to_string(&path)?;
        let wrong = |words: String| io::Error::new(io::ErrorKind::InvalidData, words);
        let outcome: Outcome =
            serde_json::from_str(&text).map_err(|e| wrong(format!("{}: {e}", path.display())))?;
        if outcome.version != VERSION {
            let words = format!("{}: version {}, expected {VERSION}", path.display(), outcome.version);
            return Err(wrong(words));
        }
        Ok(outcome)
    }

    /// Writes a result and its report into a folder, which is made where it is not there.
    ///
    /// # Errors
    /// What the file system tells.
    pub fn write(&self, folder: &Path) -> io::Result<()> {
        fs::create_dir_all(folder)?;
        let mut text = serde_json::to_string_pretty(self)?;
        text.push('\n');
        fs::write(folder.join("result.json"), text)?;
        fs::write(folder.join("report.html"), report::page(self))
    }
}
