//! Tests `tools/regression` with a fake bench, a script that prints a given report.
use std::fs::{self, Permissions};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::Command;

/// A folder laid out like the operators' kit, with a fake bench and a site file.
struct FakeKit {
    folder: PathBuf,
    site: PathBuf,
}

/// Creates a kit whose bench appends its arguments to the file `calls` and prints this report, with a site file
/// of this name. `name` distinguishes its folder from those of other tests.
fn create_kit(name: &str, site: &str, report: &str) -> FakeKit {
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

/// Runs the tool on one panel and returns its exit code and output.
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

/// Lines with which the bench announces the days of panel `mass`.
const MASS_DAYS: &str = "playing calm+mass ...\nplaying herd+mass ...\nplaying split+mass ...\n";

/// Runs the tool on a report of panel `mass` with this score for its first day and this last line.
fn run_on_mass_report(name: &str, calm_score: &str, last: &str) -> (Option<i32>, String) {
    let report = format!(
        "{MASS_DAYS}calm+mass  G 0.8 floor 0.5 top 0.9  score {calm_score}\nherd+mass  G 0.8 floor 0.5 top 0.9  score 0.99\n\
         split+mass  G 0.8 floor 0.4 top 0.9  score 0.99\nscore of the real nodes 0.99 (the weighted mean of the days)\n"
    );
    let kit = create_kit(name, "jelgava-main", &format!("{report}{last}"));
    run(&kit, "mass")
}

/// A report with a failed gate or without one fails whatever its scores are. With a passed gate it fails by a
/// score of 0, or by one more than 0.03 below the score that is kept for the day.
#[test]
fn panel_fails_by_its_gate_or_a_low_score() {
    let (code, text) = run_on_mass_report("passed", "0.99", "GATE passed (three of the six days)");
    assert_eq!(code, Some(0), "{text}");
    for (name, last, expected) in [
        (
            "failed",
            "GATE failed: drain on herd+mass",
            "FAIL mass: GATE failed: drain on herd+mass",
        ),
        ("gateless", "", "FAIL mass: the gate is not in the report"),
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

/// Lines with which the bench announces the short days of panel `brink`.
const SHORT_DAYS: &str = "playing roll+brink+mass-1 ...\nplaying calm+brink+mass-2 ...\n";
/// The report's line for the second of the short days.
const CALM_DAY: &str = "calm+brink+mass-2  G 0.8 floor 0.4 top 0.9  memory 1 of 56 MB  score 0.80";

/// Returns a report of the short days that passes.
fn passing_short_days() -> String {
    let roll = "roll+brink+mass-1  G 0.5 floor 0.4 top 0.9  memory 1 of 56 MB  score 0.00";
    let end = "score of the real nodes 0.40 (of the days)\nGATE passed";
    format!("{SHORT_DAYS}{roll}\n{CALM_DAY}\n{end}")
}

/// Short days are judged on every seed and site by rules, crashes and the gate only: each day that was played
/// must have a line with no text after its score. Scores are not compared with the kept ones.
#[test]
fn short_days_are_judged_by_rules_on_each_seed() {
    let passing = passing_short_days();
    let kit = create_kit("brink", "somewhere-else", &passing);
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
    // A panel without seeds after `@`, with a malformed seed, or of an unknown name is a usage error.
    for panel in ["brink@", "brink@five", "brim"] {
        assert_eq!(run(&kit, panel).0, Some(2), "{panel}");
    }
}

/// A broken rule, a crash, and a report that lacks a day, all days, the gate or the score each fail the panel.
#[test]
fn a_fault_on_a_short_day_fails_its_panel() {
    let passing = passing_short_days();
    for (name, report, expected) in [
        (
            "rule",
            passing.replace("score 0.00", "score 0.00  BROKEN: lost"),
            "FAIL brink roll+brink+mass-1: roll",
        ),
        (
            "crash",
            passing.replace("score 0.80", "score 0.00  a proxy crashed"),
            "FAIL brink calm+brink+mass-2: calm",
        ),
        (
            "missing",
            passing.replace(CALM_DAY, ""),
            "FAIL brink calm+brink+mass-2: played, and not in the report",
        ),
        (
            "dayless",
            passing.replace(SHORT_DAYS, ""),
            "FAIL brink: the report names no day",
        ),
        (
            "gateless",
            passing.replace("GATE passed", ""),
            "FAIL brink: the gate is not in the report",
        ),
        (
            "unscored",
            passing.replace("score of", "of"),
            "FAIL brink: the report has no score",
        ),
    ] {
        let kit = create_kit(&format!("brink-{name}"), "jelgava-main", &report);
        let (code, text) = run(&kit, "brink");
        assert!(code == Some(1) && text.contains(expected), "{name}: {text}");
    }
}
