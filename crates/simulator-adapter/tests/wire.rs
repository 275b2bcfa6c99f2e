//! The wire of the adapter: `fixtures/every-message.in` has each message that it reads, and what it writes for that is
//! `fixtures/every-message.out`, as the code of 2026-12-02 wrote it. Names and fields stay; where the decisions
//! themselves change, so may numbers in it, and the file is made anew by `birchhub-simulator-adapter <every-message.in`.
use std::io::Write;
use std::process::{Command, Output, Stdio};

const INPUT: &str = include_str!("fixtures/every-message.in");
const OUTPUT: &str = include_str!("fixtures/every-message.out");
const BAD_INPUT: i32 = 2;

fn run(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_birchhub-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter");
    let mut stdin = child.stdin.take().expect("its input");
    // The adapter may refuse a line and end before it has read all.
    let _ = stdin.write_all(input.as_bytes());
    drop(stdin);
    child.wait_with_output().expect("its end")
}

fn text(bytes: &[u8]) -> &str {
    std::str::from_utf8(bytes).expect("text")
}

#[test]
fn each_message_is_read_and_answered_as_before() {
    let output = run(INPUT);
    assert_eq!(text(&output.stderr), "");
    assert_eq!(output.status.code(), Some(0));
    assert_eq!(text(&output.stdout), OUTPUT);
}

#[test]
fn the_fixture_has_the_messages_of_the_wire() {
    let first_words = |text: &str| -> Vec<String> {
        let words = text.lines().filter_map(|line| line.split('\t').next());
        words.map(str::to_owned).collect()
    };
    let input = first_words(INPUT);
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
        assert!(input.iter().any(|word| word == name), "{name} is missing");
    }
    let output = first_words(OUTPUT);
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
        assert!(output.iter().any(|word| word == name), "{name} is missing");
    }
}

#[test]
fn an_unknown_message_ends_the_adapter_with_2_and_names_its_line() {
    let output = run("BATCH\t1\t1\nDANCE\t1\n");
    assert_eq!(output.status.code(), Some(BAD_INPUT));
    assert_eq!(
        text(&output.stderr),
        "birchhub-simulator-adapter: line 2: the message name is not known: DANCE\n"
    );
}
