//! Signal that fills the idle queue: the role of the idle servers' own announcements in Join-Idle-Queue.

/// What puts a backend into the idle queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum IdleSignal {
    /// A report of low load.
    LowLoad,
    /// Any response: it has just released capacity of the backend.
    Response,
}
