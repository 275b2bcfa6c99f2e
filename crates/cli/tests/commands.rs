//! The command line: verdicts as exit codes, errors that name place and value, and a clean end on Ctrl-C.
mod support;

use std::path::Path;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};
use support::{Folder, birchhub, result_of};

const SHORT: &str = r#"
name = "short"
about = "For the tests of the command line."
length = "LENGTH"

[rules]
slack = "1500ms"
kit-late = "60s"

[fleet]
zones = ["z"]

[[fleet.machine]]
name = "m"
count = 2
cores = 2

[[method]]
name = "status"
kind = "idempotent"
work = "10ms"
target = "500ms"
deadline = "1s"

[proxies]
count = 2

[traffic]
rate = 50
"#;

/// Writes a short scenario of a length into the folder of a test. Returns its path.
fn write_scenario(folder: &Folder, length: &str) -> String {
    let path = folder.path("short.toml");
    std::fs::write(&path, SHORT.replace("LENGTH", length)).expect("a file");
    path
}

/// The daemon beside the command line: `cargo test --workspace` builds both.
fn has_daemon() {
    let daemon = Path::new(env!("CARGO_BIN_EXE_birchhub")).with_file_name("birchhubd");
    assert!(
        daemon.is_file(),
        "birchhubd is not built: run `cargo test --workspace`"
    );
}

#[test]
fn a_rehearsal_ends_with_its_verdict_and_its_ledger_can_be_read() {
    has_daemon();
    let folder = Folder::new("run");
    let (scenario, out) = (write_scenario(&folder, "2s"), folder.path("out"));
    let (code, text, _) = result_of(&birchhub(&[
        "rehearse", &scenario, "--quiet", "--out", &out, "--seed", "4",
    ]));
    assert_eq!(code, 0, "{text}");
    assert!(text.starts_with("PASS  short (seed 4, plan "), "{text}");
    for name in [
        "ledger",
        "report.json",
        "report.html",
        "proxy-0.log",
        "proxy-1.log",
    ] {
        assert!(Path::new(&out).join(name).is_file(), "{name} is missing");
    }
    let page = std::fs::read_to_string(Path::new(&out).join("report.html")).expect("a page");
    assert!(
        page.contains("</html>") && !page.contains("http://") && !page.contains("https://"),
        "not self-contained"
    );
    let ledger = format!("{out}/ledger");
    let (code, again, _) = result_of(&birchhub(&["audit", &ledger]));
    assert_eq!((code, again.lines().next()), (0, text.lines().next()));
    let (code, life, _) = result_of(&birchhub(&["ledger", "show", &ledger, "--rpc", "7"]));
    assert!(
        code == 0
            && life.contains("rpc 7 due: status")
            && life.trim_end().ends_with("answered: Ok"),
        "{life}"
    );
    let (code, _, fault) = result_of(&birchhub(&["ledger", "show", &ledger, "--rpc", "123456"]));
    assert!(
        code == 64 && fault.contains("there is no RPC 123456"),
        "{fault}"
    );
}

#[test]
fn bad_input_is_named_and_exits_with_64() {
    let folder = Folder::new("bad");
    let scenario = write_scenario(&folder, "2 parsecs");
    let out = folder.path("out");
    let good = Folder::new("good");
    let fine = write_scenario(&good, "2s");
    for (arguments, expected) in [
        (
            vec!["rehearse", &scenario],
            "short.toml:4: length: \"2 parsecs\" is not a time with its unit",
        ),
        (vec!["scenario", "check", &scenario], "short.toml:4: length"),
        (vec!["scenario", "check", "no-such"], "no-such: "),
        (
            vec!["scenario", "show", "no-such"],
            "no scenario called no-such ships",
        ),
        (
            vec!["rehearse", &fine, "--out", &out, "--proxies", "/no/such"],
            "there is no proxy program at /no/such",
        ),
        (vec!["audit", &fine], "not a ledger of this version"),
        (
            vec!["rehearse", &fine, "--seed", "x"],
            "invalid value 'x' for '--seed",
        ),
        (vec!["dance"], "unrecognized subcommand 'dance'"),
    ] {
        let (code, _, fault) = result_of(&birchhub(&arguments));
        assert!(
            code == 64 && fault.contains(expected),
            "{arguments:?}: {code}: {fault}"
        );
    }
}

#[test]
fn a_proxy_that_exits_at_once_is_reported() {
    let folder = Folder::new("exits");
    let (scenario, out) = (write_scenario(&folder, "2s"), folder.path("out"));
    let (code, _, fault) = result_of(&birchhub(&[
        "rehearse",
        &scenario,
        "--quiet",
        "--out",
        &out,
        "--proxies",
        "/bin/true",
    ]));
    assert_eq!(code, 70, "{fault}");
    assert!(
        fault.contains("proxy-0 ended as it started (/bin/true)"),
        "{fault}"
    );
}

#[test]
fn shipped_scenarios_can_be_listed_shown_checked_and_planned() {
    let (code, list, _) = result_of(&birchhub(&["scenario", "list"]));
    assert!(code == 0 && list.lines().count() >= 6, "{list}");
    let name = list.split_whitespace().next().expect("a name");
    let (code, text, _) = result_of(&birchhub(&["scenario", "show", name]));
    assert!(code == 0 && text.contains("[fleet]"), "{text}");
    assert_eq!(result_of(&birchhub(&["scenario", "check", name])).0, 0);
    let plan = |seed| result_of(&birchhub(&["scenario", "plan", "overlap", "--seed", seed]));
    assert!(
        plan("1").1.contains("Announce") && plan("1") == plan("1") && plan("1").1 != plan("2").1
    );
    let (code, script, _) = result_of(&birchhub(&["completions", "bash"]));
    assert!(code == 0 && script.contains("rehearse"), "{script}");
}

/// Processes that were started with a configuration in this folder.
fn running_with(folder: &str) -> usize {
    let environ = |entry: std::io::Result<std::fs::DirEntry>| {
        std::fs::read(entry.ok()?.path().join("environ")).ok()
    };
    let of_folder =
        |bytes: &Vec<u8>| String::from_utf8_lossy(bytes).contains(&format!("LB_CONFIG={folder}"));
    std::fs::read_dir("/proc")
        .expect("processes")
        .filter_map(environ)
        .filter(of_folder)
        .count()
}

#[test]
fn ctrl_c_ends_cleanly_with_a_partial_report() {
    has_daemon();
    let folder = Folder::new("ctrl-c");
    let (scenario, out) = (write_scenario(&folder, "60s"), folder.path("out"));
    let mut start = Command::new(env!("CARGO_BIN_EXE_birchhub"));
    start
        .args(["rehearse", &scenario, "--quiet", "--out", &out])
        .stdout(Stdio::piped());
    let child = start.spawn().expect("birchhub");
    // The ledger is written every 200 ms: clients are active once it has grown beyond the start.
    let grown =
        || std::fs::metadata(Path::new(&out).join("ledger")).map_or(0, |m| m.len()) > 20_000;
    let begun = Instant::now();
    while !grown() {
        assert!(
            begun.elapsed() < Duration::from_secs(30),
            "nothing was written to the ledger"
        );
        std::thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(running_with(&out), 2, "two proxies run");
    let interrupt = format!("kill -INT {}", child.id());
    assert!(
        Command::new("sh")
            .args(["-c", &interrupt])
            .status()
            .expect("a shell")
            .success()
    );
    let (code, text, _) = result_of(&child.wait_with_output().expect("its end"));
    assert_eq!(code, 2, "{text}");
    assert!(text.contains("PARTIAL: stopped before its end"), "{text}");
    let report = std::fs::read_to_string(Path::new(&out).join("report.json")).expect("a report");
    assert!(
        report.contains("\"partial\": true") && report.contains("\"verdict\": \"VOID\""),
        "{report}"
    );
    assert_eq!(running_with(&out), 0);
}
