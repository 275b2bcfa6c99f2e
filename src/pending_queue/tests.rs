use super::*;
use crate::interface::{Idempotency, IncomingRpc, MethodSettings};
use crate::method::Method;
use quickcheck::{Gen, QuickCheck};

fn rpc(id: u64, priority_weight: f64, class: QuotaClass, pending_until: f64) -> Rc<RpcState> {
    let settings = MethodSettings {
        idempotency: Idempotency::Idempotent,
        latency_objective: 1.0,
        objective_stretch: 0.0,
        priority_weight,
        late_weight_fraction: 0.0,
        ordered_by_key: false,
    };
    let method = Rc::new(Method::new(&settings, 1.0, None));
    let incoming = IncomingRpc {
        id,
        deadline: 9.0,
        ..IncomingRpc::default()
    };
    let rpc = RpcState::new(&incoming, method, class, Vec::new(), Vec::new(), 0.0);
    rpc.pending_until.set(pending_until);
    Rc::new(rpc)
}

/// Priority and ends are those of a plain vector that is sorted each time.
fn order_is_that_of_a_plain_vector(moves: Vec<(u8, u8, u8, bool)>) -> bool {
    const CLASSES: [QuotaClass; 3] = [QuotaClass::Within, QuotaClass::Borrowed, QuotaClass::Beyond];
    let (mut pending, mut plain) = (PendingQueue::default(), Vec::<Rc<RpcState>>::new());
    moves
        .iter()
        .enumerate()
        .all(|(id, (weight, class, until, removes))| {
            if *removes && !plain.is_empty() {
                let rpc = plain.remove(usize::from(*weight) % plain.len());
                pending.remove(&rpc);
                pending.remove(&rpc);
            } else {
                let class = CLASSES[usize::from(*class) % 3];
                let rpc = rpc(
                    id as u64,
                    f64::from(weight % 4),
                    class,
                    f64::from(*until) / 10.0,
                );
                pending.insert(rpc.clone());
                plain.push(rpc);
            }
            let mut ranked = plain.clone();
            ranked.sort_by(|a, b| {
                let key = |r: &RpcState| {
                    (
                        r.quota_class,
                        -r.method.settings.priority_weight,
                        r.id as f64,
                    )
                };
                key(a).partial_cmp(&key(b)).expect("no NaN")
            });
            let mut position = None;
            let walked = std::iter::from_fn(|| {
                let rpc = pending.next_after(position)?;
                position = rpc.pending_position.get();
                Some(rpc.id)
            });
            let first = plain.iter().map(|r| r.pending_until.get()).reduce(f64::min);
            walked.eq(ranked.iter().map(|r| r.id)) && pending.first_end().map(|(at, _)| at) == first
        })
}

#[test]
fn order_follows_generated_moves() {
    let mut check = QuickCheck::new()
        .tests(300)
        .rng(Gen::from_size_and_seed(60, 5));
    check.quickcheck(order_is_that_of_a_plain_vector as fn(_) -> bool);
}
