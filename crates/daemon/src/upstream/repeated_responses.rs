//! Recognizes repeated responses by their contents.
//!
//! - Served responses: a repetition has the body of the original. Where the responses of a service all have different
//!   bodies, a response with the body of the previous one on its connection is therefore no response to the request on it.
//!   Where bodies recur, this says nothing.
//! - Rejections: those of a backend that is full are equal. Where a backend has lately sent bytes that no request asked
//!   for, one that is equal to the previous one in all fields counts as a repetition nevertheless: the backend may be
//!   executing the request.
use crate::net::outbound_connection::ReceivedResponse;
use crate::upstream::backend_protocol::is_rejection;
use hyper::StatusCode;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::hash::{BuildHasher, Hash, Hasher, RandomState};

/// Number of successive served responses that must all have different bodies before the next ones are expected to differ,
/// if no two were equal before. Each further response is compared with all of these, but only with the previous one on its
/// connection to be taken for a repetition: that bodies recur is found out first, by odds of 16 to 1.
const DISTINCT_AT_FIRST: usize = 16;

/// Number of successive served responses that must all have different bodies after two that were equal.
///
/// If two bodies are equal with probability q, all pairs of so many differ with probability exp(-2016 q). So at most one
/// response of 5,000 is taken for a repetition although it is none, whatever q is.
const DISTINCT_AFTER_EQUAL: usize = 64;

/// Identifies the content of a response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ResponseDigest {
    /// The body of a served response.
    Served(u64),
    /// Header fields and body of a rejection.
    Rejection(u64),
}

/// Compares responses to RPCs, of all backends.
pub(crate) struct ResponseComparison {
    /// The latest served responses since two of them were equal, at most [`DISTINCT_AFTER_EQUAL`].
    latest: RefCell<VecDeque<ResponseDigest>>,
    /// Number of responses in `latest` from which on the next ones are expected to differ.
    required: Cell<usize>,
    hasher: RandomState,
}

impl Default for ResponseComparison {
    fn default() -> Self {
        Self {
            latest: RefCell::default(),
            required: Cell::new(DISTINCT_AT_FIRST),
            hasher: RandomState::new(),
        }
    }
}

impl ResponseComparison {
    /// Returns the digest of a response that can be compared.
    ///
    /// An empty body can't be told from another one, nor can a body of unknown length before it has ended, which may be
    /// after its first part was forwarded.
    pub(super) fn digest(&self, response: &ReceivedResponse) -> Option<ResponseDigest> {
        let has_whole_body =
            !response.is_partial && response.length.is_some_and(|length| length > 0);
        if response.status == StatusCode::OK {
            has_whole_body.then(|| ResponseDigest::Served(self.hasher.hash_one(&response.body)))
        } else {
            is_rejection(response.status, &response.headers)
                .then(|| ResponseDigest::Rejection(self.rejection_hash(response)))
        }
    }

    fn rejection_hash(&self, response: &ReceivedResponse) -> u64 {
        let mut hasher = self.hasher.build_hasher();
        response.status.hash(&mut hasher);
        for (name, value) in &response.headers {
            name.hash(&mut hasher);
            value.hash(&mut hasher);
        }
        response.body.hash(&mut hasher);
        hasher.finish()
    }

    /// Adds a response to an RPC.
    pub(super) fn record(&self, response: ResponseDigest) {
        if matches!(response, ResponseDigest::Rejection(_)) {
            return;
        }
        let mut latest = self.latest.borrow_mut();
        if latest.contains(&response) {
            latest.clear();
            self.required.set(DISTINCT_AFTER_EQUAL);
        }
        if latest.len() == DISTINCT_AFTER_EQUAL {
            latest.pop_front();
        }
        latest.push_back(response);
    }

    /// Whether the latest served responses all had different bodies, so that an equal one is a repetition.
    pub(super) fn are_distinct(&self) -> bool {
        self.latest.borrow().len() >= self.required.get()
    }
}
