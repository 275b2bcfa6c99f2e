//! Changes of what the decisions go by: the endpoint list, the administrative state and the settings.
use crate::config::update::{AppliedUpdate, ConfigUpdate};
use crate::decision::actor::DecisionActor;
use crate::decision::in_flight::repeat_rules;
use crate::discovery::update::EndpointUpdate;
use birchhub::interface::EndpointUpdateKind;
use tokio::time::Instant;

impl DecisionActor {
    /// Starts with the endpoint list of the configuration, which may be old.
    pub(super) fn load_cached_endpoints(&mut self, cached: Option<&EndpointUpdate>) {
        self.update_endpoints(&EndpointUpdate {
            version: cached.map_or(0, |cached| cached.version),
            kind: EndpointUpdateKind::StaleSnapshot,
            listed: cached.map_or(Vec::new(), |cached| cached.listed.clone()),
            changed_since: None,
        });
    }

    /// Applies an update of the endpoint list.
    pub(super) fn update_endpoints(&mut self, update: &EndpointUpdate) {
        let (version, kind) = (update.version, update.kind);
        let endpoints = {
            let admin = &self.state.borrow().admin_state;
            let clock = &self.platform.clock;
            self.platform.endpoints.apply(update, admin, clock)
        };
        let lines = update.listed.len();
        if lines > 0 && kind != EndpointUpdateKind::Administrative {
            log::info!("list version {version}: {lines} lines, {kind:?}");
        }
        self.call_balancer(|actor| {
            let platform = &mut actor.platform;
            actor.balancer.update_endpoints(kind, &endpoints, platform);
        });
        self.replay_to_shadow(|shadow, call| shadow.update_endpoints(call, kind, &endpoints));
    }

    /// A call to the list service failed.
    pub(super) fn on_discovery_failed(&mut self) {
        self.call_balancer(|actor| actor.balancer.on_discovery_failure(&mut actor.platform));
        self.replay_to_shadow(|shadow, call| shadow.on_discovery_failed(call));
    }

    /// Tells the decisions anew of the backends whose maintenance has changed, and then that this is carried out.
    pub(super) fn apply_admin_state(&mut self) {
        self.check_heartbeat();
        let (generation, siblings, listed) = {
            let state = self.state.borrow_and_update();
            let listed = self
                .platform
                .endpoints
                .listed(state.admin_state.maintenance.keys());
            (state.admin_generation, state.siblings.alive, listed)
        };
        self.balancer.set_process_count(siblings + 1);
        if !listed.is_empty() {
            self.update_endpoints(&EndpointUpdate {
                version: 0,
                kind: EndpointUpdateKind::Administrative,
                listed,
                // The end of a maintenance counts as a start, and is carried out at once.
                changed_since: Some(Instant::now()),
            });
        }
        self.state_store.confirm_applied(generation);
    }

    /// Puts other settings in force, all between two events.
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
        let former_names = self.names.replace(names.into());
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
            None => self.end_shadow(),
        }
        let _ = applied.send(AppliedUpdate {
            former_names,
            loop_time: started.elapsed(),
        });
    }
}
