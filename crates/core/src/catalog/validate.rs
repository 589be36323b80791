//! Every reference, range and uniqueness of a catalog.
//!
//! A change that operators ask this product for is refused whole if it leaves a fault. A catalog that
//! arrives was written by somebody already, and holds what instances say of themselves as well: there each
//! fault concerns its own subject ([`super::usable`]).

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

/// Most instances that operators may write for a group.
const MAX_INSTANCES: usize = 15;

/// What a fault concerns.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Subject {
    /// An entry of the catalog.
    Entry(EntryId),
    /// An instance that the platform reports; its group stands without it.
    Instance {
        /// Its group.
        group: GroupName,
        /// The instance.
        instance: InstanceName,
        /// Its place in the group.
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

/// A part of a catalog that cannot be used as it is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// What cannot be used.
    pub subject: Subject,
    /// Its first faulty field.
    pub error: InvalidField,
}

impl Catalog {
    /// Checks everything; the first fault found is returned with its field's path.
    pub fn validate(&self) -> CheckResult {
        match Validator::new(self, Extent::FirstFault).run().pop() {
            None => Ok(()),
            Some(fault) => Err(fault.error),
        }
    }

    /// Every entry and reported instance that cannot be used, each by its first fault. What refers to a
    /// faulty entry is faulty too.
    pub fn faults(&self) -> Vec<Fault> {
        Validator::new(self, Extent::Everything).run()
    }
}

/// How much is examined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Extent {
    FirstFault,
    Everything,
}

/// One walk over a catalog: entries that others refer to come first.
struct Validator<'a> {
    catalog: &'a Catalog,
    extent: Extent,
    faults: Vec<Fault>,
    groups: HashSet<&'a GroupName>,
    templates: HashSet<&'a TemplateName>,
    instances: UniqueInstances,
    logins: Unique<&'a str>,
    databases: Unique<&'a str>,
    credentials: Unique<CredentialDigest>,
}

impl<'a> Validator<'a> {
    fn new(catalog: &'a Catalog, extent: Extent) -> Self {
        Self {
            catalog,
            extent,
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
            let outcome = check_name(&format_args!("zones.{name}"), name.as_str());
            self.note(EntryKind::Zone, name.as_str(), outcome);
        }
        // What operators wrote comes before what instances say of themselves.
        let (reported, written): (Vec<_>, Vec<_>) =
            catalog.groups.iter().partition(|(_, group)| group.has_reported_instances());
        for (name, group) in written.into_iter().chain(reported) {
            let outcome = self.check_group(name, group);
            self.note(EntryKind::Group, name.as_str(), outcome);
        }
        for (name, template) in &catalog.templates {
            let outcome = self.check_template(name, template);
            self.note(EntryKind::Template, name.as_str(), outcome);
        }
        for (name, tenant) in &catalog.tenants {
            let outcome = self.check_tenant(name, tenant);
            self.note(EntryKind::Tenant, name.as_str(), outcome);
        }
        for (name, account) in &catalog.accounts {
            let outcome = self.check_account(name, account);
            self.note(EntryKind::Account, name.as_str(), outcome);
        }
        self.faults
    }

    fn is_over(&self) -> bool {
        self.extent == Extent::FirstFault && !self.faults.is_empty()
    }

    fn note(&mut self, kind: EntryKind, name: &str, outcome: CheckResult) {
        if let Err(error) = outcome {
            let subject = Subject::Entry(EntryId { kind, name: name.to_owned() });
            self.add(Fault { subject, error });
        }
    }

    fn add(&mut self, fault: Fault) {
        if !self.is_over() {
            self.faults.push(fault);
        }
    }

    fn check_group(&mut self, name: &'a GroupName, group: &'a Group) -> CheckResult {
        if self.is_over() {
            return Ok(());
        }
        let field = format_args!("groups.{name}");
        check_name(&field, name.as_str())?;
        check_text(&format_args!("{field}.database"), &group.database)?;
        check_text(&format_args!("{field}.user"), &group.user)?;
        match group.has_reported_instances() {
            true => self.check_reported_instances(name, group),
            false => self.check_written_instances(&field, group)?,
        }
        self.groups.insert(name);
        Ok(())
    }

    /// A group stands without the instances that cannot be used. Two may tell one address, because an
    /// instance that crashed is told for a while after another one has started there; each is reached
    /// under its own name, and whoever answers by that name is there.
    fn check_reported_instances(&mut self, name: &GroupName, group: &Group) {
        for (index, instance) in group.instances.iter().enumerate() {
            let field = format_args!("groups.{name}.instances[{index}]");
            let outcome = check_instance(&field, instance)
                .and_then(|()| self.instances.add_name(&field, instance));
            if let Err(error) = outcome {
                let (group, instance) = (name.clone(), instance.name.clone());
                self.add(Fault { subject: Subject::Instance { group, instance, index }, error });
            }
        }
    }

    fn check_written_instances(&mut self, field: &dyn Display, group: &Group) -> CheckResult {
        // Where the platform tells the instances, a group may have none for a while.
        let fewest = if group.elector == Elector::Proxy { 0 } else { 1 };
        if !(fewest..=MAX_INSTANCES).contains(&group.instances.len()) {
            let problem = format!("must be {fewest} to {MAX_INSTANCES}");
            return Err(InvalidField::new(format_args!("{field}.instances"), problem));
        }
        for (index, instance) in group.instances.iter().enumerate() {
            let field = format_args!("{field}.instances[{index}]");
            check_name(&format_args!("{field}.name"), instance.name.as_str())?;
            self.instances.add_name(&field, instance)?;
            check_instance(&field, instance)?;
            self.instances.add_address(&field, instance)?;
            check_share(&field, instance)?;
        }
        Ok(())
    }

    fn check_template(&mut self, name: &'a TemplateName, template: &Template) -> CheckResult {
        if self.is_over() {
            return Ok(());
        }
        let field = format_args!("templates.{name}");
        check_name(&field, name.as_str())?;
        self.check_parameters(&field, template)?;
        self.templates.insert(name);
        Ok(())
    }

    fn check_tenant(&mut self, name: &TenantName, tenant: &'a Tenant) -> CheckResult {
        if self.is_over() {
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
            self.logins.take(login, name);
        }
        for database in &tenant.open_databases {
            self.databases.take(database, name);
        }
        Ok(())
    }

    /// A credential stands for one account.
    fn check_account(&mut self, name: &AccountName, account: &Account) -> CheckResult {
        if self.is_over() {
            return Ok(());
        }
        let field = format_args!("accounts.{name}");
        check_account_name(&field, name.as_str())?;
        for (index, credential) in account.credentials.iter().enumerate() {
            let field = format_args!("{field}.credentials[{index}]");
            self.credentials.check(credential, &field)?;
        }
        for credential in &account.credentials {
            self.credentials.take(*credential, name);
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

    /// A tenant names a group by its database, so no two groups of it may share one.
    fn check_groups(&self, field: &dyn Display, groups: &[GroupName]) -> CheckResult {
        let mut databases = Unique::new("the database of");
        for (index, name) in groups.iter().enumerate() {
            let field = format_args!("{field}[{index}]");
            let group = self.catalog.groups.get(name).filter(|_| self.groups.contains(name));
            let Some(group) = group else {
                return Err(InvalidField::new(field, format!("no such group {name}")));
            };
            databases.check(&group.database.as_str(), &field)?;
            databases.take(&group.database, name);
        }
        Ok(())
    }
}

/// What an instance says of itself, apart from the others.
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

/// Operators write both numbers of an instance. Of one that reports itself the slots come from itself and the
/// connections from its group; there the smaller number holds.
fn check_share(field: &dyn Display, instance: &Instance) -> CheckResult {
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
        self.names.take(instance.name.clone(), &instance.name);
        Ok(())
    }

    fn add_address(&mut self, field: &dyn Display, instance: &Instance) -> CheckResult {
        self.addresses.check(&instance.address, &format_args!("{field}.address"))?;
        self.addresses.take(instance.address, &instance.name);
        Ok(())
    }
}

/// Values that may occur once.
struct Unique<V> {
    what: &'static str,
    owners: HashMap<V, String>,
}

impl<V: Eq + Hash> Unique<V> {
    fn new(what: &'static str) -> Self {
        Self { what, owners: HashMap::new() }
    }

    /// Whether nobody has `value` yet.
    fn check(&self, value: &V, field: &dyn Display) -> CheckResult {
        match self.owners.get(value) {
            None => Ok(()),
            Some(other) => Err(InvalidField::new(field, format!("already {} {other}", self.what))),
        }
    }

    /// `value` belongs to `owner` from now on.
    fn take(&mut self, value: V, owner: impl Display) {
        self.owners.insert(value, owner.to_string());
    }
}
