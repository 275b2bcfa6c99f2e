//! The actor around the decision package: every call on it is made here.

pub(crate) mod actor;
