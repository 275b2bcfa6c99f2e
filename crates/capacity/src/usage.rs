//! Processor time and memory of a process, as counted by the operating system.
use crate::error::MeasurementError;
use nix::time::{ClockId, clock_getcpuclockid, clock_gettime};
use nix::unistd::Pid;
use std::time::Duration;

fn read_seconds(clock: ClockId) -> nix::Result<f64> {
    let now = clock_gettime(clock)?;
    Ok(Duration::from(now).as_secs_f64())
}

/// Processor time of all threads of a process, in seconds.
///
/// # Errors
/// Fails if the process has gone.
pub fn processor_seconds(pid: u32) -> Result<f64, MeasurementError> {
    clock_getcpuclockid(Pid::from_raw(pid as i32))
        .and_then(read_seconds)
        .map_err(|source| MeasurementError::ProcessorClock { pid, source })
}

/// Processor time of the calling thread, in seconds.
pub fn thread_processor_seconds() -> f64 {
    read_seconds(ClockId::CLOCK_THREAD_CPUTIME_ID).unwrap_or_default()
}

/// Resident memory of a process, in MB.
///
/// # Errors
/// Fails if the process has gone.
pub fn resident_memory_mb(pid: u32) -> Result<f64, MeasurementError> {
    let status = procfs::process::Process::new(pid as i32)
        .and_then(|p| p.status())
        .map_err(|source| MeasurementError::ProcessStatus { pid, source })?;
    Ok(status.vmrss.unwrap_or_default() as f64 / 1024.0)
}

/// Mean number of runnable tasks of the machine over the last minute.
pub fn load_average() -> f64 {
    use procfs::Current;
    procfs::LoadAverage::current().map_or(0.0, |load| f64::from(load.one))
}
