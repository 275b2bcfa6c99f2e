//! Audits of hand-written ledgers. Each kind of violation is reported exactly once, with its RPC or backend, and the same
//! ledger without the violation has no findings.
mod builder;
mod draining;
mod ledger_file;
mod no_duplicate_effect;
mod one_answer;
mod service;
mod slow_start;
