//! Simulated events: what the queue holds, and what reaches a proxy's process.
use super::list::Line;
use birchhub::interface::{AttemptOutcome as PickEnd, LoadReport};
use birchhub_audit::Answer;

#[derive(Clone, Debug)]
pub(super) enum What {
    Act(usize),
    Due(u32),
    Try {
        rpc: u32,
        number: u8,
    },
    AtProxy {
        attempt: u64,
        proxy: u16,
    },
    ToProxy {
        proxy: u16,
        process: u32,
        what: Call,
    },
    AtNode {
        job: u64,
        begun: f64,
    },
    NodeDue {
        node: u32,
        version: u64,
    },
    /// The proxy has closed the connection of this pick.
    Closed {
        job: u64,
    },
    ProbeAt {
        proxy: u16,
        process: u32,
        node: u32,
    },
    Answer {
        attempt: u64,
        answer: Answer,
    },
    GiveUp {
        attempt: u64,
    },
    HangUp {
        attempt: u64,
    },
    Publish {
        node: u32,
        line: Line,
    },
    ListAsked {
        proxy: u16,
        process: u32,
    },
    /// The list service, which takes only so many calls at a time, has worked on one.
    ListDone {
        proxy: u16,
        process: u32,
    },
    Retire {
        node: u32,
        by: f64,
        successor: u32,
        after: f64,
    },
    Begin {
        node: u32,
    },
    Notice {
        proxy: u16,
        process: u32,
    },
    MayEnd {
        proxy: u16,
        process: u32,
    },
    StartProxy {
        proxy: u16,
        since: f64,
    },
}

/// What reaches a proxy's process.
#[derive(Clone, Debug)]
pub(super) enum Call {
    Wake,
    Deadline(u64),
    HungUp(u64),
    Back {
        job: u64,
        how: PickEnd,
        report: Option<LoadReport>,
    },
    TimeOut {
        job: u64,
    },
    Probed {
        node: u32,
        how: PickEnd,
        report: Option<LoadReport>,
    },
    News(Vec<(u32, Line)>),
    ListFailed,
}
