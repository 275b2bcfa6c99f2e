//! The simulated proxies of a session: handles the messages to them, and keeps the endpoint lists that they share.

use crate::endpoints::ListEntry;
use crate::error::LineError;
use crate::fields::Fields;
use crate::platform::SimulatorPlatform;
use crate::protocol::{
    self, EndpointUpdate, HAS_EXPECTED_WORK, IS_CLIENT_RETRY, NANOSECONDS_PER_SECOND, NO_TENANT,
    RPC_BITS, TIMER_BITS, command, field, message,
};
use crate::simulated_proxy::SimulatedProxy;
use birchhub::balancer::RpcHandle;
use birchhub::interface::{IncomingRpc, PacedBy};
use birchhub_settings as settings;
use std::any::Any;
use std::collections::{BTreeMap, HashMap};
use std::fmt::Write as _;
use std::panic::{AssertUnwindSafe, catch_unwind};

/// All simulated proxies of a session, and the endpoint lists that they share.
#[derive(Default)]
pub(crate) struct SimulatedProxies {
    /// Simulated time of the current batch in ns.
    pub(crate) clock: u64,
    /// The answer to the current batch so far.
    pub(crate) output: String,
    /// Endpoint lists, by number.
    pub(crate) lists: HashMap<u64, Vec<ListEntry>>,
    /// Running proxies, by id.
    proxies: BTreeMap<u64, SimulatedProxy>,
}

impl SimulatedProxies {
    /// Handles the message with this name.
    ///
    /// # Errors
    /// The message is unknown or malformed.
    pub(crate) fn handle(&mut self, name: &str, fields: &mut Fields) -> Result<(), LineError> {
        match name {
            message::PROXY_START => self.start_proxy(fields),
            message::PROXY_END => self.end_proxy(fields),
            message::ENDPOINT_UPDATE => self.update_endpoints(fields),
            message::RPC => self.accept_rpc(fields),
            message::ATTEMPT_END => self.end_attempt(fields),
            message::RESPONSE_START => self.start_response(fields),
            message::CLIENT_DISCONNECT => self.disconnect_client(fields),
            message::TIMER => self.fire_timer(fields),
            message::HEALTH_CHECK_END => self.end_health_check(fields),
            message::OVERHEARD => fields.number::<u64>(field::PROXY).map(drop),
            other => Err(LineError::Unknown {
                field: field::MESSAGE_NAME,
                value: other.to_owned(),
            }),
        }
    }

    fn start_proxy(&mut self, fields: &mut Fields) -> Result<(), LineError> {
        let proxy = fields.number(field::PROXY)?;
        let seed = fields.number(field::SEED)?;
        let simulated_proxy =
            SimulatedProxy::new(fields.remainder(field::SETTINGS)?, seed, self.clock)?;
        self.proxies.insert(proxy, simulated_proxy);
        Ok(())
    }

    fn end_proxy(&mut self, fields: &mut Fields) -> Result<(), LineError> {
        let proxy: u64 = fields.number(field::PROXY)?;
        self.proxies.remove(&proxy);
        Ok(())
    }

    fn update_endpoints(&mut self, fields: &mut Fields) -> Result<(), LineError> {
        let proxy = fields.number(field::PROXY)?;
        let _generation: Option<u64> = fields.optional_number(field::GENERATION)?;
        let list: Option<u64> = fields.optional_number(field::LIST_NUMBER)?;
        let kind = match fields.name(field::UPDATE_KIND, protocol::update_kind)? {
            EndpointUpdate::List(kind) => kind,
            EndpointUpdate::Failed => {
                self.run_decision(proxy, |simulated_proxy, platform| {
                    simulated_proxy.balancer.on_discovery_failure(platform);
                });
                return Ok(());
            }
        };
        let number = list.ok_or(LineError::Missing(field::LIST_NUMBER))?;
        let list = self.lists.get(&number);
        let list = list.ok_or(LineError::NoSuchList(number))?;
        let Some(simulated_proxy) = self.proxies.get(&proxy) else {
            return Ok(());
        };
        let endpoints: Vec<_> = list
            .iter()
            .map(|entry| simulated_proxy.resolve(entry))
            .collect();
        self.run_decision(proxy, |simulated_proxy, platform| {
            let balancer = &simulated_proxy.balancer;
            balancer.update_endpoints(kind, &endpoints, platform);
        });
        Ok(())
    }

    fn accept_rpc(&mut self, fields: &mut Fields) -> Result<(), LineError> {
        let proxy: u64 = fields.number(field::PROXY)?;
        let id = fields.number_of_bits(field::RPC, RPC_BITS)?;
        let method = fields.text(field::METHOD)?;
        let tenant = fields.optional_text(field::TENANT)?;
        let key = fields.optional_text(field::KEY)?.map(settings::hash_key);
        let deadline: u64 = fields.number(field::DEADLINE)?;
        let expected_work: Option<u64> = fields.optional_number(field::EXPECTED_WORK)?;
        let options = fields.optional_number::<u64>(field::OPTIONS)?.unwrap_or(0);
        let Some(simulated_proxy) = self.proxies.get(&proxy) else {
            return Ok(());
        };
        let tenant = tenant.filter(|name| *name != NO_TENANT && !name.is_empty());
        let expected_work = expected_work.filter(|_| options & HAS_EXPECTED_WORK != 0);
        let rpc = IncomingRpc {
            id,
            method: simulated_proxy.method(method)?,
            tenant: tenant.and_then(|name| simulated_proxy.tenant(name)),
            deadline: simulated_proxy.seconds(deadline),
            expected_work: expected_work.map(|work| work as f64 / NANOSECONDS_PER_SECOND),
            client_retry: options & IS_CLIENT_RETRY != 0,
            streams_request: false,
            key,
        };
        self.run_decision(proxy, |simulated_proxy, platform| {
            let handle = simulated_proxy.balancer.accept(&rpc, platform);
            if !handle.is_finished() {
                simulated_proxy.rpcs.insert(id, handle);
            }
        });
        Ok(())
    }

    fn end_attempt(&mut self, fields: &mut Fields) -> Result<(), LineError> {
        let proxy = fields.number(field::PROXY)?;
        let id = fields.number_of_bits(field::RPC, RPC_BITS)?;
        let attempt = fields.number(field::ATTEMPT)?;
        fields.number::<u32>(field::BACKEND)?;
        let outcome = fields.outcome()?;
        fields.number::<u64>(field::DURATION)?;
        let answered = fields.flag(field::IS_ANSWERED)?;
        let report = fields.load_report()?;
        self.run_rpc_decision(proxy, id, |rpc, platform| {
            rpc.on_attempt_ended(attempt, outcome, answered, report, platform);
        });
        Ok(())
    }

    fn start_response(&mut self, fields: &mut Fields) -> Result<(), LineError> {
        let proxy = fields.number(field::PROXY)?;
        let id = fields.number_of_bits(field::RPC, RPC_BITS)?;
        let attempt = fields.number(field::ATTEMPT)?;
        self.run_rpc_decision(proxy, id, |rpc, platform| {
            rpc.on_response_started(attempt, PacedBy::Backend, platform);
        });
        Ok(())
    }

    fn disconnect_client(&mut self, fields: &mut Fields) -> Result<(), LineError> {
        let proxy = fields.number(field::PROXY)?;
        let id = fields.number_of_bits(field::RPC, RPC_BITS)?;
        self.run_rpc_decision(proxy, id, |rpc, platform| {
            rpc.on_client_disconnected(platform);
        });
        Ok(())
    }

    fn fire_timer(&mut self, fields: &mut Fields) -> Result<(), LineError> {
        let proxy = fields.number(field::PROXY)?;
        fields.number_of_bits(field::TIMER, TIMER_BITS)?;
        self.run_decision(proxy, |simulated_proxy, platform| {
            simulated_proxy.balancer.on_timer(platform);
        });
        Ok(())
    }

    fn end_health_check(&mut self, fields: &mut Fields) -> Result<(), LineError> {
        let proxy = fields.number(field::PROXY)?;
        let outcome = fields.outcome()?;
        let backend = fields.number(field::BACKEND)?;
        fields.number::<u64>(field::DURATION)?;
        let report = fields.load_report()?;
        self.run_decision(proxy, |simulated_proxy, platform| {
            let balancer = &simulated_proxy.balancer;
            balancer.on_health_check(backend, outcome, report, platform);
        });
        Ok(())
    }

    /// Calls the decisions of one proxy, if it runs. A panic in them is reported to the simulator and ends the proxy.
    fn run_decision(
        &mut self,
        proxy: u64,
        decide: impl FnOnce(&mut SimulatedProxy, &mut SimulatorPlatform),
    ) {
        let Some(simulated_proxy) = self.proxies.get_mut(&proxy) else {
            return;
        };
        let now = simulated_proxy.seconds(self.clock);
        let mut platform = SimulatorPlatform::new(&mut self.output, proxy, now);
        let result = catch_unwind(AssertUnwindSafe(|| decide(simulated_proxy, &mut platform)));
        if let Err(panic) = result {
            let text = panic_text(&*panic);
            let panicked = command::PROXY_PANICKED;
            writeln!(self.output, "{panicked}\t{proxy}\t{text}").expect("writing to a string");
            self.proxies.remove(&proxy);
            return;
        }
        // A call for one RPC may also reject or fail another that is pending, whose handle must be released too.
        for rpc in platform.into_answered() {
            simulated_proxy.remove_if_finished(rpc);
        }
    }

    /// Calls the decisions for one RPC, unless it has finished.
    fn run_rpc_decision(
        &mut self,
        proxy: u64,
        id: u64,
        decide: impl FnOnce(&RpcHandle, &mut SimulatorPlatform),
    ) {
        self.run_decision(proxy, |simulated_proxy, platform| {
            let Some(rpc) = simulated_proxy.rpcs.get(&id) else {
                return;
            };
            decide(rpc, platform);
            simulated_proxy.remove_if_finished(id);
        });
    }
}

/// Returns the message of a panic on one line.
fn panic_text(panic: &(dyn Any + Send)) -> String {
    let text = match panic.downcast_ref::<String>() {
        Some(text) => text.as_str(),
        None => panic.downcast_ref::<&str>().copied().unwrap_or("panic"),
    };
    text.replace(['\n', '\t'], " ")
}
