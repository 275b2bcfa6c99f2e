//! Interface between the balancer and its platform: settings, events, and the [`Platform`] trait
//! through which the balancer acts.
//!
//! All times and durations are in seconds as `f64`; the platform chooses the origin of its clock.

use birchhub_invariants::Violation;

/// Settings of a deployment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Number of proxies in front of the same backends, including this one.
    pub proxy_count: usize,
    /// Methods. [`IncomingRpc::method`] is an index into this list.
    pub methods: Vec<MethodSettings>,
    /// Tenants. [`IncomingRpc::tenant`] is an index into this list.
    pub tenants: Vec<TenantSettings>,
    /// Maximum number of attempts per RPC, including the first.
    pub max_attempts: usize,
    /// Whether an attempt in flight may be cancelled.
    pub can_cancel: bool,
    /// Whether backends answer health checks.
    pub can_health_check: bool,
    /// Whether cells cache data by key, so that an RPC costs less in a cell that served its key
    /// recently.
    pub key_affinity: bool,
    /// Whether an RPC may be hedged, that is, have a second attempt while the first is in flight.
    pub can_hedge: bool,
    /// Longest `retry_after` that clients honour, in seconds; 0 if rejections do not carry one.
    pub max_retry_after: f64,
    /// Cost of sending one health check per RPC, in points of the service score.
    pub health_check_cost: f64,
    /// Cost of sending every RPC to another zone, in points of the service score.
    pub cross_zone_cost: f64,
    /// Index of this proxy's zone, comparable with [`Endpoint::zone`].
    pub own_zone: usize,
    /// Number of zones.
    pub zone_count: usize,
    /// Weight of availability, counted in nines, in the service score; 0 if it does not count.
    pub log_loss_weight: f64,
    /// Availability objective in nines.
    pub target_nines: f64,
    /// Messages that carry load reports.
    pub load_report_source: LoadReportSource,
    /// Whether load reports include the number of RPCs at a backend; otherwise they contain only
    /// its utilisation.
    pub reports_include_queue: bool,
    /// Whether the endpoint list is polled; otherwise updates are pushed.
    pub polls_endpoint_list: bool,
    /// Maximum time between two polls of the endpoint list, in seconds.
    pub max_poll_interval: f64,
    /// Time after the announcement of a drain during which the backend may still be sent RPCs, in
    /// seconds.
    pub drain_grace: f64,
    /// Whether only [`Readiness::Draining`] forbids attempts: a backend that is removed or no
    /// longer listed may still be running.
    pub only_draining_is_binding: bool,
    /// Cooldown of a key after an attempt that may still be running, in seconds. For methods that
    /// are ordered by key, the next RPC with the same key waits for its end.
    pub key_cooldown: f64,
    /// Fraction of its full capacity that a backend has when it starts.
    pub slow_start_initial_fraction: f64,
    /// Time that a backend takes to warm up, in seconds.
    pub slow_start_duration: f64,
    /// Load at which a warming backend fails, as a multiple of its current capacity.
    pub overload_multiple: f64,
    /// Window over which the load of a warming backend is averaged, in seconds.
    pub overload_window: f64,
}

/// Messages that carry load reports.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum LoadReportSource {
    /// There are no load reports.
    #[default]
    None,
    /// Responses to attempts.
    Responses,
    /// Responses to health checks.
    HealthChecks,
}

/// Settings of one method.
#[derive(Clone, Debug, PartialEq)]
pub struct MethodSettings {
    /// What a repeated execution does.
    pub idempotency: Idempotency,
    /// Time from the arrival of an RPC within which a response has its full weight, in seconds.
    pub latency_objective: f64,
    /// Multiple of the RPC's expected work that is added to the latency objective.
    pub objective_stretch: f64,
    /// Weight of a response within the latency objective.
    pub priority_weight: f64,
    /// Fraction of the weight that a response has between the latency objective and the deadline.
    pub late_weight_fraction: f64,
    /// Whether RPCs with the same key run one at a time, in the order in which this proxy accepted
    /// them.
    pub ordered_by_key: bool,
}

/// What a repeated execution of a method does.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    /// It has no effect beyond that of the first execution.
    Idempotent,
    /// It repeats the effect.
    NonIdempotent,
    /// It has no effect: the backends in `scope` drop duplicates for `window` seconds after the
    /// first attempt was sent.
    Deduplicated {
        /// Backends that share deduplication.
        scope: DeduplicationScope,
        /// Time for which duplicates are dropped, in seconds.
        window: f64,
    },
}

/// Set of backends that share deduplication: each drops duplicates of RPCs that another has
/// executed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DeduplicationScope {
    /// All backends.
    All,
    /// Backends of the same zone.
    Zone,
    /// Backends of the same cell.
    Cell,
}

/// Settings of one tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantSettings {
    /// Quota of the tenant over all proxies, in RPCs per second.
    pub quota: f64,
}

/// Maps each method and tenant of new settings to its index in the previous settings, or to `None`
/// if it is new.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CarriedOver {
    /// Previous index of each method.
    pub methods: Vec<Option<usize>>,
    /// Previous index of each tenant.
    pub tenants: Vec<Option<usize>>,
}

/// An RPC received from a client.
#[derive(Clone, Copy, Debug, Default)]
pub struct IncomingRpc {
    /// Identifier of the RPC in calls to [`Platform`].
    pub id: u64,
    /// Index into [`Settings::methods`].
    pub method: usize,
    /// Index into [`Settings::tenants`].
    pub tenant: Option<usize>,
    /// Time by which the client needs the final response.
    pub deadline: f64,
    /// Work that the client expects the RPC to take, in seconds.
    pub expected_work: Option<f64>,
    /// Whether the client marked the RPC as a retry.
    pub client_retry: bool,
    /// Whether the body is still arriving. Each attempt is then being sent until
    /// [`RpcHandle::on_request_sent`] is called.
    ///
    /// [`RpcHandle::on_request_sent`]: crate::balancer::RpcHandle::on_request_sent
    pub streams_request: bool,
    /// Hash of the RPC's key; the same at every proxy.
    pub key: Option<u64>,
}

/// How an update of the endpoint list affects endpoints that it does not contain.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EndpointUpdateKind {
    /// They remain unchanged.
    Incremental,
    /// They are removed.
    Snapshot,
    /// They are removed. The list comes from a cache and may be out of date.
    StaleSnapshot,
    /// They remain unchanged. The update is an operator's command and does not come from the
    /// discovery service.
    Administrative,
}

impl EndpointUpdateKind {
    /// Returns whether endpoints that the update does not contain are removed.
    pub fn is_snapshot(self) -> bool {
        matches!(self, Self::Snapshot | Self::StaleSnapshot)
    }
}

/// Whether an endpoint accepts new RPCs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Readiness {
    /// The endpoint accepts new RPCs.
    Ready,
    /// The endpoint finishes its RPCs and accepts no new ones.
    Draining,
    /// The endpoint has stopped.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Copy, Debug)]
pub struct Endpoint {
    /// Number of the backend.
    pub backend: u32,
    /// Capacity relative to other backends; 1 if the list does not specify it.
    pub relative_size: f64,
    /// Time of the last start; `None` if it was long ago.
    pub started_at: Option<f64>,
    /// Number of the backend's cell.
    pub cell: u64,
    /// Index of the backend's zone.
    pub zone: usize,
    /// Whether the backend accepts new RPCs.
    pub readiness: Readiness,
}

/// Load reported by a backend. Fields missing from the report are `None`.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    /// Number of RPCs being executed.
    pub in_flight: Option<f64>,
    /// Number of queued RPCs.
    pub queued: Option<f64>,
    /// Fraction of the capacity in use.
    pub utilisation: Option<f64>,
}

impl LoadReport {
    /// Returns the available field that best approximates the number of RPCs at the backend.
    pub fn load(self) -> Option<f64> {
        self.in_flight.or(self.queued).or(self.utilisation)
    }
}

/// How an attempt or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptOutcome {
    /// A complete response arrived.
    Succeeded,
    /// A response that reports a failure arrived.
    Failed,
    /// The backend rejected it without doing any work.
    Rejected,
    /// No response arrived in time.
    TimedOut,
    /// The connection could not be opened.
    ConnectFailed,
    /// The connection broke.
    Reset,
    /// It was cancelled.
    Cancelled,
    /// This proxy could not send it, or withdrew it before it was sent.
    NotSent,
}

impl AttemptOutcome {
    /// Returns whether the outcome proves that the backend never executed the attempt.
    pub fn never_ran(self) -> bool {
        matches!(self, Self::Rejected | Self::ConnectFailed | Self::NotSent)
    }

    /// Returns whether the outcome proves that the attempt never reached the backend.
    pub fn never_reached_backend(self) -> bool {
        matches!(self, Self::ConnectFailed | Self::NotSent)
    }
}

/// Whether RPCs of methods that are ordered by key run in this process. While one process of a proxy
/// replaces another, only one of them runs such RPCs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum OrderedRpcs {
    /// They run, those with one key one at a time.
    #[default]
    Run,
    /// They wait, because another process still runs some that were accepted earlier.
    Wait,
    /// They are rejected, because another process runs them from now on.
    Reject,
}

/// Which side limits the rate of a streamed response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PacedBy {
    /// The backend, which is working on the response until it ends.
    Backend,
    /// The client; the duration of the response is no measure of the backend's speed.
    Client,
}

/// Actions that the balancer requests from its platform. No call blocks until the action has
/// completed.
pub trait Platform {
    /// Returns the current time.
    fn now(&self) -> f64;
    /// Starts the next attempt of an RPC, with a timeout in seconds. The attempts of an RPC are
    /// numbered from 0.
    fn start_attempt(&mut self, rpc: u64, backend: u32, timeout: f64);
    /// Cancels an attempt.
    fn cancel_attempt(&mut self, rpc: u64, attempt: usize);
    /// Sends the final response that the RPC is rejected and that a retry is harmless. A
    /// `retry_after` of 0 means that the response does not say when to retry.
    fn reject(&mut self, rpc: u64, retry_after: f64);
    /// Sends the final response that the RPC has failed and may have been executed.
    fn fail(&mut self, rpc: u64);
    /// Starts a health check of a backend.
    fn health_check(&mut self, backend: u32);
    /// Polls the endpoint list, or subscribes to its updates.
    fn watch_endpoints(&mut self);
    /// Reports a violated invariant, which is counted and shown to operators.
    fn report_violation(&mut self, _violation: Violation) {}
    /// Schedules a call of [`Balancer::on_timer`] after `delay` seconds.
    ///
    /// [`Balancer::on_timer`]: crate::balancer::Balancer::on_timer
    fn schedule_timer(&mut self, delay: f64);
}
