//! A library for `LD_PRELOAD` that makes system calls of a process under test fail in the ways that Linux documents, or
//! steps its wall clock. It is a package by itself and is never linked into a program: all unsafe code of the project is
//! in here.
//!
//! The environment variable `BIRCHHUB_FAULTS` says what happens, see [`plan`]; without it nothing does.
mod calls;
pub mod plan;
mod state;
