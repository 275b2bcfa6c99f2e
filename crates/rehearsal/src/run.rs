//! Plays a plan: the stage on one thread, the clients on another with their pacer, the ledger on a third, and here
//! the proxies' processes, the progress line and the end.
use crate::clients::{self, Progress};
use crate::environment::{self, AddressBlock};
use crate::error::{RehearsalError, RehearsalThread};
use crate::hooks::{BackgroundTask, Hooks};
use crate::plan::Plan;
use crate::proxies::Proxies;
use crate::report::{ProcessorTime, Report};
use crate::scenario::Scenario;
use crate::settings;
use birchhub_audit::{Entry, Head, ledger};
use birchhub_emulator::{Clock, EventLog};
use nix::sys::resource::{UsageWho, getrusage};
use std::fs::File;
use std::io::{BufReader, BufWriter, IsTerminal, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::select;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::LocalSet;
use tokio::time::{MissedTickBehavior, interval, sleep};

const LEAD: f64 = 1.0; // s until the first RPC can be due: nodes and proxies start meanwhile
const LEAD_EACH: f64 = 0.05; // s more for each proxy
const TAIL: f64 = 0.6; // s beyond the last deadline: late answers are still seen

/// How a rehearsal is to be played.
#[derive(Clone, Debug)]
pub struct Options {
    pub seed: u64,
    /// Where ledger, report and the proxies' logs go.
    pub out: PathBuf,
    /// The proxies' program.
    pub program: PathBuf,
    /// A progress line on standard error.
    pub progress: bool,
}

/// Plays a scenario to its report. An error is one of the machine or the options, not of the proxies.
pub fn rehearse(
    scenario: &Scenario,
    plan: &Plan,
    options: &Options,
) -> Result<Report, RehearsalError> {
    rehearse_with(scenario, plan, options, &Hooks::default(), None)
}

/// Does so with what a soak adds.
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
    let head = settings::head(scenario, plan);
    let writer =
        ledger::Writer::new(BufWriter::new(file), &head).map_err(RehearsalError::LedgerHead)?;
    let lead = LEAD + LEAD_EACH * scenario.proxies.count as f64;
    let clock = Clock::starting_in(Duration::from_secs_f64(lead));
    let (event_log, entries) = EventLog::new(clock);
    let keeper = keep(writer, entries)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(RehearsalError::EventLoop)?;
    let played = LocalSet::new().block_on(
        &runtime,
        play(scenario, plan, options, hooks, background_task, event_log),
    );
    // The tasks that are left hold ways into the ledger: it ends when the last of them does.
    drop(runtime);
    let kept = keeper
        .join()
        .map_err(|_| RehearsalError::ThreadPanicked(RehearsalThread::Ledger))?;
    kept.map_err(RehearsalError::ledger(&path))?;
    let stopped = played?;
    report_of(&path, options, stopped)
}

/// Judges a ledger and writes the report beside it.
fn report_of(path: &Path, options: &Options, stopped: bool) -> Result<Report, RehearsalError> {
    let (head, entries) = open(path)?;
    let usage = |who| {
        let times = getrusage(who).map(|u| u.user_time() + u.system_time());
        times.map_or(0.0, |t| t.tv_sec() as f64 + t.tv_usec() as f64 / 1e6)
    };
    let processor_time = ProcessorTime {
        seconds: usage(UsageWho::RUSAGE_SELF),
        proxies: usage(UsageWho::RUSAGE_CHILDREN),
    };
    let report = Report::of(&head, &entries, stopped, Some(processor_time));
    report.write(&head, &entries, &options.out)?;
    Ok(report)
}

/// Reads a ledger back.
pub fn open(path: &Path) -> Result<(Head, Vec<Entry>), RehearsalError> {
    let file = File::open(path).map_err(RehearsalError::io(path))?;
    let read = ledger::read(BufReader::new(file)).map_err(RehearsalError::ledger(path))?;
    if read.truncated {
        log::warn!(
            "{}: the last record is cut off: its writer was stopped",
            path.display()
        );
    }
    Ok((read.head, read.entries))
}

type Kept = Result<(), ledger::LedgerError>;

/// The ledger's thread: writes what comes, and what it has when nothing comes for a while.
fn keep(
    mut writer: ledger::Writer<BufWriter<File>>,
    entries: Receiver<Entry>,
) -> Result<JoinHandle<Kept>, RehearsalError> {
    let body = move || {
        let mut fault = None;
        loop {
            match entries.recv_timeout(Duration::from_millis(200)) {
                // After a fault what comes is let go of: nobody may wait for a full disk.
                Ok(_) if fault.is_some() => {}
                Ok(entry) => fault = writer.write(&entry).err(),
                Err(std::sync::mpsc::RecvTimeoutError::Timeout) => {
                    fault = fault.or(writer.flush().err())
                }
                Err(std::sync::mpsc::RecvTimeoutError::Disconnected) => break,
            }
        }
        fault.map_or_else(|| writer.flush(), Err)
    };
    std::thread::Builder::new()
        .name("ledger".into())
        .spawn(body)
        .map_err(RehearsalError::SpawnThread)
}

/// Plays it; tells whether it was stopped before its end.
#[expect(clippy::too_many_lines)]
async fn play(
    scenario: &Scenario,
    plan: &Plan,
    options: &Options,
    hooks: &Hooks,
    background_task: Option<BackgroundTask>,
    event_log: EventLog,
) -> Result<bool, RehearsalError> {
    let catch = |kind| signal(kind).map_err(RehearsalError::SignalHandler);
    let (mut interrupt, mut terminate) = (
        catch(SignalKind::interrupt())?,
        catch(SignalKind::terminate())?,
    );
    let (clock, block) = (event_log.clock, AddressBlock::new());
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
    let progress = Arc::new(Progress::default());
    let outcome = async {
        for proxy in 0..scenario.proxies.count as u16 {
            proxies.start(proxy).await?;
        }
        if clock.now() > 0.0 {
            return Err(RehearsalError::StartedTooLate);
        }
        let front = proxies.front.clone();
        let threads = clients::start(
            scenario.clone(),
            plan.clone(),
            event_log.clone(),
            front,
            progress.clone(),
            hooks.clone(),
        );
        let threads = threads.map_err(RehearsalError::SpawnClients)?;
        let background_task =
            background_task.map(|play| play(clock, proxies.front.doors().to_vec()));
        let acts = tokio::task::spawn_local(proxies.clone().play(plan.actions.clone()));
        let longest = scenario
            .methods
            .iter()
            .map(|m| m.deadline.0)
            .fold(0.0, f64::max);
        let end = plan.length + longest + TAIL;
        let stopped = select! {
            () = clock.sleep_until(end) => false,
            () = watch(scenario, plan, &progress, clock, options.progress) => false,
            _ = interrupt.recv() => true,
            _ = terminate.recv() => true,
        };
        progress.stop.store(true, Ordering::Relaxed);
        acts.abort();
        for thread in threads.into_iter().chain(background_task) {
            while !thread.is_finished() {
                sleep(Duration::from_millis(5)).await;
            }
            thread
                .join()
                .map_err(|_| RehearsalError::ThreadPanicked(RehearsalThread::Clients))?;
        }
        Ok(stopped)
    };
    let outcome = outcome.await;
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

/// Tells each second how far it has come; never ends.
async fn watch(scenario: &Scenario, plan: &Plan, progress: &Progress, clock: Clock, show: bool) {
    let mut seconds = interval(Duration::from_secs(1));
    seconds.set_missed_tick_behavior(MissedTickBehavior::Skip);
    let terminal = std::io::stderr().is_terminal();
    loop {
        seconds.tick().await;
        let now = clock.now();
        // Where nobody sees the line change, every tenth second will do.
        if !show || (!terminal && !(now.max(0.0) as u64).is_multiple_of(10)) {
            continue;
        }
        let count = |of: &std::sync::atomic::AtomicUsize| of.load(Ordering::Relaxed);
        let lasting = plan
            .faults
            .iter()
            .filter(|t| t.from <= now && now < t.until);
        let troubles: Vec<_> = lasting.map(|t| t.name.as_str()).collect();
        let line = format!(
            "{}: {:5.1} of {:.0} s  asked {}  ok {}  pushed back {}  failed {}  {}",
            scenario.name,
            now.max(0.0),
            plan.length,
            count(&progress.arrivals),
            count(&progress.ok),
            count(&progress.rejected),
            count(&progress.failed),
            troubles.join(", ")
        );
        let mut to = std::io::stderr();
        let _ = if terminal {
            write!(to, "\r\x1b[K{line}")
        } else {
            writeln!(to, "{line}")
        };
    }
}
