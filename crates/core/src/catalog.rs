//! The operators' configuration: database groups, templates and tenants, at one revision.
//!
//! Kept in the platform's store and delivered whole. Operators write TOML; the programs exchange
//! the same types as JSON or CBOR.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::confirmation::ConfirmationRule;
use crate::ids::{GroupName, InstanceName, TemplateName, TenantName, ZoneName};

/// Revision of the configuration: the store's revision at which its newest part was written.
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
}

impl Group {
    /// How many instances make a majority.
    pub fn majority(&self) -> usize {
        self.instances.len() / 2 + 1
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
}

/// Everything the operators configured, at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Catalog {
    /// Revision; zero before anything arrived.
    #[serde(default)]
    pub revision: Revision,
    /// Database groups.
    #[serde(default)]
    pub groups: BTreeMap<GroupName, Group>,
    /// Templates.
    #[serde(default)]
    pub templates: BTreeMap<TemplateName, Template>,
    /// Tenants.
    #[serde(default)]
    pub tenants: BTreeMap<TenantName, Tenant>,
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
    fn new(field: impl Into<String>, problem: impl Into<String>) -> Self {
        Self { field: field.into(), problem: problem.into() }
    }
}

/// A tenant's parameters with template and overrides merged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TenantParameters {
    /// The tenant.
    pub tenant: TenantName,
    /// Template values with the tenant's overrides in place.
    pub values: Template,
}

impl Catalog {
    /// Checks every reference and range. Nothing of an invalid catalog is ever applied.
    pub fn validate(&self) -> Result<(), InvalidField> {
        for (name, group) in &self.groups {
            validate_group(name, group)?;
        }
        for (name, template) in &self.templates {
            let field = format!("templates.{name}");
            self.validate_parameters(&field, template)?;
        }
        for (name, tenant) in &self.tenants {
            let field = format!("tenants.{name}");
            let parameters = self.merge(name, tenant).ok_or_else(|| {
                InvalidField::new(format!("{field}.template"), "no such template")
            })?;
            self.validate_parameters(&field, &parameters.values)?;
        }
        self.validate_logins()
    }

    fn validate_parameters(&self, field: &str, template: &Template) -> Result<(), InvalidField> {
        let unknown = template.groups.iter().find(|group| !self.groups.contains_key(*group));
        if let Some(group) = unknown {
            return Err(InvalidField::new(
                format!("{field}.groups"),
                format!("no such group {group}"),
            ));
        }
        if template.capacity == 0 {
            return Err(InvalidField::new(format!("{field}.capacity"), "must be at least 1"));
        }
        if template.deadline_ms.0 == 0 {
            return Err(InvalidField::new(format!("{field}.deadline_ms"), "must be at least 1"));
        }
        Ok(())
    }

    fn validate_logins(&self) -> Result<(), InvalidField> {
        let mut owners: BTreeMap<&str, &TenantName> = BTreeMap::new();
        for (tenant, parameters) in &self.tenants {
            for login in parameters.logins.keys() {
                if let Some(other) = owners.insert(login, tenant) {
                    return Err(InvalidField::new(
                        format!("tenants.{tenant}.logins.{login}"),
                        format!("already a login of tenant {other}"),
                    ));
                }
            }
        }
        Ok(())
    }

    fn merge(&self, name: &TenantName, tenant: &Tenant) -> Option<TenantParameters> {
        let mut values = self.templates.get(&tenant.template)?.clone();
        if let Some(groups) = &tenant.groups {
            values.groups.clone_from(groups);
        }
        values.max_staleness_ms = tenant.max_staleness_ms.unwrap_or(values.max_staleness_ms);
        values.capacity = tenant.capacity.unwrap_or(values.capacity);
        values.deadline_ms = tenant.deadline_ms.unwrap_or(values.deadline_ms);
        Some(TenantParameters { tenant: name.clone(), values })
    }

    /// Parameters of a tenant.
    pub fn parameters(&self, tenant: &TenantName) -> Option<TenantParameters> {
        self.merge(tenant, self.tenants.get(tenant)?)
    }

    /// The tenant a login belongs to, and the login's verifier.
    pub fn login(&self, login: &str) -> Option<(&TenantName, &str)> {
        self.tenants
            .iter()
            .find_map(|(name, tenant)| Some((name, tenant.logins.get(login)?.as_str())))
    }

    /// The group a tenant reaches under a database name.
    pub fn group_for<'a>(
        &self,
        parameters: &'a TenantParameters,
        database: &str,
    ) -> Option<&'a GroupName> {
        parameters
            .values
            .groups
            .iter()
            .find(|name| self.groups.get(*name).is_some_and(|group| group.database == database))
    }

    /// The group that holds an instance, and the instance.
    pub fn instance(&self, name: &InstanceName) -> Option<(&GroupName, &Instance)> {
        self.groups.iter().find_map(|(group, value)| Some((group, value.instance(name)?)))
    }
}

/// Longest name of anything, in bytes.
pub const MAX_NAME_BYTES: usize = 63;

/// Whether `text` may name a node, zone, group, instance, template or tenant: lower-case letters,
/// digits, hyphens and underscores, beginning with a letter.
pub fn is_name(text: &str) -> bool {
    let allowed =
        |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || b"-_".contains(&byte);
    text.len() <= MAX_NAME_BYTES
        && text.as_bytes().first().is_some_and(u8::is_ascii_lowercase)
        && text.bytes().all(allowed)
}

fn validate_group(name: &GroupName, group: &Group) -> Result<(), InvalidField> {
    if group.instances.is_empty() {
        return Err(InvalidField::new(format!("groups.{name}.instances"), "must not be empty"));
    }
    for (index, instance) in group.instances.iter().enumerate() {
        let field = format!("groups.{name}.instances[{index}]");
        if instance.slots == 0 {
            return Err(InvalidField::new(format!("{field}.slots"), "must be at least 1"));
        }
        if instance.connections < instance.slots {
            return Err(InvalidField::new(
                format!("{field}.connections"),
                "must be at least slots",
            ));
        }
    }
    Ok(())
}
