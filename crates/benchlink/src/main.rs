//! Reads the bench's wire on standard input, calls the decision module, writes its answers.
mod wire;

use std::process::ExitCode;

fn main() -> ExitCode {
    match wire::run(std::io::stdin().lock(), std::io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("birchhub-benchlink: {fault}");
            ExitCode::from(2)
        }
    }
}
