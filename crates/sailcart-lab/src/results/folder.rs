//! Reads and writes the folder of a result: `result.json` for programs and `report.html` for people.

use std::path::Path;
use std::{fs, io};

use super::outcome::{Outcome, VERSION};
use super::report;

impl Outcome {
    /// Reads `result.json` in the folder.
    ///
    /// # Errors
    /// [`io::ErrorKind::InvalidData`] if the file cannot be parsed or its version is not [`VERSION`], else
    /// the error of the file system.
    pub fn read(folder: &Path) -> io::Result<Outcome> {
        let path = folder.join("result.json");
        let text = fs::read_to_string(&path)?;
        let invalid_data = |message: String| io::Error::new(io::ErrorKind::InvalidData, message);
        let outcome: Outcome =
            serde_json::from_str(&text).map_err(|e| invalid_data(format!("{}: {e}", path.display())))?;
        if outcome.version != VERSION {
            let message =
                format!("{}: result version {}, expected {VERSION}", path.display(), outcome.version);
            return Err(invalid_data(message));
        }
        Ok(outcome)
    }

    /// Writes `result.json` and `report.html` into the folder, which is created if needed.
    ///
    /// # Errors
    /// The error of the file system.
    pub fn write(&self, folder: &Path) -> io::Result<()> {
        fs::create_dir_all(folder)?;
        let mut text = serde_json::to_string_pretty(self)?;
        text.push('\n');
        fs::write(folder.join("result.json"), text)?;
        fs::write(folder.join("report.html"), report::render_page(self))
    }
}
