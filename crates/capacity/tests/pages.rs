//! The tables of the page: made of a result, and stale if they are those of another one.
use birchhub_capacity::{PageError, Plan, Report, SeriesError, estimate, page, planned_size};

const MARKS: [&str; 5] = ["targets", "roles", "hours", "candidates", "slopes"];

/// A result in which each series is `base + slope * x`.
fn made(line: impl Fn(&str) -> (f64, f64)) -> Report {
    let mut report = Report::new(&Plan::long(1));
    let names: Vec<_> = report.series.iter().map(|s| s.name.clone()).collect();
    for name in names {
        let (base, slope) = line(&name);
        for x in [0.0, 1.0, 1_000.0] {
            report.add(&name, x, base + slope * x).expect("a series");
        }
    }
    report.finish();
    // However busy the machine of the test is.
    report.series.iter_mut().for_each(|s| s.load_average = 0.0);
    report
}

fn blank() -> String {
    let marks = MARKS.map(|name| format!("<!-- scale: {name} -->\nold\n<!-- end of {name} -->\n"));
    format!("# A page\n\n{}\nand its end\n", marks.join("own words\n"))
}

#[test]
fn tables_are_renewed_between_their_marks_only() {
    let report = made(|_| (1.0, 0.001));
    let once = page::renew(&blank(), &report).expect("a page");
    assert!(
        once.starts_with("# A page\n")
            && once.ends_with("\nand its end\n")
            && !once.contains("old\n")
    );
    assert_eq!(once.matches("own words").count(), MARKS.len() - 1);
    assert_eq!(
        page::renew(&once, &report).as_ref(),
        Ok(&once),
        "made twice it is the same"
    );
    let other = page::renew(&once, &made(|_| (1.0, 0.002))).expect("a page");
    assert_ne!(once, other, "another result makes another page");
}

#[test]
fn a_missing_mark_or_series_is_named() {
    let report = made(|_| (1.0, 0.001));
    let fault =
        page::renew(&blank().replace("<!-- scale: hours -->", ""), &report).expect_err("no mark");
    assert_eq!(fault.to_string(), "there is no line <!-- scale: hours -->");
    let fault =
        page::renew(&blank().replace("<!-- end of hours -->", ""), &report).expect_err("no mark");
    assert_eq!(
        fault.to_string(),
        "there is no line <!-- end of hours --> below its begin"
    );
    let mut report = report;
    report.series.retain(|s| s.name != "idle.backends");
    let fault = page::renew(&blank(), &report).expect_err("a series less");
    assert_eq!(fault.to_string(), "there is no series idle.backends");
    report = made(|_| (1.0, 0.001));
    report
        .series
        .iter_mut()
        .filter(|s| s.name == "list.bytes")
        .for_each(|s| s.points.truncate(1));
    report.finish();
    assert_eq!(
        page::renew(&blank(), &report),
        Err(PageError::Series(SeriesError::TooFewPoints(
            "list.bytes".into()
        )))
    );
}

#[test]
fn memory_is_the_sum_of_its_lines_at_the_planned_size() {
    let report = made(|name| match name {
        "memory.busy.backends" => (4.0, 0.007),
        "memory.tenants" => (4.0, 0.0005),
        "memory.methods" => (4.0, 0.001),
        _ => (0.0, 0.0),
    });
    let lines = estimate::targets(&report).expect("estimates");
    let memory = lines.iter().find(|l| l.key == "memory").expect("a line");
    let wanted = 4.0
        + 0.007 * planned_size::BACKENDS
        + 0.0005 * planned_size::TENANTS
        + 0.001 * planned_size::METHODS;
    assert!((memory.value - wanted).abs() < 1e-6, "{memory:?}");
    assert!((memory.factor().expect("a target") - wanted / 128.0).abs() < 1e-9);
}

#[test]
fn candidates_are_ordered_by_the_targets_they_miss() {
    let heavy = made(|name| {
        if name == "memory.busy.backends" {
            (0.0, 10.0)
        } else {
            (0.001, 0.0)
        }
    });
    let slow = made(|name| {
        if name.starts_with("latency") {
            (1e6, 0.0)
        } else {
            (0.001, 0.0)
        }
    });
    for (report, first) in [
        (heavy, "the list told as what this proxy needs"),
        (slow, "subsets"),
    ] {
        let text = page::renew(&blank(), &report).expect("a page");
        let row = text
            .lines()
            .find(|line| line.starts_with("| 1 |"))
            .expect("a first row");
        assert!(
            row.starts_with(&format!("| 1 | {first}")) && row.contains("(missed)"),
            "{row}"
        );
    }
}

/// A busy machine makes times on a wall clock longer and never shorter: they can prove a target met, and nothing else.
#[test]
fn a_wall_clock_on_a_busy_machine_proves_no_missed_target() {
    let on_busy_machine = |latency: f64| {
        let mut report = made(|name| {
            if name == "latency.rate" {
                (latency, 0.0)
            } else {
                (0.001, 0.0)
            }
        });
        report.cores = 8;
        report.series.iter_mut().for_each(|s| s.load_average = 30.0);
        estimate::targets(&report)
            .expect("estimates")
            .into_iter()
            .find(|l| l.key == "latency")
            .expect("a line")
    };
    for void in [-3.0, 90.0] {
        let line = on_busy_machine(void);
        assert!(line.is_void() && line.factor().is_none(), "{line:?}");
        assert!(line.formatted().starts_with("void"), "{}", line.formatted());
    }
    let met = on_busy_machine(0.6);
    assert!((met.factor().expect("a factor") - 0.5).abs() < 1e-9);
    assert_eq!(met.formatted(), "at most 0.6, on a crowded machine");
}

/// Each key of a candidate names an estimate, at least one of them with a target; a candidate without a target has no rank.
#[test]
fn each_candidate_key_names_an_estimate() {
    let lines = estimate::targets(&made(|_| (1.0, 0.0))).expect("estimates");
    for candidate in estimate::CANDIDATES {
        for key in candidate.keys {
            assert!(
                lines.iter().any(|line| line.key == *key),
                "{}: {key}",
                candidate.name
            );
        }
        assert!(
            lines
                .iter()
                .any(|line| candidate.keys.contains(&line.key) && line.target.is_some()),
            "{} has no target",
            candidate.name
        );
    }
}

#[test]
fn a_seed_gives_the_same_plan_and_another_one_another() {
    assert_eq!(Plan::long(7), Plan::long(7));
    let orders: std::collections::HashSet<_> =
        (0..20).map(|seed| Plan::long(seed).backends).collect();
    assert!(orders.len() > 1);
    let mut sizes = Plan::long(3).backends;
    sizes.sort_unstable();
    assert_eq!(
        sizes.last().copied().map(f64::from),
        Some(planned_size::BACKENDS)
    );
}
