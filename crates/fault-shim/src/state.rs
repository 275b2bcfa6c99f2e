//! State of the shim in this process: the plan, the start time and the random number generator.
use crate::plan::{Call, Effect, Plan};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};

/// Environment variable that holds the plan.
const PLAN_VARIABLE: &str = "BIRCHHUB_FAULTS";
/// Exit code of a process whose plan can't be parsed.
const INVALID_PLAN_EXIT_CODE: i32 = 97;
/// Increment and multipliers of the SplitMix64 generator.
const SPLITMIX64_INCREMENT: u64 = 0x9E37_79B9_7F4A_7C15;
const SPLITMIX64_MULTIPLIERS: [u64; 2] = [0xBF58_476D_1CE4_E5B9, 0x94D0_49BB_1331_11EB];

struct State {
    plan: Plan,
    /// Monotonic time at which the plan was read, in seconds. It stands for the start of the process.
    started_at: f64,
    /// Number of random numbers generated so far.
    draw_count: AtomicU64,
}

/// The state of this process. The first call reads the plan from the environment; an invalid plan ends the process.
fn state() -> &'static State {
    static STATE: OnceLock<State> = OnceLock::new();
    STATE.get_or_init(|| {
        let text = std::env::var(PLAN_VARIABLE).unwrap_or_default();
        let plan = Plan::parse(&text).unwrap_or_else(|error| {
            eprintln!("{PLAN_VARIABLE}: {error}");
            std::process::exit(INVALID_PLAN_EXIT_CODE)
        });
        State {
            plan,
            started_at: monotonic_seconds(),
            draw_count: AtomicU64::new(0),
        }
    })
}

/// Time of the monotonic clock in seconds. Uses the system call directly, because this library replaces
/// `clock_gettime`.
fn monotonic_seconds() -> f64 {
    let mut time = libc::timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    // SAFETY: the call writes to `time`, which outlives it.
    unsafe {
        libc::syscall(
            libc::SYS_clock_gettime,
            libc::CLOCK_MONOTONIC,
            &raw mut time,
        )
    };
    time.tv_sec as f64 + time.tv_nsec as f64 / 1e9
}

/// Decides at random whether a fault affects this call, and returns the effect of the first that does.
pub(crate) fn draw_effect(call: Call) -> Option<Effect> {
    let state = state();
    if state.plan.faults.is_empty() {
        return None;
    }
    let now = monotonic_seconds() - state.started_at;
    let faults = state.plan.faults.iter();
    let mut active = faults.filter(|fault| fault.call == call && fault.is_active(now));
    let occurring = active.find(|fault| state.next_fraction() < fault.probability);
    occurring.map(|fault| fault.effect)
}

/// A random length from 1 to `max`.
pub(crate) fn draw_length(max: usize) -> usize {
    let fraction = state().next_fraction();
    1 + (fraction * max.saturating_sub(1) as f64) as usize
}

impl State {
    /// The next number of the SplitMix64 sequence of the seed, at least 0 and less than 1.
    fn next_fraction(&self) -> f64 {
        let draws = self.draw_count.fetch_add(1, Ordering::Relaxed);
        let offset = SPLITMIX64_INCREMENT.wrapping_mul(draws + 1);
        let mut bits = self.plan.seed.wrapping_add(offset);
        bits = (bits ^ (bits >> 30)).wrapping_mul(SPLITMIX64_MULTIPLIERS[0]);
        bits = (bits ^ (bits >> 27)).wrapping_mul(SPLITMIX64_MULTIPLIERS[1]);
        bits ^= bits >> 31;
        (bits >> 11) as f64 / (1_u64 << 53) as f64
    }
}
