//! Loopback addresses of one rehearsal.
use std::net::{IpAddr, Ipv4Addr};
use std::sync::atomic::{AtomicU32, Ordering};

/// Number of blocks among which rehearsals are spread.
const BLOCKS: u32 = 200;
/// Second octet of the first block; lower ones are left to other programs.
const FIRST_BLOCK: u8 = 16;
/// Number of addresses that the backends of one proxy share.
const BACKEND_ADDRESSES: u32 = 250;
/// Last octet of the discovery service, beyond those of all backends.
const DISCOVERY_OCTET: u8 = 251;
/// Third octet of the proxies' own listeners.
const PROXIES_OCTET: u8 = 255;

/// A block of loopback addresses that no other rehearsal on this machine uses at the same time.
#[derive(Clone, Copy, Debug)]
pub struct AddressBlock(u8);

impl AddressBlock {
    /// Reserves a block by the number of this process and of its rehearsals.
    pub fn new() -> Self {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = std::process::id()
            .wrapping_mul(7)
            .wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
        Self(FIRST_BLOCK + (number % BLOCKS) as u8)
    }

    /// Address on which a backend listens for a proxy; backends share addresses when there are more than fit.
    pub fn backend(self, proxy: u16, backend: u32) -> IpAddr {
        let octet = 1 + (backend % BACKEND_ADDRESSES) as u8;
        Ipv4Addr::new(127, self.0, proxy as u8, octet).into()
    }

    /// Address on which the discovery service listens for a proxy.
    ///
    /// No backend shares it: the system could otherwise assign the service a port that a backend has reserved but
    /// does not listen on yet.
    pub fn discovery(self, proxy: u16) -> IpAddr {
        Ipv4Addr::new(127, self.0, proxy as u8, DISCOVERY_OCTET).into()
    }

    /// Address on which a proxy listens.
    pub fn proxy(self, proxy: u16) -> IpAddr {
        Ipv4Addr::new(127, self.0, PROXIES_OCTET, 1 + proxy as u8).into()
    }
}
