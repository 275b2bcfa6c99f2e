//! ActiveFaults at a node's sockets, each with a number of its own by which it ends again.
use std::cell::RefCell;

/// What goes wrong with RPCs, or with connections. Shares are parts of the RPCs, 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// The RPC runs, and its connection is reset in place of an answer.
    ConnectionReset { share: f64 },
    /// The RPC is taken and never answered; probes are.
    NoResponse { share: f64 },
    /// The RPC runs, and half of its answer comes before the connection closes.
    TruncatedResponse { share: f64 },
    /// The RPC runs, and what comes is no HTTP.
    MalformedResponse { share: f64 },
    /// The RPC runs, and its answer takes this many seconds more, byte by byte.
    SlowResponse { share: f64, extra_seconds: f64 },
    /// An error answer at once, without a run.
    ErrorResponse { share: f64 },
    /// Cut off from one proxy, or from all: nothing is read, nothing written, nothing closed. When it ends, what
    /// stood open is reset.
    Partition { proxy: Option<u16> },
}

/// The faults of one node now.
#[derive(Debug, Default)]
pub struct ActiveFaults(RefCell<Vec<(u64, Fault)>>);

impl ActiveFaults {
    pub fn begin(&self, number: u64, fault: Fault) {
        self.0.borrow_mut().push((number, fault));
    }

    pub fn end(&self, number: u64) {
        self.0.borrow_mut().retain(|(n, _)| *n != number);
    }

    /// Whether this proxy is cut off.
    pub fn is_partitioned(&self, proxy: u16) -> bool {
        let cuts = |(_, fault): &(u64, Fault)| match fault {
            Fault::Partition { proxy: affected } => {
                affected.is_none_or(|affected| affected == proxy)
            }
            _ => false,
        };
        self.0.borrow().iter().any(cuts)
    }

    /// The first fault whose share this RPC is_selected.
    pub fn select(&self, is_selected: impl Fn(u64, f64) -> bool) -> Option<Fault> {
        let share = |fault: &Fault| match *fault {
            Fault::ConnectionReset { share }
            | Fault::NoResponse { share }
            | Fault::TruncatedResponse { share }
            | Fault::MalformedResponse { share }
            | Fault::SlowResponse { share, .. }
            | Fault::ErrorResponse { share } => share,
            Fault::Partition { .. } => 0.0,
        };
        self.0
            .borrow()
            .iter()
            .find(|(number, fault)| is_selected(*number, share(fault)))
            .map(|(_, fault)| *fault)
    }
}
