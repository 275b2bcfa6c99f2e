//! The list service in simulated time: what is true, what each proxy has been told, and what it may be told now.
use birchhub_audit::State;
use std::collections::BTreeMap;

/// What the list says of a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ListEntry {
    pub life: u32,
    pub state: State,
    /// When it last started, s; `None` for long ago.
    pub started: Option<f64>,
}

#[derive(Clone, Debug, Default)]
struct Reader {
    watching: bool,
    /// Up to here it has been told.
    version: u64,
    stale_faults: usize,
}

/// The service, and its readers by proxy.
#[derive(Debug, Default)]
pub(crate) struct EndpointListService {
    version: u64,
    list_entries: BTreeMap<u32, (u64, ListEntry)>,
    readers: Vec<Reader>,
    outages: usize,
    /// Calls that it works on now, and at most; none without a limit.
    calls_in_progress: usize,
    call_limit: Option<usize>,
}

impl EndpointListService {
    /// With a limit, `call_limit` calls are worked on at a time.
    pub(crate) fn new(proxies: usize, call_limit: Option<usize>) -> Self {
        Self {
            readers: vec![Reader::default(); proxies],
            call_limit,
            ..Self::default()
        }
    }

    pub(crate) fn is_limited(&self) -> bool {
        self.call_limit.is_some()
    }

    /// A proxy's call comes: how many lines there are to be told. `None` where it is refused; else `done` must follow.
    pub(crate) fn accept_call(&mut self, proxy: u16) -> Option<usize> {
        self.readers[proxy as usize].watching = false;
        if self.outages > 0
            || self
                .call_limit
                .is_some_and(|call_limit| self.calls_in_progress >= call_limit)
        {
            return None;
        }
        self.calls_in_progress += 1;
        Some(self.changed_entries(proxy).count())
    }

    fn changed_entries(&self, proxy: u16) -> impl Iterator<Item = (&u32, &(u64, ListEntry))> {
        let from = self.readers[proxy as usize].version;
        self.list_entries
            .iter()
            .filter(move |(_, (version, _))| *version > from)
    }

    /// Whether a proxy that watches is to be told something now.
    pub(crate) fn has_update(&self, proxy: u16) -> bool {
        self.can_update(proxy) && self.changed_entries(proxy).next().is_some()
    }

    /// The work on a call has ended.
    pub(crate) fn finish_call(&mut self) {
        self.calls_in_progress -= 1;
    }

    /// A node is now so; the proxies that are to be told at once.
    pub(crate) fn publish(&mut self, node: u32, list_entry: ListEntry) -> Vec<u16> {
        self.version += 1;
        self.list_entries.insert(node, (self.version, list_entry));
        (0..self.readers.len() as u16)
            .filter(|proxy| self.can_update(*proxy))
            .collect()
    }

    /// Whether a proxy that watches would be told of a change now.
    pub(crate) fn can_update(&self, proxy: u16) -> bool {
        let reader = &self.readers[proxy as usize];
        self.outages == 0 && reader.watching && reader.stale_faults == 0
    }

    /// A proxy begins to watch; false where the call fails.
    pub(crate) fn watch(&mut self, proxy: u16) -> bool {
        self.readers[proxy as usize].watching = self.outages == 0;
        self.outages == 0
    }

    /// What has changed since a proxy was told last; from now on it has been told.
    pub(crate) fn take_update(&mut self, proxy: u16) -> Vec<(u32, ListEntry)> {
        let update = self
            .changed_entries(proxy)
            .map(|(node, (_, list_entry))| (*node, *list_entry))
            .collect();
        self.readers[proxy as usize].version = self.version;
        update
    }

    /// A proxy starts: the list that it has then; it watches nothing yet.
    pub(crate) fn snapshot(&mut self, proxy: u16) -> Vec<(u32, ListEntry)> {
        self.reset_reader(proxy);
        let all = self.take_update(proxy);
        all.into_iter()
            .filter(|(_, list_entry)| list_entry.state != State::Gone)
            .collect()
    }

    /// A proxy starts and knows nothing.
    pub(crate) fn reset_reader(&mut self, proxy: u16) {
        self.readers[proxy as usize].watching = false;
        self.readers[proxy as usize].version = 0;
    }

    /// It fails from now on, or no longer; the proxies whose watches end.
    pub(crate) fn set_down(&mut self, down: bool) -> Vec<u16> {
        self.outages = if down {
            self.outages + 1
        } else {
            self.outages.saturating_sub(1)
        };
        let mut ended = Vec::new();
        for (proxy, reader) in (0..).zip(&mut self.readers) {
            if self.outages > 0 && std::mem::take(&mut reader.watching) {
                ended.push(proxy);
            }
        }
        ended
    }

    /// A proxy's list stands still, or moves on; true if it is to be told what it missed.
    pub(crate) fn set_stale(&mut self, proxy: u16, stale: bool) -> bool {
        let reader = &mut self.readers[proxy as usize];
        reader.stale_faults = if stale {
            reader.stale_faults + 1
        } else {
            reader.stale_faults.saturating_sub(1)
        };
        self.can_update(proxy)
    }
}
