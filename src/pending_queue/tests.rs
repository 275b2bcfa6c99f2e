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

/// The queue, and a list of the RPCs that it should hold.
#[derive(Default)]
struct ModelledQueue {
    queue: PendingQueue,
    rpcs: Vec<Rc<RpcState>>,
}

impl ModelledQueue {
    fn insert(&mut self, rpc: Rc<RpcState>) {
        self.queue.insert(rpc.clone());
        self.rpcs.push(rpc);
    }

    /// Removes an RPC twice; the second time has no effect.
    fn remove(&mut self, index: usize) {
        let rpc = self.rpcs.remove(index);
        self.queue.remove(&rpc);
        self.queue.remove(&rpc);
    }

    /// The RPCs are walked in the order of the sorted list.
    fn agrees_on_precedence(&self) -> bool {
        let mut ranked = self.rpcs.clone();
        ranked.sort_by(|a, b| {
            let weight = |rpc: &RpcState| rpc.method.settings.priority_weight;
            let key = |rpc: &RpcState| (rpc.quota_class, -weight(rpc), rpc.id as f64);
            key(a).partial_cmp(&key(b)).expect("no NaN")
        });
        let mut position = None;
        let walked = std::iter::from_fn(|| {
            let rpc = self.queue.next_after(position)?;
            position = rpc.pending_position.get();
            Some(rpc.id)
        });
        walked.eq(ranked.iter().map(|rpc| rpc.id))
    }

    fn agrees_on_first_end(&self) -> bool {
        let ends = self.rpcs.iter().map(|rpc| rpc.pending_until.get());
        let first_end = self.queue.first_end().map(|(end, _)| end);
        first_end == ends.reduce(f64::min)
    }
}

/// After each move the queue has the order of a plain list that is sorted.
fn order_matches_a_sorted_list(moves: Vec<(u8, u8, u8, bool)>) -> bool {
    let mut modelled = ModelledQueue::default();
    let mut moves = moves.iter().enumerate();
    moves.all(|(id, (weight, class, until, removes))| {
        if *removes && !modelled.rpcs.is_empty() {
            modelled.remove(usize::from(*weight) % modelled.rpcs.len());
        } else {
            let weight = f64::from(weight % 4);
            let class = CLASSES[usize::from(*class) % CLASSES.len()];
            modelled.insert(rpc(id as u64, weight, class, f64::from(*until) / 10.0));
        }
        modelled.agrees_on_precedence() && modelled.agrees_on_first_end()
    })
}

#[test]
fn order_follows_generated_moves() {
    let mut check = QuickCheck::new()
        .tests(300)
        .rng(Gen::from_size_and_seed(60, 5));
    check.quickcheck(order_matches_a_sorted_list as fn(_) -> bool);
}
