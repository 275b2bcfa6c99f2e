//! The commands that a proxy's decisions give, carried out.
use super::attempts::Job;
use super::event::{Call, What};
use super::platform::{Door, Wish};
use super::process::Care;
use super::{WAY, World};
use birchhub::interface::AttemptOutcome as PickEnd;
use birchhub::policy::Balancer;
use birchhub_audit::Answer;
use std::collections::BTreeMap;

const TICK: f64 = 1e-6; // s, the least time until a wake-up: no timer is finer

impl World<'_> {
    /// Calls the module of a proxy and does what it asks for.
    pub(super) fn call(
        &mut self,
        proxy: u16,
        act: impl FnOnce(&Balancer, &mut BTreeMap<u64, Care>, &mut Door),
    ) {
        let now = self.now;
        let Some(running) = self.proxies[proxy as usize].as_mut() else {
            return;
        };
        let process = running.process;
        let wishes = running.call(now, act);
        for wish in wishes {
            self.wish(proxy, process, wish);
        }
    }

    #[expect(clippy::too_many_lines)]
    pub(super) fn wish(&mut self, proxy: u16, process: u32, wish: Wish) {
        let now = self.now;
        let Some(running) = self.proxies[proxy as usize].as_mut() else {
            return;
        };
        match wish {
            Wish::Pick {
                attempt,
                backend,
                time_out,
            } => {
                let Some(care) = running.cares.get_mut(&attempt) else {
                    return;
                };
                let (job, pick, until) = (
                    self.next_job,
                    care.picks.len(),
                    (now + time_out).min(care.deadline),
                );
                self.next_job += 1;
                care.picks.push(Some(job));
                let entry = Job {
                    proxy,
                    process,
                    attempt,
                    pick,
                    node: backend,
                    life: None,
                    trick: None,
                };
                self.jobs.insert(job, entry);
                self.after(
                    WAY,
                    What::AtNode {
                        job,
                        begun: now + WAY,
                    },
                );
                self.to(proxy, (until - now).max(0.0), Call::TimeOut { job });
            }
            Wish::Cancel { attempt, pick } => {
                let out = running
                    .cares
                    .get(&attempt)
                    .and_then(|care| care.picks.get(pick).copied().flatten());
                if let Some(out) = out {
                    self.after(WAY, What::Closed { job: out });
                    self.to(
                        proxy,
                        0.0,
                        Call::Back {
                            job: out,
                            how: PickEnd::Cancelled,
                            report: None,
                        },
                    );
                }
            }
            Wish::PushBack { attempt, come_back } => {
                let after = (come_back > 0.0).then_some(come_back as f32);
                self.final_answer(proxy, attempt, Answer::PushedBack(after));
            }
            Wish::Abort { attempt } => self.final_answer(proxy, attempt, Answer::Aborted(502)),
            Wish::Probe { backend } => self.after(
                WAY,
                What::ProbeAt {
                    proxy,
                    process,
                    node: backend,
                },
            ),
            Wish::Watch => self.after(WAY, What::ListAsked { proxy, process }),
            Wish::Wake { delay } => {
                // A time that its clock can't tell from now would wake it for ever.
                let at = now + delay.max(TICK);
                if running.wake.is_none_or(|earlier| at < earlier) {
                    running.wake = Some(at);
                    self.queue.put(
                        at,
                        What::ToProxy {
                            proxy,
                            process,
                            what: Call::Wake,
                        },
                    );
                }
            }
        }
    }

    pub(super) fn final_answer(&mut self, proxy: u16, attempt: u64, answer: Answer) {
        let Some(running) = self.proxies[proxy as usize].as_mut() else {
            return;
        };
        if let Some(care) = running.cares.get_mut(&attempt)
            && !std::mem::replace(&mut care.answered, true)
        {
            self.after(WAY, What::Answer { attempt, answer });
        }
    }
}
