//! The estimates, and the tables of the page that are generated from a report.
use birchhub_capacity::{PageError, Plan, Report, SeriesError, estimate, page, planned_size};

/// The names in the markers of all tables.
const MARKERS: [&str; 5] = ["targets", "roles", "hours", "candidates", "slopes"];

/// Creates a report in which each series is the line `base + slope * x`.
fn report_with_lines(line: impl Fn(&str) -> (f64, f64)) -> Report {
    let mut report = Report::new(&Plan::long(1));
    let names: Vec<_> = report.series.iter().map(|s| s.name.clone()).collect();
    for name in names {
        let (base, slope) = line(&name);
        for x in [0.0, 1.0, 1_000.0] {
            report.add(&name, x, base + slope * x).expect("a series");
        }
    }
    report.finish();
    // The load of the machine that runs the test has no influence.
    report.series.iter_mut().for_each(|s| s.load_average = 0.0);
    report
}

/// A page with old tables between its markers.
fn page_with_old_tables() -> String {
    let tables =
        MARKERS.map(|name| format!("<!-- scale: {name} -->\nold\n<!-- end of {name} -->\n"));
    format!("# A page\n\n{}\nand its end\n", tables.join("own words\n"))
}

#[test]
fn tables_are_replaced_between_their_markers_only() {
    let report = report_with_lines(|_| (1.0, 0.001));
    let once = page::renew(&page_with_old_tables(), &report).expect("a page");
    assert!(
        once.starts_with("# A page\n")
            && once.ends_with("\nand its end\n")
            && !once.contains("old\n")
    );
    assert_eq!(once.matches("own words").count(), MARKERS.len() - 1);
    assert_eq!(
        page::renew(&once, &report).as_ref(),
        Ok(&once),
        "made twice it is the same"
    );
    let other = page::renew(&once, &report_with_lines(|_| (1.0, 0.002))).expect("a page");
    assert_ne!(once, other, "another result makes another page");
}

#[test]
fn errors_name_the_missing_marker_or_series() {
    let report = report_with_lines(|_| (1.0, 0.001));
    let fault = page::renew(
        &page_with_old_tables().replace("<!-- scale: hours -->", ""),
        &report,
    )
    .expect_err("no marker");
    assert_eq!(fault.to_string(), "there is no line <!-- scale: hours -->");
    let fault = page::renew(
        &page_with_old_tables().replace("<!-- end of hours -->", ""),
        &report,
    )
    .expect_err("no marker");
    assert_eq!(
        fault.to_string(),
        "there is no line <!-- end of hours --> below its begin"
    );
    let mut report = report;
    report.series.retain(|s| s.name != "idle.backends");
    let fault = page::renew(&page_with_old_tables(), &report).expect_err("a series less");
    assert_eq!(fault.to_string(), "there is no series idle.backends");
    report = report_with_lines(|_| (1.0, 0.001));
    report
        .series
        .iter_mut()
        .filter(|s| s.name == "list.bytes")
        .for_each(|s| s.points.truncate(1));
    report.finish();
    assert_eq!(
        page::renew(&page_with_old_tables(), &report),
        Err(PageError::Series(SeriesError::TooFewPoints(
            "list.bytes".into()
        )))
    );
}

#[test]
fn memory_estimate_is_the_sum_of_its_series_at_the_planned_size() {
    let report = report_with_lines(|name| match name {
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
fn candidates_are_ordered_by_the_factor_of_their_missed_targets() {
    let heavy = report_with_lines(|name| {
        if name == "memory.busy.backends" {
            (0.0, 10.0)
        } else {
            (0.001, 0.0)
        }
    });
    let slow = report_with_lines(|name| {
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
        let text = page::renew(&page_with_old_tables(), &report).expect("a page");
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
        let mut report = report_with_lines(|name| {
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
    let lines = estimate::targets(&report_with_lines(|_| (1.0, 0.0))).expect("estimates");
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
fn plan_order_depends_on_the_seed_only() {
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
