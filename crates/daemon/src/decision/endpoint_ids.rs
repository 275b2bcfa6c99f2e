//! Backend ids: the numbers that identify backends in the balancer, one for each uid in the endpoint list.
use crate::decision::start_times::StartTime;
use std::collections::{HashMap, HashSet};
use std::time::Duration;
use tokio::time::Instant;

/// Time for which a removed backend keeps its id. A backend that is listed again within it counts as the same backend.
const REMOVED_ID_RETENTION: Duration = Duration::from_secs(2);

/// A backend that has an id.
pub(super) struct KnownBackend {
    /// The backend's id.
    pub id: u32,
    /// The start time that was listed last.
    pub start: StartTime,
    last_listed: Instant,
}

/// The ids of listed and recently removed backends.
#[derive(Default)]
pub(super) struct EndpointIds {
    /// The backends that have an id, by uid.
    known: HashMap<String, KnownBackend>,
    /// The uids in `known` that are not listed.
    removed: HashSet<String>,
    next_id: u32,
}

impl EndpointIds {
    /// Returns the backend with this uid, which an update names. Assigns it an id and `start` if it has none.
    pub(super) fn get_or_assign(
        &mut self,
        uid: &str,
        start: impl Fn() -> StartTime,
    ) -> &mut KnownBackend {
        let now = Instant::now();
        let known = self.known.entry(uid.to_owned()).or_insert_with(|| {
            self.next_id += 1;
            KnownBackend {
                id: self.next_id - 1,
                start: start(),
                last_listed: now,
            }
        });
        known.last_listed = now;
        known
    }

    /// Returns the ids of the backends with these uids, without those that have no id.
    pub(super) fn ids_of<'a>(&self, uids: impl Iterator<Item = &'a str>) -> HashSet<u32> {
        uids.filter_map(|uid| self.known.get(uid))
            .map(|known| known.id)
            .collect()
    }

    /// Marks a backend as removed from the list.
    pub(super) fn mark_removed(&mut self, uid: &str) {
        self.removed.insert(uid.to_owned());
    }

    /// Marks every backend as removed for which `is_listed` returns false, and no other backend.
    pub(super) fn mark_unlisted_removed(&mut self, is_listed: impl Fn(u32) -> bool) {
        self.removed = self
            .known
            .iter()
            .filter(|(_, known)| !is_listed(known.id))
            .map(|(uid, _)| uid.clone())
            .collect();
    }

    /// Drops the ids of backends that were removed more than [`REMOVED_ID_RETENTION`] before `now`. Visits only removed
    /// backends, so that the cost of an update does not grow with the number of backends.
    pub(super) fn drop_expired(&mut self, now: Instant, is_listed: impl Fn(u32) -> bool) {
        let known_backends = &mut self.known;
        self.removed.retain(|uid| {
            let Some(known) = known_backends.get(uid) else {
                return false;
            };
            if is_listed(known.id) {
                return false;
            }
            let keeps_id = now < known.last_listed + REMOVED_ID_RETENTION;
            if !keeps_id {
                known_backends.remove(uid);
            }
            keeps_id
        });
    }
}
