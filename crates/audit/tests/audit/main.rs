//! Ledgers written by hand for each kind of violation: each is found exactly once, with its RPC or backend named, and
//! the same ledger without it has no findings.
mod builder;
mod draining;
mod ledger_file;
mod no_duplicate_effect;
mod one_answer;
mod service;
mod slow_start;
