//! Checks the decisions against the model of the rules, on generated inputs.
mod common;
use birchhub::interface::*;
use common::{Proxy, endpoint, settings};
use quickcheck::{Arbitrary, Gen};

/// The idempotency of each method.
const IDEMPOTENCY: [Idempotency; 5] = [
    Idempotency::Idempotent,
    Idempotency::NonIdempotent,
    Idempotency::Deduplicated {
        scope: DeduplicationScope::All,
        window: 0.3,
    },
    Idempotency::Deduplicated {
        scope: DeduplicationScope::Zone,
        window: 0.15,
    },
    Idempotency::Deduplicated {
        scope: DeduplicationScope::Cell,
        window: 0.08,
    },
];
/// Outcomes that attempts and health checks end with. Success is listed twice, to make it more frequent.
const OUTCOMES: [AttemptOutcome; 9] = [
    AttemptOutcome::Succeeded,
    AttemptOutcome::Succeeded,
    AttemptOutcome::Failed,
    AttemptOutcome::Rejected,
    AttemptOutcome::TimedOut,
    AttemptOutcome::ConnectFailed,
    AttemptOutcome::Reset,
    AttemptOutcome::Cancelled,
    AttemptOutcome::NotSent,
];

/// One generated step: one of sixteen kinds of input, a selector for that kind, and a size of 16 bits.
type Step = (u8, u8, u16);

/// Number of backends that the steps choose from.
const BACKENDS: u32 = 8;

/// Accepts an RPC; the size sets its deadline.
fn accept_rpc(proxy: &mut Proxy, selector: usize, size: f64) {
    // With only three keys, most RPCs queue behind others with their key; some RPCs have no key.
    let key = Some(selector as u64 / 5 % 4).filter(|key| *key > 0);
    proxy.accept_rpc(IncomingRpc {
        method: selector % IDEMPOTENCY.len(),
        deadline: 0.001 + size * 0.6,
        key,
        ..IncomingRpc::default()
    });
}

/// Ends an attempt in flight, if there is one; the size sets its outcome and the reported load.
fn end_an_attempt(proxy: &mut Proxy, selector: usize, size: f64) {
    let in_flight = proxy.attempts_in_flight();
    if let Some(attempt) = in_flight.get(selector % in_flight.len().max(1)) {
        let outcome = OUTCOMES[(size * 8.99) as usize];
        let load = (size * 40.0).round() % 4.0;
        proxy.end_in_flight(*attempt, outcome, Some(load));
    }
}

/// Delivers a changed entry of the endpoint list; the size sets its readiness.
fn change_an_endpoint(proxy: &mut Proxy, selector: usize, size: f64) {
    let readiness =
        [Readiness::Ready, Readiness::Draining, Readiness::Removed][(size * 2.99) as usize];
    let changed = Endpoint {
        readiness,
        started_at: Some(proxy.platform.now).filter(|_| selector.is_multiple_of(2)),
        ..endpoint(selector as u32 % BACKENDS)
    };
    proxy.update_endpoints(EndpointUpdateKind::Incremental, &[changed]);
}

/// Delivers a complete endpoint list; the bits of the selector tell which backends it contains.
fn replace_endpoint_list(proxy: &mut Proxy, selector: usize, size: f64) {
    let is_listed = |backend: &u32| selector >> backend & 1 == 1;
    let listed: Vec<_> = (0..BACKENDS).filter(is_listed).map(endpoint).collect();
    let kind = if size < 0.8 {
        EndpointUpdateKind::Snapshot
    } else {
        EndpointUpdateKind::StaleSnapshot
    };
    proxy.update_endpoints(kind, &listed);
}

/// Disconnects the client of an RPC without a final answer, or starts the RPC's response.
fn disconnect_or_start_response(proxy: &mut Proxy, selector: usize, size: f64) {
    let rpc = (selector % proxy.handles.len().max(1)) as u64;
    let Some(record) = proxy.platform.rpcs.get_mut(&rpc) else {
        return;
    };
    if !record.answers.is_empty() {
        return;
    }
    if size < 0.7 {
        proxy.disconnect_client(rpc);
    } else if record.attempts_in_flight() == 1 {
        record.is_streaming = true;
        let attempt = record.attempts.len() - 1;
        proxy.handles[&rpc].on_response_started(attempt, PacedBy::Backend, &mut proxy.platform);
    }
}

/// Applies a step to the proxy. The size becomes a fraction from 0 to 1.
fn apply_step(proxy: &mut Proxy, (kind, selector, size): Step) {
    let selector = usize::from(selector);
    let size = f64::from(size) / f64::from(u16::MAX);
    match kind % 16 {
        0..=4 => accept_rpc(proxy, selector, size),
        5..=8 => end_an_attempt(proxy, selector, size),
        9 => proxy
            .complete_health_checks(OUTCOMES[selector % 9], |b| f64::from(b % 3) * size.round()),
        10 => change_an_endpoint(proxy, selector, size),
        11 => replace_endpoint_list(proxy, selector, size),
        12 => proxy.balancer.on_discovery_failure(&mut proxy.platform),
        13 => disconnect_or_start_response(proxy, selector, size),
        _ => proxy.advance(size * size * 0.4),
    }
}

/// Returns settings whose features are enabled or disabled by the seed.
fn generated_settings(seed: u64) -> Settings {
    let mut generated = Settings {
        can_hedge: seed.is_multiple_of(3),
        can_cancel: seed.is_multiple_of(2),
        can_health_check: !seed.is_multiple_of(5),
        max_retry_after: (seed % 4) as f64,
        key_cooldown: 0.05,
        ..settings(&IDEMPOTENCY)
    };
    // Which methods are ordered by key depends on the seed, so that each idempotency is; they share the keys.
    for (n, method) in generated.methods.iter_mut().enumerate() {
        method.ordered_by_key = (seed as usize + n).is_multiple_of(3);
    }
    generated
}

#[test]
fn every_action_is_allowed_by_the_rule_model() {
    for seed in 0..400 {
        let mut random = Gen::from_size_and_seed(120, seed);
        let steps = Vec::<Step>::arbitrary(&mut random);
        let listed: Vec<_> = (0..(seed % 7) as u32).map(endpoint).collect();
        let mut proxy = Proxy::new(generated_settings(seed), seed, &listed);
        // Fill the retry budget first, so that retries are possible.
        for _ in 0..listed.len() * 25 {
            proxy.accept(0, 0.5);
            proxy.advance(0.001);
            proxy.complete_health_checks(AttemptOutcome::Succeeded, |_| 0.0);
            proxy.end_all_attempts(AttemptOutcome::Succeeded, Some(0.0));
        }
        for generated in &steps {
            apply_step(&mut proxy, *generated);
            let checked = proxy.check_rules();
            assert_eq!(checked, Ok(()), "seed {seed}: {steps:?}");
        }
        proxy.advance(1.0);
        let checked = proxy.check_rules();
        assert_eq!(checked, Ok(()), "seed {seed}, at the end: {steps:?}");
    }
}
