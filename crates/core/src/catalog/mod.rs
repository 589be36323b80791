//! The operators' configuration: database groups, templates and tenants, at one revision.
//!
//! Kept in the platform's store. Operators write TOML; the programs exchange
//! the same types as JSON or CBOR.

mod account;
mod digests;
mod edition;
mod fields;
mod index;
mod merge;
mod usable;
mod validate;
mod versioned;

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::confirmation::ConfirmationRule;
use crate::connection_shares::owner_count;
use crate::ids::{AccountName, GroupName, InstanceName, TemplateName, TenantName, ZoneName};
use crate::incarnation::InstanceIncarnation;
use crate::primary_evidence::Replication;
use crate::routing::Role;

pub use account::{Account, Operations, Quota};
pub use digests::{CatalogSummary, Fingerprint};
pub use edition::{CatalogVersion, Edition};
pub use fields::{CONNECTIONS, DEADLINE_MS, MAX_NAME_BYTES, MAX_STALENESS_MS, is_name};
pub use index::{IndexedCatalog, UnknownCredential};
pub use merge::TenantParameters;
pub use validate::{Fault, Subject};
pub use versioned::{CatalogDelta, DeltaError, VersionedCatalog};

/// Revision of the configuration: the position in the history of the store at which its newest part was
/// written ([`crate::store_era`]).
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

/// A duration in whole milliseconds, as operators write it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Milliseconds(pub u64);

impl From<Milliseconds> for Duration {
    fn from(value: Milliseconds) -> Self {
        Duration::from_millis(value.0)
    }
}

/// One back-end server process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Instance {
    /// Unique name.
    pub name: InstanceName,
    /// Zone it runs in.
    pub zone: ZoneName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Statements it runs well at once.
    pub slots: u32,
    /// Connections it accepts in all.
    pub connections: u32,
    /// Whether it is being taken out of use: it gets no new work, and what runs on it finishes.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub leaving: bool,
    /// Role that it announced to its platform, where it announces one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub announced_role: Option<Role>,
    /// Which start of its process this is, where its platform tells that.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub incarnation: Option<InstanceIncarnation>,
}

/// Who replaces a primary that is lost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Elector {
    /// The group elects another one by itself; the proxy follows.
    #[default]
    Group,
    /// The proxy has another one promoted through the platform.
    Proxy,
}

impl Elector {
    fn is_default(&self) -> bool {
        *self == Self::default()
    }
}

/// One logical database and the instances that replicate it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// Database name on the instances.
    pub database: String,
    /// Role the gateways log in as.
    pub user: String,
    /// The instances.
    pub instances: Vec<Instance>,
    /// What a commit waits for before it is acknowledged.
    #[serde(default)]
    pub confirmation: ConfirmationRule,
    /// Who replaces its primary.
    #[serde(default, skip_serializing_if = "Elector::is_default")]
    pub elector: Elector,
    /// Replicas that must have received a commit before the primary answers it.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub synchronous_replicas: u32,
    /// Connections that an instance accepts in all, for instances that the platform tells; zero
    /// where each instance states its own.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub connections: u32,
    /// The instance that the proxy last had promoted: it leads where two say so, because the old
    /// primary has not stepped down yet.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub promoted: Option<InstanceName>,
}

fn is_zero(count: &u32) -> bool {
    *count == 0
}

impl Group {
    /// Whether its instances report themselves to the platform, rather than being written by operators.
    pub fn has_reported_instances(&self) -> bool {
        self.elector == Elector::Proxy && self.connections > 0
    }

    /// How many instances make a majority.
    pub fn majority(&self) -> usize {
        self.instances.len() / 2 + 1
    }

    /// How many of `nodes` nodes own it, by the instance that allows the fewest.
    pub fn owner_count(&self, nodes: usize) -> usize {
        let allowed = |one: &Instance| owner_count(one.connections, one.slots, nodes);
        self.instances.iter().map(allowed).min().unwrap_or(1)
    }

    /// How it replicates, by the instances that the platform tells now.
    pub fn replication(&self) -> Replication {
        Replication { synchronous: self.synchronous_replicas, instances: self.instances.len() }
    }

    /// The instance that announces to be the primary. Where several do, an old one has not stepped
    /// down yet: `former`, if it is being replaced, and whichever is not the one promoted last.
    pub fn leader(&self, former: Option<&InstanceName>) -> Option<&Instance> {
        self.leader_where(former, |_| true)
    }

    /// The same among the instances for which `may_lead` holds; where it holds for none, among all.
    pub fn leader_where(
        &self,
        former: Option<&InstanceName>,
        may_lead: impl Fn(&Instance) -> bool,
    ) -> Option<&Instance> {
        let leads = |instance: &&Instance| instance.announced_role == Some(Role::Primary);
        let mut leading: Vec<&Instance> = self.instances.iter().filter(leads).collect();
        // The usual one leader needs no look at the others.
        if leading.len() > 1 && leading.iter().any(|one| may_lead(one)) {
            leading.retain(|one| may_lead(one));
        }
        let promoted = |one: &&&Instance| Some(&one.name) == self.promoted.as_ref();
        let current = |one: &&&Instance| Some(&one.name) != former;
        let candidates = leading.iter();
        let successor = candidates.clone().find(|one| promoted(one) && current(one));
        let successor = successor.or_else(|| candidates.clone().find(current));
        successor.or_else(|| leading.first()).copied()
    }

    /// Whether no other instance can have been promoted after `leader`: it was promoted last, or the one that was is
    /// gone, or none ever was.
    pub fn is_last_promoted(&self, leader: &InstanceName) -> bool {
        let Some(promoted) = &self.promoted else { return true };
        promoted == leader || self.instance(promoted).is_none()
    }

    /// The same of the instance that leads while nobody replaces it.
    pub fn is_led_by_last_promoted(&self) -> bool {
        match self.leader(None) {
            Some(leader) => self.is_last_promoted(&leader.name),
            None => self.promoted.as_ref().is_none_or(|promoted| self.instance(promoted).is_none()),
        }
    }

    /// The instance of that name.
    pub fn instance(&self, name: &InstanceName) -> Option<&Instance> {
        self.instances.iter().find(|instance| instance.name == *name)
    }
}

/// Order in which waiting statements get slots.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Purchases, orders, deposits.
    Order,
    /// Everything that is neither of the others.
    #[default]
    Normal,
    /// Reads that may wait.
    Browse,
}

/// What a read must see.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Consistency {
    /// Every commit acknowledged before the read arrived.
    Primary,
    /// Every commit acknowledged longer ago than the largest staleness.
    Bounded,
    /// The same, and every commit of its own session.
    #[default]
    Session,
}

impl Consistency {
    fn is_default(&self) -> bool {
        *self == Self::default()
    }
}

/// Parameters a template sets for its tenants.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Template {
    /// Database groups the tenant may use; a caller names one by its database.
    pub groups: Vec<GroupName>,
    /// Largest staleness of a read without a session bound.
    pub max_staleness_ms: Milliseconds,
    /// Statements the tenant may have running at once, over all nodes, per instance.
    pub capacity: u32,
    /// Priority of writes.
    #[serde(default)]
    pub write_priority: Priority,
    /// Priority of reads.
    #[serde(default)]
    pub read_priority: Priority,
    /// Time within which a statement is answered or refused.
    pub deadline_ms: Milliseconds,
    /// What a read must see.
    #[serde(default, skip_serializing_if = "Consistency::is_default")]
    pub consistency: Consistency,
    /// Time after which an open transaction that rests is ended; without it, none is.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub transaction_idle_ms: Option<Milliseconds>,
    /// Time within which an answer is worth its full price to the tenant.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub target_latency_ms: Option<Milliseconds>,
}

/// A tenant: a template and what it overrides.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Template it starts from.
    pub template: TemplateName,
    /// Replaces the template's groups.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub groups: Option<Vec<GroupName>>,
    /// Replaces the template's staleness.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_staleness_ms: Option<Milliseconds>,
    /// Replaces the template's capacity.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub capacity: Option<u32>,
    /// Replaces the template's deadline.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<Milliseconds>,
    /// Login name to SCRAM-SHA-256 verifier, in the form PostgreSQL stores
    /// (`SCRAM-SHA-256$iterations:salt$stored:server`).
    #[serde(default)]
    pub logins: BTreeMap<String, String>,
    /// Names of databases that lead to the tenant's first group without a login, over a protocol
    /// that has none.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub open_databases: BTreeSet<String>,
    /// Whether whoever names one of these databases has to show a credential of an account.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub needs_credential: bool,
}

/// A failure zone of the platform, as far as operators say anything of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// Whether it is being drained: its instances get no work, and primaries there are replaced, until this
    /// is taken back.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub drained: bool,
}

/// Everything the operators configured, at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Catalog {
    /// Revision; zero before anything arrived.
    #[serde(default)]
    pub revision: Revision,
    /// Which edition of the operators' part it holds.
    #[serde(default, skip_serializing_if = "Edition::is_none")]
    pub edition: Edition,
    /// Zones of which operators say something.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub zones: BTreeMap<ZoneName, Zone>,
    /// Database groups.
    #[serde(default)]
    pub groups: BTreeMap<GroupName, Group>,
    /// Templates.
    #[serde(default)]
    pub templates: BTreeMap<TemplateName, Template>,
    /// Tenants.
    #[serde(default)]
    pub tenants: BTreeMap<TenantName, Tenant>,
    /// Accounts.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub accounts: BTreeMap<AccountName, Account>,
}

/// A value that configuration may not have; `field` is a path such as
/// `tenants.atlas.template`.
#[derive(Clone, Debug, Error, PartialEq, Eq, Serialize, Deserialize)]
#[error("{field}: {problem}")]
pub struct InvalidField {
    /// Path of the faulty field.
    pub field: String,
    /// What is wrong with it.
    pub problem: String,
}

impl InvalidField {
    fn new(field: impl fmt::Display, problem: impl Into<String>) -> Self {
        Self { field: field.to_string(), problem: problem.into() }
    }
}
