//! The list service in simulated time: what is true, what each proxy has been told, and what it may be told now.
use birchhub_audit::State;
use std::collections::BTreeMap;

/// What the list says of a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Line {
    pub life: u32,
    pub state: State,
    /// When it last started, s; `None` for long ago.
    pub started: Option<f64>,
}

#[derive(Clone, Debug, Default)]
struct Reader {
    watches: bool,
    /// Up to here it has been told.
    version: u64,
    stale: usize,
}

/// The service, and its readers by proxy.
#[derive(Debug, Default)]
pub(crate) struct List {
    version: u64,
    lines: BTreeMap<u32, (u64, Line)>,
    readers: Vec<Reader>,
    down: usize,
    /// Calls that it works on now, and at most; none without a limit.
    busy: usize,
    most: Option<usize>,
}

impl List {
    /// With a limit, `most` calls are worked on at a time.
    pub(crate) fn new(proxies: usize, most: Option<usize>) -> Self {
        Self {
            readers: vec![Reader::default(); proxies],
            most,
            ..Self::default()
        }
    }

    pub(crate) fn is_limited(&self) -> bool {
        self.most.is_some()
    }

    /// A proxy's call comes: how many lines there are to be told. `None` where it is refused; else `done` must follow.
    pub(crate) fn begin(&mut self, proxy: u16) -> Option<usize> {
        self.readers[proxy as usize].watches = false;
        if self.down > 0 || self.most.is_some_and(|most| self.busy >= most) {
            return None;
        }
        self.busy += 1;
        Some(self.newer(proxy).count())
    }

    fn newer(&self, proxy: u16) -> impl Iterator<Item = (&u32, &(u64, Line))> {
        let from = self.readers[proxy as usize].version;
        self.lines
            .iter()
            .filter(move |(_, (version, _))| *version > from)
    }

    /// Whether a proxy that watches is to be told something now.
    pub(crate) fn has_news(&self, proxy: u16) -> bool {
        self.tells(proxy) && self.newer(proxy).next().is_some()
    }

    /// The work on a call has ended.
    pub(crate) fn done(&mut self) {
        self.busy -= 1;
    }

    /// A node is now so; the proxies that are to be told at once.
    pub(crate) fn change(&mut self, node: u32, line: Line) -> Vec<u16> {
        self.version += 1;
        self.lines.insert(node, (self.version, line));
        (0..self.readers.len() as u16)
            .filter(|proxy| self.tells(*proxy))
            .collect()
    }

    /// Whether a proxy that watches would be told of a change now.
    pub(crate) fn tells(&self, proxy: u16) -> bool {
        let reader = &self.readers[proxy as usize];
        self.down == 0 && reader.watches && reader.stale == 0
    }

    /// A proxy begins to watch; false where the call fails.
    pub(crate) fn watch(&mut self, proxy: u16) -> bool {
        self.readers[proxy as usize].watches = self.down == 0;
        self.down == 0
    }

    /// What has changed since a proxy was told last; from now on it has been told.
    pub(crate) fn news(&mut self, proxy: u16) -> Vec<(u32, Line)> {
        let news = self
            .newer(proxy)
            .map(|(node, (_, line))| (*node, *line))
            .collect();
        self.readers[proxy as usize].version = self.version;
        news
    }

    /// A proxy starts: the list that it has then; it watches nothing yet.
    pub(crate) fn known(&mut self, proxy: u16) -> Vec<(u32, Line)> {
        self.forget(proxy);
        let all = self.news(proxy);
        all.into_iter()
            .filter(|(_, line)| line.state != State::Gone)
            .collect()
    }

    /// A proxy starts and knows nothing.
    pub(crate) fn forget(&mut self, proxy: u16) {
        self.readers[proxy as usize].watches = false;
        self.readers[proxy as usize].version = 0;
    }

    /// It fails from now on, or no longer; the proxies whose watches end.
    pub(crate) fn set_down(&mut self, down: bool) -> Vec<u16> {
        self.down = if down {
            self.down + 1
        } else {
            self.down.saturating_sub(1)
        };
        let mut ended = Vec::new();
        for (proxy, reader) in (0..).zip(&mut self.readers) {
            if self.down > 0 && std::mem::take(&mut reader.watches) {
                ended.push(proxy);
            }
        }
        ended
    }

    /// A proxy's list stands still, or moves on; true if it is to be told what it missed.
    pub(crate) fn set_stale(&mut self, proxy: u16, stale: bool) -> bool {
        let reader = &mut self.readers[proxy as usize];
        reader.stale = if stale {
            reader.stale + 1
        } else {
            reader.stale.saturating_sub(1)
        };
        self.tells(proxy)
    }
}
