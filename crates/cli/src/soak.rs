//! `birchhub soak`: random, overlapping faults over real proxies.
use crate::{CommandError, print};
use birchhub_soak::{SoakError, SoakOptions, SoakPlan, SoakResult, shrink};
use clap::Args;
use std::path::PathBuf;

const SECONDS_PER_MINUTE: f64 = 60.0;
/// File name of the library that makes system calls fail.
const SHIM: &str = "libbirchhub_fault_shim.so";
const PASSED: u8 = 0;
const FAILED: u8 = 1;
const VOID: u8 = 2;

/// Run random, overlapping faults over real proxies and check their invariants
///
/// Starts emulated backends, discovery, fault-injecting relays, clients of all kinds and several birchhubd on loopback
/// addresses, and injects the faults that are generated from the seed. The run fails by the invariants that the proxies
/// count, by the audit of the ledger, or by clients that stall in a request and get no response or close in time. Plan,
/// ledger, report and the proxies' logs of each seed are written to the folder --out.
#[derive(Args)]
pub(crate) struct Arguments {
    /// The first seed
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of seeds, run one after another
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Duration of each run
    #[arg(long, default_value_t = 0.25)]
    minutes: f64,
    /// Number of proxies
    #[arg(long, default_value_t = 24)]
    proxies: usize,
    /// Run the plan in this file
    #[arg(long, value_name = "FILE", conflicts_with_all = ["seed", "seeds", "minutes", "proxies"])]
    plan: Option<PathBuf>,
    /// Print the plan without running it
    #[arg(long)]
    print_plan: bool,
    /// Remove faults from a failing plan while it still fails, and print the remaining plan
    #[arg(long)]
    shrink: bool,
    /// Folder for the files of the runs
    #[arg(long, value_name = "DIR", default_value = "soak")]
    out: PathBuf,
    /// The proxies' program; by default birchhubd beside this one
    #[arg(long, value_name = "PATH")]
    program: Option<PathBuf>,
    /// The library that makes system calls fail; by default the one beside this program
    #[arg(long, value_name = "PATH")]
    shim: Option<PathBuf>,
}

pub(crate) fn run(arguments: Arguments) -> Result<u8, CommandError> {
    let plans = plans(&arguments)?;
    if arguments.print_plan {
        plans.iter().for_each(|plan| print(&plan.to_text()));
        return Ok(PASSED);
    }
    let program = crate::proxy_program(arguments.program.clone())?;
    let shim = arguments
        .shim
        .clone()
        .unwrap_or_else(|| program.with_file_name(SHIM));
    let mut failed = 0;
    let mut void = 0;
    for plan in &plans {
        let options = SoakOptions {
            program: program.clone(),
            shim: shim.clone(),
            out: arguments.out.join(format!("seed-{}", plan.seed)),
        };
        let result = birchhub_soak::run(plan, &options).map_err(command_error)?;
        print(&format!("seed {}: {result}\n", plan.seed));
        failed += usize::from(result.has_failed());
        void += usize::from(result.is_void);
        if result.has_failed() && arguments.shrink {
            print(&shrunk(plan, &options)?.to_text());
        }
    }
    let count = plans.len();
    print(&format!("{count} played, {failed} failed, {void} void\n"));
    Ok(match (failed, void) {
        (0, 0) => PASSED,
        (0, _) => VOID,
        _ => FAILED,
    })
}

fn plans(arguments: &Arguments) -> Result<Vec<SoakPlan>, CommandError> {
    if let Some(file) = &arguments.plan {
        return Ok(vec![SoakPlan::read(file).map_err(command_error)?]);
    }
    let seeds = arguments.seed..arguments.seed + arguments.seeds;
    let seconds = arguments.minutes * SECONDS_PER_MINUTE;
    Ok(seeds
        .map(|seed| SoakPlan::generate(seed, seconds, arguments.proxies))
        .collect())
}

/// Returns the smallest plan that still fails.
fn shrunk(plan: &SoakPlan, options: &SoakOptions) -> Result<SoakPlan, CommandError> {
    let fails = |plan: &SoakPlan| {
        let result = birchhub_soak::run(plan, options)?;
        let fault_count = plan.faults.len();
        eprintln!("with {fault_count} faults: {}", result.word());
        Ok(SoakResult::has_failed(&result))
    };
    shrink(plan, fails).map_err(command_error)
}

/// Classifies an error of a soak run as invalid input or another failure.
fn command_error(error: SoakError) -> CommandError {
    match error {
        SoakError::Parse(_) | SoakError::Scenario(_) | SoakError::Io { .. } => {
            CommandError::Input(error.to_string())
        }
        SoakError::MissingShim(_) | SoakError::Rehearsal(_) => {
            CommandError::Failed(error.to_string())
        }
    }
}
