//! Guards the simulator's protocol against changes of message names and fields. `fixtures/every-message.in` contains every
//! message that the adapter reads, and `fixtures/every-message.out` its output, as the code of 2026-12-02 wrote it. If the
//! decisions change, numbers in the output may change too: regenerate it by `birchhub-simulator-adapter <every-message.in`.
use std::io::Write;
use std::process::{Command, Output, Stdio};

const INPUT: &str = include_str!("fixtures/every-message.in");
const OUTPUT: &str = include_str!("fixtures/every-message.out");
/// Exit code for malformed input.
const MALFORMED_INPUT: i32 = 2;

fn run(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_birchhub-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut stdin = child.stdin.take().expect("the pipe to its standard input");
    // The write fails if the adapter exits at a malformed line before it has read the whole input.
    let _ = stdin.write_all(input.as_bytes());
    drop(stdin);
    child.wait_with_output().expect("the adapter exits")
}

fn text(bytes: &[u8]) -> &str {
    std::str::from_utf8(bytes).expect("UTF-8 output")
}

#[test]
fn output_for_every_message_matches_the_fixture() {
    let output = run(INPUT);
    assert_eq!(text(&output.stderr), "");
    assert_eq!(output.status.code(), Some(0));
    assert_eq!(text(&output.stdout), OUTPUT);
}

#[test]
fn fixtures_contain_every_message_of_the_protocol() {
    let message_names = |text: &str| -> Vec<String> {
        let names = text.lines().filter_map(|line| line.split('\t').next());
        names.map(str::to_owned).collect()
    };
    let input = message_names(INPUT);
    for name in [
        "BATCH",
        "TABLE",
        "INIT",
        "TOPOLOGY",
        "ORDER",
        "BEGUN",
        "REPORT_BACK",
        "HANGUP",
        "TIMEOUT_FIRED",
        "HEALTH_RESULT",
        "HEARD",
        "KILLED",
        "FLUSH",
    ] {
        assert!(input.iter().any(|found| found == name), "{name} is missing");
    }
    let output = message_names(OUTPUT);
    for name in [
        "PLACE",
        "ABORT_ATTEMPT",
        "PUSH_BACK",
        "END_FAILED",
        "PROBE",
        "WATCH",
        "SET_ALARM",
        "YIELD",
    ] {
        assert!(
            output.iter().any(|found| found == name),
            "{name} is missing"
        );
    }
}

#[test]
fn unknown_message_exits_with_2_and_reports_its_line() {
    let output = run("BATCH\t1\t1\nDANCE\t1\n");
    assert_eq!(output.status.code(), Some(MALFORMED_INPUT));
    assert_eq!(
        text(&output.stderr),
        "birchhub-simulator-adapter: line 2: the message name is not known: DANCE\n"
    );
}
