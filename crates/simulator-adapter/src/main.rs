//! Adapter that connects the decisions to the operators' simulator. It reads the simulator's protocol from standard input and
//! writes the replies to standard output. On malformed input it prints the line number and the field to standard error and
//! exits with code 2.

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
