//! Validates the references, ranges and uniqueness constraints of a catalog.
//!
//! A change that operators request through this product is rejected entirely if it leaves a fault.
//! A catalog that arrives from the store or another node has already been written, and also
//! contains the reports of instances: there, each fault affects only its own subject
//! ([`super::fault_removal`]).

use std::collections::{HashMap, HashSet};
use std::fmt::{self, Display};
use std::hash::Hash;
use std::net::SocketAddr;

use super::fields::{
    CAPACITY, CONNECTIONS, CheckResult, DEADLINE_MS, MAX_STALENESS_MS, SLOTS, check_account_name,
    check_name, check_range, check_text, check_verifier,
};
use super::{Account, Catalog, Elector, Group, Instance, InvalidField, Template, Tenant};
use crate::admin::configuration::{EntryId, EntryKind};
use crate::credential::CredentialDigest;
use crate::ids::{AccountName, GroupName, InstanceName, TemplateName, TenantName};

/// Most instances that operators may configure for a group.
const MAX_INSTANCES: usize = 15;

/// The part of a catalog that a fault affects.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Subject {
    /// An entry of the catalog.
    Entry(EntryId),
    /// An instance that the platform reports; its group stays valid without it.
    Instance {
        /// Group of the instance.
        group: GroupName,
        /// Name of the instance.
        instance: InstanceName,
        /// Index of the instance in its group.
        index: usize,
    },
}

impl fmt::Display for Subject {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Entry(id) => id.fmt(formatter),
            Self::Instance { instance, .. } => write!(formatter, "instance {instance}"),
        }
    }
}

/// A part of a catalog that is invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The invalid part.
    pub subject: Subject,
    /// Error of its first invalid field.
    pub error: InvalidField,
}

impl Catalog {
    /// Validates the whole catalog; returns the error of the first fault.
    pub fn validate(&self) -> CheckResult {
        match Validator::new(self, Scope::FirstFault).run().pop() {
            None => Ok(()),
            Some(fault) => Err(fault.error),
        }
    }

    /// All invalid entries and reported instances, each with its first fault. An entry that refers
    /// to a faulty entry is faulty too.
    pub fn faults(&self) -> Vec<Fault> {
        Validator::new(self, Scope::Everything).run()
    }
}

/// How far a validation proceeds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Scope {
    FirstFault,
    Everything,
}

/// One validation of a catalog. Entries are checked before the entries that refer to them.
struct Validator<'a> {
    catalog: &'a Catalog,
    scope: Scope,
    faults: Vec<Fault>,
    groups: HashSet<&'a GroupName>,
    templates: HashSet<&'a TemplateName>,
    instances: UniqueInstances,
    logins: Unique<&'a str>,
    databases: Unique<&'a str>,
    credentials: Unique<CredentialDigest>,
}

impl<'a> Validator<'a> {
    fn new(catalog: &'a Catalog, scope: Scope) -> Self {
        Self {
            catalog,
            scope,
            faults: Vec::new(),
            groups: HashSet::new(),
            templates: HashSet::new(),
            instances: UniqueInstances::default(),
            logins: Unique::new("a login of"),
            databases: Unique::new("an open database of"),
            credentials: Unique::new("a credential of"),
        }
    }

    fn run(mut self) -> Vec<Fault> {
        let catalog = self.catalog;
        for name in catalog.zones.keys() {
            let result = check_name(&format_args!("zones.{name}"), name.as_str());
            self.record(EntryKind::Zone, name.as_str(), result);
        }
        // Configured groups come before groups with reported instances, so that a duplicate name
        // counts as a fault of the reported instance.
        let (reported, configured): (Vec<_>, Vec<_>) =
            catalog.groups.iter().partition(|(_, group)| group.has_reported_instances());
        for (name, group) in configured.into_iter().chain(reported) {
            let result = self.check_group(name, group);
            self.record(EntryKind::Group, name.as_str(), result);
        }
        for (name, template) in &catalog.templates {
            let result = self.check_template(name, template);
            self.record(EntryKind::Template, name.as_str(), result);
        }
        for (name, tenant) in &catalog.tenants {
            let result = self.check_tenant(name, tenant);
            self.record(EntryKind::Tenant, name.as_str(), result);
        }
        for (name, account) in &catalog.accounts {
            let result = self.check_account(name, account);
            self.record(EntryKind::Account, name.as_str(), result);
        }
        self.faults
    }

    fn is_finished(&self) -> bool {
        self.scope == Scope::FirstFault && !self.faults.is_empty()
    }

    fn record(&mut self, kind: EntryKind, name: &str, result: CheckResult) {
        if let Err(error) = result {
            let subject = Subject::Entry(EntryId { kind, name: name.to_owned() });
            self.add(Fault { subject, error });
        }
    }

    fn add(&mut self, fault: Fault) {
        if !self.is_finished() {
            self.faults.push(fault);
        }
    }

    fn check_group(&mut self, name: &'a GroupName, group: &'a Group) -> CheckResult {
        if self.is_finished() {
            return Ok(());
        }
        let field = format_args!("groups.{name}");
        check_name(&field, name.as_str())?;
        check_text(&format_args!("{field}.database"), &group.database)?;
        check_text(&format_args!("{field}.user"), &group.user)?;
        match group.has_reported_instances() {
            true => self.check_reported_instances(name, group),
            false => self.check_configured_instances(&field, group)?,
        }
        self.groups.insert(name);
        Ok(())
    }

    /// A group stays valid without its faulty instances. Two instances may report the same address,
    /// because a crashed instance is still reported for a while after another one has started
    /// there. This is harmless: each is addressed by its own name, and only the instance with that
    /// name answers.
    fn check_reported_instances(&mut self, name: &GroupName, group: &Group) {
        for (index, instance) in group.instances.iter().enumerate() {
            let field = format_args!("groups.{name}.instances[{index}]");
            let result = check_instance(&field, instance)
                .and_then(|()| self.instances.add_name(&field, instance));
            if let Err(error) = result {
                let (group, instance) = (name.clone(), instance.name.clone());
                self.add(Fault { subject: Subject::Instance { group, instance, index }, error });
            }
        }
    }

    fn check_configured_instances(&mut self, field: &dyn Display, group: &Group) -> CheckResult {
        // If the platform reports the instances, a group may temporarily have none.
        let min_instances = if group.elector == Elector::Proxy { 0 } else { 1 };
        if !(min_instances..=MAX_INSTANCES).contains(&group.instances.len()) {
            let problem = format!("must be {min_instances} to {MAX_INSTANCES}");
            return Err(InvalidField::new(format_args!("{field}.instances"), problem));
        }
        for (index, instance) in group.instances.iter().enumerate() {
            let field = format_args!("{field}.instances[{index}]");
            check_name(&format_args!("{field}.name"), instance.name.as_str())?;
            self.instances.add_name(&field, instance)?;
            check_instance(&field, instance)?;
            self.instances.add_address(&field, instance)?;
            check_connections(&field, instance)?;
        }
        Ok(())
    }

    fn check_template(&mut self, name: &'a TemplateName, template: &Template) -> CheckResult {
        if self.is_finished() {
            return Ok(());
        }
        let field = format_args!("templates.{name}");
        check_name(&field, name.as_str())?;
        self.check_parameters(&field, template)?;
        self.templates.insert(name);
        Ok(())
    }

    fn check_tenant(&mut self, name: &TenantName, tenant: &'a Tenant) -> CheckResult {
        if self.is_finished() {
            return Ok(());
        }
        let field = format_args!("tenants.{name}");
        check_name(&field, name.as_str())?;
        let parameters = self.catalog.merge(name, tenant);
        let parameters = parameters.filter(|_| self.templates.contains(&tenant.template));
        let parameters = parameters.ok_or_else(|| {
            let problem = format!("no such template {}", tenant.template);
            InvalidField::new(format_args!("{field}.template"), problem)
        })?;
        self.check_parameters(&field, &parameters.values)?;
        for (login, verifier) in &tenant.logins {
            let field = format_args!("{field}.logins.{login}");
            check_text(&field, login)?;
            check_verifier(&field, verifier)?;
            self.logins.check(&login.as_str(), &field)?;
        }
        for database in &tenant.open_databases {
            let field = format_args!("{field}.open_databases.{database}");
            check_text(&field, database)?;
            self.databases.check(&database.as_str(), &field)?;
        }
        for login in tenant.logins.keys() {
            self.logins.claim(login, name);
        }
        for database in &tenant.open_databases {
            self.databases.claim(database, name);
        }
        Ok(())
    }

    /// Checks an account; a credential may belong to only one account.
    fn check_account(&mut self, name: &AccountName, account: &Account) -> CheckResult {
        if self.is_finished() {
            return Ok(());
        }
        let field = format_args!("accounts.{name}");
        check_account_name(&field, name.as_str())?;
        for (index, credential) in account.credentials.iter().enumerate() {
            let field = format_args!("{field}.credentials[{index}]");
            self.credentials.check(credential, &field)?;
        }
        for credential in &account.credentials {
            self.credentials.claim(*credential, name);
        }
        Ok(())
    }

    fn check_parameters(&self, field: &dyn Display, values: &Template) -> CheckResult {
        self.check_groups(&format_args!("{field}.groups"), &values.groups)?;
        let staleness = values.max_staleness_ms.0;
        check_range(&format_args!("{field}.max_staleness_ms"), staleness, &MAX_STALENESS_MS)?;
        check_range(&format_args!("{field}.capacity"), values.capacity.into(), &CAPACITY)?;
        check_range(&format_args!("{field}.deadline_ms"), values.deadline_ms.0, &DEADLINE_MS)
    }

    /// Checks the groups of a tenant or template. Clients select a group by its database, so no two
    /// groups of a tenant may have the same database.
    fn check_groups(&self, field: &dyn Display, groups: &[GroupName]) -> CheckResult {
        let mut databases = Unique::new("the database of");
        for (index, name) in groups.iter().enumerate() {
            let field = format_args!("{field}[{index}]");
            let group = self.catalog.groups.get(name).filter(|_| self.groups.contains(name));
            let Some(group) = group else {
                return Err(InvalidField::new(field, format!("no such group {name}")));
            };
            databases.check(&group.database.as_str(), &field)?;
            databases.claim(&group.database, name);
        }
        Ok(())
    }
}

/// Checks the fields of an instance independently of other instances.
fn check_instance(field: &dyn Display, instance: &Instance) -> CheckResult {
    check_name(&format_args!("{field}.name"), instance.name.as_str())?;
    check_name(&format_args!("{field}.zone"), instance.zone.as_str())?;
    if instance.address.ip().is_unspecified() || instance.address.port() == 0 {
        let field = format_args!("{field}.address");
        return Err(InvalidField::new(field, "must name one address and port"));
    }
    check_range(&format_args!("{field}.slots"), instance.slots.into(), &SLOTS)?;
    check_range(&format_args!("{field}.connections"), instance.connections.into(), &CONNECTIONS)
}

/// Checks that a configured instance has at least as many connections as slots. A reported instance
/// states only its slots, and its group states the connections; there the smaller number applies.
fn check_connections(field: &dyn Display, instance: &Instance) -> CheckResult {
    match instance.connections < instance.slots {
        true => {
            Err(InvalidField::new(format_args!("{field}.connections"), "must be at least slots"))
        }
        false => Ok(()),
    }
}

struct UniqueInstances {
    names: Unique<InstanceName>,
    addresses: Unique<SocketAddr>,
}

impl Default for UniqueInstances {
    fn default() -> Self {
        Self { names: Unique::new("the name of"), addresses: Unique::new("the address of") }
    }
}

impl UniqueInstances {
    fn add_name(&mut self, field: &dyn Display, instance: &Instance) -> CheckResult {
        self.names.check(&instance.name, &format_args!("{field}.name"))?;
        self.names.claim(instance.name.clone(), &instance.name);
        Ok(())
    }

    fn add_address(&mut self, field: &dyn Display, instance: &Instance) -> CheckResult {
        self.addresses.check(&instance.address, &format_args!("{field}.address"))?;
        self.addresses.claim(instance.address, &instance.name);
        Ok(())
    }
}

/// Values that may occur only once, with their owners.
struct Unique<V> {
    description: &'static str,
    owners: HashMap<V, String>,
}

impl<V: Eq + Hash> Unique<V> {
    fn new(description: &'static str) -> Self {
        Self { description, owners: HashMap::new() }
    }

    /// Checks that `value` has no owner yet.
    fn check(&self, value: &V, field: &dyn Display) -> CheckResult {
        match self.owners.get(value) {
            None => Ok(()),
            Some(other) => {
                Err(InvalidField::new(field, format!("already {} {other}", self.description)))
            }
        }
    }

    /// Records `owner` as the owner of `value`.
    fn claim(&mut self, value: V, owner: impl Display) {
        self.owners.insert(value, owner.to_string());
    }
}
