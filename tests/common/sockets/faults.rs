//! Runs programs with injected faults of system calls and of the wall clock, or with a limit on file descriptors.
use std::fs::Permissions;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Returns the path of the library that injects faults when it is preloaded. It is built on first use, because cargo
/// doesn't build it for the tests of another package.
pub(crate) fn fault_shim() -> &'static Path {
    static SHIM: OnceLock<PathBuf> = OnceLock::new();
    SHIM.get_or_init(|| {
        let cargo = std::env::var_os("CARGO").expect("cargo runs the tests");
        let built = Command::new(cargo)
            .args(["build", "--locked", "--offline", "--quiet"])
            .args(["--package", "birchhub-fault-shim"])
            .status();
        assert!(
            built.expect("cargo").success(),
            "the fault shim does not build"
        );
        // The program of a test is in `deps` of the target folder.
        let program = std::env::current_exe().expect("a path");
        let folder = program.ancestors().nth(2).expect("a target folder");
        folder.join("libbirchhub_fault_shim.so")
    })
}

/// Writes a script that runs the program with these faults, in the syntax of `birchhub-fault-shim`, and returns its path.
pub(crate) fn with_faults(program: &str, faults: &str) -> String {
    let shim = fault_shim().display();
    write_script(&format!(
        "export BIRCHHUB_FAULTS='{faults}'\nLD_PRELOAD='{shim}' exec {program} \"$@\"\n"
    ))
}

/// Writes a script that runs the program with this limit on file descriptors, and returns its path.
pub(crate) fn with_descriptor_limit(program: &str, descriptors: u64) -> String {
    write_script(&format!("ulimit -n {descriptors}\nexec {program} \"$@\"\n"))
}

/// Writes an executable shell script, and returns its path.
fn write_script(commands: &str) -> String {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let name = format!("birchhubd-script-{}-{number}", std::process::id());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, format!("#!/bin/sh\n{commands}")).expect("a file");
    std::fs::set_permissions(&path, Permissions::from_mode(0o755)).expect("a program");
    path.to_str().expect("a path").to_owned()
}
