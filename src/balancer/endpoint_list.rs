//! Applies updates of the endpoint list, and keeps the index of the backends up to date.
use crate::backend::Backend;
use crate::backend_index::Subset;
use crate::interface::{Endpoint, EndpointUpdateKind};
use crate::policy::dispatch::Dispatcher;
use crate::policy::outlier_detection::is_available;
use std::rc::Rc;

impl Dispatcher {
    /// Applies an update of the endpoint list.
    pub(super) fn apply_endpoint_list(
        &mut self,
        kind: EndpointUpdateKind,
        entries: &[Endpoint],
        now: f64,
    ) {
        self.rules.slow_start.budget.record_endpoint_list(now);
        self.fleet.index.updates += 1;
        for entry in entries {
            self.apply_entry(entry, now);
        }
        if kind.is_snapshot() {
            self.remove_unlisted(now);
        }
        self.remove_unused(now);
    }

    /// Applies one entry of an update.
    fn apply_entry(&mut self, entry: &Endpoint, now: f64) {
        let index = &mut self.fleet.index;
        let backend = index.get_or_insert(entry.backend);
        backend.last_update.set(index.updates);
        if backend.is_indexed_as(entry) {
            backend.apply_entry(entry);
        } else {
            index.remove_from_subsets(&backend);
            backend.apply_entry(entry);
            self.reindex(&backend, now);
        }
        if backend.started_at.replace(entry.started_at) != entry.started_at {
            let budget = &self.rules.slow_start.budget;
            let before_this_process = budget.precedes_this_process(entry.started_at);
            backend.record_restart(now, before_this_process);
            self.reindex(&backend, now);
        }
    }

    /// Marks all backends that the last update does not contain as not ready.
    fn remove_unlisted(&mut self, now: f64) {
        let index = &self.fleet.index;
        let ready = index.subset(Subset::Ready).iter();
        let unlisted: Vec<_> = ready
            .filter(|backend| backend.last_update.get() != index.updates)
            .cloned()
            .collect();
        for backend in unlisted {
            self.fleet.index.remove_from_subsets(&backend);
            backend.ready.set(false);
            self.reindex(&backend, now);
        }
    }

    /// Removes backends that are neither ready nor in use; otherwise memory would grow with every
    /// backend that was ever listed. A backend is kept while its slow-start window contains
    /// attempts.
    fn remove_unused(&mut self, now: f64) {
        let window = self.rules.slow_start.budget.window;
        let is_used = |backend: &Backend| {
            backend.in_flight.get() > 0 || backend.recent_attempts.count(now, window) > 0.0
        };
        let unready = self.fleet.index.subset(Subset::Unready).iter();
        let unused: Vec<_> = unready
            .filter(|backend| !is_used(backend))
            .cloned()
            .collect();
        for backend in unused {
            self.health_checks.tokens.finish_check(&backend);
            self.fleet.index.remove(&backend);
        }
    }

    /// Updates the index of a backend after its readiness, zone, cell or health has changed.
    pub(crate) fn reindex(&mut self, backend: &Rc<Backend>, now: f64) {
        self.fleet.index.update(backend, is_available(backend, now));
    }

    /// Updates the index of all backends whose ejection or saturation has ended.
    pub(crate) fn reindex_expired(&mut self, now: f64) {
        while let Some(backend) = self.fleet.index.next_expired(now) {
            self.reindex(&backend, now);
        }
    }
}
