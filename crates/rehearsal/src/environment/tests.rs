//! Tests of the addresses of a rehearsal.
use super::*;

#[test]
fn no_backend_shares_an_address_with_the_discovery_service() {
    let block = AddressBlock::new();
    for proxy in 0..4 {
        assert!((0..1000).all(|backend| block.backend(proxy, backend) != block.discovery(proxy)));
    }
}
