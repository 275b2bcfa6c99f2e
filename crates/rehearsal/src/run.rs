//! Running a rehearsal: the environment on one thread, the clients and their pacer on two, the ledger on another, and on
//! this one the proxies' processes, the progress line and the end of the run.
use crate::clients::{self, Progress};
use crate::environment::{self, AddressBlock};
use crate::error::{RehearsalError, RehearsalThread};
use crate::hooks::{BackgroundTask, Hooks};
use crate::options::Options;
use crate::plan::Plan;
use crate::proxies::Proxies;
use crate::report::{ProcessorTime, Report};
use crate::scenario::Scenario;
use crate::settings;
use birchhub_audit::ledger::{self, LedgerError};
use birchhub_audit::{Entry, Header};
use birchhub_emulator::{Clock, EventLog};
use nix::sys::resource::{UsageWho, getrusage};
use std::fs::File;
use std::io::{BufReader, BufWriter, IsTerminal, Write};
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::select;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{MissedTickBehavior, interval, sleep};

/// Time from the start of the environment to the first RPC, in seconds.
const LEAD_SECONDS: f64 = 1.0;
/// Additional lead for each proxy, in seconds.
const LEAD_PER_PROXY_SECONDS: f64 = 0.05;
/// Time after the last deadline during which late answers are still recorded, in seconds.
const TAIL_SECONDS: f64 = 0.6;
/// Idle time after which the ledger is flushed.
const LEDGER_FLUSH_INTERVAL: Duration = Duration::from_millis(200);
/// Interval at which the clients' threads are checked for their end.
const THREAD_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Interval between progress lines that are not written to a terminal, in seconds.
const PROGRESS_INTERVAL_SECONDS: u64 = 10;

/// Runs a scenario on loopback sockets and returns the report.
///
/// # Errors
///
/// Returns an error of the machine or of the options; faults of the proxies are in the report.
pub fn rehearse(
    scenario: &Scenario,
    plan: &Plan,
    options: &Options,
) -> Result<Report, RehearsalError> {
    rehearse_with(scenario, plan, options, &Hooks::default(), None)
}

/// Runs a scenario as [`rehearse`] does, with additional faults and a task beside the clients.
///
/// # Errors
///
/// Returns the errors of [`rehearse`].
pub fn rehearse_with(
    scenario: &Scenario,
    plan: &Plan,
    options: &Options,
    hooks: &Hooks,
    background_task: Option<BackgroundTask>,
) -> Result<Report, RehearsalError> {
    if !options.program.is_file() {
        let program = options.program.clone();
        return Err(RehearsalError::MissingProgram { program });
    }
    std::fs::create_dir_all(&options.out).map_err(RehearsalError::io(&options.out))?;
    let path = options.out.join("ledger");
    let file = File::create(&path).map_err(RehearsalError::io(&path))?;
    let header = settings::header(scenario, plan);
    let writer =
        ledger::Writer::new(BufWriter::new(file), &header).map_err(RehearsalError::LedgerHeader)?;
    let lead = LEAD_SECONDS + LEAD_PER_PROXY_SECONDS * scenario.proxies.count as f64;
    let clock = Clock::starting_in(Duration::from_secs_f64(lead));
    let (event_log, entries) = EventLog::new(clock);
    let ledger_thread = start_ledger_thread(writer, entries)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(RehearsalError::EventLoop)?;
    let outcome = LocalSet::new().block_on(
        &runtime,
        run(scenario, plan, options, hooks, background_task, event_log),
    );
    // Remaining tasks hold senders to the ledger, whose thread ends when the last of them is dropped.
    drop(runtime);
    let written = ledger_thread
        .join()
        .map_err(|_| RehearsalError::ThreadPanicked(RehearsalThread::Ledger))?;
    written.map_err(RehearsalError::ledger(&path))?;
    let stopped = outcome?;
    report_of(&path, options, stopped)
}

/// Judges a ledger and writes the report beside it.
fn report_of(path: &Path, options: &Options, stopped: bool) -> Result<Report, RehearsalError> {
    let (header, entries) = open(path)?;
    let usage = |who| {
        let times = getrusage(who).map(|u| u.user_time() + u.system_time());
        times.map_or(0.0, |t| t.tv_sec() as f64 + t.tv_usec() as f64 / 1e6)
    };
    let processor_time = ProcessorTime {
        seconds: usage(UsageWho::RUSAGE_SELF),
        proxies: usage(UsageWho::RUSAGE_CHILDREN),
    };
    let report = Report::of(&header, &entries, stopped, Some(processor_time));
    report.write(&header, &entries, &options.out)?;
    Ok(report)
}

/// Reads the ledger of a run; logs a warning if its last record is truncated.
///
/// # Errors
///
/// Returns [`RehearsalError::Io`] or [`RehearsalError::Ledger`] if the file can't be read.
pub fn open(path: &Path) -> Result<(Header, Vec<Entry>), RehearsalError> {
    let file = File::open(path).map_err(RehearsalError::io(path))?;
    let read = ledger::read(BufReader::new(file)).map_err(RehearsalError::ledger(path))?;
    if read.truncated {
        log::warn!(
            "{}: the last record is cut off: its writer was stopped",
            path.display()
        );
    }
    Ok((read.header, read.entries))
}

/// Starts the thread that writes the events to the ledger, and flushes it when there are none for a while.
fn start_ledger_thread(
    writer: ledger::Writer<BufWriter<File>>,
    entries: Receiver<Entry>,
) -> Result<JoinHandle<Result<(), LedgerError>>, RehearsalError> {
    std::thread::Builder::new()
        .name("ledger".into())
        .spawn(move || write_ledger(writer, &entries))
        .map_err(RehearsalError::SpawnThread)
}

fn write_ledger(
    mut writer: ledger::Writer<BufWriter<File>>,
    entries: &Receiver<Entry>,
) -> Result<(), LedgerError> {
    let mut error = None;
    loop {
        match entries.recv_timeout(LEDGER_FLUSH_INTERVAL) {
            // After an error further events are discarded, so that no sender waits for a full disk.
            Ok(_) if error.is_some() => {}
            Ok(entry) => error = writer.write(&entry).err(),
            Err(RecvTimeoutError::Timeout) => error = error.or(writer.flush().err()),
            Err(RecvTimeoutError::Disconnected) => break,
        }
    }
    error.map_or_else(|| writer.flush(), Err)
}

/// Signals that stop a run before its end.
struct StopSignals {
    interrupt: Signal,
    terminate: Signal,
}

impl StopSignals {
    fn new() -> Result<Self, RehearsalError> {
        let catch = |kind| signal(kind).map_err(RehearsalError::SignalHandler);
        Ok(Self {
            interrupt: catch(SignalKind::interrupt())?,
            terminate: catch(SignalKind::terminate())?,
        })
    }

    /// Waits for either signal.
    async fn received(&mut self) {
        select! {
            _ = self.interrupt.recv() => {}
            _ = self.terminate.recv() => {}
        }
    }
}

/// Starts environment and proxies, runs the plan and ends them; returns whether the run was stopped before its end.
async fn run(
    scenario: &Scenario,
    plan: &Plan,
    options: &Options,
    hooks: &Hooks,
    background_task: Option<BackgroundTask>,
    event_log: EventLog,
) -> Result<bool, RehearsalError> {
    let mut signals = StopSignals::new()?;
    let block = AddressBlock::new();
    let (environment, environment_thread) = environment::start(
        scenario.clone(),
        plan.clone(),
        hooks.clone(),
        event_log.clone(),
        block,
    )?;
    let proxies = Proxies::new(
        scenario,
        options,
        hooks,
        event_log.clone(),
        environment.clone(),
        block,
    )?;
    let run = PlanRun {
        scenario,
        plan,
        options,
        hooks,
        event_log,
        proxies: &proxies,
    };
    let outcome = run.run(&mut signals, background_task).await;
    if options.progress && std::io::stderr().is_terminal() {
        eprintln!();
    }
    if hooks.ends_gracefully {
        proxies.end_gracefully().await;
    }
    proxies.end();
    environment.stop().await;
    environment_thread
        .join()
        .map_err(|_| RehearsalError::ThreadPanicked(RehearsalThread::Environment))?;
    outcome
}

/// One run of a plan in an environment that has been started.
struct PlanRun<'a> {
    scenario: &'a Scenario,
    plan: &'a Plan,
    options: &'a Options,
    hooks: &'a Hooks,
    event_log: EventLog,
    proxies: &'a Rc<Proxies>,
}

impl PlanRun<'_> {
    /// Runs the plan; returns whether it was stopped before its end.
    async fn run(
        &self,
        signals: &mut StopSignals,
        background_task: Option<BackgroundTask>,
    ) -> Result<bool, RehearsalError> {
        let clock = self.event_log.clock;
        self.start_proxies().await?;
        let progress = Arc::new(Progress::default());
        let client_threads = self.start_clients(progress.clone())?;
        let background_thread =
            background_task.map(|start| start(clock, self.proxies.front.addresses().to_vec()));
        let actions = spawn_local(self.proxies.clone().execute_all(self.plan.actions.clone()));
        let show = self.options.progress;
        let stopped = select! {
            () = clock.sleep_until(self.end_seconds()) => false,
            () = watch(self.scenario, self.plan, &progress, clock, show) => false,
            () = signals.received() => true,
        };
        progress.stop.store(true, Ordering::Relaxed);
        actions.abort();
        for thread in client_threads.into_iter().chain(background_thread) {
            join_client_thread(thread).await?;
        }
        Ok(stopped)
    }

    async fn start_proxies(&self) -> Result<(), RehearsalError> {
        for proxy in 0..self.scenario.proxies.count as u16 {
            self.proxies.start(proxy).await?;
        }
        if self.event_log.clock.now() > 0.0 {
            return Err(RehearsalError::StartedTooLate);
        }
        Ok(())
    }

    fn start_clients(
        &self,
        progress: Arc<Progress>,
    ) -> Result<Vec<JoinHandle<()>>, RehearsalError> {
        clients::start(
            self.scenario.clone(),
            self.plan.clone(),
            self.event_log.clone(),
            self.proxies.front.clone(),
            progress,
            self.hooks.clone(),
        )
        .map_err(RehearsalError::SpawnClients)
    }

    /// Returns when the run ends: after the last deadline and a time for late answers, in seconds.
    fn end_seconds(&self) -> f64 {
        let deadlines = self.scenario.methods.iter().map(|method| method.deadline.0);
        let longest = deadlines.fold(0.0, f64::max);
        self.plan.length + longest + TAIL_SECONDS
    }
}

/// Waits for the end of a thread without blocking the tasks of this one.
async fn join_client_thread(thread: JoinHandle<()>) -> Result<(), RehearsalError> {
    while !thread.is_finished() {
        sleep(THREAD_CHECK_INTERVAL).await;
    }
    thread
        .join()
        .map_err(|_| RehearsalError::ThreadPanicked(RehearsalThread::Clients))
}

/// Writes a progress line each second; never returns.
async fn watch(scenario: &Scenario, plan: &Plan, progress: &Progress, clock: Clock, show: bool) {
    let mut seconds = interval(Duration::from_secs(1));
    seconds.set_missed_tick_behavior(MissedTickBehavior::Skip);
    let terminal = std::io::stderr().is_terminal();
    loop {
        seconds.tick().await;
        let now = clock.now();
        // Outside a terminal each line stays, so there are fewer of them.
        let due = terminal || (now.max(0.0) as u64).is_multiple_of(PROGRESS_INTERVAL_SECONDS);
        if !show || !due {
            continue;
        }
        let count = |counter: &AtomicUsize| counter.load(Ordering::Relaxed);
        let current = plan
            .faults
            .iter()
            .filter(|fault| fault.from <= now && now < fault.until);
        let faults: Vec<_> = current.map(|fault| fault.name.as_str()).collect();
        let line = format!(
            "{}: {:5.1} of {:.0} s  asked {}  ok {}  pushed back {}  failed {}  {}",
            scenario.name,
            now.max(0.0),
            plan.length,
            count(&progress.arrivals),
            count(&progress.ok),
            count(&progress.rejected),
            count(&progress.failed),
            faults.join(", ")
        );
        let mut to = std::io::stderr();
        let _ = if terminal {
            write!(to, "\r\x1b[K{line}")
        } else {
            writeln!(to, "{line}")
        };
    }
}
