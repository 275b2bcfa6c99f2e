//! `birchhub scale`: the quick form from end to end, by counts, and bad input.
mod support;

use serde_json::Value;
use std::path::Path;
use std::process::Command;
use std::time::{Duration, Instant};
use support::{Folder, birchhub, result_of};

fn scale(arguments: &[&str]) -> (i32, String, String) {
    result_of(&birchhub(&[&["scale"], arguments].concat()))
}

fn blank() -> String {
    let mark = |name| format!("<!-- scale: {name} -->\n<!-- end of {name} -->\n");
    ["targets", "roles", "hours", "candidates", "slopes"]
        .map(mark)
        .concat()
}

fn check_daemon_is_built() {
    let daemon = Path::new(env!("CARGO_BIN_EXE_birchhub")).with_file_name("birchhubd");
    assert!(
        daemon.is_file(),
        "birchhubd is not built: run `cargo test --workspace`"
    );
}

/// Each series has its points or says what is missing, and the counts are plausible.
fn check_series(result: &Value) {
    let all = result["series"].as_array().expect("series");
    for series in all {
        let points = series["points"].as_array().expect("points");
        let missing = series["missing"].as_array().expect("a list");
        assert!(points.len() >= 2 || !missing.is_empty(), "{series}");
    }
    let points = |name: &str| {
        let series = all.iter().find(|series| series["name"] == name);
        series.expect("the series")["points"].clone()
    };
    // By counts: a change is a call of each proxy, and an endpoint of the list is some hundred bytes.
    for point in points("list.calls").as_array().expect("points") {
        assert!(point[1].as_f64() >= point[0].as_f64(), "{point}");
    }
    let bytes = points("list.whole.bytes");
    let smallest = bytes[0][1].as_f64().map(|kb| kb * 10.0);
    assert!(bytes[1][1].as_f64() > smallest, "{bytes}");
}

/// A check finds a stale page and leaves it as it is; then the page is renewed.
fn check_page(result: &str, page: &str) {
    let read = || std::fs::read_to_string(page).expect("a page");
    std::fs::write(page, blank()).expect("a page");
    let check = ["page", result, "--page", page, "--check"];
    assert_eq!(scale(&check).0, 1, "it is stale");
    assert_eq!(read(), blank(), "a check writes nothing");
    let (code, out, err) = scale(&["page", result, "--page", page]);
    assert_eq!(code, 0, "{out}{err}");
    assert_eq!(scale(&check).0, 0);
    assert!(read().contains("`memory.backends`"));
}

#[test]
fn a_quick_run_measures_all_series_and_renews_a_page() {
    check_daemon_is_built();
    let folder = Folder::new("quick");
    let (result, page) = (folder.path("scale.json"), folder.path("page.md"));
    let left = folder.path("left");
    let run = [
        "run", "--quick", "--seed", "5", "--out", &result, "--folder", &left, "--quiet",
    ];
    let (code, out, err) = scale(&run);
    assert_eq!(code, 0, "{out}{err}");
    assert_eq!(err, "", "--quiet says nothing");
    let text = std::fs::read_to_string(&result).expect("a result");
    let read: Value = serde_json::from_str(&text).expect("JSON");
    assert_eq!(read["command"], "birchhub scale run --seed 5 --quick");
    check_series(&read);
    check_page(&result, &page);
}

/// Prevents proxies that outlive their run: each is a process, and a killed run drops none of them.
#[test]
fn a_terminated_run_leaves_no_proxy_running() {
    let folder = Folder::new("stopped");
    let (result, left) = (folder.path("scale.json"), folder.path("left"));
    let mut command = Command::new(env!("CARGO_BIN_EXE_birchhub"));
    command.args([
        "scale", "run", "--quick", "--out", &result, "--folder", &left, "--quiet",
    ]);
    let mut run = command.spawn().expect("birchhub");
    let living = || {
        let all = std::fs::read_dir("/proc").expect("processes").flatten();
        let environment =
            |entry: std::fs::DirEntry| std::fs::read(entry.path().join("environ")).ok();
        all.filter_map(environment)
            .filter(|text| String::from_utf8_lossy(text).contains(&left))
            .count()
    };
    let until = Instant::now() + Duration::from_secs(30);
    while living() == 0 {
        assert!(Instant::now() < until, "no proxy was ever started");
        std::thread::sleep(Duration::from_millis(2));
    }
    let stop = Command::new("kill")
        .args(["-TERM", &run.id().to_string()])
        .status();
    assert!(stop.expect("kill").success());
    assert_eq!(run.wait().expect("its end").code(), Some(70));
    assert_eq!(living(), 0, "a proxy runs on");
    assert!(!Path::new(&result).exists(), "an incomplete result");
}

#[test]
fn bad_input_of_scale_is_named() {
    let folder = Folder::new("wrong");
    let (result, page) = (folder.path("scale.json"), folder.path("page.md"));
    let expect = |arguments: &[&str], words: &[&str]| {
        let (code, out, err) = scale(arguments);
        assert_eq!(code, 64, "{out}{err}");
        words
            .iter()
            .for_each(|word| assert!(err.contains(word), "{word}: {err}"));
    };
    expect(
        &["run", "--quick", "--proxies", "/nowhere"],
        &["there is no proxy program at /nowhere"],
    );
    expect(&["run", "--quick", "--seed", "x"], &["--seed", "x"]);
    expect(
        &[
            "run",
            "--proxies",
            env!("CARGO_BIN_EXE_birchhub"),
            "--out",
            "/nowhere/x.json",
        ],
        &["/nowhere/x.json"],
    );
    expect(&["page", &result, "--page", &page], &[&result]);
    std::fs::write(&result, "{\"form\": 1").expect("a file");
    expect(&["page", &result, "--page", &page], &[&result, "line 1"]);
    std::fs::write(&result, "{\"form\": 99, \"series\": []}").expect("a file");
    expect(
        &["page", &result, "--page", &page],
        &[&result, "form is 99, and only 1 is read"],
    );
}
