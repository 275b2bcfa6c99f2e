//! The decisions of birchhub, without I/O and without a clock: `policy` decides, `interface` is what it is called with.
mod chance;
mod held;
pub mod interface;
mod measure;
pub mod policy;
mod roster;
mod turns;
mod waiting;
