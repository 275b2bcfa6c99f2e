//! Wire text to calls on the module, and the module's answers back to wire text.
use birchhub::interface::{
    AttemptOutcome, Endpoint, EndpointUpdateKind, IncomingRpc, LoadReport, PacedBy, Platform,
    Readiness,
};
use birchhub::policy::{Balancer, RpcHandle};
use birchhub_settings as settings;
use std::any::Any;
use std::collections::{BTreeMap, HashMap};
use std::fmt::Write as _;
use std::io::{BufRead, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};

/// One instance: a balancer with the names and ids that end here.
struct Instance {
    methods: Vec<String>,
    tenants: Vec<String>,
    zones: Vec<String>,
    sized: bool,
    balancer: Balancer,
    rpcs: HashMap<u64, RpcHandle>,
    /// Clock at `INIT`; the module's times count from here, so that fractions keep their precision.
    base: u64,
}

impl Instance {
    fn seconds(&self, clock: u64) -> f64 {
        (i128::from(clock) - i128::from(self.base)) as f64 / 1e9
    }
}

/// A list line whose zone and start are read once the instance is known.
struct Row {
    zone: String,
    started: Option<u64>,
    entry: Endpoint,
}

type Bank = Vec<Row>;

/// The module's door outward: writes each call as a line of the reply.
struct Writer<'a> {
    out: &'a mut String,
    proxy: u64,
    now: f64,
    answered: Vec<u64>,
}

fn ns(seconds: f64) -> u64 {
    (seconds * 1e9).round().max(0.0) as u64
}

impl Writer<'_> {
    fn line(&mut self, name: &str, rest: std::fmt::Arguments) {
        writeln!(self.out, "{name}\t{}{rest}", self.proxy).expect("writing to a string");
    }
}

impl Platform for Writer<'_> {
    fn now(&self) -> f64 {
        self.now
    }
    fn start_attempt(&mut self, rpc: u64, backend: u32, time_out: f64) {
        self.line(
            "PLACE",
            format_args!("\t{rpc}\t{backend}\t{}", ns(time_out).max(1)),
        );
    }
    fn cancel_attempt(&mut self, rpc: u64, pick: usize) {
        self.line("ABORT_ATTEMPT", format_args!("\t{rpc}\t{pick}"));
    }
    fn reject(&mut self, rpc: u64, come_back: f64) {
        self.answered.push(rpc);
        self.line("PUSH_BACK", format_args!("\t{rpc}\t{}", ns(come_back)));
    }
    fn fail(&mut self, rpc: u64) {
        self.answered.push(rpc);
        self.line("END_FAILED", format_args!("\t{rpc}"));
    }
    fn health_check(&mut self, backend: u32) {
        self.line("PROBE", format_args!("\t{backend}"));
    }
    fn watch_endpoints(&mut self) {
        self.line("WATCH", format_args!("\t1"));
    }
    fn schedule_timer(&mut self, delay: f64) {
        self.line("SET_ALARM", format_args!("\t{}\t0", ns(delay.min(4000.0))));
    }
}

/// The parts of one line, taken in order.
struct Parts<'a> {
    rest: Option<&'a str>,
}

impl<'a> Parts<'a> {
    fn next(&mut self, field: &str) -> Result<&'a str, String> {
        let rest = self.rest.ok_or_else(|| format!("{field} is missing"))?;
        let (part, rest) = rest
            .split_once('\t')
            .map_or((rest, None), |(a, b)| (a, Some(b)));
        self.rest = rest;
        Ok(part)
    }
    fn opt(&mut self, field: &str) -> Result<Option<&'a str>, String> {
        self.next(field).map(|part| (part != "-").then_some(part))
    }
    fn num<T: std::str::FromStr>(&mut self, field: &str) -> Result<T, String> {
        let part = self.next(field)?;
        part.parse()
            .map_err(|_| format!("{field} is not a number in range: {part}"))
    }
    fn opt_num<T: std::str::FromStr>(&mut self, field: &str) -> Result<Option<T>, String> {
        let Some(part) = self.opt(field)? else {
            return Ok(None);
        };
        part.parse()
            .map(Some)
            .map_err(|_| format!("{field} is not a number in range: {part}"))
    }
    fn tail(&mut self, field: &str) -> Result<&'a str, String> {
        self.rest
            .take()
            .ok_or_else(|| format!("{field} is missing"))
    }
    fn below(&mut self, field: &str, bits: u32) -> Result<u64, String> {
        let number: u64 = self.num(field)?;
        match number >> bits {
            0 => Ok(number),
            _ => Err(format!("{field} is out of range: {number}")),
        }
    }
}

fn outcome(code: u32) -> Result<AttemptOutcome, String> {
    Ok(match code {
        0 => AttemptOutcome::Succeeded,
        255 => AttemptOutcome::Failed,
        254 => AttemptOutcome::Rejected,
        253 => AttemptOutcome::TimedOut,
        252 => AttemptOutcome::ConnectFailed,
        251 => AttemptOutcome::Reset,
        250 => AttemptOutcome::Cancelled,
        249 => AttemptOutcome::NotSent,
        other => return Err(format!("state-code is not known: {other}")),
    })
}

fn report(text: Option<&str>) -> Result<Option<LoadReport>, String> {
    let Some(text) = text.filter(|t| !t.is_empty()) else {
        return Ok(None);
    };
    settings::parse_load_report(text, ':')
        .map(Some)
        .map_err(|e| format!("metrics {e}"))
}

fn text_of(panic: &(dyn Any + Send)) -> String {
    let text = panic.downcast_ref::<String>().map(String::as_str);
    let text = text
        .or_else(|| panic.downcast_ref::<&str>().copied())
        .unwrap_or("panic");
    text.replace(['\n', '\t'], " ")
}

#[derive(Default)]
struct Process {
    clock: u64,
    out: String,
    banks: HashMap<u64, Bank>,
    instances: BTreeMap<u64, Instance>,
}

impl Process {
    /// Calls the module for one instance; a panic in there becomes `DIE`.
    fn call(&mut self, proxy: u64, act: impl FnOnce(&mut Instance, &mut Writer)) {
        let Some(instance) = self.instances.get_mut(&proxy) else {
            return;
        };
        let now = instance.seconds(self.clock);
        let mut link = Writer {
            out: &mut self.out,
            proxy,
            now,
            answered: Vec::new(),
        };
        if let Err(panic) = catch_unwind(AssertUnwindSafe(|| act(instance, &mut link))) {
            let text = text_of(&*panic);
            writeln!(self.out, "DIE\t{proxy}\t{text}").expect("writing to a string");
            self.instances.remove(&proxy);
            return;
        }
        // RPCs that waited are answered in calls about others: guards against keeping them for good.
        for rpc in link.answered {
            if instance.rpcs.get(&rpc).is_some_and(RpcHandle::is_finished) {
                instance.rpcs.remove(&rpc);
            }
        }
    }

    fn init(&mut self, parts: &mut Parts) -> Result<(), String> {
        let proxy = parts.num("proxy-id")?;
        let seed = parts.num("entropy")?;
        let conf = settings::parse(parts.tail("conf")?).map_err(|e| format!("conf: {e}"))?;
        let instance = Instance {
            methods: conf.methods,
            tenants: conf.tenants,
            zones: conf.zones,
            sized: conf.lists_endpoint_sizes,
            balancer: Balancer::new(&conf.settings, seed),
            rpcs: HashMap::new(),
            base: self.clock,
        };
        self.instances.insert(proxy, instance);
        Ok(())
    }

    #[expect(clippy::too_many_lines)]
    fn topology(&mut self, parts: &mut Parts) -> Result<(), String> {
        let proxy = parts.num("proxy-id")?;
        let _generation: Option<u64> = parts.opt_num("generation")?;
        let bank: Option<u64> = parts.opt_num("bank")?;
        let kind = match parts.next("kind")? {
            "patch" => EndpointUpdateKind::Incremental,
            "whole" => EndpointUpdateKind::Snapshot,
            "stale_copy" => EndpointUpdateKind::StaleSnapshot,
            "broken" => {
                self.call(proxy, |instance, link| instance.balancer.list_failed(link));
                return Ok(());
            }
            other => return Err(format!("kind is not known: {other}")),
        };
        let bank = bank.ok_or("bank is missing")?;
        let Some(entries) = self.banks.get(&bank) else {
            return Err(format!("bank has no list: {bank}"));
        };
        let Some(instance) = self.instances.get(&proxy) else {
            return Ok(());
        };
        let unknown = instance.zones.len();
        let place = |name: &String| {
            instance
                .zones
                .iter()
                .position(|z| z == name)
                .unwrap_or(unknown)
        };
        let read = |row: &Row| {
            let started = row.started.map(|clock| instance.seconds(clock));
            Endpoint {
                zone: place(&row.zone),
                relative_size: if instance.sized && row.entry.relative_size > 0.0 {
                    row.entry.relative_size
                } else {
                    1.0
                },
                started_at: started,
                ..row.entry
            }
        };
        let entries: Vec<Endpoint> = entries.iter().map(read).collect();
        self.call(proxy, |instance, link| {
            instance.balancer.update_endpoints(kind, &entries, link)
        });
        Ok(())
    }

    fn order(&mut self, parts: &mut Parts) -> Result<(), String> {
        let proxy: u64 = parts.num("proxy-id")?;
        let id = parts.below("tid", 52)?;
        let profile = parts.next("profile")?;
        let group = parts
            .opt("user-group")?
            .filter(|name| *name != "0" && !name.is_empty());
        let key = parts.opt("entity")?.map(settings::hash_key);
        let expires = parts.num("expires-ns")?;
        let guess: Option<u64> = parts.opt_num("cost-guess-ns")?;
        let bits = parts.opt_num::<u64>("opts")?.unwrap_or(0);
        let Some(instance) = self.instances.get(&proxy) else {
            return Ok(());
        };
        let method = instance.methods.iter().position(|m| m == profile);
        let method = method.ok_or_else(|| format!("profile is not known: {profile}"))?;
        let tenant = group.and_then(|name| instance.tenants.iter().position(|t| t == name));
        let expected_work = guess.filter(|_| bits & 1 != 0).map(|g| g as f64 / 1e9);
        let client_repeat = bits & 2 != 0;
        let deadline = instance.seconds(expires);
        let arrival = IncomingRpc {
            id,
            method,
            tenant,
            deadline,
            expected_work,
            client_retry: client_repeat,
            streams_request: false,
            key,
        };
        self.call(proxy, |instance, link| {
            let rpc = instance.balancer.accept(&arrival, link);
            if !rpc.is_finished() {
                instance.rpcs.insert(id, rpc);
            }
        });
        Ok(())
    }

    /// A later event of an RPC; one no longer held is passed over.
    fn on_rpc(&mut self, proxy: u64, id: u64, act: impl FnOnce(&RpcHandle, &mut Writer)) {
        self.call(proxy, |instance, link| {
            let Some(rpc) = instance.rpcs.get(&id) else {
                return;
            };
            act(rpc, link);
            if rpc.is_finished() {
                instance.rpcs.remove(&id);
            }
        });
    }

    fn report_back(&mut self, parts: &mut Parts) -> Result<(), String> {
        let proxy = parts.num("proxy-id")?;
        let id = parts.below("tid", 52)?;
        let n = parts.num("n")?;
        parts.num::<u32>("backend")?;
        let outcome = outcome(parts.num("state-code")?)?;
        parts.num::<u64>("elapsed-ns")?;
        let over = match parts.next("over")? {
            "0" => false,
            "1" => true,
            other => return Err(format!("over is not 0 or 1: {other}")),
        };
        let report = report(parts.opt("metrics")?)?;
        self.on_rpc(proxy, id, |rpc, link| {
            rpc.on_attempt_ended(n, outcome, over, report, link)
        });
        Ok(())
    }

    fn health(&mut self, parts: &mut Parts) -> Result<(), String> {
        let proxy = parts.num("proxy-id")?;
        let outcome = outcome(parts.num("state-code")?)?;
        let backend = parts.num("backend")?;
        parts.num::<u64>("elapsed-ns")?;
        let report = report(parts.opt("metrics")?)?;
        self.call(proxy, |instance, link| {
            instance
                .balancer
                .on_health_check(backend, outcome, report, link)
        });
        Ok(())
    }

    fn event(&mut self, name: &str, parts: &mut Parts) -> Result<(), String> {
        match name {
            "INIT" => self.init(parts)?,
            "KILLED" => {
                let proxy: u64 = parts.num("proxy-id")?;
                self.instances.remove(&proxy);
            }
            "TOPOLOGY" => self.topology(parts)?,
            "ORDER" => self.order(parts)?,
            "REPORT_BACK" => self.report_back(parts)?,
            "BEGUN" => {
                let (proxy, id) = (parts.num("proxy-id")?, parts.below("tid", 52)?);
                let n = parts.num("n")?;
                self.on_rpc(proxy, id, |rpc, link| {
                    rpc.on_response_started(n, PacedBy::Backend, link)
                });
            }
            "HANGUP" => {
                let (proxy, id) = (parts.num("proxy-id")?, parts.below("tid", 52)?);
                self.on_rpc(proxy, id, |rpc, link| rpc.on_client_disconnected(link));
            }
            "TIMEOUT_FIRED" => {
                let proxy = parts.num("proxy-id")?;
                parts.below("token", 63)?;
                self.call(proxy, |instance, link| instance.balancer.on_timer(link));
            }
            "HEALTH_RESULT" => self.health(parts)?,
            "HEARD" => {
                parts.num::<u64>("proxy-id")?;
            }
            other => return Err(format!("the message name is not known: {other}")),
        }
        Ok(())
    }

    fn row(line: &str) -> Result<Row, String> {
        let mut parts = Parts { rest: Some(line) };
        if parts.next("M")? != "M" {
            return Err("nodes-list has fewer entries than it says".into());
        }
        parts.next("sku")?;
        let scale = parts.opt_num::<f64>("scale")?.unwrap_or(1.0);
        if !(scale.is_finite() && scale >= 0.0) {
            return Err(format!("scale is out of range: {scale}"));
        }
        let backend = parts.num("backend")?;
        let started = parts.opt_num::<u64>("online-since-ns")?.filter(|t| *t > 0);
        let cell = parts.opt_num("block")?.unwrap_or(u64::MAX);
        let zone = parts.next("campus")?.to_owned();
        let readiness = match parts.next("readiness")? {
            "IN" => Readiness::Ready,
            "LAME" => Readiness::Draining,
            "OUT" => Readiness::Removed,
            other => return Err(format!("readiness is not known: {other}")),
        };
        let entry = Endpoint {
            backend,
            relative_size: scale,
            started_at: None,
            cell,
            zone: 0,
            readiness,
        };
        Ok(Row {
            zone,
            started,
            entry,
        })
    }
}

#[expect(clippy::too_many_lines)]
pub(crate) fn run(mut input: impl BufRead, mut output: impl Write) -> Result<(), String> {
    std::panic::set_hook(Box::new(|panic| eprintln!("birchhub-benchlink: {panic}")));
    let mut process = Process::default();
    let (mut line, mut number) = (Vec::new(), 0_u64);
    let mut batch: Option<u64> = None;
    let mut open_list: Option<(u64, usize, Bank)> = None;
    loop {
        line.clear();
        number += 1;
        let fault = |text: String| format!("line {number}: {text}");
        if input
            .read_until(b'\n', &mut line)
            .map_err(|e| fault(e.to_string()))?
            == 0
        {
            return match batch {
                None => Ok(()),
                Some(_) => Err(fault("input ends before FLUSH".into())),
            };
        }
        if line.last() != Some(&b'\n') {
            return Err(fault("the line is cut off".into()));
        }
        let text = std::str::from_utf8(&line).map_err(|_| fault("the line is not UTF-8".into()))?;
        let text = text.strip_suffix('\n').unwrap_or(text);
        if let Some((bank, left, mut entries)) = open_list.take() {
            entries.push(Process::row(text).map_err(fault)?);
            match left {
                1 => drop(process.banks.insert(bank, entries)),
                _ => open_list = Some((bank, left - 1, entries)),
            }
            continue;
        }
        let mut parts = Parts { rest: Some(text) };
        let name = parts.next("the message name").map_err(fault)?;
        match (name, batch) {
            ("BATCH", None) => {
                process.clock = parts.num("at-time-ns").map_err(fault)?;
                batch = Some(parts.num("serial").map_err(fault)?);
            }
            ("BATCH", Some(_)) => return Err(fault("BATCH before the last one's FLUSH".into())),
            ("" | "FLUSH", None) if text.is_empty() => {}
            ("FLUSH", Some(serial)) => {
                batch = None;
                writeln!(process.out, "YIELD\t{serial}").expect("writing to a string");
                output
                    .write_all(process.out.as_bytes())
                    .map_err(|e| fault(e.to_string()))?;
                output.flush().map_err(|e| fault(e.to_string()))?;
                process.out.clear();
            }
            ("TABLE", Some(_)) => {
                let bank = parts.below("bank", 4).map_err(fault)?;
                let count: usize = parts.num("nodes-list").map_err(fault)?;
                match count {
                    0 => drop(process.banks.insert(bank, Vec::new())),
                    _ => open_list = Some((bank, count, Vec::new())),
                }
            }
            (_, None) => return Err(fault(format!("BATCH expected, not {name}"))),
            (_, Some(_)) => process.event(name, &mut parts).map_err(fault)?,
        }
    }
}
