//! HTTP headers and paths defined by the platform's protocols.

/// Id of a client's request, in hexadecimal.
pub(crate) const REQUEST_ID: &str = "Request-Id";
/// Time for which the sender waits for the response, in milliseconds.
pub(crate) const REQUEST_TIMEOUT: &str = "Request-Timeout-Ms";
/// Tenant whose quota a request is charged to.
pub(crate) const TENANT: &str = "Tenant";
/// Idempotency key of an RPC.
pub(crate) const IDEMPOTENCY_KEY: &str = "Idempotency-Key";
/// Marks a client's retry.
pub(crate) const CLIENT_RETRY: &str = "Client-Retry";
/// Marks a rejection by a backend that did not start the RPC.
pub(crate) const NOT_STARTED: &str = "Not-Started";
/// Load report of a backend.
pub(crate) const LOAD_REPORT: &str = "Server-Load";
/// Time after which a rejected client may retry, in seconds.
pub(crate) const RETRY_AFTER: &str = "Retry-After";

/// Path of a backend's health check.
pub(crate) const HEALTH_CHECK_PATH: &str = "/health/live";
/// Path of a backend's health check whose response body is the load report.
pub(crate) const LOAD_REPORT_PATH: &str = "/stats";
/// Path of the endpoint list of the discovery service.
pub(crate) const ENDPOINT_LIST_PATH: &str = "/registry/instances";
