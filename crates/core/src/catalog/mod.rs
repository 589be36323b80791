//! The parsed configuration at one revision: zones, database groups, templates, tenants and
//! accounts.
//!
//! The configuration is kept in the platform's store. Operators write it as TOML; the programs
//! exchange the same types as JSON or CBOR.

mod account;
mod digests;
mod edition;
mod fault_removal;
mod fields;
mod index;
mod merge;
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

/// Revision of the configuration: the position in the store's history at which its newest entry was
/// written ([`crate::store_era`]).
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

/// A duration in whole milliseconds, the unit in the operators' configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Milliseconds(pub u64);

impl From<Milliseconds> for Duration {
    fn from(value: Milliseconds) -> Self {
        Duration::from_millis(value.0)
    }
}

/// One PostgreSQL server process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Instance {
    /// Unique name.
    pub name: InstanceName,
    /// Zone it runs in.
    pub zone: ZoneName,
    /// Address at which it listens.
    pub address: SocketAddr,
    /// Number of statements that it runs efficiently at once.
    pub slots: u32,
    /// Number of connections that it accepts in all.
    pub connections: u32,
    /// Whether it is being drained: it receives no new work, and its running work finishes.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub leaving: bool,
    /// Role that it announced to the platform, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub announced_role: Option<Role>,
    /// Incarnation of its process, if the platform reports it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub incarnation: Option<InstanceIncarnation>,
}

/// Which component replaces a failed primary.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Elector {
    /// The group elects a new primary itself, and the proxy detects it.
    #[default]
    Group,
    /// The proxy has a replica promoted through the platform.
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
    /// PostgreSQL role with which gateways log in.
    pub user: String,
    /// The instances.
    pub instances: Vec<Instance>,
    /// Condition for acknowledging a commit.
    #[serde(default)]
    pub confirmation: ConfirmationRule,
    /// Component that replaces the group's primary.
    #[serde(default, skip_serializing_if = "Elector::is_default")]
    pub elector: Elector,
    /// Number of replicas that must have received a commit before the primary answers it.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub synchronous_replicas: u32,
    /// Number of connections that each instance accepts in all, for instances that the platform
    /// reports; zero if each instance states its own number.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub connections: u32,
    /// The instance that the proxy had promoted last. It is the primary if several instances
    /// announce that role because the old primary has not stepped down yet.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub promoted: Option<InstanceName>,
}

fn is_zero(count: &u32) -> bool {
    *count == 0
}

impl Group {
    /// Whether its instances register themselves with the platform and are not configured by
    /// operators.
    pub fn has_reported_instances(&self) -> bool {
        self.elector == Elector::Proxy && self.connections > 0
    }

    /// Number of instances that form a majority.
    pub fn majority(&self) -> usize {
        self.instances.len() / 2 + 1
    }

    /// Number of owners of the group among `nodes` nodes: the smallest number that one of its
    /// instances allows.
    pub fn owner_count(&self, nodes: usize) -> usize {
        let allowed =
            |instance: &Instance| owner_count(instance.connections, instance.slots, nodes);
        self.instances.iter().map(allowed).min().unwrap_or(1)
    }

    /// Replication settings of the group, with the number of currently known instances.
    pub fn replication(&self) -> Replication {
        Replication { synchronous: self.synchronous_replicas, instances: self.instances.len() }
    }

    /// The instance that announces itself as primary. If several do, an old primary has not stepped
    /// down yet: the instance promoted last comes first, then any instance except `old_primary`,
    /// the one that is being replaced.
    pub fn leader(&self, old_primary: Option<&InstanceName>) -> Option<&Instance> {
        self.leader_where(old_primary, |_| true)
    }

    /// Like [`Self::leader`], but if several instances announce themselves as primary, considers
    /// only those that satisfy `may_lead`, unless none of them does.
    pub fn leader_where(
        &self,
        old_primary: Option<&InstanceName>,
        may_lead: impl Fn(&Instance) -> bool,
    ) -> Option<&Instance> {
        let is_leading = |instance: &&Instance| instance.announced_role == Some(Role::Primary);
        let mut leading: Vec<&Instance> = self.instances.iter().filter(is_leading).collect();
        // A single leader, the usual case, needs no filtering.
        if leading.len() > 1 && leading.iter().any(|instance| may_lead(instance)) {
            leading.retain(|instance| may_lead(instance));
        }
        let is_last = |instance: &&&Instance| Some(&instance.name) == self.promoted.as_ref();
        let is_current = |instance: &&&Instance| Some(&instance.name) != old_primary;
        let candidates = leading.iter();
        let leader = candidates.clone().find(|instance| is_last(instance) && is_current(instance));
        let leader = leader.or_else(|| candidates.clone().find(is_current));
        leader.or_else(|| leading.first()).copied()
    }

    /// Whether no other known instance was promoted after `leader`: `leader` was promoted last, the
    /// instance promoted last is no longer in the group, or none was ever promoted.
    pub fn is_last_promoted(&self, leader: &InstanceName) -> bool {
        let Some(promoted) = &self.promoted else { return true };
        promoted == leader || self.instance(promoted).is_none()
    }

    /// Like [`Self::is_last_promoted`], for the current leader while no replacement is in progress.
    pub fn is_led_by_last_promoted(&self) -> bool {
        match self.leader(None) {
            Some(leader) => self.is_last_promoted(&leader.name),
            None => self.promoted.as_ref().is_none_or(|promoted| self.instance(promoted).is_none()),
        }
    }

    /// The instance with that name.
    pub fn instance(&self, name: &InstanceName) -> Option<&Instance> {
        self.instances.iter().find(|instance| instance.name == *name)
    }
}

/// Priority by which waiting statements get slots.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Purchases, orders, deposits.
    Order,
    /// All other statements.
    #[default]
    Normal,
    /// Reads that tolerate waiting.
    Browse,
}

/// The commits that a read must see.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Consistency {
    /// Every commit acknowledged before the read arrived.
    Primary,
    /// Every commit acknowledged longer ago than the maximum staleness.
    Bounded,
    /// The same as `Bounded`, and every commit of its own session.
    #[default]
    Session,
}

impl Consistency {
    fn is_default(&self) -> bool {
        *self == Self::default()
    }
}

/// Parameters that a template sets for its tenants.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Template {
    /// Database groups that the tenant may use; a client selects one by its database name.
    pub groups: Vec<GroupName>,
    /// Maximum staleness of a read without a session bound.
    pub max_staleness_ms: Milliseconds,
    /// Number of statements that the tenant may run at once on each instance, over all nodes.
    pub capacity: u32,
    /// Priority of writes.
    #[serde(default)]
    pub write_priority: Priority,
    /// Priority of reads.
    #[serde(default)]
    pub read_priority: Priority,
    /// Time within which a statement is answered or refused.
    pub deadline_ms: Milliseconds,
    /// The commits that a read must see.
    #[serde(default, skip_serializing_if = "Consistency::is_default")]
    pub consistency: Consistency,
    /// Idle time after which an open transaction is terminated; without it, none is terminated.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub transaction_idle_ms: Option<Milliseconds>,
    /// Response time up to which an answer has its full value to the tenant.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub target_latency_ms: Option<Milliseconds>,
}

/// A tenant: a template and the values that the tenant overrides.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Template from which the tenant takes its values.
    pub template: TemplateName,
    /// Overrides the template's groups.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub groups: Option<Vec<GroupName>>,
    /// Overrides the template's maximum staleness.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_staleness_ms: Option<Milliseconds>,
    /// Overrides the template's capacity.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub capacity: Option<u32>,
    /// Overrides the template's deadline.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<Milliseconds>,
    /// SCRAM-SHA-256 verifiers by login name, in the form that PostgreSQL stores
    /// (`SCRAM-SHA-256$iterations:salt$stored:server`).
    #[serde(default)]
    pub logins: BTreeMap<String, String>,
    /// Database names that select the tenant's first group without a login, over a protocol without
    /// logins.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub open_databases: BTreeSet<String>,
    /// Whether a client that names one of these databases must present a credential of an account.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub needs_credential: bool,
}

/// The operators' settings for a failure zone of the platform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// Whether the zone is being drained: its instances receive no new work, and primaries in the
    /// zone are replaced, until the operators withdraw the drain.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub drained: bool,
}

/// The whole configuration at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Catalog {
    /// Revision; zero before any configuration has arrived.
    #[serde(default)]
    pub revision: Revision,
    /// Edition of the operators' part.
    #[serde(default, skip_serializing_if = "Edition::is_none")]
    pub edition: Edition,
    /// Zones for which operators have settings.
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

/// An invalid value in the configuration; `field` is a path such as `tenants.atlas.template`.
#[derive(Clone, Debug, Error, PartialEq, Eq, Serialize, Deserialize)]
#[error("{field}: {problem}")]
pub struct InvalidField {
    /// Path of the invalid field.
    pub field: String,
    /// Description of the problem.
    pub problem: String,
}

impl InvalidField {
    fn new(field: impl fmt::Display, problem: impl Into<String>) -> Self {
        Self { field: field.to_string(), problem: problem.into() }
    }
}
