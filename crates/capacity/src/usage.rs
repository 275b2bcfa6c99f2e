//! Processor time and memory of a process, as the system counts them.
use crate::error::MeasurementError;
use nix::time::{ClockId, clock_getcpuclockid, clock_gettime};
use nix::unistd::Pid;
use std::time::Duration;

fn read(clock: ClockId) -> nix::Result<f64> {
    let now = clock_gettime(clock)?;
    Ok(Duration::from(now).as_secs_f64())
}

/// Processor time that a process has had, all its threads together, s.
pub fn processor(pid: u32) -> Result<f64, MeasurementError> {
    clock_getcpuclockid(Pid::from_raw(pid as i32))
        .and_then(read)
        .map_err(|source| MeasurementError::ProcessorClock { pid, source })
}

/// Processor time that the calling thread has had, s.
pub fn thread() -> f64 {
    read(ClockId::CLOCK_THREAD_CPUTIME_ID).unwrap_or_default()
}

/// Resident memory, MB.
pub fn memory(pid: u32) -> Result<f64, MeasurementError> {
    let status = procfs::process::Process::new(pid as i32)
        .and_then(|p| p.status())
        .map_err(|source| MeasurementError::ProcessStatus { pid, source })?;
    Ok(status.vmrss.unwrap_or_default() as f64 / 1024.0)
}

/// Mean number of tasks that wanted to run over the last minute; how busy the machine was beside.
pub fn load_average() -> f64 {
    use procfs::Current;
    procfs::LoadAverage::current().map_or(0.0, |load| f64::from(load.one))
}
