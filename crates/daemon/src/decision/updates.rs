//! Updates of the balancer's inputs: the endpoint list, the administrative state and the settings.
use crate::config::update::{AppliedUpdate, ConfigUpdate};
use crate::decision::actor::DecisionActor;
use crate::decision::in_flight::repeat_rules;
use crate::decision::list_confirmation::ListConfirmation;
use crate::discovery::update::EndpointUpdate;
use birchhub::interface::{EndpointUpdateKind, OrderedRpcs};
use tokio::time::Instant;

impl DecisionActor {
    /// Loads the cached endpoint list of the configuration as a stale snapshot. Where lists are pushed, its backends
    /// receive no RPCs until the local agent has responded.
    pub(super) fn load_cached_endpoints(&mut self, cached: Option<&EndpointUpdate>) {
        self.update_endpoints(&EndpointUpdate {
            version: cached.map_or(0, |cached| cached.version),
            kind: EndpointUpdateKind::StaleSnapshot,
            endpoints: cached.map_or(Vec::new(), |cached| cached.endpoints.clone()),
            changed_since: None,
        });
    }

    /// Applies an update from the discovery source, which confirms all other entries of the list.
    pub(super) fn on_endpoints_changed(&mut self, update: EndpointUpdate) {
        let endpoints = &mut self.platform.endpoints;
        let was_usable = endpoints.confirmation().is_usable();
        endpoints.set_confirmation(ListConfirmation::Confirmed);
        endpoints.set_version(update.version);
        if !was_usable && update.kind == EndpointUpdateKind::Incremental {
            let snapshot = endpoints.snapshot_with(update);
            self.update_endpoints(&snapshot);
        } else {
            self.update_endpoints(&update);
        }
        self.hand_over_endpoints();
    }

    /// Applies the list of a sibling process, which knows all that discovery has reported to this proxy so far. It replaces
    /// the cached list, but not an update from discovery.
    pub(super) fn on_endpoints_handed_over(&mut self, list: &EndpointUpdate) {
        if self.platform.endpoints.version().is_some() {
            return;
        }
        log::info!("endpoint list taken over from a sibling process");
        let endpoints = &mut self.platform.endpoints;
        endpoints.set_confirmation(ListConfirmation::Confirmed);
        endpoints.set_version(list.version);
        self.update_endpoints(&EndpointUpdate {
            kind: EndpointUpdateKind::StaleSnapshot,
            ..list.clone()
        });
        self.state_store.record_endpoint_list();
    }

    /// Hands the endpoint list over to a sibling process that waits for it, if the list is confirmed and newer than the cached
    /// one.
    fn hand_over_endpoints(&mut self) {
        let endpoints = &self.platform.endpoints;
        let is_requested = self.state.borrow().endpoint_list_requested;
        if !is_requested || endpoints.confirmation() != ListConfirmation::Confirmed {
            return;
        }
        if let Some(version) = endpoints.version() {
            let list = EndpointUpdate::encode_snapshot(version, &endpoints.all_listed());
            self.state_store.hand_over_endpoint_list(&list);
        }
    }

    /// Handles a change of the local agent. The list of the previous one is used for a limited time.
    pub(super) fn on_agent_changed(&mut self) {
        let endpoints = &mut self.platform.endpoints;
        let confirmation = endpoints.confirmation().after_move(Instant::now());
        endpoints.set_confirmation(confirmation);
    }

    /// Stops sending new RPCs to the listed backends until the local agent has responded.
    pub(super) fn stop_using_endpoints(&mut self) {
        log::warn!("no endpoint list from the new agent: RPCs are rejected until it responds");
        let endpoints = &mut self.platform.endpoints;
        endpoints.set_confirmation(ListConfirmation::Unconfirmed);
        let listed = endpoints.all_listed();
        self.update_endpoints(&EndpointUpdate {
            version: 0,
            kind: EndpointUpdateKind::Administrative,
            endpoints: listed,
            changed_since: None,
        });
    }

    /// Applies an update of the endpoint list.
    pub(super) fn update_endpoints(&mut self, update: &EndpointUpdate) {
        let kind = update.kind;
        let endpoints = {
            let admin = &self.state.borrow().admin_state;
            let clock = &self.platform.clock;
            self.platform.endpoints.apply(update, admin, clock)
        };
        let count = update.endpoints.len();
        if count > 0 && kind != EndpointUpdateKind::Administrative {
            let version = update.version;
            log::info!("endpoint list version {version}: {count} endpoints, {kind:?}");
        }
        self.call_balancer(|actor| {
            let platform = &mut actor.platform;
            actor.balancer.update_endpoints(kind, &endpoints, platform);
        });
        self.replay_to_shadow(|shadow, call| shadow.update_endpoints(call, kind, &endpoints));
    }

    /// Reports a failed discovery poll to the balancer, which schedules the next one.
    pub(super) fn on_discovery_failed(&mut self) {
        self.call_balancer(|actor| actor.balancer.on_discovery_failure(&mut actor.platform));
        self.replay_to_shadow(|shadow, call| shadow.on_discovery_failed(call));
    }

    /// Applies the administrative state: updates the listed backends that have a maintenance entry, and then confirms
    /// this generation of the state.
    pub(super) fn apply_admin_state(&mut self) {
        self.record_heartbeat();
        let state = self.state.borrow_and_update();
        let generation = state.admin_generation;
        let process_count = state.siblings.alive + 1;
        let ordered_rpcs = state.ordered_rpcs;
        let uids = state.admin_state.maintenance.keys();
        let listed = self.platform.endpoints.listed(uids);
        drop(state);
        self.balancer.set_process_count(process_count);
        self.call_balancer(|actor| {
            let platform = &mut actor.platform;
            actor.balancer.set_ordered_rpcs(ordered_rpcs, platform);
        });
        if !listed.is_empty() {
            self.update_endpoints(&EndpointUpdate {
                version: 0,
                kind: EndpointUpdateKind::Administrative,
                endpoints: listed,
                // A backend that leaves maintenance counts as started now.
                changed_since: Some(Instant::now()),
            });
        }
        self.state_store.confirm_applied(generation);
        self.hand_over_endpoints();
    }

    /// Leaves RPCs of methods that are ordered by key to the successor of this process, once this process has none.
    /// Further ones on connections to this process are rejected.
    pub(super) fn hand_over_ordered_rpcs(&self) {
        let may_hand_over = {
            let state = self.state.borrow();
            state.ordered_rpcs == OrderedRpcs::Run && state.has_successor()
        };
        if may_hand_over && !self.balancer.has_ordered_rpcs() {
            self.state_store.hand_over_ordered_rpcs();
        }
    }

    /// Activates new settings. The next event uses all of them.
    pub(super) fn apply_config_update(&mut self, update: ConfigUpdate) {
        let started = Instant::now();
        let ConfigUpdate {
            settings,
            carried_over,
            names,
            shadow_settings,
            applied,
        } = update;
        self.repeat_rules = repeat_rules(&settings);
        let previous_names = self.names.replace(names.into());
        self.call_balancer(|actor| {
            let platform = &mut actor.platform;
            actor
                .balancer
                .apply_settings(&settings, &carried_over, platform);
        });
        match shadow_settings {
            Some(settings) => self.replay_to_shadow(|shadow, call| {
                shadow.apply_settings(call, &settings, &carried_over);
            }),
            None => self.disable_shadow(),
        }
        let _ = applied.send(AppliedUpdate {
            previous_names,
            event_loop_time: started.elapsed(),
        });
    }
}
