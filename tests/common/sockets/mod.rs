//! A birchhubd process and its emulated peers on loopback sockets: backends, the discovery service and clients.
mod backend;
mod client;
mod daemon;
mod discovery;
mod faults;
mod http;
mod process;
mod shared;
mod slow_accept;

pub(crate) use backend::*;
pub(crate) use client::*;
pub(crate) use daemon::*;
pub(crate) use discovery::*;
pub(crate) use faults::*;
pub(crate) use http::*;
pub(crate) use process::*;
pub(crate) use shared::*;
pub(crate) use slow_accept::*;
