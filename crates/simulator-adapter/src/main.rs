//! Adapter that runs the decisions on the operators' simulator: reads its protocol on standard input and writes the answers
//! to standard output. Malformed input ends the program with exit code 2 and one line that names the input line and the field.

mod endpoints;
mod error;
mod fields;
mod platform;
mod protocol;
mod session;
mod simulated_proxies;
mod simulated_proxy;

use std::process::ExitCode;

/// Exit code for malformed input.
const MALFORMED_INPUT: u8 = 2;

fn main() -> ExitCode {
    std::panic::set_hook(Box::new(|panic| {
        eprintln!("birchhub-simulator-adapter: {panic}")
    }));
    match session::run(std::io::stdin().lock(), std::io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("birchhub-simulator-adapter: {error}");
            ExitCode::from(MALFORMED_INPUT)
        }
    }
}
