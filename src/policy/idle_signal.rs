//! Signal that adds a backend to the idle queue. In Join-Idle-Queue idle servers announce
//! themselves instead.

/// What adds a backend to the idle queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum IdleSignal {
    /// A report of low load.
    LowLoad,
    /// Any response, because it has just released capacity of the backend.
    Response,
}
