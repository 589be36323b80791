//! How an instance's connections are divided among nodes.

use kestrellock_core::connection_shares::{Arrangement, Share, arrange};
use proptest::prelude::*;

#[test]
fn few_nodes_share_and_many_leave_an_instance_to_owners() {
    let table = [
        // Connections, nodes, and the share where there is one.
        (34, 1, Some((32, 16))),
        (34, 6, Some((5, 2))),
        (32, 8, Some((3, 1))),
        (34, 9, Some((3, 1))),
        (34, 60, None),
        (34, 520, None),
        (8, 3, Some((2, 1))),
        (8, 6, None),
        (1, 1, Some((1, 1))),
    ];
    for (connections, nodes, expected) in table {
        let expected = match expected {
            Some((most, warm)) => Arrangement::Shared(Share { most, warm }),
            None => Arrangement::Owned,
        };
        assert_eq!(arrange(connections, nodes), expected, "{connections} before {nodes}");
    }
}

proptest! {
    /// Machines that lost power leave their connections behind for a while: those of all nodes fit
    /// beside as many again, but for one that each node needs in any case.
    #[test]
    fn connections_held_without_work_leave_room_for_all_nodes_to_return(
        connections in 1_u32..500,
        nodes in 1_usize..600,
    ) {
        if let Arrangement::Shared(Share { most, warm }) = arrange(connections, nodes) {
            let nodes = nodes as u32;
            prop_assert!(warm >= 1 && warm <= most);
            prop_assert!(most * nodes <= connections);
            prop_assert!(warm == 1 || 2 * warm * nodes <= connections);
        }
    }
}
