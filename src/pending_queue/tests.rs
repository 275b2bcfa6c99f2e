use super::*;
use crate::tenant::QuotaClass;
use crate::test_fixtures::rpc_state;
use quickcheck::{Gen, QuickCheck};

fn rpc(id: u64, priority_weight: f64, class: QuotaClass, pending_until: f64) -> Rc<RpcState> {
    let rpc = rpc_state(id, priority_weight, class);
    rpc.pending_until.set(pending_until);
    Rc::new(rpc)
}

const CLASSES: [QuotaClass; 3] = [QuotaClass::Within, QuotaClass::Borrowed, QuotaClass::Beyond];

/// The queue under test, and a reference model: a list of the RPCs that it should contain.
#[derive(Default)]
struct QueueWithModel {
    queue: PendingQueue,
    rpcs: Vec<Rc<RpcState>>,
}

impl QueueWithModel {
    fn insert(&mut self, rpc: Rc<RpcState>) {
        self.queue.insert(rpc.clone());
        self.rpcs.push(rpc);
    }

    /// Removes an RPC twice. The second removal must have no effect.
    fn remove(&mut self, index: usize) {
        let rpc = self.rpcs.remove(index);
        self.queue.remove(&rpc);
        self.queue.remove(&rpc);
    }

    /// Returns whether iteration yields the RPCs in the order of the sorted model.
    fn precedence_matches_model(&self) -> bool {
        let mut ranked = self.rpcs.clone();
        ranked.sort_by(|a, b| {
            let weight = |rpc: &RpcState| rpc.method.settings.priority_weight;
            let key = |rpc: &RpcState| (rpc.quota_class, -weight(rpc), rpc.id as f64);
            key(a).partial_cmp(&key(b)).expect("no NaN")
        });
        let mut position = None;
        let visited = std::iter::from_fn(|| {
            let rpc = self.queue.next_after(position)?;
            position = rpc.pending_position.get();
            Some(rpc.id)
        });
        visited.eq(ranked.iter().map(|rpc| rpc.id))
    }

    /// Returns whether the first end of a wait is the earliest in the model.
    fn first_end_matches_model(&self) -> bool {
        let ends = self.rpcs.iter().map(|rpc| rpc.pending_until.get());
        let first_end = self.queue.first_end().map(|(end, _)| end);
        first_end == ends.reduce(f64::min)
    }
}

/// Property: after each operation both orders of the queue match the model.
fn orders_match_model(operations: Vec<(u8, u8, u8, bool)>) -> bool {
    let mut queue = QueueWithModel::default();
    let mut operations = operations.iter().enumerate();
    operations.all(|(id, (weight, class, until, removes))| {
        if *removes && !queue.rpcs.is_empty() {
            queue.remove(usize::from(*weight) % queue.rpcs.len());
        } else {
            let weight = f64::from(weight % 4);
            let class = CLASSES[usize::from(*class) % CLASSES.len()];
            queue.insert(rpc(id as u64, weight, class, f64::from(*until) / 10.0));
        }
        queue.precedence_matches_model() && queue.first_end_matches_model()
    })
}

#[test]
fn orders_match_model_after_generated_operations() {
    let mut check = QuickCheck::new()
        .tests(300)
        .rng(Gen::from_size_and_seed(60, 5));
    check.quickcheck(orders_match_model as fn(_) -> bool);
}
