use super::*;
use crate::interface::{Idempotency, IncomingRpc, MethodSettings};
use crate::method::Method;
use crate::tenant::QuotaClass;

fn rpc() -> Rc<RpcState> {
    let settings = MethodSettings {
        idempotency: Idempotency::Idempotent,
        latency_objective: 1.0,
        objective_stretch: 0.0,
        priority_weight: 1.0,
        late_weight_fraction: 0.0,
        ordered_by_key: true,
    };
    let method = Rc::new(Method::new(&settings, 1.0, None));
    let incoming = IncomingRpc::default();
    Rc::new(RpcState::new(
        &incoming,
        method,
        QuotaClass::Within,
        Vec::new(),
        Vec::new(),
        0.0,
    ))
}

/// Memory must not grow with every key there ever was, also not with those that cooled down after their RPCs
/// ended.
#[test]
fn keys_that_nothing_holds_are_forgotten() {
    let (mut queue, mut most) = (KeyedQueue::default(), 0);
    for key in 0..1_000_000_u64 {
        let (now, rpc) = (key as f64 * 1e-3, rpc());
        queue.push(&rpc, key);
        assert!(rpc.key_ready.get());
        if key % 2 == 0 {
            queue.cool_down(&rpc, now + 0.05);
        }
        queue.remove(&rpc);
        assert!(queue.next_ready(now).is_none());
        most = most.max(queue.keys.len() + queue.due.len());
    }
    assert!(
        most < 60,
        "{most} entries at a thousand keys a second that cool down for 0.05 s"
    );
    assert!(queue.next_ready(f64::INFINITY).is_none());
    assert_eq!((queue.keys.len(), queue.next_due()), (0, None));
}

/// An RPC that ends before it was ready makes no other one ready.
#[test]
fn an_rpc_is_ready_once_and_only_when_the_one_before_has_ended() {
    let (mut queue, rpcs) = (KeyedQueue::default(), [rpc(), rpc(), rpc()]);
    rpcs.iter().for_each(|rpc| queue.push(rpc, 5));
    assert_eq!(queue.length(&rpcs[2]), 3);
    queue.remove(&rpcs[1]);
    assert!(queue.next_ready(9.0).is_none());
    queue.cool_down(&rpcs[0], 2.0);
    queue.remove(&rpcs[0]);
    queue.remove(&rpcs[0]);
    assert!(queue.next_ready(1.9).is_none() && queue.next_due() == Some(2.0));
    assert!(
        queue
            .next_ready(2.0)
            .is_some_and(|next| Rc::ptr_eq(&next, &rpcs[2]))
    );
    assert!(queue.next_ready(9.0).is_none());
}
