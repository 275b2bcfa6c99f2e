//! Helpers for tests that start birchhubd themselves: signals, temporary folders and failed starts.
use std::path::{Path, PathBuf};
use std::process::{Child, Command};

/// Sends a signal, given by its name without `SIG`.
pub(crate) fn send_signal(process: &Child, name: &str) {
    let kill = format!("kill -{name} {}", process.id());
    assert!(
        Command::new("sh")
            .args(["-c", &kill])
            .status()
            .expect("a shell")
            .success()
    );
}

/// Returns the number of descriptors that a process has open.
pub(crate) fn open_descriptors(process: &Child) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", process.id()))
        .expect("its descriptors")
        .count()
}

/// A folder of one test, removed when dropped.
pub(crate) struct TestFolder(PathBuf);

impl TestFolder {
    /// Creates the folder. `name` distinguishes it from those of other tests of the same program.
    pub(crate) fn new(name: &str) -> Self {
        let folder = std::env::temp_dir().join(format!("birchhubd-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        Self(folder)
    }

    pub(crate) fn path(&self) -> &Path {
        &self.0
    }

    /// Writes a configuration file and returns its path.
    pub(crate) fn write_config(&self, text: &str) -> PathBuf {
        let path = self.0.join("config.json");
        std::fs::write(&path, text).expect("a file");
        path
    }
}

impl Drop for TestFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Exit code and error output of a program that failed to start.
#[derive(Debug, PartialEq)]
pub(crate) struct FailedStart {
    pub exit_code: Option<i32>,
    /// Text on standard error.
    pub error: String,
}

impl FailedStart {
    /// Runs a program until it exits.
    pub(crate) fn of(command: &mut Command) -> Self {
        let output = command.output().expect("birchhubd");
        Self {
            exit_code: output.status.code(),
            error: String::from_utf8(output.stderr).expect("a text"),
        }
    }

    /// Checks that the program exited with the code of a failed start after it had printed one line to standard error.
    pub(crate) fn assert_one_line(&self) {
        assert_eq!(self.exit_code, Some(2), "{self:?}");
        assert_eq!(self.error.lines().count(), 1, "{self:?}");
    }
}
