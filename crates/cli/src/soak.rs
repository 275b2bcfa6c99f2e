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

/// Play random, overlapping faults over real proxies and judge them by their invariants
///
/// Starts stand-in backends, discovery, fault proxies, clients of all kinds and several birchhubd on loopback addresses,
/// and plays the faults that the seed draws. Judged by the invariants that the proxies count, by the audit of the ledger and
/// by clients that stop in a request. Plan, ledger, report and the proxies' logs of each seed are left in the folder --out.
#[derive(Args)]
pub(crate) struct Arguments {
    /// The first seed
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// So many seeds, one after another
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Length of each run
    #[arg(long, default_value_t = 0.25)]
    minutes: f64,
    /// Number of proxies
    #[arg(long, default_value_t = 24)]
    proxies: usize,
    /// Play the plan of this file
    #[arg(long, value_name = "FILE", conflicts_with_all = ["seed", "seeds", "minutes", "proxies"])]
    plan: Option<PathBuf>,
    /// Print the plan and do not play it
    #[arg(long)]
    print_plan: bool,
    /// Leave out faults of a plan that fails for as long as it still does, and print what is left
    #[arg(long)]
    shrink: bool,
    /// Folder for what is left of the runs
    #[arg(long, value_name = "DIR", default_value = "soak")]
    out: PathBuf,
    /// The proxies' program; else birchhubd beside this one
    #[arg(long, value_name = "PATH")]
    program: Option<PathBuf>,
    /// The library that makes system calls fail; else the one beside this program
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

/// The smallest plan that still fails.
fn shrunk(plan: &SoakPlan, options: &SoakOptions) -> Result<SoakPlan, CommandError> {
    let fails = |plan: &SoakPlan| {
        let result = birchhub_soak::run(plan, options)?;
        let (left, word) = (plan.faults.len(), result.word());
        eprintln!("with {left} faults: {word}");
        Ok(SoakResult::has_failed(&result))
    };
    shrink(plan, fails).map_err(command_error)
}

/// Sorts an error of a soak run into invalid input and other failures.
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
