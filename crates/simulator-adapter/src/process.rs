//! The simulated process: several instances, the lists that were sent, and the messages to them.

use crate::endpoints::{ListEntry, UpdateKind};
use crate::error::LineError;
use crate::fields::Fields;
use crate::instance::Instance;
use crate::platform::WirePlatform;
use birchhub::balancer::RpcHandle;
use birchhub::interface::{IncomingRpc, PacedBy};
use birchhub_settings as settings;
use std::any::Any;
use std::collections::{BTreeMap, HashMap};
use std::fmt::Write as _;
use std::panic::{AssertUnwindSafe, catch_unwind};

/// Bits of an RPC's number.
const RPC_BITS: u32 = 52;
/// Bits of a timer's number.
const TIMER_BITS: u32 = 63;
/// In `opts`: the client gave the cost of the RPC.
const HAS_COST: u64 = 1;
/// In `opts`: the client has sent the RPC before.
const IS_RETRY: u64 = 2;

/// All instances of a run.
#[derive(Default)]
pub(crate) struct Process {
    /// Clock of the present batch, ns.
    pub(crate) clock: u64,
    /// What the present batch has been answered so far.
    pub(crate) output: String,
    /// Endpoint lists, by number.
    pub(crate) lists: HashMap<u64, Vec<ListEntry>>,
    instances: BTreeMap<u64, Instance>,
}

impl Process {
    /// Handles one message.
    pub(crate) fn handle(&mut self, message: &str, fields: &mut Fields) -> Result<(), LineError> {
        match message {
            "INIT" => self.start_instance(fields),
            "KILLED" => self.end_instance(fields),
            "TOPOLOGY" => self.update_endpoints(fields),
            "ORDER" => self.accept_rpc(fields),
            "REPORT_BACK" => self.end_attempt(fields),
            "BEGUN" => self.start_response(fields),
            "HANGUP" => self.disconnect_client(fields),
            "TIMEOUT_FIRED" => self.fire_timer(fields),
            "HEALTH_RESULT" => self.end_health_check(fields),
            "HEARD" => fields.number::<u64>("proxy-id").map(drop),
            other => Err(LineError::Unknown {
                field: "the message name",
                value: other.to_owned(),
            }),
        }
    }

    fn start_instance(&mut self, fields: &mut Fields) -> Result<(), LineError> {
        let proxy = fields.number("proxy-id")?;
        let seed = fields.number("entropy")?;
        let instance = Instance::new(fields.remainder("conf")?, seed, self.clock)?;
        self.instances.insert(proxy, instance);
        Ok(())
    }

    fn end_instance(&mut self, fields: &mut Fields) -> Result<(), LineError> {
        let proxy: u64 = fields.number("proxy-id")?;
        self.instances.remove(&proxy);
        Ok(())
    }

    fn update_endpoints(&mut self, fields: &mut Fields) -> Result<(), LineError> {
        let proxy = fields.number("proxy-id")?;
        let _generation: Option<u64> = fields.optional_number("generation")?;
        let list: Option<u64> = fields.optional_number("bank")?;
        let kind = match UpdateKind::parse(fields)? {
            UpdateKind::List(kind) => kind,
            UpdateKind::Failed => {
                self.call(proxy, |instance, platform| {
                    instance.balancer.on_discovery_failure(platform);
                });
                return Ok(());
            }
        };
        let number = list.ok_or(LineError::Missing("bank"))?;
        let list = self.lists.get(&number);
        let list = list.ok_or(LineError::NoSuchBank(number))?;
        let Some(instance) = self.instances.get(&proxy) else {
            return Ok(());
        };
        let endpoints: Vec<_> = list.iter().map(|entry| instance.resolve(entry)).collect();
        self.call(proxy, |instance, platform| {
            let balancer = &instance.balancer;
            balancer.update_endpoints(kind, &endpoints, platform);
        });
        Ok(())
    }

    fn accept_rpc(&mut self, fields: &mut Fields) -> Result<(), LineError> {
        let proxy: u64 = fields.number("proxy-id")?;
        let id = fields.number_of_bits("tid", RPC_BITS)?;
        let method = fields.text("profile")?;
        let tenant = fields.optional_text("user-group")?;
        let key = fields.optional_text("entity")?.map(settings::hash_key);
        let deadline: u64 = fields.number("expires-ns")?;
        let cost: Option<u64> = fields.optional_number("cost-guess-ns")?;
        let options = fields.optional_number::<u64>("opts")?.unwrap_or(0);
        let Some(instance) = self.instances.get(&proxy) else {
            return Ok(());
        };
        let tenant = tenant.filter(|name| *name != "0" && !name.is_empty());
        let cost = cost.filter(|_| options & HAS_COST != 0);
        let rpc = IncomingRpc {
            id,
            method: instance.method(method)?,
            tenant: tenant.and_then(|name| instance.tenant(name)),
            deadline: instance.seconds(deadline),
            expected_work: cost.map(|nanoseconds| nanoseconds as f64 / 1e9),
            client_retry: options & IS_RETRY != 0,
            streams_request: false,
            key,
        };
        self.call(proxy, |instance, platform| {
            let handle = instance.balancer.accept(&rpc, platform);
            if !handle.is_finished() {
                instance.rpcs.insert(id, handle);
            }
        });
        Ok(())
    }

    fn end_attempt(&mut self, fields: &mut Fields) -> Result<(), LineError> {
        let proxy = fields.number("proxy-id")?;
        let id = fields.number_of_bits("tid", RPC_BITS)?;
        let attempt = fields.number("n")?;
        fields.number::<u32>("backend")?;
        let outcome = fields.outcome()?;
        fields.number::<u64>("elapsed-ns")?;
        let answered = fields.flag("over")?;
        let report = fields.load_report()?;
        self.on_rpc(proxy, id, |rpc, platform| {
            rpc.on_attempt_ended(attempt, outcome, answered, report, platform);
        });
        Ok(())
    }

    fn start_response(&mut self, fields: &mut Fields) -> Result<(), LineError> {
        let proxy = fields.number("proxy-id")?;
        let id = fields.number_of_bits("tid", RPC_BITS)?;
        let attempt = fields.number("n")?;
        self.on_rpc(proxy, id, |rpc, platform| {
            rpc.on_response_started(attempt, PacedBy::Backend, platform);
        });
        Ok(())
    }

    fn disconnect_client(&mut self, fields: &mut Fields) -> Result<(), LineError> {
        let proxy = fields.number("proxy-id")?;
        let id = fields.number_of_bits("tid", RPC_BITS)?;
        self.on_rpc(proxy, id, |rpc, platform| {
            rpc.on_client_disconnected(platform);
        });
        Ok(())
    }

    fn fire_timer(&mut self, fields: &mut Fields) -> Result<(), LineError> {
        let proxy = fields.number("proxy-id")?;
        fields.number_of_bits("token", TIMER_BITS)?;
        self.call(proxy, |instance, platform| {
            instance.balancer.on_timer(platform);
        });
        Ok(())
    }

    fn end_health_check(&mut self, fields: &mut Fields) -> Result<(), LineError> {
        let proxy = fields.number("proxy-id")?;
        let outcome = fields.outcome()?;
        let backend = fields.number("backend")?;
        fields.number::<u64>("elapsed-ns")?;
        let report = fields.load_report()?;
        self.call(proxy, |instance, platform| {
            let balancer = &instance.balancer;
            balancer.on_health_check(backend, outcome, report, platform);
        });
        Ok(())
    }

    /// Calls the decisions of one instance; a panic in there ends the instance with `DIE`. Nothing if it has ended.
    fn call(&mut self, proxy: u64, act: impl FnOnce(&mut Instance, &mut WirePlatform)) {
        let Some(instance) = self.instances.get_mut(&proxy) else {
            return;
        };
        let now = instance.seconds(self.clock);
        let mut platform = WirePlatform::new(&mut self.output, proxy, now);
        let result = catch_unwind(AssertUnwindSafe(|| act(instance, &mut platform)));
        if let Err(panic) = result {
            let text = panic_text(&*panic);
            writeln!(self.output, "DIE\t{proxy}\t{text}").expect("writing to a string");
            self.instances.remove(&proxy);
            return;
        }
        // RPCs that waited are answered in calls about others. Prevents their handles from being kept for good.
        for rpc in platform.into_answered() {
            instance.forget_if_finished(rpc);
        }
    }

    /// Hands a later event to an RPC; nothing if it is finished.
    fn on_rpc(&mut self, proxy: u64, id: u64, act: impl FnOnce(&RpcHandle, &mut WirePlatform)) {
        self.call(proxy, |instance, platform| {
            let Some(rpc) = instance.rpcs.get(&id) else {
                return;
            };
            act(rpc, platform);
            instance.forget_if_finished(id);
        });
    }
}

/// The text of a panic on one line.
fn panic_text(panic: &(dyn Any + Send)) -> String {
    let text = match panic.downcast_ref::<String>() {
        Some(text) => text.as_str(),
        None => panic.downcast_ref::<&str>().copied().unwrap_or("panic"),
    };
    text.replace(['\n', '\t'], " ")
}
