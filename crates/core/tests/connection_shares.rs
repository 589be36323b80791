//! The division of an instance's connections among the owners of its group.

use kestrellock_core::connection_shares::{
    Share, owner_count, replica_share, share, sharing_nodes,
};
use proptest::prelude::*;

/// Number of owners of an instance with three slots in a cluster of `nodes`, and the share of each.
fn owners_with_three_slots(connections: u32, nodes: usize) -> (usize, Share) {
    owners_and_share(connections, 3, nodes)
}

fn owners_and_share(connections: u32, slots: u32, nodes: usize) -> (usize, Share) {
    let owners = owner_count(connections, slots, nodes);
    (owners, share(connections, owners))
}

#[test]
fn the_number_of_owners_is_limited_by_the_smallest_useful_share() {
    let table = [
        // Connections, slots, nodes, owners, and the share of each owner as (max, warm).
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
        let actual = owners_and_share(connections, slots, nodes);
        assert_eq!(actual, expected, "{connections} connections, {nodes} nodes");
    }
}

proptest! {
    /// After a power loss, an instance still counts the old connections for a while. The warm
    /// connections of all owners must fit twice, except that each owner needs at least one.
    #[test]
    fn warm_connections_leave_room_for_a_restart_of_all_owners(
        connections in 1_u32..500,
        nodes in 1_usize..600,
    ) {
        let (owners, Share { max: most, warm }) = owners_with_three_slots(connections, nodes);
        let owners = owners as u32;
        prop_assert!(warm >= 1 && warm <= most);
        prop_assert!(most * owners <= connections);
        prop_assert!(warm == 1 || 2 * warm * owners <= connections);
    }

    /// Where zones may be lost, the connections of all owners before and right after a restart fit
    /// within the limit together, also if connections belong to accounts and owners near a replica
    /// have more of them.
    #[test]
    fn both_parts_of_all_shares_fit_within_the_limit(
        connections in 5_u32..500,
        nodes in 2_usize..600,
        near in 1_usize..9,
    ) {
        let (owners, even) = owners_with_three_slots(connections, nodes);
        let near = near.min(owners);
        let far = owners - near;
        let both = |share: Share| share.available(false, 1).max + share.available(true, 1).max;
        prop_assert!(both(even) * owners as u32 <= connections);
        let of_replica = |is_near| both(replica_share(connections, near, far, is_near));
        let sum = of_replica(true) * near as u32 + of_replica(false) * far as u32;
        prop_assert!(sum <= connections, "{sum} of {connections}");
    }

    /// One node more or fewer changes the number of owners by at most one.
    #[test]
    fn one_more_node_changes_the_owner_count_by_at_most_one(
        connections in 1_u32..500,
        slots in 1_u32..20,
        nodes in 1_usize..600,
    ) {
        let before = owner_count(connections, slots, nodes);
        let after = owner_count(connections, slots, nodes + 1);
        prop_assert!(after == before || after == before + 1);
    }
}

/// Guards against a failure after all machines lost power: the first nodes to restart knew of no
/// other node, and took connections that the other nodes needed in order to serve any statement.
#[test]
fn a_node_uses_less_than_its_share_during_startup() {
    let table = [
        // Live nodes known to the node, listed nodes, and `max` during and after its startup
        // period.
        (1, 6, 4, 32),
        (6, 6, 4, 5),
        // Six nodes own the group in both cases.
        (6, 9, 4, 5),
        (1, 0, 24, 32),
    ];
    for (live, listed, startup_max, full_max) in table {
        let share =
            |startup_max| owners_with_three_slots(34, sharing_nodes(live, listed, startup_max)).1;
        assert_eq!(share(true).during_startup().max, startup_max, "{live} live, {listed} listed");
        assert_eq!(share(false).max, full_max, "{live} live, {listed} listed");
    }
}

/// Guards against refused connections after all machines lost power: the parts of a share for
/// normal operation and for a restart must fit into it together.
#[test]
fn where_zones_may_be_lost_a_share_has_a_part_for_restarts() {
    let table = [
        // The whole share as (max, warm), and the parts for operation and for a restart.
        ((6, 3), (4, 3), (2, 2)),
        ((12, 6), (10, 6), (2, 2)),
        ((3, 1), (2, 1), (1, 1)),
        ((2, 1), (1, 1), (1, 1)),
        ((1, 1), (1, 1), (1, 1)),
    ];
    let share_of = |(max, warm)| Share { max, warm };
    for (whole, operation, restart) in table {
        let whole = share_of(whole);
        for losses in 1..3 {
            assert_eq!(whole.available(false, losses), share_of(operation));
            assert_eq!(whole.available(true, losses), share_of(restart));
        }
        assert_eq!(whole.available(false, 0), whole, "unchanged where no zone may be lost");
        assert_eq!(whole.available(true, 0), whole.during_startup());
    }
}
