//! Faults at the sockets of an emulated backend.
use std::cell::RefCell;

/// A fault of RPCs or connections at a backend. `share` is the fraction of RPCs that it affects, 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// The RPC is executed, and its connection is reset instead of a response.
    ConnectionReset {
        /// Fraction of RPCs.
        share: f64,
    },
    /// The RPC is received and gets no response. Health checks get one.
    NoResponse {
        /// Fraction of RPCs.
        share: f64,
    },
    /// The RPC is executed, and the connection is closed before the response is complete.
    TruncatedResponse {
        /// Fraction of RPCs.
        share: f64,
    },
    /// The RPC is executed, and the response is not valid HTTP.
    MalformedResponse {
        /// Fraction of RPCs.
        share: f64,
    },
    /// The RPC is executed, and the response is written byte by byte.
    SlowResponse {
        /// Fraction of RPCs.
        share: f64,
        /// Duration of writing the response, in seconds.
        extra_seconds: f64,
    },
    /// The RPC is not executed and gets an error response at once.
    ErrorResponse {
        /// Fraction of RPCs.
        share: f64,
    },
    /// The backend neither reads from, writes to nor closes connections. Those that are open when the fault ends are reset.
    Partition {
        /// The proxy that is affected; `None` for all proxies.
        proxy: Option<u16>,
    },
}

impl Fault {
    /// Fraction of RPCs that the fault affects; 0 for a partition, which affects connections instead.
    fn share(&self) -> f64 {
        match *self {
            Self::ConnectionReset { share }
            | Self::NoResponse { share }
            | Self::TruncatedResponse { share }
            | Self::MalformedResponse { share }
            | Self::SlowResponse { share, .. }
            | Self::ErrorResponse { share } => share,
            Self::Partition { .. } => 0.0,
        }
    }
}

/// The active faults of one backend, each with the number that identifies it.
#[derive(Debug, Default)]
pub struct ActiveFaults(RefCell<Vec<(u64, Fault)>>);

impl ActiveFaults {
    /// Begins a fault.
    pub fn begin(&self, number: u64, fault: Fault) {
        self.0.borrow_mut().push((number, fault));
    }

    /// Ends the fault with this number.
    pub fn end(&self, number: u64) {
        self.0.borrow_mut().retain(|(n, _)| *n != number);
    }

    /// Whether the backend is partitioned from this proxy.
    pub fn is_partitioned(&self, proxy: u16) -> bool {
        let is_partition = |(_, fault): &(u64, Fault)| match fault {
            Fault::Partition { proxy: affected } => {
                affected.is_none_or(|affected| affected == proxy)
            }
            _ => false,
        };
        self.0.borrow().iter().any(is_partition)
    }

    /// Returns the first fault that affects an RPC. `is_selected` decides from a fault's number and share whether it does.
    pub fn select(&self, is_selected: impl Fn(u64, f64) -> bool) -> Option<Fault> {
        self.0
            .borrow()
            .iter()
            .find(|(number, fault)| is_selected(*number, fault.share()))
            .map(|(_, fault)| *fault)
    }
}
