//! The addresses of a rehearsal.
use super::*;

#[test]
fn no_node_shares_an_address_with_the_list_service() {
    let block = Block::new();
    for proxy in 0..4 {
        assert!((0..1000).all(|node| block.door(proxy, node) != block.list(proxy)));
    }
}
