//! A library for `LD_PRELOAD` that makes system calls of a process under test fail in the ways that Linux documents, or
//! steps its wall clock.
//!
//! The environment variable `BIRCHHUB_FAULTS` holds the plan, see [`plan`]; without it no call fails. The library is
//! never linked into a program, and holds all unsafe code of the project.
mod calls;
pub mod plan;
mod state;
