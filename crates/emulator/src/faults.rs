//! Faults at a node's sockets, each with a number of its own by which it ends again.
use std::cell::RefCell;

/// What goes wrong with RPCs, or with connections. Shares are parts of the RPCs, 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// The RPC runs, and its connection is reset in place of an answer.
    Reset { share: f64 },
    /// The RPC is taken and never answered; probes are.
    Mute { share: f64 },
    /// The RPC runs, and half of its answer comes before the connection closes.
    Half { share: f64 },
    /// The RPC runs, and what comes is no HTTP.
    Garbage { share: f64 },
    /// The RPC runs, and its answer takes this many seconds more, byte by byte.
    Trickle { share: f64, over: f64 },
    /// An error answer at once, without a run.
    Error { share: f64 },
    /// Cut off from one proxy, or from all: nothing is read, nothing written, nothing closed. When it ends, what
    /// stood open is reset.
    Partition { from: Option<u16> },
}

/// The faults of one node now.
#[derive(Debug, Default)]
pub struct Faults(RefCell<Vec<(u64, Fault)>>);

impl Faults {
    pub fn begin(&self, number: u64, fault: Fault) {
        self.0.borrow_mut().push((number, fault));
    }

    pub fn end(&self, number: u64) {
        self.0.borrow_mut().retain(|(n, _)| *n != number);
    }

    /// Whether this proxy is cut off.
    pub fn cut_off(&self, proxy: u16) -> bool {
        let cuts = |(_, fault): &(u64, Fault)| match fault {
            Fault::Partition { from } => from.is_none_or(|from| from == proxy),
            _ => false,
        };
        self.0.borrow().iter().any(cuts)
    }

    /// The first fault whose share this RPC hits.
    pub fn for_rpc(&self, hits: impl Fn(u64, f64) -> bool) -> Option<Fault> {
        let share = |fault: &Fault| match *fault {
            Fault::Reset { share }
            | Fault::Mute { share }
            | Fault::Half { share }
            | Fault::Garbage { share }
            | Fault::Trickle { share, .. }
            | Fault::Error { share } => share,
            Fault::Partition { .. } => 0.0,
        };
        self.0
            .borrow()
            .iter()
            .find(|(number, fault)| hits(*number, share(fault)))
            .map(|(_, fault)| *fault)
    }
}
