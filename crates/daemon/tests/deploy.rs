//! The platform's requirements on `build` and `run` in the deploy file, checked on their text and on the process that `run`
//! starts.
#[path = "../../../tests/common/mod.rs"]
mod common;
use common::sockets::{Daemon, Log, echo, rpc};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

const PROGRAM: &str = env!("CARGO_BIN_EXE_birchhubd");

/// Returns the values of the deploy file that are strings, by key.
fn deploy_file() -> BTreeMap<String, String> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/balancer.toml");
    let text = std::fs::read_to_string(path).expect("the deploy file");
    let pair = |line: &str| {
        let (key, rest) = line.split_once(" = \"")?;
        Some((key.to_owned(), rest.split('"').next()?.to_owned()))
    };
    text.lines().filter_map(pair).collect()
}

/// Whether an ELF program names a dynamic loader. The platform loads a library into the process, which has no effect on a
/// statically linked program.
fn names_dynamic_loader(program: &[u8]) -> bool {
    /// Type `PT_INTERP` of a program header.
    const INTERPRETER: usize = 3;
    let number = |at: usize, bytes: usize| {
        let bytes = program[at..at + bytes].iter().rev();
        bytes.fold(0, |sum, byte| sum << 8 | u64::from(*byte)) as usize
    };
    // Offset, entry size and length of the program header table, by the ELF header.
    let table = number(32, 8);
    let entry_size = number(54, 2);
    let entries = number(56, 2);
    (0..entries).any(|entry| number(table + entry * entry_size, 4) == INTERPRETER)
}

/// No shell may remain between the platform and the proxy, and `run` must name the program that `build` produces.
#[test]
fn run_is_one_exec_of_the_built_program() {
    let deploy = deploy_file();
    let words: Vec<_> = deploy["run"].split(' ').collect();
    assert_eq!(words, ["exec", "target/release/birchhubd"]);
    let build: Vec<_> = deploy["build"].split(' ').collect();
    assert_eq!(build[..3], ["cargo", "build", "--release"]);
    assert!(
        build.contains(&"--locked"),
        "what is built must be what was tested"
    );
}

/// The platform allows one process with any number of threads.
fn assert_no_children(process: &Path) {
    for thread in std::fs::read_dir(process.join("task")).expect("its threads") {
        let children = thread.expect("a thread").path().join("children");
        // Not every kernel has the file.
        let children = std::fs::read_to_string(children).unwrap_or_default();
        assert_eq!(children, "", "it has started another program");
    }
}

fn assert_no_io_uring(process: &Path) {
    for file in std::fs::read_dir(process.join("fd")).expect("its descriptors") {
        let Ok(target) = std::fs::read_link(file.expect("a descriptor").path()) else {
            continue;
        };
        let target = target.to_string_lossy();
        assert!(!target.contains("io_uring"), "{target} is open");
    }
}

#[test]
fn the_proxy_is_one_dynamically_linked_process() {
    assert!(names_dynamic_loader(
        &std::fs::read(PROGRAM).expect("the program")
    ));
    let log = Log::new(Vec::new());
    let daemon = Daemon::start(PROGRAM, &[("s-a", echo("a", &log))]);
    for n in 0..20 {
        let answer = daemon
            .client()
            .call(&rpc("GET", "/read", &format!("r{n}"), ""))
            .expect("an answer");
        assert_eq!(answer.status(), 200);
    }
    let process = PathBuf::from(format!("/proc/{}", daemon.child.id()));
    let program = std::fs::read_link(process.join("exe")).expect("its program");
    let expected = std::fs::canonicalize(PROGRAM).expect("the program");
    assert_eq!(program, expected);
    assert_no_children(&process);
    assert_no_io_uring(&process);
}
