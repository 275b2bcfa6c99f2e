//! Fault-injection library for `LD_PRELOAD`: it makes system calls of a process under test fail with errors that Linux
//! documents for them, shortens reads and writes, and steps the wall clock.
//!
//! The environment variable `BIRCHHUB_FAULTS` holds the plan, see [`plan`]; without it no call fails. The library is never
//! linked into a program. All unsafe code of the project is here.
mod calls;
pub mod plan;
mod state;
