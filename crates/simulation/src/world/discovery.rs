//! The endpoint list service: what it publishes, and the calls of its readers.
use super::event::{Call, What};
use super::list::Line;
use super::{WAY, World};
use birchhub::interface::{Endpoint as Listed, Readiness};
use birchhub_audit::{Event, State};

const GAP: f64 = 0.02; // s between the list calls of a proxy
const FAILS: f64 = 0.05; // s until a list call to a service that is down has failed

impl World<'_> {
    pub(super) fn publish(&mut self, node: u32, line: Line) {
        self.tell(Event::Changed {
            node,
            life: line.life,
            state: line.state,
        });
        for proxy in self.list.change(node, line) {
            self.tell_news(proxy);
        }
    }

    pub(super) fn tell_news(&mut self, proxy: u16) {
        let news = self.list.news(proxy);
        for (node, line) in &news {
            self.tell(Event::Told {
                proxy,
                node: *node,
                life: line.life,
                state: line.state,
            });
        }
        self.to(proxy, WAY, Call::News(news));
    }

    pub(super) fn list_asked(&mut self, proxy: u16, process: u32) {
        if self.proxies[proxy as usize]
            .as_ref()
            .is_none_or(|p| p.process != process)
        {
            return;
        }
        if self.list.is_limited() {
            match self.list.begin(proxy) {
                Some(lines) => self.after(
                    self.scenario.list.takes(lines),
                    What::ListDone { proxy, process },
                ),
                None => self.to(proxy, WAY, Call::ListFailed),
            }
        } else if !self.list.watch(proxy) {
            self.to(proxy, FAILS, Call::ListFailed);
        } else if self.list.tells(proxy) {
            self.tell_news(proxy);
        }
    }

    /// What there is is told, and the next call begins; where there is nothing new the call waits, and costs nothing.
    pub(super) fn list_done(&mut self, proxy: u16, process: u32) {
        self.list.done();
        if self.proxies[proxy as usize]
            .as_ref()
            .is_none_or(|p| p.process != process)
        {
            return;
        }
        if !self.list.watch(proxy) {
            self.to(proxy, WAY, Call::ListFailed);
        } else if self.list.tells(proxy) {
            let again = self.list.has_news(proxy);
            self.tell_news(proxy);
            if again {
                self.after(GAP, What::ListAsked { proxy, process });
            }
        }
    }

    /// The list service knows it after so long.
    pub(super) fn known(&mut self, node: u32, line: Line, after: f64) {
        self.after(after + self.late.max(0.0), What::Publish { node, line });
    }

    pub(super) fn listed(&self, proxy: u16, lines: &[(u32, Line)]) -> Vec<Listed> {
        let behind = self.proxies[proxy as usize]
            .as_ref()
            .map_or(0.0, |p| p.behind);
        let entry = |(node, line): &(u32, Line)| {
            let host = &self.hosts[*node as usize];
            let readiness = match line.state {
                State::Ready => Readiness::Ready,
                State::Draining => Readiness::Draining,
                State::Gone => Readiness::Removed,
            };
            let cell = u64::from(host.zone) << 16 | u64::from(host.rack);
            let started = line.started.map(|at| at - behind);
            Listed {
                backend: *node,
                relative_size: 1.0,
                started_at: started,
                cell,
                zone: host.zone as usize,
                readiness,
            }
        };
        lines.iter().map(entry).collect()
    }
}
