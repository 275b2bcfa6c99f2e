//! Connections of proxies to an emulated backend: accepts them, serves their requests in order, and applies partitions
//! and stalls.
use super::EmulatedBackend;
use super::connection_slot::{ConnectionSlot, NextStep};
use super::incarnation::IncarnationState;
use super::requests::ReceivedRequest;
use crate::protocol::{HEALTH_CHECK_PATH, LOAD_REPORT_PATH};
use crate::wire::{MessageKind, Peer, stop_listening};
use std::future::poll_fn;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::select;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// Delay before accepting again after an error, such as a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(5);

impl EmulatedBackend {
    /// Accepts the connections of one proxy until the incarnation ends.
    pub(super) async fn accept_connections(
        self: Rc<Self>,
        number: u32,
        proxy: u16,
        listener: TcpListener,
        mut state: watch::Receiver<IncarnationState>,
    ) {
        loop {
            let accepted = select! {
                biased;
                _ = state.changed() => return stop_listening(listener),
                () = self.wait_for_partition(proxy, true) => {
                    self.wait_for_partition(proxy, false).await;
                    reset_pending(&listener).await;
                    continue;
                }
                // Accepts also during a stall: the kernel completes the handshakes of a stalled process.
                accepted = listener.accept() => accepted,
            };
            match accepted {
                Ok((stream, _)) => {
                    let slot = self.clone().acquire_slot(number);
                    let peer = Peer::new(stream);
                    spawn_local(
                        self.clone()
                            .serve_connection(peer, proxy, slot, state.clone()),
                    );
                }
                Err(error) => {
                    log::warn!("{}: accept failed, retrying: {error}", self.spec.name);
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Registers a connection with the model, which grants a slot if its limit of connections is not reached.
    fn acquire_slot(self: Rc<Self>, number: u32) -> ConnectionSlot {
        let is_granted = self
            .with_incarnation(number, |incarnation| incarnation.model.connect())
            .unwrap_or(false);
        ConnectionSlot {
            backend: self,
            incarnation: number,
            is_granted,
        }
    }

    /// Serves one connection until it or the incarnation ends. A partition suspends reads and writes; the connection is
    /// reset when the partition ends.
    async fn serve_connection(
        self: Rc<Self>,
        mut peer: Peer,
        proxy: u16,
        slot: ConnectionSlot,
        mut state: watch::Receiver<IncarnationState>,
    ) {
        let ended = async {
            let ended = state
                .wait_for(|state| *state != IncarnationState::Running)
                .await;
            ended.map_or(IncarnationState::Crashed, |state| *state)
        };
        let is_reset = select! {
            biased;
            state = ended => state == IncarnationState::Crashed,
            () = self.wait_for_partition(proxy, true) => {
                self.wait_for_partition(proxy, false).await;
                true
            }
            next = self.serve_requests(&mut peer, proxy, &slot) => next == NextStep::Reset,
        };
        if is_reset {
            peer.reset();
        }
    }

    /// Serves the requests of a connection sequentially.
    async fn serve_requests(&self, peer: &mut Peer, proxy: u16, slot: &ConnectionSlot) -> NextStep {
        let clock = self.fleet.event_log.clock;
        let idle_timeout = Duration::from_secs_f64(self.spec.idle_timeout_seconds);
        loop {
            let read = timeout(idle_timeout, peer.read(MessageKind::Request, &clock));
            let Ok(Ok(message)) = read.await else {
                return NextStep::Close;
            };
            let request = ReceivedRequest {
                closed_at: self.wait_while_stalled(peer, slot.incarnation).await,
                message,
                proxy,
            };
            let next = match request.message.path.as_str() {
                HEALTH_CHECK_PATH | LOAD_REPORT_PATH => {
                    let incarnation = slot.incarnation;
                    self.serve_health_check(peer, &request.message, incarnation)
                        .await
                }
                _ => self.serve_rpc(peer, &request, slot).await,
            };
            match next {
                NextStep::Read if !request.message.is_last() => {}
                NextStep::Reset => return NextStep::Reset,
                NextStep::Read | NextStep::Close => return NextStep::Close,
            }
        }
    }

    /// Waits until the backend is partitioned from this proxy, or is not if `expected` is false.
    async fn wait_for_partition(&self, proxy: u16, expected: bool) {
        let mut fault_state = self.fault_state.subscribe();
        while self.faults.is_partitioned(proxy) != expected {
            let _ = fault_state.changed().await;
        }
    }

    /// Waits until the process is not stalled. Returns the time at which the peer closed the connection, if it did so
    /// during the stall.
    async fn wait_while_stalled(&self, peer: &mut Peer, number: u32) -> Option<f64> {
        let mut fault_state = self.fault_state.subscribe();
        let mut closed_at = None;
        while self
            .with_incarnation(number, |incarnation| incarnation.is_stalled())
            .unwrap_or(false)
        {
            select! {
                _ = fault_state.changed() => {}
                () = peer.closed(), if closed_at.is_none() => {
                    closed_at = Some(self.fleet.event_log.clock.now());
                }
            }
        }
        closed_at
    }
}

/// Resets the connections that the kernel accepted during a partition.
async fn reset_pending(listener: &TcpListener) {
    while let Poll::Ready(Ok((stream, _))) =
        poll_fn(|context| Poll::Ready(listener.poll_accept(context))).await
    {
        Peer::new(stream).reset();
    }
}
