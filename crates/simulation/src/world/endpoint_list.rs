//! State of the endpoint list service: the current entries, and what each proxy has received and may receive now.
use birchhub_audit::EndpointState;
use std::collections::BTreeMap;

/// The entry of a machine in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ListEntry {
    /// The backend's incarnation.
    pub incarnation: u32,
    /// The backend's state.
    pub state: EndpointState,
    /// When it started, in seconds; `None` for long ago.
    pub started: Option<f64>,
}

impl ListEntry {
    /// Returns the entry of a backend that has ended.
    pub(crate) fn gone(incarnation: u32) -> Self {
        Self {
            incarnation,
            state: EndpointState::Gone,
            started: None,
        }
    }
}

/// An entry, and the version of the list in which it last changed.
#[derive(Clone, Copy, Debug)]
struct VersionedEntry {
    version: u64,
    entry: ListEntry,
}

/// The state of a proxy as a reader of the list.
#[derive(Clone, Debug, Default)]
struct Reader {
    /// Whether a call of the proxy waits for a change.
    watching: bool,
    /// The version that the proxy has received.
    version: u64,
    /// Number of active faults that keep its copy stale.
    stale_faults: usize,
}

/// The endpoint list service, and its readers by proxy.
#[derive(Debug, Default)]
pub(crate) struct EndpointListService {
    version: u64,
    entries: BTreeMap<u32, VersionedEntry>,
    readers: Vec<Reader>,
    /// Number of active outages.
    outages: usize,
    calls_in_progress: usize,
    /// Maximum number of concurrent calls; `None` without a limit.
    call_limit: Option<usize>,
}

impl EndpointListService {
    /// Creates a service with an empty list for this number of proxies.
    pub(crate) fn new(proxies: usize, call_limit: Option<usize>) -> Self {
        Self {
            readers: vec![Reader::default(); proxies],
            call_limit,
            ..Self::default()
        }
    }

    /// Returns whether the number of concurrent calls is limited.
    pub(crate) fn is_limited(&self) -> bool {
        self.call_limit.is_some()
    }

    /// Accepts a proxy's call and returns the number of entries in its response. `None` if the call is refused; otherwise
    /// `finish_call` must follow.
    pub(crate) fn accept_call(&mut self, proxy: u16) -> Option<usize> {
        self.readers[proxy as usize].watching = false;
        let is_full = |limit| self.calls_in_progress >= limit;
        if self.outages > 0 || self.call_limit.is_some_and(is_full) {
            return None;
        }
        self.calls_in_progress += 1;
        Some(self.changed_entries(proxy).count())
    }

    /// Ends an accepted call.
    pub(crate) fn finish_call(&mut self) {
        self.calls_in_progress -= 1;
    }

    fn changed_entries(&self, proxy: u16) -> impl Iterator<Item = (u32, ListEntry)> {
        let received = self.readers[proxy as usize].version;
        let changed = self
            .entries
            .iter()
            .filter(move |(_, changed)| changed.version > received);
        changed.map(|(node, changed)| (*node, changed.entry))
    }

    /// Returns whether a proxy waits for changes and may receive some now.
    pub(crate) fn has_update(&self, proxy: u16) -> bool {
        self.can_update(proxy) && self.changed_entries(proxy).next().is_some()
    }

    /// Changes the entry of a machine. Returns the proxies that receive the change at once.
    pub(crate) fn publish(&mut self, node: u32, entry: ListEntry) -> Vec<u16> {
        self.version += 1;
        let version = self.version;
        self.entries.insert(node, VersionedEntry { version, entry });
        (0..self.readers.len() as u16)
            .filter(|proxy| self.can_update(*proxy))
            .collect()
    }

    /// Returns whether a proxy waits for changes and would receive one now.
    pub(crate) fn can_update(&self, proxy: u16) -> bool {
        let reader = &self.readers[proxy as usize];
        self.outages == 0 && reader.watching && reader.stale_faults == 0
    }

    /// Lets a proxy wait for changes from now on. Returns false while the service is down.
    pub(crate) fn watch(&mut self, proxy: u16) -> bool {
        self.readers[proxy as usize].watching = self.outages == 0;
        self.outages == 0
    }

    /// Takes the changes since a proxy's last update, which then count as received.
    pub(crate) fn take_update(&mut self, proxy: u16) -> Vec<(u32, ListEntry)> {
        let update = self.changed_entries(proxy).collect();
        self.readers[proxy as usize].version = self.version;
        update
    }

    /// Returns the whole list for a proxy that starts. It does not wait for changes yet.
    pub(crate) fn snapshot(&mut self, proxy: u16) -> Vec<(u32, ListEntry)> {
        self.reset_reader(proxy);
        let mut entries = self.take_update(proxy);
        entries.retain(|(_, entry)| entry.state != EndpointState::Gone);
        entries
    }

    /// Resets a proxy that starts: it has received nothing.
    pub(crate) fn reset_reader(&mut self, proxy: u16) {
        self.readers[proxy as usize].watching = false;
        self.readers[proxy as usize].version = 0;
    }

    /// Begins or ends an outage. Returns the proxies whose waiting calls fail.
    pub(crate) fn set_down(&mut self, down: bool) -> Vec<u16> {
        self.outages = adjust_fault_count(self.outages, down);
        let mut failed = Vec::new();
        for (proxy, reader) in (0..).zip(&mut self.readers) {
            if self.outages > 0 && std::mem::take(&mut reader.watching) {
                failed.push(proxy);
            }
        }
        failed
    }

    /// Begins or ends a fault that keeps a proxy's copy stale. Returns whether the proxy now receives what it missed.
    pub(crate) fn set_stale(&mut self, proxy: u16, stale: bool) -> bool {
        let reader = &mut self.readers[proxy as usize];
        reader.stale_faults = adjust_fault_count(reader.stale_faults, stale);
        self.can_update(proxy)
    }
}

/// Returns the number of active faults after one has begun or ended.
fn adjust_fault_count(faults: usize, begins: bool) -> usize {
    if begins {
        faults + 1
    } else {
        faults.saturating_sub(1)
    }
}
