//! Messages for reading and changing the configuration through a node.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::catalog::{Account, Catalog, Group, Revision, Template, Tenant, Zone};
use crate::ids::{AccountName, GroupName, NodeName, TemplateName, TenantName, ZoneName};

/// The kind of a configuration entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EntryKind {
    /// A failure zone.
    Zone,
    /// A database group.
    Group,
    /// A template.
    Template,
    /// A tenant.
    Tenant,
    /// An account.
    Account,
}

impl EntryKind {
    /// All kinds, ordered so that entries come before the entries that refer to them.
    pub const ALL: [Self; 5] =
        [Self::Zone, Self::Group, Self::Template, Self::Tenant, Self::Account];

    /// The catalog's table for entries of this kind, such as `groups`.
    pub fn table(self) -> &'static str {
        match self {
            Self::Zone => "zones",
            Self::Group => "groups",
            Self::Template => "templates",
            Self::Tenant => "tenants",
            Self::Account => "accounts",
        }
    }

    /// The kind of the entries in a table.
    pub fn of_table(table: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.table() == table)
    }
}

/// Identifies an entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EntryId {
    /// Kind of the entry.
    pub kind: EntryKind,
    /// Name among the entries of its kind.
    pub name: String,
}

impl fmt::Display for EntryId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.kind.table(), self.name)
    }
}

/// Value of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", content = "value", rename_all = "lowercase")]
pub enum EntryValue {
    /// A failure zone.
    Zone(Zone),
    /// A database group.
    Group(Group),
    /// A template.
    Template(Template),
    /// A tenant.
    Tenant(Tenant),
    /// An account.
    Account(Account),
}

impl EntryValue {
    /// Kind of the entry.
    pub fn kind(&self) -> EntryKind {
        match self {
            Self::Zone(_) => EntryKind::Zone,
            Self::Group(_) => EntryKind::Group,
            Self::Template(_) => EntryKind::Template,
            Self::Tenant(_) => EntryKind::Tenant,
            Self::Account(_) => EntryKind::Account,
        }
    }
}

/// An entry to write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Name among the entries of its kind.
    pub name: String,
    /// New value.
    pub value: EntryValue,
}

impl Change {
    /// The entry that the change writes.
    pub fn id(&self) -> EntryId {
        EntryId { kind: self.value.kind(), name: self.name.clone() }
    }
}

/// Identifies an apply request, chosen by the client. Requests with the same identifier are applied
/// once.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestId(pub String);

impl fmt::Display for RequestId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// Request to write entries, all or none.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ApplyRequest {
    /// Identifier of the request.
    pub request: RequestId,
    /// Who requests the change.
    pub author: String,
    /// Revision that the author has read. If an entry was written after it, the request conflicts.
    pub base: Revision,
    /// Entries to write.
    pub changes: Vec<Change>,
}

/// The result of a successful apply request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Applied {
    /// Revision at which the entries were written.
    pub revision: Revision,
    /// False if all entries already had their values, so that nothing was written.
    pub changed: bool,
}

/// Who wrote a version of an entry, and when.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Authorship {
    /// Version number of the entry; zero if it was not written through a node.
    pub version: u64,
    /// Identifier of the request that wrote it.
    pub request: String,
    /// Who requested the change.
    pub author: String,
    /// When, in milliseconds since 1970, by the clock of the node that handled the request.
    pub at_ms: u64,
}

/// A version of an entry in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Name among the entries of its kind.
    pub name: String,
    /// Revision at which this version was written.
    pub revision: Revision,
    /// Who wrote it, and when.
    pub authorship: Authorship,
    /// Value.
    pub value: EntryValue,
}

/// Where a listing comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Source {
    /// The store, read for this request.
    Store,
    /// The node's active configuration, because the store did not answer.
    #[serde(rename = "in_force")]
    Active,
}

/// Entries of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// Revision of the whole configuration, to use as the base of a later apply request.
    pub revision: Revision,
    /// Where the listing comes from.
    pub source: Source,
    /// The requested entries.
    pub entries: Vec<Entry>,
}

/// A live node and its active configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeRevision {
    /// The node.
    pub node: NodeName,
    /// Its zone.
    pub zone: ZoneName,
    /// Newest revision known to be active on the node; zero if none is known.
    pub revision: Revision,
}

impl Catalog {
    /// Inserts or replaces an entry.
    pub fn insert(&mut self, name: &str, value: EntryValue) {
        match value {
            EntryValue::Zone(zone) => {
                self.zones.insert(ZoneName::new(name), zone);
            }
            EntryValue::Group(group) => {
                self.groups.insert(GroupName::new(name), group);
            }
            EntryValue::Template(template) => {
                self.templates.insert(TemplateName::new(name), template);
            }
            EntryValue::Tenant(tenant) => {
                self.tenants.insert(TenantName::new(name), tenant);
            }
            EntryValue::Account(account) => {
                self.accounts.insert(AccountName::new(name), account);
            }
        }
    }

    /// The entries of one kind.
    pub fn entries(&self, kind: EntryKind) -> Vec<Change> {
        let change = |name: &str, value| Change { name: name.to_owned(), value };
        match kind {
            EntryKind::Zone => {
                let zones = self.zones.iter();
                zones.map(|(name, value)| change(name.as_str(), EntryValue::Zone(*value))).collect()
            }
            EntryKind::Group => {
                let groups = self.groups.iter();
                groups
                    .map(|(name, value)| change(name.as_str(), EntryValue::Group(value.clone())))
                    .collect()
            }
            EntryKind::Template => {
                let templates = self.templates.iter();
                templates
                    .map(|(name, value)| change(name.as_str(), EntryValue::Template(value.clone())))
                    .collect()
            }
            EntryKind::Tenant => {
                let tenants = self.tenants.iter();
                tenants
                    .map(|(name, value)| change(name.as_str(), EntryValue::Tenant(value.clone())))
                    .collect()
            }
            EntryKind::Account => {
                let accounts = self.accounts.iter();
                accounts
                    .map(|(name, value)| change(name.as_str(), EntryValue::Account(value.clone())))
                    .collect()
            }
        }
    }
}
