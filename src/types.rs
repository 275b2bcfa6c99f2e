//! What the decision module is handed and what it hands out. Times are seconds with fractions.

/// Settings as the platform states them; `policy` derives its own figures and drops these.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    pub balancers: usize,
    pub methods: Vec<MethodSettings>,
    pub tenants: Vec<TenantSettings>,
    pub most_picks: usize,
    pub may_cancel: bool,
    pub may_probe: bool,
    /// A cell that met an RPC's key lately has less work with it.
    pub warm_keys: bool,
    pub second_copies: bool,
    /// Longest come-back time clients obey; 0 where they are told none.
    pub come_back_max: f64,
    /// Points of service one probe for every RPC would cost.
    pub probe_price: f64,
    /// Points of service that crossing zones with every RPC would cost.
    pub cross_price: f64,
    /// The zone this proxy is in, as entries number them, and how many there are.
    pub zone: usize,
    pub zones: usize,
    /// Weight of the part of the goal that counts nines, and how many of them are wanted; 0 without it.
    pub log_loss_part: f64,
    pub nines_wanted: f64,
    pub reports: Reports,
    /// They tell how many RPCs stand at a backend, not only how busy it is.
    pub reports_queue: bool,
    pub list_on_request: bool,
    pub ask_within: f64,
    pub drain_grace: f64,
    /// Of what the list says, only that a backend drains binds: what it calls gone, or no longer names, may run.
    pub only_draining_binds: bool,
    /// How long a key rests after a pick that may go on, before the next RPC of an ordered method with it, s.
    pub key_quiet: f64,
    pub cold_from: f64,
    pub cold_for: f64,
    pub fall_multiple: f64,
    pub fall_window: f64,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Reports {
    #[default]
    None,
    InAnswers,
    ByProbe,
}

#[derive(Clone, Debug, PartialEq)]
pub struct MethodSettings {
    pub effect: Effect,
    pub latency_target: f64,
    /// The target grows by this multiple of the RPC's own expected work.
    pub target_stretch: f64,
    pub utility: f64,
    /// Share of the utility left for an answer between latency target and deadline.
    pub late_utility: f64,
    /// Its RPCs with one key run one at a time, in the order in which this proxy took them.
    pub in_order: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    Idempotent,
    NonIdempotent,
    Deduplicated { group: Group, window: f64 },
}

/// The backends that drop each other's repeats.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Group {
    All,
    Zone,
    Cell,
}

#[derive(Clone, Debug, PartialEq)]
pub struct TenantSettings {
    /// RPCs a second within the tenant's share, summed over all proxies.
    pub quota: f64,
}

/// Of each method and tenant of new settings, in their order: its place in the settings before, if it stood there.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Kept {
    pub methods: Vec<Option<usize>>,
    pub tenants: Vec<Option<usize>>,
}

/// An RPC as it comes in. `method` and `tenant` are places in the settings' lists.
#[derive(Clone, Copy, Debug, Default)]
pub struct Arrival {
    pub id: u64,
    pub method: usize,
    pub tenant: Option<usize>,
    pub deadline: f64,
    pub expected_work: Option<f64>,
    pub client_repeat: bool,
    /// It is still on its way here, and each pick of it on its way to a backend until `Rpc::whole`.
    pub long: bool,
    /// What the RPC concerns, as a number that is the same at every proxy.
    pub key: Option<u64>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ListKind {
    Changes,
    Full,
    Stale,
    /// Changes by the staff, which say nothing of the list service.
    Ordered,
}

impl ListKind {
    /// What it does not name is gone.
    pub fn is_whole(self) -> bool {
        matches!(self, Self::Full | Self::Stale)
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Readiness {
    Ready,
    Draining,
    Gone,
}

#[derive(Clone, Copy, Debug)]
pub struct Entry {
    pub backend: u32,
    /// Size beside other backends'; 1 where the list does not tell.
    pub size: f64,
    /// Time of the latest start; `None` means long ago.
    pub started: Option<f64>,
    pub cell: u64,
    pub zone: usize,
    pub readiness: Readiness,
}

/// A backend's report on itself; what it does not carry is `None`.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    pub in_flight: Option<f64>,
    pub queued: Option<f64>,
    pub utilisation: Option<f64>,
}

impl LoadReport {
    /// The nearest it says to how many RPCs the backend holds.
    pub fn held(self) -> Option<f64> {
        self.in_flight.or(self.queued).or(self.utilisation)
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    Ok,
    Error,
    Rejected,
    TimedOut,
    NoConnection,
    Reset,
    Cancelled,
    NeverSent,
}

/// Who sets the pace of an answer that is on its way.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Pace {
    /// The backend works on it until its end.
    Backend,
    /// The client: how long that takes says nothing of the backend.
    Client,
}

impl Outcome {
    /// The outcome proves that the pick never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Self::Rejected | Self::NoConnection | Self::NeverSent)
    }

    /// No backend had any work with it.
    pub fn reached_nobody(self) -> bool {
        matches!(self, Self::NoConnection | Self::NeverSent)
    }
}

/// The door outward: what the module may ask of the platform it runs on.
pub trait Link {
    fn now(&self) -> f64;
    fn pick(&mut self, rpc: u64, backend: u32, time_out: f64);
    fn cancel(&mut self, rpc: u64, pick: usize);
    /// Final answer: not done, trying again is harmless. 0 gives no advice on when.
    fn push_back(&mut self, rpc: u64, come_back: f64);
    /// Final answer: failed, with no promise about what ran.
    fn abort(&mut self, rpc: u64);
    fn probe(&mut self, backend: u32);
    /// Asks for the list's changes from here on.
    fn watch(&mut self);
    /// Calls `Balancer::wake` after this many seconds.
    fn wake_in(&mut self, delay: f64);
}
