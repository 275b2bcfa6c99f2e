//! Short soak tests: overlapping random faults, checked by the proxies' invariants, the audit and the clients. Longer soak
//! tests are run by hand with `birchhub soak`.
#[path = "../../../tests/common/mod.rs"]
mod common;
use birchhub_soak::{SoakOptions, SoakPlan, run};
use common::sockets::fault_shim;
use std::path::Path;

const PROGRAM: &str = env!("CARGO_BIN_EXE_birchhubd");
/// Length of a run.
const SECONDS: f64 = 8.0;
const PROXIES: usize = 6;

/// Runs the plan of a seed, and checks that no invariant, audit rule or client expectation is violated.
fn check_seed(seed: u64) {
    let plan = SoakPlan::generate(seed, SECONDS, PROXIES);
    let folder = format!("birchhub-soak-{}-{seed}", std::process::id());
    let options = SoakOptions {
        program: PROGRAM.into(),
        shim: fault_shim().to_owned(),
        out: std::env::temp_dir().join(folder),
    };
    let result = run(&plan, &options).expect("a completed run");
    assert!(!result.has_failed(), "seed {seed}: {result}");
    remove_run_folder(&options.out);
}

fn remove_run_folder(folder: &Path) {
    std::fs::remove_dir_all(folder).expect("the folder of the run");
}

#[test]
fn overlapping_faults_of_seed_1_violate_nothing() {
    check_seed(1);
}

#[test]
fn overlapping_faults_of_seed_2_violate_nothing() {
    check_seed(2);
}

#[test]
fn overlapping_faults_of_seed_3_violate_nothing() {
    check_seed(3);
}
