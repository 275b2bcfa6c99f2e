//! `tools/regression` with a fake bench that prints a given report.
use std::fs::{self, Permissions};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::Command;

/// A kit with a fake bench.
struct FakeKit {
    folder: PathBuf,
    site: PathBuf,
}

/// Creates a kit whose bench records its calls and prints this report, with a site file of this name.
fn kit(name: &str, site: &str, report: &str) -> FakeKit {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("regression-{name}"));
    let bench = folder.join("more/mass/bin/lbreal");
    fs::create_dir_all(bench.parent().expect("a folder")).expect("a folder for the fake bench");
    let _ = fs::remove_file(folder.join("calls"));
    let script = format!(
        "#!/bin/sh\necho \"$@\" >>{}/calls\ncat <<'END'\n{report}\nEND\n",
        folder.display()
    );
    fs::write(&bench, script).expect("the fake bench");
    fs::set_permissions(&bench, Permissions::from_mode(0o755)).expect("permission to run it");
    let site = folder.join(format!("{site}.toml"));
    fs::write(&site, "").expect("a site file");
    FakeKit { folder, site }
}

/// Runs the tool and returns its exit code and output.
fn run(kit: &FakeKit, panel: &str) -> (Option<i32>, String) {
    let tool = Path::new(env!("CARGO_MANIFEST_DIR")).join("tools/regression");
    let out = Command::new("bash")
        .arg(tool)
        .args([&kit.folder, &kit.site])
        .arg(panel)
        .output()
        .expect("the tool");
    (
        out.status.code(),
        String::from_utf8_lossy(&out.stdout).into_owned(),
    )
}

const DAYS: &str = "playing calm+mass ...\nplaying herd+mass ...\nplaying split+mass ...\n";

/// Runs the tool on a report of panel `mass` with this score for its first day and this last line.
fn run_on_mass_report(name: &str, calm: &str, last: &str) -> (Option<i32>, String) {
    let days = format!(
        "{DAYS}calm+mass  G 0.8 floor 0.5 top 0.9  score {calm}\nherd+mass  G 0.8 floor 0.5 top 0.9  score 0.99\n\
         split+mass  G 0.8 floor 0.4 top 0.9  score 0.99\nscore of the real nodes 0.99 (the weighted mean of the days)\n"
    );
    let kit = kit(name, "jelgava-main", &format!("{days}{last}"));
    run(&kit, "mass")
}

/// A failed gate is a failure whatever the scores are, and so is a report without a gate.
#[test]
fn panel_gate_must_be_reported_and_passed() {
    let (code, text) = run_on_mass_report("passed", "0.99", "GATE passed (three of the six days)");
    assert_eq!(code, Some(0), "{text}");
    for (name, last, expected) in [
        (
            "failed",
            "GATE failed: drain on herd+mass",
            "FAIL mass: GATE failed: drain on herd+mass",
        ),
        ("silent", "", "FAIL mass: the gate is not in the report"),
    ] {
        let (code, text) = run_on_mass_report(name, "0.99", last);
        assert_eq!(code, Some(1), "{text}");
        assert!(text.contains(expected), "{text}");
    }
    let (code, text) = run_on_mass_report("broken", "0.00", "GATE passed (three of the six days)");
    assert!(
        code == Some(1) && text.contains("FAIL mass calm+mass"),
        "{text}"
    );
    let (code, text) = run_on_mass_report("low", "0.81", "GATE passed (three of the six days)");
    assert!(
        code == Some(1) && text.contains("FAIL mass calm+mass: 0.81, kept 0.85"),
        "{text}"
    );
}

const SHORT_DAYS: &str = "playing roll+brink+mass-1 ...\nplaying calm+brink+mass-2 ...\n";
const CALM_DAY: &str = "calm+brink+mass-2  G 0.8 floor 0.4 top 0.9  memory 1 of 56 MB  score 0.80";

/// A report of the short days without a fault.
fn good_short_days() -> String {
    let roll = "roll+brink+mass-1  G 0.5 floor 0.4 top 0.9  memory 1 of 56 MB  score 0.00";
    let end = "score of the real nodes 0.40 (of the days)\nGATE passed";
    format!("{SHORT_DAYS}{roll}\n{CALM_DAY}\n{end}")
}

/// On the short days only rules, crashes and the gate count, on each seed and site: each day that was played
/// has a line with no remark behind its score. Scores are not compared with earlier ones.
#[test]
fn short_days_are_judged_by_rules_on_each_seed() {
    let good = good_short_days();
    let kit = kit("brink", "somewhere-else", &good);
    let (code, text) = run(&kit, "brink@5,77");
    assert!(
        code == Some(0)
            && text
                .matches("ok   brink on somewhere-else: 2 days, GATE passed")
                .count()
                == 2,
        "{text}"
    );
    let calls = fs::read_to_string(kit.folder.join("calls")).expect("the calls");
    let seeds: Vec<_> = calls
        .lines()
        .map(|call| call.split(" --seed ").nth(1).and_then(|c| c.get(..2)))
        .collect();
    assert_eq!(seeds, [Some("5 "), Some("77")], "{calls}");
    for panel in ["brink@", "brink@five", "brim"] {
        assert_eq!(run(&kit, panel).0, Some(2), "{panel}");
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
        let kit = kit(&format!("brink-{name}"), "jelgava-main", &report);
        let (code, text) = run(&kit, "brink");
        assert!(code == Some(1) && text.contains(expected), "{name}: {text}");
    }
}
