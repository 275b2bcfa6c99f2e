//! birchhub's decision core: no I/O and no clock. `policy` decides, `types` is what it is called with.
pub mod measure;
pub mod policy;
pub mod types;
