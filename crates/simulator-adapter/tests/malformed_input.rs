//! Guards the adapter's errors for malformed input: it exits with code 2 after one line that names the input line and the
//! field. `fixtures/malformed.json` contains the output of the code of 2026-12-02 for each case.

use serde_json::Value;
use std::io::Write;
use std::process::{Command, Output, Stdio};

const CASES: &str = include_str!("fixtures/malformed.json");

fn run(input: &str) -> Output {
    let mut adapter = Command::new(env!("CARGO_BIN_EXE_birchhub-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut stdin = adapter
        .stdin
        .take()
        .expect("the pipe to its standard input");
    // The write fails if the adapter exits at a malformed line before it has read the whole input.
    let _ = stdin.write_all(input.as_bytes());
    drop(stdin);
    adapter.wait_with_output().expect("the adapter exits")
}

#[test]
fn malformed_input_is_named_by_line_and_field() {
    let cases: Vec<Value> = serde_json::from_str(CASES).expect("the fixture is JSON");
    assert_eq!(cases.len(), 24);
    for case in &cases {
        let output = run(case["input"].as_str().expect("an input"));
        let stderr = String::from_utf8(output.stderr).expect("UTF-8 output");
        assert_eq!(stderr, case["stderr"], "{}", case["case"]);
        let exit_code = output.status.code().map(i64::from);
        assert_eq!(exit_code, case["exit_code"].as_i64(), "{}", case["case"]);
    }
}
