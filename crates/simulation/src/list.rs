//! The list service in simulated time: what is true, what each proxy has been told, and what it may be told now.
use birchhub_audit::State;
use std::collections::BTreeMap;

/// What the list says of a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
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
pub struct List {
    version: u64,
    lines: BTreeMap<u32, (u64, Line)>,
    readers: Vec<Reader>,
    down: usize,
}

impl List {
    pub fn new(proxies: usize) -> Self {
        Self { readers: vec![Reader::default(); proxies], ..Self::default() }
    }

    /// A node is now so; the proxies that are to be told at once.
    pub fn change(&mut self, node: u32, line: Line) -> Vec<u16> {
        self.version += 1;
        self.lines.insert(node, (self.version, line));
        (0..self.readers.len() as u16).filter(|proxy| self.tells(*proxy)).collect()
    }

    /// Whether a proxy that watches would be told of a change now.
    pub fn tells(&self, proxy: u16) -> bool {
        let reader = &self.readers[proxy as usize];
        self.down == 0 && reader.watches && reader.stale == 0
    }

    /// A proxy begins to watch; false where the call fails.
    pub fn watch(&mut self, proxy: u16) -> bool {
        self.readers[proxy as usize].watches = self.down == 0;
        self.down == 0
    }

    /// What has changed since a proxy was told last; from now on it has been told.
    pub fn news(&mut self, proxy: u16) -> Vec<(u32, Line)> {
        let from = self.readers[proxy as usize].version;
        self.readers[proxy as usize].version = self.version;
        let newer = self.lines.iter().filter(|(_, (version, _))| *version > from);
        newer.map(|(node, (_, line))| (*node, *line)).collect()
    }

    /// A proxy starts: the list that it has then; it watches nothing yet.
    pub fn known(&mut self, proxy: u16) -> Vec<(u32, Line)> {
        self.readers[proxy as usize].watches = false;
        self.readers[proxy as usize].version = 0;
        let all = self.news(proxy);
        all.into_iter().filter(|(_, line)| line.state != State::Gone).collect()
    }

    /// It fails from now on, or no longer; the proxies whose watches end.
    pub fn set_down(&mut self, down: bool) -> Vec<u16> {
        self.down = if down { self.down + 1 } else { self.down.saturating_sub(1) };
        let mut ended = Vec::new();
        for (proxy, reader) in (0..).zip(&mut self.readers) {
            if self.down > 0 && std::mem::take(&mut reader.watches) {
                ended.push(proxy);
            }
        }
        ended
    }

    /// A proxy's list stands still, or moves on; true if it is to be told what it missed.
    pub fn set_stale(&mut self, proxy: u16, stale: bool) -> bool {
        let reader = &mut self.readers[proxy as usize];
        reader.stale = if stale { reader.stale + 1 } else { reader.stale.saturating_sub(1) };
        self.tells(proxy)
    }
}
