//! The plan of this process, and what is drawn from it.
use crate::plan::{Call, Effect, Plan};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};

/// The variable that holds the plan.
const VARIABLE: &str = "BIRCHHUB_FAULTS";
/// The exit code of a process whose plan can't be read.
const EXIT_BAD_PLAN: i32 = 97;

struct State {
    plan: Plan,
    started_at: f64,
    draws: AtomicU64,
}

fn state() -> &'static State {
    static STATE: OnceLock<State> = OnceLock::new();
    STATE.get_or_init(|| {
        let text = std::env::var(VARIABLE).unwrap_or_default();
        let plan = Plan::parse(&text).unwrap_or_else(|part| {
            eprintln!("{VARIABLE}: {part} can't be read");
            std::process::exit(EXIT_BAD_PLAN)
        });
        State {
            plan,
            started_at: monotonic_seconds(),
            draws: AtomicU64::new(0),
        }
    })
}

fn monotonic_seconds() -> f64 {
    let mut time = libc::timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    // SAFETY: the call writes to `time`, which lives for as long.
    unsafe {
        libc::syscall(
            libc::SYS_clock_gettime,
            libc::CLOCK_MONOTONIC,
            &raw mut time,
        )
    };
    time.tv_sec as f64 + time.tv_nsec as f64 / 1e9
}

/// What happens instead of this call, if anything does.
pub(crate) fn draw(call: Call) -> Option<Effect> {
    let state = state();
    if state.plan.faults.is_empty() {
        return None;
    }
    let now = monotonic_seconds() - state.started_at;
    let faults = state.plan.faults.iter();
    let mut active = faults.filter(|fault| fault.call == call && fault.is_active(now));
    let happens = active.find(|fault| state.next_fraction() < fault.probability);
    happens.map(|fault| fault.effect)
}

/// A number from 1 to `most`.
pub(crate) fn draw_length(most: usize) -> usize {
    let fraction = state().next_fraction();
    1 + (fraction * most.saturating_sub(1) as f64) as usize
}

impl State {
    /// The next of a sequence of numbers from 0 to 1 that the seed determines (SplitMix64).
    fn next_fraction(&self) -> f64 {
        let draws = self.draws.fetch_add(1, Ordering::Relaxed);
        let step = 0x9E37_79B9_7F4A_7C15_u64;
        let mut bits = self.plan.seed.wrapping_add(step.wrapping_mul(draws + 1));
        bits = (bits ^ (bits >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        bits = (bits ^ (bits >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        bits ^= bits >> 31;
        (bits >> 11) as f64 / (1_u64 << 53) as f64
    }
}
