//! `birchhub`, the command line of rehearsals, soak tests, audits and capacity measurements: one module for each command.
mod ledger;
mod rehearse;
mod scale;
mod scenario;
mod soak;

use clap::{CommandFactory, Parser, Subcommand};
use std::fmt::Display;
use std::path::PathBuf;
use std::process::ExitCode;

/// Exit code for invalid input: `EX_USAGE` of sysexits, which no verdict uses.
const BAD_INPUT: u8 = 64;
/// Exit code for an operation that failed with valid input: `EX_SOFTWARE` of sysexits.
const FAILED: u8 = 70;

/// Rehearse failures, inspect the results, and measure what a fleet of the planned size costs.
///
/// Verdicts are exit codes: 0 PASS, 1 FAIL (a violated rule or a missed target), 2 VOID (this machine was too busy for a
/// verdict, or the run was stopped). 64 is invalid input, 70 any other failure. BIRCHHUB_LOG sets the level of the log on standard error.
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

/// The reason for which a command ended without its result, as the text that is printed.
enum CommandError {
    /// The input is invalid.
    Input(String),
    /// The operation failed with valid input.
    Failed(String),
}

impl CommandError {
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
        Err(error) => {
            let _ = error.print();
            // Help and version are printed to standard output; anything else is invalid input.
            return ExitCode::from(if error.use_stderr() { BAD_INPUT } else { 0 });
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
        Err(CommandError::Input(error)) => {
            eprintln!("birchhub: {error}");
            ExitCode::from(BAD_INPUT)
        }
        Err(CommandError::Failed(error)) => {
            eprintln!("birchhub: {error}");
            ExitCode::from(FAILED)
        }
    }
}

/// Writes to standard output. Errors are ignored: a reader such as `head` may close the pipe early.
fn print(text: &str) {
    use std::io::Write;
    let _ = std::io::stdout().write_all(text.as_bytes());
}

/// Returns the proxies' program: the one named on the command line, else `birchhubd` beside this program.
fn proxy_program(named: Option<PathBuf>) -> Result<PathBuf, CommandError> {
    let program = match named {
        Some(program) => program,
        None => {
            let own_path = std::env::current_exe().map_err(|e| {
                CommandError::Failed(format!("the path of this program is unknown: {e}"))
            })?;
            own_path.with_file_name("birchhubd")
        }
    };
    match program.is_file() {
        true => Ok(program),
        false => Err(CommandError::Input(format!(
            "there is no proxy program at {}; build it, or name it with --proxies",
            program.display()
        ))),
    }
}
