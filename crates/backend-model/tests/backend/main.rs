//! Tests of the backend model: admission, execution, slow start and deduplication, and completion times against a
//! reference model.
mod admission;
mod deduplication;
mod execution;
mod harness;
mod reference_model;
mod slow_start;
