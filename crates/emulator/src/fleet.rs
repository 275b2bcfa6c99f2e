//! State that all emulated backends of a fleet share: costs of methods, the deduplication cache, and the allocation of
//! attempt ids and incarnation numbers.
use crate::event_log::EventLog;
use birchhub_audit::Idempotency;
use birchhub_backend_model::{DeduplicationCache, IdempotencyKey, WorkDistribution, work};
use rand::Rng;
use std::cell::{Cell, RefCell};

/// Offset basis and prime of the 64-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Cost of the RPCs of a method.
#[derive(Clone, Debug, PartialEq)]
pub struct MethodCost {
    /// Name of the method: the first segment of the path.
    pub name: String,
    /// Distribution of the work.
    pub work: WorkDistribution,
    /// Whether an RPC may be executed more than once, and which backends deduplicate it.
    pub idempotency: Idempotency,
}

/// Cost of one RPC at a backend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RpcCost {
    /// Work in seconds of a standard core.
    pub work: f64,
    /// Key for deduplication; `None` if the backend does not deduplicate the RPC.
    pub idempotency_key: Option<IdempotencyKey>,
}

/// Returns the number of the RPC that a client's request belongs to.
pub fn rpc_of(request_id: u64) -> u32 {
    (request_id >> 8) as u32
}

/// Returns the id of a client's request for an RPC. The last byte is the number of the client's attempt.
pub fn request_id_of(rpc: u32, attempt: u8) -> u64 {
    u64::from(rpc) << 8 | u64::from(attempt)
}

/// State that all backends of one thread share.
pub struct Fleet {
    /// Records the backends' events.
    pub event_log: EventLog,
    /// Seed of the random work of RPCs and of the random selection of RPCs that a fault affects.
    pub seed: u64,
    /// Costs by method.
    pub costs: Vec<MethodCost>,
    /// Work of a health check in seconds of a standard core.
    pub health_check_work_seconds: f64,
    /// Whether responses carry a load report.
    pub reports_in_responses: bool,
    /// Whether health checks are answered.
    pub answers_health_checks: bool,
    /// Idempotency keys of executed RPCs.
    pub deduplication: RefCell<DeduplicationCache>,
    /// Factor by which the work of each method is multiplied; initially 1.
    work_factors: RefCell<Vec<f64>>,
    next_attempt_id: Cell<u64>,
    next_incarnation: Cell<u32>,
}

impl Fleet {
    /// Creates a fleet whose health checks cost no work and whose responses carry a load report.
    pub fn new(event_log: EventLog, seed: u64, costs: Vec<MethodCost>) -> Self {
        let work_factors = RefCell::new(vec![1.0; costs.len()]);
        Self {
            event_log,
            seed,
            costs,
            health_check_work_seconds: 0.0,
            reports_in_responses: true,
            answers_health_checks: true,
            deduplication: RefCell::default(),
            work_factors,
            next_attempt_id: Cell::new(1),
            next_incarnation: Cell::new(1),
        }
    }

    /// Allocates an attempt id, unique in this fleet.
    pub fn new_attempt_id(&self) -> u64 {
        self.next_attempt_id.replace(self.next_attempt_id.get() + 1)
    }

    /// Allocates an incarnation number, unique in this fleet.
    pub fn new_incarnation(&self) -> u32 {
        self.next_incarnation
            .replace(self.next_incarnation.get() + 1)
    }

    /// Multiplies the work of a method by `factor` from now on.
    pub fn scale_method_work(&self, method: usize, factor: f64) {
        if let Some(work_factors) = self.work_factors.borrow_mut().get_mut(method) {
            *work_factors *= factor;
        }
    }

    /// Returns the cost of an RPC at a backend in a zone and rack; `None` if the method is unknown.
    pub fn cost(
        &self,
        method: &str,
        request_id: u64,
        key: Option<&str>,
        zone: u32,
        rack: u32,
    ) -> Option<RpcCost> {
        let method = self.costs.iter().position(|cost| cost.name == method)?;
        let cost = &self.costs[method];
        let base_work = cost.work.sample(self.seed, u64::from(rpc_of(request_id)));
        let idempotency_key = match (cost.idempotency, key) {
            (Idempotency::Deduplicated { scope, window }, Some(key)) => Some(IdempotencyKey {
                group: scope.group_id(zone, rack),
                key: hash(key),
                window,
            }),
            _ => None,
        };
        Some(RpcCost {
            work: base_work * self.work_factors.borrow()[method],
            idempotency_key,
        })
    }

    /// Whether a client's request is in the random fraction `share` that is selected for `purpose`. The result depends only
    /// on the seed, the purpose and the request.
    pub fn is_selected(&self, purpose: u64, request_id: u64, share: f64) -> bool {
        share > 0.0 && work::seeded_rng(self.seed ^ purpose, request_id).random::<f64>() < share
    }
}

/// FNV-1a hash of an idempotency key. Keys are arbitrary strings that clients choose.
fn hash(key: &str) -> u64 {
    let fold = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
    key.bytes().fold(FNV_OFFSET_BASIS, fold)
}
