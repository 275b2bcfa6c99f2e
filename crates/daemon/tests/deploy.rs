//! What the platform's page asks of `build` and `run` in the deploy file, seen on the text of both and on the
//! process that `run` ends in.
#[path = "../../../tests/common/mod.rs"]
mod common;
use common::sockets::{Daemon, Log, echo, rpc};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

const PROGRAM: &str = env!("CARGO_BIN_EXE_birchhubd");

/// The deploy file's keys that are texts.
fn deploy() -> BTreeMap<String, String> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/balancer.toml");
    let text = std::fs::read_to_string(path).expect("the deploy file");
    let pair = |line: &str| {
        let (key, rest) = line.split_once(" = \"")?;
        Some((key.to_owned(), rest.split('"').next()?.to_owned()))
    };
    text.lines().filter_map(pair).collect()
}

/// A library that the platform loads into the process finds nothing to take hold of in a static one.
fn names_the_loader(program: &[u8]) -> bool {
    let number = |at: usize, bytes: usize| {
        program[at..at + bytes]
            .iter()
            .rev()
            .fold(0, |sum, byte| sum << 8 | u64::from(*byte)) as usize
    };
    let (table, each, count) = (number(32, 8), number(54, 2), number(56, 2));
    const INTERPRETER: usize = 3;
    (0..count).any(|n| number(table + n * each, 4) == INTERPRETER)
}

/// Guards against a shell that stays between the platform and the proxy, and against a run line that names what the
/// build line does not make.
#[test]
fn run_is_one_exec_of_what_build_makes() {
    let deploy = deploy();
    let words: Vec<_> = deploy["run"].split(' ').collect();
    assert_eq!(words, ["exec", "target/release/birchhubd"]);
    let build: Vec<_> = deploy["build"].split(' ').collect();
    assert_eq!(build[..3], ["cargo", "build", "--release"]);
    assert!(
        build.contains(&"--locked"),
        "what is built must be what was tested"
    );
}

/// Guards against programs started on the side, and static linking: the platform allows one process of any number of
/// threads, and comes in by the dynamic loader.
#[test]
fn the_proxy_is_one_process_that_the_loader_loads() {
    assert!(names_the_loader(
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
    let own = PathBuf::from(format!("/proc/{}", daemon.child.id()));
    let runs = std::fs::read_link(own.join("exe")).expect("what it runs");
    assert_eq!(runs, std::fs::canonicalize(PROGRAM).expect("the program"));
    for thread in std::fs::read_dir(own.join("task")).expect("its threads") {
        let children = thread.expect("a thread").path().join("children");
        // Not every kernel tells; the calls of a whole run are counted on the operators' bench.
        let children = std::fs::read_to_string(children).unwrap_or_default();
        assert_eq!(children, "", "it has started another program");
    }
    for file in std::fs::read_dir(own.join("fd")).expect("its descriptors") {
        let Ok(stands) = std::fs::read_link(file.expect("a descriptor").path()) else {
            continue;
        };
        assert!(
            !stands.to_string_lossy().contains("io_uring"),
            "{} is open",
            stands.display()
        );
    }
}
