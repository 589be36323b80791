//! How an instance's connections are divided among the nodes that own its group.

use kestrellock_core::connection_shares::{Share, owner_count, share, sharing_nodes};
use proptest::prelude::*;

/// How many owners an instance with three slots has before so many nodes, and the share of each.
fn share_before(connections: u32, nodes: usize) -> (usize, Share) {
    owners_of(connections, 3, nodes)
}

fn owners_of(connections: u32, slots: u32, nodes: usize) -> (usize, Share) {
    let owners = owner_count(connections, slots, nodes);
    (owners, share(connections, owners))
}

#[test]
fn few_nodes_are_all_owners_and_of_many_only_as_many_as_have_a_share_worth_having() {
    let table = [
        // Connections, slots, nodes, owners, and the share of each.
        (34, 3, 1, 1, (32, 16)),
        (34, 3, 6, 6, (5, 2)),
        (32, 2, 8, 7, (4, 2)),
        (34, 3, 9, 6, (5, 2)),
        (34, 3, 60, 6, (5, 2)),
        (34, 3, 520, 6, (5, 2)),
        (63, 3, 90, 9, (6, 3)),
        (225, 3, 68, 9, (23, 11)),
        (16, 2, 6, 3, (5, 2)),
        (16, 2, 8, 3, (5, 2)),
        (8, 2, 6, 2, (3, 1)),
        (5, 2, 6, 2, (2, 1)),
        (3, 2, 6, 1, (2, 1)),
        (1, 2, 1, 1, (1, 1)),
    ];
    for (connections, slots, nodes, owners, (most, warm)) in table {
        let expected = (owners, Share { max: most, warm });
        let found = owners_of(connections, slots, nodes);
        assert_eq!(found, expected, "{connections} before {nodes}");
    }
}

proptest! {
    /// Machines that lost power leave their connections behind for a while: those of all owners fit
    /// beside as many again, but for one that each owner needs in any case.
    #[test]
    fn connections_held_without_work_leave_room_for_all_owners_to_return(
        connections in 1_u32..500,
        nodes in 1_usize..600,
    ) {
        let (owners, Share { max: most, warm }) = share_before(connections, nodes);
        let owners = owners as u32;
        prop_assert!(warm >= 1 && warm <= most);
        prop_assert!(most * owners <= connections);
        prop_assert!(warm == 1 || 2 * warm * owners <= connections);
    }

    /// A node more or less moves shares; it never turns one arrangement into another.
    #[test]
    fn a_node_more_changes_the_owners_by_one_at_the_most(
        connections in 1_u32..500,
        slots in 1_u32..20,
        nodes in 1_usize..600,
    ) {
        let before = owner_count(connections, slots, nodes);
        let after = owner_count(connections, slots, nodes + 1);
        prop_assert!(after == before || after == before + 1);
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
        // Six own it in either case.
        (6, 9, 4, 5),
        (1, 0, 24, 32),
    ];
    for (live, listed, young, grown) in table {
        let share = |young| share_before(34, sharing_nodes(live, listed, young)).1;
        assert_eq!(share(true).during_startup().max, young, "{live} live, {listed} listed");
        assert_eq!(share(false).max, grown, "{live} live, {listed} listed");
    }
}
