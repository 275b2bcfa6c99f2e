//! `tools/regression` against a stand-in for the bench that prints a report as the operators' does.
use std::fs::{self, Permissions};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::Command;

/// A kit whose bench notes how it was called and prints this report; its folder, and a site file of this name in it.
fn kit(name: &str, site: &str, report: &str) -> (PathBuf, PathBuf) {
    let kit = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("regression-{name}"));
    let bench = kit.join("more/mass/bin/lbreal");
    fs::create_dir_all(bench.parent().expect("a folder")).expect("a folder for the stand-in");
    let _ = fs::remove_file(kit.join("calls"));
    let script = format!(
        "#!/bin/sh\necho \"$@\" >>{}/calls\ncat <<'END'\n{report}\nEND\n",
        kit.display()
    );
    fs::write(&bench, script).expect("the stand-in");
    fs::set_permissions(&bench, Permissions::from_mode(0o755)).expect("the stand-in may run");
    let site = kit.join(format!("{site}.toml"));
    fs::write(&site, "").expect("a site file");
    (kit, site)
}

/// The exit code and what was printed.
fn run(kit: &Path, site: &Path, panel: &str) -> (Option<i32>, String) {
    let tool = Path::new(env!("CARGO_MANIFEST_DIR")).join("tools/regression");
    let out = Command::new("bash")
        .arg(tool)
        .args([kit, site])
        .arg(panel)
        .output()
        .expect("the tool");
    (
        out.status.code(),
        String::from_utf8_lossy(&out.stdout).into_owned(),
    )
}

const DAYS: &str = "playing calm+mass ...\nplaying herd+mass ...\nplaying split+mass ...\n";

/// The same, where the report of panel `mass` has this figure for its first day and ends with this line.
fn played(name: &str, calm: &str, last: &str) -> (Option<i32>, String) {
    let days = format!(
        "{DAYS}calm+mass  G 0.8 floor 0.5 top 0.9  score {calm}\nherd+mass  G 0.8 floor 0.5 top 0.9  score 0.99\n\
         split+mass  G 0.8 floor 0.4 top 0.9  score 0.99\nscore of the real nodes 0.99 (the weighted mean of the days)\n"
    );
    let (kit, site) = kit(name, "jelgava-main", &format!("{days}{last}"));
    run(&kit, &site, "mass")
}

/// A gate that failed, and a report that says nothing of it, are failures whatever the figures are.
#[test]
fn the_gate_of_a_panel_must_be_told_and_passed() {
    let (code, text) = played("passed", "0.99", "GATE passed (three of the six days)");
    assert_eq!(code, Some(0), "{text}");
    for (name, last, expected) in [
        (
            "failed",
            "GATE failed: drain on herd+mass",
            "FAIL mass: GATE failed: drain on herd+mass",
        ),
        ("silent", "", "FAIL mass: the gate is not in the report"),
    ] {
        let (code, text) = played(name, "0.99", last);
        assert_eq!(code, Some(1), "{text}");
        assert!(text.contains(expected), "{text}");
    }
    let (code, text) = played("broken", "0.00", "GATE passed (three of the six days)");
    assert!(
        code == Some(1) && text.contains("FAIL mass calm+mass"),
        "{text}"
    );
    let (code, text) = played("low", "0.81", "GATE passed (three of the six days)");
    assert!(
        code == Some(1) && text.contains("FAIL mass calm+mass: 0.81, kept 0.85"),
        "{text}"
    );
}

const SHORT_DAYS: &str = "playing roll+brink+mass-1 ...\nplaying calm+brink+mass-2 ...\n";
const CALM_DAY: &str = "calm+brink+mass-2  G 0.8 floor 0.4 top 0.9  memory 1 of 56 MB  score 0.80";

/// A report of the short days in which all is well.
fn good_short_days() -> String {
    let roll = "roll+brink+mass-1  G 0.5 floor 0.4 top 0.9  memory 1 of 56 MB  score 0.00";
    let end = "score of the real nodes 0.40 (of the days)\nGATE passed";
    format!("{SHORT_DAYS}{roll}\n{CALM_DAY}\n{end}")
}

/// On the short days rules, crashes and the gate count, on each seed and site: a day that was played has its line, and nothing
/// is said behind its figure. No figure is kept, and none of another site's is asked for.
#[test]
fn the_short_days_are_judged_by_rules_on_each_seed() {
    let good = good_short_days();
    let (folder, site) = kit("brink", "somewhere-else", &good);
    let (code, text) = run(&folder, &site, "brink@5,77");
    assert!(
        code == Some(0)
            && text
                .matches("ok   brink on somewhere-else: 2 days, GATE passed")
                .count()
                == 2,
        "{text}"
    );
    let calls = fs::read_to_string(folder.join("calls")).expect("the calls");
    let seeds: Vec<_> = calls
        .lines()
        .map(|call| call.split(" --seed ").nth(1).and_then(|c| c.get(..2)))
        .collect();
    assert_eq!(seeds, [Some("5 "), Some("77")], "{calls}");
    for panel in ["brink@", "brink@five", "brim"] {
        assert_eq!(run(&folder, &site, panel).0, Some(2), "{panel}");
    }
}

#[test]
fn a_fault_on_a_short_day_fails_its_panel() {
    let good = good_short_days();
    for (name, report, expected) in [
        (
            "rule",
            good.replace("score 0.00", "score 0.00  BROKEN: lost"),
            "FAIL brink roll+brink+mass-1: roll",
        ),
        (
            "crash",
            good.replace("score 0.80", "score 0.00  a proxy crashed"),
            "FAIL brink calm+brink+mass-2: calm",
        ),
        (
            "missing",
            good.replace(CALM_DAY, ""),
            "FAIL brink calm+brink+mass-2: played, and not in the report",
        ),
        (
            "none",
            good.replace(SHORT_DAYS, ""),
            "FAIL brink: the report names no day",
        ),
        (
            "untold",
            good.replace("GATE passed", ""),
            "FAIL brink: the gate is not in the report",
        ),
        (
            "unscored",
            good.replace("score of", "of"),
            "FAIL brink: the report has no score",
        ),
    ] {
        let (kit, site) = kit(&format!("brink-{name}"), "jelgava-main", &report);
        let (code, text) = run(&kit, &site, "brink");
        assert!(code == Some(1) && text.contains(expected), "{name}: {text}");
    }
}
