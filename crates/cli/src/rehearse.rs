//! `birchhub rehearse`: runs a scenario against real proxies.
use crate::{CommandError, print, scenario};
use birchhub_audit::{Entry, Header, ledger};
use birchhub_rehearsal::{Options, Plan, Report, Scenario, rehearse};
use birchhub_simulation::simulate;
use clap::Args;
use std::path::{Path, PathBuf};
use std::time::Instant;

/// Run a scenario against birchhubd on this machine and print the verdict
///
/// Starts emulated backends, discovery, clients and several birchhubd on loopback addresses, injects the scenario's faults,
/// and ends with a verdict. The ledger, report.json, report.html and the proxies' logs are written to the folder --out.
#[derive(Args)]
pub(crate) struct Arguments {
    /// A scenario file, or the name of one that ships (see `birchhub scenario list`)
    scenario: String,
    /// Seed of the random numbers; the same seed generates the same plan
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Folder for the files of the run
    #[arg(long, value_name = "DIR", default_value = "rehearsal")]
    out: PathBuf,
    /// The proxies' program; by default birchhubd beside this one
    #[arg(long, value_name = "PATH")]
    proxies: Option<PathBuf>,
    /// Simulate time, without sockets or processes: the same output for a seed on any machine
    #[arg(long, conflicts_with = "proxies")]
    simulated: bool,
    /// No progress line
    #[arg(long)]
    quiet: bool,
}

pub(crate) fn run(arguments: Arguments) -> Result<u8, CommandError> {
    let found = scenario::find(&arguments.scenario)?;
    let plan = Plan::generate(&found.scenario, arguments.seed, &found.file, &found.text);
    let plan = plan.map_err(CommandError::input)?;
    if arguments.simulated {
        return simulated(&found.scenario, &plan, &arguments.out);
    }
    let program = crate::proxy_program(arguments.proxies)?;
    let Arguments {
        seed, out, quiet, ..
    } = arguments;
    let options = Options {
        seed,
        out,
        program,
        progress: !quiet,
    };
    if !quiet {
        eprintln!(
            "{}: plan {}, {} RPCs, {} nodes",
            found.scenario.name,
            plan.hash(),
            plan.arrivals.len(),
            plan.nodes.len()
        );
    }
    let report = rehearse(&found.scenario, &plan, &options).map_err(CommandError::failed)?;
    print(&report.text());
    print(&format!(
        "  {}\n",
        options.out.join("report.html").display()
    ));
    Ok(report.verdict.exit_code())
}

fn simulated(scenario: &Scenario, plan: &Plan, out: &Path) -> Result<u8, CommandError> {
    let begun = Instant::now();
    let played = simulate(scenario, plan).map_err(CommandError::input)?;
    let took = begun.elapsed().as_secs_f64();
    let report = Report::of(&played.header, &played.entries, false, None);
    write_ledger(&played.header, &played.entries, out).map_err(CommandError::failed)?;
    report
        .write(&played.header, &played.entries, out)
        .map_err(CommandError::failed)?;
    print(&report.text());
    print(&format!(
        "  simulated; {}\n",
        out.join("report.html").display()
    ));
    eprintln!(
        "{} events, {:.1} simulated seconds a second",
        played.events,
        plan.length / took.max(1e-9)
    );
    Ok(report.verdict.exit_code())
}

/// The ledger of a simulated run was not written.
#[derive(Debug, thiserror::Error)]
enum LedgerFileError {
    /// The folder or the file could not be created.
    #[error("{}: {source}", path.display())]
    Io {
        path: PathBuf,
        source: std::io::Error,
    },
    /// An entry could not be written.
    #[error("{}: {source}", path.display())]
    Ledger {
        path: PathBuf,
        source: ledger::LedgerError,
    },
}

/// Writes the ledger into the folder of the run.
fn write_ledger(header: &Header, entries: &[Entry], out: &Path) -> Result<(), LedgerFileError> {
    let io_error = |path: &Path, source| LedgerFileError::Io {
        path: path.to_owned(),
        source,
    };
    std::fs::create_dir_all(out).map_err(|source| io_error(out, source))?;
    let path = out.join("ledger");
    let file = std::fs::File::create(&path).map_err(|source| io_error(&path, source))?;
    write_entries(file, header, entries).map_err(|source| LedgerFileError::Ledger { path, source })
}

fn write_entries(
    file: std::fs::File,
    header: &Header,
    entries: &[Entry],
) -> Result<(), ledger::LedgerError> {
    let mut writer = ledger::Writer::new(std::io::BufWriter::new(file), header)?;
    for entry in entries {
        writer.write(entry)?;
    }
    writer.flush()
}
