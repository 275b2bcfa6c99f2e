//! The endpoint list: following it and decoding its lines.

pub(crate) mod client;
