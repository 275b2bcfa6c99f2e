//! The fault plan: the format of the environment variable `BIRCHHUB_FAULTS`.
//!
//! Faults are separated by commas. Each is `CALL=EFFECT@PROBABILITY[:FROM-UNTIL]`, with times in seconds since the process
//! started. `seed=NUMBER` seeds the random number generator. `CALL` is one of [`Call`], `EFFECT` the name of an error or `short`:
//!
//! ```text
//! seed=7,recv=EINTR@0.2,send=short@0.5:1-4.5,accept=EMFILE@1:2-2.5,clock=+3600@1:3-9
//! ```
//!
//! For `clock` the effect is the step in seconds. An invalid plan ends the process at its first call, because a test must
//! not pass without its faults if they are misspelt.
use thiserror::Error;

/// A system call that can fail.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Call {
    /// `accept` and `accept4`.
    Accept,
    /// `socket`.
    Socket,
    /// `connect`.
    Connect,
    /// `epoll_wait`.
    EpollWait,
    /// `recv`.
    Recv,
    /// `send`.
    Send,
    /// `open64`, of files that are opened for writing.
    Open,
    /// `write`, to regular files only.
    Write,
    /// `rename`.
    Rename,
    /// `clock_gettime` of the wall clock.
    Clock,
}

impl Call {
    fn parse(name: &str) -> Option<Self> {
        Some(match name {
            "accept" => Self::Accept,
            "socket" => Self::Socket,
            "connect" => Self::Connect,
            "epoll_wait" => Self::EpollWait,
            "recv" => Self::Recv,
            "send" => Self::Send,
            "open" => Self::Open,
            "write" => Self::Write,
            "rename" => Self::Rename,
            "clock" => Self::Clock,
            _ => return None,
        })
    }
}

/// The effect of a fault on a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    /// The call fails with this error number.
    Error(i32),
    /// The call transfers fewer bytes than were asked for.
    Short,
    /// The wall clock is stepped by this number of seconds.
    Step(i64),
}

/// Error numbers by their names in a plan.
const ERRORS: [(&str, i32); 13] = [
    ("EINTR", libc::EINTR),
    ("EMFILE", libc::EMFILE),
    ("ENFILE", libc::ENFILE),
    ("ENOBUFS", libc::ENOBUFS),
    ("ENOMEM", libc::ENOMEM),
    ("ECONNABORTED", libc::ECONNABORTED),
    ("EPROTO", libc::EPROTO),
    ("ETIMEDOUT", libc::ETIMEDOUT),
    ("EHOSTUNREACH", libc::EHOSTUNREACH),
    ("EADDRNOTAVAIL", libc::EADDRNOTAVAIL),
    ("ENOSPC", libc::ENOSPC),
    ("EIO", libc::EIO),
    ("EACCES", libc::EACCES),
];

impl Effect {
    fn parse(call: Call, text: &str) -> Option<Self> {
        if call == Call::Clock {
            return text.parse().ok().map(Self::Step);
        }
        if text == "short" {
            return Some(Self::Short);
        }
        let error = ERRORS.iter().find(|(name, _)| *name == text);
        error.map(|(_, number)| Self::Error(*number))
    }
}

/// A fault that affects one kind of call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fault {
    /// The affected call.
    pub call: Call,
    /// The effect on the call.
    pub effect: Effect,
    /// Probability with which a call is affected, 0 to 1.
    pub probability: f64,
    /// Start of the fault, in seconds since the start of the process.
    pub from: f64,
    /// End of the fault, in seconds since the start of the process.
    pub until: f64,
}

impl Fault {
    fn parse(text: &str) -> Option<Self> {
        let (call, rest) = text.split_once('=')?;
        let (effect, rest) = rest.split_once('@')?;
        let (probability, window) = match rest.split_once(':') {
            Some((probability, window)) => (probability, Some(window.split_once('-')?)),
            None => (rest, None),
        };
        let call = Call::parse(call)?;
        let (from, until) = match window {
            Some((from, until)) => (from.parse().ok()?, until.parse().ok()?),
            None => (0.0, f64::INFINITY),
        };
        Some(Self {
            call,
            effect: Effect::parse(call, effect)?,
            probability: probability.parse().ok()?,
            from,
            until,
        })
    }

    /// Whether the fault is active at a time, in seconds since the start of the process.
    pub fn is_active(&self, at: f64) -> bool {
        (self.from..self.until).contains(&at)
    }
}

/// A part of a plan is invalid.
#[derive(Clone, Debug, Error, PartialEq)]
#[error("invalid part of the fault plan: \"{part}\"")]
pub struct PlanError {
    /// Text of the invalid part, without the commas around it.
    pub part: String,
}

/// All faults of a process.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Seed of the random number generator.
    pub seed: u64,
    /// The faults. If several affect the same call, the first one applies.
    pub faults: Vec<Fault>,
}

impl Plan {
    /// Parses the text of a plan. The error names the first invalid part.
    pub fn parse(text: &str) -> Result<Self, PlanError> {
        let mut plan = Self::default();
        for part in text.split(',').filter(|part| !part.is_empty()) {
            let error = || PlanError {
                part: part.to_owned(),
            };
            match part.strip_prefix("seed=") {
                Some(seed) => plan.seed = seed.parse().map_err(|_| error())?,
                None => plan.faults.push(Fault::parse(part).ok_or_else(error)?),
            }
        }
        Ok(plan)
    }
}

#[cfg(test)]
mod tests;
