//! `birchhub rehearse`: plays a scenario against real proxies.
use crate::{Fault, print, scenario};
use birchhub_rehearsal::{Options, Plan, rehearse};
use clap::Args;
use std::path::PathBuf;

/// Play a scenario against birchhubd on this machine and judge it
///
/// Starts stand-in nodes, a list service, clients and several birchhubd on loopback addresses, plays the scenario's troubles,
/// and ends with a verdict. The ledger, report.json, report.html and the proxies' logs are left in the folder --out.
#[derive(Args)]
pub struct Arguments {
    /// A scenario file, or the name of one that ships (see `birchhub scenario list`)
    scenario: String,
    /// Chance starts from this number; the same seed draws the same plan
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Folder for what is left of the run
    #[arg(long, value_name = "DIR", default_value = "rehearsal")]
    out: PathBuf,
    /// The proxies' program; else birchhubd beside this one
    #[arg(long, value_name = "PATH")]
    proxies: Option<PathBuf>,
    /// No progress line
    #[arg(long)]
    quiet: bool,
}

pub fn run(arguments: Arguments) -> Result<u8, Fault> {
    let found = scenario::find(&arguments.scenario)?;
    let plan = Plan::draw(&found.scenario, arguments.seed, &found.file, &found.text);
    let plan = plan.map_err(|fault| Fault::Input(fault.to_string()))?;
    let program = match arguments.proxies {
        Some(program) => program,
        None => {
            let own = std::env::current_exe().map_err(|e| Fault::Failed(format!("where am I? {e}")))?;
            own.with_file_name("birchhubd")
        }
    };
    if !program.is_file() {
        let program = program.display();
        return Err(Fault::Input(format!(
            "there is no proxy program at {program}; build it, or name it with --proxies"
        )));
    }
    let Arguments { seed, out, quiet, .. } = arguments;
    let options = Options { seed, out, program, progress: !quiet };
    if !quiet {
        eprintln!(
            "{}: plan {}, {} RPCs, {} nodes",
            found.scenario.name,
            plan.hash(),
            plan.arrivals.len(),
            plan.nodes.len()
        );
    }
    let report = rehearse(&found.scenario, &plan, &options).map_err(Fault::Failed)?;
    print(&report.text());
    print(&format!("  {}\n", options.out.join("report.html").display()));
    Ok(report.verdict.exit_code())
}
