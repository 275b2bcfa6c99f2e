//! The settings object that a proxy is handed at start, read into the module's settings, the names that end
//! at the door and the limits on connections.
use birchhub::types::{Effect, Group, LoadReport, MethodSettings, Reports, Settings, TenantSettings};
use serde_json::Value;

// Fields of a load report that tell of a queue, as the settings and as the protocol page name them.
const IN_FLIGHT: [&str; 2] = ["concurrent", "inflight"];
const QUEUED: [&str; 2] = ["depth", "queue"];

const FOREVER: f64 = 1e9; // s: longer times are as good as this one, and can't be added to a clock
// What holds where a deployment tells nothing, s: each errs to the side that breaks no rule, and is nobody's figure.
const ASK_WITHIN: f64 = 2.0; // list calls come often
const CONNECT: f64 = 1.0; // a pick's own time is shorter as a rule
const IDLE: f64 = 1.0; // a connection that stood idle is opened anew rather than lost

pub struct Conf {
    pub settings: Settings,
    pub methods: Vec<String>,
    pub tenants: Vec<String>,
    pub zones: Vec<String>,
    /// The list tells sizes.
    pub sized: bool,
    /// Longest wait for a connection, s.
    pub connect_limit: f64,
    /// After standing idle for this long, s, a connection is closed by the other side.
    pub idle_limit: f64,
    /// Longest deadline of any method, s; none if one of them is not told.
    pub longest_deadline: Option<f64>,
}

/// Reads a value at `path` below `at`, or says which path is wrong.
struct At<'a> {
    value: &'a Value,
    path: String,
}

impl<'a> At<'a> {
    fn opt(&self, key: &str) -> Option<At<'a>> {
        let value = self.value.get(key).filter(|v| !v.is_null())?;
        Some(At { value, path: self.below(key) })
    }
    fn below(&self, key: &str) -> String {
        if self.path.is_empty() { key.to_owned() } else { format!("{}.{key}", self.path) }
    }
    fn get(&self, key: &str) -> Result<At<'a>, String> {
        self.opt(key).ok_or_else(|| format!("{} is missing", self.below(key)))
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
        Ok(Some(self.seconds()?).filter(|limit| *limit > 0.0).unwrap_or(FOREVER))
    }
    fn flag(&self) -> Result<bool, String> {
        self.value.as_bool().ok_or_else(|| format!("{} is not true or false: {}", self.path, self.value))
    }
    fn text(&self) -> Result<&'a str, String> {
        self.value.as_str().ok_or_else(|| format!("{} is not a text", self.path))
    }
    fn items(&self) -> Result<Vec<At<'a>>, String> {
        let list = self.value.as_array().ok_or_else(|| format!("{} is not a list", self.path))?;
        let item = |(i, value)| At { value, path: format!("{}[{i}]", self.path) };
        Ok(list.iter().enumerate().map(item).collect())
    }
    fn names(&self) -> Result<Vec<String>, String> {
        self.items()?.iter().map(|item| item.text().map(str::to_owned)).collect()
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
        "read_like" => Effect::Idempotent,
        "non_idempotent" => Effect::NonIdempotent,
        "idempotency_key" => {
            let scope = at.get("dedup-scope")?;
            let group = match scope.text()? {
                "all" => Group::All,
                "zone" => Group::Zone,
                "cell" => Group::Cell,
                other => return Err(format!("{} is not known: {other}", scope.path)),
            };
            Effect::Deduplicated { group, window: at.get("window-ns")?.seconds()? }
        }
        other => return Err(format!("{} is not known: {other}", kind.path)),
    };
    let method = MethodSettings {
        effect,
        latency_target: at.get("latency-target-ns")?.seconds()?,
        target_stretch: at.num_or("aim-stretch", 0.0)?,
        utility: at.num_or("utility", 1.0)?,
        late_utility: at.num_or("tardy-utility", 0.0)?,
        in_order: at.flag_or("keep-order")?,
    };
    Ok((at.get("name")?.text()?.to_owned(), method))
}

pub fn read(text: &str) -> Result<Conf, String> {
    read_value(&serde_json::from_str(text).map_err(|e| format!("is not JSON: {e}"))?)
}

pub fn read_value(value: &Value) -> Result<Conf, String> {
    let conf = At { value, path: String::new() };
    let ceilings = conf.get("ceilings")?;
    let contract = conf.get("contract")?;
    let listed = conf.get("methods")?.items()?;
    let methods: Vec<_> = listed.iter().map(method).collect::<Result<_, _>>()?;
    let mut tenants = Vec::new();
    let mut quotas = Vec::new();
    for account in conf.opt("accounts").map_or(Ok(Vec::new()), |at| at.items())? {
        tenants.push(account.get("name")?.text()?.to_owned());
        quotas.push(TenantSettings { quota: account.get("quota-per-s")?.num()? });
    }
    let come_back_max = match ceilings.flag_or("retry-after")? {
        true => ceilings.opt("max-retry-after-ns").map_or(Ok(0.0), |at| at.seconds())?,
        false => 0.0,
    };
    let report = |key: &str| conf.opt("report").and_then(|r| r.opt(key));
    let reports = match report("how") {
        None => Reports::None,
        Some(how) => match how.text()? {
            "answers" => Reports::InAnswers,
            "probe" => Reports::ByProbe,
            _ => Reports::None,
        },
    };
    let fields = report("fields").map(|f| f.names()).transpose()?;
    let tells_queue = |name: &String| IN_FLIGHT.contains(&name.as_str()) || QUEUED.contains(&name.as_str());
    let weight_source = conf.opt("weight-source").map_or(Ok("none"), |at| at.text())?;
    let mode = conf.opt("membership-mode").map_or(Ok("pushed"), |at| at.text())?;
    let figure = |part: &str, key: &str| conf.opt(part).map_or(Ok(0.0), |p| p.num_or(key, 0.0));
    let zones = conf.opt("failure-domains").map_or(Ok(Vec::new()), |at| at.names())?;
    let own = conf.opt("my-zone").map_or(Ok(""), |at| at.text())?;
    let settings = Settings {
        balancers: conf.get("balancers")?.num()?.max(1.0) as usize,
        methods: methods.iter().map(|(_, m)| m.clone()).collect(),
        tenants: quotas,
        most_picks: ceilings.get("most-picks")?.num()? as usize,
        may_cancel: ceilings.flag_or("cancel")?,
        may_probe: ceilings.flag_or("probes")?,
        warm_keys: conf.opt("extra").map_or(Ok(false), |extra| extra.flag_or("warm-keys"))?,
        second_copies: ceilings.flag_or("second-copies")?,
        come_back_max,
        probe_price: figure("penalties", "probe")?,
        cross_price: figure("penalties", "cross-zone")?,
        zone: zones.iter().position(|z| z == own).unwrap_or(zones.len()),
        zones: zones.len(),
        log_loss_part: figure("goal", "log-loss-part")?,
        nines_wanted: figure("goal", "nines-wanted")?,
        reports,
        reports_queue: fields.is_none_or(|fields| fields.iter().any(tells_queue)),
        list_on_request: mode == "on_request",
        ask_within: contract.opt("ask-within-ns").map_or(Ok(ASK_WITHIN), |at| at.limit())?,
        drain_grace: contract.get("drain-grace-ns")?.seconds()?,
        only_draining_binds: contract.flag_or("removal-not-binding")?,
        key_quiet: contract.opt("key-quiet-ns").map_or(Ok(0.0), |at| at.seconds())?,
        cold_from: contract.get("cold-from")?.num()?,
        cold_for: contract.get("cold-ns")?.seconds()?,
        fall_multiple: contract.get("fall-multiple")?.num()?,
        fall_window: contract.get("tip-after-ns")?.seconds()?,
    };
    if let Some(nines) =
        conf.opt("goal").and_then(|goal| goal.opt("nines-wanted")).filter(|n| n.num() == Ok(0.0))
    {
        return Err(format!("{} is 0: what is lost could not be set against it", nines.path));
    }
    let sized = matches!(weight_source, "nominal" | "rough");
    let ends = listed.iter().map(|m| m.opt("hard-limit-ns").map(|at| at.seconds()).transpose());
    let ends = ends.collect::<Result<Option<Vec<f64>>, _>>()?;
    Ok(Conf {
        settings,
        methods: methods.into_iter().map(|(name, _)| name).collect(),
        tenants,
        zones,
        sized,
        connect_limit: ceilings.opt("connect-timeout-ns").map_or(Ok(CONNECT), |at| at.limit())?,
        idle_limit: ceilings.opt("conn-idle-ns").map_or(Ok(IDLE), |at| at.seconds())?,
        longest_deadline: ends.map(|ends| ends.into_iter().fold(0.0, f64::max)),
    })
}

/// The number of a key's text, the same at every proxy: FNV-1a.
pub fn key(text: &str) -> u64 {
    text.bytes()
        .fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3))
}

/// A load report of `name<mark>value` pairs, with the field names of the settings or the protocol page's. A
/// field that is not known is passed over, and so is a value that can't be.
pub fn load_report(text: &str, mark: char) -> Result<LoadReport, String> {
    let mut load = LoadReport::default();
    for pair in text.trim().split(',') {
        let (name, value) = pair.split_once(mark).ok_or_else(|| format!("is not name{mark}value: {pair}"))?;
        let slot = match name.trim() {
            name if IN_FLIGHT.contains(&name) => &mut load.in_flight,
            name if QUEUED.contains(&name) => &mut load.queued,
            "load_share" | "util" => &mut load.utilisation,
            _ => continue,
        };
        let value: f64 = value.trim().parse().map_err(|_| format!("is not a number: {pair}"))?;
        *slot = Some(value).filter(|v| v.is_finite() && *v >= 0.0);
    }
    Ok(load)
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    /// Guards against reports that say nothing because their names are those of the other page.
    #[test]
    fn reports_are_read_by_either_name() {
        for text in ["concurrent=7,depth=2,new=x", " inflight=7,queue=2\n"] {
            let load = load_report(text, '=').expect("a report");
            assert_eq!((load.in_flight, load.queued, load.utilisation), (Some(7.0), Some(2.0), None));
        }
        assert!(load_report("inflight", '=').is_err() && load_report("inflight=many", '=').is_err());
        assert_eq!(load_report("util=-1", '=').expect("a report").utilisation, None);
    }
    /// A deployment's settings with the further ones changed.
    fn further(change: impl FnOnce(&mut Value)) -> Result<Settings, String> {
        conf(change).map(|conf| conf.settings)
    }

    fn conf(change: impl FnOnce(&mut Value)) -> Result<Conf, String> {
        let mut value = json!({"balancers": 2, "ceilings": {"most-picks": 3},
            "methods": [{"name": "move", "idempotency": "non_idempotent", "latency-target-ns": 4e8}],
            "contract": {"drain-grace-ns": 5e8, "cold-from": 0.2, "cold-ns": 5e9, "fall-multiple": 3.0,
                "tip-after-ns": 1e9}});
        change(&mut value);
        read_value(&value)
    }

    /// Guards against a figure of one deployment that stands in for what another does not tell, and against times that no
    /// clock can hold.
    #[test]
    fn what_is_not_told_is_nobodys_figure() {
        let untold = conf(|_| ()).expect("settings");
        assert_eq!((untold.settings.ask_within, untold.connect_limit, untold.idle_limit), (2.0, 1.0, 1.0));
        assert_eq!(untold.longest_deadline, None);
        let odd = conf(|conf| {
            conf["ceilings"]["connect-timeout-ns"] = 0.into();
            conf["ceilings"]["conn-idle-ns"] = 1e300.into();
            conf["methods"][0]["hard-limit-ns"] = u64::MAX.into();
        });
        let odd = odd.expect("settings");
        assert_eq!((odd.connect_limit, odd.idle_limit, odd.longest_deadline), (1e9, 1e9, Some(1e9)));
        let two = conf(|conf| {
            let mut second = conf["methods"][0].clone();
            second["hard-limit-ns"] = 2_000_000_000.into();
            conf["methods"].as_array_mut().expect("methods").push(second);
        });
        assert_eq!(two.expect("settings").longest_deadline, None, "one of them is not told");
    }

    #[test]
    fn further_settings_are_read_and_change_nothing_where_they_are_absent() {
        let plain = further(|_| ()).expect("settings");
        assert_eq!(
            (plain.key_quiet, plain.only_draining_binds, plain.methods[0].in_order),
            (0.0, false, false)
        );
        assert_eq!((plain.log_loss_part, plain.nines_wanted), (0.0, 0.0));
        let told = further(|conf| {
            conf["methods"][0]["keep-order"] = true.into();
            conf["contract"]["key-quiet-ns"] = 50_000_000.into();
            conf["contract"]["removal-not-binding"] = true.into();
            conf["goal"] = json!({"log-loss-part": 0.4, "nines-wanted": 2.0});
        });
        let told = told.expect("settings");
        assert_eq!((told.key_quiet, told.only_draining_binds, told.methods[0].in_order), (0.05, true, true));
        assert_eq!((told.log_loss_part, told.nines_wanted), (0.4, 2.0));
    }

    #[test]
    fn wrong_further_settings_name_place_and_value() {
        let wrong = [
            ("contract", "key-quiet-ns", json!(-1), "contract.key-quiet-ns is not a number of 0 or more: -1"),
            (
                "contract",
                "key-quiet-ns",
                json!("5"),
                "contract.key-quiet-ns is not a number of 0 or more: \"5\"",
            ),
            (
                "contract",
                "removal-not-binding",
                json!(1),
                "contract.removal-not-binding is not true or false: 1",
            ),
            (
                "goal",
                "nines-wanted",
                json!(0),
                "goal.nines-wanted is 0: what is lost could not be set against it",
            ),
            ("goal", "log-loss-part", json!([]), "goal.log-loss-part is not a number of 0 or more: []"),
        ];
        for (part, key, value, fault) in wrong {
            assert_eq!(further(|conf| conf[part][key] = value).err().as_deref(), Some(fault));
        }
        let fault = further(|conf| conf["methods"][0]["keep-order"] = "yes".into()).err();
        assert_eq!(fault.as_deref(), Some("methods[0].keep-order is not true or false: \"yes\""));
    }
}
