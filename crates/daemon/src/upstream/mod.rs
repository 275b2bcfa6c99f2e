//! Backends: an actor for each, its connections and the attempts on them.

pub(crate) mod endpoint;
