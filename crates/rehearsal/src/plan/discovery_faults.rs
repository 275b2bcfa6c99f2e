//! The actions of faults of the discovery service.
use super::action::Action;
use super::fault_builder::FaultBuilder;

/// Additional delay of updates if the scenario has none, in seconds.
const DEFAULT_DELAY_SECONDS: f64 = 1.0;

/// Delays updates.
pub(super) fn delay(builder: &mut FaultBuilder) {
    let by = builder
        .fault
        .delay
        .map_or(DEFAULT_DELAY_SECONDS, |delay| delay.0);
    builder.push(builder.start, Action::DelayDiscovery { by });
    builder.push(builder.end, Action::DelayDiscovery { by: -by });
}

/// Makes the service unavailable.
pub(super) fn outage(builder: &mut FaultBuilder) {
    builder.push(builder.start, Action::SetDiscoveryDown { down: true });
    builder.push(builder.end, Action::SetDiscoveryDown { down: false });
}

/// Freezes the endpoint list that proxies receive.
pub(super) fn stale_list(builder: &mut FaultBuilder) {
    for proxy in builder.proxies.clone() {
        let begin = Action::SetDiscoveryStale { proxy, stale: true };
        let end = Action::SetDiscoveryStale {
            proxy,
            stale: false,
        };
        builder.push(builder.start, begin);
        builder.push(builder.end, end);
    }
}
