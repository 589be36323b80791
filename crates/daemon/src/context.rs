//! What every part of a node shares: who it is, which nodes live, the catalog, instance statuses.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use kestrellock_core::account_owners;
use kestrellock_core::catalog::{Group, IndexedCatalog, Instance};
use kestrellock_core::credential_evidence::RevocationLimit;
use kestrellock_core::ids::{AccountName, GroupName, InstanceName, NodeName, ZoneName};
use kestrellock_core::primary_evidence::{EVIDENCE_LIFE, UNLISTED_EVIDENCE_LIFE};
use kestrellock_core::promotion::Intent;
use kestrellock_peer::auth::ClusterKeys;
use kestrellock_program::secret::Secret;
use kestrellock_protocol::Protocol;

use crate::detours::Detours;
use crate::metrics::Metrics;
use crate::ownership::{OwnershipSnapshot, Ownerships};
use crate::policy::Policy;
use crate::shared::address_occupants::AddressOccupants;
use crate::shared::confirmations::Confirmations;
use crate::shared::inbox::Inbox;
use crate::shared::listed_seeds::ListedSeeds;
use crate::shared::live::{LiveNode, Shared};
use crate::shared::membership::SharedMembership;
use crate::shared::quotas::SharedQuotas;
use crate::shared::replacement_check_requests::ReplacementCheckRequests;
use crate::shared::replacements::Replacements;
use crate::shared::revisions::Revisions;
use crate::shared::revoked_evidence::RevokedEvidence;
use crate::shared::routine_log_lines::RoutineLogLimiter;
use crate::shared::stage::{SharedStage, Stage};
use crate::shared::statuses::StatusTable;

/// Who this process is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Name from the settings.
    pub node: NodeName,
    /// Zone from the settings.
    pub zone: ZoneName,
    /// Address of this machine; connections to other machines leave from it.
    pub address: IpAddr,
    /// Differs between processes of one name; grows.
    pub incarnation: u64,
}

/// Everything a node's threads share.
#[derive(Debug)]
pub struct NodeContext {
    /// This node.
    pub identity: Identity,
    /// Nodes believed to live, this one among them; empty until membership has found its feet.
    pub live: Shared<Vec<LiveNode>>,
    /// What membership knows beyond that, and what it is asked to do.
    pub membership: SharedMembership,
    /// Keys under which nodes authenticate to each other.
    pub cluster_keys: ClusterKeys,
    /// Name of the cluster; nodes of others are refused.
    pub cluster: String,
    /// Configuration in force.
    pub catalog: Shared<IndexedCatalog>,
    /// Owners of instances by the two above.
    pub owners: Ownerships,
    /// Replacements of primaries that are under way, where the proxy replaces them.
    pub intents: Shared<BTreeMap<GroupName, Intent>>,
    /// Where work goes other than to the owners.
    pub detours: Detours,
    /// How far a planned stop has come.
    pub stage: SharedStage,
    /// When a planned stop ends transactions that are still open; `None` while there is none, or if
    /// they may last as long as it does.
    pub transactions_until: Shared<Option<Instant>>,
    /// What is known of back ends.
    pub statuses: StatusTable,
    /// Which of several instances told at one address answers there.
    pub occupants: AddressOccupants,
    /// Passwords of the roles under which gateways log in to back ends.
    pub backend_passwords: BTreeMap<String, Secret>,
    /// Number of shards.
    pub shards: u16,
    /// What callers and back ends speak.
    pub protocol: Arc<dyn Protocol>,
    /// Which decisions the node takes.
    pub policy: Policy,
    /// Nodes to join through that the machine list names.
    pub listed_seeds: ListedSeeds,
    /// Nodes that the machine list named last, whether they live or not; empty before it was read.
    pub listed_nodes: Shared<Vec<LiveNode>>,
    /// Nodes that have given their evidence up, for replacements that this node carries out.
    pub given_up: RevokedEvidence,
    /// Replacements that this node has heard of, and those that it tells others of.
    pub replacements: Replacements,
    /// Groups for which the store has to say that nobody replaces their primary.
    pub store_looks: ReplacementCheckRequests,
    /// Messages of peers about the configuration.
    pub configuration: Inbox,
    /// Revisions that other nodes have in force.
    pub revisions: Revisions,
    /// How soon credentials that are taken away must be out of use on every node, also on one that nothing
    /// reaches; without a limit they are as soon as the configuration arrives.
    pub revocation_limit: Option<RevocationLimit>,
    /// Time after the word of operators to drain a zone at which nothing may reach instances there any more;
    /// without a limit, open transactions go on until they end.
    pub zone_drain_limit: Option<Duration>,
    /// When the configuration was last known to be the newest.
    pub confirmations: Confirmations,
    /// How much accounts may still ask.
    pub quotas: SharedQuotas,
    /// How many ordinary successes are told in the log.
    pub ordinary_lines: RoutineLogLimiter,
    /// Counters and histograms.
    pub metrics: Metrics,
}

impl NodeContext {
    /// Owners and standbys of all instances by the nodes now live.
    pub fn ownerships(&self) -> Arc<OwnershipSnapshot> {
        let own = &self.identity.node;
        let leaving = self.is_leaving().then_some(own);
        self.owners.current(&self.live, &self.catalog, own, leaving, &self.listed_nodes)
    }

    /// The node to whose gateway work for an instance goes.
    pub fn gateway_of(&self, instance: &InstanceName, now: Instant) -> Option<NodeName> {
        let owners = self.ownerships();
        Some(self.detours.choose(instance, owners.get(instance)?, now))
    }

    /// Whether this node is one of several owners of a group.
    pub fn owns(&self, group: &GroupName) -> bool {
        self.ownerships().is_owner(&self.identity.node, group)
    }

    /// The node to whose gateway work for a group goes that has several owners: this one, if it is among
    /// them and serves the account.
    pub fn owner_for_group(
        &self,
        group: &GroupName,
        account: Option<&AccountName>,
        now: Instant,
    ) -> Option<NodeName> {
        let ownerships = self.ownerships();
        let Identity { node, zone, .. } = &self.identity;
        if account.is_none() && ownerships.is_owner(node, group) {
            return Some(node.clone());
        }
        let owners = ownerships.owners_of(group);
        let chosen = match account {
            Some(account) => {
                let nearest = self.detours.nearest(owners, zone, now);
                let part = self.catalog.load().quota_share(account);
                account_owners::choose_owner(group, account, part, &nearest, rand::random())
            }
            None => self.detours.choose_among(owners, zone, rand::random(), now),
        };
        chosen.cloned()
    }

    /// The instance that leads a group, as its platform and the replacements under way tell it. One in
    /// whose place another instance answers leads no more, whatever it said last.
    pub fn leader<'a>(&self, name: &GroupName, group: &'a Group) -> Option<&'a Instance> {
        let intents = self.intents.load();
        let former = intents.get(name).and_then(|intent| intent.former.as_ref());
        group.leader_where(former, |instance| !self.occupants.is_displaced(group, instance))
    }

    /// Age of the newest evidence that the group's primary leads.
    pub fn evidence_age(&self, group: &GroupName, now: Instant) -> Option<Duration> {
        let board = self.statuses.group(group);
        let known = board.read().expect("a holder of the status lock panicked");
        known.evidence.newest().map(|seen| now.saturating_duration_since(seen))
    }

    /// Whether credentials of the configuration in force may be used for a request that arrived at
    /// `arrived`.
    pub fn is_credential_confirmed(&self, arrived: Instant) -> bool {
        let Some(limit) = self.revocation_limit else { return true };
        self.confirmations.covers(self.catalog.load().version(), arrived, limit)
    }

    /// Names of the nodes that the machine list named last.
    pub fn listed_names(&self) -> Vec<NodeName> {
        let listed = self.listed_nodes.load();
        listed.iter().map(|node| node.candidate.node.clone()).collect()
    }

    /// Whether whoever replaces a primary waits for this node's word: the machine list names it, and it knows that.
    pub fn is_waited_for(&self) -> bool {
        let listed = self.listed_nodes.load();
        listed.iter().any(|listed| listed.candidate.node == self.identity.node)
    }

    /// How long evidence lasts here: other nodes wait only for those that they know of.
    pub fn evidence_life(&self) -> Duration {
        if self.is_waited_for() { EVIDENCE_LIFE } else { UNLISTED_EVIDENCE_LIFE }
    }

    /// Whether the node takes no new work, because it is being stopped.
    pub fn is_leaving(&self) -> bool {
        self.stage.load() >= Stage::Leaving
    }

    /// Whether the node is being stopped, though it may serve yet.
    pub fn is_stopping(&self) -> bool {
        self.stage.load() >= Stage::Notice
    }

    /// Where a node accepts peers that lives, or that the machine list names.
    pub fn peer_address(&self, node: &NodeName) -> Option<SocketAddr> {
        let (live, listed) = (self.live.load(), self.listed_nodes.load());
        let mut known = live.iter().chain(listed.iter());
        known.find(|peer| peer.candidate.node == *node).map(|peer| peer.peer_address)
    }

    /// The shard of this node that holds a group's gateway.
    pub fn shard_of(&self, group: &GroupName) -> u16 {
        let hash = xxhash_rust::xxh3::xxh3_64(group.as_str().as_bytes());
        (hash % u64::from(self.shards)) as u16
    }
}
