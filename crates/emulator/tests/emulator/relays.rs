//! The relay: the effects of each network fault on bytes and connections, at both ends.
use crate::common::{LOCALHOST, on_one_thread};
use birchhub_emulator::Clock;
use birchhub_emulator::relay::{FaultWindow, NetworkFault, Relay};
use birchhub_emulator::wire::listen;
use std::io::ErrorKind;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

/// End of the faults of these tests, in seconds.
const END: f64 = 0.4;

/// Both ends of a connection through a relay that applies a fault from the start until [`END`].
async fn connect_with(fault: NetworkFault) -> (TcpStream, TcpStream, Clock) {
    connect_in(FaultWindow {
        from: -1.0,
        until: END,
        fault,
    })
    .await
}

/// Both ends of a connection through a relay with this window.
async fn connect_in(window: FaultWindow) -> (TcpStream, TcpStream, Clock) {
    let clock = Clock::starting_in(Duration::ZERO);
    let listener = listen((LOCALHOST, 0).into(), 8).expect("a listener");
    let target = listener.local_addr().expect("an address");
    let relay = Relay::start(clock, LOCALHOST, target, vec![window]).expect("a relay");
    let proxy = TcpStream::connect(relay).await.expect("a connection");
    let (backend, _) = listener.accept().await.expect("a connection");
    (proxy, backend, clock)
}

async fn read_exactly(stream: &mut TcpStream, length: usize) -> Vec<u8> {
    let mut bytes = vec![0; length];
    stream.read_exact(&mut bytes).await.expect("bytes");
    bytes
}

async fn is_reset(stream: &mut TcpStream) -> bool {
    let read = stream.read(&mut [0; 8]).await;
    read.is_err_and(|error| error.kind() == ErrorKind::ConnectionReset)
}

#[test]
fn bytes_arrive_complete_and_in_order_when_delayed_split_or_coalesced() {
    for fault in [
        NetworkFault::Delay(5),
        NetworkFault::Split,
        NetworkFault::Coalesce,
    ] {
        on_one_thread(|_, _| async {
            let (mut proxy, mut backend, _) = connect_with(fault).await;
            let message: Vec<u8> = (0..5000_u32).map(|n| n as u8).collect();
            proxy.write_all(&message).await.expect("written");
            assert_eq!(read_exactly(&mut backend, message.len()).await, message);
            backend.write_all(b"answer").await.expect("written");
            assert_eq!(read_exactly(&mut proxy, 6).await, b"answer");
            drop(proxy);
            assert_eq!(backend.read(&mut [0]).await.expect("an end"), 0);
        });
    }
}

#[test]
fn a_delay_holds_bytes_back() {
    on_one_thread(|_, _| async {
        let (mut proxy, mut backend, _) = connect_with(NetworkFault::Delay(50)).await;
        let sent_at = Instant::now();
        proxy.write_all(b"request").await.expect("written");
        read_exactly(&mut backend, 7).await;
        assert!(sent_at.elapsed() >= Duration::from_millis(50));
    });
}

/// Bytes are dropped in one direction only, and the connection is reset when the fault ends.
#[test]
fn dropping_affects_one_direction_and_ends_with_a_reset() {
    on_one_thread(|_, _| async {
        let (mut proxy, mut backend, clock) = connect_with(NetworkFault::DropOutbound).await;
        proxy.write_all(b"lost").await.expect("written");
        backend.write_all(b"heard").await.expect("written");
        assert_eq!(read_exactly(&mut proxy, 5).await, b"heard");
        let mut chunk = [0; 8];
        let read = timeout(Duration::from_millis(50), backend.read(&mut chunk)).await;
        assert!(read.is_err(), "{read:?}");
        assert!(is_reset(&mut proxy).await);
        assert!(clock.now() >= END);
    });
    on_one_thread(|_, _| async {
        let (mut proxy, mut backend, _) = connect_with(NetworkFault::DropInbound).await;
        proxy.write_all(b"heard").await.expect("written");
        assert_eq!(read_exactly(&mut backend, 5).await, b"heard");
        backend.write_all(b"lost").await.expect("written");
        assert!(is_reset(&mut proxy).await, "no bytes before the reset");
    });
}

#[test]
fn a_reset_ends_both_sides_as_it_begins() {
    on_one_thread(|_, _| async {
        let (mut proxy, _backend, clock) = connect_in(FaultWindow {
            from: 0.1,
            until: 0.2,
            fault: NetworkFault::Reset,
        })
        .await;
        assert!(is_reset(&mut proxy).await);
        assert!(clock.now() >= 0.1);
    });
}

/// The proxy reads the end of the stream, and bytes that it writes still arrive.
#[test]
fn a_half_close_ends_one_direction() {
    on_one_thread(|_, _| async {
        let (mut proxy, mut backend, _) = connect_with(NetworkFault::HalfClose).await;
        backend.write_all(b"lost").await.expect("written");
        assert_eq!(proxy.read(&mut [0; 8]).await.expect("an end"), 0);
        proxy.write_all(b"still").await.expect("written");
        assert_eq!(read_exactly(&mut backend, 5).await, b"still");
    });
}

#[test]
fn a_refused_connection_to_the_target_resets_the_connection() {
    on_one_thread(|_, _| async {
        let clock = Clock::starting_in(Duration::ZERO);
        let listener = listen((LOCALHOST, 0).into(), 8).expect("a listener");
        let target = listener.local_addr().expect("an address");
        drop(listener);
        let relay = Relay::start(clock, LOCALHOST, target, Vec::new()).expect("a relay");
        let mut proxy = TcpStream::connect(relay).await.expect("a connection");
        sleep(Duration::from_millis(20)).await;
        assert!(is_reset(&mut proxy).await);
    });
}
