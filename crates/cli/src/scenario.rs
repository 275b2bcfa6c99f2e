//! `birchhub scenario`: lists and prints shipped scenarios, checks scenario files, and prints schedules.
use crate::{CommandError, print};
use birchhub_rehearsal::{Plan, Scenario, shipped};
use clap::{Args, Subcommand};
use std::fmt::Write;

/// Inspect scenarios without running them
#[derive(Args)]
pub(crate) struct Arguments {
    #[command(subcommand)]
    verb: Verb,
}

#[derive(Subcommand)]
enum Verb {
    /// List the shipped scenarios
    List,
    /// Print a shipped scenario, as a template for your own
    Show { name: String },
    /// Check a file: exit code 64 and file, line and key if it is wrong
    Check { scenario: String },
    /// Print the plan generated from a seed: its hash, and every action with its time
    Plan {
        scenario: String,
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
}

/// A scenario, its text, and the file name that error messages use.
pub(crate) struct Found {
    pub scenario: Scenario,
    pub file: String,
    pub text: String,
}

/// Reads a shipped scenario by its name, or a scenario file.
pub(crate) fn find(name: &str) -> Result<Found, CommandError> {
    let (file, text) = match shipped::find(name) {
        Some(shipped) => (format!("{name} (shipped)"), shipped.text.to_owned()),
        None => {
            let text = std::fs::read_to_string(name);
            let hint = "; `birchhub scenario list` names those that ship";
            (
                name.to_owned(),
                text.map_err(|e| CommandError::Input(format!("{name}: {e}{hint}")))?,
            )
        }
    };
    let scenario = Scenario::read(&file, &text).map_err(CommandError::input)?;
    Ok(Found {
        scenario,
        file,
        text,
    })
}

fn plan(found: &Found, seed: u64) -> Result<Plan, CommandError> {
    Plan::generate(&found.scenario, seed, &found.file, &found.text).map_err(CommandError::input)
}

pub(crate) fn run(arguments: Arguments) -> Result<u8, CommandError> {
    match arguments.verb {
        Verb::List => list()?,
        Verb::Show { name } => show(&name)?,
        Verb::Check { scenario } => check(&scenario)?,
        Verb::Plan { scenario, seed } => print_plan(&scenario, seed)?,
    }
    Ok(0)
}

fn list() -> Result<(), CommandError> {
    for shipped in shipped::ALL {
        let found = find(shipped.name)?;
        let length = found.scenario.duration.0;
        print(&format!(
            "{:<18} {length:>4.0} s  {}\n",
            shipped.name, found.scenario.description
        ));
    }
    Ok(())
}

fn show(name: &str) -> Result<(), CommandError> {
    let unknown = || CommandError::Input(format!("no scenario called {name} ships"));
    let shipped = shipped::find(name).ok_or_else(unknown)?;
    print(shipped.text);
    Ok(())
}

fn check(name: &str) -> Result<(), CommandError> {
    let found = find(name)?;
    let plan = plan(&found, 1)?;
    let nodes = plan.first_nodes();
    let proxies = found.scenario.proxies.count;
    print(&format!(
        "{}: {nodes} nodes, {proxies} proxies, {} methods, {} troubles, {:.0} s\n",
        found.scenario.name,
        found.scenario.methods.len(),
        plan.faults.len(),
        plan.length
    ));
    Ok(())
}

fn print_plan(name: &str, seed: u64) -> Result<(), CommandError> {
    let plan = plan(&find(name)?, seed)?;
    let mut text = format!(
        "plan {}: {} RPCs in {:.0} s\n",
        plan.hash(),
        plan.arrivals.len(),
        plan.length
    );
    for (at, action) in &plan.actions {
        let _ = writeln!(text, "{at:9.3}  {action:?}");
    }
    print(&text);
    Ok(())
}
