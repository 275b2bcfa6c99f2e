//! Sockets and bodies for both sides: the budget, observed streams, flow control.

pub(crate) mod body;
pub(crate) mod sockets;
