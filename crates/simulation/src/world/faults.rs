//! Planned faults, applied to machines, proxies and the list service.
use super::endpoint_list::ListEntry;
use super::event::{ProcessEvent, SimulationEvent};
use super::proxies::{PLANNED_STOP_NOTICE_DELAY, PROXY_START_DELAY, SHUTDOWN_GRACE};
use super::{NETWORK_DELAY, World};
use birchhub::interface::AttemptOutcome;
use birchhub_audit::event::End;
use birchhub_audit::{Event, State};
use birchhub_model::work::generator;
use birchhub_rehearsal::plan::{Act, Trick};
use rand::Rng;

const NOTICEABLE_PAUSE: f64 = 0.02; // s of a pause from which on a proxy notices that it stood still

impl World<'_> {
    #[expect(clippy::too_many_lines)]
    pub(super) fn apply_planned_act(&mut self, act: Act) {
        match act {
            Act::Begin { trouble } => self.record(Event::Trouble {
                number: trouble,
                begins: true,
            }),
            Act::End { trouble } => self.record(Event::Trouble {
                number: trouble,
                begins: false,
            }),
            Act::Stall { node, number, on } => self.set_stalled(node, number, on),
            Act::Scale { node, factor } => {
                self.machines[node as usize].capacity_factor *= factor;
                self.change_backend(node, |n, now, repeats, out| {
                    n.scale(now, factor, repeats, out)
                });
            }
            Act::Slow { method, factor } => self.method_slowdown[method] *= factor,
            Act::Crash { node } => {
                if let Some(life) = self.stop_backend(node) {
                    let list_entry = ListEntry {
                        life,
                        state: State::Gone,
                        started: None,
                    };
                    self.schedule_publication(node, list_entry, self.scenario.list.notices.0);
                }
            }
            Act::Return { node } => self.start_backend_cold(node),
            Act::Announce { node } => {
                let machine = &mut self.machines[node as usize];
                if let Some((life, _)) = machine.node.as_ref() {
                    let list_entry = ListEntry {
                        life: *life,
                        state: State::Draining,
                        started: machine.cold_started_at,
                    };
                    self.schedule_publication(node, list_entry, self.scenario.list.lag.0);
                }
            }
            Act::Drain { node } => {
                if let Some((life, n)) = self.machines[node as usize].node.as_mut() {
                    let life = *life;
                    n.drain();
                    self.record(Event::Drained { life });
                }
            }
            Act::Retire {
                node,
                by,
                successor,
                after,
            } => {
                if !std::mem::replace(&mut self.machines[node as usize].retiring, true) {
                    self.retire_backend(node, by, successor, after);
                }
            }
            Act::Faulty {
                node,
                number,
                fault,
                on: true,
            } => {
                self.machines[node as usize].faults.push((number, fault));
            }
            Act::Faulty {
                node,
                number,
                on: false,
                ..
            } => {
                self.machines[node as usize]
                    .faults
                    .retain(|(n, _)| *n != number);
            }
            Act::ListLate { by } => self.list_delay += by,
            Act::ListDown { down } => {
                for proxy in self.list.set_down(down) {
                    self.send_to_process(proxy, NETWORK_DELAY, ProcessEvent::ListFailed);
                }
            }
            Act::ListStale { proxy, stale } => {
                if self.list.set_stale(proxy, stale) {
                    self.send_endpoint_update(proxy);
                }
            }
            Act::KillProxy { proxy } => self.kill_proxy(proxy, End::Killed),
            Act::TermProxy { proxy } => {
                if let Some(running) = self.proxies[proxy as usize].as_mut() {
                    running.stopping = true;
                    let process = running.process;
                    self.schedule(
                        PLANNED_STOP_NOTICE_DELAY,
                        SimulationEvent::FrontNoticesStop { proxy, process },
                    );
                    self.schedule(
                        SHUTDOWN_GRACE,
                        SimulationEvent::StopProxyWhenIdle { proxy, process },
                    );
                }
            }
            Act::StartProxy { proxy } => self.schedule(
                PROXY_START_DELAY,
                SimulationEvent::StartProxy {
                    proxy,
                    since: self.now,
                },
            ),
            Act::PauseProxy { proxy, on } => self.set_paused(proxy, on),
        }
    }

    pub(super) fn set_stalled(&mut self, machine_index: u32, number: u64, on: bool) {
        let machine = &mut self.machines[machine_index as usize];
        if machine.node.is_none() {
            return;
        }
        let was_running = machine.stalls.is_empty();
        if on {
            machine.stalls.insert(number);
        } else {
            machine.stalls.remove(&number);
        }
        let stalled = !machine.stalls.is_empty();
        if stalled == was_running {
            self.change_backend(machine_index, |n, now, repeats, out| {
                n.stall(now, stalled, repeats, out)
            });
        }
        if !stalled {
            let deferred_events =
                std::mem::take(&mut self.machines[machine_index as usize].deferred_events);
            deferred_events
                .into_iter()
                .for_each(|event| self.dispatch(event));
        }
    }

    pub(super) fn set_paused(&mut self, proxy: u16, on: bool) {
        let now = self.now;
        let Some(running) = self.proxies[proxy as usize].as_mut() else {
            return;
        };
        if on {
            running.paused.get_or_insert(now);
            return;
        }
        let Some(since) = running.paused.take() else {
            return;
        };
        let pause_noticed = now - since > NOTICEABLE_PAUSE;
        if pause_noticed {
            running.clock_lag += now - since;
            // Its wake-up moves with its clock: one that comes early is passed over, and none would follow.
            let process = running.process;
            running.timer_at = running.timer_at.map(|at| at + (now - since));
            if let Some(at) = running.timer_at {
                self.queue.put(
                    at,
                    SimulationEvent::ToProcess {
                        proxy,
                        process,
                        event: ProcessEvent::Timer,
                    },
                );
            }
        }
        for event in std::mem::take(&mut self.deferred_events[proxy as usize]) {
            // What ran out while it stood still says nothing of the node.
            match event {
                SimulationEvent::ToProcess {
                    event: ProcessEvent::AttemptTimeout { job },
                    ..
                } if pause_noticed => {
                    if self.is_attempt_open(job) {
                        self.schedule(NETWORK_DELAY, SimulationEvent::ConnectionClosed { job });
                        self.end_attempt(job, AttemptOutcome::Cancelled, None);
                    }
                }
                event => self.dispatch(event),
            }
        }
    }

    /// The fault whose share this pick hits, by the same chance as on sockets.
    pub(super) fn injected_fault(&self, node: u32, attempt: u64) -> Option<Trick> {
        let hit = |(number, fault): &&(u64, Trick)| {
            let share = match fault {
                Trick::Reset(share) | Trick::Half(share) | Trick::Garbage(share) => *share,
                Trick::Mute(share) | Trick::Error(share) | Trick::Trickle(share, _) => *share,
                Trick::Partition(_) => 0.0,
            };
            share > 0.0 && generator(self.plan.seed ^ number, attempt).random::<f64>() < share
        };
        self.machines[node as usize]
            .faults
            .iter()
            .find(hit)
            .map(|(_, fault)| fault.clone())
    }

    pub(super) fn is_partitioned(&self, node: u32, proxy: u16) -> bool {
        let cuts = |(_, fault): &(u64, Trick)| match fault {
            Trick::Partition(from) => from.is_none_or(|from| from == proxy),
            _ => false,
        };
        self.machines[node as usize].faults.iter().any(cuts)
    }
}
