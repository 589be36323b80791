//! State that all threads of a node share: its identity, the live nodes, the catalog, the statuses
//! of instances, and the primary replacements in progress.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use kestrellock_core::account_owners;
use kestrellock_core::catalog::{Group, IndexedCatalog, Instance};
use kestrellock_core::credential_evidence::RevocationLimit;
use kestrellock_core::ids::{AccountName, GroupName, InstanceName, NodeName, ZoneName};
use kestrellock_core::planned_stop::StopSchedule;
use kestrellock_core::primary_evidence::{EVIDENCE_LIFETIME, UNLISTED_EVIDENCE_LIFETIME};
use kestrellock_core::promotion::Intent;
use kestrellock_net::source::SourceAddress;
use kestrellock_peer::auth::ClusterKeys;
use kestrellock_program::secret::Secret;
use kestrellock_protocol::Protocol;

use crate::gateway::queued_log::QueuedLogLimiter;
use crate::metrics::Metrics;
use crate::ownership::{OwnershipCache, OwnershipSnapshot};
use crate::policy::Policy;
use crate::routing_overrides::RoutingOverrides;
use crate::shared::address_occupants::AddressOccupants;
use crate::shared::confirmations::Confirmations;
use crate::shared::event_log_limiters::EventLogLimiters;
use crate::shared::inbox::Inbox;
use crate::shared::isolation::SharedIsolation;
use crate::shared::listed_seeds::ListedSeeds;
use crate::shared::live::{LiveNode, Shared};
use crate::shared::membership::SharedMembership;
use crate::shared::peer_versions::PeerVersions;
use crate::shared::peer_votes::SharedPeerVotes;
use crate::shared::promotion_calls::PromotionCalls;
use crate::shared::quotas::SharedQuotas;
use crate::shared::replacement_check_requests::ReplacementCheckRequests;
use crate::shared::replacement_checks::ReplacementChecks;
use crate::shared::replacements::Replacements;
use crate::shared::revisions::Revisions;
use crate::shared::revoked_evidence::RevokedEvidence;
use crate::shared::routine_log_lines::RoutineLogLimiter;
use crate::shared::stage::{SharedStage, Stage};
use crate::shared::statuses::{EvidenceScope, StatusTable};

/// Identity of this process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Name from the settings.
    pub node: NodeName,
    /// Zone from the settings.
    pub zone: ZoneName,
    /// Address of this node, from which it opens all connections to other machines.
    pub address: SourceAddress,
    /// Distinguishes successive processes of one node name; a later process has a higher number.
    pub incarnation: u64,
}

/// State shared by all threads of a node.
#[derive(Debug)]
pub struct NodeContext {
    /// This node.
    pub identity: Identity,
    /// Nodes that membership considers alive, including this one; empty until this node has joined
    /// the cluster.
    pub live: Shared<Vec<LiveNode>>,
    /// Further state of membership, and requests to it.
    pub membership: SharedMembership,
    /// Protocol versions of the links to other nodes.
    pub peer_versions: PeerVersions,
    /// Keys with which nodes authenticate to each other.
    pub cluster_keys: ClusterKeys,
    /// Name of the cluster. Nodes of other clusters are refused.
    pub cluster: String,
    /// Active configuration.
    pub catalog: Shared<IndexedCatalog>,
    /// Owners of instances, computed from `live` and `catalog`.
    pub ownership_cache: OwnershipCache,
    /// Active intents of primary replacements, for groups whose primary the proxy replaces.
    pub intents: Shared<BTreeMap<GroupName, Intent>>,
    /// Temporary exceptions to sending work to the owners.
    pub routing_overrides: RoutingOverrides,
    /// Progress of a planned stop.
    pub stage: SharedStage,
    /// Times of the planned stop in progress, if any.
    pub stop: Shared<Option<StopSchedule>>,
    /// Status of each instance.
    pub statuses: StatusTable,
    /// For addresses at which several instances are announced: the instance that answers there.
    pub address_occupants: AddressOccupants,
    /// Passwords of the database roles with which gateways log in to instances.
    pub backend_passwords: BTreeMap<String, Secret>,
    /// Number of shards.
    pub shards: u16,
    /// Protocol of clients and instances.
    pub protocol: Arc<dyn Protocol>,
    /// Routing and confirmation decisions that the node takes.
    pub policy: Policy,
    /// Seed nodes from the machine list.
    pub listed_seeds: ListedSeeds,
    /// Nodes in the last copy of the machine list, alive or not; empty before the list was read.
    pub listed_nodes: Shared<Vec<LiveNode>>,
    /// Nodes that have revoked their evidence, for replacements that this node coordinates.
    pub revoked_evidence: RevokedEvidence,
    /// Promotion calls of this process, and queries about those of other processes.
    pub promotion_calls: Arc<PromotionCalls>,
    /// Groups whose replacements may lose acknowledged commits, as an operator has set.
    pub accepted_commit_loss: Shared<BTreeSet<GroupName>>,
    /// Votes on primaries that other owners have sent to this node.
    pub peer_votes: SharedPeerVotes,
    /// Replacements that this node has learned of, and those that it announces to other nodes.
    pub replacements: Replacements,
    /// Groups that need a replacement check: the store must confirm that no replacement of their
    /// primary is in progress.
    pub replacement_check_requests: ReplacementCheckRequests,
    /// Replacement checks by other nodes, which are made while the store does not answer.
    pub replacement_checks: ReplacementChecks,
    /// Configuration messages from peers.
    pub distribution_inbox: Inbox,
    /// Revisions that are active on other nodes.
    pub revisions: Revisions,
    /// Time within which every node must stop using revoked credentials, even a node that is
    /// isolated. Without a limit, a node stops using them once it receives the new configuration.
    pub revocation_limit: Option<RevocationLimit>,
    /// Time limit of a zone drain, from the request of the operators: no work may reach instances
    /// in the zone afterwards. Without a limit, open transactions continue until they end.
    pub zone_drain_limit: Option<Duration>,
    /// Whether this node is isolated, and reports of failures that make it check.
    pub isolation: SharedIsolation,
    /// Whether connections of accounts are opened in advance, and those that are least likely to be
    /// used soon are closed first.
    pub prewarm_connections: bool,
    /// Number of zones without which the deployment must be able to serve.
    pub tolerated_zone_losses: u32,
    /// Whether the owners of a group divide the capacity of its instances by what waits at them.
    pub share_instance_capacity: bool,
    /// When the active configuration was last confirmed to be the newest.
    pub confirmations: Confirmations,
    /// Remaining quota of accounts.
    pub quotas: SharedQuotas,
    /// Rate limit for routine log lines.
    pub routine_log_limiter: RoutineLogLimiter,
    /// Rate limit for the log lines of exchanges that waited in the queue of an instance.
    pub queued_log_limiter: QueuedLogLimiter,
    /// Rate limits for the log lines of events that a single request can cause.
    pub event_log_limiters: EventLogLimiters,
    /// Counters and histograms.
    pub metrics: Metrics,
}

impl NodeContext {
    /// Owners and standbys of all instances, given the nodes that are alive now.
    pub fn ownership_snapshot(&self) -> Arc<OwnershipSnapshot> {
        let own = &self.identity.node;
        let leaving = self.is_leaving().then_some(own);
        self.ownership_cache.current(&self.live, &self.catalog, own, leaving, &self.listed_nodes)
    }

    /// The node whose gateway receives work for an instance.
    pub fn gateway_of(&self, instance: &InstanceName, now: Instant) -> Option<NodeName> {
        let owners = self.ownership_snapshot();
        Some(self.routing_overrides.choose(instance, owners.get(instance)?, now))
    }

    /// Whether this node is one of the owners of a group that has several.
    pub fn owns(&self, group: &GroupName) -> bool {
        self.ownership_snapshot().is_owner(&self.identity.node, group)
    }

    /// The owner whose gateway receives work for a group that has several owners.
    ///
    /// Without an account, this node if it is an owner, else one of the nearest owners. With an
    /// account, one of the nearest owners that serve the account. `random` decides among several
    /// owners; the same number yields the same owner while the owners stay the same.
    pub fn owner_for_group(
        &self,
        group: &GroupName,
        account: Option<&AccountName>,
        random: u64,
        now: Instant,
    ) -> Option<NodeName> {
        let ownerships = self.ownership_snapshot();
        let Identity { node, zone, .. } = &self.identity;
        if account.is_none() && ownerships.is_owner(node, group) {
            return Some(node.clone());
        }
        let owners = ownerships.owners_of(group);
        let chosen = match account {
            Some(account) => {
                let nearest = self.routing_overrides.nearest(owners, zone, now);
                let share = self.catalog.load().quota_share(account);
                account_owners::choose_owner(group, account, share, &nearest, random)
            }
            None => self.routing_overrides.choose_among(owners, zone, random, now),
        };
        chosen.cloned()
    }

    /// The primary of a group, according to its platform and the replacements in progress. An
    /// instance whose address another instance now uses is no longer primary, whatever it last
    /// reported.
    pub fn leader<'a>(&self, name: &GroupName, group: &'a Group) -> Option<&'a Instance> {
        let intents = self.intents.load();
        let old_primary = intents.get(name).and_then(|intent| intent.former.as_ref());
        group.leader_where(old_primary, |instance| {
            !self.address_occupants.is_displaced(group, instance)
        })
    }

    /// Age of the newest evidence that the group's primary leads its term.
    pub fn evidence_age(&self, group: &GroupName, now: Instant) -> Option<Duration> {
        let statuses = self.statuses.group(group);
        let statuses = statuses.read().expect("a thread panicked while it held the status lock");
        statuses.evidence.newest().map(|seen| now.saturating_duration_since(seen))
    }

    /// Age of the copy of the store that this node uses, from the request for it.
    pub fn store_copy_age(&self, now: Instant) -> Option<Duration> {
        let requested_at = self.replacements.store_copy_requested_at()?;
        Some(now.saturating_duration_since(requested_at))
    }

    /// Whether credentials of the active configuration may be used for a request that arrived at
    /// `arrived`.
    pub fn is_credential_confirmed(&self, arrived: Instant) -> bool {
        let Some(limit) = self.revocation_limit else { return true };
        self.confirmations.covers(self.catalog.load().version(), arrived, limit)
    }

    /// Names of the nodes in the last copy of the machine list.
    pub fn listed_node_names(&self) -> Vec<NodeName> {
        let listed = self.listed_nodes.load();
        listed.iter().map(|node| node.candidate.node.clone()).collect()
    }

    /// Whether an operator accepts that a replacement of the group's primary loses acknowledged
    /// commits.
    pub fn accepts_commit_loss(&self, group: &GroupName) -> bool {
        self.accepted_commit_loss.load().contains(group)
    }

    /// Whether the machine list contains this node, as far as this node knows. A coordinator waits
    /// for the evidence of listed nodes to be revoked or to expire before it promotes a replica.
    pub fn is_listed(&self) -> bool {
        let listed = self.listed_nodes.load();
        listed.iter().any(|listed| listed.candidate.node == self.identity.node)
    }

    /// Whether a commit that `instance` has answered may be acknowledged only once replicas confirm
    /// that no other instance was being promoted, whatever evidence covers it: no coordinator waits
    /// for this node, or it is not known how a replacement of the instance ended.
    pub fn needs_replica_confirmation(&self, group: &GroupName, instance: &InstanceName) -> bool {
        !self.is_listed() || self.replacements.needs_confirmation(group, instance)
    }

    /// Whether earlier evidence covers an answer of `instance` to a commit that arrives at
    /// `answered`.
    pub fn covers_answer(
        &self,
        name: &GroupName,
        group: &Group,
        instance: &InstanceName,
        answered: Instant,
    ) -> bool {
        let (replication, lifetime) = (group.replication(), self.evidence_lifetime(name));
        let statuses = self.statuses.group(name);
        let known = statuses.read().expect("a thread panicked while it held the status lock");
        let coverage = known
            .current_led_term_of(instance)
            .and_then(|term| known.answer_coverage(instance, term, replication, lifetime));
        coverage.is_some_and(|coverage| answered <= coverage.until)
    }

    /// The scope of the evidence about a group on this node.
    pub fn evidence_scope(&self, name: &GroupName, group: &Group) -> EvidenceScope {
        EvidenceScope { replication: group.replication(), lifetime: self.evidence_lifetime(name) }
    }

    /// Keeps the claim that the newest reports yield about the primary of a group. Has to be called
    /// after each report and each replacement check.
    pub fn renew_claim(&self, name: &GroupName) {
        let catalog = self.catalog.load();
        let Some(group) = catalog.groups.get(name) else { return };
        let Some(leader) = self.leader(name, group) else { return };
        let scope = self.evidence_scope(name, group);
        match self.may_renew_evidence(name) {
            true => self.statuses.renew_claim(name, &leader.name, scope),
            false => self.statuses.keep_checked_claim(name, &leader.name, scope),
        }
    }

    /// Whether reports renew evidence without a replacement check. Not at a node for which a coordinator
    /// does not wait for the whole lifetime of evidence, and not in a group for which this node's
    /// operator accepts the loss of commits: coordinators stop fewer replicas there.
    pub fn may_renew_evidence(&self, group: &GroupName) -> bool {
        self.evidence_lifetime(group) == EVIDENCE_LIFETIME && !self.accepts_commit_loss(group)
    }

    /// Whether evidence of some duration covers answers of the primary of a group at `moment`. Where
    /// none does, reports alone yield none.
    pub fn has_lasting_evidence(&self, name: &GroupName, group: &Group, moment: Instant) -> bool {
        let scope = self.evidence_scope(name, group);
        let Some(leader) = self.leader(name, group) else { return false };
        let statuses = self.statuses.group(name);
        let known = statuses.read().expect("a thread panicked while it held the status lock");
        known.has_lasting_evidence(&leader.name, scope, moment)
    }

    /// Whether reports of all replicas yield no evidence for an instance for want of earlier evidence
    /// or of a replacement check.
    pub fn lacks_claim(&self, name: &GroupName, group: &Group, instance: &InstanceName) -> bool {
        let statuses = self.statuses.group(name);
        let known = statuses.read().expect("a thread panicked while it held the status lock");
        known.lacks_claim(instance, group.replication())
    }

    /// Whether replacement checks fail now: neither the store nor the other nodes have confirmed
    /// the last one. A commit that needs one would not be confirmed either.
    pub fn replacement_checks_fail(&self, now: Instant) -> bool {
        self.replacement_checks.fail(now)
    }

    /// Whether a replacement check can confirm the group's primary now. It cannot while a replacement
    /// is known, also a cancelled one.
    pub fn may_be_checked(&self, group: &GroupName) -> bool {
        let copy = self.replacement_checks.copy.load();
        !copy.view.intents.contains_key(group) && !self.intents.load().contains_key(group)
    }

    /// Lifetime of evidence about a group on this node. A coordinator does not know an unlisted node
    /// and does not wait until it revokes its evidence, and it does not wait for a node that has
    /// reported that it did. So evidence expires sooner on an unlisted node, and on one that does not
    /// know how a replacement ended for which it revoked its evidence.
    pub fn evidence_lifetime(&self, group: &GroupName) -> Duration {
        match self.is_listed() && !self.replacements.is_unresolved(group) {
            true => EVIDENCE_LIFETIME,
            false => UNLISTED_EVIDENCE_LIFETIME,
        }
    }

    /// Whether the node is being stopped and accepts no new work.
    pub fn is_leaving(&self) -> bool {
        self.stage.load() >= Stage::Leaving
    }

    /// Whether the node is being stopped. It may still accept work.
    pub fn is_stopping(&self) -> bool {
        self.stage.load() >= Stage::Notice
    }

    /// Whether this node closes sessions, so that their clients connect to another node.
    pub fn closes_sessions(&self, now: Instant) -> bool {
        self.is_leaving() || self.isolation.closes_sessions(now)
    }

    /// Peer address of a node that is alive or in the machine list.
    pub fn peer_address(&self, node: &NodeName) -> Option<SocketAddr> {
        let (live, listed) = (self.live.load(), self.listed_nodes.load());
        let mut known = live.iter().chain(listed.iter());
        known.find(|peer| peer.candidate.node == *node).map(|peer| peer.peer_address)
    }

    /// Zone of a node that is alive or in the machine list.
    pub fn zone_of(&self, node: &NodeName) -> Option<ZoneName> {
        let (live, listed) = (self.live.load(), self.listed_nodes.load());
        let mut known = live.iter().chain(listed.iter());
        let found = known.find(|peer| peer.candidate.node == *node);
        found.map(|peer| peer.candidate.zone.clone())
    }

    /// The shard of this node whose gateway serves a group.
    pub fn shard_of(&self, group: &GroupName) -> u16 {
        let hash = xxhash_rust::xxh3::xxh3_64(group.as_str().as_bytes());
        (hash % u64::from(self.shards)) as u16
    }
}
