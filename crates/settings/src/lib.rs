//! The settings object that a proxy is handed at start, read into the module's settings, the names that end
//! at the door and the limits on connections.
#![expect(
    missing_docs,
    reason = "docs/ROADMAP.md lists the crates that are not documented yet"
)]

use birchhub::interface::{
    DeduplicationScope, Idempotency, LoadReport, LoadReportSource, MethodSettings, Settings,
    TenantSettings,
};
use serde::Deserialize;
use serde_json::Value;
use serde_json::value::RawValue;
use std::borrow::Cow;
use std::collections::BTreeMap;
use std::io::Write;

pub mod change;

// Fields of a load report that tell of a queue, as the settings and as the protocol page name them.
const IN_FLIGHT: [&str; 2] = ["concurrent", "inflight"];
const QUEUED: [&str; 2] = ["depth", "queue"];

const FOREVER: f64 = 1e9; // s: longer times are as good as this one, and can't be added to a clock
// What holds where a deployment tells nothing, s: each errs to the side that breaks no rule, and is nobody's figure.
const ASK_WITHIN: f64 = 2.0; // list calls come often
const CONNECT: f64 = 1.0; // a pick's own time is shorter as a rule
const IDLE: f64 = 1.0; // a connection that stood idle is opened anew rather than lost

#[derive(Clone, Debug, PartialEq)]
pub struct ParsedSettings {
    pub settings: Settings,
    pub methods: Vec<String>,
    pub tenants: Vec<String>,
    pub zones: Vec<String>,
    /// The list tells sizes.
    pub lists_endpoint_sizes: bool,
    /// Longest wait for a connection, s.
    pub connect_timeout: f64,
    /// After standing idle for this long, s, a connection is closed by the other side.
    pub idle_timeout: f64,
    /// Longest deadline of any method, s; none if one of them is not told.
    pub longest_deadline: Option<f64>,
    /// Of the settings object as it was read, without `my-zone`: the same at all proxies that have the same.
    pub digest: u64,
}

/// Reads a value at `path` below `at`, or says which path is wrong.
struct At<'a> {
    value: &'a Value,
    path: String,
}

impl<'a> At<'a> {
    fn opt(&self, key: &str) -> Option<At<'a>> {
        let value = self.value.get(key).filter(|v| !v.is_null())?;
        Some(At {
            value,
            path: self.below(key),
        })
    }
    fn below(&self, key: &str) -> String {
        if self.path.is_empty() {
            key.to_owned()
        } else {
            format!("{}.{key}", self.path)
        }
    }
    fn get(&self, key: &str) -> Result<At<'a>, String> {
        self.opt(key)
            .ok_or_else(|| format!("{} is missing", self.below(key)))
    }
    fn num(&self) -> Result<f64, String> {
        let number = self.value.as_f64().filter(|n| n.is_finite() && *n >= 0.0);
        number.ok_or_else(|| format!("{} is not a number of 0 or more: {}", self.path, self.value))
    }
    fn seconds(&self) -> Result<f64, String> {
        Ok((self.num()? / 1e9).min(FOREVER))
    }
    /// 0 stands for a time that is not limited.
    fn limit(&self) -> Result<f64, String> {
        Ok(Some(self.seconds()?)
            .filter(|limit| *limit > 0.0)
            .unwrap_or(FOREVER))
    }
    fn flag(&self) -> Result<bool, String> {
        self.value
            .as_bool()
            .ok_or_else(|| format!("{} is not true or false: {}", self.path, self.value))
    }
    fn text(&self) -> Result<&'a str, String> {
        self.value
            .as_str()
            .ok_or_else(|| format!("{} is not a text", self.path))
    }
    fn items(&self) -> Result<Vec<At<'a>>, String> {
        let list = self
            .value
            .as_array()
            .ok_or_else(|| format!("{} is not a list", self.path))?;
        let item = |(i, value)| At {
            value,
            path: format!("{}[{i}]", self.path),
        };
        Ok(list.iter().enumerate().map(item).collect())
    }
    fn names(&self) -> Result<Vec<String>, String> {
        self.items()?
            .iter()
            .map(|item| item.text().map(str::to_owned))
            .collect()
    }
    fn flag_or(&self, key: &str) -> Result<bool, String> {
        self.opt(key).map_or(Ok(false), |at| at.flag())
    }
    fn num_or(&self, key: &str, default: f64) -> Result<f64, String> {
        self.opt(key).map_or(Ok(default), |at| at.num())
    }
}

fn method(at: &At) -> Result<(String, MethodSettings), String> {
    let kind = at.get("idempotency")?;
    let effect = match kind.text()? {
        "read_like" => Idempotency::Idempotent,
        "non_idempotent" => Idempotency::NonIdempotent,
        "idempotency_key" => {
            let setting = at.get("dedup-scope")?;
            let scope = match setting.text()? {
                "all" => DeduplicationScope::All,
                "zone" => DeduplicationScope::Zone,
                "cell" => DeduplicationScope::Cell,
                other => return Err(format!("{} is not known: {other}", setting.path)),
            };
            Idempotency::Deduplicated {
                scope,
                window: at.get("window-ns")?.seconds()?,
            }
        }
        other => return Err(format!("{} is not known: {other}", kind.path)),
    };
    let method = MethodSettings {
        idempotency: effect,
        latency_objective: at.get("latency-target-ns")?.seconds()?,
        objective_stretch: at.num_or("aim-stretch", 0.0)?,
        priority_weight: at.num_or("utility", 1.0)?,
        late_weight_fraction: at.num_or("tardy-utility", 0.0)?,
        ordered_by_key: at.flag_or("keep-order")?,
    };
    Ok((at.get("name")?.text()?.to_owned(), method))
}

type Account = (String, TenantSettings);

fn account(at: &At) -> Result<Account, String> {
    Ok((
        at.get("name")?.text()?.to_owned(),
        TenantSettings {
            quota: at.get("quota-per-s")?.num()?,
        },
    ))
}

/// An account as nearly all of them are.
#[derive(Deserialize)]
struct Plain<'a> {
    #[serde(borrow)]
    name: Cow<'a, str>,
    #[serde(rename = "quota-per-s")]
    quota: f64,
}

/// An account that is not parsed yet. Guards against tens of thousands that stand in memory as trees all at once.
fn raw_account((n, raw): (usize, &&RawValue)) -> Result<Account, String> {
    if let Ok(Plain { name, quota }) = serde_json::from_str(raw.get())
        && quota >= 0.0
    {
        return Ok((name.into_owned(), TenantSettings { quota }));
    }
    let path = format!("accounts[{n}]");
    let value = serde_json::from_str(raw.get()).map_err(|e| format!("{path} is not JSON: {e}"))?;
    account(&At {
        value: &value,
        path,
    })
}

pub fn parse(text: &str) -> Result<ParsedSettings, String> {
    let fault = |e| format!("is not JSON: {e}");
    let Ok(mut fields) = serde_json::from_str::<BTreeMap<String, &RawValue>>(text) else {
        return parse_value(&serde_json::from_str(text).map_err(fault)?);
    };
    let accounts = fields
        .get("accounts")
        .and_then(|raw| serde_json::from_str::<Vec<&RawValue>>(raw.get()).ok());
    if accounts.is_some() {
        fields.remove("accounts");
    }
    let parsed = fields
        .into_iter()
        .map(|(key, raw)| Ok((key, serde_json::from_str(raw.get())?)));
    let value = Value::Object(parsed.collect::<Result<_, _>>().map_err(fault)?);
    match accounts {
        None => parse_value(&value),
        Some(accounts) => build(&value, || {
            accounts.iter().enumerate().map(raw_account).collect()
        }),
    }
}

pub fn parse_value(value: &Value) -> Result<ParsedSettings, String> {
    let conf = At {
        value,
        path: String::new(),
    };
    let accounts = || conf.opt("accounts").map_or(Ok(Vec::new()), |at| at.items());
    build(value, || accounts()?.iter().map(account).collect())
}

#[expect(clippy::too_many_lines)]
fn build(
    value: &Value,
    accounts: impl FnOnce() -> Result<Vec<Account>, String>,
) -> Result<ParsedSettings, String> {
    let conf = At {
        value,
        path: String::new(),
    };
    let ceilings = conf.get("ceilings")?;
    let contract = conf.get("contract")?;
    let listed = conf.get("methods")?.items()?;
    let methods: Vec<_> = listed.iter().map(method).collect::<Result<_, _>>()?;
    let (tenants, quotas): (Vec<_>, Vec<_>) = accounts()?.into_iter().unzip();
    let come_back_max = match ceilings.flag_or("retry-after")? {
        true => ceilings
            .opt("max-retry-after-ns")
            .map_or(Ok(0.0), |at| at.seconds())?,
        false => 0.0,
    };
    let report = |key: &str| conf.opt("report").and_then(|r| r.opt(key));
    let reports = match report("how") {
        None => LoadReportSource::None,
        Some(how) => match how.text()? {
            "answers" => LoadReportSource::Responses,
            "probe" => LoadReportSource::HealthChecks,
            _ => LoadReportSource::None,
        },
    };
    let fields = report("fields").map(|f| f.names()).transpose()?;
    let tells_queue =
        |name: &String| IN_FLIGHT.contains(&name.as_str()) || QUEUED.contains(&name.as_str());
    let weight_source = conf
        .opt("weight-source")
        .map_or(Ok("none"), |at| at.text())?;
    let mode = conf
        .opt("membership-mode")
        .map_or(Ok("pushed"), |at| at.text())?;
    let figure = |part: &str, key: &str| conf.opt(part).map_or(Ok(0.0), |p| p.num_or(key, 0.0));
    let zones = conf
        .opt("failure-domains")
        .map_or(Ok(Vec::new()), |at| at.names())?;
    let own = conf.opt("my-zone").map_or(Ok(""), |at| at.text())?;
    let settings = Settings {
        proxy_count: conf.get("balancers")?.num()?.max(1.0) as usize,
        methods: methods.iter().map(|(_, m)| m.clone()).collect(),
        tenants: quotas,
        max_attempts: ceilings.get("most-picks")?.num()? as usize,
        can_cancel: ceilings.flag_or("cancel")?,
        can_health_check: ceilings.flag_or("probes")?,
        key_affinity: conf
            .opt("extra")
            .map_or(Ok(false), |extra| extra.flag_or("warm-keys"))?,
        can_hedge: ceilings.flag_or("second-copies")?,
        max_retry_after: come_back_max,
        health_check_cost: figure("penalties", "probe")?,
        cross_zone_cost: figure("penalties", "cross-zone")?,
        own_zone: zones.iter().position(|z| z == own).unwrap_or(zones.len()),
        zone_count: zones.len(),
        log_loss_weight: figure("goal", "log-loss-part")?,
        target_nines: figure("goal", "nines-wanted")?,
        load_report_source: reports,
        reports_include_queue: fields.is_none_or(|fields| fields.iter().any(tells_queue)),
        polls_endpoint_list: mode == "on_request",
        poll_within: contract
            .opt("ask-within-ns")
            .map_or(Ok(ASK_WITHIN), |at| at.limit())?,
        drain_grace: contract.get("drain-grace-ns")?.seconds()?,
        only_draining_is_binding: contract.flag_or("removal-not-binding")?,
        key_cooldown: contract
            .opt("key-quiet-ns")
            .map_or(Ok(0.0), |at| at.seconds())?,
        slow_start_initial_fraction: contract.get("cold-from")?.num()?,
        slow_start_duration: contract.get("cold-ns")?.seconds()?,
        overload_multiple: contract.get("fall-multiple")?.num()?,
        overload_window: contract.get("tip-after-ns")?.seconds()?,
    };
    if let Some(nines) = conf
        .opt("goal")
        .and_then(|goal| goal.opt("nines-wanted"))
        .filter(|n| n.num() == Ok(0.0))
    {
        return Err(format!(
            "{} is 0: what is lost could not be set against it",
            nines.path
        ));
    }
    let digest = digest(value, &tenants, &settings);
    let lists_endpoint_sizes = matches!(weight_source, "nominal" | "rough");
    let ends = listed
        .iter()
        .map(|m| m.opt("hard-limit-ns").map(|at| at.seconds()).transpose());
    let ends = ends.collect::<Result<Option<Vec<f64>>, _>>()?;
    Ok(ParsedSettings {
        settings,
        methods: methods.into_iter().map(|(name, _)| name).collect(),
        tenants,
        zones,
        lists_endpoint_sizes,
        connect_timeout: ceilings
            .opt("connect-timeout-ns")
            .map_or(Ok(CONNECT), |at| at.limit())?,
        idle_timeout: ceilings
            .opt("conn-idle-ns")
            .map_or(Ok(IDLE), |at| at.seconds())?,
        longest_deadline: ends.map(|ends| ends.into_iter().fold(0.0, f64::max)),
        digest,
    })
}

/// FNV-1a, the same in every process.
struct Fnv(u64);

impl Default for Fnv {
    fn default() -> Self {
        Self(0xcbf2_9ce4_8422_2325)
    }
}

impl Write for Fnv {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let step = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
        self.0 = bytes.iter().fold(self.0, step);
        Ok(bytes.len())
    }
    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// The number of a key's text, the same at every proxy.
pub fn hash_key(text: &str) -> u64 {
    let mut hash = Fnv::default();
    _ = hash.write(text.as_bytes());
    hash.0
}

/// The number of a settings object, whatever the order of its keys; a proxy's own zone is left out. Of an account
/// name and quota count.
fn digest(value: &Value, tenants: &[String], settings: &Settings) -> u64 {
    let mut hash = Fnv::default();
    let apart = ["accounts", "my-zone"];
    let fields = value
        .as_object()
        .into_iter()
        .flatten()
        .filter(|(key, _)| !apart.contains(&key.as_str()));
    fields
        .for_each(|field| serde_json::to_writer(&mut hash, &field).expect("a value that was read"));
    for (name, tenant) in tenants.iter().zip(&settings.tenants) {
        _ = hash.write(name.as_bytes());
        _ = hash.write(&tenant.quota.to_le_bytes());
    }
    hash.0
}

/// A load report of `name<mark>value` pairs, with the field names of the settings or the protocol page's. A
/// field that is not known is passed over, and so is a value that can't be.
pub fn parse_load_report(text: &str, mark: char) -> Result<LoadReport, String> {
    let mut load = LoadReport::default();
    for pair in text.trim().split(',') {
        let (name, value) = pair
            .split_once(mark)
            .ok_or_else(|| format!("is not name{mark}value: {pair}"))?;
        let slot = match name.trim() {
            name if IN_FLIGHT.contains(&name) => &mut load.in_flight,
            name if QUEUED.contains(&name) => &mut load.queued,
            "load_share" | "util" => &mut load.utilisation,
            _ => continue,
        };
        let value: f64 = value
            .trim()
            .parse()
            .map_err(|_| format!("is not a number: {pair}"))?;
        *slot = Some(value).filter(|v| v.is_finite() && *v >= 0.0);
    }
    Ok(load)
}
