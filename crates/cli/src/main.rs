//! `birchhub`, the project's command line. Each verb has a file of its own.
mod ledger;
mod rehearse;
mod scale;
mod scenario;
mod soak;

use clap::{CommandFactory, Parser, Subcommand};
use std::fmt::Display;
use std::path::PathBuf;
use std::process::ExitCode;

const BAD_INPUT: u8 = 64; // as sysexits has it: told apart from every verdict
const FAILED: u8 = 70; // it could not be done, and the input is not to blame

/// Rehearse failures, look at what happened, and measure what a fleet of the planned size costs.
///
/// Verdicts are exit codes: 0 PASS, 1 FAIL (a rule or a bar), 2 VOID (this machine was too busy to say, or the run was stopped).
/// 64 is bad input, 70 anything else that went wrong. BIRCHHUB_LOG sets the level of the log on standard error.
#[derive(Parser)]
#[command(name = "birchhub", version, max_term_width = 110)]
struct Arguments {
    #[command(subcommand)]
    verb: Verb,
}

#[derive(Subcommand)]
enum Verb {
    Rehearse(rehearse::Arguments),
    Scenario(scenario::Arguments),
    Scale(scale::Arguments),
    Soak(soak::Arguments),
    Ledger(ledger::Arguments),
    Audit(ledger::Audit),
    /// Print completions for a shell
    Completions {
        shell: clap_complete::Shell,
    },
}

/// The reason for which a verb ended without its result, as the text that is printed.
enum Fault {
    /// The input is invalid.
    Input(String),
    /// The operation failed with valid input.
    Failed(String),
}

impl Fault {
    /// An error that invalid input caused.
    fn input(error: impl Display) -> Self {
        Self::Input(error.to_string())
    }

    /// An error that occurred with valid input.
    fn failed(error: impl Display) -> Self {
        Self::Failed(error.to_string())
    }
}

fn main() -> ExitCode {
    let arguments = match Arguments::try_parse() {
        Ok(arguments) => arguments,
        Err(fault) => {
            let _ = fault.print();
            // Help and version are asked for; anything else is bad input.
            return ExitCode::from(if fault.use_stderr() { BAD_INPUT } else { 0 });
        }
    };
    birchhub_logging::start();
    let outcome = match arguments.verb {
        Verb::Rehearse(arguments) => rehearse::run(arguments),
        Verb::Scenario(arguments) => scenario::run(arguments),
        Verb::Scale(arguments) => scale::run(arguments),
        Verb::Soak(arguments) => soak::run(arguments),
        Verb::Ledger(arguments) => ledger::run(arguments),
        Verb::Audit(arguments) => ledger::audit(arguments),
        Verb::Completions { shell } => {
            clap_complete::generate(
                shell,
                &mut Arguments::command(),
                "birchhub",
                &mut std::io::stdout(),
            );
            Ok(0)
        }
    };
    match outcome {
        Ok(code) => ExitCode::from(code),
        Err(Fault::Input(fault)) => {
            eprintln!("birchhub: {fault}");
            ExitCode::from(BAD_INPUT)
        }
        Err(Fault::Failed(fault)) => {
            eprintln!("birchhub: {fault}");
            ExitCode::from(FAILED)
        }
    }
}

/// Writes to standard output; a reader that has left, as `head` does, is no fault.
fn print(text: &str) {
    use std::io::Write;
    let _ = std::io::stdout().write_all(text.as_bytes());
}

/// The proxies' program: the one that was named, else `birchhubd` beside this one.
fn daemon(named: Option<PathBuf>) -> Result<PathBuf, Fault> {
    let program = match named {
        Some(program) => program,
        None => {
            let own =
                std::env::current_exe().map_err(|e| Fault::Failed(format!("where am I? {e}")))?;
            own.with_file_name("birchhubd")
        }
    };
    match program.is_file() {
        true => Ok(program),
        false => Err(Fault::Input(format!(
            "there is no proxy program at {}; build it, or name it with --proxies",
            program.display()
        ))),
    }
}
