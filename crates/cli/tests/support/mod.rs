//! Helpers of the tests that run `birchhub`.
use std::path::PathBuf;
use std::process::{Command, Output};

/// A temporary folder of one test, which is removed when it is dropped.
pub(crate) struct Folder(PathBuf);

impl Folder {
    /// Creates a folder; `name` is unique in the test program.
    pub(crate) fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("birchhub-cli-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a folder");
        Self(path)
    }

    /// The path of a file in the folder, as an argument.
    pub(crate) fn path(&self, name: &str) -> String {
        self.0.join(name).display().to_string()
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Runs `birchhub` and waits for its end.
pub(crate) fn birchhub(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_birchhub"))
        .args(arguments)
        .output()
        .expect("birchhub")
}

/// The exit code, standard output and standard error of a process.
pub(crate) fn result_of(output: &Output) -> (i32, String, String) {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (
        output.status.code().unwrap_or(-1),
        text(&output.stdout),
        text(&output.stderr),
    )
}
