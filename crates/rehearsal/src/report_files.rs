//! The report files of a rehearsal.
use crate::error::RehearsalError;
use crate::page;
use crate::report::Report;
use birchhub_audit::{Entry, Header};
use std::path::Path;

impl Report {
    /// Writes `report.json` and `report.html` into a folder.
    ///
    /// # Errors
    ///
    /// Returns [`RehearsalError::Io`] if a file can't be written.
    pub fn write(
        &self,
        header: &Header,
        entries: &[Entry],
        out: &Path,
    ) -> Result<(), RehearsalError> {
        let write = |name: &str, text: String| {
            let path = out.join(name);
            std::fs::write(&path, text).map_err(RehearsalError::io(&path))
        };
        write("report.json", self.json() + "\n")?;
        write("report.html", page::render(self, header, entries))
    }
}
