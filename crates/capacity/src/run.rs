//! Plays a plan: each sweep takes the points of a few series.
use crate::backends::Backends;
use crate::error::MeasurementError;
use crate::hollow::HollowProxies;
use crate::list::ListService;
use crate::load::{self, Went};
use crate::plan::Plan;
use crate::planned_size;
use crate::proxy::{IDLE, Proxy, Shape};
use crate::report::Report;
use crate::usage;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::select;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::LocalSet;
use tokio::time::{Instant, interval, sleep};

const ZONES: u32 = 10; // of the planned size
const SETTLES: Duration = Duration::from_millis(300); // after ready, before a proxy is called idle
const CHANGES: u32 = 20; // a second, where backends vary: as often as a proxy asks at the most is 50
const TOLD: Duration = Duration::from_secs(120); // that hollow proxies are waited for
const LOOK: Duration = Duration::from_millis(5); // between looks at whether settings are in force
const ADDED: &str = "added"; // the method that a changed configuration knows

pub struct Options {
    /// The proxies' program.
    pub program: PathBuf,
    /// For configurations and logs; emptied by nobody.
    pub folder: PathBuf,
    /// Lines on standard error as it goes on.
    pub progress: bool,
}

/// Measures all series of a plan.
pub fn measure(plan: &Plan, options: &Options) -> Result<Report, MeasurementError> {
    std::fs::create_dir_all(&options.folder).map_err(|source| MeasurementError::File {
        path: options.folder.clone(),
        source,
    })?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(MeasurementError::EventLoop)?;
    let run = Run {
        plan,
        options,
        report: Report::new(plan),
        proxies: 0,
    };
    LocalSet::new().block_on(&runtime, async {
        // Guards against proxies that outlive a run that is stopped: they end as it is dropped.
        let (mut interrupt, mut term) = (
            catch(SignalKind::interrupt())?,
            catch(SignalKind::terminate())?,
        );
        select! {
            report = run.play() => report,
            _ = interrupt.recv() => Err(MeasurementError::Stopped { signal: "SIGINT" }),
            _ = term.recv() => Err(MeasurementError::Stopped { signal: "SIGTERM" }),
        }
    })
}

fn catch(kind: SignalKind) -> Result<Signal, MeasurementError> {
    signal(kind).map_err(MeasurementError::SignalHandler)
}

struct Run<'a> {
    plan: &'a Plan,
    options: &'a Options,
    report: Report,
    /// Started so far; part of their names.
    proxies: u64,
}

/// What a proxy has used over some time: s of processor time, and s.
struct Used {
    processor: f64,
    time: f64,
}

impl Used {
    fn percent(&self) -> f64 {
        100.0 * self.processor / self.time
    }
}

struct Meter {
    pid: u32,
    processor: f64,
    begun: Instant,
}

impl Meter {
    fn start(pid: u32) -> Result<Self, MeasurementError> {
        Ok(Self {
            pid,
            processor: usage::processor(pid)?,
            begun: Instant::now(),
        })
    }
    fn stop(&self) -> Result<Used, MeasurementError> {
        let processor = usage::processor(self.pid)? - self.processor;
        Ok(Used {
            processor,
            time: self.begun.elapsed().as_secs_f64(),
        })
    }
}

impl Run<'_> {
    async fn play(mut self) -> Result<Report, MeasurementError> {
        let begun = Instant::now();
        self.backends().await?;
        self.tenants().await?;
        self.methods().await?;
        self.rates().await?;
        self.changes().await?;
        self.pairs().await?;
        self.hollow().await?;
        self.whole_lists().await?;
        self.settings().await?;
        self.report.took = begun.elapsed().as_secs_f64();
        self.report.finish();
        Ok(self.report)
    }

    fn tell(&self, what: &str) {
        if self.options.progress {
            eprintln!("scale: {what}");
        }
    }

    fn window(&self) -> Duration {
        Duration::from_secs_f64(self.plan.window)
    }

    fn folder(&self) -> &Path {
        &self.options.folder
    }

    async fn proxy(&mut self, list: &ListService, shape: Shape) -> Result<Proxy, MeasurementError> {
        self.proxies += 1;
        let name = format!("p{}", self.proxies);
        let seed = self.plan.seed.wrapping_add(self.proxies);
        Proxy::start(
            &self.options.program,
            self.folder(),
            &name,
            list.at(),
            shape,
            seed,
        )
        .await
    }

    async fn idle(&self, proxy: &Proxy) -> Result<Used, MeasurementError> {
        let meter = Meter::start(proxy.pid)?;
        sleep(self.window()).await;
        meter.stop()
    }

    /// RPCs at a rate for a window, and what the proxy used meanwhile.
    async fn rpcs(&mut self, proxy: &Proxy, rate: u32) -> Result<(Went, Used), MeasurementError> {
        let meter = Meter::start(proxy.pid)?;
        let went = load::run(proxy.at, rate.into(), self.plan.window, self.plan.seed).await?;
        let used = meter.stop()?;
        self.count(&went);
        Ok((went, used))
    }

    fn count(&mut self, went: &Went) {
        self.report.rpcs += went.sent;
        self.report.failed += went.failed;
    }

    /// ms that the 99th of a hundred RPCs takes longer through the proxy than without it: the least of a few windows, as what
    /// else runs on the machine can only add.
    async fn added(
        &mut self,
        proxy: &Proxy,
        backends: &Backends,
        rate: u32,
    ) -> Result<f64, MeasurementError> {
        let (mut least, mut direct) = (f64::INFINITY, f64::INFINITY);
        for _ in 0..if self.plan.quick { 1 } else { 3 } {
            let without = load::run(
                backends.endpoints()[0],
                rate.into(),
                self.plan.window,
                self.plan.seed,
            );
            direct = direct.min(without.await?.percentile(99.0));
            let (went, _) = self.rpcs(proxy, rate).await?;
            least = least.min(went.percentile(99.0));
        }
        Ok(least - direct)
    }

    /// Changes of the list at a rate for a window, and what the proxy used meanwhile.
    async fn list_changes(
        &self,
        list: &ListService,
        pid: u32,
        rate: u32,
    ) -> Result<(u32, Used), MeasurementError> {
        let meter = Meter::start(pid)?;
        let mut ticks = interval(Duration::from_secs(1) / rate);
        let mut changes = 0;
        while meter.begun.elapsed() < self.window() {
            ticks.tick().await;
            list.change(changes * 7);
            changes += 1;
        }
        // The last one is told within the pause between two calls.
        sleep(Duration::from_millis(50)).await;
        Ok((changes, meter.stop()?))
    }

    #[expect(clippy::too_many_lines)]
    async fn backends(&mut self) -> Result<(), MeasurementError> {
        for &listed in &self.plan.backends {
            self.tell(&format!("{listed} backends"));
            let backends = Backends::start(IDLE)?;
            let list = ListService::start(listed, backends.endpoints(), ZONES)?;
            let proxy = self.proxy(&list, Shape::default()).await?;
            sleep(SETTLES).await;
            let x = f64::from(listed);
            self.report
                .add("memory.backends", x, usage::memory(proxy.pid)?)?;
            self.report.add("start.wall.backends", x, proxy.started.0)?;
            self.report.add("start.backends", x, proxy.started.1)?;
            let idle = self.idle(&proxy).await?;
            self.report.add("idle.backends", x, idle.percent())?;
            let (changes, used) = self.list_changes(&list, proxy.pid, CHANGES).await?;
            let above = used.processor - idle.percent() / 100.0 * used.time;
            self.report
                .add("change.backends", x, 1e3 * above / f64::from(changes))?;
            let names = ["rpc.backends", "connect.backends", "latency.backends"];
            self.rpc_points(&proxy, &backends, x, &idle, names).await?;
            self.report
                .add("memory.busy.backends", x, usage::memory(proxy.pid)?)?;
            drop(proxy);
            let proxy = self
                .proxy(
                    &list,
                    Shape {
                        probes: true,
                        ..Shape::default()
                    },
                )
                .await?;
            sleep(SETTLES).await;
            let names = [
                "rpc.probes.backends",
                "connect.probes.backends",
                "latency.probes.backends",
            ];
            let before = backends.met();
            self.rpc_points(&proxy, &backends, x, &idle, names).await?;
            let met = backends.met().since(before);
            self.report.add(
                "probes.backends",
                x,
                met.probes as f64 / met.requests.max(1) as f64,
            )?;
        }
        Ok(())
    }

    /// Processor time and connections of an RPC at the planned rate, and what is added to it.
    async fn rpc_points(
        &mut self,
        proxy: &Proxy,
        backends: &Backends,
        x: f64,
        idle: &Used,
        [processor, connections, latency]: [&str; 3],
    ) -> Result<(), MeasurementError> {
        let rate = self.plan.rate;
        // What comes first opens connections that are used again later.
        self.rpcs(proxy, rate).await?;
        let before = backends.met();
        let (went, used) = self.rpcs(proxy, rate).await?;
        let met = backends.met().since(before);
        let above = used.processor - idle.percent() / 100.0 * used.time;
        self.report
            .add(processor, x, 1e6 * above / went.sent.max(1) as f64)?;
        self.report.add(
            connections,
            x,
            met.connections as f64 / met.requests.max(1) as f64,
        )?;
        let added = self.added(proxy, backends, rate).await?;
        self.report.add(latency, x, added)?;
        Ok(())
    }

    async fn tenants(&mut self) -> Result<(), MeasurementError> {
        let backends = Backends::start(IDLE)?;
        let list = ListService::start(10, backends.endpoints(), ZONES)?;
        for &tenants in &self.plan.tenants {
            self.tell(&format!("{tenants} tenants"));
            let proxy = self
                .proxy(
                    &list,
                    Shape {
                        tenants,
                        ..Shape::default()
                    },
                )
                .await?;
            sleep(SETTLES).await;
            self.report
                .add("memory.tenants", tenants.into(), usage::memory(proxy.pid)?)?;
            self.report
                .add("start.tenants", tenants.into(), proxy.started.1)?;
        }
        Ok(())
    }

    async fn methods(&mut self) -> Result<(), MeasurementError> {
        let backends = Backends::start(IDLE)?;
        let list = ListService::start(10, backends.endpoints(), ZONES)?;
        for &methods in &self.plan.methods {
            self.tell(&format!("{methods} methods"));
            let proxy = self
                .proxy(
                    &list,
                    Shape {
                        methods,
                        ..Shape::default()
                    },
                )
                .await?;
            sleep(SETTLES).await;
            self.report
                .add("memory.methods", methods.into(), usage::memory(proxy.pid)?)?;
            self.report
                .add("start.methods", methods.into(), proxy.started.1)?;
        }
        Ok(())
    }

    async fn rates(&mut self) -> Result<(), MeasurementError> {
        for &rate in &self.plan.rates {
            self.tell(&format!("{rate} RPCs a second"));
            let backends = Backends::start(IDLE)?;
            let list = ListService::start(self.plan.most_backends(), backends.endpoints(), ZONES)?;
            let proxy = self.proxy(&list, Shape::default()).await?;
            sleep(SETTLES).await;
            self.rpcs(&proxy, rate).await?;
            let before = backends.met();
            let (_, used) = self.rpcs(&proxy, rate).await?;
            let met = backends.met().since(before);
            let x = f64::from(rate);
            self.report.add("rpc.rate", x, used.percent())?;
            self.report.add(
                "connect.rate",
                x,
                met.connections as f64 / met.requests.max(1) as f64,
            )?;
            let added = self.added(&proxy, &backends, rate).await?;
            self.report.add("latency.rate", x, added)?;
        }
        Ok(())
    }

    async fn changes(&mut self) -> Result<(), MeasurementError> {
        let backends = Backends::start(IDLE)?;
        let list = ListService::start(self.plan.most_backends(), backends.endpoints(), ZONES)?;
        let proxy = self.proxy(&list, Shape::default()).await?;
        sleep(SETTLES).await;
        for &rate in &self.plan.changes {
            self.tell(&format!("{rate} changes a second"));
            let (changes, used) = self.list_changes(&list, proxy.pid, rate).await?;
            self.report.add(
                "change.rate",
                f64::from(changes) / used.time,
                used.percent(),
            )?;
        }
        Ok(())
    }

    /// Several real proxies, each of which sends each backend what one does at the planned size.
    async fn pairs(&mut self) -> Result<(), MeasurementError> {
        let listed = self.plan.hollow_backends;
        let rate = rpcs_per_second_of_a_pair() * f64::from(listed);
        for (&count, probes) in self
            .plan
            .proxies
            .iter()
            .flat_map(|n| [(n, false), (n, true)])
        {
            self.tell(&format!(
                "{count} proxies{}",
                if probes { " that probe" } else { "" }
            ));
            let backends = Backends::start(IDLE)?;
            let list = ListService::start(listed, backends.endpoints(), ZONES)?;
            let mut proxies = Vec::new();
            for _ in 0..count {
                proxies.push(
                    self.proxy(
                        &list,
                        Shape {
                            proxies: count,
                            probes,
                            ..Shape::default()
                        },
                    )
                    .await?,
                );
            }
            let doors: Vec<_> = proxies.iter().map(|p| p.at).collect();
            let (before, begun) = (backends.met(), Instant::now());
            for went in load::run_all(&doors, rate, self.plan.window, self.plan.seed).await? {
                self.count(&went);
            }
            let met = backends.met().since(before);
            let each = met.connections as f64 / f64::from(listed) / begun.elapsed().as_secs_f64();
            let name = if probes {
                "connect.probes.proxies"
            } else {
                "connect.proxies"
            };
            self.report.add(name, count.into(), each)?;
        }
        Ok(())
    }

    #[expect(clippy::too_many_lines)]
    async fn hollow(&mut self) -> Result<(), MeasurementError> {
        let backends = Backends::start(IDLE)?;
        let most = self.plan.hollow.iter().copied().max().unwrap_or(1);
        for &count in &self.plan.hollow {
            self.tell(&format!("{count} hollow proxies"));
            let list = ListService::start(self.plan.hollow_backends, backends.endpoints(), ZONES)?;
            let begun = Instant::now();
            let mut proxies = HollowProxies::start(count, list.at(), self.plan.seed)?;
            let x = f64::from(count);
            let whole = proxies.all_have(0, TOLD).await? - begun;
            self.report.add("list.crowd", x, whole.as_secs_f64())?;
            let (before, mut longest, changes) = (list.bill(), 0.0_f64, self.plan.hollow_changes);
            for change in 0..changes {
                let begun = Instant::now();
                let version = list.change(change);
                let last = proxies.all_have(version, TOLD).await?;
                longest = longest.max((last - begun).as_secs_f64());
            }
            let (bill, each) = (list.bill().since(before), f64::from(changes));
            self.report.add("list.calls", x, bill.calls as f64 / each)?;
            self.report
                .add("list.bytes", x, bill.bytes as f64 / 1e3 / each)?;
            self.report
                .add("list.processor", x, 1e3 * bill.processor / each)?;
            self.report.add("list.in_force", x, longest)?;
            if count == most {
                for &rate in &self.plan.changes {
                    let (before, begun) = (list.bill(), Instant::now());
                    let mut ticks = interval(Duration::from_secs(1) / rate);
                    let (mut changes, mut version) = (0, 0);
                    while begun.elapsed() < self.window() {
                        ticks.tick().await;
                        version = list.change(changes);
                        changes += 1;
                    }
                    proxies.all_have(version, TOLD).await?;
                    let time = begun.elapsed().as_secs_f64();
                    let spent = list.bill().since(before).processor;
                    self.report.add(
                        "list.changes",
                        f64::from(changes) / time,
                        100.0 * spent / time,
                    )?;
                }
            }
        }
        Ok(())
    }

    async fn whole_lists(&mut self) -> Result<(), MeasurementError> {
        let backends = Backends::start(IDLE)?;
        for &listed in &self.plan.backends {
            self.tell(&format!("a whole list of {listed}"));
            let list = ListService::start(listed, backends.endpoints(), ZONES)?;
            let mut proxies = HollowProxies::start(1, list.at(), self.plan.seed)?;
            proxies.all_have(0, TOLD).await?;
            // The thread tells what it has spent every few milliseconds.
            sleep(Duration::from_millis(20)).await;
            let x = f64::from(listed);
            self.report
                .add("list.whole.bytes", x, list.bill().bytes as f64 / 1e3)?;
            self.report
                .add("list.whole.processor", x, 1e3 * proxies.processor())?;
        }
        Ok(())
    }

    /// How long a changed configuration takes to be in force at the last of some proxies, one way and the other.
    #[expect(clippy::too_many_lines)]
    async fn settings(&mut self) -> Result<(), MeasurementError> {
        let backends = Backends::start(IDLE)?;
        let list = ListService::start(10, backends.endpoints(), ZONES)?;
        let most = |sizes: &[u32]| sizes.iter().copied().max().unwrap_or(1);
        let (methods, tenants) = (most(&self.plan.methods), most(&self.plan.tenants));
        let shape = Shape {
            methods,
            tenants,
            ..Shape::default()
        };
        let mut reloads = true;
        for &count in &self.plan.proxies {
            self.tell(&format!("changed settings at {count} proxies"));
            let mut proxies = Vec::new();
            for _ in 0..count {
                proxies.push(self.proxy(&list, shape).await?);
            }
            if reloads {
                let begun = Instant::now();
                proxies
                    .iter_mut()
                    .try_for_each(|p| p.add_method(ADDED).and_then(|()| p.hang_up()))?;
                match in_force(&proxies, ADDED, self.plan.in_force).await {
                    Some(last) => self.report.add(
                        "settings.reload",
                        count.into(),
                        (last - begun).as_secs_f64(),
                    )?,
                    None => {
                        reloads = false;
                        let why =
                            format!("at {count} not in force within {} s", self.plan.in_force);
                        self.report.miss("settings.reload", why)?;
                    }
                }
            }
            let begun = Instant::now();
            proxies
                .iter_mut()
                .try_for_each(|p| p.add_method("added-by-restart"))?;
            let program = &self.options.program;
            let mut waiting: tokio::task::JoinSet<Result<Proxy, MeasurementError>> =
                tokio::task::JoinSet::new();
            for mut proxy in proxies {
                let program = program.clone();
                waiting.spawn_local(async move { proxy.restart(&program).await.map(|()| proxy) });
            }
            let mut proxies = Vec::new();
            while let Some(proxy) = waiting.join_next().await {
                proxies.push(proxy.map_err(|source| MeasurementError::Task {
                    task: "restart",
                    source,
                })??);
            }
            let last = in_force(&proxies, "added-by-restart", self.plan.in_force)
                .await
                .ok_or(MeasurementError::RestartWithoutEffect)?;
            self.report.add(
                "settings.restart",
                count.into(),
                (last - begun).as_secs_f64(),
            )?;
        }
        Ok(())
    }
}

/// RPCs per second from one proxy to one backend at the planned size.
fn rpcs_per_second_of_a_pair() -> f64 {
    planned_size::RPCS_PER_SECOND / planned_size::PROXIES / planned_size::BACKENDS
}

/// When the last of the proxies knew a method; None if one did not in time.
async fn in_force(proxies: &[Proxy], method: &str, within: f64) -> Option<Instant> {
    let until = Instant::now() + Duration::from_secs_f64(within);
    for proxy in proxies {
        while !matches!(proxy.ask(&format!("/{method}")).await, Some(status) if status != 404) {
            if Instant::now() > until {
                return None;
            }
            sleep(LOOK).await;
        }
    }
    Some(Instant::now())
}
