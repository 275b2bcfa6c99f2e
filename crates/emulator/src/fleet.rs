//! What the nodes of a fleet share: what RPCs cost, which keys have run, and numbers for picks and incarnations.
use crate::event_log::EventLog;
use birchhub_audit::Idempotency;
use birchhub_backend_model::{DeduplicationCache, IdempotencyKey, Work, work};
use rand::Rng;
use std::cell::{Cell, RefCell};

/// What a method costs at a node, and which nodes drop its repeats.
#[derive(Clone, Debug, PartialEq)]
pub struct MethodCost {
    pub name: String,
    pub work: Work,
    pub idempotency: Idempotency,
}

/// The RPC behind a client's try: its tries have ids that differ in the last byte.
pub fn rpc_of(request_id: u64) -> u32 {
    (request_id >> 8) as u32
}

/// The id of a client's try.
pub fn request_id_of(rpc: u32, number: u8) -> u64 {
    u64::from(rpc) << 8 | u64::from(number)
}

/// Shared by all nodes of one thread.
pub struct Fleet {
    pub event_log: EventLog,
    pub seed: u64,
    pub costs: Vec<MethodCost>,
    /// Work of a probe, s of a standard core.
    pub probe_work_seconds: f64,
    /// Whether answers, probes, or neither carry reports.
    pub reports_in_responses: bool,
    pub answers_probes: bool,
    pub deduplication: RefCell<DeduplicationCache>,
    /// How much slower each method is now: 1 is as usual.
    slow: RefCell<Vec<f64>>,
    next_attempt_id: Cell<u64>,
    next_incarnation: Cell<u32>,
}

impl Fleet {
    pub fn new(event_log: EventLog, seed: u64, costs: Vec<MethodCost>) -> Self {
        let slow = RefCell::new(vec![1.0; costs.len()]);
        Self {
            event_log,
            seed,
            costs,
            probe_work_seconds: 0.0,
            reports_in_responses: true,
            answers_probes: true,
            deduplication: RefCell::default(),
            slow,
            next_attempt_id: Cell::new(1),
            next_incarnation: Cell::new(1),
        }
    }

    pub fn new_attempt_id(&self) -> u64 {
        self.next_attempt_id.replace(self.next_attempt_id.get() + 1)
    }

    pub fn new_incarnation(&self) -> u32 {
        self.next_incarnation
            .replace(self.next_incarnation.get() + 1)
    }

    /// From now on a method's work is multiplied by this once more.
    pub fn slow_down(&self, method: usize, factor: f64) {
        if let Some(slot) = self.slow.borrow_mut().get_mut(method) {
            *slot *= factor;
        }
    }

    /// Work of an RPC of this class, and its mark among the nodes of this zone and rack.
    pub fn cost(
        &self,
        class: &str,
        request_id: u64,
        key: Option<&str>,
        zone: u32,
        rack: u32,
    ) -> Option<(f64, Option<IdempotencyKey>)> {
        let method = self.costs.iter().position(|c| c.name == class)?;
        let cost = &self.costs[method];
        let drawn = cost.work.sample(self.seed, u64::from(rpc_of(request_id)));
        let idempotency_key = match (cost.idempotency, key) {
            (Idempotency::Deduplicated { group, window }, Some(key)) => {
                // FNV-1a: keys are texts of the client's own.
                let fold =
                    |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
                let key = key.bytes().fold(0xcbf2_9ce4_8422_2325, fold);
                let group = group.number(zone, rack);
                Some(IdempotencyKey { group, key, window })
            }
            _ => None,
        };
        Some((drawn * self.slow.borrow()[method], idempotency_key))
    }

    /// Chance that depends on the seed, a purpose and an RPC's try alone: whether a share is hit.
    pub fn is_selected(&self, purpose: u64, request_id: u64, share: f64) -> bool {
        share > 0.0 && work::generator(self.seed ^ purpose, request_id).random::<f64>() < share
    }
}
