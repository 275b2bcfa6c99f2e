//! The backend model: completion times against a reference model, admission, slow start, cancellation and deduplication.
mod admission;
mod deduplication;
mod execution;
mod harness;
mod reference_model;
mod slow_start;
