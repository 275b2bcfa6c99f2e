//! Interface of the decisions: the settings and events that they take, and [`Platform`], through which
//! they act.
//!
//! All times and durations are in seconds as `f64`; the platform chooses the origin of its clock.

use birchhub_invariants::Violation;

/// The settings of a deployment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Number of proxies in front of the same backends, including this one.
    pub proxy_count: usize,
    /// The methods. An [`IncomingRpc`] names one by its index here.
    pub methods: Vec<MethodSettings>,
    /// The tenants. An [`IncomingRpc`] names one by its index here.
    pub tenants: Vec<TenantSettings>,
    /// Most attempts for one RPC, including the first.
    pub max_attempts: usize,
    /// An attempt in flight may be cancelled.
    pub can_cancel: bool,
    /// Backends answer health checks.
    pub can_health_check: bool,
    /// Cells cache what they need for a key: an RPC costs less where its key was served recently.
    pub key_affinity: bool,
    /// An RPC may be hedged: it may have a second attempt while the first is in flight.
    pub can_hedge: bool,
    /// Longest `retry_after` that clients honour, in seconds; 0 where rejections carry none.
    pub max_retry_after: f64,
    /// Cost of one health check for every RPC, in points of service.
    pub health_check_cost: f64,
    /// Cost of sending every RPC to another zone, in points of service.
    pub cross_zone_cost: f64,
    /// Index of the zone of this proxy, as in [`Endpoint::zone`].
    pub own_zone: usize,
    /// Number of zones.
    pub zone_count: usize,
    /// Weight of the nines of availability in the objective; 0 where they do not count.
    pub log_loss_weight: f64,
    /// Availability objective, in nines.
    pub target_nines: f64,
    /// What carries load reports.
    pub load_report_source: LoadReportSource,
    /// Load reports count the RPCs at a backend; otherwise they tell its utilisation only.
    pub reports_include_queue: bool,
    /// The endpoint list is polled; otherwise its updates are pushed.
    pub polls_endpoint_list: bool,
    /// Longest time allowed between two polls of the endpoint list, in seconds.
    pub max_poll_interval: f64,
    /// Time for which a draining backend may still be sent RPCs after its drain was announced, in
    /// seconds.
    pub drain_grace: f64,
    /// Of the endpoint list only [`Readiness::Draining`] binds: a backend that is removed or no longer
    /// listed may still run.
    pub only_draining_is_binding: bool,
    /// Cooldown of a key after an attempt that may still run, in seconds; the next RPC with the key of
    /// a method that is ordered by key waits for it.
    pub key_cooldown: f64,
    /// Fraction of its capacity that a backend has when it starts.
    pub slow_start_initial_fraction: f64,
    /// Time that a backend takes to warm up, in seconds.
    pub slow_start_duration: f64,
    /// Multiple of its present capacity above which a warming backend fails.
    pub overload_multiple: f64,
    /// Time over which the load of a warming backend is averaged, in seconds.
    pub overload_window: f64,
}

/// What carries load reports.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum LoadReportSource {
    /// Nothing: there are no load reports.
    #[default]
    None,
    /// The responses to attempts.
    Responses,
    /// The responses to health checks.
    HealthChecks,
}

/// The settings of one method.
#[derive(Clone, Debug, PartialEq)]
pub struct MethodSettings {
    /// Effect of a repeated execution.
    pub idempotency: Idempotency,
    /// Time within which a response has its full weight, in seconds.
    pub latency_objective: f64,
    /// Multiple of the RPC's expected work that is added to the objective.
    pub objective_stretch: f64,
    /// Weight of a response within the objective.
    pub priority_weight: f64,
    /// Fraction of the weight left for a response between objective and deadline.
    pub late_weight_fraction: f64,
    /// RPCs with the same key run one at a time, in the order in which this proxy accepted them.
    pub ordered_by_key: bool,
}

/// Effect of a repeated execution of a method.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    /// None beyond that of the first execution.
    Idempotent,
    /// The effect is repeated.
    NonIdempotent,
    /// None: the backends of `scope` drop duplicates for `window` seconds after the first attempt was
    /// sent.
    Deduplicated {
        /// The backends that drop each other's duplicates.
        scope: DeduplicationScope,
        /// Time for which they drop them, in seconds.
        window: f64,
    },
}

/// The backends that drop each other's duplicates.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DeduplicationScope {
    /// All backends.
    All,
    /// The backends of one zone.
    Zone,
    /// The backends of one cell.
    Cell,
}

/// The settings of one tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantSettings {
    /// RPCs per second within the tenant's quota, summed over all proxies.
    pub quota: f64,
}

/// For each method and tenant of new settings, in their order: its index in the former settings, or
/// `None` if it is new.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CarriedOver {
    /// Former indexes of the methods.
    pub methods: Vec<Option<usize>>,
    /// Former indexes of the tenants.
    pub tenants: Vec<Option<usize>>,
}

/// An RPC that arrives.
#[derive(Clone, Copy, Debug, Default)]
pub struct IncomingRpc {
    /// Number that identifies it in calls of [`Platform`].
    pub id: u64,
    /// Index into [`Settings::methods`].
    pub method: usize,
    /// Index into [`Settings::tenants`].
    pub tenant: Option<usize>,
    /// Time by which the client needs the final answer.
    pub deadline: f64,
    /// Work that the client expects it to take, in seconds.
    pub expected_work: Option<f64>,
    /// The client has marked it as a retry.
    pub client_retry: bool,
    /// Its body is still arriving: each attempt is being sent until
    /// [`RpcHandle::on_request_sent`] is called.
    ///
    /// [`RpcHandle::on_request_sent`]: crate::balancer::RpcHandle::on_request_sent
    pub streams_request: bool,
    /// A hash of the RPC's key that is the same at every proxy.
    pub key: Option<u64>,
}

/// What an update of the endpoint list means for the endpoints that it does not name.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EndpointUpdateKind {
    /// They are unchanged.
    Incremental,
    /// They are removed.
    Snapshot,
    /// They are removed; the list was cached and may be out of date.
    StaleSnapshot,
    /// They are unchanged; the update is an operator's command and does not come from the discovery
    /// service.
    Administrative,
}

impl EndpointUpdateKind {
    /// Returns whether endpoints that the update does not name are removed.
    pub fn is_snapshot(self) -> bool {
        matches!(self, Self::Snapshot | Self::StaleSnapshot)
    }
}

/// Whether an endpoint takes new RPCs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Readiness {
    /// It takes new RPCs.
    Ready,
    /// It finishes its RPCs and takes no new ones.
    Draining,
    /// It has stopped.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Copy, Debug)]
pub struct Endpoint {
    /// Number of the backend.
    pub backend: u32,
    /// Capacity relative to other backends; 1 where the list does not say.
    pub relative_size: f64,
    /// Time of the latest start; `None` if it was long ago.
    pub started_at: Option<f64>,
    /// Number of its cell.
    pub cell: u64,
    /// Index of its zone.
    pub zone: usize,
    /// Whether it takes new RPCs.
    pub readiness: Readiness,
}

/// A backend's report of its load. Fields that it does not carry are `None`.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    /// Number of RPCs being executed.
    pub in_flight: Option<f64>,
    /// Number of RPCs in the queue.
    pub queued: Option<f64>,
    /// Fraction of its capacity in use.
    pub utilisation: Option<f64>,
}

impl LoadReport {
    /// Returns the field that comes closest to the number of RPCs at the backend.
    pub fn load(self) -> Option<f64> {
        self.in_flight.or(self.queued).or(self.utilisation)
    }
}

/// How an attempt or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptOutcome {
    /// A complete response arrived.
    Succeeded,
    /// A response arrived that reports a failure.
    Failed,
    /// The backend rejected it before any work.
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
    /// Returns whether the outcome proves that the attempt was never executed.
    pub fn never_ran(self) -> bool {
        matches!(self, Self::Rejected | Self::ConnectFailed | Self::NotSent)
    }

    /// Returns whether the attempt never arrived at its backend.
    pub fn never_reached_backend(self) -> bool {
        matches!(self, Self::ConnectFailed | Self::NotSent)
    }
}

/// Who sets the pace of a streamed response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PacedBy {
    /// The backend, which works on it until its end.
    Backend,
    /// The client; the duration tells nothing about the backend.
    Client,
}

/// What the decisions ask of the platform that they run on. No call waits for its effect.
pub trait Platform {
    /// Returns the present time.
    fn now(&self) -> f64;
    /// Starts the next attempt of an RPC, which times out after `timeout` seconds. The attempts of an
    /// RPC are numbered from 0.
    fn start_attempt(&mut self, rpc: u64, backend: u32, timeout: f64);
    /// Cancels an attempt.
    fn cancel_attempt(&mut self, rpc: u64, attempt: usize);
    /// Gives the final answer that the RPC is rejected and a retry is harmless. A `retry_after` of 0
    /// does not say when to retry.
    fn reject(&mut self, rpc: u64, retry_after: f64);
    /// Gives the final answer that the RPC has failed and may have been executed.
    fn fail(&mut self, rpc: u64);
    /// Starts a health check.
    fn health_check(&mut self, backend: u32);
    /// Polls the endpoint list, or subscribes to its updates.
    fn watch_endpoints(&mut self);
    /// Reports the violation of an invariant, to be counted and shown to operators.
    fn report_violation(&mut self, _violation: Violation) {}
    /// Has [`Balancer::on_timer`] called after `delay` seconds.
    ///
    /// [`Balancer::on_timer`]: crate::balancer::Balancer::on_timer
    fn schedule_timer(&mut self, delay: f64);
}
