//! What the platform requires of `build` and `run` in the deploy file. The tests check the text of these entries and
//! the process that `run` starts.
#[path = "../../../tests/common/mod.rs"]
mod common;
use common::sockets::{Daemon, Log, echo, rpc};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

const PROGRAM: &str = env!("CARGO_BIN_EXE_birchhubd");

/// Returns the string values of the deploy file by key.
fn deploy_file() -> BTreeMap<String, String> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/balancer.toml");
    let text = std::fs::read_to_string(path).expect("the deploy file");
    let string_entry = |line: &str| {
        let (key, rest) = line.split_once(" = \"")?;
        Some((key.to_owned(), rest.split('"').next()?.to_owned()))
    };
    text.lines().filter_map(string_entry).collect()
}

/// Returns whether an ELF program names a dynamic loader. The platform preloads a library into the process, which would
/// have no effect on a statically linked program.
fn names_dynamic_loader(program: &[u8]) -> bool {
    /// Type of the program header that names the dynamic loader.
    const PT_INTERP: usize = 3;
    let read_integer = |offset: usize, length: usize| {
        let bytes = program[offset..offset + length].iter().rev();
        bytes.fold(0, |sum, byte| sum << 8 | u64::from(*byte)) as usize
    };
    // The ELF header holds the offset, the entry size and the number of entries of the program header table.
    let table_offset = read_integer(32, 8);
    let entry_size = read_integer(54, 2);
    let entries = read_integer(56, 2);
    (0..entries).any(|entry| read_integer(table_offset + entry * entry_size, 4) == PT_INTERP)
}

/// With `exec` no shell remains between the platform and the proxy. The program must be the one that `build` produces.
#[test]
fn run_is_one_exec_of_the_built_program() {
    let deploy_values = deploy_file();
    let run_words: Vec<_> = deploy_values["run"].split(' ').collect();
    assert_eq!(run_words, ["exec", "target/release/birchhubd"]);
    let build_words: Vec<_> = deploy_values["build"].split(' ').collect();
    assert_eq!(build_words[..3], ["cargo", "build", "--release"]);
    assert!(
        build_words.contains(&"--locked"),
        "the build must use the dependency versions that were tested"
    );
}

/// The platform permits one process, with any number of threads.
fn assert_no_children(process: &Path) {
    for thread in std::fs::read_dir(process.join("task")).expect("its threads") {
        let children = thread.expect("a thread").path().join("children");
        // Only kernels with CONFIG_PROC_CHILDREN have this file.
        let children = std::fs::read_to_string(children).unwrap_or_default();
        assert_eq!(children, "", "the proxy has started another process");
    }
}

fn assert_no_io_uring(process: &Path) {
    for descriptor in std::fs::read_dir(process.join("fd")).expect("its descriptors") {
        let Ok(target) = std::fs::read_link(descriptor.expect("a descriptor").path()) else {
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
        let response = daemon
            .client()
            .call(&rpc("GET", "/read", &format!("r{n}"), ""))
            .expect("a response");
        assert_eq!(response.status(), 200);
    }
    let process = PathBuf::from(format!("/proc/{}", daemon.child.id()));
    let program = std::fs::read_link(process.join("exe")).expect("its program");
    let expected = std::fs::canonicalize(PROGRAM).expect("the program");
    assert_eq!(program, expected);
    assert_no_children(&process);
    assert_no_io_uring(&process);
}
