//! The sets of worlds that are explored.

use std::time::Duration;

use kestrellock_core::primary_evidence::UNLISTED_EVIDENCE_LIFETIME;

use crate::model::{InstanceId, Scope, Start};
use crate::node::{NodeKind, PlantedUse, ProposedRules};

const NO_RULES: ProposedRules = ProposedRules { revocations_follow_stops: false };

/// A listed node that reaches the store and may learn of replacements. Instances restart only as
/// far as a scope says.
pub const PLAIN: Scope = Scope {
    start: Start::Idle,
    node: NodeKind {
        is_listed: true,
        listed_lifetime: Duration::from_millis(300),
        unlisted_lifetime: UNLISTED_EVIDENCE_LIFETIME,
        proposed: NO_RULES,
        planted: PlantedUse::None,
    },
    has_joined_instance: false,
    has_second_joined: false,
    coordinator_lists_joined: true,
    dead: &[],
    has_store: true,
    has_peers: false,
    has_coordinator: true,
    has_late_answers: false,
    has_late_checks: false,
    has_staggered_stops: false,
    has_cancellations: false,
    has_early_demotion: false,
    has_successor_commits: true,
    has_early_followers: false,
    hears_of_intents: true,
    replica_restarts: 0,
    primary_crashes: 0,
    node_restarts: 0,
    writes: 1,
    first_write_tick: 0,
};

/// The node does not learn of replacements.
pub const UNINFORMED: Scope = Scope { hears_of_intents: false, ..PLAIN };

/// The node reaches only instances.
pub const CUT_OFF: Scope = Scope { has_store: false, ..UNINFORMED };

/// The same without writes of the node.
pub const QUIET: Scope = Scope { writes: 0, ..CUT_OFF };

/// An instance has joined that the node does not list.
pub const JOINED: Scope = Scope { has_joined_instance: true, ..QUIET };

/// The same with a write of the node. Only commits of the node matter.
pub const JOINED_WRITES: Scope = Scope { writes: 1, has_successor_commits: false, ..JOINED };

/// The same without evidence that ends with the requests for it.
pub const JOINED_LASTING: Scope =
    Scope { node: NodeKind { planted: PlantedUse::WithoutUnchecked, ..PLAIN.node }, ..JOINED };

/// An instance has joined that the coordinator does not list either.
pub const JOINED_UNKNOWN: Scope = Scope { coordinator_lists_joined: false, ..JOINED };

/// Two instances have joined that the node does not list: one may lead, and the other confirm its
/// commits.
pub const JOINED_TWO: Scope = Scope { has_second_joined: true, ..JOINED };

/// The same with a write of the node. Only commits of the node matter.
pub const JOINED_TWO_WRITES: Scope =
    Scope { writes: 1, has_successor_commits: false, ..JOINED_TWO };

/// The same without evidence that ends with the requests for it.
pub const JOINED_TWO_LASTING: Scope = Scope { has_second_joined: true, ..JOINED_LASTING };

/// An instance has joined, and all answers may arrive late, those of the store as well.
pub const JOINED_LATE_STORE: Scope = Scope { has_late_answers: true, has_store: true, ..JOINED };

/// An instance has joined, and replacement checks may take long, but no other requests.
pub const JOINED_LATE_CHECKS: Scope = Scope { has_late_checks: true, has_store: true, ..JOINED };

/// An instance has joined, and the result of the last replacement check arrives late.
pub const JOINED_CHECK_READ: Scope = Scope { start: Start::CheckRead, ..JOINED };

/// An instance has joined, the old primary ends and returns, and the node has recent evidence.
pub const JOINED_PRIMARY_RETURNS: Scope = Scope { primary_crashes: 1, ..JOINED_AFTER_REPORTS };

/// An instance has joined, and the node starts again.
pub const JOINED_NODE_RESTARTS: Scope = Scope { node_restarts: 1, ..JOINED_AFTER_REPORTS };

/// An instance has joined, and the other nodes do not know the node either.
pub const JOINED_UNLISTED: Scope =
    Scope { node: NodeKind { is_listed: false, ..PLAIN.node }, ..JOINED_AFTER_REPORTS };

/// An instance has joined, and the node learns of a replacement and may hear no more of it.
pub const JOINED_SILENT_COORDINATOR: Scope =
    Scope { hears_of_intents: true, ..JOINED_AFTER_REPORTS };

/// An instance has joined, and a replica forgets that it was stopped. Only commits of the node
/// matter.
pub const JOINED_FORGOTTEN_STOP: Scope = Scope { has_joined_instance: true, ..FORGOTTEN_STOP };

/// An instance has joined that nobody lists, and the node, which has recent evidence, writes.
pub const JOINED_UNKNOWN_WRITES: Scope =
    Scope { start: Start::Reports, coordinator_lists_joined: false, ..JOINED_WRITES };

/// An instance has joined, and the node has recent evidence.
pub const JOINED_AFTER_REPORTS: Scope = Scope { start: Start::Reports, ..JOINED };

/// A replica restarts and forgets that it was stopped. Only commits of the node matter.
pub const FORGOTTEN_STOP: Scope =
    Scope { start: Start::Reports, replica_restarts: 1, has_successor_commits: false, ..CUT_OFF };

/// The node learns of a replacement, and then may hear no more of it.
pub const SILENT_COORDINATOR: Scope = Scope { hears_of_intents: true, ..QUIET };

/// The node learns of a replacement, and then may start again.
pub const RESTART_AFTER_REVOCATION: Scope = Scope { node_restarts: 1, ..SILENT_COORDINATOR };

/// Revocations count that are reported after the stops.
pub const REVOCATIONS_FOLLOW_STOPS: ProposedRules =
    ProposedRules { revocations_follow_stops: true };

/// The scope with proposed rules.
pub const fn with_rules(scope: Scope, proposed: ProposedRules) -> Scope {
    Scope { node: NodeKind { proposed, ..scope.node }, ..scope }
}

/// The scope with a planted fault.
pub const fn with_planted(scope: Scope, planted: PlantedUse) -> Scope {
    Scope { node: NodeKind { planted, ..scope.node }, ..scope }
}

/// All scopes, by the names that select them.
pub fn all() -> Vec<(&'static str, Scope)> {
    let unlisted = NodeKind { is_listed: false, ..PLAIN.node };
    let wide = Scope {
        has_staggered_stops: true,
        has_cancellations: true,
        has_early_followers: true,
        ..QUIET
    };
    vec![
        ("plain", PLAIN),
        ("plain-without-store", Scope { has_store: false, ..PLAIN }),
        ("uninformed", UNINFORMED),
        ("uninformed-quiet", Scope { writes: 0, ..UNINFORMED }),
        ("cut-off", CUT_OFF),
        ("quiet", QUIET),
        ("two-writes", Scope { writes: 2, ..CUT_OFF }),
        ("late", Scope { has_late_answers: true, ..QUIET }),
        ("late-writes", Scope { has_late_answers: true, ..CUT_OFF }),
        ("late-intents", Scope { has_late_answers: true, has_store: false, ..PLAIN }),
        ("wide", wide),
        ("early-demotion", Scope { has_early_demotion: true, ..CUT_OFF }),
        ("primary-returns", Scope { primary_crashes: 1, ..QUIET }),
        ("primary-returns-writes", Scope { primary_crashes: 1, ..CUT_OFF }),
        ("node-restarts", Scope { node_restarts: 1, ..QUIET }),
        ("node-restarts-writes", Scope { node_restarts: 1, ..CUT_OFF }),
        ("unlisted", Scope { node: unlisted, ..CUT_OFF }),
        (
            "replica-silent",
            Scope { dead: &[InstanceId::R2], has_early_demotion: true, ..UNINFORMED },
        ),
        ("forgotten-stop", FORGOTTEN_STOP),
        ("forgotten-stop-quiet", Scope { replica_restarts: 1, ..QUIET }),
        ("forgotten-stop-all", Scope { has_successor_commits: true, ..FORGOTTEN_STOP }),
        ("forgotten-stop-revoked", Scope { hears_of_intents: true, ..FORGOTTEN_STOP }),
        ("forgotten-stop-primary-returns", Scope { primary_crashes: 1, ..FORGOTTEN_STOP }),
        ("silent-coordinator", SILENT_COORDINATOR),
        ("silent-coordinator-follow", with_rules(SILENT_COORDINATOR, REVOCATIONS_FOLLOW_STOPS)),
        ("restart-after-revocation", RESTART_AFTER_REVOCATION),
        (
            "restart-after-revocation-follow",
            with_rules(RESTART_AFTER_REVOCATION, REVOCATIONS_FOLLOW_STOPS),
        ),
        ("joined", JOINED),
        ("joined-writes", JOINED_WRITES),
        ("joined-lasting", JOINED_LASTING),
        ("joined-lasting-store", Scope { has_store: true, ..JOINED_LASTING }),
        ("joined-unknown", JOINED_UNKNOWN),
        ("joined-unknown-lasting", Scope { coordinator_lists_joined: false, ..JOINED_LASTING }),
        ("joined-after-reports", JOINED_AFTER_REPORTS),
        ("joined-after-reports-lasting", Scope { start: Start::Reports, ..JOINED_LASTING }),
        ("joined-after-reports-writes", Scope { start: Start::Reports, ..JOINED_WRITES }),
        ("joined-peers", Scope { has_peers: true, ..JOINED_WRITES }),
        ("joined-store", Scope { has_store: true, ..JOINED }),
        ("joined-late", Scope { has_late_answers: true, ..JOINED }),
        ("joined-late-after-reports", Scope { has_late_answers: true, ..JOINED_AFTER_REPORTS }),
        ("joined-early-demotion", Scope { has_early_demotion: true, ..JOINED_AFTER_REPORTS }),
        (
            "joined-replica-silent",
            Scope { dead: &[InstanceId::R2], has_early_demotion: true, ..JOINED_AFTER_REPORTS },
        ),
        ("joined-primary-returns", JOINED_PRIMARY_RETURNS),
        (
            "joined-primary-returns-writes",
            Scope { writes: 1, has_successor_commits: false, ..JOINED_PRIMARY_RETURNS },
        ),
        ("joined-late-store", JOINED_LATE_STORE),
        (
            "joined-late-store-writes",
            Scope { writes: 1, has_successor_commits: false, ..JOINED_LATE_STORE },
        ),
        ("joined-late-peers", Scope { has_late_answers: true, has_peers: true, ..JOINED_WRITES }),
        ("joined-unknown-after-reports-writes", JOINED_UNKNOWN_WRITES),
        ("joined-check-read", JOINED_CHECK_READ),
        (
            "joined-check-read-writes",
            Scope { writes: 1, has_successor_commits: false, ..JOINED_CHECK_READ },
        ),
        ("joined-two-check-read", Scope { start: Start::CheckRead, ..JOINED_TWO_LASTING }),
        ("joined-late-checks", JOINED_LATE_CHECKS),
        (
            "joined-late-checks-writes",
            Scope { writes: 1, has_successor_commits: false, ..JOINED_LATE_CHECKS },
        ),
        ("late-checks", Scope { has_late_checks: true, has_store: true, ..QUIET }),
        ("late-store", Scope { has_late_answers: true, has_store: true, ..QUIET }),
        ("joined-two", JOINED_TWO),
        ("joined-two-lasting", JOINED_TWO_LASTING),
        ("joined-two-writes", JOINED_TWO_WRITES),
        ("joined-two-after-reports", Scope { start: Start::Reports, ..JOINED_TWO_LASTING }),
        ("joined-node-restarts", JOINED_NODE_RESTARTS),
        (
            "joined-node-restarts-writes",
            Scope { writes: 1, has_successor_commits: false, ..JOINED_NODE_RESTARTS },
        ),
        ("joined-unlisted", JOINED_UNLISTED),
        (
            "joined-unlisted-writes",
            Scope { writes: 1, has_successor_commits: false, ..JOINED_UNLISTED },
        ),
        ("joined-silent-coordinator", JOINED_SILENT_COORDINATOR),
        ("joined-forgotten-stop", JOINED_FORGOTTEN_STOP),
        ("joined-forgotten-stop-quiet", Scope { replica_restarts: 1, ..JOINED_AFTER_REPORTS }),
        (
            "planted-without-primary",
            with_planted(JOINED_PRIMARY_RETURNS, PlantedUse::RenewedWithoutPrimary),
        ),
        ("planted-too-late", with_planted(JOINED_AFTER_REPORTS, PlantedUse::RenewedTooLate)),
        ("planted-check-from-result", with_planted(JOINED_CHECK_READ, PlantedUse::CheckFromResult)),
        ("planted-stops-unseen", with_planted(JOINED_CHECK_READ, PlantedUse::StopsUnseenByCheck)),
        (
            "joined-wide",
            Scope {
                has_staggered_stops: true,
                has_cancellations: true,
                has_early_followers: true,
                ..JOINED_AFTER_REPORTS
            },
        ),
        (
            "joined-unknown-writes",
            Scope {
                coordinator_lists_joined: false,
                writes: 1,
                has_successor_commits: false,
                ..JOINED
            },
        ),
    ]
}
