//! The emulated load balancer in front of the proxies.
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};

/// Chooses the proxy for a request of a client in a zone by a random number.
///
/// The choice is among the proxies of the zone that are in rotation, else among all in rotation, else among all.
pub fn assign_proxy(
    proxies: usize,
    zones: usize,
    zone: u32,
    random: u64,
    in_rotation: impl Fn(&usize) -> bool,
) -> usize {
    let in_zone = |proxy: &usize| proxy % zones == zone as usize;
    let mut candidates: Vec<usize> = (0..proxies)
        .filter(|proxy| in_rotation(proxy) && in_zone(proxy))
        .collect();
    if candidates.is_empty() {
        candidates = (0..proxies).filter(in_rotation).collect();
    }
    if candidates.is_empty() {
        candidates = (0..proxies).collect();
    }
    candidates[(random % candidates.len() as u64) as usize]
}

/// Emulated load balancer in front of the proxies.
pub struct FrontLoadBalancer {
    pub(super) addresses: Vec<SocketAddr>,
    pub(super) in_rotation: Vec<AtomicBool>,
    /// Whether each proxy has received SIGTERM and is not started again.
    pub(super) is_ending: Vec<AtomicBool>,
    pub(super) zones: usize,
}

impl FrontLoadBalancer {
    /// Returns the addresses of all proxies, in rotation or not.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// Chooses a proxy as [`assign_proxy`] does; returns its index and address.
    pub fn assign(&self, zone: u32, random: u64) -> (u16, SocketAddr) {
        let in_rotation = |proxy: &usize| self.in_rotation[*proxy].load(Ordering::Relaxed);
        let proxies = self.addresses.len();
        let proxy = assign_proxy(proxies, self.zones, zone, random, in_rotation);
        (proxy as u16, self.addresses[proxy])
    }

    /// Returns the index and address of each proxy that has received SIGTERM and is not started again.
    pub fn ending(&self) -> impl Iterator<Item = (u16, SocketAddr)> {
        let proxies = self.addresses.iter().enumerate();
        proxies
            .filter(|(proxy, _)| self.is_ending[*proxy].load(Ordering::Relaxed))
            .map(|(proxy, address)| (proxy as u16, *address))
    }

    pub(super) fn set_ending(&self, proxy: u16, is_ending: bool) {
        self.is_ending[proxy as usize].store(is_ending, Ordering::Relaxed);
    }

    pub(super) fn set_in_rotation(&self, proxy: u16, in_rotation: bool) {
        self.in_rotation[proxy as usize].store(in_rotation, Ordering::Relaxed);
    }
}
