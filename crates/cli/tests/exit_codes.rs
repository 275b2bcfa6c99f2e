//! The exit codes of `birchhub`: 0 PASS, 1 FAIL, 2 VOID, 64 bad input, 70 anything else that went wrong. Scripts and CI
//! of those who use it go by these numbers.
use birchhub_audit::header::ServiceTargets;
use birchhub_audit::{
    Entry, Event, Header, Idempotency, Method, RequestOutcome, RuleParameters, ledger,
};
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

const PASS: i32 = 0;
const FAIL: i32 = 1;
const VOID: i32 = 2;
const BAD_INPUT: i32 = 64;
const FAILED: i32 = 70;

fn birchhub(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_birchhub"))
        .args(arguments)
        .output()
        .expect("birchhub")
}

fn exit_code(arguments: &[&str]) -> i32 {
    birchhub(arguments).status.code().expect("an exit code")
}

/// A file in the folder for temporary ones, removed at the end.
struct TemporaryFile(PathBuf);

impl TemporaryFile {
    fn new(name: &str, content: &[u8]) -> Self {
        let name = format!("birchhub-exit-{}-{name}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, content).expect("a file");
        Self(path)
    }
    fn path(&self) -> &str {
        self.0.to_str().expect("a path in UTF-8")
    }
}

impl Drop for TemporaryFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

fn header() -> Header {
    Header {
        scenario: "by hand".into(),
        seed: 1,
        plan_hash: "0".into(),
        duration: 10.0,
        rules: RuleParameters {
            drain_grace: 0.3,
            slack: 0.05,
            overload_window: 1.0,
            max_attempts: 3,
            hedging_allowed: false,
            over_quota_utility: 0.1,
            max_lateness: 0.01,
        },
        targets: ServiceTargets::default(),
        methods: vec![Method {
            name: "read".into(),
            idempotency: Idempotency::Idempotent,
            latency_target: 0.2,
            deadline: 0.5,
            utility: 1.0,
            late_utility: 0.0,
        }],
        tenants: vec!["acme".into()],
        proxies: vec!["p0".into()],
        backends: vec![],
        faults: vec![],
    }
}

/// An RPC that was answered after its deadline.
fn answered_late() -> Vec<(f64, Event)> {
    let asked = Event::Arrival {
        rpc: 1,
        method: 0,
        tenant: 0,
        within_quota: true,
    };
    let sent = Event::RequestSent {
        request_id: 1,
        rpc: 1,
        proxy: 0,
        client_timeout: 0.5,
    };
    let answered = Event::RequestEnded {
        request_id: 1,
        outcome: RequestOutcome::Aborted(502),
    };
    vec![(1.0, asked), (1.0, sent), (1.9, answered)]
}

fn audit(name: &str, events: Vec<(f64, Event)>) -> (i32, String) {
    let mut file = Vec::new();
    let mut writer = ledger::Writer::new(&mut file, &header()).expect("a header");
    for (at, event) in events {
        writer.write(&Entry { at, event }).expect("a record");
    }
    let stored = TemporaryFile::new(name, &file);
    let output = birchhub(&["audit", stored.path()]);
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    (output.status.code().expect("an exit code"), text)
}

#[test]
fn a_verdict_of_pass_exits_with_0() {
    let (code, text) = audit("pass", vec![]);
    assert_eq!(code, PASS, "{text}");
    assert!(text.starts_with("PASS  by hand"), "{text}");
}

#[test]
fn a_verdict_of_fail_exits_with_1() {
    let (code, text) = audit("fail", answered_late());
    assert_eq!(code, FAIL, "{text}");
    assert!(text.starts_with("FAIL  by hand"), "{text}");
}

#[test]
fn a_verdict_of_void_exits_with_2() {
    let (code, text) = audit("void", vec![(1.0, Event::ClientLate { delay: 0.5 })]);
    assert_eq!(code, VOID, "{text}");
    assert!(text.starts_with("VOID  by hand"), "{text}");
}

#[test]
fn help_and_version_exit_with_0() {
    for arguments in [
        &["--help"][..],
        &["--version"],
        &["help", "rehearse"],
        &["scale", "--help"],
    ] {
        assert_eq!(exit_code(arguments), PASS, "{arguments:?}");
    }
}

#[test]
fn bad_input_exits_with_64_whichever_command_reads_it() {
    let nonsense = TemporaryFile::new("nonsense", b"nonsense");
    let path = nonsense.path();
    for arguments in [
        &[][..],
        &["--no-such-option"],
        &["rehearse", path],
        &["scenario", "check", path],
        &["audit", path],
        &["ledger", "show", path],
        &["scale", "page", path],
        &["scale", "run", "--proxies", "/no/such"],
    ] {
        assert_eq!(exit_code(arguments), BAD_INPUT, "{arguments:?}");
    }
}

#[test]
fn what_cannot_be_done_with_good_input_exits_with_70() {
    let out = TemporaryFile::new("out", b"").0.with_extension("folder");
    let out = out.to_str().expect("a path in UTF-8");
    let arguments = [
        "rehearse",
        "calm",
        "--quiet",
        "--out",
        out,
        "--proxies",
        "/bin/true",
    ];
    let output = birchhub(&arguments);
    if Path::new(out).is_dir() {
        std::fs::remove_dir_all(out).expect("the folder to remove");
    }
    assert_eq!(output.status.code(), Some(FAILED));
    let fault = String::from_utf8_lossy(&output.stderr);
    assert!(fault.contains("ended as it started"), "{fault}");
}
