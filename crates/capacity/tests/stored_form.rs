//! The stored form of a result. `fixtures/result-form-1.json` was written by the code of 2026-12-02; it and the
//! committed `docs/capacity.json` are read, and written again with the same names in the same order. Reading rounds
//! the last digit of some numbers: they are the same to a part in 10^12.
use birchhub_capacity::Report;
use std::path::{Path, PathBuf};

fn in_crate(path: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join(path)
}

const PRECISION: f64 = 1e-12;

/// The number that a line of the file gives, with or without a key.
fn number(line: &str) -> Option<f64> {
    let value = line.rsplit(": ").next().unwrap_or(line);
    value.trim().trim_end_matches(',').parse().ok()
}

/// The key and what else stands before the value.
fn before_value(line: &str) -> &str {
    line.rsplit_once(": ").map_or("", |(key, _)| key)
}

fn is_same_line(one: &str, other: &str) -> bool {
    match (number(one), number(other)) {
        (Some(a), Some(b)) => {
            before_value(one) == before_value(other) && (a - b).abs() <= PRECISION * a.abs()
        }
        _ => one == other,
    }
}

/// Reads the result and compares what is written of it with the file.
fn read_and_write_again(path: &Path) -> Report {
    let report = Report::read(path).expect("a result");
    let copy = std::env::temp_dir().join(format!(
        "birchhub-capacity-{}-{}.json",
        std::process::id(),
        report.series.len()
    ));
    report.write(&copy).expect("a file");
    let written = std::fs::read_to_string(&copy).expect("the copy");
    std::fs::remove_file(&copy).expect("the copy to remove");
    let stored = std::fs::read_to_string(path).expect("the result");
    assert_eq!(written.lines().count(), stored.lines().count());
    for (now, before) in written.lines().zip(stored.lines()) {
        assert!(
            is_same_line(now, before),
            "{}: {now:?} instead of {before:?}",
            path.display()
        );
    }
    report
}

#[test]
fn a_stored_result_is_read_and_written_in_the_same_form() {
    let report = read_and_write_again(&in_crate("tests/fixtures/result-form-1.json"));
    assert_eq!(report.form, 1);
    assert_eq!(report.command, "birchhub scale run --seed 1");
    assert_eq!(
        (report.cores, report.failed_rpcs, report.rpcs),
        (8, 3239, 63_513)
    );
    let [counted, timed] = report.series.as_slice() else {
        panic!("two series: {:?}", report.series)
    };
    assert_eq!(counted.name, "memory.backends");
    assert_eq!(
        (counted.uses_wall_clock, timed.uses_wall_clock),
        (false, true)
    );
    assert!(counted.fit.is_some() && timed.fit.is_none());
    assert_eq!(timed.missing, ["no proxy came up"]);
}

#[test]
fn the_committed_result_is_read_and_written_in_the_same_form() {
    let report = read_and_write_again(&in_crate("../../docs/capacity.json"));
    assert_eq!(report.series.len(), 33);
}

#[test]
fn error_names_an_unsupported_form() {
    let text = std::fs::read_to_string(in_crate("tests/fixtures/result-form-1.json")).unwrap();
    let path = std::env::temp_dir().join(format!("birchhub-capacity-{}-form", std::process::id()));
    std::fs::write(&path, text.replacen("\"form\": 1", "\"form\": 2", 1)).expect("a file");
    let fault = Report::read(&path).expect_err("another form");
    std::fs::remove_file(&path).expect("the file to remove");
    let fault = fault.to_string();
    assert!(fault.ends_with("form is 2, and only 1 is read"), "{fault}");
}
