//! The messages that start an exchange with a backend: an attempt of an RPC or a health check.
use crate::downstream::request::ParsedRequest;
use crate::net::inbound_stream::ClientLiveness;
use crate::upstream::completion_guard::CompletionGuard;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// The message that cancels an exchange unless a byte of it may have been sent.
pub(crate) struct WithdrawIfUnsent;

/// Cancels an exchange; none if it can't be cancelled.
///
/// - If the sender is dropped, the exchange is cancelled, whether or not it was sent.
/// - If [`WithdrawIfUnsent`] is received, it is cancelled only if nothing was sent.
pub(crate) type CancelSignal = Option<oneshot::Receiver<WithdrawIfUnsent>>;

/// The deadlines of an exchange.
#[derive(Clone, Copy)]
pub(crate) struct Deadlines {
    /// When the exchange times out.
    pub response_deadline: Instant,
    /// When the client must have its response; none for a health check.
    pub client_deadline: Option<Instant>,
    /// When the first byte must have been sent; none if that is not limited.
    pub send_deadline: Option<Instant>,
}

/// A request to a backend, its client and its deadlines.
pub(crate) struct ExchangeRequest {
    /// The request that is forwarded.
    pub request: ParsedRequest,
    /// The client of the RPC; none for a health check.
    pub client: Option<ClientLiveness>,
    /// When it must be sent, and when it must have its response.
    pub deadlines: Deadlines,
    /// Cancels the exchange.
    pub cancel: CancelSignal,
}

/// An attempt or health check for an endpoint actor to run.
pub(crate) struct Exchange {
    /// The request to send.
    pub request: ExchangeRequest,
    /// Reports the end of the exchange.
    pub completion: CompletionGuard,
}
