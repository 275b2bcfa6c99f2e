//! A service on a thread of its own, with an event loop and a listener on loopback.
use crate::error::MeasurementError;
use birchhub_emulator::wire::listen;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::mpsc;
use std::thread::JoinHandle;
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio::task::LocalSet;

/// Connections that wait to be accepted: all clients may connect at the same time, and none may be refused.
const BACKLOG: u32 = 1024;

/// Opens a listener on a free port of loopback.
pub(crate) fn listen_on_loopback() -> std::io::Result<TcpListener> {
    listen((Ipv4Addr::LOCALHOST, 0).into(), BACKLOG)
}

/// A thread that is stopped and joined when it is dropped.
pub(crate) struct ServiceThread {
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl ServiceThread {
    /// Takes over a thread that ends once `stop` is dropped.
    pub(crate) fn new(stop: oneshot::Sender<()>, thread: JoinHandle<()>) -> Self {
        Self {
            stop: Some(stop),
            thread: Some(thread),
        }
    }
}

impl Drop for ServiceThread {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// The error of a thread that could not be started.
pub(crate) fn thread_start_error(name: &str, source: std::io::Error) -> MeasurementError {
    let name = name.to_owned();
    MeasurementError::ThreadStart { name, source }
}

/// Runs `serve` on a new thread with a listener on loopback. Returns the listener's address.
pub(crate) fn serve_on_thread<F: Future<Output = ()>>(
    name: &str,
    serve: impl FnOnce(TcpListener) -> F + Send + 'static,
) -> Result<(SocketAddr, JoinHandle<()>), MeasurementError> {
    let (started_sender, started) = mpsc::channel();
    let owner = name.to_owned();
    let body = move || {
        let runtime = match tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
        {
            Ok(runtime) => runtime,
            Err(source) => {
                let _ = started_sender.send(Err(MeasurementError::EventLoop(source)));
                return;
            }
        };
        LocalSet::new().block_on(&runtime, async move {
            let opened = listen_on_loopback().and_then(|l| Ok((l.local_addr()?, l)));
            match opened {
                Ok((address, listener)) => {
                    let _ = started_sender.send(Ok(address));
                    serve(listener).await;
                }
                Err(source) => {
                    let error = MeasurementError::Listener { owner, source };
                    let _ = started_sender.send(Err(error));
                }
            }
        });
    };
    let thread = std::thread::Builder::new()
        .name(name.into())
        .spawn(body)
        .map_err(|source| thread_start_error(name, source))?;
    let ended_early = |_| MeasurementError::ThreadEnded {
        name: name.to_owned(),
    };
    let address = started.recv().map_err(ended_early)??;
    Ok((address, thread))
}
