//! Updates of the endpoint list, and the subsets that each backend is in.
use crate::backend::Backend;
use crate::backend_index::Subset;
use crate::interface::{Endpoint, EndpointUpdateKind};
use crate::policy::dispatch::Dispatcher;
use crate::policy::outlier_detection::is_available;
use std::rc::Rc;

impl Dispatcher {
    /// Takes over an update of the list.
    pub(super) fn apply_endpoint_list(
        &mut self,
        kind: EndpointUpdateKind,
        entries: &[Endpoint],
        now: f64,
    ) {
        self.rules.slow_start.budget.record_list(now);
        self.fleet.index.updates += 1;
        entries
            .iter()
            .for_each(|entry| self.apply_entry(entry, now));
        if kind.is_snapshot() {
            self.remove_unlisted(now);
        }
        self.forget_unused(now);
    }

    fn apply_entry(&mut self, entry: &Endpoint, now: f64) {
        let index = &mut self.fleet.index;
        let backend = index.get_or_insert(entry.backend);
        backend.last_update.set(index.updates);
        if backend.is_indexed_as(entry) {
            backend.describe(entry);
        } else {
            index.remove_from_subsets(&backend);
            backend.describe(entry);
            self.reindex(&backend, now);
        }
        if backend.started_at.replace(entry.started_at) != entry.started_at {
            let before = self
                .rules
                .slow_start
                .budget
                .precedes_this_process(entry.started_at);
            backend.record_restart(now, before);
            self.reindex(&backend, now);
        }
    }

    /// What the last update does not name is no longer ready.
    fn remove_unlisted(&mut self, now: f64) {
        let index = &self.fleet.index;
        let unlisted = |b: &&Rc<Backend>| b.last_update.get() != index.updates;
        for backend in index
            .subset(Subset::Ready)
            .iter()
            .filter(unlisted)
            .cloned()
            .collect::<Vec<_>>()
        {
            self.fleet.index.remove_from_subsets(&backend);
            backend.ready.set(false);
            self.reindex(&backend, now);
        }
    }

    /// Without this, memory would grow with all backends there ever were. A slow start budget is remembered
    /// for as long as it binds.
    fn forget_unused(&mut self, now: f64) {
        let window = self.rules.slow_start.budget.window;
        let used =
            |b: &Backend| b.in_flight.get() > 0 || b.recent_attempts.count(now, window) > 0.0;
        let unready = self.fleet.index.subset(Subset::Unready).iter();
        for backend in unready.filter(|b| !used(b)).cloned().collect::<Vec<_>>() {
            self.health_checks.tokens.finish(&backend);
            self.fleet.index.remove(&backend);
        }
    }

    /// Enters a backend into the subsets that its description and its health put it in.
    pub(crate) fn reindex(&mut self, backend: &Rc<Backend>, now: f64) {
        self.fleet.index.update(backend, is_available(backend, now));
    }

    /// Does so for all backends about which something has ended by time alone.
    pub(crate) fn reindex_expired(&mut self, now: f64) {
        while let Some(backend) = self.fleet.index.next_expired(now) {
            self.reindex(&backend, now);
        }
    }
}
