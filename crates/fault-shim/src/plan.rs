//! What is to fail: the text of `BIRCHHUB_FAULTS`.
//!
//! Faults stand between commas, each `CALL=EFFECT@PROBABILITY[:FROM-UNTIL]`, with times in seconds since the process
//! started; `seed=NUMBER` seeds what is drawn. `CALL` is one of [`Call`], `EFFECT` an error's name or `short`:
//!
//! ```text
//! seed=7,recv=EINTR@0.2,send=short@0.5:1-4.5,accept=EMFILE@1:2-2.5,clock=+3600@1:3-9
//! ```
//!
//! For `clock` the effect is the step in seconds, and the probability is not looked at. What can't be read fails the
//! start of the process: a test must not pass because its faults were misspelt.

/// A call that can fail.
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
    /// `open` and `openat`, of files that are written.
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

/// What happens instead of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    /// It returns this error number.
    Error(i32),
    /// It moves fewer bytes than it could.
    Short,
    /// The wall clock is off by so many seconds.
    Step(i64),
}

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

/// One fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fault {
    /// The call that fails.
    pub call: Call,
    /// What happens instead.
    pub effect: Effect,
    /// The fraction of calls that fail.
    pub probability: f64,
    /// From when on, seconds since the start of the process.
    pub from: f64,
    /// Until when.
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

    /// Whether it may happen at this time, seconds since the start of the process.
    pub fn is_active(&self, at: f64) -> bool {
        (self.from..self.until).contains(&at)
    }
}

/// All faults of a process.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Seeds what is drawn.
    pub seed: u64,
    /// The faults, the first that happens counts.
    pub faults: Vec<Fault>,
}

impl Plan {
    /// The plan that a text stands for; the part that can't be read otherwise.
    pub fn parse(text: &str) -> Result<Self, String> {
        let mut plan = Self::default();
        for part in text.split(',').filter(|part| !part.is_empty()) {
            match part.strip_prefix("seed=") {
                Some(seed) => plan.seed = seed.parse().map_err(|_| part.to_owned())?,
                None => plan
                    .faults
                    .push(Fault::parse(part).ok_or_else(|| part.to_owned())?),
            }
        }
        Ok(plan)
    }
}

#[cfg(test)]
mod tests;
