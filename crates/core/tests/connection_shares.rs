//! How an instance's connections are divided among nodes.

use kestrellock_core::connection_shares::{Arrangement, Share, arrange, sharers};
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

/// Atlas, after all machines lost power: the first nodes that were back knew of no other, and took
/// what the others needed to serve at all.
#[test]
fn a_node_that_has_just_started_takes_less_than_its_share() {
    let table = [
        // Nodes that live by its own knowledge, those listed, and the most before and after.
        (1, 6, 4, 32),
        (6, 6, 4, 5),
        (6, 9, 2, 5),
        (1, 0, 24, 32),
    ];
    for (live, listed, young, grown) in table {
        let share = |young| match arrange(34, sharers(live, listed, young)) {
            Arrangement::Shared(share) => share,
            Arrangement::Owned => panic!("so few nodes share"),
        };
        assert_eq!(share(true).of_a_young_node().most, young, "{live} live, {listed} listed");
        assert_eq!(share(false).most, grown, "{live} live, {listed} listed");
    }
}
