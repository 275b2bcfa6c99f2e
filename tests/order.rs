//! RPCs of methods that keep their order: one of a key at a time, as this proxy took them.
mod common;
use birchhub::interface::*;
use common::{Proxy, entry, settings};

const KEPT: usize = 0; // deduplicated, keeps its order
const KEPT_TOO: usize = 1; // non-idempotent, keeps its order
const FREE: usize = 2; // has keys, and no order

fn conf() -> Settings {
    let deduplicated = Idempotency::Deduplicated {
        scope: DeduplicationScope::Cell,
        window: 0.3,
    };
    let mut conf = settings(&[
        deduplicated,
        Idempotency::NonIdempotent,
        Idempotency::Idempotent,
    ]);
    (
        conf.key_cooldown,
        conf.max_retry_after,
        conf.can_health_check,
    ) = (0.05, 0.4, false);
    conf.methods
        .iter_mut()
        .for_each(|m| (m.latency_objective, m.ordered_by_key) = (0.4, true));
    conf.methods[FREE].ordered_by_key = false;
    conf
}

fn fleet(conf: Settings) -> Proxy {
    let mut proxy = Proxy::new(conf, 7, &(0..8).map(entry).collect::<Vec<_>>());
    // Known service times, and credit for further picks.
    for n in 0..60 {
        take(&mut proxy, KEPT, Some(1000 + n));
        proxy.pass(0.02);
        proxy.end_all(AttemptOutcome::Succeeded, None);
    }
    proxy
}

fn take(proxy: &mut Proxy, method: usize, key: Option<u64>) -> u64 {
    proxy.take_any(IncomingRpc {
        method,
        key,
        deadline: 0.8,
        ..IncomingRpc::default()
    })
}

/// Those of these RPCs that have a pick out.
fn out(proxy: &Proxy, of: &[u64]) -> Vec<u64> {
    proxy
        .out()
        .iter()
        .map(|(rpc, ..)| *rpc)
        .filter(|rpc| of.contains(rpc))
        .collect()
}

fn end(proxy: &mut Proxy, rpc: u64, how: AttemptOutcome) {
    let (_, n, _) = *proxy
        .out()
        .iter()
        .find(|(id, ..)| *id == rpc)
        .expect("a pick that is out");
    proxy.end(rpc, n, how, None);
}

#[test]
fn one_of_a_key_at_a_time_as_they_were_taken() {
    let mut proxy = fleet(conf());
    let rpcs: Vec<_> = (0..4).map(|n| take(&mut proxy, n % 2, Some(1))).collect();
    let others = [
        take(&mut proxy, KEPT, Some(2)),
        take(&mut proxy, FREE, Some(1)),
        take(&mut proxy, KEPT, None),
    ];
    assert_eq!(
        out(&proxy, &others).len(),
        3,
        "other keys, other methods and RPCs without a key wait for nobody"
    );
    for rpc in &rpcs {
        assert_eq!(out(&proxy, &rpcs), [*rpc]);
        end(&mut proxy, *rpc, AttemptOutcome::Succeeded);
    }
    assert_eq!(proxy.check(), Ok(()));
}

/// A client's next try is a new RPC: its first one gives way, and it stands behind all.
#[test]
fn a_repeat_by_the_client_stands_last() {
    let mut proxy = fleet(conf());
    let (first, second) = (
        take(&mut proxy, KEPT, Some(1)),
        take(&mut proxy, KEPT, Some(1)),
    );
    proxy.world.rpcs.get_mut(&first).expect("taken").hung_up = true;
    proxy.handles[&first].on_client_disconnected(&mut proxy.world);
    let again = take(&mut proxy, KEPT, Some(1));
    end(&mut proxy, first, AttemptOutcome::Cancelled);
    proxy.pass(0.06);
    assert_eq!(out(&proxy, &[second, again]), [second]);
}

/// What was given up may go on: until its pick has ended, and for a while after that, nothing else of its key runs.
#[test]
fn a_key_rests_after_what_may_go_on() {
    for how in [
        AttemptOutcome::TimedOut,
        AttemptOutcome::Reset,
        AttemptOutcome::Cancelled,
    ] {
        let mut proxy = fleet(conf());
        let (first, second) = (
            take(&mut proxy, KEPT_TOO, Some(1)),
            take(&mut proxy, KEPT, Some(1)),
        );
        proxy.world.rpcs.get_mut(&first).expect("taken").hung_up = true;
        proxy.handles[&first].on_client_disconnected(&mut proxy.world);
        assert_eq!(
            out(&proxy, &[second]),
            [0; 0],
            "its pick is out after its end"
        );
        end(&mut proxy, first, how);
        proxy.pass(0.049);
        assert_eq!(out(&proxy, &[second]), [0; 0], "{how:?}");
        proxy.pass(0.002);
        assert_eq!(
            out(&proxy, &[second]),
            [second],
            "{how:?}: the rest is over"
        );
        // One that comes while an empty line still rests waits as well.
        end(&mut proxy, second, how);
        let late = take(&mut proxy, KEPT, Some(1));
        assert_eq!(out(&proxy, &[late]), [0; 0]);
        proxy.pass(0.051);
        assert_eq!(proxy.check(), Ok(()));
    }
}

/// Guards against a key that rests after an outcome that leaves nothing running.
#[test]
fn a_key_does_not_rest_after_what_has_ended() {
    for how in [AttemptOutcome::Succeeded, AttemptOutcome::Failed] {
        let mut proxy = fleet(conf());
        let (first, second) = (
            take(&mut proxy, KEPT_TOO, Some(1)),
            take(&mut proxy, KEPT, Some(1)),
        );
        end(&mut proxy, first, how);
        assert_eq!(out(&proxy, &[second]), [second], "{how:?}");
    }
}

#[test]
fn its_own_further_pick_is_not_held_back() {
    let mut proxy = fleet(conf());
    let rpcs = [
        take(&mut proxy, KEPT, Some(1)),
        take(&mut proxy, KEPT, Some(1)),
    ];
    end(&mut proxy, rpcs[0], AttemptOutcome::Reset);
    assert_eq!(
        out(&proxy, &rpcs),
        [rpcs[0]],
        "at once, before the key has rested"
    );
    assert_eq!(proxy.check(), Ok(()));
}

/// Guards against thousands that wait behind one popular key until none of them is of use: what can't have its turn in
/// time is told at once to come back, when the line may have gone.
#[test]
fn who_cannot_have_a_turn_in_time_is_told_when_to_come_back() {
    let mut proxy = fleet(conf());
    let rpcs: Vec<_> = (0..5000).map(|_| take(&mut proxy, KEPT, Some(1))).collect();
    let answered = |proxy: &Proxy, what: &str| {
        rpcs.iter()
            .filter(|rpc| proxy.world.rpcs[rpc].answers == [what])
            .count()
    };
    let turned_away = answered(&proxy, "pushed back");
    assert!(
        (4950..4990).contains(&turned_away),
        "{turned_away} told at once: 0.4 s hold some 20 of 0.02 s"
    );
    assert!(
        proxy
            .world
            .come_backs
            .iter()
            .all(|after| (0.38..=0.4).contains(after))
    );
    for _ in 0..40 {
        proxy.pass(0.02);
        proxy.end_all(AttemptOutcome::Succeeded, None);
    }
    assert!(answered(&proxy, "ok") > 15);
    assert_eq!(
        answered(&proxy, "ok") + answered(&proxy, "pushed back"),
        rpcs.len()
    );
    assert_eq!(proxy.check(), Ok(()));
}

/// One that waits while the line stands still is answered before it is too late, out of turn.
#[test]
fn who_waits_in_vain_is_answered_in_time() {
    let mut proxy = fleet(conf());
    let rpcs = [
        take(&mut proxy, KEPT_TOO, Some(1)),
        take(&mut proxy, KEPT, Some(1)),
    ];
    proxy.pass(0.39);
    assert_eq!(out(&proxy, &rpcs), [rpcs[0]]);
    assert_eq!(proxy.world.rpcs[&rpcs[1]].answers, ["pushed back"]);
    assert_eq!(proxy.check(), Ok(()));
}
