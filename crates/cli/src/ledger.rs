//! `birchhub ledger` and `birchhub audit`: print and audit the ledger of a rehearsal.
use crate::{CommandError, print};
use birchhub_audit::timeline::Timeline;
use birchhub_rehearsal::{Report, run::open};
use clap::{Args, Subcommand};
use std::path::PathBuf;

/// Read the ledger of a rehearsal
#[derive(Args)]
pub(crate) struct Arguments {
    #[command(subcommand)]
    verb: Verb,
}

#[derive(Subcommand)]
enum Verb {
    /// Print the events in order: all of them, or those of one RPC
    Show {
        /// The file `ledger` in the folder of a run
        file: PathBuf,
        /// Only events of the RPC with this number
        #[arg(long)]
        rpc: Option<u32>,
        /// Only events from this time on, in seconds
        #[arg(long, default_value_t = f64::NEG_INFINITY)]
        from: f64,
        /// Only events until this time, in seconds
        #[arg(long, default_value_t = f64::INFINITY)]
        until: f64,
    },
}

/// Audit a ledger again: the same verdict, text and exit code as its rehearsal
#[derive(Args)]
pub(crate) struct Audit {
    /// The file `ledger` in the folder of a run
    file: PathBuf,
    /// Print the report as JSON
    #[arg(long)]
    json: bool,
}

pub(crate) fn run(arguments: Arguments) -> Result<u8, CommandError> {
    let Verb::Show {
        file,
        rpc,
        from,
        until,
    } = arguments.verb;
    let (header, entries) = open(&file).map_err(CommandError::input)?;
    let timeline = Timeline::new(&header, &entries);
    let mut text = String::new();
    for entry in entries.iter().filter(|e| e.at >= from && e.at <= until) {
        if rpc.is_none() || timeline.rpc(&entry.event) == rpc {
            text.push_str(&timeline.line(entry));
            text.push('\n');
        }
    }
    if let Some(rpc) = rpc.filter(|_| text.is_empty()) {
        return Err(CommandError::Input(format!(
            "{}: there is no RPC {rpc} in it",
            file.display()
        )));
    }
    print(&text);
    Ok(0)
}

pub(crate) fn audit(arguments: Audit) -> Result<u8, CommandError> {
    let (header, entries) = open(&arguments.file).map_err(CommandError::input)?;
    let report = Report::of(&header, &entries, false, None);
    match arguments.json {
        true => print(&(report.json() + "\n")),
        false => print(&report.text()),
    }
    Ok(report.verdict.exit_code())
}
