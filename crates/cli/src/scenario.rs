//! `birchhub scenario`: what ships, what a file says, and what a plan would do.
use crate::{Fault, print};
use birchhub_rehearsal::{Plan, Scenario, shipped};
use clap::{Args, Subcommand};
use std::fmt::Write;

/// Look at scenarios without playing them
#[derive(Args)]
pub(crate) struct Arguments {
    #[command(subcommand)]
    verb: Verb,
}

#[derive(Subcommand)]
enum Verb {
    /// Name the scenarios that ship
    List,
    /// Print one that ships, to start a file of your own from
    Show { name: String },
    /// Check a file: exit code 64 and file, line and key if it is wrong
    Check { scenario: String },
    /// Tell the plan that a seed draws: its hash, and every act at its time
    Plan {
        scenario: String,
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
}

/// A scenario with the file that faults name.
pub(crate) struct Found {
    pub scenario: Scenario,
    pub file: String,
    pub text: String,
}

/// A file, or one that ships.
pub(crate) fn find(name: &str) -> Result<Found, Fault> {
    let (file, text) = match shipped::find(name) {
        Some(shipped) => (format!("{name} (shipped)"), shipped.text.to_owned()),
        None => {
            let text = std::fs::read_to_string(name);
            let hint = "; `birchhub scenario list` names those that ship";
            (
                name.to_owned(),
                text.map_err(|e| Fault::Input(format!("{name}: {e}{hint}")))?,
            )
        }
    };
    let scenario = Scenario::read(&file, &text).map_err(Fault::input)?;
    Ok(Found {
        scenario,
        file,
        text,
    })
}

fn plan(found: &Found, seed: u64) -> Result<Plan, Fault> {
    Plan::generate(&found.scenario, seed, &found.file, &found.text).map_err(Fault::input)
}

pub(crate) fn run(arguments: Arguments) -> Result<u8, Fault> {
    match arguments.verb {
        Verb::List => {
            for shipped in shipped::ALL {
                let found = find(shipped.name)?;
                let length = found.scenario.duration.0;
                print(&format!(
                    "{:<18} {length:>4.0} s  {}\n",
                    shipped.name, found.scenario.description
                ));
            }
        }
        Verb::Show { name } => match shipped::find(&name) {
            Some(shipped) => print(shipped.text),
            None => return Err(Fault::Input(format!("no scenario called {name} ships"))),
        },
        Verb::Check { scenario } => {
            let found = find(&scenario)?;
            let plan = plan(&found, 1)?;
            let (nodes, proxies) = (plan.first_nodes(), found.scenario.proxies.count);
            print(&format!(
                "{}: {nodes} nodes, {proxies} proxies, {} methods, {} troubles, {:.0} s\n",
                found.scenario.name,
                found.scenario.methods.len(),
                plan.faults.len(),
                plan.length
            ));
        }
        Verb::Plan { scenario, seed } => {
            let plan = plan(&find(&scenario)?, seed)?;
            let mut text = format!(
                "plan {}: {} RPCs in {:.0} s\n",
                plan.hash(),
                plan.arrivals.len(),
                plan.length
            );
            for (at, act) in &plan.actions {
                let _ = writeln!(text, "{at:9.3}  {act:?}");
            }
            print(&text);
        }
    }
    Ok(0)
}
