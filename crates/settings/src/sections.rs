//! Parsing of the settings object except its methods and accounts.

use crate::error::SettingsError;
use crate::keys;
use crate::load_report::is_rpc_count;
use crate::reader::JsonReader;
use birchhub::interface::{LoadReportSource, MethodSettings, Settings, TenantSettings};

/// Longest time allowed between polls of the endpoint list if the settings contain none. It is low, so that it is
/// within the limit of any deployment.
const DEFAULT_MAX_POLL_INTERVAL_SECONDS: f64 = 2.0;

/// The parsed settings object except its methods and accounts.
pub(crate) struct Sections {
    max_retry_after: f64,
    reports: ReportSettings,
    /// Whether the endpoint list contains the sizes of the endpoints.
    pub lists_endpoint_sizes: bool,
    polls_endpoint_list: bool,
    /// The zones and the proxy's own zone.
    pub zones: Zones,
    proxy_count: usize,
    capabilities: Capabilities,
    objective: Objective,
    contract: Contract,
}

impl Sections {
    /// Parses all sections of a document. `ceilings` and `contract` are its sections of these names, which must be
    /// present.
    pub(crate) fn parse(
        document: &JsonReader,
        ceilings: &JsonReader,
        contract: &JsonReader,
    ) -> Result<Self, SettingsError> {
        Ok(Self {
            max_retry_after: max_retry_after(ceilings)?,
            reports: ReportSettings::parse(document)?,
            lists_endpoint_sizes: matches!(
                document.string_or("weight-source", "none")?,
                "nominal" | "rough"
            ),
            polls_endpoint_list: document.string_or("membership-mode", "pushed")? == "on_request",
            zones: Zones::parse(document)?,
            proxy_count: document.required("balancers")?.number()?.max(1.0) as usize,
            capabilities: Capabilities::parse(document, ceilings)?,
            objective: Objective::parse(document)?,
            contract: Contract::parse(contract)?,
        })
    }

    /// Returns the settings of the decision logic, with these methods and tenants.
    pub(crate) fn settings(
        &self,
        methods: Vec<MethodSettings>,
        tenants: Vec<TenantSettings>,
    ) -> Settings {
        Settings {
            proxy_count: self.proxy_count,
            methods,
            tenants,
            max_attempts: self.capabilities.max_attempts,
            can_cancel: self.capabilities.can_cancel,
            can_health_check: self.capabilities.can_health_check,
            key_affinity: self.capabilities.key_affinity,
            can_hedge: self.capabilities.can_hedge,
            max_retry_after: self.max_retry_after,
            health_check_cost: self.objective.health_check_cost,
            cross_zone_cost: self.objective.cross_zone_cost,
            own_zone: self.zones.own,
            zone_count: self.zones.names.len(),
            log_loss_weight: self.objective.log_loss_weight,
            target_nines: self.objective.target_nines,
            load_report_source: self.reports.source,
            reports_include_queue: self.reports.include_queue,
            polls_endpoint_list: self.polls_endpoint_list,
            max_poll_interval: self.contract.max_poll_interval,
            drain_grace: self.contract.drain_grace,
            only_draining_is_binding: self.contract.only_draining_is_binding,
            key_cooldown: self.contract.key_cooldown,
            slow_start_initial_fraction: self.contract.slow_start_initial_fraction,
            slow_start_duration: self.contract.slow_start_duration,
            overload_multiple: self.contract.overload_multiple,
            overload_window: self.contract.overload_window,
        }
    }
}

/// Section `report`: how backends report their load.
struct ReportSettings {
    source: LoadReportSource,
    include_queue: bool,
}

impl ReportSettings {
    fn parse(document: &JsonReader) -> Result<Self, SettingsError> {
        let report = document.section("report");
        let source = match report.string_or("how", "none")? {
            "answers" => LoadReportSource::Responses,
            "probe" => LoadReportSource::HealthChecks,
            _ => LoadReportSource::None,
        };
        let fields = report.optional("fields");
        let fields = fields.map(|fields| fields.strings()).transpose()?;
        let include_queue =
            fields.is_none_or(|fields| fields.iter().any(|field| is_rpc_count(field)));
        Ok(Self {
            source,
            include_queue,
        })
    }
}

/// Keys `failure-domains` and `my-zone`: the zones and the proxy's own zone.
pub(crate) struct Zones {
    /// Names of the zones.
    pub names: Vec<String>,
    /// Index of the proxy's own zone in `names`; the length of `names` if it is not among them.
    pub own: usize,
}

impl Zones {
    fn parse(document: &JsonReader) -> Result<Self, SettingsError> {
        let names = document.optional("failure-domains");
        let names = names.map_or(Ok(Vec::new()), |names| names.strings())?;
        let own = document.string_or(keys::OWN_ZONE, "")?;
        let own = names.iter().position(|name| name == own);
        Ok(Self {
            own: own.unwrap_or(names.len()),
            names,
        })
    }
}

/// Sections `ceilings` and `extra`: the features that a proxy may use, and the limit on the attempts of an RPC.
struct Capabilities {
    max_attempts: usize,
    can_cancel: bool,
    can_health_check: bool,
    key_affinity: bool,
    can_hedge: bool,
}

impl Capabilities {
    fn parse(document: &JsonReader, ceilings: &JsonReader) -> Result<Self, SettingsError> {
        Ok(Self {
            max_attempts: ceilings.required("most-picks")?.number()? as usize,
            can_cancel: ceilings.boolean_or_false("cancel")?,
            can_health_check: ceilings.boolean_or_false("probes")?,
            key_affinity: document.section("extra").boolean_or_false("warm-keys")?,
            can_hedge: ceilings.boolean_or_false("second-copies")?,
        })
    }
}

/// Returns the longest `Retry-After` that clients honour, in seconds; 0 if responses do not contain the header.
fn max_retry_after(ceilings: &JsonReader) -> Result<f64, SettingsError> {
    if ceilings.boolean_or_false("retry-after")? {
        ceilings.seconds_or("max-retry-after-ns", 0.0)
    } else {
        Ok(0.0)
    }
}

/// Sections `penalties` and `goal`: the objective that the decision logic optimises.
struct Objective {
    health_check_cost: f64,
    cross_zone_cost: f64,
    log_loss_weight: f64,
    target_nines: f64,
}

impl Objective {
    fn parse(document: &JsonReader) -> Result<Self, SettingsError> {
        let penalties = document.section("penalties");
        let goal = document.section("goal");
        Ok(Self {
            health_check_cost: penalties.number_or("probe", 0.0)?,
            cross_zone_cost: penalties.number_or("cross-zone", 0.0)?,
            log_loss_weight: goal.number_or("log-loss-part", 0.0)?,
            target_nines: goal.number_or("nines-wanted", 0.0)?,
        })
    }
}

/// Returns an error if the target availability is 0 nines, by which losses cannot be divided. The target may be
/// missing.
pub(crate) fn check_target_availability(document: &JsonReader) -> Result<(), SettingsError> {
    match document.section("goal").optional("nines-wanted") {
        Some(nines) if nines.number()? == 0.0 => Err(SettingsError::ZeroTargetNines {
            path: nines.path().clone(),
        }),
        _ => Ok(()),
    }
}

/// Section `contract`: what a proxy may expect of backends and of the endpoint list, and how often it must poll the
/// list.
struct Contract {
    max_poll_interval: f64,
    drain_grace: f64,
    only_draining_is_binding: bool,
    key_cooldown: f64,
    slow_start_initial_fraction: f64,
    slow_start_duration: f64,
    overload_multiple: f64,
    overload_window: f64,
}

impl Contract {
    fn parse(contract: &JsonReader) -> Result<Self, SettingsError> {
        Ok(Self {
            max_poll_interval: contract
                .timeout_or("ask-within-ns", DEFAULT_MAX_POLL_INTERVAL_SECONDS)?,
            drain_grace: contract.required("drain-grace-ns")?.seconds()?,
            only_draining_is_binding: contract.boolean_or_false("removal-not-binding")?,
            key_cooldown: contract.seconds_or("key-quiet-ns", 0.0)?,
            slow_start_initial_fraction: contract.required("cold-from")?.number()?,
            slow_start_duration: contract.required("cold-ns")?.seconds()?,
            overload_multiple: contract.required("fall-multiple")?.number()?,
            overload_window: contract.required("tip-after-ns")?.seconds()?,
        })
    }
}
